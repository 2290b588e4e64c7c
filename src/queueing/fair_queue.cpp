#include "fair_queue.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Each rank keeps 1/6 of the places, so that a flood of one rank cannot keep
// the others out of the queue and thereby off their floors.
constexpr std::size_t kept_places_divisor = 6;

// Debts of idle organisations; above the 5,200 organisations to design for.
constexpr std::size_t max_debts = 8192;

// One entry's cost is cut off here, so that a wrong estimate or a runaway
// answer cannot exclude its organisation for hundreds of rounds.
constexpr std::uint32_t max_entry_tokens = 1u << 20;

// Credit of a floor is bounded by this many quanta, so that a rank cannot
// save up service and then displace urgent work in one block.
constexpr double max_credit_quanta = 16;

std::deque<queue_entry>::iterator
next_of(std::deque<queue_entry>& entries, steady_time now)
{
    auto const in_time = std::find_if(
        entries.begin(), entries.end(),
        [now](queue_entry const& e) { return e.due > now; });
    return in_time == entries.end() ? entries.begin() : in_time;
}

} // namespace

push_result fair_queue::push(queue_entry entry)
{
    push_result result;
    entry.tokens = std::min(entry.tokens, max_entry_tokens);
    if (place_.count(entry.id) != 0)
        return result;
    if (size() >= policy_.current().queue.max_reservations)
    {
        result.evicted = victim_for(entry);
        if (!result.evicted)
            return result;
        erase(*result.evicted);
    }
    result.accepted = true;
    rank_level& l = level(entry.rank);
    auto const [found, added] = l.waiting.try_emplace(entry.organisation);
    backlog& b = found->second;
    if (added)
    {
        b.deficit = -debt_left(l, entry.organisation);
        b.turn = l.turns.insert(l.turns.end(), entry.organisation);
    }
    b.entries.push_back(entry);
    ++l.count;
    resize(l, entry.organisation, b.entries.size() - 1);
    place_.emplace(entry.id, std::pair{entry.rank, entry.organisation});
    waiting_tokens_ += entry.tokens;
    return result;
}

std::optional<queue_entry_id>
fair_queue::victim_for(queue_entry const& entry) const
{
    std::size_t const kept =
        policy_.current().queue.max_reservations / kept_places_divisor;
    auto const newest_of_longest = [](rank_level const& l)
    { return l.waiting.at(l.by_length.rbegin()->second).entries.back().id; };

    bool const below_kept = level(entry.rank).count < kept;
    for (auto r = all_ranks.rbegin(); r != all_ranks.rend(); ++r)
    {
        if (*r == entry.rank && !below_kept)
            break;
        if (*r != entry.rank && level(*r).count > kept)
            return newest_of_longest(level(*r));
    }
    rank_level const& own = level(entry.rank);
    if (own.by_length.empty())
        return std::nullopt;
    auto const found = own.waiting.find(entry.organisation);
    std::size_t const length =
        found == own.waiting.end() ? 0 : found->second.entries.size();
    if (own.by_length.rbegin()->first <= length + 1)
        return std::nullopt;
    return newest_of_longest(own);
}

std::optional<served_entry> fair_queue::pop(steady_time now)
{
    served_entry served;
    rank const* next = nullptr;
    for (auto const& r : all_ranks)
    {
        if (next == nullptr && level(r).count != 0)
            next = &r;
    }
    if (next == nullptr)
        return std::nullopt;
    rank chosen = *next;
    if (auto const owed = rank_with_credit())
    {
        served.by_floor = *owed != chosen;
        chosen = *owed;
    }
    served.entry = take(level(chosen), now);
    charge_floors(chosen, served.entry.tokens, served.by_floor);
    return served;
}

std::optional<queue_entry> fair_queue::most_urgent() const
{
    for (auto const r : all_ranks)
    {
        rank_level const& l = level(r);
        if (l.count != 0)
            return l.waiting.at(l.turns.front()).entries.front();
    }
    return std::nullopt;
}

std::optional<rank> fair_queue::rank_with_credit() const
{
    std::optional<rank> best;
    for (auto const r : all_ranks)
    {
        rank_level const& l = level(r);
        bool const owed = l.count != 0 && l.credit > 0;
        if (owed && (!best || l.credit > level(*best).credit))
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

queue_entry fair_queue::take(rank_level& from, steady_time now)
{
    for (;;)
    {
        organisation_id const o = from.turns.front();
        backlog& b = from.waiting.at(o);
        if (!b.turn_begun)
        {
            b.turn_begun = true;
            b.deficit += quantum(o);
        }
        auto const next = next_of(b.entries, now);
        if (b.deficit < next->tokens)
        {
            end_turn(from);
            continue;
        }
        queue_entry entry = *next;
        b.entries.erase(next);
        b.deficit -= entry.tokens;
        --from.count;
        place_.erase(entry.id);
        waiting_tokens_ -= entry.tokens;
        resize(from, o, b.entries.size() + 1);
        forget_if_empty(from, o);
        return entry;
    }
}

void fair_queue::end_turn(rank_level& of)
{
    of.waiting.at(of.turns.front()).turn_begun = false;
    of.turns.splice(of.turns.end(), of.turns, of.turns.begin());
    ++of.round;
}

void fair_queue::resize(
    rank_level& of, organisation_id const& o, std::size_t before)
{
    of.by_length.erase({before, o});
    std::size_t const now = of.waiting.at(o).entries.size();
    if (now != 0)
        of.by_length.insert({now, o});
}

void fair_queue::forget_if_empty(rank_level& of, organisation_id const& o)
{
    auto const found = of.waiting.find(o);
    if (!found->second.entries.empty())
        return;
    if (found->second.deficit < 0)
        remember_debt(of, o, debt{-found->second.deficit, of.round});
    of.turns.erase(found->second.turn);
    of.waiting.erase(found);
    if (of.count != 0)
        return;
    // Nobody competed, so nobody owes anybody.
    of.debts.clear();
    of.credit = std::min(of.credit, 0.0);
}

void fair_queue::remember_debt(rank_level& of, organisation_id const& o, debt d)
{
    if (of.debts.size() >= max_debts)
        of.debts.clear();
    of.debts[o] = d;
}

std::int64_t fair_queue::debt_left(rank_level& of, organisation_id const& o)
{
    auto const found = of.debts.find(o);
    if (found == of.debts.end())
        return 0;
    debt const d = found->second;
    of.debts.erase(found);
    // A full round is one turn of each organisation that waits.
    auto const turns = std::max<std::size_t>(of.waiting.size(), 1);
    auto const rounds = static_cast<std::int64_t>((of.round - d.round) / turns);
    return std::max<std::int64_t>(0, d.tokens - rounds * quantum(o));
}

bool fair_queue::erase(queue_entry_id id)
{
    auto const at = place_.find(id);
    if (at == place_.end())
        return false;
    auto const [r, o] = at->second;
    place_.erase(at);
    rank_level& l = level(r);
    auto& entries = l.waiting.at(o).entries;
    auto const entry = std::find_if(
        entries.begin(), entries.end(),
        [id = id](queue_entry const& e) { return e.id == id; });
    waiting_tokens_ -= entry->tokens;
    entries.erase(entry);
    --l.count;
    resize(l, o, entries.size() + 1);
    forget_if_empty(l, o);
    return true;
}

void fair_queue::correct(
    served_entry const& served, std::uint32_t actual_tokens)
{
    auto const& e = served.entry;
    std::int64_t const difference =
        std::int64_t{std::min(actual_tokens, max_entry_tokens)} -
        std::int64_t{e.tokens};
    rank_level& l = level(e.rank);
    auto const found = l.waiting.find(e.organisation);
    if (found != l.waiting.end())
        found->second.deficit -= difference;
    else if (l.count != 0)
    {
        std::int64_t const left = debt_left(l, e.organisation) + difference;
        if (left > 0)
            remember_debt(l, e.organisation, debt{left, l.round});
    }
    charge_floors(e.rank, difference, served.by_floor);
}

void fair_queue::charge_floors(rank served, std::int64_t tokens, bool by_floor)
{
    auto const& policy = policy_.current();
    double const bound = max_credit_quanta * policy.queue.quantum_tokens;
    for (auto const r : all_ranks)
    {
        rank_level& l = level(r);
        if (l.count != 0 || (r == served && by_floor))
        {
            l.credit += policy.ranks[index_of(r)].floor_share *
                        static_cast<double>(tokens);
        }
        if (r == served && by_floor)
            l.credit -= static_cast<double>(tokens);
        l.credit = std::clamp(l.credit, -bound, bound);
    }
}

std::size_t fair_queue::organisations_tracked() const
{
    std::size_t n = 0;
    for (auto const& l : levels_)
        n += l.waiting.size() + l.debts.size();
    return n;
}

} // namespace dotterellock
