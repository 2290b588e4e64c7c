// How a gateway tracks the state of endpoints. Index: health; peers; reports.
#include "gateway.hpp"

#include <algorithm>
#include <utility>

#include <dotterellock/error.hpp>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// An endpoint that accepts no connection within this time is considered dead.
// A round trip takes 2 ms within a region and 40 ms between regions; a request
// over a new connection needs two.
constexpr milliseconds check_timeout{110};
constexpr milliseconds cross_region_check_timeout{180};

// An endpoint with this many requests of this gateway may have as many of its
// peers, which only its report shows. No reports are requested at low load.
constexpr std::uint32_t report_min_requests = 3;
constexpr milliseconds report_interval{600};
constexpr milliseconds report_timeout{400};

// Load shares include a failure for this long. A peer ignores it if it heard
// from the endpoint within the same time.
constexpr milliseconds failure_share_duration{300};

// Minimum interval between checks of one endpoint.
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
        recent_failures_.emplace_back(now, endpoint->record().id);
        on_load_changed();
    }
    if (!failed)
        return;
    if (outcome == attempt_outcome::unreachable)
        prompt_crashes_.record_dead(*endpoint, now);
    pool_.close_idle(endpoint->record());
    recent_failures_.emplace_back(now, endpoint->record().id);
    on_load_changed();
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

void gateway::record_announcements(
    endpoint_ptr const& endpoint, unsigned status,
    response_metadata const& metadata)
{
    if (status == 421)
        return; // the answer of another incarnation
    auto const now = env_.clock.now();
    // Answers that the endpoint did not sign may come from before its limit.
    bool const unreadable = metadata.names_limit && !metadata.request_limit;
    if (metadata.request_limit || (metadata.sealed && !unreadable))
        observe_request_limit(*endpoint, {metadata.request_limit, now});
    if (metadata.leaving &&
        endpoint->announce_leaving(now + endpoints_.last_resort_period()))
        log_leaving(endpoint->record().id, "answer");
    if (status != 503 ||
        metadata.retry_after.value_or(milliseconds(0)) <= milliseconds(0))
        return;
    auto const pause = endpoint->pause(*metadata.retry_after, now);
    env_.log.record(
        event_level::info, "endpoint_paused",
        {{"endpoint", endpoint->record().id.value()},
         {"for_ms", std::to_string(pause.count())}});
    on_capacity_freed(endpoint->record().service); // some may wait too long now
}

void gateway::log_leaving(endpoint_id const& endpoint, char const* source)
{
    env_.log.record(
        event_level::info, "endpoint_leaving",
        {{"endpoint", endpoint.value()}, {"source", source}});
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
    if (!endpoint->accepts_requests(now))
        return;
    auto const id = endpoint->record().id.value();
    auto const last = last_checked_.find(id);
    if (last != last_checked_.end() && now - last->second < check_interval)
        return;
    last_checked_[id] = now;
    env_.counters.counter("endpoint_checks_total").add();
    auto const& place = selection_.location();
    bool const cross_region = place.distance_to(endpoint->record().zone) ==
                              topology::distance::other_region;
    call(
        endpoint, cross_region ? cross_region_check_timeout : check_timeout,
        env_.protocol.report_request(), true,
        [this, endpoint, now](endpoint_reply const& reply)
        { on_check_finished(endpoint, now, reply); });
}

void gateway::on_check_finished(
    endpoint_ptr const& endpoint, steady_time began,
    endpoint_reply const& reply)
{
    auto const now = env_.clock.now();
    std::optional<endpoint_report> report;
    try
    {
        if (reply.status == 200)
            report = env_.protocol.read_report(reply.body);
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
    std::vector<std::shared_ptr<relay_exchange>> affected;
    for (auto const& [number, e] : exchanges_)
    {
        if (e->attempting() && e->endpoint() == endpoint)
            affected.push_back(e);
    }
    if (!reply.accepted)
    {
        report_outcome(endpoint, attempt_outcome::unreachable);
        for (auto const& e : affected)
            e->on_endpoint_dead(*endpoint, began);
        return;
    }
    endpoint->record_activity(now);
    prompt_crashes_.record_alive(*endpoint, began);
    if (!report)
        return;
    endpoint->record_report(*report, now);
    for (auto const& e : affected)
        e->on_endpoint_report(*endpoint, *report, began);
}

// Peers ----------------------------------------------------------------------

void gateway::on_load_changed()
{
    if (peer_load_sync_)
        peer_load_sync_->request_send();
}

namespace
{

std::chrono::microseconds
own_pace(endpoint_state const& endpoint, steady_time now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        endpoint.pace.own(now).value_or(duration{0}));
}

} // namespace

load_share gateway::local_load_share()
{
    auto const now = env_.clock.now();
    load_share share;
    if (!shutting_down_ && shared_configuration_.current(now) &&
        shared_endpoints_.current(now))
        share.zone = zone_id(settings_.zone);
    share.configuration_revision = table_revision_;
    share.link_mbps = std::uint32_t(settings_.link_mbps);
    for (auto const& service : engine_services_)
    {
        for (auto const& endpoint : endpoints_.of_service(service))
        {
            auto const& id = endpoint->record().id;
            auto const& load = endpoint->load;
            if (load.requests > 0 || load.memory_tokens > 0)
                share.loads.push_back({id, load, own_pace(*endpoint, now)});
            auto const report = endpoint->recent_report(now);
            if (report && reports_for_zone(*endpoint))
                share.reports.push_back(
                    {id, *report,
                     std::chrono::duration_cast<milliseconds>(
                         now - endpoint->last_report_at())});
        }
    }
    share.limits = limits_.statements(now);
    while (!recent_failures_.empty() &&
           now - recent_failures_.front().first > failure_share_duration)
        recent_failures_.erase(recent_failures_.begin());
    for (auto const& [at, id] : recent_failures_)
        share.failed.push_back(id);
    return share;
}

void gateway::on_load_share(load_share const& share)
{
    auto const now = env_.clock.now();
    if (!peers_.put(share, now))
        return;
    if (share.configuration_revision > 0)
        configuration_revisions_.record(
            share.gateway, share.configuration_revision, now);
    for (auto const& shared : share.loads)
    {
        auto const endpoint = endpoints_.find(shared.endpoint);
        if (endpoint && shared.pace.count() > 0)
            endpoint->pace.record_peer(shared.pace, now);
    }
    for (auto const& shared : share.limits)
    {
        if (auto const endpoint = endpoints_.find(shared.endpoint))
            observe_request_limit(
                *endpoint, {shared.per_second,
                            now - shared.age - request_limits::passing_time});
    }
    for (auto const& shared : share.reports)
    {
        if (auto const endpoint = endpoints_.find(shared.endpoint))
            endpoint->record_report(shared.report, now - shared.age);
    }
    for (auto const& id : share.failed)
    {
        auto const endpoint = endpoints_.find(id);
        // An endpoint that responded here is alive, and one that is suspended
        // is known to have failed.
        if (!endpoint || endpoint->suspended(now) ||
            now - endpoint->last_activity() < failure_share_duration)
            continue;
        endpoint->record_peer_failure(now);
        if (zones_.record_failure(endpoint->record(), now))
            check_zone(endpoint->record());
        if (endpoint->load.requests > 0 || endpoint->load.memory_tokens > 0)
            check_endpoint(endpoint);
    }
    on_capacity_freed({});
}

// Reports --------------------------------------------------------------------

void gateway::request_reports(steady_time now)
{
    for (auto const& service : engine_services_)
    {
        for (auto const& endpoint : endpoints_.of_service(service))
        {
            if (endpoint->leaving() || endpoint->suspended(now) ||
                endpoint->paused(now) ||
                now - endpoint->last_report_attempt() < report_interval ||
                !needs_report(*endpoint, now))
                continue;
            endpoint->record_report_request(now);
            call(
                endpoint, report_timeout, env_.protocol.report_request(), false,
                [this, endpoint](endpoint_reply const& reply)
                { on_report(*endpoint, reply); });
        }
    }
}

/// Whether this gateway asks the endpoint for its report for the whole zone.
bool gateway::reports_for_zone(endpoint_state const& endpoint) const
{
    auto const& record = endpoint.record();
    return record.zone.value() == settings_.zone &&
           table_sources_.represents_zone(record.id.value());
}

/// A busy endpoint is asked by one of the gateways in its zone that read the
/// tables, for all others; by another one only if it has much work there and no
/// report.
bool gateway::needs_report(
    endpoint_state const& endpoint, steady_time now) const
{
    bool const reporter = reports_for_zone(endpoint);
    auto const known = reporter ? selection_.total_load(endpoint, now).requests
                                : endpoint.load.requests;
    bool const reported_busy =
        reporter && endpoint.running_for_others(now) >= report_min_requests;
    return known >= report_min_requests || reported_busy;
}

void gateway::on_report(endpoint_state& endpoint, endpoint_reply const& reply)
{
    if (reply.status != 200)
        return; // liveness is judged by the requests at the endpoint
    try
    {
        endpoint.record_report(
            env_.protocol.read_report(reply.body), env_.clock.now());
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
    endpoint_ptr const& endpoint, milliseconds timeout, std::string request,
    bool probe, endpoint_call::handler done)
{
    auto const call = std::make_shared<endpoint_call>(
        pool_, env_.protocol, env_.clock, env_.memory, endpoint, timeout,
        [this, endpoint](message_head const& head)
        {
            record_announcements(
                endpoint, head.status, env_.protocol.read_response(head));
        },
        std::move(done));
    endpoint_calls_.push_back(call);
    call->start(std::move(request), env_.clock.now(), probe);
}

/// Decides suspicions that an endpoint crashed on a prompt.
void gateway::check_suspected_endpoints(steady_time now)
{
    // One that is not listed any more may have left as planned.
    prompt_crashes_.record_replaced(
        [this](endpoint_state const& endpoint)
        {
            auto const known = endpoints_.find(endpoint.record().id);
            return known && known.get() != &endpoint;
        },
        now);
    for (auto const& endpoint : prompt_crashes_.suspected_endpoints())
        check_endpoint(endpoint);
}

void gateway::sweep_endpoints(steady_time now)
{
    endpoints_.remove_unused(now);
    cache_lookup_.remove_expired(now);
    for (auto i = last_checked_.begin(); i != last_checked_.end();)
    {
        bool const old = now - i->second > check_interval;
        i = old ? last_checked_.erase(i) : std::next(i);
    }
    request_reports(now);
}

} // namespace dotterellock
