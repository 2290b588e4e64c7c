// Finds the endpoint that still caches the prompt of a returning caller, by
// asking the endpoints for what they cache. A listing delays an endpoint's
// work, so each caller's lookup asks only the endpoints where its prompt most
// likely ran, and callers that return together share the answers.
//
// Designed for the loss of all gateways in the middle of answers, in fleets
// where each gateway could ask more than a hundred endpoints.
#ifndef DOTTERELLOCK_RELAY_PROMPT_CACHE_LOOKUP_HPP
#define DOTTERELLOCK_RELAY_PROMPT_CACHE_LOOKUP_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "endpoint_call.hpp"
#include "gateway/endpoint_selector.hpp"
#include "gateway/event_log.hpp"
#include "gateway/prompt_cache_index.hpp"
#include "protocol_codec.hpp"

namespace dotterellock
{

class prompt_cache_lookup
{
public:
    /// Receives the endpoint that caches the prompt, or an empty id.
    using handler = std::function<void(endpoint_id const& cached_at)>;

    /// Sends a request to an endpoint; ends within the timeout.
    using endpoint_caller = std::function<void(
        endpoint_ptr const& endpoint, std::chrono::milliseconds timeout,
        std::string request, endpoint_call::handler done)>;

    // One listing of an endpoint serves all callers that return together.
    static constexpr std::chrono::milliseconds listing_interval{1500};
    static constexpr std::chrono::milliseconds listing_timeout{120};

    // Endpoints asked for one prompt. All gateways of a fleet together ask a
    // bounded number, as their callers return together.
    static constexpr std::size_t min_endpoints = 16;
    static constexpr std::size_t fleet_endpoints = 512;

    static std::size_t endpoints_per_prompt(std::size_t fleet_size)
    {
        return std::max(
            min_endpoints,
            fleet_endpoints / std::max<std::size_t>(fleet_size, 1));
    }

    prompt_cache_lookup(
        endpoint_selector const& selection, protocol_codec const& protocol,
        clock_source const& clock, event_log& log, endpoint_caller call)
        : selection_(selection), protocol_(protocol), clock_(clock), log_(log),
          call_(std::move(call))
    {
    }

    prompt_cache_lookup(prompt_cache_lookup const&) = delete;
    prompt_cache_lookup& operator=(prompt_cache_lookup const&) = delete;

    /// Calls the handler once, possibly before this returns.
    void find(
        endpoint_requirements const& work, std::size_t fleet_size,
        handler done);

    /// The endpoint that find() would return without asking any; may be empty.
    endpoint_id
    known_endpoint(endpoint_requirements const& work, steady_time now) const
    {
        return index_.best_endpoint(work.affinity_key, now);
    }

    void remove_expired(steady_time now);

private:
    struct search
    {
        std::string part;
        std::size_t open = 0; // unanswered listings
        handler done;
    };

    struct listing
    {
        steady_time began{};
        bool open = false;
        std::vector<std::shared_ptr<search>> searches;
    };

    void list(endpoint_ptr const& endpoint, std::shared_ptr<search> const& s);
    void on_listed(endpoint_state const& endpoint, endpoint_reply const& reply);
    void finish(search& s, bool listed);

    endpoint_selector const& selection_;
    protocol_codec const& protocol_;
    clock_source const& clock_;
    event_log& log_;
    endpoint_caller const call_;
    prompt_cache_index index_;
    std::map<std::string, listing> listings_; // by endpoint
};

} // namespace dotterellock

#endif
