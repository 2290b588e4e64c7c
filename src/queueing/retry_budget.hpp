// Limits the retries of each rank to a fraction of its first attempts plus a
// small constant rate, so that the loss of a zone causes no retry storm. Each
// router shard has one instance and calls it under the shard's lock.
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
    /// @param rate_share  part of the router's constant rate that this shard
    ///                    may use
    retry_budget(
        clock_source& clock, policy_source const& policy,
        double rate_share = 1);

    void on_first_attempt(rank r);

    /// Charges one retry to the budget. Returns false, and charges nothing,
    /// when the budget is exhausted.
    bool try_retry(rank r);

private:
    struct account
    {
        double credit = 0; // in retries
        steady_time updated_at;
    };

    /// Applies decay and the constant rate since the last update.
    account& updated_account(rank r);

    clock_source& clock_;
    policy_source const& policy_;
    double rate_share_;
    std::array<account, rank_count> accounts_;
};

} // namespace dotterellock

#endif
