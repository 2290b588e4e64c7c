// Agent side of plain calls: the only way to the service. Redeems the permit,
// passes each non-repeatable call on at most once in this incarnation, and
// answers what became of a call. Owns its memory of decisions, which is soft:
// a new incarnation knows nothing of its predecessor. Called under the agent's
// lock.
#ifndef DOTTERELLOCK_CLAIMS_CALL_GATE_HPP
#define DOTTERELLOCK_CLAIMS_CALL_GATE_HPP

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

#include "claims/decision_memory.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

class call_gate : public message_handler
{
public:
    /// Bounds of the memory. Results beyond max_result_bytes are dropped,
    /// oldest first. Beyond two times max_decisions the oldest decisions are
    /// dropped too, and calls the gate does not know are `unknown` from then
    /// on; 2 million cost at most 64 MiB.
    static constexpr std::size_t max_result_bytes = 64 * 1024 * 1024;
    static constexpr std::size_t max_decisions = 2'000'000;

    call_gate(
        incarnation self, clock_source& clock, timer_service& timers,
        peer_transport& transport, plain_service& service,
        permit_issuer& permits, policy_source const& policy,
        counter_registry& counters);
    ~call_gate() override;

    call_gate(call_gate const&) = delete;
    call_gate& operator=(call_gate const&) = delete;

    /// Handles dispatch_call and query_call; ignores other kinds.
    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    /// Calls passed on and not answered yet; an agent that stops waits for 0.
    std::size_t running_calls() const;

    /// Memory held for decisions and results, for metrics and bench.
    std::size_t memory_bytes() const;

private:
    /// What is kept in full: a running call, or a result until it expires.
    struct record
    {
        call_result result;          // outcome `running` while it runs
        std::set<peer_id> listeners; // to be told the outcome
        std::size_t bytes = 0;       // of memory, once finished
    };
    using attempt_key = std::pair<request_id, attempt_number>;

    void dispatch(peer_id const& from, dispatch_call const& call);
    void dispatch_once(peer_id const& from, dispatch_call const& call);
    void dispatch_repeatable(peer_id const& from, dispatch_call const& call);
    void query(peer_id const& from, query_call const& query);
    void pass_on(peer_id const& from, dispatch_call const& call);
    void finish(
        request_id const& request, permit_id permit,
        service_answer const& answer);

    /// What is known of the call; `unknown` when nothing is.
    call_result known(request_id const& request, attempt_number attempt) const;
    void forget_results();

    call_result result_for(
        request_id const& request, attempt_number attempt, call_outcome outcome,
        std::string detail) const;
    void reply(peer_id const& to, call_result const& result);

    incarnation self_;
    clock_source& clock_;
    timer_service& timers_;
    peer_transport& transport_;
    plain_service& service_;
    permit_issuer& permits_;
    policy_source const& policy_;

    std::unordered_map<request_id, record> records_;
    std::deque<std::pair<steady_time, request_id>> finished_; // by expiry
    std::size_t finished_bytes_ = 0;
    timer_id forget_timer_ = 0;
    std::set<attempt_key> running_repeatable_;
    std::size_t running_ = 0; // both kinds

    decision_memory decisions_;

    counter& runs_;
    counter& refused_;
    counter& queries_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
