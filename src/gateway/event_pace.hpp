// How fast an endpoint's engine is: the time from one event of a stream to the
// next while no prompt is processed beside it. Learned from the streams that a
// gateway relays anyway, and from what other gateways learned of theirs.
//
// Designed for services whose endpoints run on hardware of different speed:
// with as many streams on each, answers of the slow ones take several times as
// long, and so many more are open when an endpoint or a gateway is lost.
#ifndef DOTTERELLOCK_GATEWAY_EVENT_PACE_HPP
#define DOTTERELLOCK_GATEWAY_EVENT_PACE_HPP

#include <chrono>
#include <cstddef>
#include <optional>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// Measures one stream.
class event_pace_meter
{
public:
    // Evens out steps of the engine and delays on the way.
    static constexpr std::size_t window = 8; // events

    // A shorter window holds events that were delayed and came together.
    static constexpr std::chrono::milliseconds min_window_time{20};

    /// Counts events that have just arrived.
    /// @return the time per event, each time that a window is complete
    std::optional<duration> record(std::size_t events, steady_time now)
    {
        if (events == 0)
            return std::nullopt;
        if (!began_)
        {
            began_ = now;
            return std::nullopt;
        }
        counted_ += events;
        if (counted_ < window)
            return std::nullopt;
        auto const took = now - *began_;
        auto const pace = took / counted_;
        began_ = now;
        counted_ = 0;
        if (took < min_window_time)
            return std::nullopt;
        return pace;
    }

private:
    std::optional<steady_time> began_;
    std::size_t counted_ = 0; // events since
};

/// Estimate for one endpoint.
class event_pace
{
public:
    // Afterwards the endpoint counts as not known, so that it is tried again.
    static constexpr std::chrono::seconds validity{30};

    // What this gateway sees itself is preferred to what others say.
    static constexpr std::chrono::seconds own_preference{5};

    /// A window of a stream of this gateway.
    void record(duration per_event, steady_time now)
    {
        own_.add(per_event, now);
    }

    /// The estimate of another gateway, from its own streams.
    void record_peer(duration per_event, steady_time now)
    {
        peers_.add(per_event, now);
    }

    /// The estimate from own streams, for other gateways.
    std::optional<duration> own(steady_time now) const
    {
        return own_.within(own_preference, now);
    }

    std::optional<duration> value(steady_time now) const
    {
        if (auto const recent = own(now))
            return recent;
        if (auto const known = peers_.within(validity, now))
            return known;
        return own_.within(validity, now);
    }

private:
    // Windows beside the processing of a prompt are several times longer, so
    // the estimate stays near the short ones: with half of the windows four
    // times longer, it is a seventh above them on average.
    static constexpr double weight_of_faster = 0.3;
    static constexpr double weight_of_slower = 0.015;

    // Delayed events that come together look faster than the engine is.
    static constexpr int max_step = 3;

    struct estimate
    {
        void add(duration sample, steady_time now)
        {
            if (!at)
                pace = sample;
            bool const faster = sample < pace && sample * max_step >= pace;
            auto const weight = faster ? weight_of_faster : weight_of_slower;
            pace +=
                std::chrono::duration_cast<duration>((sample - pace) * weight);
            at = now;
        }

        std::optional<duration> within(duration age, steady_time now) const
        {
            return at && now - *at <= age ? std::make_optional(pace)
                                          : std::nullopt;
        }

        duration pace{};
        std::optional<steady_time> at;
    };

    estimate own_;
    estimate peers_;
};

} // namespace dotterellock

#endif
