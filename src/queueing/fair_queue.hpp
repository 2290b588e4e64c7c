// Scheduling queue that orders waiting work by rank and organisation. A plain
// data structure without messages, timers or locks; the owner serialises calls,
// for example reservation_queue under the agent's lock.
//
// Ranks are served in strict priority order, except for their floors. A floor
// is the minimum share of the served tokens that a rank receives under
// overload: while it has work waiting, a rank earns floor_share tokens of
// credit per token served, and a rank with positive credit is served first.
//
// Within a rank, organisations are served by deficit round robin (Shreedhar and
// Varghese 1995). Overdue entries of an organisation are served after its other
// entries: under overload, serving the oldest first would start all work just
// after its target.
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
    std::uint32_t tokens = 1; // estimated cost

    /// From this time on the entry is overdue: it cannot start early enough to
    /// meet the target of its rank.
    steady_time latest_start = steady_time::max();

    /// Never evicted, and takes none of the queue's places.
    bool keeps_place = false;
};

/// An entry that was taken from the queue. Passed to correct_cost() once its
/// actual cost is known.
struct served_entry
{
    queue_entry entry;
    bool served_by_floor = false; // served before more urgent work
};

struct push_result
{
    bool accepted = false;
    std::optional<queue_entry_id> evicted; // removed to accept the entry
};

class fair_queue
{
public:
    explicit fair_queue(policy_source const& policy) : policy_(policy) {}

    /// Adds an entry. When the queue is full, the newest entry of the longest
    /// backlog of a rank may be evicted for it. A part of the places is
    /// reserved for each rank. Not accepted when no entry can be evicted or
    /// the id is already in the queue.
    push_result push(queue_entry entry);

    /// Whether push() would accept the entry.
    bool accepts(queue_entry const& entry) const;

    /// Returns an entry that was served but not used to the front of its
    /// organisation's backlog, and the organisation to the front of its rank.
    /// Its cost must have been corrected. Evicts nothing.
    /// @return whether it was accepted: not if its id is in the queue again
    bool put_back(queue_entry const& entry);

    /// Removes the next entry and charges its estimated cost. Within an
    /// organisation the oldest entry that is not overdue is served first, then
    /// the overdue ones.
    std::optional<served_entry> pop(steady_time now);

    /// The oldest entry of the organisation whose turn it is in the most
    /// urgent rank that has entries.
    std::optional<queue_entry> most_urgent() const;

    /// Returns false when the entry is not in the queue.
    bool erase(queue_entry_id id);

    /// Replaces the estimated cost charged for a served entry by the actual
    /// one.
    void correct_cost(served_entry const& served, std::uint32_t actual_tokens);

    std::size_t size() const { return locations_.size(); }
    std::size_t waiting(rank r) const { return queue_of(r).entry_count; }
    std::uint64_t waiting_tokens() const { return waiting_tokens_; }
    std::size_t tracked_organisations() const;

private:
    enum class position
    {
        front,
        back
    };

    struct backlog
    {
        std::deque<queue_entry> entries;
        std::int64_t deficit = 0;
        bool quantum_granted = false; // in the current turn
        std::list<organisation_id>::iterator round_robin_position;
    };

    /// Negative deficit of an organisation without waiting entries. It shrinks
    /// by one quantum per round.
    struct debt
    {
        std::int64_t tokens = 0;
        std::uint64_t recorded_at_turn = 0; // value of turns_ended
    };

    using backlog_map = std::unordered_map<organisation_id, backlog>;

    struct rank_queue
    {
        backlog_map backlogs;
        std::list<organisation_id> round_robin; // front: has the turn
        std::set<std::pair<std::size_t, organisation_id>> backlogs_by_length;
        std::unordered_map<organisation_id, debt> debts;
        std::uint64_t turns_ended = 0;
        std::size_t entry_count = 0;
        double floor_credit = 0; // in tokens
    };

    rank_queue& queue_of(rank r) { return rank_queues_[index_of(r)]; }
    rank_queue const& queue_of(rank r) const
    {
        return rank_queues_[index_of(r)];
    }

    std::optional<queue_entry_id>
    eviction_victim(queue_entry const& entry) const;
    void insert(queue_entry const& entry, position at);
    std::optional<rank> rank_with_credit() const;
    std::int64_t quantum(organisation_id const& organisation) const;
    queue_entry dequeue(rank_queue& q, steady_time now);
    void end_turn(rank_queue& q);
    void update_backlog_length(
        rank_queue& q, organisation_id const& organisation, std::size_t before);
    void remove_if_empty(rank_queue& q, organisation_id const& organisation);
    void
    record_debt(rank_queue& q, organisation_id const& organisation, debt d);
    std::int64_t
    take_remaining_debt(rank_queue& q, organisation_id const& organisation);
    void update_floor_credits(
        rank served, std::int64_t tokens, bool served_by_floor);

    policy_source const& policy_;
    std::array<rank_queue, rank_count> rank_queues_;
    std::unordered_map<queue_entry_id, std::pair<rank, organisation_id>>
        locations_;
    std::uint64_t waiting_tokens_ = 0;
    std::size_t kept_places_ = 0; // entries with keeps_place
};

} // namespace dotterellock

#endif
