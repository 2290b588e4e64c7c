// Queue of requests that wait for capacity at an endpoint of their service.
// Ordered by rank, with a minimum share for each rank and a fair share for each
// organisation. A request that is predicted to start too late is refused, on
// arrival or while it waits, with a time at which its caller may come back.
//
// Designed for prompts that fill the memory of all endpoints, in a burst of one
// rank or organisation or after the loss of a zone, with some hundred requests
// waiting at one gateway.
#ifndef DOTTERELLOCK_GATEWAY_REQUEST_QUEUE_HPP
#define DOTTERELLOCK_GATEWAY_REQUEST_QUEUE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "queueing/fair_queue.hpp"
#include "start_prediction.hpp"

namespace dotterellock
{

struct queued_request
{
    queue_entry_id id = 0; // increases with each request
    organisation_id organisation;
    std::uint32_t rank = 0;   // of the route or organisation; 0 is most urgent
    std::uint64_t tokens = 1; // prompt tokens
    steady_time received{};
    steady_time target_start{};   // latest start that meets the latency target
    steady_time start_deadline{}; // refused if not started by then
    steady_time deadline{};       // of the caller

    // Its caller has part of the answer: it is neither evicted nor refused, and
    // waits until its own deadline.
    bool begun = false;

    // Its target_start passed while it waited.
    bool overdue = false;

    /// Whether to refuse it as it cannot start before that time.
    bool too_late_at(steady_time earliest_start) const
    {
        return !begun && earliest_start >= start_deadline;
    }
};

enum class refusal_reason
{
    late_start,  // predicted to start too late
    not_started, // did not start in time
    queue_full   // evicted, or found no place
};

char const* to_string(refusal_reason reason);

struct queue_refusal
{
    queue_entry_id id = 0;
    std::chrono::milliseconds retry_after{0};
    refusal_reason reason = refusal_reason::not_started;

    // Time from now on until it would have started; empty if unknown.
    std::optional<duration> predicted_wait;
};

/// What a request would find if it were enqueued.
struct queue_forecast
{
    std::size_t waiting = 0;      // of all ranks
    std::size_t ahead = 0;        // of the same or a more urgent rank
    std::optional<duration> wait; // predicted; empty: unknown
    std::optional<refusal_reason> refused;
    retry_range retry_after{}; // if refused
};

class request_queue
{
public:
    request_queue(policy_source const& policy, random_source& random)
        : queue_(policy), policy_(policy), random_(random)
    {
    }

    /// Adds a request unless it is predicted to start too late.
    /// @return the refused request: the new one, or one evicted in its favour
    std::optional<queue_refusal>
    enqueue(queued_request const& entry, steady_time now);

    /// Removes and returns the next request. One that can no longer meet its
    /// target is treated as one rank less urgent, and starts after those of its
    /// organisation that can: it loses little by waiting longer, and others may
    /// still meet theirs.
    std::optional<queued_request> pop(steady_time now);

    /// Returns a request that found no capacity to its place, with its original
    /// times.
    void requeue(queued_request const& entry);

    /// Removes a request that ended for another reason.
    void erase(queue_entry_id id);

    /// Removes and returns the requests that cannot start in time.
    std::vector<queue_refusal> remove_expired(steady_time earliest_start);

    /// Removes and returns the requests that are predicted to start too late.
    std::vector<queue_refusal> remove_unservable(steady_time now);

    /// What enqueue() would do with a request that arrives now, and the removal
    /// after it. Its id must be above all others.
    queue_forecast forecast(queued_request const& entry, steady_time now) const;

    /// Range from which the Retry-After of a refused request is drawn.
    /// @param wait  predicted for the request that its caller may send later;
    ///              empty if unknown, as while none waits
    static retry_range retry_range_after(
        queued_request const& entry, std::optional<duration> wait,
        steady_time now);

    std::size_t size() const { return waiting_.size(); }

    /// Requests of the same or a more urgent rank that wait.
    std::size_t ahead_of(queued_request const& entry, steady_time now) const;

    /// Predicted wait of a request, whether it is in the queue or not; empty if
    /// the pace is unknown.
    std::optional<duration>
    predicted_wait(queued_request const& entry, steady_time now) const;

private:
    // The prediction changes with each start and arrival; a gateway has a few
    // of these a second.
    static constexpr std::chrono::milliseconds check_interval{100};

    class snapshot;

    void demote_overdue(steady_time now);
    retry_range
    retry_range_of(queued_request const& entry, steady_time now) const;
    queue_refusal refuse(
        queued_request const& entry, refusal_reason reason,
        std::optional<duration> wait, steady_time now);

    fair_queue queue_;
    policy_source const& policy_;
    random_source& random_;
    std::optional<served_entry> last_served_;
    std::map<queue_entry_id, queued_request> waiting_;
    start_pace pace_;
    steady_time last_check_{};
};

} // namespace dotterellock

#endif
