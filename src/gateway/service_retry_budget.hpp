// Limits attempts at endpoints beyond the first of each request, per service,
// so that a fault does not multiply the load. The budget of the fleet is a
// ratio of its requests plus a fixed allowance. Each gateway spends a ratio of
// its own requests plus a small share of the allowance, and so needs no
// coordination.
#ifndef DOTTERELLOCK_GATEWAY_SERVICE_RETRY_BUDGET_HPP
#define DOTTERELLOCK_GATEWAY_SERVICE_RETRY_BUDGET_HPP

#include <chrono>
#include <cstddef>
#include <deque>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

struct service_retry_budget_settings
{
    double ratio = 0.8;                      // for the whole fleet
    std::chrono::milliseconds window{10000}; // sliding
    double allowance = 150;                  // for the whole fleet, per window
    double fleet_size = 8; // sharing gateways, until their number is known
};

class service_retry_budget
{
public:
    /// @param allowance_start  only the ratio applies before this time: a
    ///                         process that restarts within a window must not
    ///                         spend the previous process's share of the
    ///                         allowance again
    explicit service_retry_budget(
        service_retry_budget_settings const& settings,
        steady_time allowance_start = steady_time::min())
        : settings_(settings), allowance_start_(allowance_start)
    {
    }

    /// Applies changed settings; attempts already spent still count.
    void set_settings(service_retry_budget_settings const& settings)
    {
        settings_ = settings;
    }

    /// Applies the current number of gateways. A smaller one counts only after
    /// one window: what a gateway that left has spent still counts, and a
    /// stopping one goes on spending.
    void set_fleet_size(std::size_t gateways, steady_time now)
    {
        while (!fleet_sizes_.empty() &&
               fleet_sizes_.back().gateways <= gateways)
            fleet_sizes_.pop_back();
        fleet_sizes_.push_back({gateways, now});
        while (fleet_sizes_.front().last_seen + settings_.window < now)
            fleet_sizes_.pop_front();
    }

    void request_started(steady_time now) { requests_.push_back(now); }

    /// Whether so many more retries are within the budget.
    bool available(steady_time now, std::size_t retries = 1)
    {
        remove_expired(requests_, now);
        remove_expired(retries_, now);
        double const allowance =
            now < allowance_start_ ? 0 : settings_.allowance / fleet_size();
        double const allowed =
            local_ratio_fraction * settings_.ratio * double(requests_.size()) +
            allowance;
        return double(retries_.size() + reserved_ + retries) <= allowed;
    }

    /// Holds one retry back for a request that may need it soon.
    void reserve() { ++reserved_; }
    void release_reserved() { --reserved_; }

    /// Counts one more retry and returns true, or returns false if over budget.
    bool try_spend(steady_time now)
    {
        if (!available(now))
            return false;
        retries_.push_back(now);
        return true;
    }

private:
    // A request and its retries may fall into different windows of the fleet's
    // count; the rest of the ratio covers that.
    static constexpr double local_ratio_fraction = 0.95;

    struct fleet_size_sample
    {
        std::size_t gateways = 0;
        steady_time last_seen{};
    };

    double fleet_size() const
    {
        return fleet_sizes_.empty() ? settings_.fleet_size
                                    : double(fleet_sizes_.front().gateways);
    }

    void remove_expired(std::deque<steady_time>& times, steady_time now) const
    {
        while (!times.empty() && times.front() + settings_.window < now)
            times.pop_front();
    }

    service_retry_budget_settings settings_;
    steady_time allowance_start_;
    std::deque<steady_time> requests_;
    std::deque<steady_time> retries_;
    std::size_t reserved_ = 0;
    std::deque<fleet_size_sample> fleet_sizes_; // of one window, descending
};

} // namespace dotterellock

#endif
