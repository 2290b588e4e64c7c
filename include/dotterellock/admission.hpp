// The agent's gate for new work and the router's early refusal.
#ifndef DOTTERELLOCK_ADMISSION_HPP
#define DOTTERELLOCK_ADMISSION_HPP

#include <optional>

#include <dotterellock/messages.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// Agent side: orders reservations and issues permits. One per agent, called
/// under the agent's lock. The gates (generation_gate, call_gate) redeem a
/// permit before they pass work on and release it when the work has ended.
class permit_issuer
{
public:
    virtual ~permit_issuer() = default;

    /// Redeems a permit; afterwards it counts as running work. Returns the
    /// reason when it is unknown, expired, for another attempt, or issued by
    /// another incarnation.
    virtual std::optional<error_code> redeem(
        permit_id permit, request_id const& request, attempt_number attempt,
        incarnation issued_by) = 0;

    /// The work of a redeemed permit has ended.
    /// @param tokens  actual cost, which corrects the fair shares
    virtual void release(permit_id permit, std::uint32_t tokens) = 0;

    /// Pace of one decoding stream, for load reports: routers set endpoints
    /// aside whose pace is far below the median.
    virtual void observe_token_rate(double /*tokens_per_second*/) {}
};

/// Router side, before anything is queued. Throws error(rate_limited) or
/// error(overloaded) with retry_after.
class admission_control
{
public:
    virtual ~admission_control() = default;
    virtual void admit(
        organisation_id const& organisation, rank rank,
        model_ref const& model) = 0;
};

} // namespace dotterellock

#endif
