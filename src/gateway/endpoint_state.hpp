// What a gateway knows of one incarnation of an endpoint: its registration,
// its own work there and how that work fared. Decisions read it; only the
// table and the relays change it.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_STATE_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_STATE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

/// One row of the platform's list of endpoints.
struct endpoint_record
{
    endpoint_id id; // of one incarnation, unless it restarted under its id
    service_name service;
    std::string address; // IP:PORT
    zone_id zone;
    std::uint64_t incarnation_start =
        0; // start of the incarnation; 0 when not stated
    std::uint32_t slots = 1;
    bool draining = false;
};

/// What an endpoint says of its load, as of some moment before.
struct endpoint_report
{
    struct run
    {
        std::uint64_t memory_tokens = 0;
        std::uint64_t events = 0;
    };

    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint64_t used_tokens = 0; // memory that cannot yield
    std::uint64_t total_tokens = 0;
    std::map<std::string, run> runs; // by request id
};

/// How one attempt at an endpoint unused, as far as its health is concerned.
enum class attempt_outcome
{
    served,
    failed_answer, // it answered with an error of its own
    refused,       // it proved that it did not run the request
    misdirected,   // another incarnation has the address
    unreachable,   // no connection
    lost,          // a connection broke, or carried no answer
    silent         // nothing came for too long
};

class endpoint_state
{
public:
    explicit endpoint_state(endpoint_record record) : record_(std::move(record))
    {
    }

    endpoint_record const& record() const { return record_; }
    void update(endpoint_record record)
    {
        record_ = std::move(record);
        listed_ = true;
    }

    /// The platform's list does not name it any more.
    void mark_unlisted() { listed_ = false; }
    bool listed() const { return listed_; }

    // Registration ----------------------------------------------------------

    /// Takes no new work but as a last resort until `until`.
    void set_leaving(steady_time until)
    {
        if (!leave_deadline_ || until < *leave_deadline_)
            leave_deadline_ = until;
    }
    void clear_leaving() { leave_deadline_.reset(); }
    bool leaving() const { return leave_deadline_.has_value(); }
    bool has_left(steady_time now) const
    {
        return leave_deadline_ && now >= *leave_deadline_;
    }

    // Health ----------------------------------------------------------------

    void record_outcome(attempt_outcome outcome, steady_time now);

    /// Another gateway lost it, while nothing was heard of it here.
    void record_peer_failure(steady_time now)
    {
        last_failure_ = now;
        suspended_until_ = std::max(suspended_until_, now + initial_suspension);
    }

    /// Bytes came from it, or a connection was accepted.
    void record_activity(steady_time now) { last_activity_ = now; }
    steady_time last_activity() const { return last_activity_; }

    bool suspended(steady_time now) const { return now < suspended_until_; }
    steady_time last_failure() const { return last_failure_; }

    /// Share of recent attempts that did not end in an answer, 0 to 1.
    double failure_rate() const { return failure_rate_; }

    /// Share of recent answers that were errors of the endpoint's own.
    double error_rate() const { return error_rate_; }

    void record_latency(std::chrono::microseconds latency);
    std::chrono::microseconds latency() const { return latency_; }
    bool has_latency() const { return latency_.count() > 0; }

    // Work of others --------------------------------------------------------

    /// What the endpoint says of its load, and so of other gateways' work.
    void record_report(endpoint_report const& report, steady_time now);

    /// Memory that others use; 0 when no recent report tells.
    std::uint64_t tokens_used_by_others(steady_time now) const
    {
        return report_recent(now) ? tokens_used_by_others_ : 0;
    }

    /// Requests that wait there for memory or a slot.
    std::uint32_t reported_waiting(steady_time now) const
    {
        return report_recent(now) ? reported_waiting_ : 0;
    }

    /// A report was asked for; the last one stays in force until it comes.
    void record_report_request(steady_time now) { reported_at_ = now; }
    steady_time reported_at() const { return reported_at_; }

    // Own work --------------------------------------------------------------

    struct workload
    {
        std::uint32_t requests = 0;       // under way
        std::uint64_t memory_tokens = 0;  // of those, and of standby copies
        std::uint64_t prefill_tokens = 0; // not yet answered by an event
    };

    workload load; // maintained by endpoint_reservation

private:
    // Reports are some hundred milliseconds old when they come.
    static constexpr std::chrono::milliseconds report_validity{1500};

    bool report_recent(steady_time now) const
    {
        return now - reported_at_ < report_validity;
    }

    // A short suspension first, as a crashed endpoint may be back at once;
    // doubled while it keeps failing.
    static constexpr std::chrono::milliseconds initial_suspension{400};
    static constexpr std::chrono::milliseconds max_suspension{3000};

    // One attempt moves the rates by this much of the difference.
    static constexpr double rate_smoothing = 0.15;

    endpoint_record record_;
    bool listed_ = true;
    std::optional<steady_time> leave_deadline_;
    steady_time suspended_until_{};
    steady_time last_failure_{};
    steady_time last_activity_{};
    std::chrono::milliseconds next_suspension_ = initial_suspension;
    double failure_rate_ = 0;
    double error_rate_ = 0;
    std::chrono::microseconds latency_{0};
    steady_time reported_at_{};
    std::uint64_t tokens_used_by_others_ = 0;
    std::uint32_t reported_waiting_ = 0;
};

/// Counts one attempt or standby copy in its endpoint's workload while it
/// lives.
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

    /// The prompt has been read; the memory stays in use.
    void prefill_done();

private:
    std::shared_ptr<endpoint_state> endpoint_;
    endpoint_state::workload workload_;
};

} // namespace dotterellock

#endif
