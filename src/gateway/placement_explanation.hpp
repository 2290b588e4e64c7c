// Explains where a request would be placed now, and why. Pure functions of the
// gateway's state that ask the code that admits, queues and places requests;
// they change nothing and draw no random number.
//
// Designed for an operator's question during an incident at a gateway with 600
// endpoints and a fraction of a core: one pass over the endpoints of the
// service, max_choices selections and a list of max_candidates.
#ifndef DOTTERELLOCK_GATEWAY_PLACEMENT_EXPLANATION_HPP
#define DOTTERELLOCK_GATEWAY_PLACEMENT_EXPLANATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endpoint_selector.hpp"
#include "freshness_lease.hpp"
#include "generation_estimate.hpp"
#include "liveness.hpp"
#include "request_queue.hpp"
#include "routing_table.hpp"
#include "service_retry_budget.hpp"

namespace dotterellock
{

/// A request as an operator describes it.
struct placement_query
{
    std::string route; // by name; empty: by host and path
    std::string host;
    std::string path;
    std::string service; // one of the route's targets; empty: the heaviest
    organisation_id organisation;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::string last_prompt_part;
    std::vector<std::string> shared_parts; // before the last one, in order
    std::optional<std::chrono::milliseconds> deadline; // its caller's
};

/// What a gateway knows of one service apart from its endpoints.
struct service_view
{
    request_queue const* queue = nullptr; // null: nothing has waited yet
    std::optional<std::uint32_t> connection_limit;
    first_event_estimate first_event;
    std::optional<duration> stream_duration; // of recent streams
    generation_estimate generation;          // after their first event
    double unseen_choices = 0;    // see choice_contention, for a new request
    bool retry_available = false; // by the retry budget
};

/// What the cache lookup for a returning caller would do.
enum class cache_search
{
    none,     // the request is sent without a lookup
    known,    // the lookup knows the endpoint
    would_ask // endpoints would be asked first, which may change the choice
};

struct cache_view
{
    cache_search search = cache_search::none;
    endpoint_id endpoint; // if known
};

/// Read access to a gateway's state. The functions must not change it.
struct placement_state
{
    routing_table const* table = nullptr; // null: no configuration
    freshness_lease const& lease;
    endpoint_selector const& selection;
    bool endpoints_listed = false; // the list of endpoints is known
    std::function<bool(service_name const&)> has_endpoints;
    std::function<service_view(service_name const&)> service;
    std::function<cache_view(
        gateway_route const&, endpoint_requirements const&)>
        cache;
    std::function<std::optional<std::chrono::milliseconds>(
        std::vector<std::string> const& prompt_parts)>
        quarantined_for;

    /// Whether a stopping gateway takes such a request; null: not stopping.
    std::function<bool(
        gateway_route const&, duration longest,
        std::optional<duration> expected)>
        accepts_while_stopping;

    /// Sets the versions that the request may use; null: any.
    std::function<void(endpoint_requirements&)> choose_versions = nullptr;
};

struct placement_refusal
{
    unsigned status = 503;
    std::string reason;
    std::string detail; // may be empty
    std::optional<std::chrono::milliseconds> retry_after;

    // If it is drawn from a range, which retry_after begins.
    std::optional<std::chrono::milliseconds> max_retry_after = std::nullopt;
};

enum class placement_outcome
{
    placed,
    queued,
    refused
};

/// Why a request is queued.
enum class wait_cause
{
    none,
    others,   // some wait already, and it does not overtake them
    endpoint, // all endpoints are excluded
    room,     // less is left than all gateways ask for, and others were drawn
    permit    // the best endpoint limits its requests
};

struct explained_candidate
{
    endpoint_id endpoint;
    zone_id zone;
    std::string address;
    endpoint_exclusion excluded_by = endpoint_exclusion::none;
    std::optional<duration> excluded_for; // left of a pause
    topology::distance distance = topology::distance::same_zone;
    endpoint_state::workload load;          // of all gateways, estimated
    endpoint_state::workload own_load;      // of this gateway
    std::optional<duration> report_age;     // none: no report counts
    std::optional<duration> peer_share_age; // oldest; none: no share counts
    std::uint32_t reported_waiting = 0;
    double failure_rate = 0;
    double error_rate = 0;
    std::optional<std::chrono::microseconds> latency;
    std::optional<duration> event_pace; // none: not known

    // Requests a second; none: no limit.
    std::optional<double> request_limit;
    std::uint32_t permits = 0; // of this gateway
};

struct placement_explanation
{
    // The choice and the endpoints of further attempts.
    static constexpr std::size_t max_choices = 4;
    static constexpr std::size_t max_candidates = 32;
    static constexpr std::size_t max_targets = 8;

    // The request
    std::uint64_t configuration_version = 0;
    std::optional<duration> configuration_age;
    std::string route;
    std::string kind;
    service_name service;
    std::vector<route_target> targets;
    std::size_t targets_left_out = 0;
    organisation_id organisation;
    std::uint32_t rank = 0;
    bool engine_prompt = false;
    bool tie_by_request_id = false; // no last part: equals are told apart by id

    // The decision
    placement_outcome outcome = placement_outcome::refused;
    wait_cause waits_for = wait_cause::none;
    std::vector<endpoint_id> choices; // in the order of the attempts
    std::optional<placement_refusal> refusal;
    std::optional<duration> expected_start;       // from now; empty: unknown
    std::optional<duration> latest_start;         // from now, refused if later
    std::optional<duration> expected_first_event; // after the start
    std::optional<duration> all_paused_for;
    cache_view cache;
    bool retry_available = false;
    queue_forecast queue;

    // The candidates, best first
    std::vector<explained_candidate> candidates;
    std::size_t candidates_left_out = 0;
    std::map<endpoint_exclusion, std::size_t> counts; // of all
};

/// A parameter of a query that does not fit the configuration in force.
struct query_fault
{
    std::string parameter;
    std::string detail;
};

/// Finds what is wrong with a query under the configuration in force, such as
/// the name of a route that it does not have.
std::optional<query_fault>
check_query(placement_query const& query, placement_state const& state);

/// @param query  one that check_query() accepts
placement_explanation explain_placement(
    placement_query const& query, placement_state const& state,
    steady_time now);

/// Times of a request in the queue of its service.
/// @param received    its arrival
/// @param deadline    of the request
/// @param generation  of the answers of its service
queued_request make_queued_request(
    gateway_route const& route, endpoint_requirements const& work,
    std::uint32_t rank, steady_time received, steady_time deadline,
    first_event_estimate const& estimate, generation_estimate const& generation,
    steady_time now);

} // namespace dotterellock

#endif
