// Routes, services and organisations of one configuration version, indexed for
// lookup by requests. Immutable after construction; shared by all requests that
// started under this version.
#ifndef DOTTERELLOCK_GATEWAY_ROUTING_TABLE_HPP
#define DOTTERELLOCK_GATEWAY_ROUTING_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <dotterellock/types.hpp>

namespace dotterellock
{

/// One target of a route; traffic is split by weight.
struct route_target
{
    service_name service;
    std::uint32_t weight = 1;
};

struct gateway_route
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with '/'
    std::vector<route_target> targets;
    bool idempotent = false;    // the request may run more than once
    bool event_stream = false;  // answered by events with increasing ids
    bool resumable = false;     // a stream may resume after its last event
    bool anonymous = false;     // no API key required
    bool engine_prompt = false; // carries a prompt for a model engine
    std::uint32_t rank = 0;     // 0 is the most urgent
    std::uint32_t max_attempts = 1;
    std::chrono::milliseconds timeout{30000};
    std::chrono::milliseconds first_byte_target{1000};
    std::chrono::milliseconds event_gap_target{1000};

    /// Whether running the request a second time is harmless.
    bool repeatable() const { return event_stream ? resumable : idempotent; }

    /// Name of the request kind in logs and metrics.
    char const* kind() const
    {
        if (event_stream)
            return resumable ? "resumable_stream" : "stream";
        return idempotent ? "idempotent" : "at_most_once";
    }
};

/// Model engine of a service.
struct engine_spec
{
    std::uint32_t slots = 1;
    std::uint64_t memory_tokens = 0;
    bool standby_copies = false; // copies memory of runs to another endpoint
    std::chrono::milliseconds copy_lifetime{4000}; // of an on-demand copy
};

struct service_spec
{
    service_name name;
    std::uint32_t max_connections = 100; // shared by all callers
    std::optional<engine_spec> engine;
};

/// Limits on request size and duration.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

struct organisation_spec
{
    organisation_id name;
    std::vector<std::string> api_keys;
    std::optional<std::uint32_t> rank; // overrides the rank of the route
};

struct gateway_configuration
{
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<service_spec> services;

    // Absent: no API keys are asked for. An empty list has no valid key.
    std::optional<std::vector<organisation_spec>> organisations;
    caller_limits limits;
};

class routing_table
{
public:
    explicit routing_table(gateway_configuration configuration);

    routing_table(routing_table const&) = delete;
    routing_table& operator=(routing_table const&) = delete;

    std::uint64_t version() const { return configuration_.version; }
    caller_limits const& limits() const { return configuration_.limits; }
    bool requires_api_key() const
    {
        return configuration_.organisations.has_value();
    }

    /// Finds the route of the host with the longest matching path prefix.
    /// @param path  without the query
    gateway_route const*
    match(std::string_view host, std::string_view path) const;

    /// Organisation that owns the key, or null; null for an empty key.
    organisation_spec const* organisation(std::string const& key) const;

    /// Organisation of that name, or null.
    organisation_spec const*
    organisation_named(organisation_id const& name) const;

    /// Routes of that name. Names need not be unique, as only logs use them.
    std::vector<gateway_route const*> routes_named(std::string_view name) const;

    service_spec const* service(service_name const& name) const;
    std::vector<service_spec> const& services() const
    {
        return configuration_.services;
    }

    /// Whether the configuration has this service, itself or as a target.
    bool names(service_name const& service) const;

    /// Services that serve streams which may be resumed.
    std::set<service_name> resumable_services() const;

    /// Selects a target by weight; the same draw selects the same target.
    /// @param draw  uniformly distributed over all values
    static service_name const&
    select_target(gateway_route const& route, std::uint64_t draw);

private:
    using prefix_index = std::unordered_map<std::string, std::size_t>;

    gateway_configuration const configuration_;
    std::unordered_map<std::string, prefix_index> routes_; // by host
    std::unordered_map<std::string, organisation_spec const*>
        organisations_by_key_;
    std::unordered_map<std::string, std::size_t> services_by_name_;
};

} // namespace dotterellock

#endif
