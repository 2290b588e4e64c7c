#include "cross_region_budget.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Bucket size in seconds of the rate. Large enough that a prompt with a long
// pasted document fits into one router's share.
constexpr double burst_seconds = 10;

} // namespace

cross_region_budget::cross_region_budget(
    clock_source& clock, policy_source const& policy, double share)
    : clock_(clock), policy_(policy), share_(share), available_(0),
      updated_(clock.now())
{
    available_ = burst();
}

void cross_region_budget::set_share(double share)
{
    refill();
    share_ = share;
    available_ = std::min(available_, burst());
}

bool cross_region_budget::try_consume(byte_count bytes)
{
    refill();
    double const wanted = static_cast<double>(bytes);
    if (wanted > available_)
        return false;
    available_ -= wanted;
    return true;
}

void cross_region_budget::refund(byte_count bytes)
{
    available_ = std::min(burst(), available_ + static_cast<double>(bytes));
}

void cross_region_budget::refill()
{
    steady_time const now = clock_.now();
    std::chrono::duration<double> const passed = now - updated_;
    updated_ = now;
    available_ = std::min(burst(), available_ + passed.count() * rate());
}

double cross_region_budget::rate() const
{
    return policy_.current().dispatch.cross_region_bytes_per_second * share_;
}

double cross_region_budget::burst() const
{
    return rate() * burst_seconds;
}

} // namespace dotterellock
