// Proof that a copy of the configuration is recent enough to admit keyed
// requests. A withdrawn key may be served only until a bound after the store
// accepted the withdrawal, whatever cuts this process off from the store.
//
// Every answered call to the store proves that the copy was complete when the
// call was sent. The proof holds for the bound less a margin. Times are those
// of a clock that counts suspension, so that a process which was paused or
// whose host was suspended does not extend its lease.
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
    /// @param bound  how long a withdrawn key may still be served
    static std::chrono::milliseconds
    longest_call(std::chrono::milliseconds bound)
    {
        // 1.7 s let the lease of 5 s end within three seconds of a store
        // outage; shorter calls cost more without a gain.
        constexpr std::chrono::milliseconds most{1400};
        return std::min((bound - margin) * 3 / 10, most);
    }

    // Covers rounding and a clock that runs slightly slow.
    static constexpr std::chrono::milliseconds margin{250};

    /// @param bound  how long a withdrawn key may still be served
    explicit freshness_lease(std::chrono::milliseconds bound) : bound_(bound) {}

    void set_bound(std::chrono::milliseconds bound) { bound_ = bound; }

    /// The copy was complete at `sent`, when an answered call was sent.
    void prove(steady_time sent)
    {
        proven_ = proven_ ? std::max(*proven_, sent) : sent;
    }

    bool valid(steady_time now) const
    {
        return proven_ && now < *proven_ + bound_ - margin;
    }

    /// Age of the last proof; empty when there never was one.
    std::optional<duration> age(steady_time now) const
    {
        if (!proven_)
            return std::nullopt;
        return now - *proven_;
    }

private:
    std::chrono::milliseconds bound_;
    std::optional<steady_time> proven_;
};

} // namespace dotterellock

#endif
