#include "waiting_line.hpp"

#include <algorithm>
#include <limits>

namespace dotterellock
{

namespace
{

rank rank_of(std::uint32_t value)
{
    return all_ranks[std::min<std::size_t>(value, rank_count - 1)];
}

queue_entry queued(line_entry const& entry)
{
    queue_entry q;
    q.id = entry.id;
    q.organisation = entry.organisation;
    q.rank = rank_of(entry.overdue ? entry.rank + 1 : entry.rank);
    q.tokens = std::uint32_t(std::clamp<std::uint64_t>(
        entry.tokens, 1, std::numeric_limits<std::uint32_t>::max()));
    q.latest_start = entry.due;
    return q;
}

} // namespace

std::optional<line_refusal>
waiting_line::enter(line_entry const& entry, steady_time now)
{
    // The rate at which requests begin is that of a line which was not empty.
    if (waiting_.empty())
        begun_.clear();
    forget_old_begins(now);
    auto const wait = expected_wait(entry.rank);
    if (wait && now + *wait > entry.begin_by)
        return line_refusal{entry.id, retry_after(entry.rank)};
    auto const yields = push(entry, now);
    if (!yields)
        return std::nullopt;
    waiting_.erase(*yields);
    return line_refusal{*yields, retry_after(entry.rank)};
}

void waiting_line::put_back(line_entry const& entry, steady_time now)
{
    // It did not begin after all: neither its rank nor the rate is charged.
    if (last_served_ && last_served_->entry.id == entry.id)
        queue_.correct_cost(*last_served_, 0);
    last_served_.reset();
    if (!begun_.empty())
        begun_.pop_back();
    push(entry, now);
}

/// @return the request that finds no place; the entry itself, or another one
std::optional<queue_entry_id>
waiting_line::push(line_entry const& entry, steady_time now)
{
    auto waiting = entry;
    waiting.overdue = now >= entry.due;
    auto const pushed = queue_.push(queued(waiting));
    if (!pushed.accepted)
        return entry.id;
    waiting_[entry.id] = waiting;
    return pushed.evicted;
}

std::optional<line_entry> waiting_line::next(steady_time now)
{
    demote_overdue(now);
    auto const served = queue_.pop(now);
    if (!served)
        return std::nullopt;
    last_served_ = served;
    auto const found = waiting_.find(served->entry.id);
    line_entry const entry = found->second;
    waiting_.erase(found);
    begun_.push_back(now);
    forget_old_begins(now);
    return entry;
}

void waiting_line::demote_overdue(steady_time now)
{
    for (auto& [id, entry] : waiting_)
    {
        if (entry.overdue || now < entry.due)
            continue;
        entry.overdue = true;
        queue_.erase(id);
        queue_.push(queued(entry)); // has its place back
    }
}

void waiting_line::forget_old_begins(steady_time now)
{
    while (!begun_.empty() && begun_.front() + rate_window < now)
        begun_.pop_front();
}

void waiting_line::erase(queue_entry_id id)
{
    queue_.erase(id);
    waiting_.erase(id);
}

std::vector<line_refusal> waiting_line::expired(steady_time now)
{
    std::vector<line_refusal> late;
    for (auto const& [id, entry] : waiting_)
    {
        if (now >= entry.begin_by)
            late.push_back({id, retry_after(entry.rank)});
    }
    for (auto const& refusal : late)
        erase(refusal.id);
    return late;
}

std::optional<duration> waiting_line::expected_wait(std::uint32_t rank) const
{
    if (begun_.size() < min_rate_samples)
        return std::nullopt;
    auto const interval =
        (begun_.back() - begun_.front()) / int(begun_.size() - 1);
    std::size_t ahead = 0;
    for (auto const r : all_ranks)
    {
        if (r <= rank_of(rank))
            ahead += queue_.waiting(r);
    }
    return interval * int(ahead + 1);
}

std::chrono::milliseconds waiting_line::retry_after(std::uint32_t rank) const
{
    auto const wait = expected_wait(rank).value_or(min_retry_after);
    return std::clamp(
        std::chrono::duration_cast<std::chrono::milliseconds>(wait),
        min_retry_after, max_retry_after);
}

} // namespace dotterellock
