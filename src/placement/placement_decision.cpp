#include "placement/placement_decision.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Dead band, in endpoints: a shift leaves the giving model without deficit and
// the other with a surplus of at most 0.2, so it cannot cause the opposite one.
constexpr double least_deficit = 0.8;
constexpr double least_surplus = 1.0;

bool has(std::vector<model_ref> const& models, std::string const& name)
{
    return std::any_of(
        models.begin(), models.end(),
        [&name](model_ref const& m) { return m.name == name; });
}

std::size_t count_assigned(
    std::vector<endpoint_standing> const& fleet, std::string const& name)
{
    return std::count_if(
        fleet.begin(), fleet.end(),
        [&name](endpoint_standing const& e)
        { return e.usable && e.assigned(name); });
}

double need_of(model_need const& need, model_plan const& plan)
{
    auto const found = need.find(plan.model.name);
    double const wanted = found == need.end() ? 0 : found->second;
    return std::max<double>(wanted, plan.minimum);
}

model_plan const*
plan_of(std::vector<model_plan> const& plans, std::string const& name)
{
    auto const found = std::find_if(
        plans.begin(), plans.end(),
        [&name](model_plan const& p) { return p.model.name == name; });
    return found == plans.end() ? nullptr : &*found;
}

placement_change change_to(
    endpoint_standing const& e, model_plan const& plan, std::string from,
    std::string reason)
{
    placement_order order;
    order.models = plan.models();
    order.role = plan.role;
    return {
        e.endpoint, order, plan.model.name, std::move(from), std::move(reason)};
}

bool idle(endpoint_standing const& e)
{
    return e.usable && !e.changing();
}

/// Models of the plan by surplus, largest first.
std::vector<std::pair<double, std::string>> surpluses(
    std::vector<endpoint_standing> const& fleet,
    std::vector<model_plan> const& plans, model_need const& need)
{
    std::vector<std::pair<double, std::string>> result;
    for (auto const& plan : plans)
    {
        std::string const& name = plan.model.name;
        double const have = static_cast<double>(count_assigned(fleet, name));
        result.emplace_back(have - need_of(need, plan), name);
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

std::vector<model_ref> const& endpoint_standing::wanted() const
{
    return order ? order->models : loaded;
}

bool endpoint_standing::changing() const
{
    return order && !std::is_permutation(
                        order->models.begin(), order->models.end(),
                        loaded.begin(), loaded.end());
}

bool endpoint_standing::serves(std::string const& name) const
{
    return has(loaded, name);
}

bool endpoint_standing::assigned(std::string const& name) const
{
    return has(wanted(), name);
}

bool may_change(
    std::vector<endpoint_standing> const& fleet, std::string const& name,
    placement_limits const& limits)
{
    std::size_t total = 0;
    std::size_t changing = 0;
    for (auto const& e : fleet)
    {
        if (!e.serves(name) && !e.assigned(name))
            continue;
        total += e.serves(name) ? 1 : 0;
        // An endpoint that is down already counts against the share.
        changing += e.changing() || !e.usable ? 1 : 0;
    }
    auto const allowed =
        static_cast<std::size_t>(limits.max_share * static_cast<double>(total));
    return changing < std::max<std::size_t>(allowed, 1);
}

std::optional<placement_change> next_upgrade(
    std::vector<endpoint_standing> const& fleet,
    std::vector<model_plan> const& plans, placement_limits const& limits)
{
    for (auto const& e : fleet)
    {
        if (!idle(e) || e.loaded.empty())
            continue;
        model_plan const* const plan = plan_of(plans, e.loaded.front().name);
        if (plan == nullptr)
            continue;
        auto const wanted = plan->models();
        bool const same = std::is_permutation(
            wanted.begin(), wanted.end(), e.loaded.begin(), e.loaded.end());
        if (!same && may_change(fleet, plan->model.name, limits))
            return change_to(e, *plan, plan->model.name, "version of the plan");
    }
    return std::nullopt;
}

std::optional<placement_change> next_minimum(
    std::vector<endpoint_standing> const& fleet,
    std::vector<model_plan> const& plans, model_need const& need,
    placement_limits const& limits)
{
    for (auto const& plan : plans)
    {
        if (count_assigned(fleet, plan.model.name) >= plan.minimum)
            continue;
        for (auto const& e : fleet)
        {
            if (idle(e) && e.wanted().empty())
                return change_to(
                    e, plan, "", "below minimum; endpoint is free");
        }
        auto const ranked = surpluses(fleet, plans, need);
        bool const surplus = !ranked.empty() && ranked.front().first >= 1;
        if (!surplus)
            continue;
        auto change = shift_change(
            fleet, plans, {ranked.front().second, plan.model.name}, limits);
        if (change)
        {
            change->reason = "below minimum";
            return change;
        }
    }
    return std::nullopt;
}

std::optional<demand_shift> wanted_shift(
    std::vector<endpoint_standing> const& fleet,
    std::vector<model_plan> const& plans, model_need const& need)
{
    auto const ranked = surpluses(fleet, plans, need);
    if (ranked.size() < 2)
        return std::nullopt;
    bool const shifts = ranked.front().first >= least_surplus &&
                        ranked.back().first <= -least_deficit;
    if (!shifts)
        return std::nullopt;
    return demand_shift{ranked.front().second, ranked.back().second};
}

std::optional<placement_change> shift_change(
    std::vector<endpoint_standing> const& fleet,
    std::vector<model_plan> const& plans, demand_shift const& shift,
    placement_limits const& limits)
{
    model_plan const* const plan = plan_of(plans, shift.to);
    if (plan == nullptr || !may_change(fleet, shift.from, limits))
        return std::nullopt;
    for (auto const& e : fleet)
    {
        if (idle(e) && e.assigned(shift.from))
            return change_to(e, *plan, shift.from, "demand");
    }
    return std::nullopt;
}

} // namespace dotterellock
