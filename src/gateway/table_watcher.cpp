#include "table_watcher.hpp"

#include <algorithm>
#include <utility>

#include "isolated_work.hpp"

namespace dotterellock
{

namespace
{

constexpr std::size_t max_logged_key_bytes = 200;

} // namespace

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
    auto const sent = clock_.now();
    // The smallest key after the last one of the previous page.
    std::string const from =
        listed_rows_.empty() ? std::string() : listed_rows_.back().key + '\x01';
    start_call(
        [this, &from](row_reader::handler done)
        { store_.list(table_, from, std::move(done)); },
        [this, sent](row_read_result answer)
        { on_listing_page(sent, std::move(answer)); });
}

/// Makes a call. One that ends with an exception counts as failed; an answer
/// that it may still get is ignored.
template<typename Call>
void table_watcher::start_call(Call const& call, row_reader::handler done)
{
    call_pending_ = true;
    auto const number = ++call_number_;
    run_isolated(
        [&]
        {
            call(
                [this, number, done](row_read_result answer)
                {
                    if (number == call_number_ && call_pending_)
                        done(std::move(answer));
                });
        },
        [&](std::string const& detail)
        {
            if (number != call_number_ || !call_pending_)
                return; // it was answered before
            row_read_result failed;
            failed.detail = detail;
            done(std::move(failed));
        });
}

/// Passes on what was read. The table is followed further whatever comes of it.
template<typename Work>
void table_watcher::notify(std::string const& what, Work const& work)
{
    run_isolated(
        work,
        [this, &what](std::string const& detail)
        {
            log_.record(
                event_level::error, "table_change_failed",
                {{"table", table_}, {"change", what}, {"detail", detail}});
        });
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
        first_page_time_ = proof_of(sent, answer);
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
    notify(
        "listing", [&]
        { listener_.on_listing(rows, period_since_proof(first_page_time_)); });
    on_proven(first_page_time_, true, answer.via);
    poll();
}

void table_watcher::request_changes()
{
    auto const sent = clock_.now();
    // After a failure, an answer without wait proves at once that the copy is
    // current again.
    bool const at_once = interrupted_ || (answered_by_store_ &&
                                          store_clock_.needs_calibration(sent));
    auto const wait =
        at_once ? std::chrono::milliseconds(0) : settings_.poll_wait;
    start_call(
        [this, wait](row_reader::handler done)
        { store_.changes(table_, revision_, wait, std::move(done)); },
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
        store_clock_.reset(); // the store may be another one
        poll();
        return;
    }
    if (answer.status != row_read_status::ok)
    {
        on_failure(answer);
        return;
    }
    on_success();
    auto const proven = proof_of(sent, answer);
    auto const period = period_since_proof(proven);
    for (auto const& row : answer.rows)
        notify(
            "row " + row.key.substr(0, max_logged_key_bytes),
            [&] { listener_.on_change(row, period); });
    revision_ = answer.revision;
    on_proven(proven, answer.changes_skipped, answer.via);
    if (!answer.rows.empty() && answered_by_store_)
        next_call_ = clock_.now() + settings_.change_batch_delay;
    poll();
}

/// A time up to which the answer is complete.
steady_time
table_watcher::proof_of(steady_time sent, row_read_result const& answer)
{
    auto const now = clock_.now();
    answered_by_store_ = !answer.proven_after_sending;
    if (answered_by_store_)
        return store_clock_.answered_not_before(sent, now, answer.store_time);
    return std::min(sent + *answer.proven_after_sending, now);
}

change_period table_watcher::period_since_proof(steady_time proven) const
{
    return {current_as_of_.value_or(proven), interrupted_};
}

void table_watcher::on_proven(
    steady_time proven, bool changes_skipped, std::vector<host_id> const& via)
{
    if (!current_as_of_ || proven >= *current_as_of_)
    {
        current_as_of_ = proven;
        proven_via_ = via;
    }
    interrupted_ = false;
    notify(
        "revision",
        [&]
        {
            listener_.on_current(
                {*current_as_of_, revision_, changes_skipped, proven_via_});
        });
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
    interrupted_ = true;
    store_clock_.reset();
    next_call_ = clock_.now() + limit / 2 +
                 std::chrono::milliseconds(
                     random_.below(std::uint64_t(limit.count() / 2 + 1)));
}

} // namespace dotterellock
