// Orders waiting work by rank, floor and organisation. A plain data structure
// without messages or timers, owned by one reservation_queue and called under
// the agent's lock.
//
// Ranks are served in strict priority order, except that each rank earns
// credit of floor_share tokens per token served while it has work waiting; a
// rank with credit goes first. Within a rank, deficit round robin over
// organisations (Shreedhar and Varghese 1995). Overdue entries of an
// organisation wait behind the others: in a flood, serving the oldest first
// would begin all work just after its target.
#ifndef DOTTERELLOCK_QUEUEING_FAIR_QUEUE_HPP
#define DOTTERELLOCK_QUEUEING_FAIR_QUEUE_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

using queue_entry_id = std::uint64_t;

struct queue_entry
{
    queue_entry_id id = 0; // unique in the queue
    organisation_id organisation;
    dotterellock::rank rank = rank::standard;
    std::uint32_t tokens = 1;             // estimated cost
    steady_time due = steady_time::max(); // to begin within the rank's target
};

/// An entry that was taken from the queue; kept to correct its cost later.
struct served_entry
{
    queue_entry entry;
    bool by_floor = false; // went ahead of more urgent work
};

struct push_result
{
    bool accepted = false;
    std::optional<queue_entry_id> evicted; // made room for the accepted entry
};

class fair_queue
{
public:
    explicit fair_queue(policy_source const& policy) : policy_(policy) {}

    /// When the queue is full, the newest entry of the longest backlog may be
    /// evicted; a part of the places is kept for each rank.
    push_result push(queue_entry entry);

    /// Takes the next entry and charges its estimated cost. Of an
    /// organisation's entries the oldest that is not overdue comes first, then
    /// the overdue ones.
    std::optional<served_entry> pop(steady_time now);

    /// An entry of the most urgent rank that waits, the oldest one of the
    /// organisation whose turn it is.
    std::optional<queue_entry> most_urgent() const;

    /// False when the entry is not in the queue.
    bool erase(queue_entry_id id);

    /// Replaces the estimated cost of a served entry by the actual one.
    void correct(served_entry const& served, std::uint32_t actual_tokens);

    std::size_t size() const { return place_.size(); }
    std::size_t waiting(rank r) const { return level(r).count; }
    std::uint64_t waiting_tokens() const { return waiting_tokens_; }
    std::size_t organisations_tracked() const;

private:
    struct backlog
    {
        std::deque<queue_entry> entries;
        std::int64_t deficit = 0;
        bool turn_begun = false; // has received this turn's quantum
        std::list<organisation_id>::iterator turn;
    };

    /// What an organisation without waiting entries still owes.
    struct debt
    {
        std::int64_t tokens = 0;
        std::uint64_t round = 0; // at which it was recorded
    };

    using backlogs = std::unordered_map<organisation_id, backlog>;

    struct rank_level
    {
        backlogs waiting;
        std::list<organisation_id> turns; // front: whose turn it is
        std::set<std::pair<std::size_t, organisation_id>> by_length;
        std::unordered_map<organisation_id, debt> debts;
        std::uint64_t round = 0;
        std::size_t count = 0;
        double credit = 0; // of the floor, in tokens
    };

    rank_level& level(rank r) { return levels_[index_of(r)]; }
    rank_level const& level(rank r) const { return levels_[index_of(r)]; }

    std::optional<queue_entry_id> victim_for(queue_entry const& entry) const;
    std::optional<rank> rank_with_credit() const;
    std::int64_t quantum(organisation_id const& organisation) const;
    queue_entry take(rank_level& from, steady_time now);
    void end_turn(rank_level& of);
    void resize(rank_level& of, organisation_id const& o, std::size_t before);
    void forget_if_empty(rank_level& of, organisation_id const& o);
    void remember_debt(rank_level& of, organisation_id const& o, debt d);
    std::int64_t debt_left(rank_level& of, organisation_id const& o);
    void charge_floors(rank served, std::int64_t tokens, bool by_floor);

    policy_source const& policy_;
    std::array<rank_level, rank_count> levels_;
    std::unordered_map<queue_entry_id, std::pair<rank, organisation_id>> place_;
    std::uint64_t waiting_tokens_ = 0;
};

} // namespace dotterellock

#endif
