#include "placement/placement_gate.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// From the start of the read to the order; also the read's timeout.
constexpr milliseconds read_validity{1000};
// A weight load of tens of GB from a rate-limited store takes minutes.
constexpr minutes order_timeout{15};
constexpr seconds retry_interval{5};

bool contains(std::vector<model_ref> const& models, model_ref const& model)
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

placement_gate::placement_gate(
    endpoint_id endpoint, engine_fencing fencing, std::vector<model_ref> loaded,
    dotterellock::engine& engine, clock_source& clock, timer_service& timers,
    table_service& store, placement_hooks hooks, counter_registry& counters)
    : endpoint_(std::move(endpoint)), fencing_(fencing),
      loaded_(std::move(loaded)), engine_(engine), clock_(clock),
      timers_(timers), store_(store), hooks_(std::move(hooks)),
      orders_(counters.counter("placement_orders_total")),
      stale_orders_(counters.counter("placement_stale_orders_total")),
      failed_orders_(counters.counter("placement_failed_orders_total")),
      given_up_(counters.counter("placement_changes_given_up_total"))
{
}

placement_gate::~placement_gate()
{
    timers_.cancel(order_timer_);
}

std::vector<std::string> placement_gate::watched_keys() const
{
    return {placement_key(endpoint_), lease_key(placement_lease_name)};
}

void placement_gate::on_rows(std::vector<row> const& rows, steady_time asked_at)
{
    auto const order = valid_order(rows, asked_at);
    if (step_ == step::draining && (!order || !(*order == wanted_)))
    {
        give_up();
        return;
    }
    if (step_ != step::idle || !order || clock_.now() < retry_at_)
        return;
    wanted_ = *order;
    if (missing_order())
        begin(*order);
}

std::optional<placement_order>
placement_gate::valid_order(std::vector<row> const& rows, steady_time asked_at)
{
    if (rows.size() != 2 || clock_.now() - asked_at > read_validity)
        return std::nullopt;
    auto const order = decode_placement_order(rows[0].value);
    auto const lease = decode_lease_record(rows[1].value);
    if (!order || !lease)
        return std::nullopt;
    bool const stale =
        order->token != lease->token || order->token < highest_token_;
    // The holder's word for a newer token counts even without an order.
    bool const waits = waits_for_earlier_holder(lease->token, lease->term);
    if (stale)
    {
        stale_orders_.add();
        return std::nullopt;
    }
    if (waits)
        return std::nullopt;
    return order;
}

bool placement_gate::waits_for_earlier_holder(
    fencing_token token, duration term)
{
    if (token > highest_token_)
    {
        highest_token_ = token;
        // Also at the start of this process: its predecessor beside the same
        // engine may be paused with an order in hand.
        bool const waits = fencing_ == engine_fencing::ignores_tokens;
        first_order_at_ =
            clock_.now() + (waits ? term + read_validity : duration{});
    }
    return clock_.now() < first_order_at_;
}

void placement_gate::begin(placement_order const& order)
{
    ++change_;
    bool const unloads = std::any_of(
        loaded_.begin(), loaded_.end(),
        [&order](model_ref const& m) { return !contains(order.models, m); });
    if (!unloads)
    {
        next_order();
        return;
    }
    step_ = step::draining;
    drained_ = true;
    auto const on_drained = [this, change = change_]
    {
        if (change == change_ && step_ == step::draining)
            next_order();
    };
    hooks_.drain(guard_.wrap(on_drained));
}

/// What to tell the engine next; nothing when it serves what is wanted.
std::optional<engine_order> placement_gate::missing_order() const
{
    engine_order order;
    order.token = wanted_.token;
    for (auto const& m : loaded_)
    {
        if (contains(wanted_.models, m))
            continue;
        order.kind = order_kind::unload;
        order.model = m;
        return order;
    }
    for (auto const& m : wanted_.models)
    {
        if (contains(loaded_, m))
            continue;
        order.kind = order_kind::load;
        order.model = m;
        return order;
    }
    if (wanted_.role.empty() || wanted_.role == role_)
        return std::nullopt;
    order.kind = order_kind::set_role;
    order.role = wanted_.role;
    return order;
}

void placement_gate::next_order()
{
    auto const order = missing_order();
    if (order)
        verify(*order);
    else
        finish();
}

void placement_gate::verify(engine_order const& order)
{
    step_ = step::verifying;
    steady_time const asked_at = clock_.now();
    auto const on_answer =
        [this, order, asked_at, change = change_](read_result const& result)
    {
        if (change != change_ || step_ != step::verifying)
            return;
        bool const answered = result.status == store_status::ok;
        auto const present =
            answered ? valid_order(result.rows, asked_at) : std::nullopt;
        if (present && *present == wanted_)
            send(order);
        else
            give_up();
    };
    store_.read(watched_keys(), read_validity, guard_.wrap(on_answer));
}

void placement_gate::send(engine_order const& order)
{
    step_ = step::ordering;
    orders_.add();
    auto const on_done =
        [this, order, change = change_](std::optional<error> const& e)
    {
        if (change == change_ && step_ == step::ordering)
            on_ordered(order, e);
    };
    order_timer_ = timers_.schedule(
        order_timeout,
        [on_done]
        {
            on_done(error(
                error_code::deadline_exceeded, "order", "engine",
                "no answer to an order"));
        });
    engine_.order(order, guard_.wrap(on_done));
}

void placement_gate::on_ordered(
    engine_order const& order, std::optional<error> const& e)
{
    timers_.cancel(order_timer_);
    if (e)
    {
        failed_orders_.add();
        give_up();
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
    next_order();
}

void placement_gate::finish()
{
    step_ = step::idle;
    if (std::exchange(drained_, false))
        hooks_.resume();
}

/// The endpoint serves what it has; the next rows decide anew.
void placement_gate::give_up()
{
    ++change_;
    given_up_.add();
    retry_at_ = clock_.now() + retry_interval;
    finish();
}

} // namespace dotterellock
