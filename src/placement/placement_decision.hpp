// Which endpoint should serve which model: pure functions over what the rows
// and the demand say, so that tests can enumerate them. No state.
#ifndef DOTTERELLOCK_PLACEMENT_PLACEMENT_DECISION_HPP
#define DOTTERELLOCK_PLACEMENT_PLACEMENT_DECISION_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/external_services.hpp>

#include "placement/placement_records.hpp"

namespace dotterellock
{

/// A model that should be served, with the adapters that come with it.
struct model_plan
{
    model_ref model;
    std::vector<model_ref> adapters;
    std::uint32_t min_endpoints = 1; // endpoints, whatever the demand
    std::string role;                // empty: any

    std::vector<model_ref> models() const;
};

/// An endpoint as its rows show it.
struct endpoint_placement
{
    endpoint_id endpoint;
    std::vector<model_ref> loaded;
    std::optional<placement_order> order;
    row_version order_row_version = 0;
    bool usable = true; // neither drained by an operator, nor left, nor dead

    /// Models after the present order.
    std::vector<model_ref> const& target_models() const;
    bool changing() const;                      // loaded differs from the order
    bool serves(std::string const& name) const; // loaded
    bool assigned(std::string const& name) const; // after the present order
};

struct placement_change
{
    endpoint_id endpoint;
    placement_order order;  // without token
    std::string to_model;   // name of the model that gains
    std::string from_model; // name of the model that loses; may be the same
    std::string reason;
};

struct placement_limits
{
    double max_changing_share =
        0.25; // of a model's endpoints that change at once
};

/// Need of each model in endpoints, by name.
using model_demand = std::map<std::string, double>;

/// Whether one more endpoint of the model may begin to change.
bool can_start_change(
    std::vector<endpoint_placement> const& fleet, std::string const& name,
    placement_limits const& limits);

/// The first endpoint whose models differ from its plan only in version or
/// adapters.
std::optional<placement_change> next_upgrade_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, placement_limits const& limits);

/// An endpoint for a model below its minimum, taken from the model with the
/// largest surplus or from an endpoint that serves nothing.
std::optional<placement_change> next_minimum_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand,
    placement_limits const& limits);

/// A pair of models between which demand asks for a shift; the dead band keeps
/// an endpoint from moving back and forth on small changes.
struct demand_shift
{
    std::string from;
    std::string to;

    friend bool operator==(demand_shift const& a, demand_shift const& b)
    {
        return a.from == b.from && a.to == b.to;
    }
};

std::optional<demand_shift> find_demand_shift(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand);

std::optional<placement_change> make_shift_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, demand_shift const& shift,
    placement_limits const& limits);

} // namespace dotterellock

#endif
