// Index: orders and status rows; requests; peers; store; update; metrics.
#include "rollout_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "rollout_order_progress.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Half of the slack is for the canary; the rest covers a second start of the
// fleet, which forgets what it spent.
constexpr double canary_slack_part = 0.5;

// Several datagrams; each may be lost.
constexpr milliseconds announcement_time{5000};

// After it, a gateway that still reports an ended order as running is answered.
constexpr milliseconds reminder_time{1000};

// Calls to the store time out earlier.
constexpr milliseconds max_overtaking{2000};

// Of a gateway whose endpoints are all excluded.
constexpr milliseconds row_poll_interval{1000};

// Endpoints of a new version may be listed later than the order.
constexpr milliseconds absence_warning{2000};

} // namespace

rollout_coordinator::rollout_coordinator(
    rollout_settings const& settings, event_log& log)
    : settings_(settings), log_(log)
{
}

rollout_coordinator::~rollout_coordinator() = default;

void rollout_coordinator::set_settings(rollout_settings const& settings)
{
    settings_ = settings;
}

void rollout_coordinator::set_fleet_size(std::size_t gateways)
{
    fleet_size_ = std::max<std::size_t>(gateways, 1);
}

rollout_coordinator::order_progress&
rollout_coordinator::progress_of(service_name const& service)
{
    auto& p = orders_[service];
    if (!p)
        p = std::make_unique<order_progress>();
    return *p;
}

rollout_coordinator::order_progress const*
rollout_coordinator::find(service_name const& service) const
{
    auto const found = orders_.find(service);
    return found == orders_.end() ? nullptr : found->second.get();
}

void rollout_coordinator::record(
    event_level level, char const* event, rollout_status const& status,
    std::string const& why)
{
    log_.record(
        level, event,
        {{"service", status.service.value()},
         {"version", status.to},
         {"order", std::to_string(status.order_revision)},
         {"reason", why}});
}

// Orders and status rows -----------------------------------------------------

bool rollout_coordinator::on_order(rollout_order const& order, steady_time now)
{
    if (!settings_.enabled)
        return false;
    auto& p = progress_of(order.service);
    rollout_status const status{
        order.service, order.to, rollout_state::running, order.revision};
    // A copy of the table that is behind.
    if (p.order && order.revision < p.order->revision)
        return false;
    if (p.order && !p.withdrawn && is_restored(order, *p.order))
    {
        p.restore(order.revision);
        record(
            event_level::info, "rollout_restored", p.status,
            "the store was restored");
        return false;
    }
    if (p.order && order.revision == p.order->revision)
    {
        // Invalid orders stay so; others come back after an incomplete listing.
        if (order.length.count() > 0 && !order.to.empty())
            p.withdrawn = false;
        return false;
    }
    if (p.active())
        record(event_level::info, "rollout_replaced", p.status, "new order");
    p.begin(order, now);
    if (order.length.count() <= 0 || order.to.empty())
    {
        p.withdrawn = true;
        record(event_level::warn, "rollout_invalid", status, "no duration");
        return true;
    }
    auto const phases = p.phases;
    p.canary = canary_traffic(
        {phases.canary_share(settings_),
         settings_.exposure_slack * canary_slack_part / double(fleet_size_),
         order.length});
    if (!supersedes(p.status, status))
        p.status = status;
    p.row.on_state_change(now);
    record(
        event_level::info, "rollout_ordered", p.status,
        p.beginning_known ? "new order" : "found at start");
    return true;
}

void rollout_coordinator::on_order_withdrawn(
    service_name const& service, steady_time now)
{
    auto const found = orders_.find(service);
    if (found == orders_.end() || found->second->withdrawn)
        return;
    auto& p = *found->second;
    if (p.active())
    {
        record(event_level::info, "rollout_withdrawn", p.status, "no order");
        p.announce_until = now;
    }
    p.withdrawn = true;
}

void rollout_coordinator::on_status_row(
    service_name const& service, std::optional<rollout_status> const& status,
    std::uint64_t revision, steady_time now)
{
    if (!settings_.enabled)
        return;
    auto& p = progress_of(service);
    // A response that was overtaken. Lower revisions after some time come from
    // a store that lost its history.
    if (revision < p.row.revision() && p.row.read_since(now - max_overtaking))
        return;
    p.row.on_read(status, revision, now);
    p.poll_row = false;
    p.confirmed = true;
    if (!status || status->order_revision == 0)
        return;
    if (status->order_revision == p.status.order_revision &&
        status->state == rollout_state::completed)
        p.was_completed = true;
    merge(p, *status, "status row", now);
}

void rollout_coordinator::merge(
    order_progress& p, rollout_status const& status, std::string const& why,
    steady_time now)
{
    if (!supersedes(status, p.status))
        return;
    bool const ours =
        p.order && p.order->revision == status.order_revision && !p.withdrawn;
    p.was_completed =
        status.state == rollout_state::completed ||
        (p.was_completed && p.status.order_revision == status.order_revision);
    p.status = status;
    p.row.on_state_change(now);
    if (status.state == rollout_state::running)
        return;
    if (status.state == rollout_state::completed && p.current != status.to)
    {
        p.before = p.current;
        p.current = status.to;
    }
    if (status.state == rollout_state::rolled_back && p.current == status.to)
        p.current = p.before; // a verdict that arrived after a completion
    if (!ours)
        return;
    p.announce_until = now + announcement_time;
    urgent_ = true;
    record(
        event_level::info,
        status.state == rollout_state::completed ? "rollout_completed"
                                                 : "rollout_rolled_back",
        status, why);
}

void rollout_coordinator::end(
    order_progress& p, rollout_state state, std::string const& why,
    steady_time now)
{
    auto status = p.status;
    status.state = state;
    merge(p, status, why, now);
}

// Requests -------------------------------------------------------------------

version_choice rollout_coordinator::choose(
    service_name const& service, endpoints_by_version const& endpoints,
    steady_time now) const
{
    if (!settings_.enabled)
        return {};
    auto const* p = find(service);
    return p ? p->choose(endpoints, fleet_size_, now)
             : order_progress().choose(endpoints, fleet_size_, now);
}

bool rollout_coordinator::allowed(
    service_name const& service, std::string const& version,
    endpoints_by_version const& endpoints, steady_time now) const
{
    if (!settings_.enabled || version.empty())
        return true;
    auto const c = choose(service, endpoints, now);
    if (c.kind == version_choice::rule::any)
        return true;
    // Canary requests are counted one by one; nothing else goes there.
    bool const canary = c.candidate && c.max_endpoints > 0;
    if (!canary && version == c.version)
        return true;
    auto const* p = find(service);
    return c.kind == version_choice::rule::prefer && p &&
           version == p->current_version(endpoints);
}

bool rollout_coordinator::may_continue(
    service_name const& service, std::string const& version) const
{
    auto const* p = find(service);
    return !settings_.enabled || p == nullptr ||
           p->status.state != rollout_state::rolled_back ||
           version != p->status.to;
}

void rollout_coordinator::on_request(service_name const& service, steady_time)
{
    auto const found = orders_.find(service);
    if (found != orders_.end() && found->second->active())
        found->second->canary.on_request();
}

void rollout_coordinator::on_attempt(
    service_name const& service, std::string const& version, steady_time)
{
    auto const found = orders_.find(service);
    if (found != orders_.end() && found->second->active() &&
        version == found->second->status.to)
        found->second->canary.on_exposed();
}

void rollout_coordinator::on_answer(
    service_name const& service, version_answer const& answer, steady_time now)
{
    auto const found = orders_.find(service);
    if (found == orders_.end() || !found->second->active())
        return;
    found->second->record_answer(answer, now);
}

// Peers ----------------------------------------------------------------------

void rollout_coordinator::on_evidence(
    host_id const& gateway, rollout_evidence const& evidence, steady_time now)
{
    if (!settings_.enabled || evidence.status.order_revision == 0)
        return;
    auto& p = progress_of(evidence.status.service);
    bool const behind = supersedes(p.status, evidence.status);
    if (behind && p.status.state != rollout_state::running)
    {
        // The peer missed the end of the order.
        p.announce_until =
            std::max(p.announce_until.value_or(now), now + reminder_time);
    }
    if (evidence.status.order_revision == p.status.order_revision &&
        evidence.status.state == rollout_state::completed)
        p.was_completed = true;
    merge(
        p, merged_across_eras(evidence.status, p.status),
        "peer " + gateway.value(), now);
    if (!p.order || evidence.status.order_revision != p.order->revision)
        return;
    p.confirmed = true;
    if (evidence.elapsed)
        p.learn_elapsed(*evidence.elapsed, now);
    p.peers.on_report(
        gateway,
        {evidence.counts, evidence.requests_in_progress_at_old,
         evidence.elapsed},
        now);
}

std::vector<rollout_evidence>
rollout_coordinator::evidence(steady_time now) const
{
    std::vector<rollout_evidence> result;
    for (auto const& [service, p] : orders_)
    {
        bool const announced = p->announce_until && now < *p->announce_until;
        if (!p->active() && !announced)
            continue;
        rollout_evidence e;
        e.status = p->status;
        e.counts = p->own_counts;
        e.requests_in_progress_at_old = p->own_requests_at_old;
        if (p->beginning_known)
            e.elapsed = duration_cast<milliseconds>(p->elapsed(now));
        result.push_back(std::move(e));
    }
    return result;
}

bool rollout_coordinator::take_urgent()
{
    return std::exchange(urgent_, false);
}

// Store ----------------------------------------------------------------------

std::optional<rollout_coordinator::pending_write>
rollout_coordinator::due_write(
    service_name const& service, std::size_t rank, steady_time now)
{
    auto const found = orders_.find(service);
    if (found == orders_.end())
        return std::nullopt;
    auto& p = *found->second;
    auto status = p.status;
    if (p.active() && p.completing)
        status.state = rollout_state::completed;
    if (!p.status_is_of_order() || !p.confirmed ||
        !p.row.take_due(status, rank, now))
        return std::nullopt;
    return pending_write{status, p.row.revision()};
}

std::vector<service_name> rollout_coordinator::unread_status() const
{
    std::vector<service_name> result;
    for (auto const& [service, p] : orders_)
        if (p->order && !p->withdrawn &&
            (!p->row.read() || !p->confirmed || p->poll_row))
            result.push_back(service);
    return result;
}

// Update ---------------------------------------------------------------------

void rollout_coordinator::update(
    std::map<service_name, endpoints_by_version> const& endpoints,
    steady_time now)
{
    if (!settings_.enabled)
        return;
    for (auto const& [service, versions] : endpoints)
        update_service(service, progress_of(service), versions, now);
    for (auto const& [service, p] : orders_)
        if (endpoints.count(service) == 0)
            update_service(service, *p, {}, now);
}

void rollout_coordinator::update_service(
    service_name const&, order_progress& p,
    endpoints_by_version const& endpoints, steady_time now)
{
    if (!p.active())
    {
        // A verdict excludes the only endpoints, unless it was too late.
        p.poll_row = p.status.state == rollout_state::rolled_back &&
                     !p.was_completed && !endpoints.empty() &&
                     !p.current_listed(endpoints) &&
                     !p.row.read_since(now - row_poll_interval);
        if (!endpoints.empty())
        {
            auto const current = p.current_version(endpoints);
            if (endpoints.count(current) > 0)
                p.current = current;
        }
        return;
    }
    p.canary.set_slack(
        settings_.exposure_slack * canary_slack_part / double(fleet_size_));
    p.watch_endpoints(endpoints, now);
    if (!p.warned_of_absence && p.elapsed(now) >= absence_warning &&
        endpoints.count(p.status.to) == 0)
    {
        p.warned_of_absence = true;
        record(
            event_level::warn, "rollout_without_endpoints", p.status,
            endpoints.empty() ? "unknown service" : "unknown version");
    }
    // Old endpoints that are gone by now were stopped by a completion that this
    // gateway has not heard of; a verdict would leave no endpoint.
    bool const only_candidate =
        p.elapsed(now) >= p.phases.shift && !p.current_listed(endpoints);
    std::string reason;
    if (!only_candidate && p.judge(&reason, now) == version_verdict::bad)
    {
        end(p, rollout_state::rolled_back, reason, now);
        return;
    }
    // An order for the version that already serves has nothing to shift.
    auto const step = p.current == p.status.to
                          ? order_progress::step::complete
                          : p.next_step(endpoints, fleet_size_, now);
    if (step == order_progress::step::roll_back)
        end(p, rollout_state::rolled_back, "no endpoints of the version", now);
    bool const completing = step == order_progress::step::complete;
    if (completing && !only_candidate && p.current != p.status.to &&
        p.judge_at_end(&reason) == version_verdict::bad)
    {
        end(p, rollout_state::rolled_back, reason + " at the end", now);
        return;
    }
    if (completing && !p.completing)
        p.row.on_state_change(now);
    p.completing = completing;
}

std::vector<service_name> rollout_coordinator::running() const
{
    std::vector<service_name> result;
    for (auto const& [service, p] : orders_)
        if (p->active())
            result.push_back(service);
    return result;
}

// Metrics --------------------------------------------------------------------

std::vector<rollout_coordinator::summary> rollout_coordinator::summaries() const
{
    std::vector<summary> result;
    for (auto const& [service, p] : orders_)
    {
        if (!p->order || p->withdrawn)
            continue;
        summary s{service, p->order->to, p->canary.exposed(), 0};
        auto counts = p->own_counts;
        count_slow(counts);
        for (auto const& [route, c] : counts.candidate)
            s.bad_answers += c.failed + c.slow;
        result.push_back(s);
    }
    return result;
}

} // namespace dotterellock
