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
    lease& placement_lease, clock_source& clock, timer_service& timers,
    table_service& store, dotterellock::weight_store& weights,
    dotterellock::fleet_view& fleet, decision_log& log,
    placement_settings settings, counter_registry& counters)
    : lease_(placement_lease), clock_(clock), timers_(timers), store_(store),
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
    on_timer();
}

void placement_planner::set_plans(std::vector<model_plan> plans)
{
    plans_ = std::move(plans);
}

void placement_planner::set_demand(model_demand demand)
{
    demand_ = std::move(demand);
}

void placement_planner::on_timer()
{
    timer_ = timers_.schedule(settings_.scan_interval, [this] { on_timer(); });
    if (request_pending_ || !lease_.held())
        return;
    if (term_token_ != lease_.token())
        reset_term_state();
    scan_endpoints();
}

/// Observations from an earlier lease term are stale; start afresh.
void placement_planner::reset_term_state()
{
    term_token_ = lease_.token();
    observed_rows_.clear();
    shift_.reset();
    next_load_at_ = clock_.now();
    next_shift_at_ = clock_.now();
}

void placement_planner::scan_endpoints()
{
    request_pending_ = true;
    auto const on_scan = [this](read_result const& result)
    {
        if (result.status == store_status::ok)
        {
            scan_orders(result.rows);
            return;
        }
        request_pending_ = false;
        store_failures_.add();
        observed_rows_.clear(); // rows could not be refreshed meanwhile
    };
    store_.scan(endpoint_prefix, store_timeout, guard_.wrap(on_scan));
}

void placement_planner::scan_orders(std::vector<row> const& endpoints)
{
    auto const on_scan = [this, endpoints](read_result const& result)
    {
        request_pending_ = false;
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
    // The lease may have expired during slow scans or a pause of the process.
    if (lease_.token() != term_token_ || !lease_.held())
        return;
    auto const fleet = endpoint_placements(endpoints, desired);
    remove_lost_endpoints(endpoints);
    if (adopt_orders(fleet))
        return;
    auto const change = next_change(fleet);
    if (!change)
        return;
    auto const target = std::find_if(
        fleet.begin(), fleet.end(),
        [&change](endpoint_placement const& e)
        { return e.endpoint == change->endpoint; });
    start_change(*change, *target);
}

std::vector<endpoint_placement> placement_planner::endpoint_placements(
    std::vector<row> const& endpoints, std::vector<row> const& desired)
{
    std::map<endpoint_id, row> orders;
    std::map<std::string, bool> drained;
    for (auto const& r : desired)
    {
        if (auto const endpoint = endpoint_of_placement_key(r.key))
            orders[*endpoint] = r;
        else if (auto const drain = decode_desired_drain(r.value))
            drained[r.key] = drain->drain;
    }
    std::vector<endpoint_placement> fleet;
    for (auto const& r : endpoints)
    {
        auto const record = decode_registration_record(r.value);
        if (!record || !record->info.services.empty())
            continue;
        observed_row& seen = observed_rows_[r.key];
        if (seen.version != r.version)
            seen = {r.version, clock_.now()};
        endpoint_placement e;
        e.endpoint = record->info.endpoint;
        e.loaded = record->info.models;
        bool const dead = clock_.now() - seen.since >= settings_.dead_after;
        e.usable = !record->left && !dead && !drained[desired_key(e.endpoint)];
        auto const order = orders.find(e.endpoint);
        if (order != orders.end())
        {
            e.order = decode_placement_order(order->second.value);
            e.order_row_version = order->second.version;
        }
        fleet.push_back(std::move(e));
    }
    return fleet;
}

/// Removes rows that were not refreshed and whose host has left the fleet. A
/// missing refresh is not enough: an endpoint that cannot reach the store still
/// serves requests, and configuration rollouts have to wait for it.
void placement_planner::remove_lost_endpoints(std::vector<row> const& endpoints)
{
    std::vector<row> silent;
    for (auto const& r : endpoints)
    {
        auto const seen = observed_rows_.find(r.key);
        if (seen != observed_rows_.end() &&
            clock_.now() - seen->second.since >= settings_.remove_after)
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

/// Rewrites the first unfinished order of an earlier holder with the current
/// token, since endpoints ignore orders with the earlier one. Returns whether
/// there was one.
bool placement_planner::adopt_orders(
    std::vector<endpoint_placement> const& fleet)
{
    for (auto const& e : fleet)
    {
        if (!e.changing() || !e.usable || e.order->token == term_token_)
            continue;
        adopted_orders_.add();
        // Charges the byte budget again, since it is unknown how much of the
        // load the earlier holder has accounted for.
        start_change(
            placement_change{e.endpoint, *e.order, "", "", "adopted"}, e);
        return true;
    }
    return false;
}

std::optional<placement_change>
placement_planner::next_change(std::vector<endpoint_placement> const& fleet)
{
    if (clock_.now() < next_load_at_)
        return std::nullopt;
    if (auto const change =
            next_minimum_change(fleet, plans_, demand_, settings_.limits))
        return change;
    if (auto const change =
            next_upgrade_change(fleet, plans_, settings_.limits))
        return change;
    auto const shift = sustained_shift(fleet);
    if (!shift)
        return std::nullopt;
    auto change = make_shift_change(fleet, plans_, *shift, settings_.limits);
    if (change)
    {
        next_shift_at_ = clock_.now() + settings_.min_shift_interval;
        shift_.reset();
    }
    return change;
}

std::optional<demand_shift>
placement_planner::sustained_shift(std::vector<endpoint_placement> const& fleet)
{
    auto const wanted = find_demand_shift(fleet, plans_, demand_);
    bool const same = wanted && shift_ && *wanted == *shift_;
    if (!same)
    {
        shift_ = wanted;
        shift_since_ = clock_.now();
        return std::nullopt;
    }
    bool const held = clock_.now() - shift_since_ >= settings_.shift_hold_time;
    return held && clock_.now() >= next_shift_at_ ? wanted : std::nullopt;
}

void placement_planner::start_change(
    placement_change const& change, endpoint_placement const& target)
{
    request_pending_ = true;
    auto const on_weight = [this, change, target](weight_info const& info)
    {
        request_pending_ = false;
        if (!info.found)
        {
            log_decision(change, "the weight store does not have the model");
            return;
        }
        log_decision(change, "");
        changes_.add();
        write(change.order, target, info.size);
    };
    if (change.order.models.empty())
    {
        on_weight(weight_info{true, 0}); // only unloads models
        return;
    }
    weights_.describe(
        change.order.models.front(), store_timeout, guard_.wrap(on_weight));
}

void placement_planner::write(
    placement_order order, endpoint_placement const& target, byte_count bytes)
{
    // Last check of the lease before the write is sent.
    if (!lease_.held() || lease_.token() != term_token_)
        return;
    reserve_load_time(bytes);
    order.token = term_token_;
    request_pending_ = true;
    // The next scan reads the row again, whatever the result.
    auto const on_commit = [this](commit_result const& result)
    {
        request_pending_ = false;
        if (result.status != store_status::ok)
            store_failures_.add();
    };
    store_.commit(
        {{placement_key(target.endpoint), encode(order),
          target.order_row_version}},
        store_timeout, guard_.wrap(on_commit));
}

void placement_planner::reserve_load_time(byte_count bytes)
{
    double const wait = static_cast<double>(bytes) /
                        std::max(settings_.load_bytes_per_second, 1.0);
    steady_time const from = std::max(next_load_at_, clock_.now());
    next_load_at_ = from + std::chrono::duration_cast<duration>(
                               std::chrono::duration<double>(wait));
}

void placement_planner::log_decision(
    placement_change const& change, std::string const& refusal) const
{
    decision d;
    d.step = "place_model";
    d.choice = refusal.empty() ? change.endpoint.value() : "";
    d.candidates.push_back(change.endpoint.value());
    std::string const what = change.to_model.empty() ? "order"
                             : change.from_model == change.to_model
                                 ? change.to_model
                                 : change.from_model + " to " + change.to_model;
    d.reason = what + ": " + change.reason;
    if (!refusal.empty())
        d.reason += "; refused: " + refusal;
    log_.record(d);
}

} // namespace dotterellock
