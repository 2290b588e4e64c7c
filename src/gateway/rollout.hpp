// Rollouts of software versions: an operator's order to move the traffic of a
// service to endpoints of another version, and how far the fleet got with it.
#ifndef DOTTERELLOCK_GATEWAY_ROLLOUT_HPP
#define DOTTERELLOCK_GATEWAY_ROLLOUT_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

struct rollout_settings
{
    bool enabled = false;        // whether the deployment has rollouts
    double exposure_share = 0.1; // of the service's requests, to a bad version
    double exposure_slack = 50;  // requests beyond that share
    std::chrono::milliseconds rollback_bound{5000};
};

/// An operator's order as read from the platform's store.
struct rollout_order
{
    service_name service;
    std::string to; // version
    std::chrono::milliseconds length{0};
    std::uint64_t revision = 0; // of the order's row
    steady_time not_before{};   // earliest time at which it may have been given
};

/// Whether `order` is `known`, read again from a store that was restored and
/// has given its row another revision.
bool is_restored(rollout_order const& order, rollout_order const& known);

enum class rollout_state
{
    running,
    completed,
    rolled_back // outranks the others
};

/// Progress of an order, as written to the store and sent to peers.
struct rollout_status
{
    service_name service;
    std::string to;
    rollout_state state = rollout_state::running;
    std::uint64_t order_revision = 0;
};

/// Whether `a` replaces `b`: it belongs to a newer order, or to the same one
/// with a state that outranks the other.
bool supersedes(rollout_status const& a, rollout_status const& b);

/// The sum of two states of one order, which has another revision in each as
/// the store was restored; `a` if they are of different orders.
rollout_status
merged_across_eras(rollout_status const& a, rollout_status const& b);

/// Times of an order's phases, measured from its beginning.
struct rollout_phases
{
    explicit rollout_phases(std::chrono::milliseconds length);

    std::chrono::milliseconds shift; // all new requests to the candidate
    std::chrono::milliseconds early_completion; // if old endpoints are idle
    std::chrono::milliseconds completion;

    double shift_share = 0; // of the order's length

    /// Share of the requests that the candidate may receive before the shift.
    double canary_share(rollout_settings const& settings) const;
};

/// Which versions of a service a new attempt may use.
struct version_choice
{
    enum class rule
    {
        any,    // versions do not matter
        only,   // endpoints of `version`
        prefer, // endpoints of `version`; others if none has room
    };

    rule kind = rule::any;
    std::string version;

    /// Whether the attempt counts as exposure of a candidate.
    bool candidate = false;

    /// Candidate traffic goes to this many endpoints only; 0: all.
    std::size_t max_endpoints = 0;
};

} // namespace dotterellock

#endif
