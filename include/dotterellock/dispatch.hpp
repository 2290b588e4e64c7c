// Interfaces between a router's request handling (recovery, claims) and its
// endpoint selection. For each attempt the dispatcher reserves at candidate
// agents and reports the first offer. One dispatcher per router shard, called
// with that shard's lock held.
#ifndef DOTTERELLOCK_DISPATCH_HPP
#define DOTTERELLOCK_DISPATCH_HPP

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include <dotterellock/messages.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

struct place_request
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    organisation_id organisation;
    dotterellock::rank rank = rank::standard;
    work_kind kind = work_kind::generation;
    model_ref model;      // generations
    service_name service; // calls
    std::uint32_t estimated_tokens = 1;
    byte_count payload_bytes = 0;             // prompt or body, for link limits
    std::vector<std::uint64_t> prefix_blocks; // chained prompt block hashes
    std::set<endpoint_id> excluded;           // failed in earlier attempts
    duration waiting_limit{};                 // then fails as `overloaded`
    bool is_retry = false;                    // charged to the retry budget
};

/// A granted reservation. The dispatch must reach the agent before it expires.
struct placement
{
    endpoint_id endpoint;
    peer_id agent;
    permit_id permit = 0;
    dotterellock::incarnation incarnation = 0;
};

class dispatcher
{
public:
    virtual ~dispatcher() = default;

    /// Invokes `placed` or `refused` once, unless withdrawn, and never from
    /// within this call. The first offer withdraws all other reservations.
    virtual void place(
        place_request request, std::function<void(placement)> placed,
        std::function<void(error)> refused) = 0;

    /// Cancels the placement of the attempt if it is still pending.
    virtual void
    withdraw(request_id const& request, attempt_number attempt) = 0;

    /// Reports how the placed work ended; updates load and finds stragglers.
    virtual void
    finished(request_id const& request, attempt_number attempt, bool ok) = 0;
};

/// The router's view of the endpoints, which may be out of date.
class endpoint_lookup
{
public:
    virtual ~endpoint_lookup() = default;
    virtual std::vector<endpoint_info>
    serving(model_ref const& model) const = 0;
    virtual std::vector<endpoint_info>
    offering(service_name const& service) const = 0;
    virtual std::optional<endpoint_info>
    find(endpoint_id const& endpoint) const = 0;
};

/// Selects the routers that hold copies of a generation's output: routers of
/// this region, in other zones if possible, by rendezvous hash of the request.
class journal_placement
{
public:
    virtual ~journal_placement() = default;
    virtual std::vector<peer_id>
    holders(request_id const& request, std::size_t count) const = 0;
};

} // namespace dotterellock

#endif
