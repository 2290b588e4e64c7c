#include "shared_table.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

row_read_result refusal(char const* why)
{
    row_read_result result;
    result.status = row_read_status::refused;
    result.detail = why;
    return result;
}

} // namespace

void shared_table::changes(
    std::uint64_t after, std::chrono::milliseconds wait, handler done)
{
    auto const now = clock_.now();
    held_call call{after, now, now + wait, std::move(done)};
    if (auto result = answer(call, now))
        call.done(std::move(*result));
    else if (held_.size() >= max_held_calls)
        call.done(refusal("too many calls"));
    else
        held_.push_back(std::move(call));
}

std::optional<row_read_result>
shared_table::answer(held_call const& call, steady_time now) const
{
    if (!current(now))
        return refusal("copy is stale");
    row_read_result result;
    if (call.after < history_start_)
    {
        result.status = row_read_status::history_lost;
        return result;
    }
    std::copy_if(
        history_.begin(), history_.end(), std::back_inserter(result.rows),
        [&call](store_row const& row) { return row.revision > call.after; });
    if (result.rows.empty() && now < call.deadline)
        return std::nullopt;
    result.status = row_read_status::ok;
    // The caller's copy may be ahead, as the revision counts the changes of all
    // tables; then it holds at least what was proven here.
    result.revision = std::max(revision_, call.after);
    result.proven_after_sending =
        std::chrono::floor<std::chrono::milliseconds>(*proven_ - call.arrived);
    return result;
}

void shared_table::answer_held()
{
    auto const now = clock_.now();
    auto calls = std::exchange(held_, {});
    for (auto& call : calls)
    {
        if (auto result = answer(call, now))
            call.done(std::move(*result));
        else
            held_.push_back(std::move(call));
    }
}

void shared_table::poll()
{
    if (!held_.empty())
        answer_held();
}

void shared_table::on_listing(
    std::vector<store_row> const& rows, change_period const& period)
{
    history_.clear();
    relisted_ = true;
    next_.on_listing(rows, period);
}

void shared_table::on_change(store_row const& row, change_period const& period)
{
    history_.push_back(row);
    while (history_.size() > max_history_rows)
    {
        history_start_ = history_.front().revision;
        history_.pop_front();
    }
    next_.on_change(row, period);
}

void shared_table::on_current_as_of(steady_time proven, std::uint64_t revision)
{
    if (std::exchange(relisted_, false))
        history_start_ = revision;
    proven_ = proven;
    revision_ = revision;
    next_.on_current_as_of(proven, revision);
    answer_held();
}

} // namespace dotterellock
