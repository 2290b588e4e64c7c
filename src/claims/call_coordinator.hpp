// Router side of plain calls. A repeatable call is placed, dispatched and, on
// failure, retried at another endpoint. A non-repeatable call is placed,
// claimed by a row in the table service and then dispatched at most once; its
// outcome comes from the agent named in that row. Open calls exist only in
// the memory of one router shard; claim rows are durable. Called under the
// shard's lock.
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
    /// Results up to this size are stored in the claim row; larger ones are
    /// kept only in the agent's memory.
    static constexpr std::size_t max_row_result_bytes = 16 * 1024;

    /// Number of claims with an unknown outcome that are kept in memory, so
    /// that a resubmitted call can be resolved while the store is unavailable.
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

    /// A `not_run` reply is final: the key is closed. A `refused` reply applies
    /// to this submission only; the same key may be submitted again, except
    /// after key_reused.
    void
    call(call_request request, std::function<void(call_reply)> done) override;

    /// Number of calls with at least one waiting caller.
    std::size_t open_calls() const override;

    /// Handles call_result; ignores other kinds.
    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

private:
    enum class call_phase
    {
        placing,     // waiting for the dispatcher to find an endpoint
        reading_row, // reading the claim row of the key
        claiming,    // waiting for the claim write
        running,     // dispatched, waiting for the result
        querying,    // claimed by another submission, whose agent is queried
        closing      // writing the row as not_run
    };

    struct waiter
    {
        std::uint64_t id = 0;
        std::function<void(call_reply)> done;
        timer_id deadline_timer = 0;
    };

    struct open_call
    {
        call_request request;
        std::uint64_t body_hash = 0;
        call_phase phase = call_phase::placing;
        std::uint64_t step_id = 0; // callbacks of earlier steps are ignored
        std::vector<waiter> waiters;
        steady_time deadline;    // latest deadline of the waiters
        timer_id step_timer = 0; // runs the next action of the current step

        attempt_number attempt = 0; // current attempt
        std::uint32_t attempt_count = 0;
        bool holds_placement = false;   // dispatcher::finished() is due
        placement current_placement;    // of the current attempt
        std::set<endpoint_id> excluded; // endpoints of failed attempts
        bool dispatched = false;        // at least one attempt was dispatched

        claim_row claim; // written by this submission or adopted
        row_version version = 0;

        bool query_unanswered = false; // no answer to the last query yet
        bool close_requested = false;  // a query with close_if_not_run was sent
        std::uint32_t retry_count = 0; // queries or closing writes, for backoff
        steady_time close_not_before;  // querying: when the permit has expired
        bool agent_reported_not_run = false; // closing: certain without the row
        steady_time retry_until; // closing: end of retries without waiters
    };

    using call_map = std::unordered_map<request_id, open_call>;

    void add_waiter(open_call& c, std::function<void(call_reply)> done);
    void on_deadline(request_id const& request, std::uint64_t waiter_id);
    void reply_on_deadline(open_call& c, waiter const& w);

    void request_placement(open_call& c);
    void on_placed(open_call& c, placement const& p);
    void on_placement_refused(open_call& c, error const& e);
    void read_claim_row(open_call& c, std::optional<error> const& refusal);
    void on_claim_row_read(
        open_call& c, std::optional<error> const& refusal,
        read_result const& result);
    void release_placement(open_call& c, bool ok);

    void write_claim(open_call& c);
    void on_claim_commit_result(open_call& c, commit_result const& result);
    void adopt_claim(open_call& c, row const& present);
    void adopt_claim(open_call& c, claim_row const& claim, row_version version);
    bool is_own_claim(open_call const& c, claim_row const& present) const;

    void dispatch(open_call& c);
    void retry(open_call& c, std::string const& reason);
    void on_result(open_call& c, call_result const& result);
    void on_repeatable_result(open_call& c, call_result const& result);
    void complete_call(open_call& c, call_result const& result);
    void finish_unknown(open_call& c, std::string const& detail);

    void start_querying(open_call& c);
    void send_query(open_call& c);
    void schedule_query(open_call& c, duration delay);

    void start_closing(
        open_call& c, bool agent_reported_not_run, std::string detail);
    void write_closed_row(open_call& c);
    void on_close_commit_result(open_call& c, commit_result const& result);
    void write_result_row(
        claim_row const& claim, row_version at, unsigned retry_count);

    void finish(open_call& c, call_reply const& reply);
    void reply_to_waiters(open_call& c, call_reply const& reply);
    void
    reply_later(std::function<void(call_reply)> done, call_reply const& reply);
    void count_reply(call_reply const& reply);
    void remember_unresolved(open_call const& c);

    /// Wraps a callback so that it is ignored once the call has ended or has
    /// begun another step.
    template<typename Function>
    auto bind_to_step(open_call const& c, Function function)
    {
        return guard_.wrap(
            [this, request = c.request.request, step_id = c.step_id,
             function = std::move(function)](auto const&... arguments)
            {
                auto const found = calls_.find(request);
                if (found != calls_.end() && found->second.step_id == step_id)
                    function(found->second, arguments...);
            });
    }
    void begin_step(open_call& c, call_phase next);
    void start_timer(
        open_call& c, duration delay, void (call_coordinator::*)(open_call&));
    void stop_timer(open_call& c);
    duration remaining_time(open_call const& c) const;
    duration store_timeout(open_call const& c) const;
    duration backoff(duration first, std::uint32_t retry_count);
    peer_id current_agent(open_call const& c) const;
    void log_decision(open_call const& c, char const* step, std::string reason);

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

    call_map calls_;
    std::uint64_t last_step_id_ = 0;
    std::uint64_t last_waiter_id_ = 0;

    struct unresolved_claim
    {
        claim_row claim;
        row_version version = 0;
    };
    std::unordered_map<request_id, unresolved_claim> unresolved_;
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
