// Limits the arrivals at endpoints beyond the first of each request, per
// service, so that a fault does not multiply the load. The fleet's budget is
// a ratio of the requests plus a fixed allowance; each gateway spends a ratio
// of its own requests plus a small share of the allowance and so needs no
// coordination.
#ifndef DOTTERELLOCK_GATEWAY_ARRIVAL_BUDGET_HPP
#define DOTTERELLOCK_GATEWAY_ARRIVAL_BUDGET_HPP

#include <chrono>
#include <cstddef>
#include <deque>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

struct arrival_budget_settings
{
    double ratio = 0.8;                      // of the fleet
    std::chrono::milliseconds window{10000}; // sliding
    double allowance = 150;                  // of the fleet, in one window
    double fleet_size = 8; // gateways assumed to share the allowance
};

class arrival_budget
{
public:
    /// @param allowance_from  until then only the ratio counts: a process that
    ///                        restarts within a window must not spend the
    ///                        share of the one before it once more
    explicit arrival_budget(
        arrival_budget_settings const& settings,
        steady_time allowance_from = steady_time::min())
        : settings_(settings), allowance_from_(allowance_from)
    {
    }

    /// Takes changed bounds into use; what was spent stays spent.
    void set_bounds(arrival_budget_settings const& settings)
    {
        settings_ = settings;
    }

    void set_fleet_size(std::size_t gateways)
    {
        settings_.fleet_size = double(gateways);
    }

    void request_started(steady_time now) { requests_.push_back(now); }

    /// Whether one more repeated arrival is allowed; counts it if so.
    bool try_spend(steady_time now)
    {
        forget(requests_, now);
        forget(repeats_, now);
        double const allowance =
            now < allowance_from_ ? 0
                                  : settings_.allowance / settings_.fleet_size;
        double const allowed =
            ratio_share * settings_.ratio * double(requests_.size()) +
            allowance;
        if (double(repeats_.size()) + 1 > allowed)
            return false;
        repeats_.push_back(now);
        return true;
    }

private:
    // Requests and their repeats fall into different windows of the fleet's
    // count; the rest of the ratio covers that.
    static constexpr double ratio_share = 0.95;

    void forget(std::deque<steady_time>& times, steady_time now) const
    {
        while (!times.empty() && times.front() + settings_.window < now)
            times.pop_front();
    }

    arrival_budget_settings settings_;
    steady_time allowance_from_;
    std::deque<steady_time> requests_;
    std::deque<steady_time> repeats_;
};

} // namespace dotterellock

#endif
