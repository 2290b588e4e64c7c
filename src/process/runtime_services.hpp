// What an object graph of the decision core is built on. References only; the
// process, or a test, owns the services.
#ifndef DOTTERELLOCK_PROCESS_RUNTIME_SERVICES_HPP
#define DOTTERELLOCK_PROCESS_RUNTIME_SERVICES_HPP

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

/// A policy that stays as the settings gave it.
class fixed_policy_source : public policy_source
{
public:
    explicit fixed_policy_source(policy_settings settings)
        : settings_(std::move(settings))
    {
    }

    policy_settings const& current() const override { return settings_; }

private:
    policy_settings settings_;
};

} // namespace dotterellock

#endif
