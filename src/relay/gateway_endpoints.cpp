// What a gateway learns of endpoints. Index: health; other gateways; reports;
// callers that come back.
#include "gateway.hpp"

#include <algorithm>
#include <utility>

#include <dotterellock/error.hpp>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// An endpoint that accepts no connection by then is taken for dead. A round
// trip takes 2 ms within a region and 40 ms between regions, and a new
// connection with a question needs two.
constexpr milliseconds check_timeout{110};
constexpr milliseconds far_check_timeout{180};

// An endpoint with this much own work may have as much of others', which its
// report tells; at low load nothing is asked.
constexpr std::uint32_t report_from_requests = 3;
constexpr milliseconds report_interval{600};
constexpr milliseconds report_timeout{400};

// A failure is told to the other gateways for this long; it is news only to
// those that did not hear from the endpoint meanwhile.
constexpr milliseconds failure_news{300};

// One listing of the caches serves all callers that come back together.
constexpr milliseconds cache_lookup_interval{1500};
constexpr milliseconds cache_lookup_timeout{120};

// Checks of one endpoint are at least this far apart.
constexpr milliseconds check_interval{250};

} // namespace

// Health ---------------------------------------------------------------------

void gateway::report_outcome(
    endpoint_ptr const& endpoint, attempt_outcome outcome)
{
    auto const now = env_.clock.now();
    endpoint->record_outcome(outcome, now);
    bool const failed = outcome == attempt_outcome::unreachable ||
                        outcome == attempt_outcome::lost ||
                        outcome == attempt_outcome::silent;
    if (outcome == attempt_outcome::misdirected)
    {
        failed_.emplace_back(now, endpoint->record().id);
        work_changed();
    }
    if (!failed)
        return;
    pool_.drop(endpoint->record());
    failed_.emplace_back(now, endpoint->record().id);
    work_changed();
    if (zones_.record_failure(endpoint->record(), now))
    {
        env_.log.record(
            event_level::warn, "zone_suspect",
            {{"service", endpoint->record().service.value()},
             {"zone", endpoint->record().zone.value()},
             {"endpoint", endpoint->record().id.value()}});
        check_zone(endpoint->record());
    }
}

void gateway::check_zone(endpoint_record const& failed)
{
    for (auto const& endpoint : endpoints_.of_service(failed.service))
    {
        if (endpoint->record().zone == failed.zone &&
            endpoint->load.requests > 0)
            check_endpoint(endpoint);
    }
}

void gateway::check_endpoint(endpoint_ptr const& endpoint)
{
    auto const now = env_.clock.now();
    auto const id = endpoint->record().id.value();
    auto const last = checked_at_.find(id);
    if (last != checked_at_.end() && now - last->second < check_interval)
        return;
    checked_at_[id] = now;
    env_.counters.counter("endpoint_checks_total").add();
    auto const& place = selection_.location();
    bool const far = place.distance_to(endpoint->record().zone) ==
                     topology::distance::other_region;
    call(
        endpoint->record(), far ? far_check_timeout : check_timeout,
        env_.dialect.report_request(), true,
        [this, endpoint, now](endpoint_reply const& reply)
        { check_finished(endpoint, now, reply); });
}

void gateway::check_finished(
    endpoint_ptr const& endpoint, steady_time began,
    endpoint_reply const& reply)
{
    auto const now = env_.clock.now();
    std::optional<endpoint_report> report;
    try
    {
        if (reply.status == 200)
            report = env_.dialect.read_report(reply.body);
    }
    catch (error const& e)
    {
        env_.log.record(
            event_level::warn, "report_unreadable",
            {{"endpoint", endpoint->record().id.value()},
             {"detail", e.detail()}});
    }
    env_.log.record(
        event_level::info, "endpoint_checked",
        {{"endpoint", endpoint->record().id.value()},
         {"zone", endpoint->record().zone.value()},
         {"accepted", reply.accepted ? "1" : "0"},
         {"running", report ? std::to_string(report->running) : "-"},
         {"waiting", report ? std::to_string(report->waiting) : "-"}});
    std::vector<std::shared_ptr<relay_exchange>> here;
    for (auto const& [number, e] : exchanges_)
    {
        if (e->attempting() && e->endpoint() == endpoint)
            here.push_back(e);
    }
    if (!reply.accepted)
    {
        report_outcome(endpoint, attempt_outcome::unreachable);
        for (auto const& e : here)
            e->endpoint_dead(*endpoint, began);
        return;
    }
    endpoint->record_activity(now);
    if (!report)
        return;
    endpoint->record_report(*report, now);
    for (auto const& e : here)
        e->endpoint_reported(*endpoint, *report, began);
}

// Other gateways -------------------------------------------------------------

void gateway::work_changed()
{
    if (peer_exchange_)
        peer_exchange_->changed();
}

load_share gateway::own_share()
{
    auto const now = env_.clock.now();
    load_share share;
    for (auto const& service : busy_services_)
    {
        for (auto const& endpoint : endpoints_.of_service(service))
        {
            auto const& load = endpoint->load;
            if (load.requests > 0 || load.memory_tokens > 0)
                share.loads.push_back({endpoint->record().id, load});
        }
    }
    while (!failed_.empty() && now - failed_.front().first > failure_news)
        failed_.erase(failed_.begin());
    for (auto const& [at, id] : failed_)
        share.failed.push_back(id);
    return share;
}

void gateway::share_received(load_share const& share)
{
    auto const now = env_.clock.now();
    if (!peers_.put(share, now))
        return;
    for (auto const& id : share.failed)
    {
        auto const endpoint = endpoints_.find(id);
        // What answered here since is sound; what failed here is known.
        if (!endpoint || endpoint->suspended(now) ||
            now - endpoint->last_activity() < failure_news)
            continue;
        endpoint->record_peer_failure(now);
        if (zones_.record_failure(endpoint->record(), now))
            check_zone(endpoint->record());
        if (endpoint->load.requests > 0 || endpoint->load.memory_tokens > 0)
            check_endpoint(endpoint);
    }
    room_freed({});
}

// Reports --------------------------------------------------------------------

void gateway::refresh_reports(steady_time now)
{
    for (auto const& service : busy_services_)
    {
        for (auto const& endpoint : endpoints_.of_service(service))
        {
            bool const busy = endpoint->load.requests >= report_from_requests;
            if (!busy || endpoint->leaving() || endpoint->suspended(now) ||
                now - endpoint->reported_at() < report_interval)
                continue;
            endpoint->record_report_request(now);
            call(
                endpoint->record(), report_timeout,
                env_.dialect.report_request(), false,
                [this, endpoint](endpoint_reply const& reply)
                { reported(*endpoint, reply); });
        }
    }
}

void gateway::reported(endpoint_state& endpoint, endpoint_reply const& reply)
{
    if (reply.status != 200)
        return; // the requests there tell whether it lives
    try
    {
        endpoint.record_report(
            env_.dialect.read_report(reply.body), env_.clock.now());
    }
    catch (error const& e)
    {
        env_.log.record(
            event_level::warn, "report_unreadable",
            {{"endpoint", endpoint.record().id.value()},
             {"detail", e.detail()}});
    }
}

void gateway::call(
    endpoint_record const& endpoint, milliseconds timeout, std::string request,
    bool probe, endpoint_call::handler done)
{
    auto const call = std::make_shared<endpoint_call>(
        pool_, endpoint, timeout, std::move(done));
    calls_.push_back(call);
    call->start(std::move(request), env_.clock.now(), probe);
}

// Callers that come back -----------------------------------------------------

void gateway::start_with_cache_index(std::shared_ptr<relay_exchange> const& e)
{
    auto const now = env_.clock.now();
    auto const& service = e->request().service;
    auto& lookup = cache_lookups_[service];
    bool const recent =
        lookup.began && now - *lookup.began < cache_lookup_interval;
    if (recent && lookup.open == 0)
    {
        e->start(cache_index_.best_endpoint(e->work().affinity_key, now));
        return;
    }
    lookup.waiting.push_back(e);
    if (recent)
        return;
    lookup.began = now;
    auto const endpoints = endpoints_.of_service(service);
    lookup.open = 1; // until all calls are made
    for (auto const& endpoint : endpoints)
    {
        if (endpoint->leaving() || endpoint->suspended(now))
            continue;
        ++lookup.open;
        call(
            endpoint->record(), cache_lookup_timeout,
            env_.dialect.cache_request(), false,
            [this, service, endpoint](endpoint_reply const& reply)
            { cache_listed(service, *endpoint, reply); });
    }
    cache_lookup_ended(service);
}

void gateway::cache_listed(
    service_name const& service, endpoint_state const& endpoint,
    endpoint_reply const& reply)
{
    try
    {
        if (reply.status == 200)
            cache_index_.put(
                endpoint.record().id, env_.dialect.read_cache(reply.body),
                env_.clock.now());
    }
    catch (error const& e)
    {
        env_.log.record(
            event_level::warn, "cache_list_unreadable",
            {{"endpoint", endpoint.record().id.value()},
             {"detail", e.detail()}});
    }
    cache_lookup_ended(service);
}

void gateway::cache_lookup_ended(service_name const& service)
{
    auto& lookup = cache_lookups_[service];
    if (--lookup.open > 0)
        return;
    auto const now = env_.clock.now();
    env_.log.record(
        event_level::info, "prompt_caches_listed",
        {{"service", service.value()},
         {"parts", std::to_string(cache_index_.size())},
         {"waiting", std::to_string(lookup.waiting.size())}});
    for (auto const& e : std::exchange(lookup.waiting, {}))
        e->start(cache_index_.best_endpoint(e->work().affinity_key, now));
}

void gateway::sweep_endpoints(steady_time now)
{
    endpoints_.remove_unused(now);
    cache_index_.remove_expired(now);
    for (auto i = checked_at_.begin(); i != checked_at_.end();)
    {
        bool const old = now - i->second > check_interval;
        i = old ? checked_at_.erase(i) : std::next(i);
    }
    refresh_reports(now);
}

} // namespace dotterellock
