// Limits attempts at endpoints beyond the first of each request, per service,
// so that a fault does not multiply the load. The budget of the fleet is a
// ratio of its requests plus a fixed allowance, in every window, wherever it
// begins; the requests may be those of the window itself, of the one before or
// of the one half a window before. Each gateway spends a ratio of a weighted
// mean of its own three counts plus a small share of the allowance. A mean of
// counts is additive, so the sum over the gateways needs no coordination and
// stays below the largest of the three sums, whatever the gateways' loads are.
//
// Designed for short calls to a full service, each refused several times, while
// bursts begin and end.
#ifndef DOTTERELLOCK_GATEWAY_SERVICE_RETRY_BUDGET_HPP
#define DOTTERELLOCK_GATEWAY_SERVICE_RETRY_BUDGET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
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

    void request_started(steady_time now);

    /// Whether so many more retries are within the budget.
    bool available(steady_time now, std::size_t retries = 1);

    /// Holds one retry back for a request that may need it soon.
    void reserve() { ++reserved_; }
    void release_reserved() { --reserved_; }

    /// Counts one more retry and returns true, or returns false if over budget.
    bool try_spend(steady_time now);

private:
    // Requests are counted where they start and retries where they are decided,
    // a few tens of milliseconds before they arrive. The rest of the ratio
    // covers the difference.
    static constexpr double local_ratio_fraction = 0.95;

    // Weights of the requests in a window, half a window before it and one
    // window before it. The last one matters most: retries are needed at once
    // when endpoints fail, before the window has requests of its own.
    static constexpr double own_weight = 0.25;
    static constexpr double half_before_weight = 0.25;
    static constexpr double before_weight = 0.5;

    static constexpr int steps_per_window = 100;

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

    /// Requests of one step of the window; steps without any are left out.
    struct request_count
    {
        steady_time step{};      // its beginning
        std::uint64_t total = 0; // up to its end, since the start
    };

    duration step_length() const
    {
        return duration(settings_.window) / steps_per_window;
    }

    void remove_expired(steady_time now);
    std::uint64_t requests_until(steady_time end) const;
    std::uint64_t requests_between(steady_time begin, steady_time end) const;
    double weighted_requests(steady_time window_begin, steady_time now) const;

    service_retry_budget_settings settings_;
    steady_time allowance_start_;
    std::deque<request_count> requests_; // of two windows
    std::uint64_t expired_requests_ = 0;
    std::deque<steady_time> retries_; // of one window
    std::size_t reserved_ = 0;
    std::deque<fleet_size_sample> fleet_sizes_; // of one window, descending
};

} // namespace dotterellock

#endif
