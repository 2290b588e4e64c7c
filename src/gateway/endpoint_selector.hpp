// Chooses the endpoint of an attempt and the endpoint that keeps a standby
// copy of its memory. Pure functions of what the gateway knows.
//
// Loads answered:
// - prompts of several thousand tokens: one is read at a time at an endpoint
//   where possible, as a second one delays both and every running stream;
// - callers that come back after their gateway was lost: the order of
//   endpoints follows the last part of the prompt, so that any gateway of the
//   zone finds the endpoint that still caches it;
// - the loss of an availability zone: the standby copy lies outside it;
// - short calls at few endpoints: the least expected latency, with failures
//   weighed as lost time.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_SELECTOR_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_SELECTOR_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "endpoint_table.hpp"
#include "peer_loads.hpp"
#include "routing_table.hpp"
#include "zone_failure_detector.hpp"

namespace dotterellock
{

/// Where the gateway stands, and what it takes to reach other zones.
struct topology
{
    zone_id zone;
    std::map<std::string, std::string> region_of; // by zone

    enum class distance
    {
        same_zone,
        same_region,
        other_region
    };

    distance distance_to(zone_id const& other) const;
};

/// What an attempt needs of its endpoint.
struct endpoint_requirements
{
    service_name service;
    std::string affinity_key; // last part of the prompt; may be empty
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; // at most
    endpoint_id cached_endpoint;     // keeps the prompt; may be empty
    bool resuming = false;           // its caller has a part of the answer
    std::uint32_t connection_limit =
        0;                          // this gateway's at one endpoint; 0: any
    std::set<std::string> excluded; // endpoints that already failed it

    std::uint64_t memory_tokens() const
    {
        return prompt_tokens + output_tokens;
    }
};

class endpoint_selector
{
public:
    // Round trips between zones and regions, as a penalty in a choice between
    // latencies. Only their order of magnitude matters.
    static constexpr std::chrono::microseconds same_region_cost{1500};
    static constexpr std::chrono::microseconds other_region_cost{42000};

    // A failed short call costs about what its caller had to wait for it.
    static constexpr std::chrono::microseconds failure_cost{400000};
    static constexpr std::chrono::microseconds error_cost{60000};

    // Assumed of an endpoint that has not answered yet.
    static constexpr std::chrono::microseconds unmeasured_latency{10000};

    endpoint_selector(
        endpoint_table const& endpoints, zone_failure_detector const& zones,
        peer_loads const& peers, topology location)
        : endpoints_(endpoints), zones_(zones), peers_(peers),
          location_(std::move(location))
    {
    }

    /// The endpoint for the next attempt, or null when none may take it.
    /// @param engine  null for a service without a model engine
    endpoint_ptr choose(
        endpoint_requirements const& work, engine_spec const* engine,
        steady_time now) const;

    /// Where the standby copy of a run at `primary` goes; null: nowhere.
    endpoint_ptr choose_standby(
        endpoint_requirements const& work, engine_spec const& engine,
        endpoint_state const& primary, steady_time now) const;

    topology const& location() const { return location_; }

private:
    struct candidate
    {
        endpoint_ptr endpoint;
        std::uint64_t weight; // rendezvous order
    };

    std::vector<candidate>
    usable_candidates(endpoint_requirements const& work, steady_time now) const;
    bool has_capacity(
        endpoint_state const& endpoint, endpoint_requirements const& work,
        engine_spec const& engine, double memory_fraction,
        steady_time now) const;

    /// Work of all gateways at an endpoint, as far as it is known.
    endpoint_state::workload
    total_load(endpoint_state const& endpoint, steady_time now) const;
    endpoint_ptr choose_for_prompt(
        std::vector<candidate> const& candidates,
        endpoint_requirements const& work, engine_spec const& engine,
        steady_time now) const;
    endpoint_ptr
    choose_for_call(std::vector<candidate> const& candidates) const;

    endpoint_table const& endpoints_;
    zone_failure_detector const& zones_;
    peer_loads const& peers_;
    topology const location_;
};

} // namespace dotterellock

#endif
