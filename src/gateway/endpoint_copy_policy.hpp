// Times of the endpoint list's copies, derived from the drain bound: no request
// may reach an endpoint later than the bound after the store recorded that it
// leaves.
//
// Designed for a store that turns away a gateway which reads the list for its
// zone: those who follow it must notice in time that its copy stands still.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_COPY_POLICY_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_COPY_POLICY_HPP

#include <chrono>

namespace dotterellock
{

struct endpoint_copy_policy
{
    using milliseconds = std::chrono::milliseconds;

    // Allows for a listing that is one heartbeat old after a store outage, and
    // for requests on their way: these are sent on an open connection and
    // arrive half a round trip later, 20 ms between regions.
    static constexpr milliseconds last_resort_margin{500};

    // A call between regions and the search for another source.
    static constexpr milliseconds call_time{100};

    /// Time after its row changed during which a leaving endpoint may be used.
    static constexpr milliseconds last_resort_period(milliseconds drain_bound)
    {
        return drain_bound - last_resort_margin;
    }

    /// Longest wait of a reader's call for changes.
    static constexpr milliseconds reader_wait(milliseconds drain_bound)
    {
        return last_resort_period(drain_bound) * 3 / 10;
    }

    /// Longest wait of a call to another gateway's copy.
    static constexpr milliseconds follower_wait(milliseconds drain_bound)
    {
        return last_resort_period(drain_bound) / 5;
    }

    /// Pause after a change, so that the many changes of a restarting zone are
    /// read by few calls.
    static constexpr milliseconds change_batch_delay(milliseconds drain_bound)
    {
        return last_resort_period(drain_bound) / 6;
    }

    /// Age up to which a copy may be passed on: that of a follower whose reader
    /// is well.
    static constexpr milliseconds max_shared_age(milliseconds drain_bound)
    {
        return reader_wait(drain_bound) + change_batch_delay(drain_bound) +
               follower_wait(drain_bound) + call_time;
    }
};

} // namespace dotterellock

#endif
