// Carries out the placement orders of the current lease holder, and no order of
// an earlier holder, by loading and unloading models in the engine. Nothing
// else sends orders to the engine. There is one per agent. Not thread-safe: the
// agent serialises all calls with its lock.
//
// Fencing: before each engine order the executor reads the placement order and
// the lease row in one read. It sends the engine order only if both rows have
// the same token and the read started less than `read_validity` ago. So an
// agent that was paused, or replaced and then resumed, never acts on stale
// rows. An engine that checks tokens rejects any stale order that remains. For
// an engine that ignores tokens, the executor waits for one lease term plus
// `read_validity` after it first sees a new token; by then no order under an
// earlier token can still be sent.
#ifndef DOTTERELLOCK_PLACEMENT_PLACEMENT_EXECUTOR_HPP
#define DOTTERELLOCK_PLACEMENT_PLACEMENT_EXECUTOR_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "placement/lease.hpp"
#include "placement/placement_records.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

/// Whether the engine rejects orders with an old token. The setting has no
/// default, since a wrong one could let an old order take effect.
enum class engine_fencing
{
    checks_tokens,
    ignores_tokens
};

/// Callbacks into the agent during a change of placement.
struct placement_hooks
{
    /// Stops accepting work; calls `drained` once no work is in flight.
    std::function<void(std::function<void()> drained)> drain;

    /// Accepts work again, after a completed or an aborted change.
    std::function<void()> resume;

    std::function<void(std::vector<model_ref> const&)> models_changed;
};

class placement_executor
{
public:
    placement_executor(
        endpoint_id endpoint, engine_fencing fencing,
        std::vector<model_ref> loaded, dotterellock::engine& engine,
        clock_source& clock, timer_service& timers, table_service& store,
        placement_hooks hooks, counter_registry& counters);
    ~placement_executor();
    placement_executor(placement_executor const&) = delete;
    placement_executor& operator=(placement_executor const&) = delete;

    /// Keys of the rows that on_rows() expects, in this order; see
    /// registration::watch.
    std::vector<std::string> watched_keys() const;
    void on_rows(std::vector<row> const& rows, steady_time read_started_at);

    std::vector<model_ref> const& loaded() const { return loaded_; }
    bool changing() const { return step_ != step::idle; }

private:
    enum class step
    {
        idle,
        draining,
        verifying,
        ordering
    };

    std::optional<placement_order>
    valid_order(std::vector<row> const& rows, steady_time read_started_at);
    bool must_wait_for_earlier_holder(fencing_token token, duration term);
    void begin_change(placement_order const& order);
    void continue_change();
    std::optional<engine_order> next_engine_order() const;
    void verify_order(engine_order const& order);
    void send_order(engine_order const& order);
    void
    on_order_done(engine_order const& order, std::optional<error> const& e);
    void finish_change();
    void abort_change();

    endpoint_id endpoint_;
    engine_fencing fencing_;
    std::vector<model_ref> loaded_;
    std::string role_;
    engine& engine_;
    clock_source& clock_;
    timer_service& timers_;
    table_service& store_;
    placement_hooks hooks_;

    step step_ = step::idle;
    placement_order target_order_;
    unsigned change_number_ = 0; // tells callbacks of earlier changes apart
    bool drain_requested_ = false;
    fencing_token highest_token_ = 0;
    steady_time orders_allowed_at_; // for orders with the highest token
    steady_time retry_at_;
    timer_id order_timer_ = 0;

    counter& orders_;
    counter& stale_orders_;
    counter& failed_orders_;
    counter& aborted_changes_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
