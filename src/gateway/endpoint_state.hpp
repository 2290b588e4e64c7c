// State of one incarnation of an endpoint as seen by this gateway: its
// registration, the gateway's own work there and the outcome of that work. Only
// endpoint_table and the relay modify it.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_STATE_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_STATE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "endpoint_request_limit.hpp"
#include "event_pace.hpp"

namespace dotterellock
{

/// One row of the platform's endpoint list.
struct endpoint_record
{
    endpoint_id id; // per incarnation, unless restarted under the same id
    service_name service;
    std::string address; // IP:PORT
    zone_id zone;
    std::uint64_t incarnation_start = 0; // 0: unknown
    std::uint32_t slots = 1;
    std::string version; // of the software; empty: not known
    bool draining = false;
};

/// Load that an endpoint reported some time ago.
struct endpoint_report
{
    struct run
    {
        std::uint64_t memory_tokens = 0;
        std::uint64_t events = 0;
    };

    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t used_tokens = 0; // memory that cannot be reclaimed
    std::uint64_t total_tokens = 0;
    std::map<std::string, run> runs; // by request id
};

/// Outcome of one attempt with regard to the endpoint's health.
enum class attempt_outcome
{
    served,
    failed_answer, // the endpoint answered with an error
    refused,       // proved that it did not run the request
    misdirected,   // the address belongs to another incarnation
    unreachable,   // no connection
    lost,          // the connection broke or carried no answer
    silent         // no data within the time limit
};

class endpoint_state
{
public:
    static constexpr std::chrono::seconds max_pause{60};

    explicit endpoint_state(endpoint_record record) : record_(std::move(record))
    {
    }

    endpoint_record const& record() const { return record_; }
    void update(endpoint_record record)
    {
        record_ = std::move(record);
        listed_ = true;
    }

    /// Called when the platform's list no longer contains the endpoint.
    void mark_unlisted() { listed_ = false; }
    bool listed() const { return listed_; }

    // Registration ----------------------------------------------------------

    /// Accepts new work only as a last resort, and none from `until` on.
    /// @return whether its registration did not say so before
    bool set_leaving(steady_time until)
    {
        return set_earlier(leave_deadline_, until);
    }

    /// Revokes set_leaving(), but not an announcement: the registration may be
    /// older than that.
    void clear_leaving() { leave_deadline_.reset(); }

    /// As set_leaving(), for an answer of the endpoint that says so. Holds for
    /// the rest of this incarnation.
    /// @return whether it is the first announcement
    bool announce_leaving(steady_time until)
    {
        return set_earlier(announced_deadline_, until);
    }

    bool leaving() const { return leave_deadline_ || announced_deadline_; }
    bool has_left(steady_time now) const
    {
        return (leave_deadline_ && now >= *leave_deadline_) ||
               (announced_deadline_ && now >= *announced_deadline_);
    }
    std::optional<steady_time> announced_deadline() const
    {
        return announced_deadline_;
    }

    /// A refusal said how long to send nothing. Does not shorten a pause.
    /// @return the bounded time from now on
    std::chrono::milliseconds
    pause(std::chrono::milliseconds wait, steady_time now)
    {
        auto const bounded =
            std::min<std::chrono::milliseconds>(wait, max_pause);
        paused_until_ = std::max(paused_until_, now + bounded);
        return bounded;
    }

    bool paused(steady_time now) const { return now < paused_until_; }
    steady_time paused_until() const { return paused_until_; }

    /// Whether the gateway may send anything to the endpoint.
    bool accepts_requests(steady_time now) const
    {
        return !has_left(now) && !paused(now);
    }

    // Health ----------------------------------------------------------------

    void record_outcome(attempt_outcome outcome, steady_time now);

    /// Another gateway reported a failure, and this one has had no recent
    /// activity from the endpoint.
    void record_peer_failure(steady_time now)
    {
        last_failure_ = now;
        suspended_until_ = std::max(suspended_until_, now + initial_suspension);
    }

    /// Data was received or a connection was accepted.
    void record_activity(steady_time now) { last_activity_ = now; }
    steady_time last_activity() const { return last_activity_; }

    bool suspended(steady_time now) const { return now < suspended_until_; }
    steady_time last_failure() const { return last_failure_; }

    /// Fraction of recent attempts that got no answer, 0 to 1.
    double failure_rate() const { return failure_rate_; }

    /// Fraction of recent answers that were errors of the endpoint, 0 to 1.
    double error_rate() const { return error_rate_; }

    void record_latency(std::chrono::microseconds latency);
    std::chrono::microseconds latency() const { return latency_; }
    bool has_latency() const { return latency_.count() > 0; }

    /// Whether the endpoint has no room for another call of this gateway: it
    /// refused one a moment ago, or as many run as it took before it refused.
    bool full(steady_time now) const
    {
        return now < full_until_ ||
               (now < limited_until_ && double(load.requests) >= call_limit_);
    }

    event_pace pace; // of the streams there

    endpoint_request_limit request_limit;

    // Work of other gateways -------------------------------------------------

    /// Records the endpoint's load report, which includes the work of other
    /// gateways.
    /// @param at  when it was made; an earlier one than the last is ignored
    void record_report(endpoint_report const& report, steady_time at);

    /// Memory in use by other gateways; 0 without a recent report.
    std::uint64_t tokens_used_by_others(steady_time now) const
    {
        return report_recent(now) ? tokens_used_by_others_ : 0;
    }

    steady_time last_report_at() const { return reported_at_; }

    /// Requests that other gateways run there; 0 without a recent report.
    std::uint32_t running_for_others(steady_time now) const
    {
        return report_recent(now) ? running_for_others_ : 0;
    }

    /// The last report, for other gateways; nothing if it is too old.
    std::optional<endpoint_report> recent_report(steady_time now) const;

    /// Requests that wait at the endpoint for memory or a slot.
    std::uint32_t reported_waiting(steady_time now) const
    {
        return report_recent(now) ? reported_waiting_ : 0;
    }

    /// A report was requested; the previous one stays valid meanwhile.
    void record_report_request(steady_time now) { report_requested_at_ = now; }
    steady_time last_report_attempt() const
    {
        return std::max(reported_at_, report_requested_at_);
    }

    // Own work --------------------------------------------------------------

    struct workload
    {
        std::uint32_t requests = 0;       // in progress
        std::uint64_t memory_tokens = 0;  // including standby copies
        std::uint64_t prefill_tokens = 0; // of prompts without an event
    };

    workload load; // updated by endpoint_reservation

private:
    // Reports are some hundred milliseconds old on arrival.
    static constexpr std::chrono::milliseconds report_validity{1500};

    static bool
    set_earlier(std::optional<steady_time>& deadline, steady_time until)
    {
        bool const first = !deadline;
        deadline = first ? until : std::min(*deadline, until);
        return first;
    }

    bool report_recent(steady_time now) const
    {
        return now - reported_at_ < report_validity;
    }

    // The first suspension is short, as a crashed endpoint may be back at once.
    // It doubles with each further failure.
    static constexpr std::chrono::milliseconds initial_suspension{400};
    static constexpr std::chrono::milliseconds max_suspension{3000};

    void record_refusal(steady_time now);

    // Nothing is sent for about one call after a refusal, as one of those that
    // run has ended by then; twice as long after each further refusal.
    static constexpr std::chrono::milliseconds min_full_time{20};
    static constexpr std::chrono::milliseconds max_full_time{160};

    // Without a further refusal in this time, the endpoint has room again.
    static constexpr std::chrono::milliseconds limit_time{1000};

    // Weight of one attempt in the moving averages.
    static constexpr double rate_smoothing = 0.15;

    endpoint_record record_;
    bool listed_ = true;
    std::optional<steady_time> leave_deadline_;     // of the registration
    std::optional<steady_time> announced_deadline_; // of an answer
    steady_time paused_until_{};
    steady_time suspended_until_{};
    steady_time last_failure_{};
    steady_time last_activity_{};
    std::chrono::milliseconds next_suspension_ = initial_suspension;
    steady_time full_until_{};
    steady_time limited_until_{};
    duration next_full_time_{};
    double call_limit_ = std::numeric_limits<double>::infinity();
    double failure_rate_ = 0;
    double error_rate_ = 0;
    std::chrono::microseconds latency_{0};
    steady_time reported_at_{};
    steady_time report_requested_at_{};
    std::uint64_t reported_tokens_ = 0;
    std::uint64_t tokens_used_by_others_ = 0;
    std::uint32_t reported_running_ = 0;
    std::uint32_t running_for_others_ = 0;
    std::uint32_t reported_waiting_ = 0;
};

/// Adds one attempt or standby copy to the endpoint's workload for the lifetime
/// of the object.
class endpoint_reservation
{
public:
    endpoint_reservation() = default;
    endpoint_reservation(
        std::shared_ptr<endpoint_state> endpoint,
        endpoint_state::workload const& workload);
    endpoint_reservation(endpoint_reservation&& other) noexcept
        : endpoint_(std::move(other.endpoint_)), workload_(other.workload_)
    {
        other.endpoint_.reset();
    }
    endpoint_reservation& operator=(endpoint_reservation&& other) noexcept;
    ~endpoint_reservation() { release(); }

    void release();

    /// Prefill has finished; the memory stays in use.
    void prefill_done();

private:
    std::shared_ptr<endpoint_state> endpoint_;
    endpoint_state::workload workload_;
};

} // namespace dotterellock

#endif
