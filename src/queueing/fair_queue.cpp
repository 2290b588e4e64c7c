#include "fair_queue.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// 1/6 of the queue's places is reserved for each rank. Otherwise a flood of one
// rank could keep the others out of the queue, and they would not receive their
// minimum shares (floors).
constexpr std::size_t reserved_places_divisor = 6;

// Limit on the recorded debts of idle organisations of one rank. The design
// target is 5,200 organisations.
constexpr std::size_t max_debt_records = 8192;

// Upper bound on the cost charged for one entry, so that a wrong estimate or a
// runaway generation cannot exclude its organisation for hundreds of rounds.
constexpr std::uint32_t max_entry_tokens = 1u << 20;

// Bound on the floor credit of a rank, in quanta, so that a rank cannot
// accumulate service and then displace urgent work in one block.
constexpr double max_floor_credit_quanta = 16;

// The oldest entry that can still start in time, or the oldest one if all are
// overdue.
std::deque<queue_entry>::iterator
next_entry(std::deque<queue_entry>& entries, steady_time now)
{
    auto const not_overdue = std::find_if(
        entries.begin(), entries.end(),
        [now](queue_entry const& e) { return e.latest_start > now; });
    return not_overdue == entries.end() ? entries.begin() : not_overdue;
}

} // namespace

push_result fair_queue::push(queue_entry entry)
{
    push_result result;
    entry.tokens = std::min(entry.tokens, max_entry_tokens);
    if (locations_.count(entry.id) != 0)
        return result;
    if (!entry.keeps_place &&
        size() - kept_places_ >= policy_.current().queue.max_reservations)
    {
        result.evicted = eviction_victim(entry);
        if (!result.evicted)
            return result;
        erase(*result.evicted);
    }
    result.accepted = true;
    insert(entry, position::back);
    return result;
}

bool fair_queue::accepts(queue_entry const& entry) const
{
    if (locations_.count(entry.id) != 0)
        return false;
    return entry.keeps_place ||
           size() - kept_places_ < policy_.current().queue.max_reservations ||
           eviction_victim(entry).has_value();
}

bool fair_queue::put_back(queue_entry const& entry)
{
    if (locations_.count(entry.id) != 0)
        return false;
    insert(entry, position::front);
    return true;
}

void fair_queue::insert(queue_entry const& entry, position at)
{
    bool const first = at == position::front;
    rank_queue& q = queue_of(entry.rank);
    auto const [found, added] = q.backlogs.try_emplace(entry.organisation);
    backlog& b = found->second;
    if (added)
    {
        b.deficit = -take_remaining_debt(q, entry.organisation);
        b.round_robin_position = q.round_robin.insert(
            first ? q.round_robin.begin() : q.round_robin.end(),
            entry.organisation);
    }
    b.entries.insert(first ? b.entries.begin() : b.entries.end(), entry);
    ++q.entry_count;
    update_backlog_length(q, entry.organisation, b.entries.size() - 1);
    locations_.emplace(entry.id, std::pair{entry.rank, entry.organisation});
    waiting_tokens_ += entry.tokens;
    kept_places_ += entry.keeps_place ? 1 : 0;
}

std::optional<queue_entry_id>
fair_queue::eviction_victim(queue_entry const& entry) const
{
    std::size_t const reserved_places =
        policy_.current().queue.max_reservations / reserved_places_divisor;
    // The newest entry that may be evicted, of the longest backlog with one.
    auto const newest_of_longest_backlog =
        [](rank_queue const& q,
           std::size_t longer_than) -> std::optional<queue_entry_id>
    {
        for (auto i = q.backlogs_by_length.rbegin();
             i != q.backlogs_by_length.rend() && i->first > longer_than; ++i)
        {
            auto const& entries = q.backlogs.at(i->second).entries;
            auto const found = std::find_if(
                entries.rbegin(), entries.rend(),
                [](queue_entry const& e) { return !e.keeps_place; });
            if (found != entries.rend())
                return found->id;
        }
        return std::nullopt;
    };

    bool const below_reserved_places =
        queue_of(entry.rank).entry_count < reserved_places;
    for (auto r = all_ranks.rbegin(); r != all_ranks.rend(); ++r)
    {
        if (*r == entry.rank && !below_reserved_places)
            break;
        if (*r == entry.rank || queue_of(*r).entry_count <= reserved_places)
            continue;
        if (auto const victim = newest_of_longest_backlog(queue_of(*r), 0))
            return victim;
    }
    rank_queue const& own_queue = queue_of(entry.rank);
    auto const found = own_queue.backlogs.find(entry.organisation);
    std::size_t const length =
        found == own_queue.backlogs.end() ? 0 : found->second.entries.size();
    return newest_of_longest_backlog(own_queue, length + 1);
}

std::optional<served_entry> fair_queue::pop(steady_time now)
{
    served_entry served;
    rank const* next = nullptr;
    for (auto const& r : all_ranks)
    {
        if (next == nullptr && queue_of(r).entry_count != 0)
            next = &r;
    }
    if (next == nullptr)
        return std::nullopt;
    rank chosen = *next;
    if (auto const owed = rank_with_credit())
    {
        served.served_by_floor = *owed != chosen;
        chosen = *owed;
    }
    served.entry = dequeue(queue_of(chosen), now);
    update_floor_credits(chosen, served.entry.tokens, served.served_by_floor);
    return served;
}

std::optional<queue_entry> fair_queue::most_urgent() const
{
    for (auto const r : all_ranks)
    {
        rank_queue const& q = queue_of(r);
        if (q.entry_count != 0)
            return q.backlogs.at(q.round_robin.front()).entries.front();
    }
    return std::nullopt;
}

std::optional<rank> fair_queue::rank_with_credit() const
{
    std::optional<rank> best;
    for (auto const r : all_ranks)
    {
        rank_queue const& q = queue_of(r);
        bool const owed = q.entry_count != 0 && q.floor_credit > 0;
        if (owed && (!best || q.floor_credit > queue_of(*best).floor_credit))
            best = r;
    }
    return best;
}

std::int64_t fair_queue::quantum(organisation_id const& organisation) const
{
    auto const& policy = policy_.current();
    double const tokens =
        policy.queue.quantum_tokens * policy.of(organisation).weight;
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(tokens));
}

queue_entry fair_queue::dequeue(rank_queue& q, steady_time now)
{
    for (;;)
    {
        organisation_id const organisation = q.round_robin.front();
        backlog& b = q.backlogs.at(organisation);
        if (!b.quantum_granted)
        {
            b.quantum_granted = true;
            b.deficit += quantum(organisation);
        }
        auto const next = next_entry(b.entries, now);
        if (b.deficit < next->tokens)
        {
            end_turn(q);
            continue;
        }
        queue_entry entry = *next;
        b.entries.erase(next);
        b.deficit -= entry.tokens;
        --q.entry_count;
        locations_.erase(entry.id);
        waiting_tokens_ -= entry.tokens;
        kept_places_ -= entry.keeps_place ? 1 : 0;
        update_backlog_length(q, organisation, b.entries.size() + 1);
        remove_if_empty(q, organisation);
        return entry;
    }
}

void fair_queue::end_turn(rank_queue& q)
{
    q.backlogs.at(q.round_robin.front()).quantum_granted = false;
    q.round_robin.splice(
        q.round_robin.end(), q.round_robin, q.round_robin.begin());
    ++q.turns_ended;
}

void fair_queue::update_backlog_length(
    rank_queue& q, organisation_id const& organisation, std::size_t before)
{
    q.backlogs_by_length.erase({before, organisation});
    std::size_t const now = q.backlogs.at(organisation).entries.size();
    if (now != 0)
        q.backlogs_by_length.insert({now, organisation});
}

void fair_queue::remove_if_empty(
    rank_queue& q, organisation_id const& organisation)
{
    auto const found = q.backlogs.find(organisation);
    if (!found->second.entries.empty())
        return;
    if (found->second.deficit < 0)
        record_debt(
            q, organisation, debt{-found->second.deficit, q.turns_ended});
    q.round_robin.erase(found->second.round_robin_position);
    q.backlogs.erase(found);
    if (q.entry_count != 0)
        return;
    // The rank is idle: no organisation was delayed by the service that the
    // others received, so all debts and unused floor credit expire.
    q.debts.clear();
    q.floor_credit = std::min(q.floor_credit, 0.0);
}

void fair_queue::record_debt(
    rank_queue& q, organisation_id const& organisation, debt d)
{
    if (q.debts.size() >= max_debt_records)
        q.debts.clear();
    q.debts[organisation] = d;
}

std::int64_t fair_queue::take_remaining_debt(
    rank_queue& q, organisation_id const& organisation)
{
    auto const found = q.debts.find(organisation);
    if (found == q.debts.end())
        return 0;
    debt const d = found->second;
    q.debts.erase(found);
    // A round gives one turn to each waiting organisation.
    auto const turns_per_round = std::max<std::size_t>(q.backlogs.size(), 1);
    auto const rounds = static_cast<std::int64_t>(
        (q.turns_ended - d.recorded_at_turn) / turns_per_round);
    return std::max<std::int64_t>(0, d.tokens - rounds * quantum(organisation));
}

bool fair_queue::erase(queue_entry_id id)
{
    auto const at = locations_.find(id);
    if (at == locations_.end())
        return false;
    auto const [r, organisation] = at->second;
    locations_.erase(at);
    rank_queue& q = queue_of(r);
    auto& entries = q.backlogs.at(organisation).entries;
    auto const entry = std::find_if(
        entries.begin(), entries.end(),
        [id = id](queue_entry const& e) { return e.id == id; });
    waiting_tokens_ -= entry->tokens;
    kept_places_ -= entry->keeps_place ? 1 : 0;
    entries.erase(entry);
    --q.entry_count;
    update_backlog_length(q, organisation, entries.size() + 1);
    remove_if_empty(q, organisation);
    return true;
}

void fair_queue::correct_cost(
    served_entry const& served, std::uint32_t actual_tokens)
{
    auto const& e = served.entry;
    std::int64_t const difference =
        std::int64_t{std::min(actual_tokens, max_entry_tokens)} -
        std::int64_t{e.tokens};
    rank_queue& q = queue_of(e.rank);
    auto const found = q.backlogs.find(e.organisation);
    if (found != q.backlogs.end())
        found->second.deficit -= difference;
    else if (q.entry_count != 0)
    {
        std::int64_t const left =
            take_remaining_debt(q, e.organisation) + difference;
        if (left > 0)
            record_debt(q, e.organisation, debt{left, q.turns_ended});
    }
    update_floor_credits(e.rank, difference, served.served_by_floor);
}

void fair_queue::update_floor_credits(
    rank served, std::int64_t tokens, bool served_by_floor)
{
    auto const& policy = policy_.current();
    double const bound = max_floor_credit_quanta * policy.queue.quantum_tokens;
    for (auto const r : all_ranks)
    {
        rank_queue& q = queue_of(r);
        if (q.entry_count != 0 || (r == served && served_by_floor))
        {
            q.floor_credit += policy.ranks[index_of(r)].floor_share *
                              static_cast<double>(tokens);
        }
        if (r == served && served_by_floor)
            q.floor_credit -= static_cast<double>(tokens);
        q.floor_credit = std::clamp(q.floor_credit, -bound, bound);
    }
}

std::size_t fair_queue::tracked_organisations() const
{
    std::size_t n = 0;
    for (auto const& q : rank_queues_)
        n += q.backlogs.size() + q.debts.size();
    return n;
}

} // namespace dotterellock
