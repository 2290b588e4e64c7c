// Answers of a gateway to questions about the placement of a request.
#include "gateway.hpp"

#include <variant>

#include "http/reason_phrase.hpp"
#include "placement_query_codec.hpp"

namespace dotterellock
{

status_page gateway::explain_placement(std::string_view target)
{
    auto const now = env_.clock.now();
    if (!explanation_limit_.try_take(now))
        return {
            429,
            {{"Content-Type", "application/json"}, {"Retry-After", "1"}},
            "{\"error\":\"too_many_requests\"}\n"};
    auto const parsed = parse_placement_query(target);
    auto const* fault = std::get_if<query_fault>(&parsed);
    std::optional<query_fault> unknown_name;
    auto const state = explained_state(now);
    if (fault == nullptr)
    {
        unknown_name = check_query(std::get<placement_query>(parsed), state);
        fault = unknown_name ? &*unknown_name : nullptr;
    }
    header_list headers{{"Content-Type", "application/json"}};
    if (fault != nullptr)
        return {400, std::move(headers), format_query_fault(*fault)};
    return {
        200, std::move(headers),
        format_explanation(dotterellock::explain_placement(
            std::get<placement_query>(parsed), state, now))};
}

/// Const, as a question must not change what it asks about.
placement_state gateway::explained_state(steady_time now) const
{
    placement_state state{
        table_.get(),
        freshness_lease_,
        selection_,
        endpoint_watch_.listed(),
        {},
        {},
        {},
        {},
        {}};
    state.has_endpoints = [this](service_name const& service)
    { return !endpoints_.of_service(service).empty(); };
    state.service = [this, now](service_name const& service)
    { return explained_service(service, now); };
    state.cache = [this, now](
                      gateway_route const& route,
                      endpoint_requirements const& work) -> cache_view
    {
        if (!may_be_cached(route, std::nullopt))
            return {};
        auto const known = cache_lookup_.known_endpoint(work, now);
        return {
            known.empty() ? cache_search::would_ask : cache_search::known,
            known};
    };
    state.quarantined_for = [this, now](std::vector<std::string> const& parts) {
        return prompt_crashes_.quarantined_for(prompt_part_keys_of(parts), now);
    };
    if (shutting_down_)
        state.accepts_while_stopping = [this, now](
                                           gateway_route const& route,
                                           duration longest,
                                           std::optional<duration> expected)
        {
            return shutdown_policy::accepts(
                route, now - shutdown_began_, settings_.shutdown_grace, longest,
                expected);
        };
    if (rollouts_)
        state.choose_versions = [this, now](endpoint_requirements& work)
        { rollouts_->choose_versions(work, now); };
    return state;
}

service_view
gateway::explained_service(service_name const& service, steady_time now) const
{
    service_view view;
    auto const queue = request_queues_.find(service);
    if (queue != request_queues_.end())
        view.queue = queue->second.get();
    auto const* const spec = table_ ? table_->service(service) : nullptr;
    if (spec != nullptr)
        view.connection_limit = connection_share(*spec);
    auto const estimate = estimates_.find(service);
    if (estimate != estimates_.end())
        view.first_event = estimate->second;
    auto const stream = stream_durations_.find(service);
    if (stream != stream_durations_.end())
        view.stream_duration = stream->second;
    auto const generation = generation_estimates_.find(service);
    if (generation != generation_estimates_.end())
        view.generation = generation->second;
    // Copies, as asking them removes what has expired.
    auto const contention = contention_.find(service);
    auto choices = contention != contention_.end() ? contention->second
                                                   : choice_contention();
    view.unseen_choices = choices.unseen_choices(
        fleet_size() - 1, requests_waiting(service), false, now);
    auto const known = budgets_.find(service);
    auto budget = known != budgets_.end() ? known->second : new_budget();
    update_fleet_size(budget);
    view.retry_available = budget.available(now);
    return view;
}

} // namespace dotterellock
