#include "admission.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Above the 5,200 organisations to design for. The least recently used bucket
// is dropped beyond that; it is the one most likely to be full again.
constexpr std::size_t max_buckets = 8192;

// A share of a burst over many shards would refuse two requests that happen to
// meet in one of them.
constexpr double smallest_burst = 5;

constexpr milliseconds shortest_retry{100};
constexpr milliseconds longest_retry{30000};

milliseconds retry_after(duration wait)
{
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(wait), shortest_retry,
        longest_retry);
}

} // namespace

token_bucket_admission::token_bucket_admission(
    clock_source& clock, policy_source const& policy,
    wait_estimator const& waits, counter_registry& counters, double share)
    : clock_(clock), policy_(policy), waits_(waits), share_(share),
      admitted_(counters.counter("admission_admitted_total")),
      rate_limited_(counters.counter("admission_rate_limited_total")),
      overloaded_(counters.counter("admission_overloaded_total"))
{
}

void token_bucket_admission::admit(
    organisation_id const& organisation, rank rank, model_ref const& model)
{
    auto const& policy = policy_.current();
    auto const& limits = policy.of(organisation);
    duration const wait = waits_.estimated_wait(model, rank);
    duration const limit = policy.ranks[index_of(rank)].waiting_limit;
    if (wait > limit)
    {
        overloaded_.add();
        throw error(
            error_code::overloaded, "admit", {},
            "estimated wait exceeds the waiting limit of rank " +
                std::string(to_string(rank)),
            retry_after(wait - limit));
    }
    if (limits.requests_per_second > 0)
    {
        bucket& b = bucket_of(organisation, limits);
        if (b.requests < 1)
        {
            rate_limited_.add();
            std::chrono::duration<double> const missing{
                (1 - b.requests) / (limits.requests_per_second * share_)};
            throw error(
                error_code::rate_limited, "admit", {},
                "request rate of the organisation exceeds its limit",
                retry_after(std::chrono::duration_cast<duration>(missing)));
        }
        b.requests -= 1;
    }
    admitted_.add();
}

token_bucket_admission::bucket& token_bucket_admission::bucket_of(
    organisation_id const& organisation, organisation_policy const& limits)
{
    steady_time const now = clock_.now();
    double const burst = std::max(
        limits.burst_requests * share_,
        std::min(limits.burst_requests, smallest_burst));
    auto const found = index_.find(organisation);
    if (found == index_.end())
    {
        if (buckets_.size() >= max_buckets)
        {
            index_.erase(buckets_.back().organisation);
            buckets_.pop_back();
        }
        buckets_.push_front(bucket{organisation, burst, now});
        index_.emplace(organisation, buckets_.begin());
        return buckets_.front();
    }
    buckets_.splice(buckets_.begin(), buckets_, found->second);
    bucket& b = buckets_.front();
    std::chrono::duration<double> const passed = now - b.updated;
    b.updated = now;
    b.requests = std::min(
        burst,
        b.requests + passed.count() * limits.requests_per_second * share_);
    return b;
}

} // namespace dotterellock
