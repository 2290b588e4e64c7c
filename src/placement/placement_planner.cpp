#include "placement/placement_planner.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterellock
{

namespace
{

using std::chrono::seconds;

constexpr seconds store_timeout{2};

} // namespace

placement_planner::placement_planner(
    lease& holder, clock_source& clock, timer_service& timers,
    table_service& store, dotterellock::weight_store& weights,
    dotterellock::fleet_view& fleet, decision_log& log,
    placement_settings settings, counter_registry& counters)
    : holder_(holder), clock_(clock), timers_(timers), store_(store),
      weights_(weights), fleet_(fleet), log_(log), settings_(settings),
      changes_(counters.counter("placement_changes_total")),
      adopted_orders_(counters.counter("placement_orders_adopted_total")),
      store_failures_(counters.counter("placement_store_failures_total")),
      removed_rows_(counters.counter("placement_rows_removed_total"))
{
}

placement_planner::~placement_planner()
{
    timers_.cancel(timer_);
}

void placement_planner::start()
{
    tick();
}

void placement_planner::set_plans(std::vector<model_plan> plans)
{
    plans_ = std::move(plans);
}

void placement_planner::set_need(model_need need)
{
    need_ = std::move(need);
}

void placement_planner::tick()
{
    timer_ = timers_.schedule(settings_.interval, [this] { tick(); });
    if (busy_ || !holder_.held())
        return;
    if (term_token_ != holder_.token())
        forget_term();
    scan_endpoints();
}

/// A new term trusts nothing that an earlier one observed.
void placement_planner::forget_term()
{
    term_token_ = holder_.token();
    seen_.clear();
    shift_.reset();
    next_load_at_ = clock_.now();
    next_shift_at_ = clock_.now();
}

void placement_planner::scan_endpoints()
{
    busy_ = true;
    auto const on_scan = [this](read_result const& result)
    {
        if (result.status == store_status::ok)
        {
            scan_orders(result.rows);
            return;
        }
        busy_ = false;
        store_failures_.add();
        seen_.clear(); // nobody could refresh a row
    };
    store_.scan(endpoint_prefix, store_timeout, guard_.wrap(on_scan));
}

void placement_planner::scan_orders(std::vector<row> const& endpoints)
{
    auto const on_scan = [this, endpoints](read_result const& result)
    {
        busy_ = false;
        if (result.status == store_status::ok)
            decide(endpoints, result.rows);
        else
            store_failures_.add();
    };
    store_.scan(desired_prefix, store_timeout, guard_.wrap(on_scan));
}

void placement_planner::decide(
    std::vector<row> const& endpoints, std::vector<row> const& desired)
{
    // The scans may have taken long, or the process may have been paused.
    if (holder_.token() != term_token_ || !holder_.held())
        return;
    auto const fleet = standings(endpoints, desired);
    remove_forgotten(endpoints);
    if (adopt_orders(fleet))
        return;
    auto const change = next_change(fleet);
    if (!change)
        return;
    auto const at = std::find_if(
        fleet.begin(), fleet.end(),
        [&change](endpoint_standing const& e)
        { return e.endpoint == change->endpoint; });
    weigh(*change, *at);
}

std::vector<endpoint_standing> placement_planner::standings(
    std::vector<row> const& endpoints, std::vector<row> const& desired)
{
    std::map<endpoint_id, row> orders;
    std::map<std::string, bool> drained;
    for (auto const& r : desired)
    {
        if (auto const endpoint = placement_endpoint(r.key))
            orders[*endpoint] = r;
        else if (auto const drain = decode_desired_drain(r.value))
            drained[r.key] = drain->drain;
    }
    std::vector<endpoint_standing> fleet;
    for (auto const& r : endpoints)
    {
        auto const record = decode_registration_record(r.value);
        if (!record || !record->info.services.empty())
            continue;
        seen_row& seen = seen_[r.key];
        if (seen.version != r.version)
            seen = {r.version, clock_.now()};
        endpoint_standing e;
        e.endpoint = record->info.endpoint;
        e.loaded = record->info.models;
        bool const dead = clock_.now() - seen.since >= settings_.dead_after;
        e.usable = !record->left && !dead && !drained[desired_key(e.endpoint)];
        auto const order = orders.find(e.endpoint);
        if (order != orders.end())
        {
            e.order = decode_placement_order(order->second.value);
            e.order_row = order->second.version;
        }
        fleet.push_back(std::move(e));
    }
    return fleet;
}

/// Rows of endpoints that are gone. Silence is not enough: an endpoint that is
/// cut off from the store still serves, and configurations must wait for it.
void placement_planner::remove_forgotten(std::vector<row> const& endpoints)
{
    std::vector<row> silent;
    for (auto const& r : endpoints)
    {
        auto const seen = seen_.find(r.key);
        if (seen != seen_.end() &&
            clock_.now() - seen->second.since >= settings_.forget_after)
            silent.push_back(r);
    }
    if (silent.empty())
        return;
    auto const on_hosts = [this, silent](fleet_result const& result)
    {
        if (result.status != store_status::ok)
            return;
        std::set<host_id> present;
        for (auto const& entry : result.hosts)
            present.insert(entry.host);
        for (auto const& r : silent)
        {
            auto const record = decode_registration_record(r.value);
            if (record && present.count(record->info.host) == 0)
                remove(r);
        }
    };
    fleet_.hosts(store_timeout, guard_.wrap(on_hosts));
}

void placement_planner::remove(row const& endpoint)
{
    removed_rows_.add();
    store_.commit(
        {{endpoint.key, std::nullopt, endpoint.version}}, store_timeout,
        [](commit_result const&) {});
}

/// Orders of the earlier holder that are not carried out yet would be ignored
/// from now on; they go on under this term's token.
bool placement_planner::adopt_orders(
    std::vector<endpoint_standing> const& fleet)
{
    for (auto const& e : fleet)
    {
        if (!e.changing() || !e.usable || e.order->token == term_token_)
            continue;
        adopted_orders_.add();
        // Charged again: what the earlier holder had spent is not known here.
        weigh(placement_change{e.endpoint, *e.order, "", "", "adopted"}, e);
        return true;
    }
    return false;
}

std::optional<placement_change>
placement_planner::next_change(std::vector<endpoint_standing> const& fleet)
{
    if (clock_.now() < next_load_at_)
        return std::nullopt;
    if (auto const change =
            next_minimum(fleet, plans_, need_, settings_.limits))
        return change;
    if (auto const change = next_upgrade(fleet, plans_, settings_.limits))
        return change;
    auto const shift = held_shift(fleet);
    if (!shift)
        return std::nullopt;
    auto change = shift_change(fleet, plans_, *shift, settings_.limits);
    if (change)
    {
        next_shift_at_ = clock_.now() + settings_.shift_pause;
        shift_.reset();
    }
    return change;
}

std::optional<demand_shift>
placement_planner::held_shift(std::vector<endpoint_standing> const& fleet)
{
    auto const wanted = wanted_shift(fleet, plans_, need_);
    bool const same = wanted && shift_ && *wanted == *shift_;
    if (!same)
    {
        shift_ = wanted;
        shift_since_ = clock_.now();
        return std::nullopt;
    }
    bool const held = clock_.now() - shift_since_ >= settings_.shift_hold;
    return held && clock_.now() >= next_shift_at_ ? wanted : std::nullopt;
}

void placement_planner::weigh(
    placement_change const& change, endpoint_standing const& at)
{
    busy_ = true;
    auto const on_weight = [this, change, at](weight_info const& info)
    {
        busy_ = false;
        if (!info.found)
        {
            record(change, "the weight store does not have the model");
            return;
        }
        record(change, "");
        changes_.add();
        write(change.order, at, info.size);
    };
    if (change.order.models.empty())
    {
        on_weight(weight_info{true, 0}); // unloads only
        return;
    }
    weights_.describe(
        change.order.models.front(), store_timeout, guard_.wrap(on_weight));
}

void placement_planner::write(
    placement_order order, endpoint_standing const& at, byte_count bytes)
{
    // The last look at the lease before the write leaves.
    if (!holder_.held() || holder_.token() != term_token_)
        return;
    charge(bytes);
    order.token = term_token_;
    busy_ = true;
    // Whatever the answer, the next scan shows what the row has become.
    auto const on_commit = [this](commit_result const& result)
    {
        busy_ = false;
        if (result.status != store_status::ok)
            store_failures_.add();
    };
    store_.commit(
        {{placement_key(at.endpoint), encode(order), at.order_row}},
        store_timeout, guard_.wrap(on_commit));
}

void placement_planner::charge(byte_count bytes)
{
    double const wait = static_cast<double>(bytes) /
                        std::max(settings_.load_bytes_per_second, 1.0);
    steady_time const from = std::max(next_load_at_, clock_.now());
    next_load_at_ = from + std::chrono::duration_cast<duration>(
                               std::chrono::duration<double>(wait));
}

void placement_planner::record(
    placement_change const& change, std::string const& refusal) const
{
    decision d;
    d.step = "place_model";
    d.choice = refusal.empty() ? change.endpoint.value() : "";
    d.candidates.push_back(change.endpoint.value());
    std::string const what = change.model.empty() ? "order"
                             : change.from == change.model
                                 ? change.model
                                 : change.from + " to " + change.model;
    d.reason = what + ": " + change.reason;
    if (!refusal.empty())
        d.reason += "; refused: " + refusal;
    log_.record(d);
}

} // namespace dotterellock
