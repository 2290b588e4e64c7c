#include "request_queue.hpp"

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

bool is_overdue(queued_request const& entry, steady_time now)
{
    return !entry.begun && now >= entry.target_start;
}

queue_entry to_queue_entry(queued_request const& entry)
{
    queue_entry q;
    q.id = entry.id;
    q.organisation = entry.organisation;
    q.rank = rank_of(entry.overdue ? entry.rank + 1 : entry.rank);
    q.tokens = std::uint32_t(std::clamp<std::uint64_t>(
        entry.tokens, 1, std::numeric_limits<std::uint32_t>::max()));
    q.latest_start = entry.begun ? steady_time::max() : entry.target_start;
    q.keeps_place = entry.begun;
    return q;
}

bool waits_too_long(
    queued_request const& entry, std::optional<duration> wait, steady_time now)
{
    return wait && !entry.begun && now + *wait > entry.start_deadline;
}

std::chrono::milliseconds retry_after_wait(std::optional<duration> wait)
{
    return std::clamp(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            wait.value_or(request_queue::min_retry_after)),
        request_queue::min_retry_after, request_queue::max_retry_after);
}

} // namespace

std::optional<queue_refusal>
request_queue::enqueue(queued_request const& entry, steady_time now)
{
    // Start times from before the queue became empty do not show its current
    // rate.
    if (waiting_.empty())
        start_times_.clear();
    prune_start_times(now);
    auto const wait = expected_wait(entry.rank);
    if (waits_too_long(entry, wait, now))
        return queue_refusal{entry.id, retry_after(entry.rank)};
    auto const evicted = insert(entry, now);
    if (!evicted)
        return std::nullopt;
    waiting_.erase(*evicted);
    return queue_refusal{*evicted, retry_after(entry.rank)};
}

void request_queue::requeue(queued_request const& entry, steady_time now)
{
    // The request did not start: neither its rank nor the start rate is
    // charged.
    if (last_served_ && last_served_->entry.id == entry.id)
        queue_.correct_cost(*last_served_, 0);
    last_served_.reset();
    if (!start_times_.empty())
        start_times_.pop_back();
    auto waiting = entry;
    waiting.overdue = is_overdue(entry, now);
    if (queue_.put_back(to_queue_entry(waiting)))
        waiting_[entry.id] = waiting;
}

/// @return the id of the request without a place: this one or an evicted one
std::optional<queue_entry_id>
request_queue::insert(queued_request const& entry, steady_time now)
{
    auto waiting = entry;
    waiting.overdue = is_overdue(entry, now);
    auto const pushed = queue_.push(to_queue_entry(waiting));
    if (!pushed.accepted)
        return entry.id;
    waiting_[entry.id] = waiting;
    return pushed.evicted;
}

std::optional<queued_request> request_queue::pop(steady_time now)
{
    demote_overdue(now);
    auto const served = queue_.pop(now);
    if (!served)
        return std::nullopt;
    last_served_ = served;
    auto const found = waiting_.find(served->entry.id);
    queued_request const entry = found->second;
    waiting_.erase(found);
    start_times_.push_back(now);
    prune_start_times(now);
    return entry;
}

void request_queue::demote_overdue(steady_time now)
{
    for (auto& [id, entry] : waiting_)
    {
        if (entry.begun || entry.overdue || now < entry.target_start)
            continue;
        entry.overdue = true;
        queue_.erase(id);
        queue_.push(to_queue_entry(entry)); // keeps its position
    }
}

void request_queue::prune_start_times(steady_time now)
{
    while (!start_times_.empty() && start_times_.front() + rate_window < now)
        start_times_.pop_front();
}

void request_queue::erase(queue_entry_id id)
{
    queue_.erase(id);
    waiting_.erase(id);
}

std::vector<queue_refusal>
request_queue::remove_expired(steady_time earliest_start)
{
    std::vector<queue_refusal> expired;
    for (auto const& [id, entry] : waiting_)
    {
        if (entry.too_late_at(earliest_start))
            expired.push_back({id, retry_after(entry.rank)});
    }
    for (auto const& refusal : expired)
        erase(refusal.id);
    return expired;
}

queue_forecast
request_queue::forecast(queued_request const& entry, steady_time now) const
{
    // As enqueue(), which forgets the start times that do not count.
    auto const first_start =
        waiting_.empty()
            ? start_times_.end()
            : std::find_if(
                  start_times_.begin(), start_times_.end(),
                  [now](steady_time at) { return at + rate_window >= now; });
    queue_forecast f;
    f.waiting = waiting_.size();
    f.ahead = waiting_up_to(entry.rank);
    f.wait = expected_wait(entry.rank, first_start);
    auto waiting = entry;
    waiting.overdue = is_overdue(entry, now);
    if (waits_too_long(entry, f.wait, now) ||
        !queue_.accepts(to_queue_entry(waiting)))
        f.refused = retry_after_wait(f.wait);
    return f;
}

std::optional<duration> request_queue::expected_wait(std::uint32_t rank) const
{
    return expected_wait(rank, start_times_.begin());
}

std::optional<duration> request_queue::expected_wait(
    std::uint32_t rank,
    std::deque<steady_time>::const_iterator const& first_start) const
{
    auto const samples = std::size_t(start_times_.end() - first_start);
    if (samples < min_rate_samples)
        return std::nullopt;
    auto const interval =
        (start_times_.back() - *first_start) / int(samples - 1);
    return interval * int(waiting_up_to(rank) + 1);
}

std::size_t request_queue::waiting_up_to(std::uint32_t rank) const
{
    std::size_t ahead = 0;
    for (auto const r : all_ranks)
    {
        if (r <= rank_of(rank))
            ahead += queue_.waiting(r);
    }
    return ahead;
}

std::chrono::milliseconds request_queue::retry_after(std::uint32_t rank) const
{
    return retry_after_wait(expected_wait(rank));
}

} // namespace dotterellock
