// Token bucket of bytes that one router shard may send over the link between
// regions. The region's budget is shared evenly by its routers and their
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
    /// @param share  of the region's budget: 1 / (routers * shards)
    cross_region_budget(
        clock_source& clock, policy_source const& policy, double share = 1);

    /// The number of routers in the region has changed.
    void set_share(double share);

    /// Takes the bytes when they are available; all or nothing.
    bool try_consume(byte_count bytes);

    /// Returns bytes that were taken and not sent.
    void refund(byte_count bytes);

    double available() const { return available_; }

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
