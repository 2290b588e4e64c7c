#include "shared_row_reader.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

std::string source_name(table_source const& source)
{
    return source.is_store() ? "store" : source.host.value();
}

std::string milliseconds_text(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

std::string path_text(std::vector<host_id> const& via)
{
    std::string text;
    for (auto const& host : via)
        text += (text.empty() ? "" : ",") + host.value();
    return text.empty() ? "-" : text;
}

} // namespace

shared_row_reader::shared_row_reader(
    row_reader& store, peer_table_reader& peers,
    std::chrono::milliseconds max_peer_wait, table_source_selector& selector,
    clock_source const& clock, event_log& log, counter_registry& counters)
    : store_(store), peers_(peers), max_peer_wait_(max_peer_wait),
      selector_(selector), clock_(clock), log_(log), counters_(counters)
{
}

void shared_row_reader::list(
    std::string const& table, std::string const& from, handler done)
{
    ++store_calls_;
    call_.table = table;
    call_.sent = clock_.now();
    counters_.counter("table_calls_total", "source=\"store\"").add();
    store_.list(
        table, from,
        [this, done = std::move(done)](row_read_result answer)
        {
            if (answer.status == row_read_status::ok)
            {
                last_source_ = host_id();
                note_row_sizes(answer.rows);
                note_large_answer("store", answer);
            }
            done(std::move(answer));
        });
}

void shared_row_reader::changes(
    std::string const& table, std::uint64_t after,
    std::chrono::milliseconds wait, handler done)
{
    ++call_number_;
    call_ = pending_call();
    call_.table = table;
    call_.after = after;
    call_.wait = wait;
    call_.done = std::move(done);
    call_.sources = selector_.sources(clock_.now(), large_row_.has_value());
    try_next_source();
}

void shared_row_reader::cancel()
{
    ++call_number_;
    call_.done = nullptr;
    store_.cancel();
    peers_.cancel();
}

void shared_row_reader::poll()
{
    if (!call_.done || large_row_ || receiving() < large_answer_bytes)
        return;
    large_row_.emplace(); // its key is not known yet
    auto const sources = selector_.sources(clock_.now(), true);
    auto const& current = call_.sources[call_.next - 1];
    bool const stays = current.is_store()
                           ? selector_.reads_for_region()
                           : std::any_of(
                                 sources.begin(), sources.end(),
                                 [&current](table_source const& s)
                                 { return s.host == current.host; });
    if (stays)
        return;
    log_.record(
        event_level::info, "table_answer_left",
        {{"table", call_.table},
         {"source", source_name(current)},
         {"bytes", std::to_string(receiving())},
         {"after_ms", milliseconds_text(clock_.now() - call_.sent)}});
    auto call = std::move(call_);
    cancel();
    changes(call.table, call.after, call.wait, std::move(call.done));
}

/// Remembers whether the table has a large row.
void shared_row_reader::note_row_sizes(std::vector<store_row> const& rows)
{
    for (auto const& row : rows)
    {
        // A large answer may have been one of many small rows.
        bool const unnamed = large_row_ && large_row_->empty();
        if (row.value.size() >= large_answer_bytes)
            large_row_ = row.key;
        else if (unnamed || large_row_ == row.key)
            large_row_.reset();
    }
}

void shared_row_reader::try_next_source()
{
    auto const source = call_.sources[call_.next++];
    call_.sent = clock_.now();
    auto const on_done =
        [this, source, number = call_number_](row_read_result answer)
    {
        if (number == call_number_)
            on_answer(source, std::move(answer));
    };
    // A second source must answer at once, as the first one took time, and one
    // that failed before, as it may be silent still.
    auto const wait = call_.next == 1 && !selector_.failed_last(source)
                          ? call_.wait
                          : std::chrono::milliseconds(0);
    counters_
        .counter(
            "table_calls_total",
            source.is_store() ? "source=\"store\"" : "source=\"peer\"")
        .add();
    if (source.is_store())
    {
        ++store_calls_;
        store_.changes(call_.table, call_.after, wait, on_done);
        return;
    }
    peers_.changes(
        source.address, call_.table, call_.after,
        std::min(wait, max_peer_wait_), on_done);
}

void shared_row_reader::on_answer(
    table_source const& source, row_read_result answer)
{
    // The copies of gateways that follow each other stand still.
    if (std::count(answer.via.begin(), answer.via.end(), selector_.self()) > 0)
    {
        answer.status = row_read_status::refused;
        answer.detail = "copy came from this gateway";
    }
    // A lost history is final only if the store says so.
    bool const usable =
        answer.status == row_read_status::ok ||
        (source.is_store() && answer.status == row_read_status::history_lost);
    if (usable)
    {
        if (!source.is_store())
            answer.via.insert(answer.via.begin(), source.host);
        selector_.record_success(source);
        note_source(source, answer);
        note_row_sizes(answer.rows);
        note_large_answer(source_name(source), answer);
    }
    else
    {
        selector_.record_failure(source, clock_.now());
        log_.record(
            event_level::warn, "table_source_failed",
            {{"table", call_.table},
             {"source", source_name(source)},
             {"detail", answer.detail.empty() ? "-" : answer.detail},
             {"bytes", std::to_string(answer.received_bytes)},
             {"after_ms", milliseconds_text(clock_.now() - call_.sent)}});
        call_.history_lost = call_.history_lost ||
                             answer.status == row_read_status::history_lost;
        // Only a listing of the store helps then, even if it failed before.
        if (call_.next == call_.sources.size() && call_.history_lost &&
            std::none_of(
                call_.sources.begin(), call_.sources.end(),
                [](table_source const& s) { return s.is_store(); }))
            call_.sources.emplace_back();
        if (call_.next < call_.sources.size())
        {
            try_next_source();
            return;
        }
    }
    auto const done = std::exchange(call_.done, nullptr);
    done(std::move(answer));
}

std::string shared_row_reader::last_source() const
{
    return last_source_ ? source_name({*last_source_, {}}) : "-";
}

void shared_row_reader::note_source(
    table_source const& source, row_read_result const& answer)
{
    if (source.host == last_source_)
        return;
    last_source_ = source.host;
    duration age{};
    if (answer.proven_after_sending)
        age = clock_.now() - call_.sent - *answer.proven_after_sending;
    log_.record(
        event_level::info, "table_source",
        {{"table", call_.table},
         {"source", source_name(source)},
         {"via", path_text(answer.via)},
         {"age_ms", milliseconds_text(age)}});
}

void shared_row_reader::note_large_answer(
    std::string const& source, row_read_result const& answer)
{
    if (answer.received_bytes < large_answer_bytes)
        return;
    log_.record(
        event_level::info, "table_answer",
        {{"table", call_.table},
         {"source", source},
         {"rows", std::to_string(answer.rows.size())},
         {"bytes", std::to_string(answer.received_bytes)},
         {"took_ms", milliseconds_text(clock_.now() - call_.sent)}});
}

} // namespace dotterellock
