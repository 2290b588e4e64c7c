// Requests that wait until an endpoint of their service has room: by rank,
// with a floor for each rank and a fair share for each organisation. A request
// that cannot begin in time is refused at once, with the time after which the
// line is expected to be shorter.
//
// Load: prompts that fill the memory of all endpoints, from a burst of one
// class or after the loss of a zone.
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
    std::uint32_t rank = 0;       // of the route or organisation; 0 first
    std::uint64_t tokens = 1;     // of its prompt
    steady_time target_start{};   // to meet its target it begins by then
    steady_time start_deadline{}; // refused when it has not begun by then
    bool overdue = false;         // due has passed while it waited
};

struct queue_refusal
{
    queue_entry_id id = 0;
    std::chrono::milliseconds retry_after{0};
};

class request_queue
{
public:
    static constexpr std::chrono::milliseconds min_retry_after{300};
    static constexpr std::chrono::milliseconds max_retry_after{8000};

    explicit request_queue(policy_source const& policy) : queue_(policy) {}

    /// Adds a request, unless it would wait for too long.
    /// @return whom to refuse: the request itself, or one that evicted to it
    std::optional<queue_refusal>
    enqueue(queued_request const& entry, steady_time now);

    /// The request whose turn it is. One that cannot meet its target any more
    /// is treated as one rank less urgent: what is expired by now is worth
    /// about the same a little later, and others may still be in time.
    std::optional<queued_request> pop(steady_time now);

    /// Puts a request back that found no room; it keeps its times.
    void requeue(queued_request const& entry, steady_time now);

    /// Removes a request that ended otherwise.
    void erase(queue_entry_id id);

    /// Removes the requests that did not begin in time.
    std::vector<queue_refusal> remove_expired(steady_time now);

    std::size_t size() const { return waiting_.size(); }

    /// How long a request of that rank would wait; empty when unknown.
    std::optional<duration> expected_wait(std::uint32_t rank) const;

private:
    // Long enough for several prompts, short against a request's patience.
    static constexpr std::chrono::milliseconds rate_window{3000};
    static constexpr std::size_t min_rate_samples = 3;

    std::optional<queue_entry_id>
    insert(queued_request const& entry, steady_time now);
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
