#include "request_queue.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace dotterellock
{

namespace
{

rank rank_of(std::uint32_t value)
{
    return all_ranks[std::min<std::size_t>(value, rank_count - 1)];
}

std::uint64_t cost_of(queued_request const& entry)
{
    return std::clamp<std::uint64_t>(
        entry.tokens, 1, std::numeric_limits<std::uint32_t>::max());
}

/// In which it competes now.
rank rank_of(queued_request const& entry)
{
    return rank_of(entry.overdue ? entry.rank + 1 : entry.rank);
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
    q.rank = rank_of(entry);
    q.tokens = std::uint32_t(cost_of(entry));
    q.latest_start = entry.begun ? steady_time::max() : entry.target_start;
    q.keeps_place = entry.begun;
    return q;
}

} // namespace

char const* to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::late_start:
        return "late_start";
    case refusal_reason::not_started:
        return "not_started";
    case refusal_reason::queue_full:
        return "queue_full";
    }
    return "unknown";
}

/// The waiting work by rank and organisation, in the order in which it starts.
class request_queue::snapshot
{
public:
    snapshot(
        request_queue const& queue, start_pace::measurement const& pace,
        steady_time now)
        : policy_(queue.policy_.current()), pace_(pace), now_(now)
    {
        for (auto const& [id, entry] : queue.waiting_)
        {
            auto& r = ranks_[index_of(rank_of(entry))];
            auto& work = r.organisations[entry.organisation];
            work.weight = policy_.of(entry.organisation).weight;
            add(entry, 1);
        }
    }

    void remove(queued_request const& entry) { add(entry, -1); }

    duration wait_of(queued_request const& entry) const
    {
        auto const before = older(entry);
        if (!in_time(entry, now_))
            return wait_behind(
                entry, before.in_time + before.late + newer_in_time(entry));
        auto const wait = wait_behind(entry, before.in_time);
        // By then those before it are late as well.
        return in_time(entry, now_ + wait)
                   ? wait
                   : wait_behind(entry, before.in_time + before.late);
    }

private:
    struct work_of_organisation
    {
        double weight = 1;
        double tokens = 0;
        std::map<queue_entry_id, double> in_time; // start first
        std::map<queue_entry_id, double> late;
    };

    struct work_of_rank
    {
        double tokens = 0;
        std::map<organisation_id, work_of_organisation> organisations;
    };

    struct older_work
    {
        double in_time = 0;
        double late = 0;
    };

    static bool in_time(queued_request const& entry, steady_time start)
    {
        return entry.begun || entry.target_start > start;
    }

    void add(queued_request const& entry, int sign)
    {
        auto& r = ranks_[index_of(rank_of(entry))];
        auto& work = r.organisations[entry.organisation];
        auto const tokens = sign * double(cost_of(entry));
        r.tokens += tokens;
        work.tokens += tokens;
        auto& entries = in_time(entry, now_) ? work.in_time : work.late;
        if (sign > 0)
            entries[entry.id] = tokens;
        else
            entries.erase(entry.id);
    }

    work_of_organisation const* own_work(queued_request const& entry) const
    {
        auto const& organisations =
            ranks_[index_of(rank_of(entry))].organisations;
        auto const found = organisations.find(entry.organisation);
        return found == organisations.end() ? nullptr : &found->second;
    }

    older_work older(queued_request const& entry) const
    {
        older_work sum;
        auto const* const work = own_work(entry);
        if (work == nullptr)
            return sum;
        for (auto const& [id, tokens] : work->in_time)
            sum.in_time += id < entry.id ? tokens : 0;
        for (auto const& [id, tokens] : work->late)
            sum.late += id < entry.id ? tokens : 0;
        return sum;
    }

    double newer_in_time(queued_request const& entry) const
    {
        double sum = 0;
        if (auto const* const work = own_work(entry))
        {
            for (auto const& [id, tokens] : work->in_time)
                sum += id > entry.id ? tokens : 0;
        }
        return sum;
    }

    /// While an organisation's work up to this request starts, each other one
    /// starts as much per weight, if it has that much.
    /// @param own  work of the request's organisation that starts before it
    duration wait_behind(queued_request const& entry, double own) const
    {
        auto const own_rank = rank_of(entry);
        auto const& settings = policy_.ranks;
        work_ahead ahead;
        ahead.share_of_own_rank = settings[index_of(own_rank)].floor_share;
        for (auto const r : all_ranks)
        {
            auto const& work = ranks_[index_of(r)];
            if (r < own_rank)
                ahead.of_urgent_ranks += work.tokens;
            else if (r > own_rank && work.tokens > 0)
                ahead.share_of_lower_ranks += settings[index_of(r)].floor_share;
        }
        double const weight = policy_.of(entry.organisation).weight;
        double const turn = own + double(cost_of(entry));
        ahead.of_own_rank = own;
        for (auto const& [name, work] :
             ranks_[index_of(own_rank)].organisations)
        {
            if (name != entry.organisation)
                ahead.of_own_rank +=
                    std::min(work.tokens, turn * work.weight / weight);
        }
        return predict_wait(ahead, own_rank, pace_);
    }

    policy_settings const& policy_;
    start_pace::measurement const pace_;
    steady_time const now_;
    std::array<work_of_rank, rank_count> ranks_;
};

std::optional<duration> request_queue::predicted_wait(
    queued_request const& entry, steady_time now) const
{
    auto const pace = pace_.measure(now);
    if (!pace)
        return std::nullopt;
    return snapshot(*this, *pace, now).wait_of(entry);
}

std::optional<queue_refusal>
request_queue::enqueue(queued_request const& entry, steady_time now)
{
    if (waiting_.empty())
        pace_.begin_waiting(now);
    // The answer would come too late even if the request started at once.
    if (entry.too_late_at(now))
        return refuse(entry, refusal_reason::late_start, duration(0), now);
    auto const wait = predicted_wait(entry, now);
    if (wait && entry.too_late_at(now + *wait))
        return refuse(entry, refusal_reason::late_start, wait, now);
    auto waiting = entry;
    waiting.overdue = is_overdue(entry, now);
    auto const pushed = queue_.push(to_queue_entry(waiting));
    if (!pushed.accepted)
        return refuse(entry, refusal_reason::queue_full, wait, now);
    waiting_[entry.id] = waiting;
    pace_.record_arrival(rank_of(entry.rank), cost_of(entry), now);
    if (!pushed.evicted)
        return std::nullopt;
    auto const evicted = waiting_.find(*pushed.evicted)->second;
    waiting_.erase(evicted.id);
    return refuse(
        evicted, refusal_reason::queue_full, predicted_wait(evicted, now), now);
}

void request_queue::requeue(queued_request const& entry)
{
    // The request did not start: neither its rank nor the pace is charged.
    if (last_served_ && last_served_->entry.id == entry.id)
        queue_.correct_cost(*last_served_, 0);
    last_served_.reset();
    pace_.cancel_last_start();
    if (queue_.put_back(to_queue_entry(entry)))
        waiting_[entry.id] = entry;
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
    pace_.record_start(cost_of(entry), now);
    return entry;
}

void request_queue::demote_overdue(steady_time now)
{
    for (auto& [id, entry] : waiting_)
    {
        if (entry.overdue || !is_overdue(entry, now))
            continue;
        queue_.erase(id);
        entry.overdue = true;
        queue_.push(to_queue_entry(entry)); // keeps its position
    }
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
            expired.push_back(refuse(
                entry, refusal_reason::not_started,
                predicted_wait(entry, earliest_start), earliest_start));
    }
    for (auto const& refusal : expired)
        erase(refusal.id);
    return expired;
}

std::vector<queue_refusal> request_queue::remove_unservable(steady_time now)
{
    std::vector<queue_refusal> refused;
    if (now - last_check_ < check_interval)
        return refused;
    last_check_ = now;
    auto const pace = pace_.measure(now);
    if (!pace)
        return refused;
    // In the order of their starts: each refusal shortens the wait of those
    // behind it.
    snapshot work(*this, *pace, now);
    std::vector<std::pair<duration, queued_request const*>> order;
    for (auto const& [id, entry] : waiting_)
        order.emplace_back(work.wait_of(entry), &entry);
    std::stable_sort(
        order.begin(), order.end(),
        [](auto const& a, auto const& b) { return a.first < b.first; });
    for (auto const& [first_wait, entry] : order)
    {
        if (!entry->too_late_at(now + first_wait))
            continue;
        auto const wait = work.wait_of(*entry);
        if (!entry->too_late_at(now + wait))
            continue;
        work.remove(*entry);
        refused.push_back(
            refuse(*entry, refusal_reason::late_start, wait, now));
    }
    for (auto const& refusal : refused)
        erase(refusal.id);
    return refused;
}

queue_forecast
request_queue::forecast(queued_request const& entry, steady_time now) const
{
    auto waiting = entry;
    waiting.overdue = is_overdue(entry, now);
    queue_forecast f;
    f.waiting = waiting_.size();
    f.ahead = ahead_of(entry, now);
    // As enqueue(): what started before the first one waits does not count.
    if (entry.too_late_at(now))
        f.wait = duration(0);
    else if (!waiting_.empty())
        f.wait = predicted_wait(entry, now);
    if (f.wait && entry.too_late_at(now + *f.wait))
        f.refused = refusal_reason::late_start;
    else if (!queue_.accepts(to_queue_entry(waiting)))
        f.refused = refusal_reason::queue_full;
    if (f.refused)
        f.retry_after = waiting_.empty()
                            ? retry_range_after(entry, std::nullopt, now)
                            : retry_range_of(entry, now);
    return f;
}

std::size_t
request_queue::ahead_of(queued_request const& entry, steady_time now) const
{
    auto waiting = entry;
    waiting.overdue = is_overdue(entry, now);
    std::size_t ahead = 0;
    for (auto const r : all_ranks)
    {
        if (r <= rank_of(waiting))
            ahead += queue_.waiting(r);
    }
    return ahead;
}

retry_range request_queue::retry_range_after(
    queued_request const& entry, std::optional<duration> wait, steady_time now)
{
    auto const max_wait = entry.start_deadline - entry.received;
    return retry_delay_range(wait, max_wait, entry.deadline - now);
}

retry_range request_queue::retry_range_of(
    queued_request const& entry, steady_time now) const
{
    // The request that its caller may send later has as much time again.
    auto returning = entry;
    returning.id = std::numeric_limits<queue_entry_id>::max();
    returning.target_start += now - entry.received;
    return retry_range_after(entry, predicted_wait(returning, now), now);
}

queue_refusal request_queue::refuse(
    queued_request const& entry, refusal_reason reason,
    std::optional<duration> wait, steady_time now)
{
    auto const range = retry_range_of(entry, now);
    return {entry.id, draw_retry_delay(range, random_), reason, wait};
}

} // namespace dotterellock
