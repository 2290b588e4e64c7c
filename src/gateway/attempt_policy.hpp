// Decides what follows the end of an attempt. A request that must run at most
// once is sent again only if the endpoint proved that it did not run it. A
// repeatable request is sent again while attempts, time and the retry budget
// last. No attempt follows once the caller has bytes that cannot be resumed, as
// its answer would be joined from two.
#ifndef DOTTERELLOCK_GATEWAY_ATTEMPT_POLICY_HPP
#define DOTTERELLOCK_GATEWAY_ATTEMPT_POLICY_HPP

#include <chrono>
#include <cstdint>

#include "endpoint_state.hpp"
#include "routing_table.hpp"

namespace dotterellock
{

/// Attempts of one request so far.
struct attempt_history
{
    std::uint32_t runs = 0;     // endpoints that may have started to run it
    std::uint32_t refusals = 0; // endpoints that proved they did not run it
    std::uint32_t failed_connections = 0; // connections not established
};

/// What the caller has received of the answer.
enum class received_part
{
    nothing,
    resumable_events, // another endpoint can continue after the last one
    fixed_bytes       // only the endpoint that sent them can continue
};

enum class attempt_decision
{
    retry,
    retry_later,    // once an endpoint has capacity
    await_budget,   // once the retry budget allows it
    reply_not_run,  // 503 with a retry time; nothing ran
    reply_unknown,  // 502; the request may have run
    break_off,      // closes the caller's connection within the answer
    forward_failure // forwards the endpoint's own error
};

struct attempt_policy
{
    // Refused and failed connections do not count as runs. Each still takes
    // time and counts against the retry budget, so their number is limited. A
    // stream that has run for seconds waits instead of giving up: during the
    // loss of half of the endpoints, many in a row do not accept.
    static constexpr std::uint32_t max_refusals = 4;
    static constexpr std::uint32_t max_failed_connections = 6;

    // An endpoint that is in order may be silent for a second or so, beyond the
    // gaps that its route tolerates.
    static constexpr std::chrono::milliseconds longest_sound_silence{2000};

    /// Retries that must be left before an attempt is given up on a suspicion,
    /// also of a failed check. The next endpoint may refuse a begun answer that
    /// its own endpoint would have gone on with, so that one more is needed.
    static std::size_t retries_to_give_up(
        received_part received, duration silence,
        std::chrono::milliseconds gap_target)
    {
        bool const may_go_on = received != received_part::nothing &&
                               silence < gap_target + longest_sound_silence;
        return may_go_on ? 2 : 1;
    }

    /// True if an attempt with this outcome proves that the request did not
    /// run.
    static bool proven_not_run(attempt_outcome outcome)
    {
        return outcome == attempt_outcome::refused ||
               outcome == attempt_outcome::misdirected ||
               outcome == attempt_outcome::unreachable;
    }

    static void record(attempt_history& history, attempt_outcome outcome)
    {
        if (outcome == attempt_outcome::unreachable)
            ++history.failed_connections;
        else if (proven_not_run(outcome))
            ++history.refusals;
        else
            ++history.runs;
    }

    /// Whether another attempt may add to what the caller has received.
    static bool may_follow(received_part received)
    {
        return received != received_part::fixed_bytes;
    }

    /// @param history   including the attempt that just ended
    /// @param budget    whether the retry budget allows one more attempt
    /// @param received  by the caller
    static attempt_decision decide(
        gateway_route const& route, attempt_history const& history,
        attempt_outcome outcome, bool time_left, bool budget,
        received_part received)
    {
        if (!may_follow(received))
            return attempt_decision::break_off;
        bool const begun = received != received_part::nothing;
        bool const answered = outcome == attempt_outcome::failed_answer;
        bool const not_run = history.runs == 0;
        bool const may_run_again =
            not_run ||
            (route.repeatable() && history.runs < route.max_attempts);
        bool const bounded =
            history.refusals <= max_refusals &&
            history.failed_connections <= max_failed_connections;
        if (may_run_again && bounded && time_left && budget)
            return attempt_decision::retry;
        if (may_run_again && time_left && budget && route.event_stream &&
            !not_run)
            return attempt_decision::retry_later;
        if (may_run_again && time_left && begun)
            return attempt_decision::await_budget;
        if (answered)
            return attempt_decision::forward_failure;
        return not_run ? attempt_decision::reply_not_run
                       : attempt_decision::reply_unknown;
    }
};

} // namespace dotterellock

#endif
