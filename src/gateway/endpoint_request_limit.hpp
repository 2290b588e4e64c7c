// The requests a second that an endpoint takes from all gateways together, as
// far as this gateway knows, and its permits to send some of them. See
// request_limits.hpp for who gives permits.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_REQUEST_LIMIT_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_REQUEST_LIMIT_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// What an endpoint said of its limit.
struct request_limit_observation
{
    std::optional<double> per_second; // empty: there is none
    steady_time at{};
};

class endpoint_request_limit
{
public:
    /// Records what the endpoint said; an earlier statement than the last one
    /// is ignored.
    /// @return whether the limit is another one now
    bool observe(request_limit_observation const& said)
    {
        bool const news = observation_ ? said.at > observation_->at
                                       : said.per_second.has_value();
        if (!news)
            return false;
        auto const before = limit();
        observation_ = said;
        return limit() != before;
    }

    /// The limit in force; empty if there is none. It does not lapse: gateways
    /// that all forgot it would all send at once. One request shows its end.
    std::optional<double> limit() const
    {
        return observation_ ? observation_->per_second : std::nullopt;
    }

    /// The last statement; empty if the endpoint never had a limit.
    std::optional<request_limit_observation> const& observation() const
    {
        return observation_;
    }

    /// Replaces permits that are left.
    void set_permits(std::uint32_t count, steady_time until)
    {
        permits_ = count;
        permits_until_ = until;
    }

    std::uint32_t permits(steady_time now) const
    {
        return now < permits_until_ ? permits_ : 0;
    }

    /// No permits are to be had until then.
    void deny(steady_time until) { denied_until_ = until; }

    /// Whether this gateway may send a request now, or could ask for a permit.
    bool may_allow(steady_time now) const
    {
        return allows(now) || now >= denied_until_;
    }

    /// Whether this gateway may send a request now.
    bool allows(steady_time now) const { return !limit() || permits(now) > 0; }

    /// Uses a permit for a request that is sent.
    void spend(steady_time now)
    {
        if (permits(now) > 0)
            --permits_;
    }

private:
    std::optional<request_limit_observation> observation_;
    std::uint32_t permits_ = 0;
    steady_time permits_until_{};
    steady_time denied_until_{};
};

} // namespace dotterellock

#endif
