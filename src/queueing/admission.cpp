#include "admission.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// The design target is 5,200 organisations. Beyond this limit the least
// recently used bucket is evicted, as it is the most likely to be full again.
constexpr std::size_t max_buckets = 8192;

// Lower bound on a shard's burst. A burst divided by many shards would be so
// small that two concurrent requests to the same shard would be refused.
constexpr double min_burst_requests = 5;

constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{30000};

milliseconds retry_after(duration wait)
{
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(wait), min_retry_after,
        max_retry_after);
}

} // namespace

token_bucket_admission::token_bucket_admission(
    clock_source& clock, policy_source const& policy,
    wait_estimator const& estimator, counter_registry& counters,
    double rate_share)
    : clock_(clock), policy_(policy), wait_estimator_(estimator),
      rate_share_(rate_share),
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
    duration const wait = wait_estimator_.estimated_wait(model, rank);
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
        bucket& b = refilled_bucket(organisation, limits);
        if (b.available_requests < 1)
        {
            rate_limited_.add();
            std::chrono::duration<double> const until_available{
                (1 - b.available_requests) /
                (limits.requests_per_second * rate_share_)};
            throw error(
                error_code::rate_limited, "admit", {},
                "request rate of the organisation exceeds its limit",
                retry_after(
                    std::chrono::duration_cast<duration>(until_available)));
        }
        b.available_requests -= 1;
    }
    admitted_.add();
}

token_bucket_admission::bucket& token_bucket_admission::refilled_bucket(
    organisation_id const& organisation, organisation_policy const& limits)
{
    steady_time const now = clock_.now();
    double const burst = std::max(
        limits.burst_requests * rate_share_,
        std::min(limits.burst_requests, min_burst_requests));
    auto const found = bucket_index_.find(organisation);
    if (found == bucket_index_.end())
    {
        if (buckets_.size() >= max_buckets)
        {
            bucket_index_.erase(buckets_.back().organisation);
            buckets_.pop_back();
        }
        buckets_.push_front(bucket{organisation, burst, now});
        bucket_index_.emplace(organisation, buckets_.begin());
        return buckets_.front();
    }
    buckets_.splice(buckets_.begin(), buckets_, found->second);
    bucket& b = buckets_.front();
    std::chrono::duration<double> const elapsed = now - b.updated_at;
    b.updated_at = now;
    b.available_requests = std::min(
        burst, b.available_requests +
                   elapsed.count() * limits.requests_per_second * rate_share_);
    return b;
}

} // namespace dotterellock
