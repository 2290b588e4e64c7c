// Queue of requests that wait for capacity at an endpoint of their service.
// Ordered by rank, with a minimum share for each rank and a fair share for each
// organisation. A request that cannot start in time is refused at once, with
// the time after which the queue is expected to be shorter.
//
// Designed for prompts that fill the memory of all endpoints, in a burst of one
// rank or after the loss of a zone.
#ifndef DOTTERELLOCK_GATEWAY_REQUEST_QUEUE_HPP
#define DOTTERELLOCK_GATEWAY_REQUEST_QUEUE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "queueing/fair_queue.hpp"

namespace dotterellock
{

struct queued_request
{
    queue_entry_id id = 0;
    organisation_id organisation;
    std::uint32_t rank = 0;   // of the route or organisation; 0 is most urgent
    std::uint64_t tokens = 1; // prompt tokens
    steady_time target_start{};   // latest start that meets the latency target
    steady_time start_deadline{}; // refused if not started by then

    // Its caller has part of the answer: it is neither demoted nor evicted nor
    // refused, and waits until its own deadline.
    bool begun = false;
    bool overdue = false; // target_start passed while waiting

    /// Whether to refuse it as it cannot start before that time.
    bool too_late_at(steady_time earliest_start) const
    {
        return !begun && earliest_start >= start_deadline;
    }
};

struct queue_refusal
{
    queue_entry_id id = 0;
    std::chrono::milliseconds retry_after{0};
};

/// What a request would find if it were enqueued.
struct queue_forecast
{
    std::size_t waiting = 0;      // of all ranks
    std::size_t ahead = 0;        // of the same or a more urgent rank
    std::optional<duration> wait; // expected; empty: unknown
    std::optional<std::chrono::milliseconds> refused; // with this Retry-After
};

class request_queue
{
public:
    static constexpr std::chrono::milliseconds min_retry_after{300};
    static constexpr std::chrono::milliseconds max_retry_after{8000};

    explicit request_queue(policy_source const& policy) : queue_(policy) {}

    /// Adds a request unless its expected wait is too long.
    /// @return the refused request: the new one, or one evicted in its favour
    std::optional<queue_refusal>
    enqueue(queued_request const& entry, steady_time now);

    /// Removes and returns the next request. A request that can no longer meet
    /// its target is treated as one rank less urgent: it loses little by
    /// waiting longer, and others may still meet theirs.
    std::optional<queued_request> pop(steady_time now);

    /// Returns a request that found no capacity to its place, with its original
    /// times.
    void requeue(queued_request const& entry, steady_time now);

    /// Removes a request that ended for another reason.
    void erase(queue_entry_id id);

    /// Removes and returns the requests that cannot start in time.
    std::vector<queue_refusal> remove_expired(steady_time earliest_start);

    /// What enqueue() would do with a request of an unused id.
    queue_forecast forecast(queued_request const& entry, steady_time now) const;

    std::size_t size() const { return waiting_.size(); }

    /// Expected wait of a request of that rank; empty if unknown.
    std::optional<duration> expected_wait(std::uint32_t rank) const;

private:
    // Covers several prompts, yet is short compared with the time that requests
    // may wait.
    static constexpr std::chrono::milliseconds rate_window{3000};
    static constexpr std::size_t min_rate_samples = 3;

    std::optional<queue_entry_id>
    insert(queued_request const& entry, steady_time now);
    std::size_t waiting_up_to(std::uint32_t rank) const;
    std::optional<duration> expected_wait(
        std::uint32_t rank,
        std::deque<steady_time>::const_iterator const& first_start) const;
    std::chrono::milliseconds retry_after(std::uint32_t rank) const;
    void prune_start_times(steady_time now);
    void demote_overdue(steady_time now);

    fair_queue queue_;
    std::optional<served_entry> last_served_;
    std::map<queue_entry_id, queued_request> waiting_;
    std::deque<steady_time> start_times_; // within rate_window
};

} // namespace dotterellock

#endif
