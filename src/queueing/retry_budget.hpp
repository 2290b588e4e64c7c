// Limits retries per rank to a share of the first attempts plus a small
// constant rate, so that the loss of a zone causes no retry storm. One per
// router shard, called under its lock.
#ifndef DOTTERELLOCK_QUEUEING_RETRY_BUDGET_HPP
#define DOTTERELLOCK_QUEUEING_RETRY_BUDGET_HPP

#include <array>

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class retry_budget
{
public:
    /// @param rate_share  of the router's constant rate, for one of its shards
    retry_budget(
        clock_source& clock, policy_source const& policy,
        double rate_share = 1);

    void on_first_attempt(rank r);

    /// True when the retry may go ahead; it is then charged.
    bool try_retry(rank r);

private:
    struct account
    {
        double credit = 0; // retries
        steady_time updated_at;
    };

    account& updated_account(rank r);

    clock_source& clock_;
    policy_source const& policy_;
    double rate_share_;
    std::array<account, rank_count> accounts_;
};

} // namespace dotterellock

#endif
