// Index: orders; requests; peers; store; metrics.
#include "rollout_control.hpp"

#include <algorithm>
#include <utility>

#include "gateway.hpp"
#include "gateway/isolated_work.hpp"
#include "gateway/store_revision.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Phases end on fractions of a second, and a verdict must not wait for long.
constexpr milliseconds update_interval{100};

// Numbers of endpoints by version are counted anew after this time, which is
// short beside the time between changes and long beside that between calls.
constexpr milliseconds versions_validity{20};

// A store that just failed is given time, but a status must be written within
// a second of the store's return.
constexpr milliseconds store_retry_interval{200};

// Writers repeat at once what a restored store lost; registrations take up to
// two seconds.
constexpr milliseconds rewrite_time{3000};

constexpr std::size_t max_logged_key_bytes = 200;

answer_counts sum_of(std::map<std::string, answer_counts> const& routes)
{
    answer_counts sum;
    for (auto const& [route, counts] : routes)
    {
        sum.add(counts);
        sum.slow += counts.slow; // which add() leaves out
    }
    return sum;
}

/// For the log: answers, failed, slow and lost.
std::string to_text(answer_counts const& counts)
{
    return std::to_string(counts.answers) + '/' +
           std::to_string(counts.failed) + '/' + std::to_string(counts.slow) +
           '/' + std::to_string(counts.lost);
}

char const* state_text(rollout_state state)
{
    switch (state)
    {
    case rollout_state::running:
        return "running";
    case rollout_state::completed:
        return "completed";
    case rollout_state::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

} // namespace

rollout_control::rollout_control(
    rollout_settings const& settings, row_codec const& codec, row_writer& store,
    endpoint_table const& endpoints, clock_source const& clock, event_log& log,
    surroundings gateway)
    : codec_(codec), store_(store), endpoints_(endpoints), clock_(clock),
      log_(log), gateway_(std::move(gateway)), coordinator_(settings, log)
{
}

// Orders ---------------------------------------------------------------------

void rollout_control::on_order_listing(
    std::vector<store_row> const& rows, steady_time not_before)
{
    // The first listing has orders that were given at any time before.
    bool const known = std::exchange(listed_, true);
    std::set<service_name> listed;
    std::uint64_t era = 0;
    for (auto const& row : rows)
    {
        era = std::max(era, store_era_of(row.revision));
        if (auto const service = codec_.rollout_service(row))
        {
            listed.insert(*service);
            apply_row(
                row, known ? std::make_optional(not_before) : std::nullopt);
        }
    }
    std::vector<service_name> removed;
    for (auto& [service, order] : orders_)
    {
        if (listed.count(service) != 0)
            continue;
        if (store_era_of(order.revision) < era)
            order.missing_since = clock_.now();
        else
            removed.push_back(service);
    }
    for (auto const& service : removed)
        withdraw(service);
}

/// @param not_before  empty: it is not known when the order was given
void rollout_control::apply_row(
    store_row const& row, std::optional<steady_time> not_before)
{
    auto const service = codec_.rollout_service(row);
    if (!service)
        return;
    if (row.deleted)
    {
        withdraw(*service);
        return;
    }
    auto const known = orders_.find(*service);
    if (known != orders_.end())
    {
        known->second.missing_since.reset();
        if (known->second.revision == row.revision)
            return; // listed again
    }
    run_isolated(
        [&]
        {
            auto order = codec_.read_rollout_order(row);
            // A time that leaves nothing of the order says that it is unknown.
            order.not_before = not_before.value_or(clock_.now() - order.length);
            auto& entry = orders_[*service];
            entry.revision = row.revision;
            if (gateway_.names_service(*service))
            {
                give(entry, order);
                return;
            }
            if (std::exchange(entry.given, false))
                coordinator_.on_order_withdrawn(*service, clock_.now());
            entry.held = order;
            log_.record(
                event_level::warn, "rollout_order_held",
                {{"service", service->value()},
                 {"to", order.to},
                 {"revision", std::to_string(row.revision)},
                 {"detail", "the service is not in the configuration"}});
        },
        [&](std::string const& detail)
        { on_unreadable(row, *service, detail); });
}

void rollout_control::on_unreadable(
    store_row const& row, service_name const& service,
    std::string const& detail)
{
    log_.record(
        event_level::error, "rollout_order_unreadable",
        {{"key", row.key.substr(0, max_logged_key_bytes)},
         {"revision", std::to_string(row.revision)},
         {"detail", detail}});
    auto& entry = orders_[service];
    entry.revision = row.revision;
    entry.held.reset();
    if (std::exchange(entry.given, false))
        coordinator_.on_order_withdrawn(service, clock_.now());
}

void rollout_control::give(known_order& known, rollout_order const& order)
{
    known.held.reset();
    // The gateway's part of the allowance depends on it.
    coordinator_.set_fleet_size(gateway_.fleet_size());
    bool const begun = coordinator_.on_order(order, clock_.now());
    if (begun || !known.given)
    {
        known.reached = phase::none;
        known.requests = 0;
    }
    known.given = true;
}

void rollout_control::withdraw_missing(steady_time now)
{
    std::vector<service_name> missing;
    for (auto const& [service, known] : orders_)
    {
        if (known.missing_since && now - *known.missing_since >= rewrite_time)
            missing.push_back(service);
    }
    for (auto const& service : missing)
        withdraw(service);
}

void rollout_control::withdraw(service_name const& service)
{
    auto const known = orders_.find(service);
    if (known == orders_.end())
        return;
    bool const given = known->second.given;
    orders_.erase(known);
    if (given)
        coordinator_.on_order_withdrawn(service, clock_.now());
}

void rollout_control::on_configuration()
{
    for (auto& [service, known] : orders_)
    {
        if (known.held && gateway_.names_service(service))
        {
            auto const order = *known.held;
            give(known, order);
        }
    }
}

bool rollout_control::has_order(service_name const& service) const
{
    auto const known = orders_.find(service);
    return known != orders_.end() && known->second.given;
}

// Requests -------------------------------------------------------------------

/// An endpoint that leaves is not ready; one that is neither ready nor has
/// requests is left out.
endpoints_by_version const&
rollout_control::versions_of(service_name const& service, steady_time now) const
{
    auto const [at, added] = versions_.try_emplace(service);
    auto& known = at->second;
    if (!added && now - known.at < versions_validity)
        return known.endpoints;
    known.at = now;
    known.endpoints.clear();
    for (auto const& endpoint : endpoints_.of_service(service))
    {
        bool const ready = endpoint->listed() && !endpoint->leaving();
        auto const requests = endpoint->load.requests;
        if (!ready && requests == 0)
            continue;
        auto& sum = known.endpoints[endpoint->record().version];
        sum.ready += ready ? 1 : 0;
        sum.requests += requests;
    }
    return known.endpoints;
}

void rollout_control::set_versions(
    endpoint_requirements& work, version_choice choice, steady_time now) const
{
    work.versions = std::move(choice);
    work.barred_versions.clear();
    auto const& versions = versions_of(work.service, now);
    if (orders_.empty() && versions.size() <= 1)
        return;
    for (auto const& [version, endpoints] : versions)
    {
        // Canary traffic is allowed for its own attempt only.
        bool const canary =
            work.versions.candidate && version == work.versions.version;
        if (!canary &&
            !coordinator_.allowed(work.service, version, versions, now))
            work.barred_versions.insert(version);
    }
}

void rollout_control::choose_versions(
    endpoint_requirements& work, steady_time now) const
{
    auto const& versions = versions_of(work.service, now);
    // The usual case, asked for several times per request and stream.
    bool const alike = orders_.empty() && versions.size() <= 1;
    set_versions(
        work,
        alike ? version_choice{}
              : coordinator_.choose(work.service, versions, now),
        now);
}

bool rollout_control::choose_other_versions(
    endpoint_requirements& work, steady_time now) const
{
    if (work.versions.kind != version_choice::rule::prefer)
        return false;
    set_versions(work, {}, now);
    return true;
}

version_choice rollout_control::standby_choice(
    service_name const& service, steady_time now) const
{
    auto const& versions = versions_of(service, now);
    if (orders_.empty() && versions.size() <= 1)
        return {};
    auto choice = coordinator_.choose(service, versions, now);
    if (choice.kind == version_choice::rule::any)
        return choice;
    choice.kind = version_choice::rule::only;
    bool const canary = choice.candidate && choice.max_endpoints > 0;
    if (!canary)
        return choice;
    auto current = versions.end();
    for (auto at = versions.begin(); at != versions.end(); ++at)
    {
        bool const usable =
            at->first != choice.version &&
            coordinator_.allowed(service, at->first, versions, now);
        if (usable && (current == versions.end() ||
                       at->second.ready > current->second.ready))
            current = at;
    }
    if (current == versions.end())
        return choice;
    version_choice other;
    other.kind = version_choice::rule::only;
    other.version = current->first;
    return other;
}

void rollout_control::choose_standby_versions(
    endpoint_requirements& work, steady_time now) const
{
    set_versions(work, standby_choice(work.service, now), now);
}

void rollout_control::bar_from_stream(
    endpoint_requirements& work, steady_time now) const
{
    work.versions = {};
    work.barred_versions.clear();
    for (auto const& [version, endpoints] : versions_of(work.service, now))
    {
        if (!coordinator_.may_continue(work.service, version))
            work.barred_versions.insert(version);
    }
}

bool rollout_control::may_resume_at(endpoint_record const& endpoint) const
{
    return coordinator_.may_continue(endpoint.service, endpoint.version);
}

void rollout_control::on_request(service_name const& service, steady_time now)
{
    auto const known = orders_.find(service);
    if (known == orders_.end() || !known->second.given)
        return;
    ++known->second.requests;
    coordinator_.on_request(service, now);
}

void rollout_control::on_attempt(
    endpoint_record const& endpoint, steady_time now)
{
    coordinator_.on_attempt(endpoint.service, endpoint.version, now);
}

void rollout_control::on_answer(
    endpoint_record const& endpoint, version_answer answer, steady_time now)
{
    answer.version = endpoint.version;
    coordinator_.on_answer(endpoint.service, answer, now);
}

// Peers ----------------------------------------------------------------------

void rollout_control::on_evidence(
    host_id const& gateway, rollout_evidence const& evidence)
{
    coordinator_.on_evidence(gateway, evidence, clock_.now());
}

// Store ----------------------------------------------------------------------

void rollout_control::poll(steady_time now)
{
    if (orders_.empty())
        return;
    if (now - updated_ >= update_interval)
    {
        updated_ = now;
        withdraw_missing(now);
        update(now);
    }
    if (coordinator_.take_urgent())
        gateway_.on_news();
    if (!calling_ && now >= next_call_)
        call_store(now);
}

void rollout_control::update(steady_time now)
{
    coordinator_.set_fleet_size(gateway_.fleet_size());
    std::map<service_name, endpoints_by_version> endpoints;
    for (auto const& [service, known] : orders_)
    {
        if (known.given)
            endpoints[service] = versions_of(service, now);
    }
    coordinator_.update(endpoints, now);
    for (auto const& evidence : coordinator_.evidence(now))
        note_phase(evidence, now);
}

void rollout_control::note_phase(
    rollout_evidence const& evidence, steady_time now)
{
    auto const& status = evidence.status;
    auto const known = orders_.find(status.service);
    if (known == orders_.end() || !known->second.given ||
        known->second.revision != status.order_revision)
        return;
    auto reached = phase::canary;
    if (status.state == rollout_state::completed)
        reached = phase::completed;
    else if (status.state == rollout_state::rolled_back)
        reached = phase::rolled_back;
    else if (standby_choice(status.service, now).candidate)
        reached = phase::shift;
    if (reached <= known->second.reached)
        return;
    known->second.reached = reached;
    auto counts = evidence.counts;
    count_slow(counts);
    auto const current = sum_of(counts.current);
    auto const candidate = sum_of(counts.candidate);
    log_.record(
        event_level::info, "rollout_phase",
        {{"service", status.service.value()},
         {"version", status.to},
         {"order", std::to_string(status.order_revision)},
         {"phase", to_string(reached)},
         {"requests", std::to_string(known->second.requests)},
         {"current", to_text(current)},
         {"candidate", to_text(candidate)}});
    if (status.state != rollout_state::running)
        ++verdicts_
            ["service=\"" + status.service.value() + "\",version=\"" +
             status.to + "\",state=\"" + to_string(reached) + '"'];
}

char const* rollout_control::to_string(phase p)
{
    switch (p)
    {
    case phase::none:
        return "none";
    case phase::canary:
        return "canary";
    case phase::shift:
        return "shift";
    case phase::completed:
        return "completed";
    case phase::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

void rollout_control::call_store(steady_time now)
{
    for (auto const& service : coordinator_.unread_status())
    {
        if (has_order(service))
        {
            read_status(service);
            return;
        }
    }
    for (auto const& [service, known] : orders_)
    {
        if (!known.given)
            continue;
        if (auto const write =
                coordinator_.due_write(service, gateway_.rank(service), now))
        {
            write_status(*write);
            return;
        }
    }
}

void rollout_control::read_status(service_name const& service)
{
    calling_ = true;
    auto const on_done = [this, service](row_writer::found_row const& found)
    {
        calling_ = false;
        if (!found.read)
        {
            on_store_failure(service, found.detail);
            return;
        }
        on_store_answer();
        on_status_found(service, found.row);
    };
    run_isolated(
        [&]
        {
            store_.find(
                codec_.status_table(), codec_.rollout_status_key(service),
                on_done);
        },
        [&](std::string const& detail)
        {
            calling_ = false;
            on_store_failure(service, detail);
        });
}

void rollout_control::write_status(
    rollout_coordinator::pending_write const& write)
{
    calling_ = true;
    auto const& service = write.status.service;
    auto const on_done = [this, status = write.status](
                             row_writer::conditional_result const& result)
    {
        calling_ = false;
        on_written(status, result);
    };
    run_isolated(
        [&]
        {
            store_.put_if(
                codec_.status_table(), codec_.rollout_status_key(service),
                codec_.rollout_status_text(write.status),
                write.expected_revision, on_done);
        },
        [&](std::string const& detail)
        {
            calling_ = false;
            on_store_failure(service, detail);
        });
}

void rollout_control::on_written(
    rollout_status const& status, row_writer::conditional_result const& result)
{
    if (result.outcome == row_writer::condition::unknown)
    {
        on_store_failure(status.service, result.detail);
        return;
    }
    on_store_answer();
    bool const met = result.outcome == row_writer::condition::met;
    log_.record(
        event_level::info,
        met ? "rollout_status_written" : "rollout_status_conflict",
        {{"service", status.service.value()},
         {"to", status.to},
         {"state", state_text(status.state)},
         {"order", std::to_string(status.order_revision)}});
    if (!met)
        on_status_found(status.service, result.row);
    else if (result.revision == 0)
        read_status(status.service);
    else
        coordinator_.on_status_row(
            status.service, status, result.revision, clock_.now());
}

void rollout_control::on_status_found(
    service_name const& service, std::optional<store_row> const& row)
{
    std::optional<rollout_status> status;
    if (row)
        run_isolated(
            [&] { status = codec_.read_rollout_status(*row); },
            [&](std::string const& detail)
            {
                log_.record(
                    event_level::warn, "rollout_status_unreadable",
                    {{"key", row->key.substr(0, max_logged_key_bytes)},
                     {"revision", std::to_string(row->revision)},
                     {"detail", detail}});
            });
    coordinator_.on_status_row(
        service, status, row ? row->revision : 0, clock_.now());
}

void rollout_control::on_store_failure(
    service_name const& service, std::string const& why)
{
    next_call_ = clock_.now() + store_retry_interval;
    if (std::exchange(store_failing_, true))
        return;
    log_.record(
        event_level::warn, "rollout_status_call_failed",
        {{"service", service.value()}, {"detail", why.empty() ? "-" : why}});
}

// Metrics --------------------------------------------------------------------

void rollout_control::publish(counter_registry& counters) const
{
    for (auto const& s : coordinator_.summaries())
    {
        auto const known = orders_.find(s.service);
        if (known == orders_.end())
            continue;
        auto const labels = "service=\"" + s.service.value() + "\",version=\"" +
                            s.version + '"';
        auto const total = known->second.requests;
        counters.counter("rollout_requests", labels).set(s.requests);
        counters.counter("rollout_service_requests", labels).set(total);
        counters.counter("rollout_share_permille", labels)
            .set(s.requests * 1000 / std::max<std::uint64_t>(total, 1));
        counters.counter("rollout_bad_answers", labels).set(s.bad_answers);
    }
    for (auto const& [labels, count] : verdicts_)
        counters.counter("rollout_verdicts_total", labels).set(count);
}

} // namespace dotterellock
