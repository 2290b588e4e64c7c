// Admission control: permits of an agent, checks of new requests at a router.
#ifndef DOTTERELLOCK_ADMISSION_HPP
#define DOTTERELLOCK_ADMISSION_HPP

#include <optional>

#include <dotterellock/messages.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// Agent side: queues reservations and issues permits. One per agent, called
/// with the agent's lock held. generation_runner and call_runner redeem a
/// permit before they start the work and release it when the work has ended.
class permit_issuer
{
public:
    virtual ~permit_issuer() = default;

    /// Redeems a permit; its work counts as running from then on. Returns an
    /// error code if the permit is unknown or expired, belongs to another
    /// attempt, or was issued by another incarnation; empty on success.
    virtual std::optional<error_code> redeem(
        permit_id permit, request_id const& request, attempt_number attempt,
        incarnation issued_by) = 0;

    /// Marks the work of a redeemed permit as ended.
    /// @param tokens  actual cost; corrects the fair-share accounting
    virtual void release(permit_id permit, std::uint32_t tokens) = 0;

    /// Records the token rate of one decoding stream for load reports. Routers
    /// avoid endpoints whose rate is far below the median.
    virtual void observe_token_rate(double /*tokens_per_second*/) {}
};

/// Router side, called before a request is queued. Throws error(rate_limited)
/// or error(overloaded) with retry_after.
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
