#include "table_watcher.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

table_watcher::table_watcher(
    std::string table, table_watch_settings const& settings, row_reader& store,
    table_listener& listener, clock_source const& clock, random_source& random,
    event_log& log)
    : table_(std::move(table)), settings_(settings), store_(store),
      listener_(listener), clock_(clock), random_(random), log_(log)
{
}

void table_watcher::poll()
{
    if (call_pending_ || clock_.now() < next_call_)
        return;
    if (listed_)
        request_changes();
    else
        request_listing();
}

void table_watcher::request_listing()
{
    call_pending_ = true;
    ++call_count_;
    auto const sent = clock_.now();
    // The smallest key after the last one of the previous page.
    std::string const from =
        listed_rows_.empty() ? std::string() : listed_rows_.back().key + '\x01';
    store_.list(
        table_, from,
        [this, sent](row_read_result answer)
        { on_listing_page(sent, std::move(answer)); });
}

void table_watcher::on_listing_page(steady_time sent, row_read_result answer)
{
    call_pending_ = false;
    if (answer.status != row_read_status::ok)
    {
        listed_rows_.clear();
        on_failure(answer);
        return;
    }
    if (listed_rows_.empty())
    {
        first_page_revision_ = answer.revision;
        first_page_sent_ = sent;
    }
    std::move(
        answer.rows.begin(), answer.rows.end(),
        std::back_inserter(listed_rows_));
    if (answer.more && !answer.rows.empty())
    {
        request_listing();
        return;
    }
    // Changes made since the first page are read again.
    revision_ = first_page_revision_;
    listed_ = true;
    auto const rows = std::exchange(listed_rows_, {});
    log_.record(
        event_level::info, was_listed_ ? "table_relisted" : "table_listed",
        {{"table", table_},
         {"rows", std::to_string(rows.size())},
         {"revision", std::to_string(revision_)}});
    was_listed_ = true;
    on_success();
    listener_.on_listing(rows);
    listener_.on_current_as_of(first_page_sent_);
    poll();
}

void table_watcher::request_changes()
{
    call_pending_ = true;
    ++call_count_;
    auto const sent = clock_.now();
    store_.changes(
        table_, revision_, settings_.poll_wait,
        [this, sent](row_read_result const& answer)
        { on_changes(sent, answer); });
}

void table_watcher::on_changes(steady_time sent, row_read_result const& answer)
{
    call_pending_ = false;
    bool const revision_regressed =
        answer.status == row_read_status::ok && answer.revision < revision_;
    if (answer.status == row_read_status::history_lost || revision_regressed)
    {
        log_.record(
            event_level::warn, "table_history_lost",
            {{"table", table_},
             {"after", std::to_string(revision_)},
             {"revision", std::to_string(answer.revision)}});
        listed_ = false;
        listed_rows_.clear();
        poll();
        return;
    }
    if (answer.status != row_read_status::ok)
    {
        on_failure(answer);
        return;
    }
    on_success();
    for (auto const& row : answer.rows)
        listener_.on_change(row);
    revision_ = answer.revision;
    listener_.on_current_as_of(sent);
    if (!answer.rows.empty())
        next_call_ = clock_.now() + settings_.change_batch_delay;
    poll();
}

void table_watcher::on_success()
{
    if (consecutive_failures_ > 0)
        log_.record(
            event_level::info, "store_regained",
            {{"table", table_},
             {"failures", std::to_string(consecutive_failures_)}});
    consecutive_failures_ = 0;
    next_call_ = clock_.now();
}

void table_watcher::on_failure(row_read_result const& answer)
{
    if (consecutive_failures_ == 0)
        log_.record(
            event_level::warn, "store_lost",
            {{"table", table_}, {"detail", answer.detail}});
    auto const doubled =
        settings_.min_retry_delay *
        (1 << std::min<std::uint32_t>(consecutive_failures_, 8));
    auto const limit = std::min(doubled, settings_.max_retry_delay);
    ++consecutive_failures_;
    next_call_ = clock_.now() + limit / 2 +
                 std::chrono::milliseconds(
                     random_.below(std::uint64_t(limit.count() / 2 + 1)));
}

} // namespace dotterellock
