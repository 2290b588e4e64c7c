#include "endpoint_state.hpp"

#include <algorithm>

namespace dotterellock
{

void endpoint_state::record_outcome(endpoint_outcome outcome, steady_time now)
{
    bool const failed = outcome == endpoint_outcome::unreachable ||
                        outcome == endpoint_outcome::lost ||
                        outcome == endpoint_outcome::silent;
    failure_rate_ += smoothing * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (outcome == endpoint_outcome::served ||
        outcome == endpoint_outcome::failed_answer)
    {
        bool const error = outcome == endpoint_outcome::failed_answer;
        error_rate_ += smoothing * ((error ? 1.0 : 0.0) - error_rate_);
        next_suspension_ = first_suspension;
        active_at_ = now;
    }
    if (outcome == endpoint_outcome::refused)
        suspended_until_ =
            std::max(suspended_until_, now + first_suspension / 2);
    if (outcome == endpoint_outcome::misdirected)
        leave(now); // until its registration names another incarnation
    if (!failed)
        return;
    failed_at_ = now;
    if (suspended(now))
        return; // several attempts saw one failure
    suspended_until_ = now + next_suspension_;
    next_suspension_ = std::min(next_suspension_ * 2, longest_suspension);
}

void endpoint_state::record_latency(std::chrono::microseconds latency)
{
    if (!measured())
        latency_ = latency;
    else
        latency_ += std::chrono::microseconds(
            std::int64_t(smoothing * double((latency - latency_).count())));
}

void endpoint_state::record_report(
    endpoint_report const& report, steady_time now)
{
    reported_at_ = now;
    reported_waiting_ = report.waiting;
    foreign_tokens_ = report.used_tokens > load.memory_tokens
                          ? report.used_tokens - load.memory_tokens
                          : 0;
}

endpoint_reservation::endpoint_reservation(
    std::shared_ptr<endpoint_state> endpoint,
    endpoint_state::workload const& share)
    : endpoint_(std::move(endpoint)), share_(share)
{
    auto& load = endpoint_->load;
    load.requests += share_.requests;
    load.memory_tokens += share_.memory_tokens;
    load.prefill_tokens += share_.prefill_tokens;
}

endpoint_reservation&
endpoint_reservation::operator=(endpoint_reservation&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    endpoint_ = std::move(other.endpoint_);
    share_ = other.share_;
    other.endpoint_.reset();
    return *this;
}

void endpoint_reservation::release()
{
    if (!endpoint_)
        return;
    auto& load = endpoint_->load;
    load.requests -= share_.requests;
    load.memory_tokens -= share_.memory_tokens;
    load.prefill_tokens -= share_.prefill_tokens;
    endpoint_.reset();
}

void endpoint_reservation::prefill_done()
{
    if (!endpoint_)
        return;
    endpoint_->load.prefill_tokens -= share_.prefill_tokens;
    share_.prefill_tokens = 0;
}

} // namespace dotterellock
