// Agent side of plain calls. Every call to the local service goes through this
// class: it redeems the permit, forwards a non-repeatable call at most once per
// incarnation and answers queries about the outcome of a call. Its state is in
// memory only, so a new incarnation knows nothing about calls forwarded by the
// previous one. Called under the agent's lock.
#ifndef DOTTERELLOCK_CLAIMS_CALL_RUNNER_HPP
#define DOTTERELLOCK_CLAIMS_CALL_RUNNER_HPP

#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include <dotterellock/admission.hpp>
#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "claims/call_decision_set.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

class call_runner : public message_handler
{
public:
    /// Memory limits. When kept results exceed max_result_bytes, the oldest
    /// are dropped. Between max_decisions and twice as many decisions are
    /// kept; once older ones are dropped, a call without a decision is
    /// reported as `unknown`. 2 million decisions take at most 64 MiB.
    static constexpr std::size_t max_result_bytes = 64 * 1024 * 1024;
    static constexpr std::size_t max_decisions = 2'000'000;

    call_runner(
        incarnation own_incarnation, clock_source& clock, timer_service& timers,
        peer_transport& transport, plain_service& service,
        permit_issuer& permits, policy_source const& policy,
        counter_registry& counters);
    ~call_runner() override;

    call_runner(call_runner const&) = delete;
    call_runner& operator=(call_runner const&) = delete;

    /// Handles dispatch_call and query_call; ignores other kinds.
    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    /// Calls forwarded to the service and not answered yet. An agent that shuts
    /// down waits until this is 0.
    std::size_t running_calls() const;

    /// Memory used by decisions and results, for metrics and benchmarks.
    std::size_t memory_bytes() const;

private:
    /// A running call, or the result of a finished one until it expires.
    struct call_record
    {
        call_result result;          // outcome `running` while it runs
        std::set<peer_id> listeners; // peers that receive the result
        std::size_t bytes = 0;       // estimated memory use, set on completion
    };
    using attempt_key = std::pair<request_id, attempt_number>;

    void on_dispatch(peer_id const& from, dispatch_call const& call);
    void
    dispatch_non_repeatable(peer_id const& from, dispatch_call const& call);
    void dispatch_repeatable(peer_id const& from, dispatch_call const& call);
    void on_query(peer_id const& from, query_call const& query);
    void forward_call(peer_id const& from, dispatch_call const& call);
    void finish_call(
        request_id const& request, permit_id permit,
        service_answer const& answer);

    /// The recorded state of the call; `unknown` if there is none.
    call_result
    recorded_result(request_id const& request, attempt_number attempt) const;
    void expire_results();

    call_result result_for(
        request_id const& request, attempt_number attempt, call_outcome outcome,
        std::string detail) const;
    void send_result(peer_id const& to, call_result const& result);

    incarnation own_incarnation_;
    clock_source& clock_;
    timer_service& timers_;
    peer_transport& transport_;
    plain_service& service_;
    permit_issuer& permits_;
    policy_source const& policy_;

    std::unordered_map<request_id, call_record> call_records_;
    std::deque<std::pair<steady_time, request_id>> results_by_expiry_;
    std::size_t result_bytes_ = 0;
    timer_id expiry_timer_ = 0;
    std::set<attempt_key> running_repeatable_;
    std::size_t running_count_ = 0; // repeatable or not

    call_decision_set decisions_;

    counter& forwarded_total_;
    counter& refused_total_;
    counter& queries_total_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
