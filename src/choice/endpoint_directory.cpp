#include "endpoint_directory.hpp"

#include <algorithm>

#include "rendezvous.hpp"

namespace dotterellock
{

namespace
{

// 8 endpoints per model are 40 endpoints for 5 models; their load reports stay
// within the limit of 10 KB/s per node. Two of the 8 are in other regions, if
// there are any.
constexpr std::size_t endpoints_per_subset = 8;

// Up to this fleet size a router uses every endpoint. The reports cost no more
// than those of 5 subsets, while the subsets of a few routers would leave
// endpoints unused: 15% of 16 endpoints with 4 routers that choose 6 in their
// region each.
constexpr std::size_t max_fleet_size_without_subsets = 40;

constexpr std::size_t subset_other_region_endpoints = 2;
constexpr std::size_t subset_own_zone_endpoints = 4;

// Score penalties. Another zone adds 0.5 to 1 ms of latency. Another region
// adds 20 ms and a billed link; its penalty is so high that it is used only
// when no other endpoint can take the work.
constexpr double other_zone_penalty_tokens = 32;
constexpr double other_region_penalty_tokens = 1e6;

// Average for common tokenisers.
constexpr double prompt_bytes_per_token = 4;

// Cost of prefilling a prompt token relative to decoding a token. A cached
// prompt token saves only this fraction of a token of work.
constexpr double prefill_cost_ratio = 0.1;

// An endpoint that does not report is avoided for this multiple of the time
// after which a missing report is noticed.
constexpr int unresponsive_backoff_factor = 5;

constexpr std::uint32_t failures_until_suspension = 3;

// Enough completed requests to change the agent's mean token rate.
constexpr std::uint32_t requests_per_probe = 4;

// Assumed for an engine that has not reported a rate yet.
constexpr double default_tokens_per_second_per_stream = 30;

// A median of fewer reports does not identify stragglers reliably.
constexpr std::size_t min_reports_for_median = 3;

double ratio_or_zero(double a, double b)
{
    return b > 0 ? a / b : 0;
}

} // namespace

endpoint_directory::endpoint_directory(
    clock_source& clock, policy_source const& policy)
    : clock_(clock), policy_(policy)
{
}

void endpoint_directory::set_local_router(
    peer_id router, node_location location)
{
    router_ = std::move(router);
    location_ = std::move(location);
    rebuild_groups();
}

void endpoint_directory::set_endpoints(std::vector<endpoint_info> endpoints)
{
    std::vector<state> states;
    states.reserve(endpoints.size());
    for (auto& info : endpoints)
    {
        state s;
        if (auto* const known = find_state(info.endpoint))
            s = std::move(*known);
        s.info = std::move(info);
        states.push_back(std::move(s));
    }
    states_ = std::move(states);
    rebuild_groups();
}

void endpoint_directory::rebuild_groups()
{
    position_by_endpoint_.clear();
    position_by_agent_.clear();
    models_.clear();
    services_.clear();
    for (std::size_t i = 0; i < states_.size(); ++i)
    {
        auto const& info = states_[i].info;
        position_by_endpoint_[info.endpoint] = i;
        position_by_agent_[info.agent] = i;
        for (auto const& model : info.models)
            models_[model].all.push_back(i);
        for (auto const& service : info.services)
            services_[service].all.push_back(i);
    }
    for (auto& [model, g] : models_)
        select_subset(to_string(model), g);
    for (auto& [service, g] : services_)
        select_subset(service.value(), g);
}

void endpoint_directory::select_subset(
    std::string const& key, endpoint_group& g) const
{
    if (states_.size() <= max_fleet_size_without_subsets ||
        g.all.size() <= endpoints_per_subset)
    {
        g.subset = g.all;
        return;
    }
    struct ranked
    {
        std::uint64_t weight;
        std::size_t position;
    };
    // Own zone, rest of the own region, other regions.
    std::array<std::vector<ranked>, 3> tiers;
    std::string const name = router_.value() + "/" + key;
    for (auto const i : g.all)
    {
        auto const& info = states_[i].info;
        std::size_t const tier = info.region != location_.region ? 2
                                 : info.zone != location_.zone   ? 1
                                                                 : 0;
        tiers[tier].push_back(
            {rendezvous_weight(name, info.endpoint.value()), i});
    }
    for (auto& tier : tiers)
    {
        std::sort(
            tier.begin(), tier.end(),
            [](ranked const& a, ranked const& b)
            { return a.weight > b.weight; });
    }
    g.subset.clear();
    auto const fill_from = [&](std::size_t tier, std::size_t target_size)
    {
        auto& from = tiers[tier];
        std::size_t n = 0;
        for (; n < from.size() && g.subset.size() < target_size; ++n)
            g.subset.push_back(from[n].position);
        from.erase(from.begin(), from.begin() + n);
    };
    std::size_t const regional_size =
        endpoints_per_subset - subset_other_region_endpoints;
    fill_from(0, subset_own_zone_endpoints);
    fill_from(1, regional_size);
    fill_from(0, regional_size);
    fill_from(2, endpoints_per_subset);
    fill_from(0, endpoints_per_subset);
    fill_from(1, endpoints_per_subset);
}

std::set<peer_id> endpoint_directory::subset_agents() const
{
    std::set<peer_id> agents;
    auto const add = [&](auto const& groups)
    {
        for (auto const& [what, g] : groups)
        {
            for (auto const i : g.subset)
                agents.insert(states_[i].info.agent);
        }
    };
    add(models_);
    add(services_);
    return agents;
}

endpoint_directory::state*
endpoint_directory::find_state(endpoint_id const& endpoint)
{
    auto const found = position_by_endpoint_.find(endpoint);
    return found == position_by_endpoint_.end() ? nullptr
                                                : &states_[found->second];
}

endpoint_directory::endpoint_group const*
endpoint_directory::find_group(place_request const& work) const
{
    if (work.kind == work_kind::generation)
    {
        auto const found = models_.find(work.model);
        return found == models_.end() ? nullptr : &found->second;
    }
    auto const found = services_.find(work.service);
    return found == services_.end() ? nullptr : &found->second;
}

// ---- reports from agents and dispatcher -----------------------------------

bool endpoint_directory::on_load_report(load_report const& report)
{
    state* const s = find_state(report.endpoint);
    if (s == nullptr)
        return false;
    if (s->report && report.incarnation < s->report->incarnation)
        return false; // sent before the agent restarted
    bool const restarted =
        s->report && report.incarnation > s->report->incarnation;
    if (restarted)
    {
        s->hints.clear();
        s->suspended = false;
        s->consecutive_failures = 0;
    }
    s->report = report;
    s->placed = 0;
    s->placed_tokens = 0;
    s->unresponsive_until = steady_time{};
    s->first_reservation_at = steady_time{};
    update_suspension(*s);
    return restarted;
}

void endpoint_directory::on_prefix_hint(prefix_hint const& hint)
{
    if (state* const s = find_state(hint.endpoint))
    {
        s->hints.remove(hint.removed);
        s->hints.add(hint.added);
    }
}

void endpoint_directory::mark_unresponsive(endpoint_id const& endpoint)
{
    if (state* const s = find_state(endpoint))
    {
        s->unresponsive_until =
            clock_.now() + 2 * policy_.current().recovery.report_interval;
    }
}

void endpoint_directory::on_reservation_sent(endpoint_id const& endpoint)
{
    state* const s = find_state(endpoint);
    if (s == nullptr)
        return;
    steady_time const now = clock_.now();
    duration const silence = 2 * policy_.current().recovery.report_interval;
    if (s->first_reservation_at == steady_time{})
        s->first_reservation_at = now;
    else if (
        now - s->first_reservation_at > silence && now >= s->unresponsive_until)
    {
        s->unresponsive_until = now + unresponsive_backoff_factor * silence;
        s->first_reservation_at = steady_time{};
    }
}

void endpoint_directory::on_work_placed(
    endpoint_id const& endpoint, place_request const& work)
{
    state* const s = find_state(endpoint);
    if (s == nullptr)
        return;
    ++s->placed;
    s->placed_tokens += work.estimated_tokens;
    s->hints.add(work.prefix_blocks);
}

void endpoint_directory::on_work_finished(endpoint_id const& endpoint, bool ok)
{
    state* const s = find_state(endpoint);
    if (s == nullptr)
        return;
    s->consecutive_failures = ok ? 0 : s->consecutive_failures + 1;
    if (s->consecutive_failures >= failures_until_suspension)
        suspend(*s);
    else if (ok && s->suspended)
        update_suspension(*s);
}

void endpoint_directory::update_suspension(state& s)
{
    if (!s.report || s.info.models.empty())
    {
        s.suspended = s.consecutive_failures >= failures_until_suspension;
        return;
    }
    std::vector<double> stream_rates;
    for (auto const i : models_[s.info.models.front()].subset)
    {
        auto const& other = states_[i].report;
        if (other && other->tokens_per_second_per_stream > 0)
            stream_rates.push_back(other->tokens_per_second_per_stream);
    }
    double const own_rate = s.report->tokens_per_second_per_stream;
    bool slow = false;
    if (own_rate > 0 && stream_rates.size() >= min_reports_for_median)
    {
        auto const median = stream_rates.begin() + stream_rates.size() / 2;
        std::nth_element(stream_rates.begin(), median, stream_rates.end());
        slow = own_rate < policy_.current().dispatch.straggler_pace * *median;
    }
    bool const failing = s.consecutive_failures >= failures_until_suspension;
    if (!slow && !failing)
        s.suspended = false;
    else if (!s.suspended)
        suspend(s);
}

void endpoint_directory::suspend(state& s)
{
    s.suspended = true;
    s.probe_requests_left = requests_per_probe;
    s.next_probe_at =
        clock_.now() + policy_.current().dispatch.straggler_probe_after;
}

void endpoint_directory::on_probe_placed(endpoint_id const& endpoint)
{
    state* const s = find_state(endpoint);
    if (s == nullptr || !s->suspended)
        return;
    if (s->probe_requests_left > 0)
        --s->probe_requests_left;
    if (s->probe_requests_left > 0)
        return;
    s->probe_requests_left = requests_per_probe;
    s->next_probe_at =
        clock_.now() + policy_.current().dispatch.straggler_probe_after;
}

// ---- scoring --------------------------------------------------------------

bool endpoint_directory::is_draining(state const& s) const
{
    return s.report && s.report->draining;
}

bool endpoint_directory::is_usable(state const& s) const
{
    return !is_draining(s) && s.unresponsive_until <= clock_.now() &&
           (!s.suspended || is_probe_due(s));
}

bool endpoint_directory::is_probe_due(state const& s) const
{
    return s.suspended && clock_.now() >= s.next_probe_at;
}

scored_endpoint
endpoint_directory::score(state const& s, place_request const& work) const
{
    scored_endpoint result;
    result.info = &s.info;
    result.other_region = s.info.region != location_.region;
    result.is_probe = is_probe_due(s);
    double tokens = static_cast<double>(s.placed_tokens);
    if (s.report)
    {
        auto const& report = *s.report;
        result.has_load_report = true;
        result.has_free_slot = report.running + s.placed < report.capacity;
        tokens += static_cast<double>(report.waiting_tokens);
        if (!result.has_free_slot)
            tokens += work.estimated_tokens;
        // Requests in a batch slow each other down slightly.
        tokens += ratio_or_zero(report.running, report.capacity) *
                  work.estimated_tokens * prefill_cost_ratio;
    }
    if (!work.prefix_blocks.empty())
    {
        result.cached_prefix_fraction = ratio_or_zero(
            double(s.hints.cached_prefix_length(work.prefix_blocks)),
            double(work.prefix_blocks.size()));
        double const prompt_tokens =
            static_cast<double>(work.payload_bytes) / prompt_bytes_per_token;
        tokens -=
            result.cached_prefix_fraction * prompt_tokens * prefill_cost_ratio;
    }
    if (result.other_region)
        tokens += other_region_penalty_tokens;
    else if (s.info.zone != location_.zone)
        tokens += other_zone_penalty_tokens;
    result.score = tokens;
    return result;
}

std::vector<scored_endpoint> endpoint_directory::score_all(
    std::vector<std::size_t> const& positions, place_request const& work,
    bool include_unhealthy) const
{
    std::vector<scored_endpoint> scored;
    for (auto const i : positions)
    {
        auto const& s = states_[i];
        bool const allowed = include_unhealthy ? !is_draining(s) : is_usable(s);
        if (!allowed || work.excluded.count(s.info.endpoint) != 0)
            continue;
        scored.push_back(score(s, work));
        scored.back().is_probe = scored.back().is_probe && !include_unhealthy;
    }
    std::sort(
        scored.begin(), scored.end(),
        [](scored_endpoint const& a, scored_endpoint const& b)
        { return a.score < b.score; });
    return scored;
}

std::vector<scored_endpoint>
endpoint_directory::candidates(place_request const& work) const
{
    endpoint_group const* const g = find_group(work);
    if (g == nullptr)
        return {};
    auto scored = score_all(g->subset, work, false);
    bool const has_regional = std::any_of(
        scored.begin(), scored.end(),
        [](scored_endpoint const& e)
        { return !e.other_region && !e.is_probe; });
    if (!has_regional)
        scored = score_all(g->all, work, false);
    return scored.empty() ? score_all(g->all, work, true) : scored;
}

bool endpoint_directory::serves_work(place_request const& work) const
{
    return find_group(work) != nullptr;
}

std::optional<endpoint_id>
endpoint_directory::endpoint_of(peer_id const& agent) const
{
    auto const found = position_by_agent_.find(agent);
    if (found == position_by_agent_.end())
        return std::nullopt;
    return states_[found->second].info.endpoint;
}

// ---- lookup ---------------------------------------------------------------

std::vector<endpoint_info>
endpoint_directory::serving(model_ref const& model) const
{
    std::vector<endpoint_info> result;
    auto const found = models_.find(model);
    if (found != models_.end())
    {
        for (auto const i : found->second.all)
            result.push_back(states_[i].info);
    }
    return result;
}

std::vector<endpoint_info>
endpoint_directory::offering(service_name const& service) const
{
    std::vector<endpoint_info> result;
    auto const found = services_.find(service);
    if (found != services_.end())
    {
        for (auto const i : found->second.all)
            result.push_back(states_[i].info);
    }
    return result;
}

std::optional<endpoint_info>
endpoint_directory::find(endpoint_id const& endpoint) const
{
    auto const found = position_by_endpoint_.find(endpoint);
    if (found == position_by_endpoint_.end())
        return std::nullopt;
    return states_[found->second].info;
}

duration
endpoint_directory::estimated_wait(model_ref const& model, rank r) const
{
    auto const found = models_.find(model);
    if (found == models_.end())
        return duration{};
    std::optional<duration> best;
    for (auto const i : found->second.subset)
    {
        auto const& s = states_[i];
        if (!is_usable(s) || s.info.region != location_.region)
            continue;
        duration const wait = estimated_wait_at(s, r);
        if (!best || wait < *best)
            best = wait;
    }
    return best.value_or(duration{});
}

duration endpoint_directory::estimated_wait_at(state const& s, rank r) const
{
    if (!s.report || s.report->running + s.placed < s.report->capacity)
        return duration{};
    auto const& report = *s.report;
    auto const& policy = policy_.current();
    double waiting = 0;
    double ahead = 0;
    for (auto const other : all_ranks)
    {
        waiting += report.waiting[index_of(other)];
        if (other <= r)
            ahead += report.waiting[index_of(other)];
    }
    // When agents have queues, each request is queued at several of them but
    // runs at only one.
    double const copies = std::max(1u, policy.dispatch.max_reservations);
    double const tokens = static_cast<double>(report.waiting_tokens) / copies;
    double const rate =
        report.tokens_per_second > 0
            ? report.tokens_per_second
            : default_tokens_per_second_per_stream * report.capacity;
    double wait = ratio_or_zero(tokens * ratio_or_zero(ahead, waiting), rate);
    double const floor = policy.ranks[index_of(r)].floor_share;
    if (floor > 0)
    {
        double const own = ratio_or_zero(report.waiting[index_of(r)], waiting);
        wait = std::min(wait, ratio_or_zero(tokens * own, rate * floor));
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait));
}

} // namespace dotterellock
