#include "configuration/configuration_operator.hpp"

#include <algorithm>

#include "configuration/document_difference.hpp"
#include "configuration/random_name.hpp"
#include "configuration/wall_time_text.hpp"
#include "membership/registration_record.hpp"

// Index
//   apply, recording : read base, compare, history entry, commit, read back
//   apply, waiting   : looks until every live process has the version
//   standing         : who is live and who has it
//   reading          : status, history, helpers

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds store_timeout{3};
constexpr milliseconds retry_interval{500};
constexpr milliseconds look_interval{500};
// A collector rewrites its row every 10 s even when nothing changes.
constexpr seconds report_limit{25};

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
    apply_request request, std::function<void(fleet_standing const&)> progress,
    std::function<void(apply_result)> done)
{
    parser_.effective(request.document, {}, clock_.wall_now());
    request_ = std::move(request);
    progress_ = std::move(progress);
    done_ = std::move(done);
    result_ = apply_result();
    deadline_ = clock_.now() + request_.time_limit;
    own_ = version_record();
    own_.attempt = random_name(random_);
    own_.author = request_.author;
    own_.recorded_at = format_wall_time(clock_.wall_now());
    in_doubt_ = false;
    seen_.clear();
    read_base();
}

bool configuration_operator::out_of_time() const
{
    return clock_.now() >= deadline_;
}

void configuration_operator::retry(void (configuration_operator::*step)())
{
    if (out_of_time())
    {
        finish(
            in_doubt_ ? apply_outcome::unknown : apply_outcome::unavailable,
            in_doubt_ ? "no answer from the store; attempt " + own_.attempt +
                            " may still be recorded, see history"
                      : "no answer from the store");
        return;
    }
    timer_ =
        timers_.schedule(retry_interval, [this, step] { (this->*step)(); });
}

void configuration_operator::read_base()
{
    read_one(
        current_configuration_key,
        [this](std::optional<row> const& current)
        {
            if (current)
                on_base(*current);
            else
                retry(&configuration_operator::read_base);
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
    base_ = record.value_or(version_record());
    base_row_ = current.version;
    base_document_.clear();
    if (base_.version == 0)
        compare_base();
    else
        read_base_document();
}

void configuration_operator::read_base_document()
{
    read_one(
        document_key(base_.version),
        [this](std::optional<row> const& found)
        {
            // Absent: replaced since; the current version is read again.
            if (!found || found->version == 0)
            {
                retry(&configuration_operator::read_base);
                return;
            }
            base_document_ = found->value;
            compare_base();
        });
}

void configuration_operator::compare_base()
{
    bool const recorded_before =
        base_.version != 0 && request_.document == base_document_;
    if (recorded_before)
    {
        own_ = base_;
        recorded();
        return;
    }
    if (request_.base.value_or(0) != base_.version)
    {
        result_.version = base_.version;
        result_.difference =
            document_difference(base_document_, request_.document);
        finish(
            apply_outcome::conflict, "version " +
                                         std::to_string(base_.version) +
                                         " of " + base_.author + " is current");
        return;
    }
    own_.version = base_.version + 1;
    own_.object = history_key(own_.version, own_.attempt);
    put_history();
}

void configuration_operator::put_history()
{
    auto const on_put = [this](object_result const& result)
    {
        if (result.status == store_status::ok)
            commit();
        else
            retry(&configuration_operator::put_history);
    };
    history_entry const entry{own_, base_.object, request_.document};
    objects_.put(
        own_.object, encode(entry), store_timeout, guard_.wrap(on_put));
}

void configuration_operator::commit()
{
    std::vector<row_write> writes{
        {current_configuration_key, encode(own_), base_row_},
        {document_key(own_.version), request_.document, std::nullopt}};
    // The document before the base is no longer asked for; the base's own
    // stays for pollers that have just read its version.
    if (base_.version > 1)
        writes.push_back(
            {document_key(base_.version - 1), std::nullopt, std::nullopt});
    auto const on_answer = [this](commit_result const& result)
    { on_commit(result); };
    store_.commit(std::move(writes), store_timeout, guard_.wrap(on_answer));
}

void configuration_operator::on_commit(commit_result const& result)
{
    switch (result.status)
    {
    case store_status::ok:
        recorded();
        break;
    case store_status::unavailable:
        retry(&configuration_operator::commit);
        break;
    case store_status::unknown:
        in_doubt_ = true;
        read_back();
        break;
    case store_status::conflict:
        read_back();
        break;
    }
}

void configuration_operator::read_back()
{
    read_one(
        current_configuration_key,
        [this](std::optional<row> const& current)
        {
            if (current)
                on_read_back(*current);
            else
                retry(&configuration_operator::read_back);
        });
}

void configuration_operator::on_read_back(row const& current)
{
    auto const record = decode_version_record(current.value);
    if (record && record->attempt == own_.attempt)
        recorded();
    else if (current.version == base_row_)
        // No effect so far. The same write again is safe: its condition lets
        // only one of the two take effect.
        retry(&configuration_operator::commit);
    else if (record && in_doubt_)
        search_history(record->object, *record);
    else
        read_base(); // finds the other version and shows the difference
}

/// Another version is current. It either replaced the base, or it was built
/// on the version that this attempt recorded.
void configuration_operator::search_history(
    std::string const& key, version_record const& latest)
{
    auto const on_entry = [this, latest](object_result const& result)
    {
        auto const entry = decode_history_entry(result.body);
        if (result.status != store_status::ok || !entry)
        {
            retry(&configuration_operator::read_back);
            return;
        }
        if (entry->record.version > own_.version)
        {
            search_history(entry->previous, latest);
            return;
        }
        if (entry->record.attempt == own_.attempt)
        {
            result_.version = own_.version;
            finish(
                apply_outcome::superseded,
                "version " + std::to_string(latest.version) + " of " +
                    latest.author + " followed");
            return;
        }
        in_doubt_ = false; // another attempt has this number
        read_base();
    };
    objects_.fetch(key, store_timeout, guard_.wrap(on_entry));
}

// ---- apply, waiting -------------------------------------------------------

void configuration_operator::recorded()
{
    result_.version = own_.version;
    in_doubt_ = false;
    if (!request_.wait)
    {
        finish(apply_outcome::recorded, "");
        return;
    }
    wait_step();
}

void configuration_operator::wait_step()
{
    look(
        own_.version, [this](bool complete, fleet_standing const& standing)
        { on_standing(complete, standing); });
}

void configuration_operator::on_standing(
    bool complete, fleet_standing const& standing)
{
    if (complete)
    {
        result_.fleet = standing;
        if (progress_)
            progress_(standing);
        if (standing.accepted())
        {
            finish(apply_outcome::accepted, "");
            return;
        }
    }
    else
        seen_.clear(); // nobody could refresh a row
    if (out_of_time())
    {
        finish(
            apply_outcome::not_accepted,
            complete ? "not in force everywhere" : "no answer from the store");
        return;
    }
    timer_ = timers_.schedule(look_interval, [this] { wait_step(); });
}

void configuration_operator::finish(apply_outcome outcome, std::string detail)
{
    result_.outcome = outcome;
    result_.detail = std::move(detail);
    auto const done = std::move(done_);
    done(result_);
}

// ---- standing -------------------------------------------------------------

void configuration_operator::look(
    configuration_version version,
    std::function<void(bool, fleet_standing)> done)
{
    auto const p = std::make_shared<picture>();
    p->version = version;
    p->done = std::move(done);
    auto const on_reports = [this, p]
    {
        p->done(true, evaluate(*p));
        remove_stale_reports(p->reports);
    };
    auto const on_nodes = [this, p, on_reports]
    { look_at_rows(p, in_force_prefix, &picture::reports, on_reports); };
    auto const on_endpoints = [this, p, on_nodes]
    { look_at_rows(p, node_prefix, &picture::nodes, on_nodes); };
    auto const on_hosts = [this, p, on_endpoints](fleet_result const& result)
    {
        if (result.status == store_status::ok)
        {
            p->hosts.emplace();
            for (auto const& entry : result.hosts)
                p->hosts->insert(entry.host);
        }
        look_at_rows(p, endpoint_prefix, &picture::endpoints, on_endpoints);
    };
    fleet_.hosts(store_timeout, guard_.wrap(on_hosts));
}

void configuration_operator::look_at_rows(
    std::shared_ptr<picture> const& p, std::string const& prefix,
    rows picture::*target, std::function<void()> const& next)
{
    auto const on_answer = [p, target, next](read_result const& result)
    {
        if (result.status != store_status::ok)
        {
            p->done(false, {});
            return;
        }
        (*p).*target = result.rows;
        next();
    };
    store_.scan(prefix, store_timeout, guard_.wrap(on_answer));
}

bool configuration_operator::unchanged_for(row const& r, duration span)
{
    seen_row& seen = seen_[r.key];
    if (seen.version != r.version)
        seen = {r.version, clock_.now()};
    return clock_.now() - seen.since >= span;
}

bool configuration_operator::dead(
    row const& r, host_id const& host, picture const& p)
{
    bool const silent = unchanged_for(r, live_limit);
    return silent && p.hosts && p.hosts->count(host) == 0;
}

/// Versions by process; adds to `live` who is heard by a present collector.
std::map<peer_id, configuration_version>
configuration_operator::reported(picture const& p, std::set<peer_id>& live)
{
    std::map<peer_id, configuration_version> in_force;
    for (auto const& r : p.reports)
    {
        auto const report = decode_in_force_report(r.value);
        if (!report)
            continue;
        bool const fresh = !unchanged_for(r, report_limit);
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

fleet_standing configuration_operator::evaluate(picture const& p)
{
    std::set<peer_id> live;
    auto const in_force = reported(p, live);
    for (auto const* group : {&p.endpoints, &p.nodes})
    {
        for (auto const& r : *group)
        {
            auto const record = decode_registration_record(r.value);
            if (record && !record->left && !dead(r, record->info.host, p))
                live.insert(record->info.agent);
        }
    }
    fleet_standing standing;
    standing.live = live.size();
    for (auto const& peer : live)
    {
        auto const found = in_force.find(peer);
        configuration_version const held =
            found == in_force.end() ? 0 : found->second;
        if (held >= p.version)
            ++standing.in_force;
        else
            standing.missing.push_back({peer, held});
    }
    return standing;
}

/// Reports of collectors that are gone would count processes that left long
/// ago.
void configuration_operator::remove_stale_reports(rows const& reports)
{
    for (auto const& r : reports)
    {
        if (!unchanged_for(r, report_limit))
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
    auto const on_standing =
        [result, done](bool complete, fleet_standing const& standing)
    {
        if (!complete)
            result->problem = "no answer from the store";
        result->fleet = standing;
        done(*result);
    };
    auto const on_document =
        [this, result, done, on_standing](std::optional<row> const& found)
    {
        if (!found)
        {
            result->problem = "no answer from the store";
            done(*result);
            return;
        }
        result->document = found->value;
        look(result->record->version, on_standing);
    };
    read_one(
        current_configuration_key,
        [this, result, done, on_document,
         on_standing](std::optional<row> const& current)
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
                read_one(document_key(result->record->version), on_document);
            else
                look(0, on_standing);
        });
}

void configuration_operator::history(
    std::size_t limit, std::function<void(history_result)> const& done)
{
    auto const result = std::make_shared<history_result>();
    read_one(
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
            walk(record ? record->object : "", limit, result, done);
        });
}

void configuration_operator::walk(
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
        walk(entry->previous, limit - 1, result, done);
    };
    objects_.fetch(key, store_timeout, guard_.wrap(on_entry));
}

void configuration_operator::read_one(
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
