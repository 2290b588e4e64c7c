// Selects the endpoint of an attempt and the endpoint that holds the standby
// copy of its memory. Pure functions of the gateway's state.
//
// Designed for:
// - prompts of several thousand tokens: an endpoint prefills one at a time
//   where possible, as a second one delays both and every running stream;
// - callers that reconnect after their gateway failed: endpoints are ordered by
//   a hash of the last part of the prompt, so that any gateway of the zone
//   finds the endpoint that still caches it;
// - loss of an availability zone: the standby copy is in another zone;
// - many gateways that choose at one moment from the same, slightly old loads:
//   each compares only some endpoints, which differ by request, and waits a
//   moment if all endpoints together have less room than is asked for;
// - short calls to few endpoints: the lowest expected latency wins, with
//   failures counted as lost time. Those that just refused are left out.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_SELECTOR_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_SELECTOR_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "endpoint_table.hpp"
#include "peer_loads.hpp"
#include "rollout.hpp"
#include "routing_table.hpp"
#include "zone_failure_detector.hpp"

namespace dotterellock
{

/// Location of this gateway and its distance to other zones.
struct topology
{
    zone_id zone;
    std::map<std::string, std::string> region_of; // zone to region

    enum class distance
    {
        same_zone,
        same_region,
        other_region
    };

    distance distance_to(zone_id const& other) const;
};

/// What a request needs from its endpoint.
struct endpoint_requirements
{
    service_name service;
    std::string affinity_key; // last part of the prompt; may be empty
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; // upper limit
    endpoint_id cached_endpoint;     // caches the prompt; may be empty
    bool resuming = false; // the caller already has part of the answer
    std::uint32_t connection_limit = 0; // of this gateway per endpoint; 0: any
    std::set<std::string> excluded;     // endpoints whose attempts failed
    version_choice versions;            // of the endpoint's software
    std::set<std::string> barred_versions; // get nothing at all

    // The version that began the stream. What others write does not fit.
    std::optional<std::string> stream_version;

    // Choices that other gateways are expected to make at the same moment.
    double unseen_choices = 0;
    bool capacity_short = false; // requests wait for room at an endpoint

    std::uint64_t memory_tokens() const
    {
        return prompt_tokens + output_tokens;
    }

    /// Whether the endpoint's version may serve. Endpoints of an unknown
    /// version belong to the current one.
    bool allows(endpoint_record const& endpoint) const;

    /// Whether it waits while others wait, until it was sent to an endpoint. A
    /// cached prompt takes next to no capacity.
    bool waits_its_turn() const { return !resuming && cached_endpoint.empty(); }
};

/// What keeps a request from an endpoint now.
enum class endpoint_exclusion
{
    none,
    left,           // passed the drain bound
    paused,         // asked for a pause
    attempt_failed, // an attempt of this request failed there
    version,        // its software version gets no traffic
    connections,    // this gateway's share of its connections is in use
    suspended,      // failed recently, and others are available
    zone_suspect,   // its zone fails, and others are available
    leaving,        // drains, and others are available
    slots,          // all slots are in use
    memory,         // the request does not fit into its memory
    prefill,        // it processes another prompt
    waiting,        // requests wait there, by its report
    full,           // refused a call, or runs as many as it took before that
    limit           // it limits its requests, and this gateway has no permit
};

/// An endpoint as the selector sees it for one request.
struct examined_endpoint
{
    endpoint_ptr endpoint;
    endpoint_exclusion excluded_by = endpoint_exclusion::none;
    endpoint_state::workload load; // of all gateways, estimated
    topology::distance distance = topology::distance::same_zone;
};

/// Result of a selection.
struct endpoint_choice
{
    endpoint_ptr endpoint; // may be null

    // Endpoints could take the request, but have less room than all gateways
    // ask for at this moment, and others were drawn for it.
    bool waits_for_room = false;

    // The best endpoint, if it limits its requests and this gateway has no
    // permit.
    endpoint_ptr lacks_permit = nullptr;
};

class endpoint_selector
{
public:
    // Round-trip times between zones and regions, added to the expected
    // latency. Only the order of magnitude matters.
    static constexpr std::chrono::microseconds same_region_cost{1500};
    static constexpr std::chrono::microseconds other_region_cost{42000};

    // A failed short call costs about as much time as its caller waited for it.
    static constexpr std::chrono::microseconds failure_cost{400000};
    static constexpr std::chrono::microseconds error_cost{60000};

    // While all endpoints of a service take no requests.
    static constexpr std::chrono::milliseconds longest_limited_retry{1000};

    // Less time than another region costs: what a limited endpoint takes would
    // otherwise go to those that must take what exceeds its limit.
    static constexpr std::chrono::microseconds permit_value{30000};

    // Assumed for an endpoint that has not answered yet.
    static constexpr std::chrono::microseconds unmeasured_latency{10000};

    endpoint_selector(
        endpoint_table const& endpoints, zone_failure_detector const& zones,
        peer_loads const& peers, topology location)
        : endpoints_(endpoints), zones_(zones), peers_(peers),
          location_(std::move(location))
    {
    }

    /// Returns the endpoint for the next attempt, or null if none is available.
    /// @param engine  null for a service without a model engine
    endpoint_ptr choose(
        endpoint_requirements const& work, engine_spec const* engine,
        steady_time now) const;

    /// As choose(), with the reason for none.
    endpoint_choice select(
        endpoint_requirements const& work, engine_spec const* engine,
        steady_time now) const;

    /// Returns the endpoint for the standby copy of a run at `primary`, or
    /// null.
    endpoint_ptr choose_standby(
        endpoint_requirements const& work, engine_spec const& engine,
        endpoint_state const& primary, steady_time now) const;

    /// Returns the endpoints where a prompt most likely ran before, the
    /// likeliest first: those that choose() prefers if nothing else runs.
    std::vector<endpoint_ptr> likely_caches(
        endpoint_requirements const& work, std::size_t max_count,
        steady_time now) const;

    /// When the first endpoint of a service ends its pause; empty if one is not
    /// paused or none will serve.
    std::optional<steady_time>
    earliest_pause_end(service_name const& service, steady_time now) const;

    /// Known work of all gateways at an endpoint.
    endpoint_state::workload
    total_load(endpoint_state const& endpoint, steady_time now) const;

    /// The earliest time at which the request limits of all endpoints together
    /// allow a request behind others; empty if an endpoint has no limit or none
    /// will serve, and the end of time if none takes any request.
    std::optional<steady_time> earliest_within_limits(
        service_name const& service, std::size_t ahead, steady_time now) const;

    /// When the caller of a request that has to wait until then may return.
    static std::chrono::milliseconds
    retry_after_limits(steady_time until, steady_time now);

    /// Returns the endpoints that could take the request but for a permit, for
    /// a prompt the best ones in their order.
    std::vector<endpoint_ptr> lacking_permits(
        endpoint_requirements const& work, engine_spec const* engine,
        steady_time now) const;

    /// Returns all endpoints of the service, with what excludes each. select()
    /// takes one that nothing excludes, if there is one and the request does
    /// not wait for room.
    /// @param engine  null for a service without a model engine
    std::vector<examined_endpoint> examine(
        endpoint_requirements const& work, engine_spec const* engine,
        steady_time now) const;

    /// See peer_loads::oldest_shares().
    std::unordered_map<std::string, steady_time> oldest_peer_shares() const
    {
        return peers_.oldest_shares();
    }

    /// Whether an endpoint that has not left is of a version that the request
    /// may use, whatever else keeps it from there.
    bool
    version_served(endpoint_requirements const& work, steady_time now) const;

    topology const& location() const { return location_; }

private:
    // Endpoints of a worse level get requests only if there is no better one.
    enum class usability
    {
        healthy,
        suspect, // suspended or in a suspect zone
        leaving
    };

    static endpoint_exclusion unusable_because(
        endpoint_state const& endpoint, endpoint_requirements const& work,
        steady_time now);
    usability
    usability_of(endpoint_state const& endpoint, steady_time now) const;
    endpoint_exclusion avoided_because(
        endpoint_state const& endpoint, usability best, steady_time now) const;
    void exclude_delayed(
        std::vector<examined_endpoint>& examined,
        endpoint_requirements const& work, engine_spec const& engine,
        steady_time now) const;
    static endpoint_exclusion delayed_because(
        endpoint_state const& endpoint, endpoint_state::workload const& load,
        endpoint_requirements const& work, engine_spec const& engine,
        std::uint64_t max_backlog, steady_time now);
    static endpoint_exclusion busy_because(
        endpoint_state const& endpoint, endpoint_state::workload const& load,
        std::uint64_t max_backlog, steady_time now);

    struct candidate
    {
        endpoint_ptr endpoint;
        std::uint64_t weight; // rendezvous hash
    };

    static bool lacks_permit(
        endpoint_state const& endpoint, engine_spec const* engine,
        steady_time now);
    std::vector<endpoint_ptr> calls_lacking_permits(
        endpoint_requirements const& work, steady_time now) const;
    std::vector<endpoint_ptr> prompts_lacking_permits(
        endpoint_requirements work, engine_spec const* engine,
        steady_time now) const;

    std::vector<candidate> usable_candidates(
        endpoint_requirements const& work, engine_spec const* engine,
        steady_time now) const;

    /// An endpoint that can take the request.
    struct option
    {
        candidate const* endpoint = nullptr;
        endpoint_state::workload load;
        double room = 1;     // requests of this size
        double slowness = 1; // against the median endpoint
        topology::distance distance = topology::distance::same_zone;
    };

    static bool has_capacity(
        endpoint_state::workload const& load, endpoint_requirements const& work,
        engine_spec const& engine, double memory_fraction);
    static double room_for(
        endpoint_state::workload const& load, endpoint_requirements const& work,
        engine_spec const& engine);
    static void set_slowness(std::vector<option>& options, steady_time now);
    static void keep_subset(std::vector<option>& options, double choosers);
    std::vector<option> options_for_prompt(
        std::vector<candidate> const& candidates,
        endpoint_requirements const& work, engine_spec const& engine,
        std::uint64_t max_backlog, steady_time now) const;
    endpoint_choice choose_for_prompt(
        std::vector<candidate> const& candidates,
        endpoint_requirements const& work, engine_spec const& engine,
        steady_time now) const;
    endpoint_ptr choose_for_call(
        std::vector<candidate> const& candidates, steady_time now) const;

    endpoint_table const& endpoints_;
    zone_failure_detector const& zones_;
    peer_loads const& peers_;
    topology const location_;
};

} // namespace dotterellock

#endif
