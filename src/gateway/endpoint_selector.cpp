#include "endpoint_selector.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "choice/rendezvous.hpp"
#include "choice_contention.hpp"

namespace dotterellock
{

namespace
{

// Fraction of an endpoint's memory that runs may fill, judged by this gateway's
// own work and by load reports. The rest covers work that is not reported yet.
constexpr double run_memory_fraction = 0.85;

// Runs take precedence over standby copies, which are made only while plenty of
// memory is free. While requests wait for room, a copy takes the place of
// another answer, so copies go only where runs leave most of the memory idle.
constexpr double standby_memory_fraction = 0.6;
constexpr double standby_memory_fraction_if_short = 0.25;

constexpr double unreliable_failure_rate = 0.3;

// Prompts that wait for their prefill are compared in steps of about half a
// prompt, so that a few tokens more do not outweigh the number of streams.
constexpr std::uint64_t prefill_step = 4000;

// Load makes the measured pace of an endpoint longer by up to a half, so
// smaller differences say nothing about its speed.
constexpr double min_speed_ratio = 1.6;
constexpr double max_speed_ratio = 4;

// The prompt's own answer weighs as much as one stream beside it. By its time
// it would weigh several, but then few endpoints known as fast are filled while
// idle ones are not tried.
constexpr double answer_cost = 1;

// The link between regions is slow, and its traffic is paid by volume. Where
// the own region has no room, its endpoints are no options.
constexpr double other_region_weight = 0.1;

// A request that did not get room is drawn anew after this time, in which the
// choices of the others become known.
constexpr std::chrono::milliseconds draw_interval =
    choice_contention::unseen_time;

/// Uniformly distributed in (0, 1).
double unit_interval(std::uint64_t hash)
{
    return (double(hash >> 11) + 0.5) / double(std::uint64_t{1} << 53);
}

/// Whether a request is among those that get the room of all endpoints, if it
/// is less than what all gateways ask for at this moment. The draw depends on
/// the request and the time only, so it is the same for each call within an
/// interval.
/// @param share  room for each request
bool wins_room(std::string const& key, double share, steady_time now)
{
    if (share >= 1)
        return true;
    auto const interval = now.time_since_epoch() / draw_interval;
    return unit_interval(rendezvous_weight(key, std::to_string(interval))) <
           share;
}

/// Applies a preferred version, and the limit on endpoints of a candidate: all
/// gateways keep the same ones, so that these see load.
template<typename Candidates>
void apply_version_choice(Candidates& candidates, version_choice const& choice)
{
    if (choice.kind == version_choice::rule::any)
        return;
    auto const of_version = std::stable_partition(
        candidates.begin(), candidates.end(),
        [&choice](auto const& c)
        { return c.endpoint->record().version == choice.version; });
    if (of_version == candidates.begin())
        return;
    if (choice.kind == version_choice::rule::prefer)
        candidates.erase(of_version, candidates.end());
    if (choice.max_endpoints == 0 || candidates.size() <= choice.max_endpoints)
        return;
    auto const last = candidates.begin() + std::ptrdiff_t(choice.max_endpoints);
    auto const rank = [&choice](auto const& c)
    { return rendezvous_weight(choice.version, c.endpoint->record().address); };
    std::partial_sort(
        candidates.begin(), last, candidates.end(),
        [&rank](auto const& a, auto const& b) { return rank(a) > rank(b); });
    candidates.erase(last, candidates.end());
}

} // namespace

bool endpoint_requirements::allows(endpoint_record const& endpoint) const
{
    if (barred_versions.count(endpoint.version) != 0)
        return false;
    if (stream_version)
        return endpoint.version == *stream_version;
    if (versions.kind != version_choice::rule::only)
        return true;
    return endpoint.version == versions.version ||
           (endpoint.version.empty() && !versions.candidate);
}

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

/// A prompt is worth the wait for a permit. A call would take as long as that.
bool endpoint_selector::lacks_permit(
    endpoint_state const& endpoint, engine_spec const* engine, steady_time now)
{
    auto const& limit = endpoint.request_limit;
    return engine == nullptr ? !limit.allows(now) : !limit.may_allow(now);
}

std::vector<endpoint_selector::candidate> endpoint_selector::usable_candidates(
    endpoint_requirements const& work, engine_spec const* engine,
    steady_time now) const
{
    std::vector<candidate> healthy;
    std::vector<candidate> suspect; // suspended or in a suspect zone
    std::vector<candidate> leaving;
    for (auto const& endpoint : endpoints_.of_service(work.service))
    {
        if (lacks_permit(*endpoint, engine, now) ||
            unusable_because(*endpoint, work, now) != endpoint_exclusion::none)
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
    auto& usable = !healthy.empty()  ? healthy
                   : suspect.empty() ? leaving
                                     : suspect;
    if (!work.stream_version)
        apply_version_choice(usable, work.versions);
    return std::move(usable);
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
    endpoint_state::workload const& load, endpoint_requirements const& work,
    engine_spec const& engine, double memory_fraction)
{
    auto const memory = load.memory_tokens + work.memory_tokens();
    return load.requests < engine.slots &&
           (engine.memory_tokens == 0 || load.memory_tokens == 0 ||
            double(memory) <= memory_fraction * double(engine.memory_tokens));
}

/// Requests like this one that fit beside the load; at least one.
double endpoint_selector::room_for(
    endpoint_state::workload const& load, endpoint_requirements const& work,
    engine_spec const& engine)
{
    double room = double(engine.slots) - double(load.requests);
    if (engine.memory_tokens > 0 && work.memory_tokens() > 0)
    {
        double const free = run_memory_fraction * double(engine.memory_tokens) -
                            double(load.memory_tokens);
        room = std::min(room, free / double(work.memory_tokens()));
    }
    return std::max(room, 1.0);
}

/// An endpoint whose speed is not known counts as one of the median speed. A
/// fast one of another region does not: the link there costs more than it
/// saves.
void endpoint_selector::set_slowness(
    std::vector<option>& options, steady_time now)
{
    std::vector<duration> known;
    for (auto const& o : options)
    {
        if (auto const pace = o.endpoint->endpoint->pace.value(now))
            known.push_back(*pace);
    }
    if (known.size() < 2)
        return;
    auto const middle = known.begin() + std::ptrdiff_t((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    for (auto& o : options)
    {
        auto const pace = o.endpoint->endpoint->pace.value(now);
        if (!pace || middle->count() <= 0)
            continue;
        double const ratio = double(pace->count()) / double(middle->count());
        bool const differs =
            ratio >= min_speed_ratio || ratio <= 1 / min_speed_ratio;
        if (differs)
            o.slowness =
                std::clamp(ratio, 1 / max_speed_ratio, max_speed_ratio);
        if (o.distance == topology::distance::other_region)
            o.slowness = std::max(o.slowness, 1.0);
    }
}

/// Keeps so many options that gateways which choose at the same moment compare
/// different ones. Options with more room are kept more often, and slow ones
/// and those of other regions rarely, in the order of a weighted rendezvous
/// hash: another gateway keeps the same ones for the same prompt.
void endpoint_selector::keep_subset(
    std::vector<option>& options, double choosers)
{
    constexpr std::size_t min_options = 2; // two choices even out the load
    auto const count = std::max(
        min_options, std::size_t(std::ceil(double(options.size()) / choosers)));
    if (count >= options.size())
        return;
    auto const rank = [](option const& o)
    {
        double const nearness = o.distance == topology::distance::other_region
                                    ? other_region_weight
                                    : 1.0;
        return -std::log(unit_interval(o.endpoint->weight)) * o.slowness *
               o.slowness / (o.room * nearness);
    };
    std::partial_sort(
        options.begin(), options.begin() + std::ptrdiff_t(count), options.end(),
        [&rank](option const& a, option const& b)
        { return rank(a) < rank(b); });
    options.resize(count);
}

endpoint_ptr endpoint_selector::choose(
    endpoint_requirements const& work, engine_spec const* engine,
    steady_time now) const
{
    return select(work, engine, now).endpoint;
}

endpoint_choice endpoint_selector::select(
    endpoint_requirements const& work, engine_spec const* engine,
    steady_time now) const
{
    auto candidates = usable_candidates(work, engine, now);
    if (candidates.empty())
        return {};
    if (engine == nullptr)
        return {choose_for_call(candidates, now), false};
    auto const choice = choose_for_prompt(candidates, work, *engine, now);
    if (!choice.endpoint || choice.endpoint->request_limit.allows(now))
        return choice;
    // A permit that is not used is lost for others. Those without one were
    // drawn for already.
    candidates.erase(
        std::remove_if(
            candidates.begin(), candidates.end(),
            [now](candidate const& c)
            { return c.endpoint->request_limit.permits(now) == 0; }),
        candidates.end());
    auto drawn = work;
    drawn.unseen_choices = 0;
    auto const permitted = choose_for_prompt(candidates, drawn, *engine, now);
    if (permitted.endpoint)
        return permitted;
    return {nullptr, false, choice.endpoint};
}

/// @param max_backlog  prompt tokens that may wait for their prefill there
std::vector<endpoint_selector::option> endpoint_selector::options_for_prompt(
    std::vector<candidate> const& candidates, endpoint_requirements const& work,
    engine_spec const& engine, std::uint64_t max_backlog, steady_time now) const
{
    std::vector<option> options;
    for (auto const& c : candidates)
    {
        auto const load = total_load(*c.endpoint, now);
        auto const delay =
            delayed_because(*c.endpoint, load, work, engine, max_backlog, now);
        if (delay != endpoint_exclusion::none)
            continue;
        option o;
        o.endpoint = &c;
        o.load = load;
        o.room = work.resuming ? room_for(load, work, engine) : 1;
        o.distance = location_.distance_to(c.endpoint->record().zone);
        options.push_back(o);
    }
    return options;
}

endpoint_choice endpoint_selector::choose_for_prompt(
    std::vector<candidate> const& candidates, endpoint_requirements const& work,
    engine_spec const& engine, steady_time now) const
{
    auto options = options_for_prompt(candidates, work, engine, 0, now);
    // While requests wait, one prompt behind another keeps the endpoint busy
    // until the end of the prefill is known here.
    if (options.empty() && work.capacity_short)
        options = options_for_prompt(
            candidates, work, engine, work.prompt_tokens, now);
    if (options.empty())
        return {};
    // A cached prompt needs almost no prefill.
    for (auto const& o : options)
    {
        if (!work.cached_endpoint.empty() &&
            o.endpoint->endpoint->record().id == work.cached_endpoint)
            return {o.endpoint->endpoint, false};
    }
    double room = 0;
    for (auto const& o : options)
        room += o.room;
    double const asked = 1 + work.unseen_choices;
    if (!wins_room(work.affinity_key, room / asked, now))
        return {nullptr, true};
    set_slowness(options, now);
    keep_subset(options, asked);

    // Prefill of a prompt slows every running stream of the endpoint to a
    // fraction and waits for other prefills, so the endpoint with the least of
    // both is preferred, by the time that each takes there. Another zone weighs
    // as much as one slowed stream.
    auto const order = [&engine](option const& o)
    {
        bool const unreliable =
            o.endpoint->endpoint->failure_rate() > unreliable_failure_rate;
        bool const full = o.load.requests * 2 > engine.slots;
        auto const interference =
            o.load.requests +
            (o.distance == topology::distance::same_zone ? 0u : 1u);
        return std::make_tuple(
            unreliable, full, o.load.prefill_tokens / prefill_step,
            o.slowness * (answer_cost + interference), o.distance,
            ~o.endpoint->weight);
    };
    auto const best = std::min_element(
        options.begin(), options.end(),
        [&order](option const& a, option const& b)
        { return order(a) < order(b); });
    return {best->endpoint->endpoint, false};
}

endpoint_ptr endpoint_selector::choose_for_call(
    std::vector<candidate> const& candidates, steady_time now) const
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
        if (e.request_limit.limit())
            us -= double(permit_value.count());
        return us;
    };
    endpoint_ptr best;
    for (auto const& c : candidates)
    {
        bool const better = !best || cost(*c.endpoint) < cost(*best);
        if (better && !c.endpoint->full(now))
            best = c.endpoint;
    }
    return best;
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
            !endpoint->paused(now) && work.allows(record))
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

bool endpoint_selector::version_served(
    endpoint_requirements const& work, steady_time now) const
{
    auto const& endpoints = endpoints_.of_service(work.service);
    return std::any_of(
        endpoints.begin(), endpoints.end(),
        [&work, now](endpoint_ptr const& e)
        { return !e->has_left(now) && work.allows(e->record()); });
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

std::optional<steady_time> endpoint_selector::earliest_within_limits(
    service_name const& service, std::size_t ahead, steady_time now) const
{
    bool any = false;
    double rate = 0;
    double missing = double(ahead) + 1;
    for (auto const& endpoint : endpoints_.of_service(service))
    {
        if (!endpoint->accepts_requests(now))
            continue;
        auto const limit = endpoint->request_limit.limit();
        if (!limit)
            return std::nullopt;
        any = true;
        rate += *limit;
        missing -= endpoint->request_limit.permits(now);
    }
    if (!any)
        return std::nullopt;
    constexpr double longest_s = 3600;
    if (missing > rate * longest_s)
        return steady_time::max();
    std::chrono::duration<double> const wait(
        missing > 0 ? missing / rate : 0.0);
    return now + std::chrono::duration_cast<duration>(wait);
}

std::chrono::milliseconds
endpoint_selector::retry_after_limits(steady_time until, steady_time now)
{
    return until < steady_time::max()
               ? std::chrono::ceil<std::chrono::milliseconds>(until - now)
               : longest_limited_retry;
}

std::vector<endpoint_ptr> endpoint_selector::lacking_permits(
    endpoint_requirements const& work, engine_spec const* engine,
    steady_time now) const
{
    return engine == nullptr ? calls_lacking_permits(work, now)
                             : prompts_lacking_permits(work, engine, now);
}

std::vector<endpoint_ptr> endpoint_selector::calls_lacking_permits(
    endpoint_requirements const& work, steady_time now) const
{
    std::vector<endpoint_ptr> lacking;
    for (auto const& endpoint : endpoints_.of_service(work.service))
    {
        if (!endpoint->request_limit.allows(now) &&
            unusable_because(*endpoint, work, now) ==
                endpoint_exclusion::none &&
            usability_of(*endpoint, now) == usability::healthy &&
            !endpoint->full(now))
            lacking.push_back(endpoint);
    }
    return lacking;
}

std::vector<endpoint_ptr> endpoint_selector::prompts_lacking_permits(
    endpoint_requirements work, engine_spec const* engine,
    steady_time now) const
{
    constexpr std::size_t most = 4;
    std::vector<endpoint_ptr> lacking;
    while (lacking.size() < most)
    {
        auto const choice = select(work, engine, now);
        if (!choice.lacks_permit)
            break;
        lacking.push_back(choice.lacks_permit);
        work.excluded.insert(choice.lacks_permit->record().id.value());
    }
    return lacking;
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
        if (e.excluded_by == endpoint_exclusion::none &&
            lacks_permit(*endpoint, engine, now))
            e.excluded_by = endpoint_exclusion::limit;
        e.load = total_load(*endpoint, now);
        e.distance = location_.distance_to(endpoint->record().zone);
        if (e.excluded_by == endpoint_exclusion::none)
            best = std::min(best, usability_of(*endpoint, now));
        examined.push_back(std::move(e));
    }
    for (auto& e : examined)
    {
        if (e.excluded_by == endpoint_exclusion::none)
            e.excluded_by = avoided_because(*e.endpoint, best, now);
    }
    if (engine != nullptr)
    {
        exclude_delayed(examined, work, *engine, now);
        return examined;
    }
    for (auto& e : examined)
    {
        if (e.excluded_by == endpoint_exclusion::none && e.endpoint->full(now))
            e.excluded_by = endpoint_exclusion::full;
    }
    return examined;
}

/// As choose_for_prompt(): with a backlog only if no endpoint is without one.
void endpoint_selector::exclude_delayed(
    std::vector<examined_endpoint>& examined, endpoint_requirements const& work,
    engine_spec const& engine, steady_time now) const
{
    auto const delay = [&](examined_endpoint const& e, std::uint64_t backlog) {
        return delayed_because(*e.endpoint, e.load, work, engine, backlog, now);
    };
    bool const any = std::any_of(
        examined.begin(), examined.end(),
        [&delay](examined_endpoint const& e)
        {
            return e.excluded_by == endpoint_exclusion::none &&
                   delay(e, 0) == endpoint_exclusion::none;
        });
    auto const max_backlog =
        !any && work.capacity_short ? work.prompt_tokens : 0;
    for (auto& e : examined)
    {
        if (e.excluded_by == endpoint_exclusion::none)
            e.excluded_by = delay(e, max_backlog);
    }
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
    if (!work.allows(endpoint.record()))
        return endpoint_exclusion::version;
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
/// @param load         of all gateways there
/// @param max_backlog  prompt tokens that may wait for their prefill there
endpoint_exclusion endpoint_selector::delayed_because(
    endpoint_state const& endpoint, endpoint_state::workload const& load,
    endpoint_requirements const& work, engine_spec const& engine,
    std::uint64_t max_backlog, steady_time now)
{
    if (!has_capacity(load, work, engine, run_memory_fraction))
        return load.requests >= engine.slots ? endpoint_exclusion::slots
                                             : endpoint_exclusion::memory;
    // One prefill at a time: a second one would delay both, and can wait in the
    // gateway's queue in the order of its rank instead. A resumed answer does
    // not wait.
    bool const cached = !work.cached_endpoint.empty() &&
                        endpoint.record().id == work.cached_endpoint;
    return cached || work.resuming
               ? endpoint_exclusion::none
               : busy_because(endpoint, load, max_backlog, now);
}

endpoint_exclusion endpoint_selector::busy_because(
    endpoint_state const& endpoint, endpoint_state::workload const& load,
    std::uint64_t max_backlog, steady_time now)
{
    if (load.prefill_tokens > max_backlog)
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
    auto const candidates = usable_candidates(work, nullptr, now);
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
                total_load(*c.endpoint, now), work, engine,
                work.capacity_short ? standby_memory_fraction_if_short
                                    : standby_memory_fraction))
            continue;
        if (best == nullptr || order(c) < order(*best))
            best = &c;
    }
    return best == nullptr ? nullptr : best->endpoint;
}

} // namespace dotterellock
