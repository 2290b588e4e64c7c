// Refuses requests before they are queued: when the organisation exceeds its
// request rate, or when the estimated wait exceeds the waiting limit of the
// rank. Each router shard has one instance and calls it under the shard's lock.
// Memory is bounded.
#ifndef DOTTERELLOCK_QUEUEING_ADMISSION_HPP
#define DOTTERELLOCK_QUEUEING_ADMISSION_HPP

#include <list>
#include <unordered_map>

#include <dotterellock/admission.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/policy.hpp>

namespace dotterellock
{

/// Estimates how long new work of a rank would wait. Implemented by
/// endpoint_directory.
class wait_estimator
{
public:
    virtual ~wait_estimator() = default;
    virtual duration estimated_wait(model_ref const& model, rank r) const = 0;
};

class token_bucket_admission : public admission_control
{
public:
    /// @param rate_share  part of each organisation's rate and burst that this
    ///                    shard admits: 1 / (routers * shards), because the
    ///                    load balancer spreads requests evenly
    token_bucket_admission(
        clock_source& clock, policy_source const& policy,
        wait_estimator const& estimator, counter_registry& counters,
        double rate_share = 1);

    void admit(
        organisation_id const& organisation, rank rank,
        model_ref const& model) override;

    std::size_t tracked_organisations() const { return buckets_.size(); }

private:
    struct bucket
    {
        organisation_id organisation;
        double available_requests = 0; // tokens left in the bucket
        steady_time updated_at;
    };
    using bucket_list = std::list<bucket>; // front: most recently used

    bucket& refilled_bucket(
        organisation_id const& organisation, organisation_policy const& limits);

    clock_source& clock_;
    policy_source const& policy_;
    wait_estimator const& wait_estimator_;
    double const rate_share_;
    counter& admitted_;
    counter& rate_limited_;
    counter& overloaded_;
    bucket_list buckets_;
    std::unordered_map<organisation_id, bucket_list::iterator> bucket_index_;
};

} // namespace dotterellock

#endif
