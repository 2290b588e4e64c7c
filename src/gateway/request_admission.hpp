// Decides whether the configuration in force admits a request. Its route and
// its key are denied for certain only by a copy that is recent enough;
// otherwise the caller is told to come back.
//
// Designed for a gateway that is cut off from the store while routes and keys
// are added and withdrawn.
#ifndef DOTTERELLOCK_GATEWAY_REQUEST_ADMISSION_HPP
#define DOTTERELLOCK_GATEWAY_REQUEST_ADMISSION_HPP

#include <chrono>
#include <optional>

#include "freshness_lease.hpp"
#include "routing_table.hpp"

namespace dotterellock
{

struct admission_refusal
{
    unsigned status = 0;
    char const* reason = "";
};

struct request_admission
{
    // An unknown key or route is answered with 401 or 404 only if the
    // configuration is newer than this, which exceeds the lag of versions;
    // otherwise with 503.
    static constexpr std::chrono::milliseconds max_refusal_age{3200};

    /// @param route  that matches the request, or null
    static std::optional<admission_refusal> check_route(
        gateway_route const* route, freshness_lease const& lease,
        steady_time now)
    {
        if (route != nullptr)
            return std::nullopt;
        return up_to_date(lease, now)
                   ? admission_refusal{404, "no_route"}
                   : admission_refusal{503, "stale_configuration"};
    }

    static bool
    needs_organisation(routing_table const& table, gateway_route const& route)
    {
        return table.requires_api_key() && !route.anonymous;
    }

    /// For a route that needs an organisation.
    /// @param organisation  of the request, or null
    static std::optional<admission_refusal> check_organisation(
        organisation_spec const* organisation, freshness_lease const& lease,
        steady_time now)
    {
        if (!lease.valid(now))
            return admission_refusal{503, "stale_configuration"};
        if (organisation != nullptr)
            return std::nullopt;
        return up_to_date(lease, now)
                   ? admission_refusal{401, "unknown_key"}
                   : admission_refusal{503, "stale_configuration"};
    }

private:
    static bool up_to_date(freshness_lease const& lease, steady_time now)
    {
        auto const age = lease.age(now);
        return age && *age < max_refusal_age;
    }
};

} // namespace dotterellock

#endif
