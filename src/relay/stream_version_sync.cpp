#include "stream_version_sync.hpp"

#include <algorithm>
#include <utility>

#include "gateway/isolated_work.hpp"
#include "gateway/store_revision.hpp"
#include "stream_table_codec.hpp"

namespace dotterellock
{

char const* to_string(version_source source)
{
    switch (source)
    {
    case version_source::recorded:
        return "recorded";
    case version_source::base:
        return "base";
    case version_source::unanimous:
        return "unanimous";
    case version_source::unknown:
        return "unknown";
    }
    return "unknown";
}

stream_version_sync::stream_version_sync(
    stream_versions& versions, host_id self, row_reader& reader,
    row_writer& writer, clock_source const& clock, event_log& log,
    counter_registry& counters, surroundings gateway)
    : versions_(versions), self_(std::move(self)), reader_(reader),
      writer_(writer), clock_(clock), log_(log), counters_(counters),
      gateway_(std::move(gateway))
{
}

void stream_version_sync::poll()
{
    auto const now = clock_.now();
    bool const observed = now - last_observed_ >= observation_interval;
    if (observed)
        observe(now);
    if (!writing_ && now >= next_write_ && !write_records(now) && observed &&
        !write_base(now))
        remove_abandoned(now);
    if (!reading_ && now >= next_read_ && reading_due(now))
        read({});
}

void stream_version_sync::observe(steady_time now)
{
    last_observed_ = now;
    for (auto const& [service, listed] : gateway_.services())
        versions_.observe(service, listed, now);
}

// Writing --------------------------------------------------------------------

bool stream_version_sync::write_records(steady_time now)
{
    auto const services = versions_.unwritten();
    if (services.empty())
        return false;
    writing_ = true;
    next_write_ = now + write_interval;
    auto const& service = services.front();
    counters_.counter("stream_record_writes_total").add();
    auto const on_done = [this, service](bool done)
    {
        writing_ = false;
        if (!done)
        {
            next_write_ = clock_.now() + retry_interval;
            log_.record(
                event_level::warn, "stream_records_not_written",
                {{"service", service.value()}});
            return;
        }
        versions_.on_written(service);
        gateway_.on_written();
    };
    run_isolated(
        [&]
        {
            writer_.put(
                stream_table_name, stream_records_key(service, self_),
                encode_stream_records(versions_.to_write(service, now)),
                on_done);
        },
        [&](std::string const&) { on_done(false); });
    return true;
}

/// The first gateway in the order for a service moves its base version. That of
/// a new service is written by whoever comes first.
bool stream_version_sync::write_base(steady_time now)
{
    for (auto const& [service, listed] : gateway_.services())
    {
        auto const base = versions_.base_to_write(service, now);
        bool const fresh = base && base->revision == 0;
        if (!base || (!fresh && gateway_.rank(service) > 0))
            continue;
        writing_ = true;
        next_write_ = now + retry_interval;
        run_isolated(
            [&, &service = service]
            {
                writer_.put_if(
                    stream_table_name, base_version_key(service),
                    encode_base_version(*base), base->revision,
                    [this,
                     base = *base](row_writer::conditional_result const& result)
                    { on_base_written(base, result); });
            },
            [&](std::string const& detail)
            {
                row_writer::conditional_result failed;
                failed.detail = detail;
                on_base_written(*base, failed);
            });
        return true;
    }
    return false;
}

void stream_version_sync::on_base_written(
    base_version base, row_writer::conditional_result const& result)
{
    writing_ = false;
    auto const now = clock_.now();
    log_.record(
        result.outcome == row_writer::condition::unknown ? event_level::warn
                                                         : event_level::info,
        "base_version",
        {{"service", base.service.value()},
         {"version", base.version.empty() ? "-" : base.version},
         {"written", result.outcome == row_writer::condition::met ? "1" : "0"},
         {"detail", result.detail.empty() ? "-" : result.detail}});
    if (result.outcome == row_writer::condition::met && result.revision > 0)
    {
        base.revision = result.revision;
        versions_.on_base(base, now);
        return;
    }
    // What the store holds is read, at once if the row was there before.
    next_read_ = now;
    last_read_ = {};
    if (result.outcome == row_writer::condition::unknown)
        next_write_ = next_read_ = now + retry_interval;
}

bool stream_version_sync::remove_abandoned(steady_time now)
{
    if (abandoned_.empty())
        return false;
    auto const key = abandoned_.back();
    abandoned_.pop_back();
    seen_.erase(key);
    writing_ = true;
    next_write_ = now + retry_interval;
    auto const on_done = [this](bool) { writing_ = false; };
    run_isolated(
        [&] { writer_.remove(stream_table_name, key, on_done); },
        [&](std::string const&) { on_done(false); });
    return true;
}

// Reading --------------------------------------------------------------------

bool stream_version_sync::reading_due(steady_time now) const
{
    auto const since = now - last_read_;
    return !versions_.read() || !waiting_.empty() ||
           since >= stream_versions::reading_interval ||
           (!second_reading_done_ && since >= second_reading);
}

void stream_version_sync::read(std::string const& from)
{
    if (from.empty())
    {
        rows_.clear();
        served_ = std::exchange(waiting_, {});
        counters_.counter("stream_table_reads_total").add();
    }
    reading_ = true;
    run_isolated(
        [&]
        {
            reader_.list(
                stream_table_name, from,
                [this](row_read_result answer) { on_page(std::move(answer)); });
        },
        [&](std::string const& detail) { on_read_failed(detail); });
}

void stream_version_sync::on_page(row_read_result answer)
{
    if (answer.status != row_read_status::ok)
    {
        on_read_failed(answer.detail);
        return;
    }
    std::move(
        answer.rows.begin(), answer.rows.end(), std::back_inserter(rows_));
    if (answer.more && !answer.rows.empty())
    {
        read(rows_.back().key + '\x01');
        return;
    }
    auto const era = store_era_of(answer.revision);
    if (versions_.read() && era != era_)
        versions_.on_store_restored();
    era_ = era;
    on_whole_table(clock_.now());
}

void stream_version_sync::on_whole_table(steady_time now)
{
    reading_ = false;
    last_failed_.reset();
    second_reading_done_ = versions_.read();
    last_read_ = now;
    stream_table table;
    std::map<std::string, seen_row> seen;
    abandoned_.clear();
    for (auto const& row : std::exchange(rows_, {}))
        run_isolated(
            [&]
            {
                auto const records = table.records.size();
                decode_stream_row(row, table);
                if (table.records.size() == records)
                    return;
                auto const before = seen_.find(row.key);
                auto& entry = seen[row.key];
                entry = before != seen_.end() &&
                                before->second.revision == row.revision
                            ? before->second
                            : seen_row{row.revision, now};
                auto const& gateway = table.records.back().gateway;
                bool const abandoned = now - entry.since >= abandoned_row_age &&
                                       gateway != self_ &&
                                       !gateway_.is_gateway(gateway);
                if (abandoned &&
                    gateway_.rank(table.records.back().service) == 0)
                    abandoned_.push_back(row.key);
            },
            [&](std::string const& detail)
            {
                log_.record(
                    event_level::warn, "stream_row_unreadable",
                    {{"key", row.key.substr(0, 200)}, {"detail", detail}});
            });
    seen_ = std::move(seen);
    versions_.on_read(table, now);
    answer_callers(true);
}

void stream_version_sync::on_read_failed(std::string const& detail)
{
    reading_ = false;
    rows_.clear();
    last_failed_ = clock_.now();
    next_read_ = *last_failed_ + retry_interval;
    log_.record(
        event_level::warn, "stream_table_unread",
        {{"detail", detail.empty() ? "-" : detail},
         {"callers", std::to_string(served_.size())}});
    answer_callers(false);
}

// Callers --------------------------------------------------------------------

void stream_version_sync::find_origin(
    service_name const& service, request_id const& first, origin_handler done)
{
    waiting_caller caller{service, first, std::move(done)};
    if (auto const origin = known_origin(caller))
    {
        caller.done(*origin);
        return;
    }
    if (last_failed_ && clock_.now() - *last_failed_ < failure_memory)
    {
        caller.done(origin_after_reading(caller, false));
        return;
    }
    waiting_.push_back(std::move(caller));
    poll();
}

std::optional<stream_origin>
stream_version_sync::known_origin(waiting_caller const& caller) const
{
    auto const version = versions_.recorded(caller.service, caller.first);
    if (!version)
        return std::nullopt;
    return stream_origin{version_source::recorded, *version};
}

stream_origin stream_version_sync::origin_after_reading(
    waiting_caller const& caller, bool table_read) const
{
    if (auto const origin = known_origin(caller))
        return *origin;
    // Without the first request's id there is no telling whether it is
    // recorded.
    bool const named = !caller.first.empty();
    if (table_read && named)
    {
        if (auto const base = versions_.base(caller.service))
            return {version_source::base, *base};
        return {};
    }
    if (auto const base = versions_.base_without_reading(caller.service))
        return {version_source::unanimous, *base};
    return {};
}

void stream_version_sync::answer_callers(bool table_read)
{
    for (auto& caller : std::exchange(served_, {}))
        caller.done(origin_after_reading(caller, table_read));
}

} // namespace dotterellock
