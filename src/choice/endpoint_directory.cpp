#include "endpoint_directory.hpp"

#include <algorithm>

#include "rendezvous.hpp"

namespace dotterellock
{

namespace
{

// 8 endpoints per model: 40 for 5 models, whose load reports stay within the
// 10 KB/s of a node. Two of them in other regions, when there are any.
constexpr std::size_t subset_size = 8;

// A fleet of this size is used in full: the reports cost no more than those of
// 5 subsets, and the subsets of a few routers would leave endpoints unused (15%
// of 16 endpoints for 4 routers with 6 near ones each).
constexpr std::size_t whole_fleet_size = 40;

constexpr std::size_t subset_other_regions = 2;
constexpr std::size_t subset_own_zone = 4;

// Penalties in tokens of work. A zone is 0.5 to 1 ms away, a region 20 ms and
// a billed link; the latter is used only when nothing else can take the work.
constexpr double other_zone_tokens = 32;
constexpr double other_region_tokens = 1e6;

// Prompt bytes per token of the usual tokenisers.
constexpr double bytes_per_token = 4;

// Prefill handles about this many tokens in the time decoding takes for one,
// so a cached prompt token saves only this part of a token of work.
constexpr double prefill_cost_ratio = 0.1;

// An endpoint that does not report is tried again after 5 times the time that
// it took to notice.
constexpr int not_reporting_periods = 5;

constexpr std::uint32_t failures_until_set_aside = 3;

// Enough completions within one probe to move the agent's mean pace.
constexpr std::uint32_t probe_size = 4;

// Pace of an engine that has not reported one yet.
constexpr double assumed_tokens_per_second = 30;

// A median of fewer says nothing about who is slow.
constexpr std::size_t least_for_median = 3;

double ratio(double a, double b)
{
    return b > 0 ? a / b : 0;
}

} // namespace

endpoint_directory::endpoint_directory(
    clock_source& clock, policy_source const& policy)
    : clock_(clock), policy_(policy)
{
}

void endpoint_directory::set_viewpoint(peer_id router, node_location location)
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
        if (auto* const known = state_of(info.endpoint))
            s = std::move(*known);
        s.info = std::move(info);
        states.push_back(std::move(s));
    }
    states_ = std::move(states);
    rebuild_groups();
}

void endpoint_directory::rebuild_groups()
{
    index_.clear();
    by_agent_.clear();
    models_.clear();
    services_.clear();
    for (std::size_t i = 0; i < states_.size(); ++i)
    {
        auto const& info = states_[i].info;
        index_[info.endpoint] = i;
        by_agent_[info.agent] = i;
        for (auto const& model : info.models)
            models_[model].all.push_back(i);
        for (auto const& service : info.services)
            services_[service].all.push_back(i);
    }
    for (auto& [model, g] : models_)
        choose_subset(to_string(model), g);
    for (auto& [service, g] : services_)
        choose_subset(service.value(), g);
}

void endpoint_directory::choose_subset(std::string const& key, group& g) const
{
    if (states_.size() <= whole_fleet_size || g.all.size() <= subset_size)
    {
        g.subset = g.all;
        return;
    }
    struct ranked
    {
        std::uint64_t weight;
        std::size_t position;
    };
    std::array<std::vector<ranked>, 3> rings; // own zone, own region, others
    std::string const name = router_.value() + "/" + key;
    for (auto const i : g.all)
    {
        auto const& info = states_[i].info;
        std::size_t const ring = info.region != location_.region ? 2
                                 : info.zone != location_.zone   ? 1
                                                                 : 0;
        rings[ring].push_back(
            {rendezvous_weight(name, info.endpoint.value()), i});
    }
    for (auto& ring : rings)
    {
        std::sort(
            ring.begin(), ring.end(),
            [](ranked const& a, ranked const& b)
            { return a.weight > b.weight; });
    }
    g.subset.clear();
    auto const take = [&](std::size_t ring, std::size_t upto)
    {
        auto& from = rings[ring];
        std::size_t n = 0;
        for (; n < from.size() && g.subset.size() < upto; ++n)
            g.subset.push_back(from[n].position);
        from.erase(from.begin(), from.begin() + n);
    };
    std::size_t const near = subset_size - subset_other_regions;
    take(0, subset_own_zone);
    take(1, near);
    take(0, near);
    take(2, subset_size);
    take(0, subset_size);
    take(1, subset_size);
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
endpoint_directory::state_of(endpoint_id const& endpoint)
{
    auto const found = index_.find(endpoint);
    return found == index_.end() ? nullptr : &states_[found->second];
}

endpoint_directory::group const*
endpoint_directory::group_of(place_request const& work) const
{
    if (work.kind == work_kind::generation)
    {
        auto const found = models_.find(work.model);
        return found == models_.end() ? nullptr : &found->second;
    }
    auto const found = services_.find(work.service);
    return found == services_.end() ? nullptr : &found->second;
}

// ---- what agents report ---------------------------------------------------

bool endpoint_directory::on_load_report(load_report const& report)
{
    state* const s = state_of(report.endpoint);
    if (s == nullptr)
        return false;
    if (s->report && report.incarnation < s->report->incarnation)
        return false; // from before the restart
    bool const restarted =
        s->report && report.incarnation > s->report->incarnation;
    if (restarted)
    {
        s->hints.clear();
        s->set_aside = false;
        s->failures = 0;
    }
    s->report = report;
    s->sent = 0;
    s->sent_tokens = 0;
    s->silent_until = steady_time{};
    s->asked_at = steady_time{};
    judge_pace(*s);
    return restarted;
}

void endpoint_directory::on_prefix_hint(prefix_hint const& hint)
{
    if (state* const s = state_of(hint.endpoint))
    {
        s->hints.remove(hint.removed);
        s->hints.add(hint.added);
    }
}

void endpoint_directory::on_silent(endpoint_id const& endpoint)
{
    if (state* const s = state_of(endpoint))
    {
        s->silent_until =
            clock_.now() + 2 * policy_.current().recovery.report_interval;
    }
}

void endpoint_directory::on_reserved(endpoint_id const& endpoint)
{
    state* const s = state_of(endpoint);
    if (s == nullptr)
        return;
    steady_time const now = clock_.now();
    duration const silence = 2 * policy_.current().recovery.report_interval;
    if (s->asked_at == steady_time{})
        s->asked_at = now;
    else if (now - s->asked_at > silence && now >= s->silent_until)
    {
        s->silent_until = now + not_reporting_periods * silence;
        s->asked_at = steady_time{};
    }
}

void endpoint_directory::on_sent(
    endpoint_id const& endpoint, place_request const& work)
{
    state* const s = state_of(endpoint);
    if (s == nullptr)
        return;
    ++s->sent;
    s->sent_tokens += work.estimated_tokens;
    s->hints.add(work.prefix_blocks);
}

void endpoint_directory::on_finished(endpoint_id const& endpoint, bool ok)
{
    state* const s = state_of(endpoint);
    if (s == nullptr)
        return;
    s->failures = ok ? 0 : s->failures + 1;
    if (s->failures >= failures_until_set_aside)
        set_aside(*s);
    else if (ok && s->set_aside)
        judge_pace(*s);
}

void endpoint_directory::judge_pace(state& s)
{
    if (!s.report || s.info.models.empty())
    {
        s.set_aside = s.failures >= failures_until_set_aside;
        return;
    }
    std::vector<double> paces;
    for (auto const i : models_[s.info.models.front()].subset)
    {
        auto const& other = states_[i].report;
        if (other && other->tokens_per_second_per_stream > 0)
            paces.push_back(other->tokens_per_second_per_stream);
    }
    double const own = s.report->tokens_per_second_per_stream;
    bool slow = false;
    if (own > 0 && paces.size() >= least_for_median)
    {
        auto const middle = paces.begin() + paces.size() / 2;
        std::nth_element(paces.begin(), middle, paces.end());
        slow = own < policy_.current().dispatch.straggler_pace * *middle;
    }
    bool const failing = s.failures >= failures_until_set_aside;
    if (!slow && !failing)
        s.set_aside = false;
    else if (!s.set_aside)
        set_aside(s);
}

void endpoint_directory::set_aside(state& s)
{
    s.set_aside = true;
    s.probes_left = probe_size;
    s.next_probe =
        clock_.now() + policy_.current().dispatch.straggler_probe_after;
}

void endpoint_directory::on_probe_sent(endpoint_id const& endpoint)
{
    state* const s = state_of(endpoint);
    if (s == nullptr || !s->set_aside)
        return;
    if (s->probes_left > 0)
        --s->probes_left;
    if (s->probes_left > 0)
        return;
    s->probes_left = probe_size;
    s->next_probe =
        clock_.now() + policy_.current().dispatch.straggler_probe_after;
}

// ---- choice ---------------------------------------------------------------

bool endpoint_directory::draining(state const& s) const
{
    return s.report && s.report->draining;
}

bool endpoint_directory::usable(state const& s) const
{
    return !draining(s) && s.silent_until <= clock_.now() &&
           (!s.set_aside || probe_due(s));
}

bool endpoint_directory::probe_due(state const& s) const
{
    return s.set_aside && clock_.now() >= s.next_probe;
}

scored_endpoint
endpoint_directory::score(state const& s, place_request const& work) const
{
    scored_endpoint result;
    result.info = &s.info;
    result.other_region = s.info.region != location_.region;
    result.probe = probe_due(s);
    double tokens = static_cast<double>(s.sent_tokens);
    if (s.report)
    {
        auto const& report = *s.report;
        result.reported = true;
        result.has_room = report.running + s.sent < report.capacity;
        tokens += static_cast<double>(report.waiting_tokens);
        if (!result.has_room)
            tokens += work.estimated_tokens;
        // Work in a batch slows its neighbours down a little.
        tokens += ratio(report.running, report.capacity) *
                  work.estimated_tokens * prefill_cost_ratio;
    }
    if (!work.prefix_blocks.empty())
    {
        result.prefix_share = ratio(
            double(s.hints.matching(work.prefix_blocks)),
            double(work.prefix_blocks.size()));
        double const prompt_tokens =
            static_cast<double>(work.payload_bytes) / bytes_per_token;
        tokens -= result.prefix_share * prompt_tokens * prefill_cost_ratio;
    }
    if (result.other_region)
        tokens += other_region_tokens;
    else if (s.info.zone != location_.zone)
        tokens += other_zone_tokens;
    result.score = tokens;
    return result;
}

std::vector<scored_endpoint> endpoint_directory::score_all(
    std::vector<std::size_t> const& positions, place_request const& work,
    bool last_resort) const
{
    std::vector<scored_endpoint> scored;
    for (auto const i : positions)
    {
        auto const& s = states_[i];
        bool const allowed = last_resort ? !draining(s) : usable(s);
        if (!allowed || work.excluded.count(s.info.endpoint) != 0)
            continue;
        scored.push_back(score(s, work));
        scored.back().probe = scored.back().probe && !last_resort;
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
    group const* const g = group_of(work);
    if (g == nullptr)
        return {};
    auto scored = score_all(g->subset, work, false);
    bool const near = std::any_of(
        scored.begin(), scored.end(),
        [](scored_endpoint const& e) { return !e.other_region && !e.probe; });
    if (!near)
        scored = score_all(g->all, work, false);
    return scored.empty() ? score_all(g->all, work, true) : scored;
}

bool endpoint_directory::known(place_request const& work) const
{
    return group_of(work) != nullptr;
}

std::optional<endpoint_id>
endpoint_directory::endpoint_of(peer_id const& agent) const
{
    auto const found = by_agent_.find(agent);
    if (found == by_agent_.end())
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
    auto const found = index_.find(endpoint);
    if (found == index_.end())
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
        if (!usable(s) || s.info.region != location_.region)
            continue;
        duration const wait = wait_at(s, r);
        if (!best || wait < *best)
            best = wait;
    }
    return best.value_or(duration{});
}

duration endpoint_directory::wait_at(state const& s, rank r) const
{
    if (!s.report || s.report->running + s.sent < s.report->capacity)
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
    // Where there are queues each request waits at several agents; it runs at
    // one of them.
    double const copies = std::max(1u, policy.dispatch.max_reservations);
    double const tokens = static_cast<double>(report.waiting_tokens) / copies;
    double const rate = report.tokens_per_second > 0
                            ? report.tokens_per_second
                            : assumed_tokens_per_second * report.capacity;
    double wait = ratio(tokens * ratio(ahead, waiting), rate);
    double const floor = policy.ranks[index_of(r)].floor_share;
    if (floor > 0)
    {
        double const own = ratio(report.waiting[index_of(r)], waiting);
        wait = std::min(wait, ratio(tokens * own, rate * floor));
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait));
}

} // namespace dotterellock
