#include "configuration/configuration_operator.hpp"

#include <algorithm>

#include "configuration/line_diff.hpp"
#include "configuration/random_id.hpp"
#include "configuration/wall_time_text.hpp"
#include "membership/registration_record.hpp"

// Index
//   apply, recording : read base, compare, history entry, commit, read back
//   apply, waiting   : polls until every live process has the version
//   rollout status   : live processes and their versions
//   reading          : status, history, helpers

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds store_timeout{3};
constexpr milliseconds retry_interval{500};
constexpr milliseconds rollout_poll_interval{500};
// Collectors rewrite their row every 10 s even without a change.
constexpr seconds report_timeout{25};

} // namespace

char const* to_string(apply_outcome outcome)
{
    switch (outcome)
    {
    case apply_outcome::accepted:
        return "accepted";
    case apply_outcome::recorded:
        return "recorded";
    case apply_outcome::not_accepted:
        return "not_accepted";
    case apply_outcome::superseded:
        return "superseded";
    case apply_outcome::conflict:
        return "conflict";
    case apply_outcome::unavailable:
        return "unavailable";
    case apply_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

configuration_operator::configuration_operator(
    clock_source& clock, timer_service& timers, random_source& random,
    table_service& store, object_store& objects,
    dotterellock::fleet_view& fleet, configuration_parser const& parser)
    : clock_(clock), timers_(timers), random_(random), store_(store),
      objects_(objects), fleet_(fleet), parser_(parser)
{
}

configuration_operator::~configuration_operator()
{
    timers_.cancel(timer_);
}

// ---- apply, recording -----------------------------------------------------

void configuration_operator::apply(
    apply_request request, std::function<void(rollout_status const&)> progress,
    std::function<void(apply_result)> done)
{
    parser_.effective(request.document, {}, clock_.wall_now());
    request_ = std::move(request);
    progress_ = std::move(progress);
    done_ = std::move(done);
    result_ = apply_result();
    deadline_ = clock_.now() + request_.time_limit;
    own_record_ = version_record();
    own_record_.attempt = random_id(random_);
    own_record_.author = request_.author;
    own_record_.recorded_at = format_wall_time(clock_.wall_now());
    commit_in_doubt_ = false;
    observed_rows_.clear();
    read_base();
}

bool configuration_operator::deadline_passed() const
{
    return clock_.now() >= deadline_;
}

void configuration_operator::retry_later(void (configuration_operator::*step)())
{
    if (deadline_passed())
    {
        finish(
            commit_in_doubt_ ? apply_outcome::unknown
                             : apply_outcome::unavailable,
            commit_in_doubt_
                ? "no answer from the store; attempt " + own_record_.attempt +
                      " may still be recorded, see history"
                : "no answer from the store");
        return;
    }
    timer_ =
        timers_.schedule(retry_interval, [this, step] { (this->*step)(); });
}

void configuration_operator::read_base()
{
    read_row(
        current_configuration_key,
        [this](std::optional<row> const& current)
        {
            if (current)
                on_base(*current);
            else
                retry_later(&configuration_operator::read_base);
        });
}

void configuration_operator::on_base(row const& current)
{
    auto const record = decode_version_record(current.value);
    if (!record && current.version != 0)
    {
        finish(apply_outcome::unavailable, "config/current is damaged");
        return;
    }
    base_record_ = record.value_or(version_record());
    base_row_version_ = current.version;
    base_document_.clear();
    if (base_record_.version == 0)
        compare_base();
    else
        read_base_document();
}

void configuration_operator::read_base_document()
{
    read_row(
        document_key(base_record_.version),
        [this](std::optional<row> const& found)
        {
            // Absent: the version was replaced since; read the current one
            // again.
            if (!found || found->version == 0)
            {
                retry_later(&configuration_operator::read_base);
                return;
            }
            base_document_ = found->value;
            compare_base();
        });
}

void configuration_operator::compare_base()
{
    bool const recorded_before =
        base_record_.version != 0 && request_.document == base_document_;
    if (recorded_before)
    {
        own_record_ = base_record_;
        on_recorded();
        return;
    }
    if (request_.base.value_or(0) != base_record_.version)
    {
        result_.version = base_record_.version;
        result_.diff = line_diff(base_document_, request_.document);
        finish(
            apply_outcome::conflict,
            "version " + std::to_string(base_record_.version) + " of " +
                base_record_.author + " is current");
        return;
    }
    own_record_.version = base_record_.version + 1;
    own_record_.object = history_key(own_record_.version, own_record_.attempt);
    put_history();
}

void configuration_operator::put_history()
{
    auto const on_put = [this](object_result const& result)
    {
        if (result.status == store_status::ok)
            commit();
        else
            retry_later(&configuration_operator::put_history);
    };
    history_entry const entry{
        own_record_, base_record_.object, request_.document};
    objects_.put(
        own_record_.object, encode(entry), store_timeout, guard_.wrap(on_put));
}

void configuration_operator::commit()
{
    std::vector<row_write> writes{
        {current_configuration_key, encode(own_record_), base_row_version_},
        {document_key(own_record_.version), request_.document, std::nullopt}};
    // The document before the base is no longer requested. The base document
    // stays for pollers that have just read its version.
    if (base_record_.version > 1)
        writes.push_back(
            {document_key(base_record_.version - 1), std::nullopt,
             std::nullopt});
    auto const on_answer = [this](commit_result const& result)
    { on_commit(result); };
    store_.commit(std::move(writes), store_timeout, guard_.wrap(on_answer));
}

void configuration_operator::on_commit(commit_result const& result)
{
    switch (result.status)
    {
    case store_status::ok:
        on_recorded();
        break;
    case store_status::unavailable:
        retry_later(&configuration_operator::commit);
        break;
    case store_status::unknown:
        commit_in_doubt_ = true;
        read_back();
        break;
    case store_status::conflict:
        read_back();
        break;
    }
}

void configuration_operator::read_back()
{
    read_row(
        current_configuration_key,
        [this](std::optional<row> const& current)
        {
            if (current)
                on_read_back(*current);
            else
                retry_later(&configuration_operator::read_back);
        });
}

void configuration_operator::on_read_back(row const& current)
{
    auto const record = decode_version_record(current.value);
    if (record && record->attempt == own_record_.attempt)
        on_recorded();
    else if (current.version == base_row_version_)
        // The write has had no effect so far. Repeating it is safe: the
        // condition lets only one of the two succeed.
        retry_later(&configuration_operator::commit);
    else if (record && commit_in_doubt_)
        find_attempt_in_history(record->object, *record);
    else
        read_base(); // detects the other version and returns the diff
}

/// Another version is current. It either replaced the base, or it is based on
/// the version that this attempt recorded.
void configuration_operator::find_attempt_in_history(
    std::string const& key, version_record const& latest)
{
    auto const on_entry = [this, latest](object_result const& result)
    {
        auto const entry = decode_history_entry(result.body);
        if (result.status != store_status::ok || !entry)
        {
            retry_later(&configuration_operator::read_back);
            return;
        }
        if (entry->record.version > own_record_.version)
        {
            find_attempt_in_history(entry->previous, latest);
            return;
        }
        if (entry->record.attempt == own_record_.attempt)
        {
            result_.version = own_record_.version;
            finish(
                apply_outcome::superseded,
                "version " + std::to_string(latest.version) + " of " +
                    latest.author + " followed");
            return;
        }
        commit_in_doubt_ = false; // version recorded by another attempt
        read_base();
    };
    objects_.fetch(key, store_timeout, guard_.wrap(on_entry));
}

// ---- apply, waiting -------------------------------------------------------

void configuration_operator::on_recorded()
{
    result_.version = own_record_.version;
    commit_in_doubt_ = false;
    if (!request_.wait)
    {
        finish(apply_outcome::recorded, "");
        return;
    }
    poll_rollout();
}

void configuration_operator::poll_rollout()
{
    read_rollout_status(
        own_record_.version, [this](bool complete, rollout_status const& status)
        { on_rollout_status(complete, status); });
}

void configuration_operator::on_rollout_status(
    bool complete, rollout_status const& status)
{
    if (complete)
    {
        result_.fleet = status;
        if (progress_)
            progress_(status);
        if (status.accepted())
        {
            finish(apply_outcome::accepted, "");
            return;
        }
    }
    else
        observed_rows_.clear(); // rows could not be renewed during the outage
    if (deadline_passed())
    {
        finish(
            apply_outcome::not_accepted,
            complete ? "not in force everywhere" : "no answer from the store");
        return;
    }
    timer_ =
        timers_.schedule(rollout_poll_interval, [this] { poll_rollout(); });
}

void configuration_operator::finish(apply_outcome outcome, std::string detail)
{
    result_.outcome = outcome;
    result_.detail = std::move(detail);
    auto const done = std::move(done_);
    done(result_);
}

// ---- rollout status -------------------------------------------------------

void configuration_operator::read_rollout_status(
    configuration_version version,
    std::function<void(bool, rollout_status)> done)
{
    auto const snapshot = std::make_shared<fleet_snapshot>();
    snapshot->version = version;
    snapshot->done = std::move(done);
    auto const on_reports = [this, snapshot]
    {
        snapshot->done(true, evaluate_rollout(*snapshot));
        remove_stale_reports(snapshot->reports);
    };
    auto const on_nodes = [this, snapshot, on_reports] {
        scan_into(
            snapshot, in_force_prefix, &fleet_snapshot::reports, on_reports);
    };
    auto const on_endpoints = [this, snapshot, on_nodes]
    { scan_into(snapshot, node_prefix, &fleet_snapshot::nodes, on_nodes); };
    auto const on_hosts =
        [this, snapshot, on_endpoints](fleet_result const& result)
    {
        if (result.status == store_status::ok)
        {
            snapshot->hosts.emplace();
            for (auto const& entry : result.hosts)
                snapshot->hosts->insert(entry.host);
        }
        scan_into(
            snapshot, endpoint_prefix, &fleet_snapshot::endpoints,
            on_endpoints);
    };
    fleet_.hosts(store_timeout, guard_.wrap(on_hosts));
}

void configuration_operator::scan_into(
    std::shared_ptr<fleet_snapshot> const& snapshot, std::string const& prefix,
    rows fleet_snapshot::*target, std::function<void()> const& next)
{
    auto const on_answer = [snapshot, target, next](read_result const& result)
    {
        if (result.status != store_status::ok)
        {
            snapshot->done(false, {});
            return;
        }
        (*snapshot).*target = result.rows;
        next();
    };
    store_.scan(prefix, store_timeout, guard_.wrap(on_answer));
}

bool configuration_operator::unchanged_for(row const& r, duration span)
{
    row_observation& seen = observed_rows_[r.key];
    if (seen.version != r.version)
        seen = {r.version, clock_.now()};
    return clock_.now() - seen.since >= span;
}

bool configuration_operator::is_dead(
    row const& r, host_id const& host, fleet_snapshot const& snapshot)
{
    bool const silent = unchanged_for(r, registration_timeout);
    return silent && snapshot.hosts && snapshot.hosts->count(host) == 0;
}

/// Versions by process. Adds the processes in reports of current collectors to
/// `live`.
std::map<peer_id, configuration_version>
configuration_operator::reported_versions(
    fleet_snapshot const& snapshot, std::set<peer_id>& live)
{
    std::map<peer_id, configuration_version> in_force;
    for (auto const& r : snapshot.reports)
    {
        auto const report = decode_in_force_report(r.value);
        if (!report)
            continue;
        bool const fresh = !unchanged_for(r, report_timeout);
        for (auto const& [peer, held] : report->nodes)
        {
            auto& highest = in_force[peer];
            highest = std::max(highest, held);
            if (fresh)
                live.insert(peer);
        }
    }
    return in_force;
}

rollout_status
configuration_operator::evaluate_rollout(fleet_snapshot const& snapshot)
{
    std::set<peer_id> live;
    auto const in_force = reported_versions(snapshot, live);
    for (auto const* group : {&snapshot.endpoints, &snapshot.nodes})
    {
        for (auto const& r : *group)
        {
            auto const record = decode_registration_record(r.value);
            if (record && !record->left &&
                !is_dead(r, record->info.host, snapshot))
                live.insert(record->info.agent);
        }
    }
    rollout_status status;
    status.live = live.size();
    for (auto const& peer : live)
    {
        auto const found = in_force.find(peer);
        configuration_version const held =
            found == in_force.end() ? 0 : found->second;
        if (held >= snapshot.version)
            ++status.in_force;
        else
            status.missing.push_back({peer, held});
    }
    return status;
}

/// Removes the reports of collectors that no longer run; they list processes
/// that may have left long ago.
void configuration_operator::remove_stale_reports(rows const& reports)
{
    for (auto const& r : reports)
    {
        if (!unchanged_for(r, report_timeout))
            continue;
        store_.commit(
            {{r.key, std::nullopt, r.version}}, store_timeout,
            [](commit_result const&) {});
    }
}

// ---- reading --------------------------------------------------------------

void configuration_operator::status(
    std::function<void(configuration_status)> const& done)
{
    auto const result = std::make_shared<configuration_status>();
    auto const on_rollout_status =
        [result, done](bool complete, rollout_status const& status)
    {
        if (!complete)
            result->problem = "no answer from the store";
        result->fleet = status;
        done(*result);
    };
    auto const on_document =
        [this, result, done, on_rollout_status](std::optional<row> const& found)
    {
        if (!found)
        {
            result->problem = "no answer from the store";
            done(*result);
            return;
        }
        result->document = found->value;
        read_rollout_status(result->record->version, on_rollout_status);
    };
    read_row(
        current_configuration_key,
        [this, result, done, on_document,
         on_rollout_status](std::optional<row> const& current)
        {
            if (current)
                result->record = decode_version_record(current->value);
            bool const damaged =
                current && current->version != 0 && !result->record;
            if (!current || damaged)
            {
                result->problem = damaged ? "config/current is damaged"
                                          : "no answer from the store";
                done(*result);
                return;
            }
            if (result->record)
                read_row(document_key(result->record->version), on_document);
            else
                read_rollout_status(0, on_rollout_status);
        });
}

void configuration_operator::history(
    std::size_t limit, std::function<void(history_result)> const& done)
{
    auto const result = std::make_shared<history_result>();
    read_row(
        current_configuration_key,
        [this, limit, result, done](std::optional<row> const& current)
        {
            if (!current)
            {
                result->problem = "no answer from the store";
                done(*result);
                return;
            }
            auto const record = decode_version_record(current->value);
            read_history_from(
                record ? record->object : "", limit, result, done);
        });
}

void configuration_operator::read_history_from(
    std::string const& key, std::size_t limit,
    std::shared_ptr<history_result> const& result,
    std::function<void(history_result)> const& done)
{
    if (key.empty() || limit == 0)
    {
        done(*result);
        return;
    }
    auto const on_entry =
        [this, key, limit, result, done](object_result const& answer)
    {
        auto const entry = decode_history_entry(answer.body);
        if (answer.status != store_status::ok || !entry)
        {
            result->problem = answer.status == store_status::ok
                                  ? key + " is missing or damaged"
                                  : "no answer from the object store";
            done(*result);
            return;
        }
        result->entries.push_back(*entry);
        read_history_from(entry->previous, limit - 1, result, done);
    };
    objects_.fetch(key, store_timeout, guard_.wrap(on_entry));
}

void configuration_operator::read_row(
    std::string const& key, std::function<void(std::optional<row>)> const& done)
{
    auto const on_answer = [done](read_result const& result)
    {
        bool const answered =
            result.status == store_status::ok && result.rows.size() == 1;
        done(answered ? std::optional<row>(result.rows.front()) : std::nullopt);
    };
    store_.read({key}, store_timeout, guard_.wrap(on_answer));
}

} // namespace dotterellock
