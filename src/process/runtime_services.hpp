// Services that an object graph of the decision core depends on. References
// only; the process or test owns the services.
#ifndef DOTTERELLOCK_PROCESS_RUNTIME_SERVICES_HPP
#define DOTTERELLOCK_PROCESS_RUNTIME_SERVICES_HPP

#include <memory>
#include <utility>

#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

struct runtime_services
{
    clock_source& clock;
    timer_service& timers;
    random_source& random;
    peer_transport& transport;
    decision_log& log;
    counter_registry& counters;
};

/// The policy used by one object graph; replaced as a whole under the graph's
/// lock.
class published_policy : public policy_source
{
public:
    explicit published_policy(policy_settings settings)
        : policy_(std::make_shared<policy_settings>(std::move(settings)))
    {
    }

    policy_settings const& current() const override { return *policy_; }

    void publish(std::shared_ptr<policy_settings const> policy)
    {
        policy_ = std::move(policy);
    }

private:
    std::shared_ptr<policy_settings const> policy_;
};

} // namespace dotterellock

#endif
