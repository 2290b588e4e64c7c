// A table service with the client's duties around it: deadlines, concurrency
// and rate budgets with a bounded queue, retries, a circuit breaker, group
// commit of small conditional writes, and resolution of unknown commits by
// reading back. Soft state only. Called under the lock of the object graph
// that owns it.
#ifndef DOTTERELLOCK_STORE_STORE_CLIENT_HPP
#define DOTTERELLOCK_STORE_STORE_CLIENT_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/platform.hpp>
#include <dotterellock/runtime.hpp>

#include "store/callback_guard.hpp"

namespace dotterellock
{

struct store_settings
{
    std::size_t max_concurrent = 32; // requests under way; reads and writes
                                     // are counted apart
    std::size_t max_queued = 1024;   // waiting; reads and writes apart
    double writes_per_second = 200;  // transactions; 0: unlimited
    double reads_per_second = 1000;  // 0: unlimited
    double burst_seconds = 0.25;     // of unused budget that may be saved
    std::chrono::milliseconds request_timeout{1000}; // of one request
    std::chrono::milliseconds retry_delay{20};       // first; then doubled
    std::chrono::milliseconds max_retry_delay{1000};
    std::uint32_t breaker_failures = 5; // consecutive, until it opens
    std::chrono::milliseconds breaker_open_for{1000}; // until a probe
    std::chrono::milliseconds batch_delay{5};         // 0: no group commit
    std::size_t max_batch_writes = 64;
    std::size_t max_batch_value_bytes = 16 * 1024; // larger goes alone
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

    /// A commit whose writes all have a value and a condition is resolved by
    /// reading back when its answer is lost; the caller makes these values
    /// unique, or an equal value of another writer counts as its own.
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
    table_service& backend_;
};

} // namespace dotterellock

#endif
