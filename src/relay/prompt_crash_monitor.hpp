// Reports crashes and proofs of prompts to the quarantine, and logs and counts
// what follows from them. Owned by the gateway; runs on its I/O thread.
#ifndef DOTTERELLOCK_RELAY_PROMPT_CRASH_MONITOR_HPP
#define DOTTERELLOCK_RELAY_PROMPT_CRASH_MONITOR_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/types.hpp>

#include "gateway/event_log.hpp"
#include "gateway/prompt_quarantine.hpp"
#include "gateway/suspected_crashes.hpp"

namespace dotterellock
{

/// Reason of a refusal, in responses, logs and metrics.
constexpr char quarantined_prompt[] = "quarantined_prompt";

class prompt_crash_monitor
{
public:
    /// @param changed  called when there is new evidence for the peers
    prompt_crash_monitor(
        event_log& log, counter_registry& counters,
        std::function<void()> changed);

    prompt_crash_monitor(prompt_crash_monitor const&) = delete;
    prompt_crash_monitor& operator=(prompt_crash_monitor const&) = delete;

    /// The endpoint was lost at `at`, before an attempt with these parts was
    /// proven.
    void record_crash(
        request_id const& request, endpoint_id const& endpoint,
        prompt_part_keys const& parts, steady_time at, steady_time now);

    /// The connection ended as if the endpoint had closed it while idle. It is
    /// a crash if the endpoint turns out to be lost.
    void suspect_crash(suspected_crash suspicion);

    /// The endpoint accepts no connection.
    void record_dead(endpoint_state const& endpoint, steady_time now);

    /// The endpoint accepted a connection that was begun at `began`.
    void record_alive(endpoint_state const& endpoint, steady_time began);

    /// @param replaced  whether another incarnation is registered
    void record_replaced(
        std::function<bool(endpoint_state const& endpoint)> const& replaced,
        steady_time now);

    /// Endpoints whose check would decide whether they crashed.
    std::vector<std::shared_ptr<endpoint_state>> suspected_endpoints() const
    {
        return suspicions_.undecided();
    }

    /// An attempt with these parts is proven.
    void record_proof(
        prompt_part_keys const& parts, steady_time first_event,
        steady_time now);

    /// Merges the evidence of another gateway.
    void merge(
        host_id const& gateway, crash_evidence const& evidence,
        steady_time now);

    /// Rest of the quarantine of a request, which must be refused. Empty if it
    /// may be sent.
    std::optional<std::chrono::milliseconds>
    quarantined_for(prompt_part_keys const& parts, steady_time now) const;

    void count_refusal() { refusals_.add(); }

    /// Ends quarantines and forgets old evidence; called several times a
    /// second.
    void remove_expired(steady_time now);

    crash_evidence evidence(steady_time now) const
    {
        return quarantine_.evidence(now);
    }
    std::size_t quarantined_parts(steady_time now) const
    {
        return quarantine_.quarantined_parts(now);
    }

private:
    void record_crashes(
        suspected_crashes::crash_list const& crashes, steady_time now);
    void update(steady_time now, std::string const& source);

    event_log& log_;
    counter& incidents_;
    counter& refusals_;
    std::function<void()> const changed_;
    prompt_quarantine quarantine_;
    suspected_crashes suspicions_;
    std::set<std::uint64_t> suspects_;    // parts with incidents
    std::set<std::uint64_t> quarantined_; // parts, as logged
};

} // namespace dotterellock

#endif
