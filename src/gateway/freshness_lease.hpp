// Proof that a copy of the configuration is recent enough to admit keyed
// requests. A withdrawn key may be served only until a max_staleness after the
// store accepted the withdrawal, whatever cuts this process off from the store.
//
// Every answered call to the store proves that the copy was complete when the
// call was sent. The proof holds for the max_staleness less a margin. Times are
// those of a clock that counts suspension, so that a process which was paused
// or whose host was suspended does not extend its lease.
#ifndef DOTTERELLOCK_GATEWAY_FRESHNESS_LEASE_HPP
#define DOTTERELLOCK_GATEWAY_FRESHNESS_LEASE_HPP

#include <algorithm>
#include <chrono>
#include <optional>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class freshness_lease
{
public:
    /// How long one call for changes may be kept waiting, so that the lease
    /// outlives two calls and the detection of a connection that fell silent.
    /// @param max_staleness  how long a withdrawn key may still be served
    static std::chrono::milliseconds
    max_poll_wait(std::chrono::milliseconds max_staleness)
    {
        // 1.7 s let the lease of 5 s end within three seconds of a store
        // outage; shorter calls cost more without a gain.
        constexpr std::chrono::milliseconds limit{1400};
        return std::min((max_staleness - margin) * 3 / 10, limit);
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

    /// The copy was complete at `sent`, when an answered call was sent.
    void renew(steady_time sent)
    {
        renewed_at_ = renewed_at_ ? std::max(*renewed_at_, sent) : sent;
    }

    bool valid(steady_time now) const
    {
        return renewed_at_ && now < *renewed_at_ + max_staleness_ - margin;
    }

    /// Age of the last proof; empty when there never was one.
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
