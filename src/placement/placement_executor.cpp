#include "placement/placement_executor.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Maximum time from the start of a read to the order based on it; also the
// timeout of the read.
constexpr milliseconds read_validity{1000};
// Loading tens of GB of weights from a rate-limited store takes minutes.
constexpr minutes order_timeout{15};
constexpr seconds retry_interval{5};

bool contains(std::vector<model_ref> const& models, model_ref const& model)
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

placement_executor::placement_executor(
    endpoint_id endpoint, engine_fencing fencing, std::vector<model_ref> loaded,
    dotterellock::engine& engine, clock_source& clock, timer_service& timers,
    table_service& store, placement_hooks hooks, counter_registry& counters)
    : endpoint_(std::move(endpoint)), fencing_(fencing),
      loaded_(std::move(loaded)), engine_(engine), clock_(clock),
      timers_(timers), store_(store), hooks_(std::move(hooks)),
      orders_(counters.counter("placement_orders_total")),
      stale_orders_(counters.counter("placement_stale_orders_total")),
      failed_orders_(counters.counter("placement_failed_orders_total")),
      aborted_changes_(counters.counter("placement_changes_given_up_total"))
{
}

placement_executor::~placement_executor()
{
    timers_.cancel(order_timer_);
}

std::vector<std::string> placement_executor::watched_keys() const
{
    return {placement_key(endpoint_), lease_key(placement_lease_name)};
}

void placement_executor::on_rows(
    std::vector<row> const& rows, steady_time read_started_at)
{
    auto const order = valid_order(rows, read_started_at);
    if (step_ == step::draining && (!order || !(*order == target_order_)))
    {
        abort_change();
        return;
    }
    if (step_ != step::idle || !order || clock_.now() < retry_at_)
        return;
    target_order_ = *order;
    if (next_engine_order())
        begin_change(*order);
}

std::optional<placement_order> placement_executor::valid_order(
    std::vector<row> const& rows, steady_time read_started_at)
{
    if (rows.size() != 2 || clock_.now() - read_started_at > read_validity)
        return std::nullopt;
    auto const order = decode_placement_order(rows[0].value);
    auto const lease = decode_lease_record(rows[1].value);
    if (!order || !lease)
        return std::nullopt;
    bool const stale =
        order->token != lease->token || order->token < highest_token_;
    // Called for stale orders as well: a newer token in the lease row starts
    // the wait even before an order with this token exists.
    bool const waits = must_wait_for_earlier_holder(lease->token, lease->term);
    if (stale)
    {
        stale_orders_.add();
        return std::nullopt;
    }
    if (waits)
        return std::nullopt;
    return order;
}

bool placement_executor::must_wait_for_earlier_holder(
    fencing_token token, duration term)
{
    if (token > highest_token_)
    {
        highest_token_ = token;
        // Also waits after the start of this process: an earlier, paused agent
        // of the same engine may still be about to send an order.
        bool const waits = fencing_ == engine_fencing::ignores_tokens;
        orders_allowed_at_ =
            clock_.now() + (waits ? term + read_validity : duration{});
    }
    return clock_.now() < orders_allowed_at_;
}

void placement_executor::begin_change(placement_order const& order)
{
    ++change_number_;
    bool const unloads = std::any_of(
        loaded_.begin(), loaded_.end(),
        [&order](model_ref const& m) { return !contains(order.models, m); });
    if (!unloads)
    {
        continue_change();
        return;
    }
    step_ = step::draining;
    drain_requested_ = true;
    auto const on_drained = [this, change = change_number_]
    {
        if (change == change_number_ && step_ == step::draining)
            continue_change();
    };
    hooks_.drain(guard_.wrap(on_drained));
}

/// The next order for the engine; empty once it serves the target models.
std::optional<engine_order> placement_executor::next_engine_order() const
{
    engine_order order;
    order.token = target_order_.token;
    for (auto const& m : loaded_)
    {
        if (contains(target_order_.models, m))
            continue;
        order.kind = order_kind::unload;
        order.model = m;
        return order;
    }
    for (auto const& m : target_order_.models)
    {
        if (contains(loaded_, m))
            continue;
        order.kind = order_kind::load;
        order.model = m;
        return order;
    }
    if (target_order_.role.empty() || target_order_.role == role_)
        return std::nullopt;
    order.kind = order_kind::set_role;
    order.role = target_order_.role;
    return order;
}

void placement_executor::continue_change()
{
    auto const order = next_engine_order();
    if (order)
        verify_order(*order);
    else
        finish_change();
}

void placement_executor::verify_order(engine_order const& order)
{
    step_ = step::verifying;
    steady_time const read_started_at = clock_.now();
    auto const on_answer = [this, order, read_started_at,
                            change = change_number_](read_result const& result)
    {
        if (change != change_number_ || step_ != step::verifying)
            return;
        bool const answered = result.status == store_status::ok;
        auto const present =
            answered ? valid_order(result.rows, read_started_at) : std::nullopt;
        if (present && *present == target_order_)
            send_order(order);
        else
            abort_change();
    };
    store_.read(watched_keys(), read_validity, guard_.wrap(on_answer));
}

void placement_executor::send_order(engine_order const& order)
{
    step_ = step::ordering;
    orders_.add();
    auto const on_done =
        [this, order, change = change_number_](std::optional<error> const& e)
    {
        if (change == change_number_ && step_ == step::ordering)
            on_order_done(order, e);
    };
    order_timer_ = timers_.schedule(
        order_timeout,
        [on_done]
        {
            on_done(error(
                error_code::deadline_exceeded, "order", "engine",
                "engine did not answer the order in time"));
        });
    engine_.order(order, guard_.wrap(on_done));
}

void placement_executor::on_order_done(
    engine_order const& order, std::optional<error> const& e)
{
    timers_.cancel(order_timer_);
    if (e)
    {
        failed_orders_.add();
        abort_change();
        return;
    }
    if (order.kind == order_kind::load)
        loaded_.push_back(order.model);
    else if (order.kind == order_kind::unload)
        loaded_.erase(std::find(loaded_.begin(), loaded_.end(), order.model));
    else
        role_ = order.role;
    if (order.kind != order_kind::set_role)
        hooks_.models_changed(loaded_);
    continue_change();
}

void placement_executor::finish_change()
{
    step_ = step::idle;
    if (std::exchange(drain_requested_, false))
        hooks_.resume();
}

/// Keeps serving the loaded models; the next rows are evaluated again after
/// `retry_interval`.
void placement_executor::abort_change()
{
    ++change_number_;
    aborted_changes_.add();
    retry_at_ = clock_.now() + retry_interval;
    finish_change();
}

} // namespace dotterellock
