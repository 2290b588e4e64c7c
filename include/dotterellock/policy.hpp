// The policy of one node, derived from the fleet configuration: ranks, limits,
// retry and recovery settings. Plain values with built-in defaults; the
// configuration module sets them and the decision modules read them.
#ifndef DOTTERELLOCK_POLICY_HPP
#define DOTTERELLOCK_POLICY_HPP

#include <array>
#include <chrono>
#include <map>
#include <string>

#include <dotterellock/types.hpp>

namespace dotterellock
{

using std::chrono::milliseconds;

struct rank_policy
{
    milliseconds first_token_target{1500};
    milliseconds waiting_limit{10000}; // refused if it would wait longer
    double worth = 1;                  // relative value of one request
    double floor_share = 0;            // of tokens, kept under overload; 0 to 1
};

struct organisation_policy
{
    double requests_per_second = 50; // sustained; 0: unlimited
    double burst_requests = 200;
    double weight = 1; // fair-share weight within a rank
    dotterellock::rank default_rank = rank::standard;
    dotterellock::rank highest_rank = rank::urgent; // most urgent one allowed
};

struct queue_policy
{
    std::size_t max_reservations = 4096; // per agent queue
    std::uint32_t quantum_tokens = 2048; // deficit round robin
    milliseconds offer_validity{500};
};

struct dispatch_policy
{
    std::uint32_t reservations = 2;               // made at first
    milliseconds extra_reservation_after{250};    // one more if no offer came
    std::uint32_t max_reservations = 6;           // at one time
    double cross_region_bytes_per_second = 1.0e6; // of the whole region
    double straggler_pace = 0.5;                  // of the median token rate
    milliseconds straggler_probe_after{10000};
};

struct retry_policy
{
    double budget_ratio = 0.1; // retries per first attempt
    double budget_minimum_per_second = 5;
    std::uint32_t max_attempts = 8; // of one request
};

struct recovery_policy
{
    milliseconds report_interval{1000};        // load reports
    milliseconds heartbeat_interval{200};      // agent to routers with work
    milliseconds silent_after{600};            // no message from an agent
    milliseconds stalled_after{700};           // no token while decoding
    milliseconds prefill_stalled_after{30000}; // no first token
    milliseconds check_timeout{250};           // attach over a new connection
    milliseconds grace_period{30000};          // kept without a caller or owner
    milliseconds journal_after{1000};          // age at which copying starts
    milliseconds journal_interval{250};
    std::uint32_t journal_holders = 2;
    std::uint32_t max_unsent_tokens = 4096; // buffered per slow caller
};

struct call_policy
{
    milliseconds default_timeout{5000}; // of operations that set none
    milliseconds claim_batch_delay{5};  // read at startup
    milliseconds store_timeout{1000};
    milliseconds result_kept_for{600000}; // how long agents keep results
};

/// How a plain operation may be retried. Must be configured: has no default.
struct operation_policy
{
    bool repeatable = false; // idempotent: may run more than once
    milliseconds timeout{0}; // 0: call_policy::default_timeout
};

struct policy_settings
{
    std::array<rank_policy, rank_count> ranks = {
        rank_policy{milliseconds{1500}, milliseconds{5000}, 100, 0.0},
        rank_policy{milliseconds{5000}, milliseconds{20000}, 10, 0.1},
        rank_policy{milliseconds{30000}, milliseconds{120000}, 1, 0.05}};
    organisation_policy organisation; // unless listed below
    std::map<organisation_id, organisation_policy> organisations;
    queue_policy queue;
    dispatch_policy dispatch;
    retry_policy retry;
    recovery_policy recovery;
    call_policy call;
    std::map<std::string, operation_policy> operations; // "service/operation"

    organisation_policy const& of(organisation_id const& organisation) const
    {
        auto const found = organisations.find(organisation);
        return found == organisations.end() ? this->organisation
                                            : found->second;
    }
};

/// Read access to the policy in force. The reference is valid until the caller
/// has handled the current event.
class policy_source
{
public:
    virtual ~policy_source() = default;
    virtual policy_settings const& current() const = 0;
};

} // namespace dotterellock

#endif
