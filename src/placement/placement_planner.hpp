// Writes placement orders, which tell endpoints which models to serve, while
// its process holds the placement lease. Every router has a planner; the lease
// selects the active one. It keeps no durable state: changes in progress are in
// the rows, and the next holder continues from there. Not thread-safe: the
// owner serialises all calls with its lock.
//
// Each order carries the holder's fencing token and is written only if its row
// is unchanged since the decision. The planner starts one change at a time. It
// limits the byte rate of weight loads over the whole fleet and the share of a
// model's endpoints that change at once. It moves an endpoint between models
// only after demand has called for the same shift for `shift_hold_time`.
#ifndef DOTTERELLOCK_PLACEMENT_PLACEMENT_PLANNER_HPP
#define DOTTERELLOCK_PLACEMENT_PLACEMENT_PLANNER_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "membership/registration_record.hpp"
#include "placement/lease.hpp"
#include "placement/placement_decision.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

struct placement_settings
{
    duration scan_interval = std::chrono::seconds(5);
    duration shift_hold_time = std::chrono::seconds(60);
    duration min_shift_interval = std::chrono::minutes(5); // between shifts
    duration dead_after = std::chrono::seconds(40);        // row not refreshed
    duration remove_after = std::chrono::minutes(10);
    double load_bytes_per_second = 1e9; // weight loads, whole fleet
    placement_limits limits;
};

class placement_planner
{
public:
    placement_planner(
        lease& placement_lease, clock_source& clock, timer_service& timers,
        table_service& store, dotterellock::weight_store& weights,
        dotterellock::fleet_view& fleet, decision_log& log,
        placement_settings settings, counter_registry& counters);
    ~placement_planner();
    placement_planner(placement_planner const&) = delete;
    placement_planner& operator=(placement_planner const&) = delete;

    void start();
    void set_plans(std::vector<model_plan> plans);

    /// Number of endpoints each model needs, estimated by this process.
    void set_demand(model_demand demand);

private:
    struct observed_row
    {
        row_version version = 0;
        steady_time since; // last change; restarts after a failed scan
    };

    void on_timer();
    void reset_term_state();
    void scan_endpoints();
    void scan_orders(std::vector<row> const& endpoints);
    void
    decide(std::vector<row> const& endpoints, std::vector<row> const& desired);
    std::vector<endpoint_placement> endpoint_placements(
        std::vector<row> const& endpoints, std::vector<row> const& desired);
    void remove_lost_endpoints(std::vector<row> const& endpoints);
    void remove(row const& endpoint);
    bool adopt_orders(std::vector<endpoint_placement> const& fleet);
    std::optional<placement_change>
    next_change(std::vector<endpoint_placement> const& fleet);
    std::optional<demand_shift>
    sustained_shift(std::vector<endpoint_placement> const& fleet);
    void start_change(
        placement_change const& change, endpoint_placement const& target);
    void write(
        placement_order order, endpoint_placement const& target,
        byte_count bytes);
    void reserve_load_time(byte_count bytes);
    void log_decision(
        placement_change const& change, std::string const& refusal) const;

    lease& lease_;
    clock_source& clock_;
    timer_service& timers_;
    table_service& store_;
    dotterellock::weight_store& weights_;
    dotterellock::fleet_view& fleet_;
    decision_log& log_;
    placement_settings settings_;
    std::vector<model_plan> plans_;
    model_demand demand_;

    fencing_token term_token_ = 0; // lease term of the state below
    std::map<std::string, observed_row> observed_rows_;
    std::optional<demand_shift> shift_;
    steady_time shift_since_;
    steady_time next_shift_at_;
    steady_time next_load_at_; // byte budget is used up until then
    bool request_pending_ = false;
    timer_id timer_ = 0;

    counter& changes_;
    counter& adopted_orders_;
    counter& store_failures_;
    counter& removed_rows_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
