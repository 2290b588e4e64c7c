// Router side of plain calls. Idempotent calls are placed, dispatched and
// retried elsewhere. Non-repeatable calls are placed, claimed by a row in the
// table service and then dispatched at most once; what became of a call is
// learned from the agent that the row names. Open calls are soft state of one
// router shard; claim rows are durable. Called under the shard's lock.
#ifndef DOTTERELLOCK_CLAIMS_CALL_COORDINATOR_HPP
#define DOTTERELLOCK_CLAIMS_CALL_COORDINATOR_HPP

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <dotterellock/call.hpp>
#include <dotterellock/dispatch.hpp>
#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "claims/claim_row.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

class call_coordinator : public call_service, public message_handler
{
public:
    /// Results up to this size are kept in the claim row; larger ones only in
    /// the agent's memory.
    static constexpr std::size_t max_row_result_bytes = 16 * 1024;

    /// Claims whose outcome this router could not tell; kept so that asking
    /// again works without the store.
    static constexpr std::size_t max_unresolved_claims = 10'000;

    call_coordinator(
        peer_id self, clock_source& clock, timer_service& timers,
        random_source& random, peer_transport& transport, dispatcher& dispatch,
        endpoint_lookup const& endpoints, table_service& store,
        policy_source const& policy, decision_log& log,
        counter_registry& counters);
    ~call_coordinator() override;

    call_coordinator(call_coordinator const&) = delete;
    call_coordinator& operator=(call_coordinator const&) = delete;

    /// A `not_run` reply is final: the key is closed. `refused` covers this
    /// submission only; the same key may be submitted again, except after
    /// key_reused.
    void
    call(call_request request, std::function<void(call_reply)> done) override;

    /// Calls whose callers still wait.
    std::size_t open_calls() const override;

    /// Handles call_result; ignores other kinds.
    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

private:
    enum class phase
    {
        placing,  // the dispatcher looks for an endpoint
        checking, // does the key have a row?
        claiming, // the claim write is under way
        running,  // dispatched, awaiting the result
        asking,   // another submission's claim; its agent is being asked
        closing   // the row is being closed as not_run
    };

    struct waiter
    {
        std::uint64_t id = 0;
        std::function<void(call_reply)> done;
        timer_id deadline = 0;
    };

    struct open_call
    {
        call_request request;
        std::uint64_t body_hash = 0;
        phase now_in = phase::placing;
        std::uint64_t step = 0; // callbacks of earlier steps are ignored
        std::vector<waiter> waiters;
        steady_time deadline; // latest of the waiters'
        timer_id timer = 0;   // of the present step

        attempt_number attempt = 0; // present one
        std::uint32_t attempts = 0;
        bool placed = false;            // dispatcher awaits finished()
        placement place;                // of the present attempt
        std::set<endpoint_id> excluded; // failed in earlier attempts
        bool sent = false;              // any attempt was dispatched

        claim_row claim; // own or adopted
        row_version version = 0;

        bool unanswered = false;   // the last query had no answer yet
        bool close_asked = false;  // a query with close_if_not_run was sent
        std::uint32_t tries = 0;   // of queries or closing writes, for backoff
        steady_time close_from;    // asking: not before the permit has expired
        bool agent_stated = false; // closing: the agent said not_run
        steady_time given_up_at;   // closing: end of background retries
    };

    using calls = std::unordered_map<request_id, open_call>;

    void join(open_call& c, std::function<void(call_reply)> done);
    void on_deadline(request_id const& request, std::uint64_t waiter);
    void after_deadline(open_call& c, waiter const& w);

    void place(open_call& c);
    void on_placed(open_call& c, placement const& place);
    void on_refused(open_call& c, error const& e);
    void check_row(open_call& c, std::optional<error> const& refusal);
    void on_checked(
        open_call& c, std::optional<error> const& refusal,
        read_result const& result);
    void leave_place(open_call& c, bool ok);

    void write_claim(open_call& c);
    void on_claim_answer(open_call& c, commit_result const& result);
    void adopt(open_call& c, row const& present);
    void adopt(open_call& c, claim_row const& claim, row_version version);
    bool is_own(open_call const& c, claim_row const& present) const;

    void dispatch(open_call& c);
    void retry(open_call& c, std::string const& reason);
    void on_result(open_call& c, call_result const& result);
    void on_repeatable_result(open_call& c, call_result const& result);
    void complete(open_call& c, call_result const& result);
    void outcome_unknown(open_call& c, std::string const& detail);

    void ask(open_call& c);
    void probe(open_call& c);
    void arm_probe(open_call& c, duration delay);

    void start_closing(open_call& c, bool agent_stated, std::string detail);
    void write_closed(open_call& c);
    void on_closed_answer(open_call& c, commit_result const& result);
    void store_result(claim_row const& claim, row_version at, unsigned tries);

    void finish(open_call& c, call_reply const& reply);
    void reply_all(open_call& c, call_reply const& reply);
    void
    reply_later(std::function<void(call_reply)> done, call_reply const& reply);
    void count(call_reply const& reply);
    void remember_unresolved(open_call const& c);

    /// A callback that is ignored once the call has ended or taken another
    /// step.
    template<typename Function>
    auto bind(open_call const& c, Function function)
    {
        return guard_.wrap(
            [this, request = c.request.request, step = c.step,
             function = std::move(function)](auto const&... arguments)
            {
                auto const found = calls_.find(request);
                if (found != calls_.end() && found->second.step == step)
                    function(found->second, arguments...);
            });
    }
    void begin_step(open_call& c, phase next);
    void start_timer(
        open_call& c, duration delay, void (call_coordinator::*)(open_call&));
    void stop_timer(open_call& c);
    duration remaining(open_call const& c) const;
    duration store_timeout(open_call const& c) const;
    duration backoff(duration first, std::uint32_t tries);
    peer_id agent_of(open_call const& c) const;
    void log(open_call const& c, char const* step, std::string reason);

    peer_id self_;
    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    peer_transport& transport_;
    dispatcher& dispatcher_;
    endpoint_lookup const& endpoints_;
    table_service& store_;
    policy_source const& policy_;
    decision_log& log_;

    calls calls_;
    std::uint64_t last_step_ = 0;
    std::uint64_t last_waiter_ = 0;

    struct unresolved
    {
        claim_row claim;
        row_version version = 0;
    };
    std::unordered_map<request_id, unresolved> unresolved_;
    std::deque<request_id> unresolved_order_;

    counter& done_total_;
    counter& not_run_total_;
    counter& refused_total_;
    counter& unknown_total_;
    counter& retries_total_;
    counter& queries_total_;
    counter& conflicts_total_;
    latency_histogram& claim_seconds_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
