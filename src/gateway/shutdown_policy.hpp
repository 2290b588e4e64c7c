// Which requests a stopping gateway still takes. A request that would be cut
// at the end is refused instead, so that its caller goes elsewhere at once and
// nothing is read for nothing.
//
// Load: gateways that are restarted one after the other while their zone's
// callers still reach them, as the balancer has no other one in the zone.
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
    // The balancer asks once a second and needs two misses; later requests
    // come from callers that no one else serves, or over kept connections.
    static constexpr std::chrono::milliseconds load_balancer_removal_time{2500};

    // Part of the grace period that is kept for the end of the process.
    static constexpr std::chrono::milliseconds exit_margin{400};

    // Of which the last answers have this time to be written.
    static constexpr std::chrono::milliseconds final_write_time{100};

    /// @param elapsed    since the signal to stop
    /// @param max_duration   what the request may take at most
    /// @param expected  duration of recent streams, if there were any
    static bool accepts(
        gateway_route const& route, duration elapsed,
        std::chrono::milliseconds grace, duration max_duration,
        std::optional<duration> expected)
    {
        duration const left = grace - exit_margin - elapsed;
        if (max_duration < left)
            return true;
        if (!route.event_stream)
            return false;
        return elapsed < load_balancer_removal_time &&
               expected.value_or(route.first_byte_target) < left;
    }

    /// Whether requests that are still open are to be ended.
    static bool grace_over(duration elapsed, std::chrono::milliseconds grace)
    {
        return elapsed > grace - exit_margin;
    }

    /// Whether the process may end.
    static bool
    may_exit(duration elapsed, std::chrono::milliseconds grace, bool idle)
    {
        return grace_over(elapsed - final_write_time, grace) ||
               (idle && elapsed > load_balancer_removal_time);
    }
};

} // namespace dotterellock

#endif
