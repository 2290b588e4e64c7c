#include "endpoint_state.hpp"

#include <algorithm>

#include <xxhash.h>

namespace dotterellock
{

void endpoint_state::record_outcome(attempt_outcome outcome, steady_time now)
{
    bool const failed = outcome == attempt_outcome::unreachable ||
                        outcome == attempt_outcome::lost ||
                        outcome == attempt_outcome::silent;
    failure_rate_ += rate_smoothing * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (outcome == attempt_outcome::served ||
        outcome == attempt_outcome::failed_answer)
    {
        bool const error = outcome == attempt_outcome::failed_answer;
        error_rate_ += rate_smoothing * ((error ? 1.0 : 0.0) - error_rate_);
        next_suspension_ = initial_suspension;
        last_activity_ = now;
        next_full_time_ = {};
        call_limit_ += 1 / std::max(call_limit_, 1.0);
    }
    if (outcome == attempt_outcome::refused)
        record_refusal(now);
    if (outcome == attempt_outcome::misdirected)
        set_leaving(now); // until a registration names another incarnation
    if (!failed)
        return;
    last_failure_ = now;
    if (suspended(now))
        return; // several attempts saw the same failure
    suspended_until_ = now + next_suspension_;
    next_suspension_ = std::min(next_suspension_ * 2, max_suspension);
}

/// Halves the calls that run there at once; each call that is served adds a
/// part of one. The time without calls differs between gateways, which would
/// come back together otherwise.
void endpoint_state::record_refusal(steady_time now)
{
    suspended_until_ = std::max(suspended_until_, now + initial_suspension / 2);
    if (now >= limited_until_)
        call_limit_ = std::numeric_limits<double>::infinity();
    call_limit_ =
        std::max(std::min(call_limit_, double(load.requests)) / 2, 1.0);
    limited_until_ = now + limit_time;
    next_full_time_ = std::clamp<duration>(
        std::max<duration>(next_full_time_ * 2, latency_), min_full_time,
        max_full_time);
    auto const seed = XXH3_64bits_withSeed(
        record_.id.value().data(), record_.id.value().size(),
        std::uint64_t(now.time_since_epoch().count()));
    constexpr int parts = 1000;
    auto const part = int(seed % parts) + parts / 2; // half to one and a half
    full_until_ = std::max(full_until_, now + next_full_time_ * part / parts);
}

void endpoint_state::record_latency(std::chrono::microseconds latency)
{
    if (!has_latency())
        latency_ = latency;
    else
        latency_ += std::chrono::microseconds(std::int64_t(
            rate_smoothing * double((latency - latency_).count())));
}

void endpoint_state::record_report(
    endpoint_report const& report, steady_time at)
{
    if (at < reported_at_)
        return;
    reported_at_ = at;
    reported_waiting_ = report.waiting;
    reported_running_ = report.running;
    reported_tokens_ = report.used_tokens;
    running_for_others_ =
        report.running > load.requests ? report.running - load.requests : 0;
    tokens_used_by_others_ = report.used_tokens > load.memory_tokens
                                 ? report.used_tokens - load.memory_tokens
                                 : 0;
}

std::optional<endpoint_report>
endpoint_state::recent_report(steady_time now) const
{
    if (!report_recent(now))
        return std::nullopt;
    endpoint_report report;
    report.running = reported_running_;
    report.waiting = reported_waiting_;
    report.used_tokens = reported_tokens_;
    return report;
}

endpoint_reservation::endpoint_reservation(
    std::shared_ptr<endpoint_state> endpoint,
    endpoint_state::workload const& workload)
    : endpoint_(std::move(endpoint)), workload_(workload)
{
    auto& load = endpoint_->load;
    load.requests += workload_.requests;
    load.memory_tokens += workload_.memory_tokens;
    load.prefill_tokens += workload_.prefill_tokens;
}

endpoint_reservation&
endpoint_reservation::operator=(endpoint_reservation&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    endpoint_ = std::move(other.endpoint_);
    workload_ = other.workload_;
    other.endpoint_.reset();
    return *this;
}

void endpoint_reservation::release()
{
    if (!endpoint_)
        return;
    auto& load = endpoint_->load;
    load.requests -= workload_.requests;
    load.memory_tokens -= workload_.memory_tokens;
    load.prefill_tokens -= workload_.prefill_tokens;
    endpoint_.reset();
}

void endpoint_reservation::prefill_done()
{
    if (!endpoint_)
        return;
    endpoint_->load.prefill_tokens -= workload_.prefill_tokens;
    workload_.prefill_tokens = 0;
}

} // namespace dotterellock
