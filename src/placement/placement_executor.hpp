// The only source of orders to the engine, in the agent beside it: carries out
// what the holder of the placement lease wants, and nothing of an earlier
// holder. One per agent, owns its state, called under the agent's lock.
//
// Fencing. An order is followed only if its token is the one in the lease row,
// as one read shows both, and that read began less than `read_validity` before
// the order goes out; each order to the engine is preceded by such a read. So
// an agent that pauses, and an agent that was replaced and wakes up, sends no
// order on the strength of old rows. An engine that checks tokens rejects the
// rest. For an engine that ignores them the gate lets the earlier holder's
// term pass after it first saw a token, by which time no order under an
// earlier token can still be sent.
#ifndef DOTTERELLOCK_PLACEMENT_PLACEMENT_GATE_HPP
#define DOTTERELLOCK_PLACEMENT_PLACEMENT_GATE_HPP

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

/// Whether the engine rejects orders with an old token. A required setting:
/// the wrong guess would let an old order take effect.
enum class engine_fencing
{
    checks_tokens,
    ignores_tokens
};

/// The agent's part in a change of placement.
struct placement_hooks
{
    /// Stops new work; calls back once no work is in flight.
    std::function<void(std::function<void()> drained)> drain;

    /// Takes new work again; also when a drain is given up.
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

    /// The rows to pass to on_rows, in this order; see registration::watch.
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
    unsigned change_number_ = 0; // number of the present change
    bool drain_requested_ = false;
    fencing_token highest_token_ = 0;
    steady_time orders_allowed_at_; // under the highest token
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
