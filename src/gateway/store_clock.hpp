// Dates the answers of the platform's store. A held call is answered up to
// seconds after it was sent, and its contents are as recent as the answer, not
// as the call. Answers carry the time of a steady clock of the store; calls
// that were answered at once show how far that clock and the local one are
// apart.
//
// The result is a lower bound: an answer is never dated later than the store
// produced it, however slow the call or this process was.
#ifndef DOTTERELLOCK_GATEWAY_STORE_CLOCK_HPP
#define DOTTERELLOCK_GATEWAY_STORE_CLOCK_HPP

#include <algorithm>
#include <chrono>
#include <optional>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class store_clock
{
public:
    // Clocks drift apart by up to 100 ppm, so a measured difference may be
    // used for a few minutes: 24 ms for two periods.
    static constexpr std::chrono::seconds calibration_period{120};

    /// @param sent        when the call was sent
    /// @param received    when its answer was read
    /// @param store_time  the store's clock in the answer, if it was given
    /// @return  a time at which the store had not yet produced the answer,
    ///          between `sent` and `received`
    steady_time answered_not_before(
        steady_time sent, steady_time received,
        std::optional<std::chrono::milliseconds> store_time)
    {
        start_next_period(received);
        if (!store_time)
            return sent;
        // The store's clock showed at least this difference to the local one.
        duration const difference = sent.time_since_epoch() - *store_time;
        auto const known = std::max(current_, previous_);
        if (known && steady_time(*known + *store_time) > received)
        {
            // The store's clock has stepped.
            reset();
            start_next_period(received);
            current_ = difference;
            return sent;
        }
        current_ = std::max(current_.value_or(difference), difference);
        return steady_time(*std::max(current_, previous_) + *store_time);
    }

    /// Whether a call that is answered at once would give tighter bounds.
    bool needs_calibration(steady_time now) const
    {
        return !period_began_ || now - *period_began_ >= calibration_period;
    }

    /// Forgets the difference of the clocks, as another store may answer now.
    void reset()
    {
        period_began_.reset();
        current_.reset();
        previous_.reset();
    }

private:
    void start_next_period(steady_time now)
    {
        if (!needs_calibration(now))
            return;
        previous_ = period_began_ ? current_ : std::nullopt;
        current_.reset();
        period_began_ = now;
    }

    std::optional<steady_time> period_began_;
    std::optional<duration> current_;  // largest difference of this period
    std::optional<duration> previous_; // and of the one before
};

} // namespace dotterellock

#endif
