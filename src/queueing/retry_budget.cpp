#include "retry_budget.hpp"

#include <cmath>

namespace dotterellock
{

namespace
{

// Credit decays with this time constant, so that hours of quiet operation do
// not add up to a budget for a storm.
constexpr std::chrono::duration<double> credit_memory{10};

} // namespace

retry_budget::retry_budget(
    clock_source& clock, policy_source const& policy, double share)
    : clock_(clock), policy_(policy), share_(share)
{
    double const initial =
        policy.current().retry.budget_minimum_per_second * share;
    accounts_.fill(account{initial, clock.now()});
}

void retry_budget::on_first_attempt(rank r)
{
    settle(r).credit += policy_.current().retry.budget_ratio;
}

bool retry_budget::try_retry(rank r)
{
    account& a = settle(r);
    if (a.credit < 1)
        return false;
    a.credit -= 1;
    return true;
}

retry_budget::account& retry_budget::settle(rank r)
{
    account& a = accounts_[index_of(r)];
    steady_time const now = clock_.now();
    std::chrono::duration<double> const passed = now - a.updated;
    a.updated = now;
    double const kept = std::exp(-passed / credit_memory);
    double const rate =
        policy_.current().retry.budget_minimum_per_second * share_;
    a.credit = a.credit * kept + rate * credit_memory.count() * (1 - kept);
    return a;
}

} // namespace dotterellock
