#include "placement/placement_decision.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Dead band, in endpoints. After a shift the source model has no deficit and
// the target model a surplus of at most 0.2, so the shift cannot cause the
// reverse one.
constexpr double min_deficit_endpoints = 0.8;
constexpr double min_surplus_endpoints = 1.0;

bool contains_model(
    std::vector<model_ref> const& models, std::string const& name)
{
    return std::any_of(
        models.begin(), models.end(),
        [&name](model_ref const& m) { return m.name == name; });
}

std::size_t count_assigned(
    std::vector<endpoint_placement> const& fleet, std::string const& name)
{
    return std::count_if(
        fleet.begin(), fleet.end(),
        [&name](endpoint_placement const& e)
        { return e.usable && e.assigned(name); });
}

double required_endpoints(model_demand const& demand, model_plan const& plan)
{
    auto const found = demand.find(plan.model.name);
    double const demanded = found == demand.end() ? 0 : found->second;
    return std::max<double>(demanded, plan.min_endpoints);
}

model_plan const*
find_plan(std::vector<model_plan> const& plans, std::string const& name)
{
    auto const found = std::find_if(
        plans.begin(), plans.end(),
        [&name](model_plan const& p) { return p.model.name == name; });
    return found == plans.end() ? nullptr : &*found;
}

placement_change make_change(
    endpoint_placement const& e, model_plan const& plan, std::string from_model,
    std::string reason)
{
    placement_order order;
    order.models = plan.models();
    order.role = plan.role;
    return {
        e.endpoint, order, plan.model.name, std::move(from_model),
        std::move(reason)};
}

bool available_for_change(endpoint_placement const& e)
{
    return e.usable && !e.changing();
}

/// The planned models with their surplus of endpoints, largest first.
std::vector<std::pair<double, std::string>> rank_by_surplus(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand)
{
    std::vector<std::pair<double, std::string>> result;
    for (auto const& plan : plans)
    {
        std::string const& name = plan.model.name;
        double const have = static_cast<double>(count_assigned(fleet, name));
        result.emplace_back(have - required_endpoints(demand, plan), name);
    }
    std::sort(result.rbegin(), result.rend());
    return result;
}

} // namespace

std::vector<model_ref> model_plan::models() const
{
    std::vector<model_ref> all{model};
    all.insert(all.end(), adapters.begin(), adapters.end());
    return all;
}

std::vector<model_ref> const& endpoint_placement::target_models() const
{
    return order ? order->models : loaded;
}

bool endpoint_placement::changing() const
{
    return order && !std::is_permutation(
                        order->models.begin(), order->models.end(),
                        loaded.begin(), loaded.end());
}

bool endpoint_placement::serves(std::string const& name) const
{
    return contains_model(loaded, name);
}

bool endpoint_placement::assigned(std::string const& name) const
{
    return contains_model(target_models(), name);
}

bool can_start_change(
    std::vector<endpoint_placement> const& fleet, std::string const& name,
    placement_limits const& limits)
{
    std::size_t total = 0;
    std::size_t changing = 0;
    for (auto const& e : fleet)
    {
        if (!e.serves(name) && !e.assigned(name))
            continue;
        total += e.serves(name) ? 1 : 0;
        // Unusable endpoints also count towards the limit.
        changing += e.changing() || !e.usable ? 1 : 0;
    }
    auto const allowed = static_cast<std::size_t>(
        limits.max_changing_share * static_cast<double>(total));
    return changing < std::max<std::size_t>(allowed, 1);
}

std::optional<placement_change> next_upgrade_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, placement_limits const& limits)
{
    for (auto const& e : fleet)
    {
        if (!available_for_change(e) || e.loaded.empty())
            continue;
        model_plan const* const plan = find_plan(plans, e.loaded.front().name);
        if (plan == nullptr)
            continue;
        auto const target_models = plan->models();
        bool const same = std::is_permutation(
            target_models.begin(), target_models.end(), e.loaded.begin(),
            e.loaded.end());
        if (!same && can_start_change(fleet, plan->model.name, limits))
            return make_change(
                e, *plan, plan->model.name, "models differ from the plan");
    }
    return std::nullopt;
}

std::optional<placement_change> next_minimum_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand,
    placement_limits const& limits)
{
    for (auto const& plan : plans)
    {
        if (count_assigned(fleet, plan.model.name) >= plan.min_endpoints)
            continue;
        for (auto const& e : fleet)
        {
            if (available_for_change(e) && e.target_models().empty())
                return make_change(
                    e, plan, "", "below minimum; endpoint serves no model");
        }
        auto const ranked = rank_by_surplus(fleet, plans, demand);
        bool const surplus = !ranked.empty() && ranked.front().first >= 1;
        if (!surplus)
            continue;
        auto change = make_shift_change(
            fleet, plans, {ranked.front().second, plan.model.name}, limits);
        if (change)
        {
            change->reason = "below minimum";
            return change;
        }
    }
    return std::nullopt;
}

std::optional<demand_shift> find_demand_shift(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, model_demand const& demand)
{
    auto const ranked = rank_by_surplus(fleet, plans, demand);
    if (ranked.size() < 2)
        return std::nullopt;
    bool const shifts = ranked.front().first >= min_surplus_endpoints &&
                        ranked.back().first <= -min_deficit_endpoints;
    if (!shifts)
        return std::nullopt;
    return demand_shift{ranked.front().second, ranked.back().second};
}

std::optional<placement_change> make_shift_change(
    std::vector<endpoint_placement> const& fleet,
    std::vector<model_plan> const& plans, demand_shift const& shift,
    placement_limits const& limits)
{
    model_plan const* const plan = find_plan(plans, shift.to);
    if (plan == nullptr || !can_start_change(fleet, shift.from, limits))
        return std::nullopt;
    for (auto const& e : fleet)
    {
        if (available_for_change(e) && e.assigned(shift.from))
            return make_change(e, *plan, shift.from, "demand");
    }
    return std::nullopt;
}

} // namespace dotterellock
