// Index: times in the queue; the query; the decision; the candidates.
#include "placement_explanation.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "request_admission.hpp"

namespace dotterellock
{

// Times in the queue ---------------------------------------------------------

queued_request make_queued_request(
    gateway_route const& route, endpoint_requirements const& work,
    std::uint32_t rank, steady_time received, steady_time deadline,
    first_event_estimate const& estimate, generation_estimate const& generation,
    steady_time now)
{
    auto const first = estimate.expected(work.prompt_tokens);
    answer_duration const answer{
        first, generation.expected(work.output_tokens).value_or(first)};
    answer_limits const limits{
        received, deadline, route.first_byte_target, route.event_gap_target,
        route.event_stream};
    queued_request entry;
    entry.rank = work.resuming ? 0 : rank;
    entry.tokens = work.prompt_tokens;
    entry.received = received;
    entry.deadline = deadline;
    entry.begun = work.resuming;
    entry.target_start = entry.begun ? now + route.event_gap_target
                                     : target_start(limits, answer);
    entry.start_deadline =
        entry.begun ? deadline : latest_start(limits, answer);
    return entry;
}

namespace
{

// The query ------------------------------------------------------------------

gateway_route const*
find_route(placement_query const& query, routing_table const& table)
{
    if (query.route.empty())
        return table.match(query.host, query.path);
    auto const named = table.routes_named(query.route);
    return named.empty() ? nullptr : named.front();
}

/// The named target, else the one that most requests go to.
service_name const&
find_target(placement_query const& query, gateway_route const& route)
{
    auto const& targets = route.targets;
    auto const named = std::find_if(
        targets.begin(), targets.end(),
        [&query](route_target const& t)
        { return t.service.value() == query.service; });
    if (named != targets.end())
        return named->service;
    return std::max_element(
               targets.begin(), targets.end(),
               [](route_target const& a, route_target const& b)
               { return a.weight < b.weight; })
        ->service;
}

bool needs_organisation(
    placement_query const& query, routing_table const& table,
    gateway_route const& route)
{
    return query.organisation.empty() &&
           request_admission::needs_organisation(table, route);
}

// The decision ---------------------------------------------------------------

class explainer
{
public:
    explainer(
        placement_query const& query, placement_state const& state,
        steady_time now)
        : query_(query), state_(state), now_(now)
    {
    }

    placement_explanation explain()
    {
        describe_admission();
        if (route_ == nullptr)
            return std::move(result_);
        describe_service();
        auto choices = choose();
        describe_candidates(choices);
        if (!result_.refusal)
            decide(std::move(choices));
        return std::move(result_);
    }

private:
    void refuse(admission_refusal const& refusal, std::string detail)
    {
        refuse(refusal.status, refusal.reason, std::nullopt);
        result_.refusal->detail = std::move(detail);
    }

    void refuse(
        unsigned status, std::string reason,
        std::optional<std::chrono::milliseconds> retry_after)
    {
        result_.outcome = placement_outcome::refused;
        result_.refusal = {status, std::move(reason), {}, retry_after, {}};
        result_.waits_for = wait_cause::none;
        result_.choices.clear();
    }

    void refuse(refusal_reason reason, retry_range const& retry_after)
    {
        using std::chrono::milliseconds;
        refuse(
            503, to_string(reason),
            std::chrono::duration_cast<milliseconds>(retry_after.first));
        result_.refusal->max_retry_after =
            std::chrono::duration_cast<milliseconds>(retry_after.last);
    }

    void describe_admission();
    void describe_service();
    void describe_candidates(std::vector<endpoint_id> const& choices);
    void decide(std::vector<endpoint_id> choices);
    wait_cause cause_of_wait(std::vector<endpoint_id> const& choices) const;
    void queue();
    std::vector<endpoint_id> choose();
    steady_time deadline() const
    {
        return now_ +
               std::min(
                   query_.deadline.value_or(route_->timeout), route_->timeout);
    }

    placement_query const& query_;
    placement_state const& state_;
    steady_time const now_;
    gateway_route const* route_ = nullptr;
    engine_spec const* engine_ = nullptr;
    service_view service_;
    endpoint_requirements work_;
    bool waits_for_room_ = false; // by the first selection
    bool waits_for_permit_ = false;
    placement_explanation result_;
};

/// As gateway::on_request(), in its order.
void explainer::describe_admission()
{
    if (state_.table == nullptr)
    {
        refuse(503, "no_configuration", std::nullopt);
        return;
    }
    auto const& table = *state_.table;
    result_.configuration_version = table.version();
    result_.configuration_age = state_.lease.age(now_);
    route_ = find_route(query_, table);
    if (auto const refusal =
            request_admission::check_route(route_, state_.lease, now_))
    {
        refuse(*refusal, "no route of this host has a prefix of the path");
        return;
    }
    result_.route = route_->name;
    result_.kind = route_->kind();
    result_.rank = route_->rank;
    if (!request_admission::needs_organisation(table, *route_))
        return;
    auto const* organisation = table.organisation_named(query_.organisation);
    std::string detail;
    if (organisation == nullptr)
        detail = "the configuration has no such organisation";
    else if (organisation->api_keys.empty())
    {
        organisation = nullptr;
        detail = "the organisation has no key";
    }
    if (auto const refusal = request_admission::check_organisation(
            organisation, state_.lease, now_))
        refuse(*refusal, std::move(detail));
    if (organisation == nullptr)
        return;
    result_.organisation = organisation->name;
    result_.rank = organisation->rank.value_or(result_.rank);
}

void explainer::describe_service()
{
    auto const& table = *state_.table;
    auto const& targets = route_->targets;
    auto const shown =
        std::min(targets.size(), placement_explanation::max_targets);
    result_.targets.assign(
        targets.begin(), targets.begin() + std::ptrdiff_t(shown));
    result_.targets_left_out = targets.size() - shown;
    auto const& name = find_target(query_, *route_);
    result_.service = name;
    service_ = state_.service(name);
    auto const* const spec = table.service(name);
    if (spec != nullptr && spec->engine)
        engine_ = &*spec->engine;
    result_.engine_prompt = engine_ != nullptr;
    result_.retry_available = service_.retry_available;

    work_.service = name;
    work_.affinity_key = query_.last_prompt_part;
    work_.prompt_tokens = query_.prompt_tokens;
    work_.output_tokens = query_.output_tokens;
    work_.connection_limit = service_.connection_limit.value_or(0);
    work_.unseen_choices = service_.unseen_choices;
    if (state_.choose_versions)
        state_.choose_versions(work_);
    work_.capacity_short =
        service_.queue != nullptr && service_.queue->size() > 0;
    result_.tie_by_request_id =
        engine_ != nullptr && query_.last_prompt_part.empty();
    result_.cache = state_.cache(*route_, work_);
    work_.cached_endpoint = result_.cache.endpoint;
    if (engine_ != nullptr)
        result_.expected_first_event =
            service_.first_event.expected(work_.prompt_tokens);

    if (result_.refusal)
        return;
    if (state_.endpoints_listed && spec == nullptr &&
        !state_.has_endpoints(name))
    {
        refuse(503, "unknown_service", std::nullopt);
        return;
    }
    if (state_.accepts_while_stopping &&
        !state_.accepts_while_stopping(
            *route_, deadline() - now_, service_.stream_duration))
    {
        refuse(503, "shutting_down", std::nullopt);
        return;
    }
    if (!route_->engine_prompt)
        return;
    auto parts = query_.shared_parts;
    parts.push_back(query_.last_prompt_part);
    if (auto const rest = state_.quarantined_for(parts))
        refuse(503, "quarantined_prompt", *rest);
}

/// As relay_exchange::start_next_attempt().
void explainer::decide(std::vector<endpoint_id> choices)
{
    result_.waits_for = cause_of_wait(choices);
    if (result_.waits_for != wait_cause::none)
    {
        queue();
        return;
    }
    result_.outcome = placement_outcome::placed;
    result_.choices = std::move(choices);
    result_.expected_start = duration::zero();
}

/// As relay_exchange::behind_others() and choose_endpoint().
wait_cause
explainer::cause_of_wait(std::vector<endpoint_id> const& choices) const
{
    if (work_.capacity_short && work_.waits_its_turn())
        return wait_cause::others;
    if (!choices.empty())
        return wait_cause::none;
    if (waits_for_permit_)
        return wait_cause::permit;
    return waits_for_room_ ? wait_cause::room : wait_cause::endpoint;
}

/// The endpoints that the attempts would go to if all but the last failed.
std::vector<endpoint_id> explainer::choose()
{
    std::vector<endpoint_id> choices;
    auto work = work_;
    while (choices.size() < placement_explanation::max_choices)
    {
        auto const choice = state_.selection.select(work, engine_, now_);
        if (choices.empty())
        {
            waits_for_room_ = choice.waits_for_room;
            waits_for_permit_ = choice.lacks_permit != nullptr;
        }
        if (!choice.endpoint)
            break;
        auto const& id = choice.endpoint->record().id;
        choices.push_back(id);
        work.excluded.insert(id.value());
    }
    return choices;
}

/// As gateway::wait_for_capacity().
void explainer::queue()
{
    auto entry = make_queued_request(
        *route_, work_, result_.rank, now_, deadline(), service_.first_event,
        service_.generation, now_);
    entry.id = std::numeric_limits<queue_entry_id>::max(); // the newest
    entry.organisation = result_.organisation;
    result_.latest_start = entry.start_deadline - now_;
    auto const pause_end =
        state_.selection.earliest_pause_end(work_.service, now_);
    if (pause_end)
        result_.all_paused_for = *pause_end - now_;
    if (service_.queue != nullptr)
        result_.queue = service_.queue->forecast(entry, now_);
    if (pause_end && entry.too_late_at(*pause_end))
    {
        refuse(
            503, "endpoints_paused",
            std::chrono::ceil<std::chrono::milliseconds>(*pause_end - now_));
        return;
    }
    auto const within_limits = state_.selection.earliest_within_limits(
        work_.service, result_.queue.ahead, now_);
    if (within_limits && entry.too_late_at(*within_limits))
    {
        refuse(
            503, "request_limits",
            endpoint_selector::retry_after_limits(*within_limits, now_));
        return;
    }
    if (result_.queue.refused)
    {
        refuse(*result_.queue.refused, result_.queue.retry_after);
        return;
    }
    // An empty queue refuses what is too late already, too.
    if (entry.too_late_at(now_))
    {
        refuse(
            refusal_reason::late_start,
            request_queue::retry_range_after(entry, std::nullopt, now_));
        return;
    }
    result_.outcome = placement_outcome::queued;
    result_.expected_start = result_.queue.wait;
    if (result_.all_paused_for)
        result_.expected_start = std::max(
            result_.expected_start.value_or(duration::zero()),
            *result_.all_paused_for);
}

// The candidates -------------------------------------------------------------

explained_candidate describe(
    examined_endpoint const& e,
    std::unordered_map<std::string, steady_time> const& shares, steady_time now)
{
    auto const& endpoint = *e.endpoint;
    auto const& record = endpoint.record();
    explained_candidate c;
    c.endpoint = record.id;
    c.zone = record.zone;
    c.address = record.address;
    c.excluded_by = e.excluded_by;
    if (e.excluded_by == endpoint_exclusion::paused)
        c.excluded_for = endpoint.paused_until() - now;
    c.distance = e.distance;
    c.load = e.load;
    c.own_load = endpoint.load;
    if (endpoint.recent_report(now))
        c.report_age = now - endpoint.last_report_at();
    auto const share = shares.find(record.id.value());
    if (share != shares.end())
        c.peer_share_age = now - share->second;
    c.reported_waiting = endpoint.reported_waiting(now);
    c.failure_rate = endpoint.failure_rate();
    c.error_rate = endpoint.error_rate();
    if (endpoint.has_latency())
        c.latency = endpoint.latency();
    c.event_pace = endpoint.pace.value(now);
    c.request_limit = endpoint.request_limit.limit();
    c.permits = endpoint.request_limit.permits(now);
    return c;
}

/// Lists the choices first, then what is closest to being one.
void explainer::describe_candidates(std::vector<endpoint_id> const& choices)
{
    auto examined = state_.selection.examine(work_, engine_, now_);
    for (auto const& e : examined)
        ++result_.counts[e.excluded_by];
    auto const order = [&choices](examined_endpoint const& e)
    {
        auto const& id = e.endpoint->record().id;
        auto const chosen = std::find(choices.begin(), choices.end(), id);
        bool const usable = e.excluded_by == endpoint_exclusion::none;
        bool const delayed = e.excluded_by >= endpoint_exclusion::slots;
        return std::make_tuple(
            usable    ? 0
            : delayed ? 1
                      : 2,
            chosen - choices.begin(), e.load.requests, e.load.memory_tokens,
            e.distance, id);
    };
    auto const shown =
        std::min(examined.size(), placement_explanation::max_candidates);
    std::partial_sort(
        examined.begin(), examined.begin() + std::ptrdiff_t(shown),
        examined.end(),
        [&order](examined_endpoint const& a, examined_endpoint const& b)
        { return order(a) < order(b); });
    auto const shares = state_.selection.oldest_peer_shares();
    for (std::size_t i = 0; i < shown; ++i)
        result_.candidates.push_back(describe(examined[i], shares, now_));
    result_.candidates_left_out = examined.size() - shown;
}

} // namespace

std::optional<query_fault>
check_query(placement_query const& query, placement_state const& state)
{
    if (state.table == nullptr)
        return std::nullopt;
    auto const& table = *state.table;
    if (!query.route.empty())
    {
        auto const named = table.routes_named(query.route);
        if (named.empty())
            return query_fault{"route", "the configuration has no such route"};
        if (named.size() > 1)
            return query_fault{
                "route", "several routes have this name; give host and path"};
    }
    auto const* const route = find_route(query, table);
    if (route == nullptr)
        return std::nullopt;
    bool const known_target =
        query.service.empty() ||
        find_target(query, *route).value() == query.service;
    if (!known_target)
        return query_fault{"service", "is no target of the route"};
    if (needs_organisation(query, table, *route))
        return query_fault{"organisation", "is required by the route"};
    return std::nullopt;
}

placement_explanation explain_placement(
    placement_query const& query, placement_state const& state, steady_time now)
{
    return explainer(query, state, now).explain();
}

} // namespace dotterellock
