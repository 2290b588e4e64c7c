// Proves that the local copy of the configuration is recent enough to admit
// requests with an API key. A withdrawn key may be served only for a limited
// time after the store accepted the withdrawal, even if this process is cut off
// from the store.
//
// Each answered store call proves that the copy was complete when the call was
// sent. The proof is valid for that limit less a margin. Times come from a
// clock that keeps running during suspend, so that a paused process or
// suspended host does not extend the lease.
#ifndef DOTTERELLOCK_GATEWAY_FRESHNESS_LEASE_HPP
#define DOTTERELLOCK_GATEWAY_FRESHNESS_LEASE_HPP

#include <algorithm>
#include <chrono>
#include <optional>

#include <dotterellock/runtime.hpp>

#include "endpoint_copy_policy.hpp"

namespace dotterellock
{

class freshness_lease
{
public:
    /// Longest wait of one call for changes. It is short enough for the lease
    /// to outlast two calls and the detection of a silent connection.
    /// @param max_staleness  how long a withdrawn key may still be served
    static std::chrono::milliseconds
    max_poll_wait(std::chrono::milliseconds max_staleness)
    {
        // With calls of 1.7 s, a lease of 5 s expired within 3 s of a store
        // outage. Shorter calls cost more without a benefit.
        constexpr std::chrono::milliseconds limit{1400};
        return std::min((max_staleness - margin) * 3 / 10, limit);
    }

    /// Longest wait of a call to another gateway's copy.
    static constexpr std::chrono::milliseconds max_follower_wait{700};

    /// Longest wait for a gateway whose copy others use. Theirs are older by up
    /// to max_follower_wait, and their leases must last nearly as long.
    static std::chrono::milliseconds
    max_shared_poll_wait(std::chrono::milliseconds max_staleness)
    {
        auto const alone = max_poll_wait(max_staleness);
        return std::max(alone / 2, alone - max_follower_wait / 2);
    }

    /// Age up to which a copy may be passed on: that of a follower whose reader
    /// is well. Others must notice in time that a copy stands still.
    static std::chrono::milliseconds
    max_shared_age(std::chrono::milliseconds max_staleness)
    {
        return max_shared_poll_wait(max_staleness) + max_follower_wait +
               endpoint_copy_policy::call_time;
    }

    /// As max_shared_age(), while an answer is on the way to the copy: until
    /// followers could not use it any more.
    static std::chrono::milliseconds
    max_shared_age_receiving(std::chrono::milliseconds max_staleness)
    {
        return std::max(max_staleness - margin, max_shared_age(max_staleness));
    }

    // Covers rounding and a clock that runs slightly slow.
    static constexpr std::chrono::milliseconds margin{250};

    /// @param max_staleness  how long a withdrawn key may still be served
    explicit freshness_lease(std::chrono::milliseconds max_staleness)
        : max_staleness_(max_staleness)
    {
    }

    void set_max_staleness(std::chrono::milliseconds max_staleness)
    {
        max_staleness_ = max_staleness;
    }

    /// Records that the copy was complete at `sent`, the time when an answered
    /// call was sent.
    void renew(steady_time sent)
    {
        renewed_at_ = renewed_at_ ? std::max(*renewed_at_, sent) : sent;
    }

    bool valid(steady_time now) const
    {
        return renewed_at_ && now < *renewed_at_ + max_staleness_ - margin;
    }

    /// Time since the last proof, or nothing if there was none.
    std::optional<duration> age(steady_time now) const
    {
        if (!renewed_at_)
            return std::nullopt;
        return now - *renewed_at_;
    }

private:
    std::chrono::milliseconds max_staleness_;
    std::optional<steady_time> renewed_at_;
};

} // namespace dotterellock

#endif
