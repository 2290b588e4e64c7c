#include "endpoint_selector.hpp"

#include <algorithm>
#include <tuple>

#include "choice/rendezvous.hpp"

namespace dotterellock
{

namespace
{

// Fraction of an endpoint's memory that runs may fill, judged by this gateway's
// own work and by load reports. The rest covers work that is not reported yet.
constexpr double run_memory_fraction = 0.85;

// Runs take precedence over standby copies, which are made only while plenty of
// memory is free.
constexpr double standby_memory_fraction = 0.6;

} // namespace

topology::distance topology::distance_to(zone_id const& other) const
{
    if (other == zone)
        return distance::same_zone;
    auto const here = region_of.find(zone.value());
    auto const there = region_of.find(other.value());
    bool const same = here != region_of.end() && there != region_of.end() &&
                      here->second == there->second;
    return same ? distance::same_region : distance::other_region;
}

std::vector<endpoint_selector::candidate> endpoint_selector::usable_candidates(
    endpoint_requirements const& work, steady_time now) const
{
    std::vector<candidate> healthy;
    std::vector<candidate> suspect; // suspended or in a suspect zone
    std::vector<candidate> leaving;
    for (auto const& endpoint : endpoints_.of_service(work.service))
    {
        if (unusable_because(*endpoint, work, now) != endpoint_exclusion::none)
            continue;
        candidate const c{
            endpoint,
            rendezvous_weight(work.affinity_key, endpoint->record().address)};
        auto const level = usability_of(*endpoint, now);
        auto& same_level = level == usability::leaving   ? leaving
                           : level == usability::suspect ? suspect
                                                         : healthy;
        same_level.push_back(c);
    }
    if (!healthy.empty())
        return healthy;
    return suspect.empty() ? leaving : suspect;
}

endpoint_state::workload endpoint_selector::total_load(
    endpoint_state const& endpoint, steady_time now) const
{
    // The loads sent by other gateways are recent. A load report also includes
    // work that they do not know of, but is some hundred milliseconds old.
    auto const peers = peers_.load_at(endpoint.record().id);
    auto sum = endpoint.load;
    sum.requests += std::max(peers.requests, endpoint.running_for_others(now));
    sum.prefill_tokens += peers.prefill_tokens;
    sum.memory_tokens +=
        std::max(peers.memory_tokens, endpoint.tokens_used_by_others(now));
    return sum;
}

bool endpoint_selector::has_capacity(
    endpoint_state const& endpoint, endpoint_requirements const& work,
    engine_spec const& engine, double memory_fraction, steady_time now) const
{
    auto const load = total_load(endpoint, now);
    auto const memory = load.memory_tokens + work.memory_tokens();
    return load.requests < engine.slots &&
           (engine.memory_tokens == 0 || load.memory_tokens == 0 ||
            double(memory) <= memory_fraction * double(engine.memory_tokens));
}

endpoint_ptr endpoint_selector::choose(
    endpoint_requirements const& work, engine_spec const* engine,
    steady_time now) const
{
    auto const candidates = usable_candidates(work, now);
    if (candidates.empty())
        return nullptr;
    return engine != nullptr ? choose_for_prompt(candidates, work, *engine, now)
                             : choose_for_call(candidates);
}

endpoint_ptr endpoint_selector::choose_for_prompt(
    std::vector<candidate> const& candidates, endpoint_requirements const& work,
    engine_spec const& engine, steady_time now) const
{
    // Prefill of a prompt slows every running stream of the endpoint to a
    // fraction and waits for other prefills, so the endpoint with the least of
    // both is preferred. Another zone weighs as much as one slowed stream.
    auto const order = [this, &engine, now](candidate const& c)
    {
        auto const load = total_load(*c.endpoint, now);
        bool const unreliable = c.endpoint->failure_rate() > 0.3;
        bool const full = load.requests * 2 > engine.slots;
        auto const distance = location_.distance_to(c.endpoint->record().zone);
        auto const interference =
            load.requests +
            (distance == topology::distance::same_zone ? 0u : 1u);
        return std::make_tuple(
            unreliable, full, interference, distance, ~c.weight);
    };
    candidate const* best = nullptr;
    for (auto const& c : candidates)
    {
        if (!has_capacity(*c.endpoint, work, engine, run_memory_fraction, now))
            continue;
        // A cached prompt needs almost no prefill.
        if (!work.cached_endpoint.empty() &&
            c.endpoint->record().id == work.cached_endpoint)
            return c.endpoint;
        // One prefill at a time: a second one would delay both, and can wait in
        // the gateway's queue in the order of its rank instead. A resumed
        // answer does not wait.
        if (!work.resuming &&
            busy_because(*c.endpoint, now) != endpoint_exclusion::none)
            continue;
        if (best == nullptr || order(c) < order(*best))
            best = &c;
    }
    return best == nullptr ? nullptr : best->endpoint;
}

endpoint_ptr endpoint_selector::choose_for_call(
    std::vector<candidate> const& candidates) const
{
    auto const cost = [this](endpoint_state const& e)
    {
        auto const latency = e.has_latency() ? e.latency() : unmeasured_latency;
        double us = double(latency.count());
        auto const slots = std::max<std::uint32_t>(e.record().slots, 1);
        us *= 1.0 + double(e.load.requests) / double(slots);
        us += e.failure_rate() * double(failure_cost.count());
        us += e.error_rate() * double(error_cost.count());
        switch (location_.distance_to(e.record().zone))
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

std::vector<endpoint_ptr> endpoint_selector::likely_caches(
    endpoint_requirements const& work, std::size_t max_count,
    steady_time now) const
{
    std::vector<
        std::pair<std::tuple<topology::distance, std::uint64_t>, endpoint_ptr>>
        ranked;
    for (auto const& endpoint : endpoints_.of_service(work.service))
    {
        auto const& record = endpoint->record();
        if (!endpoint->leaving() && !endpoint->suspended(now) &&
            !endpoint->paused(now))
            ranked.push_back(
                {{location_.distance_to(record.zone),
                  ~rendezvous_weight(work.affinity_key, record.address)},
                 endpoint});
    }
    auto const count = std::min(max_count, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + std::ptrdiff_t(count), ranked.end(),
        [](auto const& a, auto const& b) { return a.first < b.first; });
    std::vector<endpoint_ptr> likely;
    for (std::size_t i = 0; i < count; ++i)
        likely.push_back(ranked[i].second);
    return likely;
}

std::optional<steady_time> endpoint_selector::earliest_pause_end(
    service_name const& service, steady_time now) const
{
    std::optional<steady_time> earliest;
    for (auto const& endpoint : endpoints_.of_service(service))
    {
        if (endpoint->has_left(now))
            continue;
        if (!endpoint->paused(now))
            return std::nullopt;
        auto const end = endpoint->paused_until();
        if (!endpoint->has_left(end))
            earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

std::vector<examined_endpoint> endpoint_selector::examine(
    endpoint_requirements const& work, engine_spec const* engine,
    steady_time now) const
{
    std::vector<examined_endpoint> examined;
    auto best = usability::leaving;
    for (auto const& endpoint : endpoints_.of_service(work.service))
    {
        examined_endpoint e;
        e.endpoint = endpoint;
        e.excluded_by = unusable_because(*endpoint, work, now);
        e.load = total_load(*endpoint, now);
        e.distance = location_.distance_to(endpoint->record().zone);
        if (e.excluded_by == endpoint_exclusion::none)
            best = std::min(best, usability_of(*endpoint, now));
        examined.push_back(std::move(e));
    }
    for (auto& e : examined)
    {
        auto const& endpoint = *e.endpoint;
        if (e.excluded_by == endpoint_exclusion::none)
            e.excluded_by = avoided_because(endpoint, best, now);
        if (e.excluded_by == endpoint_exclusion::none && engine != nullptr)
            e.excluded_by = delayed_because(endpoint, work, *engine, now);
    }
    return examined;
}

endpoint_exclusion endpoint_selector::unusable_because(
    endpoint_state const& endpoint, endpoint_requirements const& work,
    steady_time now)
{
    if (!endpoint.accepts_requests(now))
        return endpoint.has_left(now) ? endpoint_exclusion::left
                                      : endpoint_exclusion::paused;
    if (work.excluded.count(endpoint.record().id.value()) != 0)
        return endpoint_exclusion::attempt_failed;
    // An endpoint resets connections above a limit that all gateways share.
    if (work.connection_limit > 0 &&
        endpoint.load.requests >= work.connection_limit)
        return endpoint_exclusion::connections;
    return endpoint_exclusion::none;
}

endpoint_selector::usability endpoint_selector::usability_of(
    endpoint_state const& endpoint, steady_time now) const
{
    if (endpoint.leaving())
        return usability::leaving;
    return endpoint.suspended(now) || zones_.is_suspect(endpoint, now)
               ? usability::suspect
               : usability::healthy;
}

/// @param best  level of the best usable endpoint of the service
endpoint_exclusion endpoint_selector::avoided_because(
    endpoint_state const& endpoint, usability best, steady_time now) const
{
    auto const level = usability_of(endpoint, now);
    if (level == best)
        return endpoint_exclusion::none;
    if (level == usability::leaving)
        return endpoint_exclusion::leaving;
    return endpoint.suspended(now) ? endpoint_exclusion::suspended
                                   : endpoint_exclusion::zone_suspect;
}

/// What a prompt would wait for at the endpoint.
endpoint_exclusion endpoint_selector::delayed_because(
    endpoint_state const& endpoint, endpoint_requirements const& work,
    engine_spec const& engine, steady_time now) const
{
    if (!has_capacity(endpoint, work, engine, run_memory_fraction, now))
        return total_load(endpoint, now).requests >= engine.slots
                   ? endpoint_exclusion::slots
                   : endpoint_exclusion::memory;
    bool const cached = !work.cached_endpoint.empty() &&
                        endpoint.record().id == work.cached_endpoint;
    return cached || work.resuming ? endpoint_exclusion::none
                                   : busy_because(endpoint, now);
}

endpoint_exclusion endpoint_selector::busy_because(
    endpoint_state const& endpoint, steady_time now) const
{
    if (total_load(endpoint, now).prefill_tokens > 0)
        return endpoint_exclusion::prefill;
    return endpoint.reported_waiting(now) > 0 ? endpoint_exclusion::waiting
                                              : endpoint_exclusion::none;
}

endpoint_ptr endpoint_selector::choose_standby(
    endpoint_requirements const& work, engine_spec const& engine,
    endpoint_state const& primary, steady_time now) const
{
    auto const zone = primary.record().zone;
    candidate const* best = nullptr;
    auto const candidates = usable_candidates(work, now);
    auto const order = [this, now](candidate const& c)
    {
        auto const load = total_load(*c.endpoint, now);
        return std::make_tuple(
            load.memory_tokens / 10000,
            location_.distance_to(c.endpoint->record().zone), ~c.weight);
    };
    for (auto const& c : candidates)
    {
        if (c.endpoint->record().zone == zone || c.endpoint->leaving() ||
            c.endpoint->suspended(now) || zones_.is_suspect(*c.endpoint, now) ||
            !has_capacity(
                *c.endpoint, work, engine, standby_memory_fraction, now))
            continue;
        if (best == nullptr || order(c) < order(*best))
            best = &c;
    }
    return best == nullptr ? nullptr : best->endpoint;
}

} // namespace dotterellock
