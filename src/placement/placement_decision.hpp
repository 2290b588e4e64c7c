// Decides which endpoint should serve which models. Stateless functions of the
// stored rows and the demand, so that tests can enumerate their inputs.
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

/// A model that the fleet should serve, with its adapters.
struct model_plan
{
    model_ref model;
    std::vector<model_ref> adapters;
    std::uint32_t min_endpoints = 1; // regardless of demand
    std::string role;                // empty: any role

    std::vector<model_ref> models() const;
};

/// Placement state of an endpoint, read from its rows.
struct endpoint_placement
{
    endpoint_id endpoint;
    std::vector<model_ref> loaded;
    std::optional<placement_order> order;
    row_version order_row_version = 0;
    bool usable = true; // not drained by an operator, left or dead

    /// Models once the current order is carried out.
    std::vector<model_ref> const& target_models() const;
    bool changing() const; // loaded models differ from the order
    bool serves(std::string const& name) const;   // loaded
    bool assigned(std::string const& name) const; // part of target_models()
};

struct placement_change
{
    endpoint_id endpoint;
    placement_order order;  // token not set
    std::string to_model;   // name of the model that gains the endpoint
    std::string from_model; // name of the model that loses it; may be the same
    std::string reason;
};

struct placement_limits
{
    double max_changing_share = 0.25; // of the endpoints of a model
};

/// Number of endpoints that each model needs, by model name.
using model_demand = std::map<std::string, double>;

/// Whether the limits allow a change of one more endpoint of the model.
bool can_start_change(
    std::vector<endpoint_placement> const& fleet, std::string const& name,
    placement_limits const& limits);

/// An order for the first endpoint whose models differ from its plan only in
/// version or adapters.
std::optional<placement_change> next_upgrade_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, placement_limits const& limits);

/// An order that gives an endpoint to a model below its minimum. Prefers an
/// endpoint that serves nothing, then takes one of the model with the largest
/// surplus.
std::optional<placement_change> next_minimum_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand,
    placement_limits const& limits);

/// A move of one endpoint from one model to another because of demand.
struct demand_shift
{
    std::string from;
    std::string to;

    friend bool operator==(demand_shift const& a, demand_shift const& b)
    {
        return a.from == b.from && a.to == b.to;
    }
};

/// The shift from the model with the largest surplus to the one with the
/// largest deficit, if both are outside the dead band. The dead band keeps an
/// endpoint from moving back and forth on small changes of demand.
std::optional<demand_shift> find_demand_shift(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand);

/// An order that carries out the shift on the first endpoint available.
std::optional<placement_change> make_shift_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, demand_shift const& shift,
    placement_limits const& limits);

} // namespace dotterellock

#endif
