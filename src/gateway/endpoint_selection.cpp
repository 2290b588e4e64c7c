#include "endpoint_selection.hpp"

#include <algorithm>
#include <tuple>

#include "choice/rendezvous.hpp"

namespace dotterellock
{

namespace
{

// Part of an endpoint's memory that runs may fill, as far as own work and
// reports tell; the rest covers what reports do not show yet.
constexpr double memory_for_runs = 0.85;

// Standby copies yield to runs: they are made while there is plenty.
constexpr double memory_for_copies = 0.6;

} // namespace

topology::distance topology::to(zone_id const& other) const
{
    if (other == zone)
        return distance::same_zone;
    auto const here = region_of.find(zone.value());
    auto const there = region_of.find(other.value());
    bool const same = here != region_of.end() && there != region_of.end() &&
                      here->second == there->second;
    return same ? distance::same_region : distance::other_region;
}

std::vector<endpoint_selection::candidate>
endpoint_selection::usable(work_request const& work, steady_time now) const
{
    std::vector<candidate> healthy;
    std::vector<candidate> doubtful; // suspended, or in a suspect zone
    std::vector<candidate> leaving;
    for (auto const& endpoint : endpoints_.of(work.service))
    {
        if (endpoint->gone(now) ||
            work.avoid.count(endpoint->record().id.value()) != 0)
            continue;
        // An endpoint resets connections beyond those that all gateways share.
        if (work.connections > 0 && endpoint->load.requests >= work.connections)
            continue;
        candidate const c{
            endpoint,
            rendezvous_weight(work.affinity, endpoint->record().address)};
        if (endpoint->leaving())
            leaving.push_back(c);
        else if (endpoint->suspended(now) || zones_.suspect(*endpoint, now))
            doubtful.push_back(c);
        else
            healthy.push_back(c);
    }
    if (!healthy.empty())
        return healthy;
    return doubtful.empty() ? leaving : doubtful;
}

endpoint_state::workload
endpoint_selection::total(endpoint_state const& endpoint, steady_time now) const
{
    // The gateways' shares are recent; a report also counts what they do not
    // know of, but is some hundred milliseconds old.
    auto const peers = peers_.of(endpoint.record().id);
    auto sum = endpoint.load;
    sum.requests += peers.requests;
    sum.prefill_tokens += peers.prefill_tokens;
    sum.memory_tokens +=
        std::max(peers.memory_tokens, endpoint.foreign_tokens(now));
    return sum;
}

bool endpoint_selection::has_room(
    endpoint_state const& endpoint, work_request const& work,
    engine_spec const& engine, double usable_memory, steady_time now) const
{
    auto const load = total(endpoint, now);
    auto const memory = load.memory_tokens + work.memory_tokens();
    return load.requests < engine.slots &&
           (engine.memory_tokens == 0 || load.memory_tokens == 0 ||
            double(memory) <= usable_memory * double(engine.memory_tokens));
}

endpoint_ptr endpoint_selection::choose(
    work_request const& work, engine_spec const* engine, steady_time now) const
{
    auto const candidates = usable(work, now);
    if (candidates.empty())
        return nullptr;
    return engine != nullptr ? choose_for_prompt(candidates, work, *engine, now)
                             : choose_for_call(candidates);
}

endpoint_ptr endpoint_selection::choose_for_prompt(
    std::vector<candidate> const& candidates, work_request const& work,
    engine_spec const& engine, steady_time now) const
{
    // A prompt that is read slows every stream beside it to a fraction, and
    // waits for other prompts: the endpoint with the least of both comes first.
    // Another zone costs as much as one stream that is slowed.
    auto const order = [this, &engine, now](candidate const& c)
    {
        auto const load = total(*c.endpoint, now);
        bool const troubled = c.endpoint->failure_rate() > 0.3;
        bool const full = load.requests * 2 > engine.slots;
        auto const place = place_.to(c.endpoint->record().zone);
        auto const disturbance =
            load.requests + (place == topology::distance::same_zone ? 0u : 1u);
        return std::make_tuple(troubled, full, disturbance, place, ~c.weight);
    };
    candidate const* best = nullptr;
    for (auto const& c : candidates)
    {
        if (!has_room(*c.endpoint, work, engine, memory_for_runs, now))
            continue;
        // What is cached is hardly read again.
        if (!work.cached_at.empty() &&
            c.endpoint->record().id == work.cached_at)
            return c.endpoint;
        // One prompt at a time: a second one would delay both, while it can
        // wait here in the order of its rank. An answer that was begun goes on
        // at once.
        bool const reading = total(*c.endpoint, now).prefill_tokens > 0 ||
                             c.endpoint->reported_waiting(now) > 0;
        if (reading && !work.resumes)
            continue;
        if (best == nullptr || order(c) < order(*best))
            best = &c;
    }
    return best == nullptr ? nullptr : best->endpoint;
}

endpoint_ptr endpoint_selection::choose_for_call(
    std::vector<candidate> const& candidates) const
{
    auto const cost = [this](endpoint_state const& e)
    {
        auto const latency = e.measured() ? e.latency() : unmeasured_latency;
        double us = double(latency.count());
        auto const slots = std::max<std::uint32_t>(e.record().slots, 1);
        us *= 1.0 + double(e.load.requests) / double(slots);
        us += e.failure_rate() * double(failure_cost.count());
        us += e.error_rate() * double(error_cost.count());
        switch (place_.to(e.record().zone))
        {
        case topology::distance::same_zone:
            break;
        case topology::distance::same_region:
            us += double(same_region_cost.count());
            break;
        case topology::distance::other_region:
            us += double(other_region_cost.count());
            break;
        }
        return us;
    };
    return std::min_element(
               candidates.begin(), candidates.end(),
               [&cost](candidate const& a, candidate const& b)
               { return cost(*a.endpoint) < cost(*b.endpoint); })
        ->endpoint;
}

endpoint_ptr endpoint_selection::choose_standby(
    work_request const& work, engine_spec const& engine,
    endpoint_state const& primary, steady_time now) const
{
    auto const zone = primary.record().zone;
    candidate const* best = nullptr;
    auto const candidates = usable(work, now);
    auto const order = [this, now](candidate const& c)
    {
        auto const load = total(*c.endpoint, now);
        return std::make_tuple(
            load.memory_tokens / 10000, place_.to(c.endpoint->record().zone),
            ~c.weight);
    };
    for (auto const& c : candidates)
    {
        if (c.endpoint->record().zone == zone || c.endpoint->leaving() ||
            c.endpoint->suspended(now) || zones_.suspect(*c.endpoint, now) ||
            !has_room(*c.endpoint, work, engine, memory_for_copies, now))
            continue;
        if (best == nullptr || order(c) < order(*best))
            best = &c;
    }
    return best == nullptr ? nullptr : best->endpoint;
}

} // namespace dotterellock
