// Wraps a table service with deadlines, concurrency and rate limits with a
// bounded queue, retries, a circuit breaker, group commit of small conditional
// writes, and resolution of commits with an unknown result by reading the rows
// back. Holds no state that must survive a restart. Called under the lock of
// the object graph that owns it.
#ifndef DOTTERELLOCK_STORE_STORE_CLIENT_HPP
#define DOTTERELLOCK_STORE_STORE_CLIENT_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "store/callback_guard.hpp"

namespace dotterellock
{

struct store_settings
{
    std::size_t max_concurrent_requests = 32; // in flight; reads and writes
                                              // are counted separately
    std::size_t max_queued_requests = 1024;   // waiting; counted separately
    double writes_per_second = 200;           // transactions; 0: unlimited
    double reads_per_second = 1000;           // 0: unlimited
    double burst_seconds = 0.25; // bucket capacity, in seconds of the rate
    // For the first request of an operation, doubled for each further one.
    // Half of the default validity of an offer, so that a claim whose response
    // was lost is read back while its permit can still be used.
    std::chrono::milliseconds request_timeout{250};
    std::chrono::milliseconds max_request_timeout{4000};
    std::chrono::milliseconds retry_delay{20}; // doubled per retry
    std::chrono::milliseconds max_retry_delay{1000};
    std::uint32_t breaker_failure_threshold = 10;         // consecutive
    std::chrono::milliseconds breaker_open_duration{500}; // until a probe
    std::chrono::milliseconds batch_delay{5};             // 0: no group commit
    std::size_t max_batch_writes = 64;
    std::size_t max_batch_value_bytes = 16 * 1024; // larger: sent alone
};

class store_client : public table_service
{
public:
    store_client(
        table_service& backend, clock_source& clock, timer_service& timers,
        random_source& random, store_settings settings,
        counter_registry& counters);
    ~store_client() override;

    store_client(store_client const&) = delete;
    store_client& operator=(store_client const&) = delete;

    /// When the response to a commit is lost and all its writes have a value
    /// and a condition, the result is determined by reading the rows back.
    /// The caller must make these values unique, or an equal value from
    /// another writer is taken for its own.
    void commit(
        std::vector<row_write> writes, duration timeout,
        std::function<void(commit_result)> done) override;

    void read(
        std::vector<std::string> keys, duration timeout,
        std::function<void(read_result)> done) override;

    void scan(
        std::string prefix, duration timeout,
        std::function<void(read_result)> done) override;

private:
    /// A commit of one caller, across batches and retries.
    struct commit_op
    {
        std::vector<row_write> writes;
        steady_time deadline;
        timer_id timer = 0;
        std::function<void(commit_result)> done; // empty once completed
        std::uint32_t attempts = 0;
        bool in_flight = false;
        bool in_doubt = false; // response lost; may have been applied
    };
    using batch = std::vector<std::shared_ptr<commit_op>>;

    /// A read or scan of one caller, across retries.
    struct read_op
    {
        std::function<void(duration, std::function<void(read_result)>)> send;
        steady_time deadline;
        timer_id timer = 0;
        std::function<void(read_result)> done; // empty once completed
        std::uint32_t attempts = 0;
    };
    using read_op_ptr = std::shared_ptr<read_op>;

    /// A request that waits for a slot and a token. `start` returns false when
    /// it sent nothing, so that neither is consumed.
    struct queued_request
    {
        std::function<bool()> start;
        std::function<void()> refuse;
    };

    /// Queue, concurrency limit and token bucket of the reads or the writes.
    struct request_limiter
    {
        double rate = 0; // per second; 0: unlimited
        std::deque<queued_request> queued;
        std::size_t active = 0;
        double tokens = 0;
        steady_time last_refill;
        timer_id wake_timer = 0;
        counter* requests = nullptr;
    };

    enum class breaker_state
    {
        closed,
        open,
        probing // half open: one request in flight
    };

    void enqueue(request_limiter& limiter, queued_request request);
    void start_queued(request_limiter& limiter);
    void refill(request_limiter& limiter);
    template<typename Result, typename Send, typename OnResult>
    void send_request(
        request_limiter& limiter, duration timeout, Send send,
        OnResult on_result);

    bool breaker_permits();
    void breaker_record(std::uint64_t epoch, store_status status);

    bool is_batchable(commit_op const& op) const;
    void add_to_batch(std::shared_ptr<commit_op> op);
    void flush_batch();
    void enqueue_batch(batch const& ops);
    void enqueue_batch_after(duration delay, batch const& ops);
    bool send_batch(batch const& ops);
    void on_commit_result(batch const& ops, commit_result const& result);
    void on_committed(batch const& ops, commit_result const& result);
    void on_conflict(batch const& ops, commit_result const& result);
    void on_unknown(batch const& ops);
    void read_back(batch const& ops);
    void resolve_commits(batch const& ops, std::vector<row> const& rows);
    void complete(commit_op& op, commit_result result);
    void fail_commit(commit_op& op);

    void start_read(read_op_ptr const& op, duration timeout);
    void enqueue_read(read_op_ptr const& op);
    void complete(read_op& op, read_result result);

    duration
    request_timeout(steady_time deadline, std::uint32_t attempts) const;
    duration backoff(std::uint32_t attempts);
    void schedule(duration delay, std::function<void()> action);

    table_service& backend_;
    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    store_settings settings_;

    request_limiter writes_;
    request_limiter reads_;
    batch pending_batch_; // waiting for batch_delay
    std::size_t pending_batch_bytes_ = 0;
    timer_id flush_timer_ = 0;

    breaker_state breaker_state_ = breaker_state::closed;
    std::uint32_t consecutive_failures_ = 0;
    std::uint64_t breaker_epoch_ = 0; // results from earlier epochs are ignored
    steady_time breaker_open_until_;

    counter& retries_;
    counter& refused_;
    counter& read_backs_;
    counter& breaker_opened_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
