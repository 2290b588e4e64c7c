#include "retry_budget.hpp"

#include <cmath>

namespace dotterellock
{

namespace
{

// Time constant in seconds of the exponential decay of retry credit. Without
// decay, hours of low load would accumulate enough credit for a retry storm.
constexpr std::chrono::duration<double> credit_time_constant{10};

} // namespace

retry_budget::retry_budget(
    clock_source& clock, policy_source const& policy, double rate_share)
    : clock_(clock), policy_(policy), rate_share_(rate_share)
{
    double const initial =
        policy.current().retry.budget_minimum_per_second * rate_share;
    accounts_.fill(account{initial, clock.now()});
}

void retry_budget::on_first_attempt(rank r)
{
    updated_account(r).credit += policy_.current().retry.budget_ratio;
}

bool retry_budget::try_retry(rank r)
{
    account& a = updated_account(r);
    if (a.credit < 1)
        return false;
    a.credit -= 1;
    return true;
}

retry_budget::account& retry_budget::updated_account(rank r)
{
    account& a = accounts_[index_of(r)];
    steady_time const now = clock_.now();
    std::chrono::duration<double> const elapsed = now - a.updated_at;
    a.updated_at = now;
    double const retained = std::exp(-elapsed / credit_time_constant);
    double const rate =
        policy_.current().retry.budget_minimum_per_second * rate_share_;
    a.credit = a.credit * retained +
               rate * credit_time_constant.count() * (1 - retained);
    return a;
}

} // namespace dotterellock
