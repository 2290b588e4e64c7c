// Predicts when a waiting request starts, from the work ahead of it and the
// measured pace of starts, and with that when its first event and its end come.
// Pure calculation; times are passed in.
//
// Designed for some twenty gateways that each start one or two prompts a second
// at shared endpoints, in bursts and losses of a few seconds.
#ifndef DOTTERELLOCK_GATEWAY_START_PREDICTION_HPP
#define DOTTERELLOCK_GATEWAY_START_PREDICTION_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

/// What a route and its caller allow, as times.
struct answer_limits
{
    steady_time received{};
    steady_time deadline{};
    std::chrono::milliseconds first_byte_target{1000};
    std::chrono::milliseconds event_gap_target{1000};
    bool event_stream = false;
};

/// How long an answer takes once its request has started.
struct answer_duration
{
    duration first_event{}; // from the start to the first event
    duration rest{};        // from the first event to the end
};

// A caller gives up without a first event after the longest of these: a fixed
// time, a multiple of its target and a multiple of the tolerated gap.
constexpr std::chrono::milliseconds min_first_event_patience{2000};
constexpr int first_event_patience_targets = 4;
constexpr int first_event_patience_gaps = 8;

/// Latest start with which the first event meets its target.
steady_time
target_start(answer_limits const& limits, answer_duration const& answer);

/// Latest start with which the caller still waits for the first event, and the
/// answer ends by the deadline.
steady_time
latest_start(answer_limits const& limits, answer_duration const& answer);

/// Pace at which the requests of a queue start while some wait.
class start_pace
{
public:
    // Covers several prompts, yet is short compared with the time that requests
    // may wait.
    static constexpr std::chrono::milliseconds window{3000};

    // With fewer starts than needed, the window is longer, up to this: a
    // gateway with a small share of the load starts one prompt in one or two
    // seconds.
    static constexpr std::chrono::milliseconds long_window{10000};

    // The standard deviation of a count of five is less than half of it.
    static constexpr std::size_t min_starts = 5;

    struct measurement
    {
        double tokens_per_second = 0;

        // Arrivals by rank, in tokens per second.
        std::array<double, rank_count> arriving{};
    };

    /// A request waits, and none did before: earlier starts show how much was
    /// asked for, not how much could start.
    void begin_waiting(steady_time now);
    void record_arrival(rank r, std::uint64_t tokens, steady_time now);
    void record_start(std::uint64_t tokens, steady_time now);

    /// The last request recorded as started found no capacity.
    void cancel_last_start();

    /// An upper estimate of the pace and a lower one of the arrivals, so that a
    /// wait calculated from them is not too long; empty if too few requests
    /// have started.
    std::optional<measurement> measure(steady_time now) const;

private:
    struct sample
    {
        steady_time at{};
        std::uint64_t tokens = 0;
        dotterellock::rank rank = rank::standard;
    };

    static void prune(std::deque<sample>& samples, steady_time now);

    steady_time waiting_since_{};
    std::deque<sample> starts_;
    std::deque<sample> arrivals_;
};

/// What starts before a request, in tokens.
struct work_ahead
{
    double of_urgent_ranks = 0; // all that waits in more urgent ranks
    double of_own_rank = 0;     // by its organisation's fair share

    // Fraction of the pace that less urgent ranks with waiting requests get.
    double share_of_lower_ranks = 0;

    // Fraction of the pace that the request's own rank gets in any case.
    double share_of_own_rank = 0;
};

/// Time until a request with this work ahead starts.
duration predict_wait(
    work_ahead const& ahead, rank r, start_pace::measurement const& pace);

struct retry_range
{
    duration first{};
    duration last{};
};

/// Times after which the caller of a refused request may come back: from the
/// time when the queue is short enough again to the whole wait, within what
/// callers honour.
/// @param wait       predicted; empty if unknown
/// @param max_wait   with which the request would not have been refused
/// @param remaining  time that its caller has left
retry_range retry_delay_range(
    std::optional<duration> wait, duration max_wait, duration remaining);

std::chrono::milliseconds
draw_retry_delay(retry_range const& range, random_source& random);

/// Draws from retry_delay_range().
std::chrono::milliseconds retry_delay(
    std::optional<duration> wait, duration max_wait, duration remaining,
    random_source& random);

} // namespace dotterellock

#endif
