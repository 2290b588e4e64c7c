// Decides which requests a stopping gateway still accepts. A request that would
// be cut off at the end is refused instead, so that its caller can go to
// another gateway at once and no work is wasted.
//
// Designed for rolling restarts, when the callers of a zone still reach the
// gateway because the load balancer has no other one there.
#ifndef DOTTERELLOCK_GATEWAY_SHUTDOWN_POLICY_HPP
#define DOTTERELLOCK_GATEWAY_SHUTDOWN_POLICY_HPP

#include <chrono>
#include <optional>

#include <dotterellock/runtime.hpp>

#include "routing_table.hpp"

namespace dotterellock
{

struct shutdown_policy
{
    // The load balancer polls once a second and needs two failures. Later
    // requests come from callers that no other gateway serves, or over
    // keep-alive connections.
    static constexpr std::chrono::milliseconds load_balancer_removal_time{2500};

    // Part of the grace period reserved for process exit.
    static constexpr std::chrono::milliseconds exit_margin{400};

    // Part of exit_margin reserved for writing the last answers.
    static constexpr std::chrono::milliseconds final_write_time{100};

    // Part of exit_margin reserved for the process to end. Answers that are not
    // written by then are lost.
    static constexpr std::chrono::milliseconds process_end_time{200};

    /// @param elapsed       since the stop signal
    /// @param max_duration  upper limit for the rest of the request
    /// @param expected      duration of recent streams, if known
    static bool accepts(
        gateway_route const& route, duration elapsed,
        std::chrono::milliseconds grace, duration max_duration,
        std::optional<duration> expected)
    {
        duration const left = grace - exit_margin - elapsed;
        if (max_duration < left)
            return true;
        // What is cut off and may not be repeated is lost to its caller.
        if (!route.event_stream || !route.repeatable())
            return false;
        return elapsed < load_balancer_removal_time &&
               expected.value_or(route.first_byte_target) < left;
    }

    /// Whether open requests must be ended now.
    static bool grace_over(duration elapsed, std::chrono::milliseconds grace)
    {
        return elapsed > grace - exit_margin;
    }

    /// Whether to exit even if answers are owed.
    static bool must_exit(duration elapsed, std::chrono::milliseconds grace)
    {
        return elapsed > grace - process_end_time;
    }

    /// Whether the process may exit.
    static bool
    may_exit(duration elapsed, std::chrono::milliseconds grace, bool idle)
    {
        return grace_over(elapsed - final_write_time, grace) ||
               (idle && elapsed > load_balancer_removal_time);
    }
};

} // namespace dotterellock

#endif
