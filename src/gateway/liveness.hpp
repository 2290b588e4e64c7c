// Decides when an attempt without progress is checked and when it is abandoned.
// An endpoint that lost power sends no reset, and a connection may go silent
// while new ones work; both show only as silence.
//
// Designed for the loss of a zone without resets while its endpoints prefill
// prompts, and for endpoints that accept requests and never answer.
#ifndef DOTTERELLOCK_GATEWAY_LIVENESS_HPP
#define DOTTERELLOCK_GATEWAY_LIVENESS_HPP

#include <algorithm>
#include <chrono>
#include <optional>

#include <dotterellock/runtime.hpp>

#include "routing_table.hpp"

namespace dotterellock
{

enum class liveness_decision
{
    wait,
    check,  // ask the endpoint whether the request still runs
    abandon // end the attempt and try another endpoint
};

/// Progress of one attempt; durations are relative to now.
struct attempt_progress
{
    bool engine_prompt = false; // the request is a prompt for a model engine
    bool stream_started = false;
    duration since_sent{};
    duration since_progress{}; // last event, or the time of sending
    duration since_activity{}; // any data from the endpoint, on any connection
    duration expected_first_event{}; // estimated time to the first event
    std::optional<duration> since_confirmed; // last report that listed the run
    bool copy_available = false; // another endpoint could resume the stream
};

class liveness_policy
{
public:
    // Events of a stream are a few tens of milliseconds apart, up to 250 ms
    // while the endpoint prefills other prompts.
    static constexpr std::chrono::milliseconds check_stream_after{300};

    // A prompt takes a second or more; a check costs one short call.
    static constexpr std::chrono::milliseconds check_prompt_after{500};

    // An overdue prompt is checked before it is abandoned, and checked again
    // while its endpoint reports that it is still being processed.
    static constexpr std::chrono::milliseconds check_lead_time{300};
    static constexpr std::chrono::milliseconds reconfirm_after{800};

    // A stream that its endpoint reports as alive is slow, not lost. Without a
    // copy it stays, as another endpoint would process its prompt again; it is
    // checked at this interval, up to this many tolerated gaps.
    static constexpr std::chrono::milliseconds recheck_stream_after{400};
    static constexpr int max_slow_gaps = 4;

    // Fraction of the tolerated gap after which a silent stream moves to
    // another endpoint. The remainder is the time needed to resume it.
    static constexpr double abandon_fraction = 0.8;

    static liveness_decision
    evaluate(gateway_route const& route, attempt_progress const& p)
    {
        if (!p.engine_prompt)
            return liveness_decision::wait;
        return p.stream_started ? evaluate_stream(route, p)
                                : evaluate_prompt(route, p);
    }

    /// Timeout of an attempt at a repeatable short call that leaves enough time
    /// for a second attempt.
    /// @param latency  moving average of the endpoint's latency
    static duration
    call_timeout(gateway_route const& route, std::chrono::microseconds latency)
    {
        auto const target = std::chrono::microseconds(route.first_byte_target);
        return std::clamp<std::chrono::microseconds>(
            latency * 6, target / 4, target / 2);
    }

private:
    static liveness_decision
    evaluate_stream(gateway_route const& route, attempt_progress const& p)
    {
        auto const limit =
            std::chrono::duration<double>(route.event_gap_target) *
            abandon_fraction;
        bool const alive =
            p.since_confirmed && *p.since_confirmed <= reconfirm_after &&
            p.since_progress < max_slow_gaps * duration(route.event_gap_target);
        if (alive && !p.copy_available)
            return *p.since_confirmed > recheck_stream_after
                       ? liveness_decision::check
                       : liveness_decision::wait;
        if (p.since_progress > limit)
            return liveness_decision::abandon;
        return p.since_progress > check_stream_after &&
                       p.since_activity > check_stream_after
                   ? liveness_decision::check
                   : liveness_decision::wait;
    }

    static liveness_decision
    evaluate_prompt(gateway_route const& route, attempt_progress const& p)
    {
        duration const target = route.first_byte_target;
        duration const abandon_after = std::max<duration>(
            target / 2,
            2 * p.expected_first_event + std::chrono::milliseconds(400));
        if (p.since_confirmed)
        {
            // The run is queued or in prefill there; a restart elsewhere would
            // take longer.
            return *p.since_confirmed > reconfirm_after
                       ? liveness_decision::check
                       : liveness_decision::wait;
        }
        if (p.since_sent > abandon_after)
            return liveness_decision::abandon;
        bool const overdue = p.since_sent > abandon_after - check_lead_time;
        return p.since_activity > check_prompt_after || overdue
                   ? liveness_decision::check
                   : liveness_decision::wait;
    }
};

/// Estimates the time from sending a prompt to its first event, per service.
class first_event_estimate
{
public:
    void record(std::uint64_t prompt_tokens, duration took)
    {
        if (prompt_tokens < min_tokens)
            return;
        double const per_token =
            std::chrono::duration<double>(took).count() / double(prompt_tokens);
        seconds_per_token_ += smoothing * (per_token - seconds_per_token_);
    }

    duration expected(std::uint64_t tokens) const
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(double(tokens) * seconds_per_token_));
    }

private:
    // Short prompts say little about the time per token.
    static constexpr std::uint64_t min_tokens = 500;
    static constexpr double smoothing = 0.1;

    double seconds_per_token_ = 0.0002; // initially 5 tokens per ms
};

} // namespace dotterellock

#endif
