// Requests that wait until an endpoint of their service has room: by rank,
// with a floor for each rank and a fair share for each organisation. A request
// that cannot begin in time is refused at once, with the time after which the
// line is expected to be shorter.
//
// Load: prompts that fill the memory of all endpoints, from a burst of one
// class or after the loss of a zone.
#ifndef DOTTERELLOCK_GATEWAY_WAITING_LINE_HPP
#define DOTTERELLOCK_GATEWAY_WAITING_LINE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "queueing/fair_queue.hpp"

namespace dotterellock
{

struct line_entry
{
    queue_entry_id id = 0;
    organisation_id organisation;
    std::uint32_t rank = 0;   // of the route or organisation; 0 first
    std::uint64_t tokens = 1; // of its prompt
    steady_time arrived{};
    steady_time begin_by{}; // refused when it has not begun by then
};

struct line_refusal
{
    queue_entry_id id = 0;
    std::chrono::milliseconds retry_after{0};
};

class waiting_line
{
public:
    static constexpr std::chrono::milliseconds min_retry_after{300};
    static constexpr std::chrono::milliseconds max_retry_after{8000};

    explicit waiting_line(policy_source const& policy) : queue_(policy) {}

    /// Adds a request, unless it would wait for too long.
    /// @return whom to refuse: the request itself, or one that yields to it
    std::optional<line_refusal> enter(line_entry const& entry, steady_time now)
    {
        auto const wait = expected_wait(entry.rank);
        if (wait && now + *wait > entry.begin_by)
            return line_refusal{entry.id, retry_after(entry.rank)};
        queue_entry q;
        q.id = entry.id;
        q.organisation = entry.organisation;
        q.rank = rank_of(entry.rank);
        q.tokens = std::uint32_t(std::min<std::uint64_t>(
            std::max<std::uint64_t>(entry.tokens, 1), UINT32_MAX));
        q.due = entry.begin_by;
        auto const pushed = queue_.push(q);
        if (!pushed.accepted)
            return line_refusal{entry.id, retry_after(entry.rank)};
        waiting_.push_back(entry);
        if (!pushed.evicted)
            return std::nullopt;
        leave(*pushed.evicted);
        return line_refusal{*pushed.evicted, retry_after(entry.rank)};
    }

    /// The request whose turn it is.
    std::optional<queue_entry_id> next(steady_time now)
    {
        auto const served = queue_.pop(now);
        if (!served)
            return std::nullopt;
        leave(served->entry.id);
        begun_.push_back(now);
        while (begun_.size() > rate_samples)
            begun_.pop_front();
        return served->entry.id;
    }

    /// Removes a request that ended otherwise.
    void erase(queue_entry_id id)
    {
        queue_.erase(id);
        leave(id);
    }

    /// Removes the requests that did not begin in time.
    std::vector<line_refusal> expired(steady_time now)
    {
        std::vector<line_refusal> late;
        for (auto const& entry : waiting_)
        {
            if (now >= entry.begin_by)
                late.push_back({entry.id, retry_after(entry.rank)});
        }
        for (auto const& refusal : late)
            erase(refusal.id);
        return late;
    }

    std::size_t size() const { return waiting_.size(); }

    /// How long a request of that rank would wait; empty when unknown.
    std::optional<duration> expected_wait(std::uint32_t rank) const
    {
        if (begun_.size() < 2)
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

private:
    static constexpr std::size_t rate_samples = 16;

    static dotterellock::rank rank_of(std::uint32_t rank)
    {
        return all_ranks[std::min<std::size_t>(rank, rank_count - 1)];
    }

    std::chrono::milliseconds retry_after(std::uint32_t rank) const
    {
        auto const wait = expected_wait(rank).value_or(min_retry_after);
        return std::clamp(
            std::chrono::duration_cast<std::chrono::milliseconds>(wait),
            min_retry_after, max_retry_after);
    }

    void leave(queue_entry_id id)
    {
        waiting_.erase(
            std::remove_if(
                waiting_.begin(), waiting_.end(),
                [id](line_entry const& e) { return e.id == id; }),
            waiting_.end());
    }

    fair_queue queue_;
    std::vector<line_entry> waiting_;
    std::deque<steady_time> begun_;
};

} // namespace dotterellock

#endif
