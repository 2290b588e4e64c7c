// Token bucket that limits the bytes which one router shard sends to other
// regions. The budget of a region is divided evenly among its routers and their
// shards. Called under the shard's lock.
#ifndef DOTTERELLOCK_CHOICE_CROSS_REGION_BUDGET_HPP
#define DOTTERELLOCK_CHOICE_CROSS_REGION_BUDGET_HPP

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class cross_region_budget
{
public:
    /// @param share  fraction of the region's budget: 1 / (routers * shards)
    cross_region_budget(
        clock_source& clock, policy_source const& policy, double share = 1);

    /// Updates the share after the number of routers in the region changed.
    void set_share(double share);

    /// Consumes all of the bytes, or none when too few are available.
    bool try_consume(byte_count bytes);

    /// Returns bytes that were consumed but not sent.
    void refund(byte_count bytes);

    double available() const { return available_; } // bytes

private:
    void refill();
    double rate() const;
    double burst() const;

    clock_source& clock_;
    policy_source const& policy_;
    double share_;
    double available_; // bytes
    steady_time updated_;
};

} // namespace dotterellock

#endif
