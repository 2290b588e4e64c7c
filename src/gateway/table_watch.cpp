#include "table_watch.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

table_watch::table_watch(
    std::string table, watch_settings const& settings, row_reader& store,
    table_sink& sink, clock_source const& clock, random_source& random,
    event_log& log)
    : table_(std::move(table)), settings_(settings), store_(store), sink_(sink),
      clock_(clock), random_(random), log_(log)
{
}

void table_watch::poll()
{
    if (calling_ || clock_.now() < next_call_)
        return;
    if (listed_)
        follow();
    else
        list();
}

void table_watch::list()
{
    calling_ = true;
    ++calls_;
    auto const sent = clock_.now();
    // The smallest key after the last one of the page before.
    std::string const from =
        pages_.empty() ? std::string() : pages_.back().key + '\x01';
    store_.list(
        table_, from,
        [this, sent](store_answer answer)
        { on_page(sent, std::move(answer)); });
}

void table_watch::on_page(steady_time sent, store_answer answer)
{
    calling_ = false;
    if (answer.status != store_status::ok)
    {
        pages_.clear();
        failed(answer);
        return;
    }
    if (pages_.empty())
    {
        first_page_revision_ = answer.revision;
        first_page_sent_ = sent;
    }
    std::move(
        answer.rows.begin(), answer.rows.end(), std::back_inserter(pages_));
    if (answer.more && !answer.rows.empty())
    {
        list();
        return;
    }
    // Changes since the first page are read once more.
    revision_ = first_page_revision_;
    listed_ = true;
    auto const rows = std::exchange(pages_, {});
    log_.record(
        event_level::info, ever_listed_ ? "table_relisted" : "table_listed",
        {{"table", table_},
         {"rows", std::to_string(rows.size())},
         {"revision", std::to_string(revision_)}});
    ever_listed_ = true;
    succeeded();
    sink_.on_listing(rows);
    sink_.on_proof(first_page_sent_);
    poll();
}

void table_watch::follow()
{
    calling_ = true;
    ++calls_;
    auto const sent = clock_.now();
    store_.changes(
        table_, revision_, settings_.wait,
        [this, sent](store_answer const& answer) { on_changes(sent, answer); });
}

void table_watch::on_changes(steady_time sent, store_answer const& answer)
{
    calling_ = false;
    bool const went_back =
        answer.status == store_status::ok && answer.revision < revision_;
    if (answer.status == store_status::history_lost || went_back)
    {
        log_.record(
            event_level::warn, "table_history_lost",
            {{"table", table_},
             {"after", std::to_string(revision_)},
             {"revision", std::to_string(answer.revision)}});
        listed_ = false;
        pages_.clear();
        poll();
        return;
    }
    if (answer.status != store_status::ok)
    {
        failed(answer);
        return;
    }
    succeeded();
    for (auto const& row : answer.rows)
        sink_.on_change(row);
    revision_ = answer.revision;
    sink_.on_proof(sent);
    if (!answer.rows.empty())
        next_call_ = clock_.now() + settings_.pause_after_change;
    poll();
}

void table_watch::succeeded()
{
    if (failures_ > 0)
        log_.record(
            event_level::info, "store_regained",
            {{"table", table_}, {"failures", std::to_string(failures_)}});
    failures_ = 0;
    next_call_ = clock_.now();
}

void table_watch::failed(store_answer const& answer)
{
    if (failures_ == 0)
        log_.record(
            event_level::warn, "store_lost",
            {{"table", table_}, {"detail", answer.detail}});
    auto const doubled =
        settings_.first_retry * (1 << std::min<std::uint32_t>(failures_, 8));
    auto const limit = std::min(doubled, settings_.longest_retry);
    ++failures_;
    next_call_ = clock_.now() + limit / 2 +
                 std::chrono::milliseconds(
                     random_.below(std::uint64_t(limit.count() / 2 + 1)));
}

} // namespace dotterellock
