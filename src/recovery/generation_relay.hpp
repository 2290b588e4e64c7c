// Delivers the tokens of a generation to its caller exactly once and in order,
// despite failures of engines, agents, connections and routers.
//
// A generation consists of attempts, each one run of the request. An attempt
// starts from exactly the tokens relayed so far. The first attempt to deliver
// the next token cancels all others, so that only one continues the answer.
// When a router fails, another one takes its generations over; see
// takeover_search.
//
// State: in memory only, one instance per router shard. Called under the
// shard's lock by the threads of the HTTP front end, the transport and the
// timers.
//
// Index of the implementation
//   generation_relay.cpp          : callers, delivery, completion
//   generation_relay_attempts.cpp : attempts, agent messages, failure detection
//   generation_relay_takeover.cpp : takeover
#ifndef DOTTERELLOCK_RECOVERY_GENERATION_RELAY_HPP
#define DOTTERELLOCK_RECOVERY_GENERATION_RELAY_HPP

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <dotterellock/dispatch.hpp>
#include <dotterellock/generation.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "recovery/journal_writer.hpp"
#include "recovery/takeover_search.hpp"

namespace dotterellock
{

class generation_relay : public generation_service, public message_handler
{
public:
    generation_relay(
        peer_id self, clock_source& clock, timer_service& timers,
        random_source& random, peer_transport& transport,
        dispatcher& dispatcher, endpoint_lookup const& endpoints,
        journal_placement const& journals, policy_source const& policy,
        decision_log& log, counter_registry& counters);
    ~generation_relay() override;

    generation_relay(generation_relay const&) = delete;
    generation_relay& operator=(generation_relay const&) = delete;

    void start(
        generation_request request,
        std::shared_ptr<generation_listener> listener) override;
    void resume(
        generation_request request, resume_point const& from,
        std::shared_ptr<generation_listener> listener) override;
    void detach(request_id const& request, generation_listener const& listener)
        override;
    void
    caller_progress(request_id const& request, token_index next_index) override;
    std::size_t open_generations() const override;

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

private:
    enum class attempt_state
    {
        placing,      // waits for a placement
        running,      // dispatched
        presumed_lost // no progress; may still deliver before its successor
    };

    enum class check_cause
    {
        silence, // no message from the agent, or the connection failed
        stall,   // no token from the engine
        gap      // a token batch was lost
    };

    struct attach_check
    {
        steady_time since;
        check_cause cause;
    };

    struct attempt
    {
        attempt_number number = 0;
        owner_epoch epoch = 0;
        attempt_state state = attempt_state::placing;
        placement target;
        bool produced = false;
        steady_time last_token{}; // time of dispatch before the first token
        token_index acknowledged = 0;
        std::optional<attach_check> pending_check; // attach sent, unanswered
    };

    struct generation
    {
        generation(generation_request r, journal_writer w)
            : request(std::move(r)), journal(std::move(w))
        {
        }

        token_index next_index() const
        {
            return first_index + static_cast<token_index>(tokens.size());
        }

        generation_request request;
        std::shared_ptr<generation_listener> listener; // null: detached
        owner_epoch epoch = 0;             // in event ids and journal copies
        owner_epoch dispatch_epoch = 1;    // of new attempts
        owner_epoch caller_epoch = 0;      // in the event id at takeover
        token_index caller_prefix_end = 0; // next index in that event id
        attempt_number last_attempt = 0;
        std::uint32_t failed_attempts = 0;
        std::uint32_t refused_placements = 0;
        std::vector<attempt> attempts;
        std::set<endpoint_id> excluded;

        token_index first_index = 0; // of `tokens`
        std::vector<std::string> tokens;
        token_index delivered = 0;      // to the listener
        token_index sent_to_caller = 0; // written to its connection
        std::optional<finish_reason> finished;
        bool ended = false; // on_finished or on_error was called

        steady_time first_token{};
        steady_time last_token{};
        std::optional<steady_time> retry_at; // after a refused placement
        steady_time idle_since{};            // since when no listener
        bool suspended = false; // attempts cancelled for a slow caller
        bool delivery_scheduled = false;

        journal_writer journal;
        endpoint_id endpoint; // of the last attempt that delivered a token
        std::unique_ptr<takeover_search> search;
        steady_time search_deadline{};
        bool attach_repeated = false;
    };

    struct agent_link
    {
        steady_time last_received;
        std::uint64_t ping_sequence = 0;
        bool ping_answered = true;
        steady_time ping_sent{};
        steady_time last_reconnect{};
    };

    using generation_ptr = std::shared_ptr<generation>;

    // ---- callers, delivery, completion ------------------------------------
    generation_ptr find(request_id const& request) const;
    generation_ptr create(
        generation_request request,
        std::shared_ptr<generation_listener> listener);
    bool refuse_reused_key(
        generation const& g, generation_request const& request,
        std::shared_ptr<generation_listener> const& listener);
    static bool
    matches_known_tokens(generation const& g, resume_point const& from);
    void reattach_caller(
        generation& g, token_index next_index,
        std::shared_ptr<generation_listener> listener);
    void schedule_delivery(generation& g);
    void deliver(generation& g);
    void deliver_tokens(generation& g, token_index end);
    std::string event_id(generation const& g, token_index end) const;
    token_index tail_start(generation const& g, token_index end) const;
    void finish(generation& g, finish_reason reason, attempt_number by_attempt);
    void fail(generation& g, error const& e);
    void save_to_own_journal(generation const& g);
    void erase(generation& g);
    void record_decision(
        generation const& g, char const* step, std::string const& reason);

    // ---- attempts ---------------------------------------------------------
    void ensure_attempt(generation& g, std::string const& reason);
    bool select_version(generation& g);
    void start_attempt(generation& g);
    place_request make_place_request(generation& g, attempt const& a);
    void
    on_placed(request_id const& r, attempt_number number, placement const& p);
    void on_refused(request_id const& r, attempt_number number, error const& e);
    attempt* find_attempt(
        generation& g, peer_id const& from, attempt_number number,
        owner_epoch epoch);
    attempt* find_placing(generation& g, attempt_number number);
    void end_attempt(generation& g, attempt_number number, bool ok);
    void cancel_attempt(generation& g, attempt_number number);
    void cancel_all_but(generation& g, attempt_number number);
    void suspend(generation& g);

    void on_tokens(peer_id const& from, token_batch const& batch);
    void accept_tokens(
        generation& g, attempt& a, token_batch const& batch, token_index skip);
    void on_finished(peer_id const& from, generation_finished const& m);
    void on_failed(peer_id const& from, generation_failed const& m);
    void on_attached(peer_id const& from, attach_result const& m);
    void on_check_answered(generation& g, attempt& a, attach_result const& m);
    void on_pong(peer_id const& from, pong const& m);
    void on_appended(peer_id const& from, journal_appended const& m);

    void start_attach_check(generation& g, attempt& a, check_cause cause);
    void hedge_attempt(generation& g, attempt_number number);

    void schedule_tick();
    void ensure_fast_tick();
    void tick();
    void discount_pause(duration passed);
    void tick_generation(generation& g);
    void monitor_attempts(generation& g);
    void ping_agents();
    void replicate_and_acknowledge(generation& g);

    // ---- takeover ---------------------------------------------------------
    void begin_search(generation& g, resume_point const& from);
    void request_handover(generation& g);
    void advance_search(generation& g);
    bool handle_search_message(peer_id const& from, message const& m);
    void finish_search(generation& g);
    void adopt_run(
        generation& g, peer_id const& agent,
        takeover_search::candidate const& c);
    owner_epoch next_epoch_after(owner_epoch highest);

    peer_id self_;
    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    peer_transport& transport_;
    dispatcher& dispatcher_;
    endpoint_lookup const& endpoints_;
    journal_placement const& journals_;
    policy_source const& policy_;
    decision_log& log_;

    counter& relayed_tokens_;
    counter& dropped_messages_;
    counter& started_attempts_;
    counter& hedged_attempts_;
    counter& takeovers_;
    counter& attach_checks_;
    counter& lost_ownerships_;
    counter& own_pauses_;
    counter& journal_bytes_;
    latency_histogram& resume_latency_;

    std::unordered_map<request_id, generation_ptr> generations_;
    std::unordered_map<peer_id, agent_link> links_; // agents in use
    timer_id tick_timer_ = 0;
    duration tick_delay_{};
    steady_time last_tick_{};
    steady_time last_replication_{};
};

} // namespace dotterellock

#endif
