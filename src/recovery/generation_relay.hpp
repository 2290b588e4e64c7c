// Delivers each token of a generation to its caller once and in order, across
// the loss of engines, agents, connections and routers.
//
// A generation has attempts, each one run of the request. An attempt starts
// from exactly the tokens relayed so far, and the first attempt to deliver the
// next index ends all others: from then on only it may continue the answer. A
// generation whose router is gone is taken over: see takeover_search.
//
// State: soft, in a router shard. Called under the shard's lock by the threads
// of the HTTP front, the transport and the timers.
//
// Index of the implementation
//   generation_relay.cpp          : callers, delivery, ends
//   generation_relay_attempts.cpp : attempts, agents' messages, detection
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
        placing, // waits for an offer
        running, // dispatched
        lost     // made no progress; may still answer before its successor
    };

    enum class check_cause
    {
        silence, // no message from the agent, or its connection failed
        stall,   // no token from the engine
        gap      // a message was lost
    };

    struct check
    {
        steady_time since;
        check_cause cause;
    };

    struct attempt
    {
        attempt_number number = 0;
        owner_epoch epoch = 0;
        attempt_state state = attempt_state::placing;
        placement place;
        bool produced = false;
        steady_time last_token{}; // or the time of dispatch
        token_index acknowledged = 0;
        std::optional<check> checking; // an attach is unanswered
    };

    struct generation
    {
        generation(generation_request r, journal_writer w)
            : request(std::move(r)), journal(std::move(w))
        {
        }

        token_index next_index() const
        {
            return first_known + static_cast<token_index>(tokens.size());
        }

        generation_request request;
        std::shared_ptr<generation_listener> listener; // empty: detached
        owner_epoch epoch = 0;          // of event ids and journal copies
        owner_epoch dispatch_epoch = 1; // of new attempts
        owner_epoch taken_epoch = 0;    // that the caller named at takeover
        token_index shared = 0;         // the caller had these tokens then
        attempt_number last_attempt = 0;
        std::uint32_t failures = 0; // attempts that ended without success
        std::vector<attempt> attempts;
        std::set<endpoint_id> excluded;

        token_index first_known = 0; // index of tokens[0]
        std::vector<std::string> tokens;
        token_index delivered = 0; // to the listener
        token_index progress = 0;  // of the caller's connection
        std::optional<finish_reason> finished;
        bool ended = false; // on_finished or on_error was called

        steady_time first_token{};
        steady_time last_token{};
        std::optional<steady_time> retry_at; // a refused placement
        steady_time idle_since{};            // without a listener
        bool suspended = false; // the caller is too slow for the engine
        bool delivery_due = false;

        journal_writer journal;
        endpoint_id endpoint; // of the last attempt that delivered
        std::unique_ptr<takeover_search> search;
        steady_time search_deadline{};
        bool search_repeated = false;
    };

    struct agent_link
    {
        steady_time heard;
        std::uint64_t last_ping = 0;
        bool ping_answered = true;
        steady_time pinged{};
        steady_time reconnected{};
    };

    using generation_ptr = std::shared_ptr<generation>;

    // ---- callers, delivery, ends ------------------------------------------
    generation_ptr find(request_id const& request) const;
    generation_ptr create(
        generation_request request,
        std::shared_ptr<generation_listener> listener);
    bool refuse_reused_key(
        generation const& g, generation_request const& request,
        std::shared_ptr<generation_listener> const& listener);
    static bool agrees(generation const& g, resume_point const& from);
    void reattach(
        generation& g, token_index next_index,
        std::shared_ptr<generation_listener> listener);
    void schedule_delivery(generation& g);
    void deliver(generation& g);
    void deliver_tokens(generation& g, token_index end);
    std::string event_id(generation const& g, token_index end) const;
    token_index tail_start(generation const& g, token_index end) const;
    void finish(generation& g, finish_reason reason, attempt_number by_attempt);
    void fail(generation& g, error const& e);
    void keep_copy(generation const& g);
    void erase(generation& g);
    void
    record(generation const& g, char const* step, std::string const& reason);

    // ---- attempts ---------------------------------------------------------
    void ensure_attempt(generation& g, std::string const& reason);
    bool version_available(generation& g);
    void start_attempt(generation& g);
    place_request place_request_of(generation& g, attempt const& a);
    void placed(request_id const& r, attempt_number number, placement const& p);
    void refused(request_id const& r, attempt_number number, error const& e);
    attempt* find_attempt(
        generation& g, peer_id const& from, attempt_number number,
        owner_epoch epoch);
    attempt* find_placing(generation& g, attempt_number number);
    void end_attempt(generation& g, attempt_number number, bool ok);
    void cancel_attempt(generation& g, attempt_number number);
    void cancel_all_but(generation& g, attempt_number number);
    void suspend(generation& g);

    void on_tokens(peer_id const& from, token_batch const& batch);
    void accept(
        generation& g, attempt& a, token_batch const& batch, token_index skip);
    void on_finished(peer_id const& from, generation_finished const& m);
    void on_failed(peer_id const& from, generation_failed const& m);
    void on_attached(peer_id const& from, attach_result const& m);
    void attached(generation& g, attempt& a, attach_result const& m);
    void on_pong(peer_id const& from, pong const& m);
    void on_appended(peer_id const& from, journal_appended const& m);

    void check_attempt(generation& g, attempt& a, check_cause cause);
    void give_up_on(generation& g, attempt_number number);

    void arm_tick();
    void wake_tick();
    void tick();
    void forgive_pause(duration passed);
    void tick_generation(generation& g);
    void watch_attempts(generation& g);
    void ping_agents();
    void keep_house(generation& g);

    // ---- takeover ---------------------------------------------------------
    void begin_search(generation& g, resume_point const& from);
    void ask_agents(generation& g);
    void watch_search(generation& g);
    bool search_message(peer_id const& from, message const& m);
    void conclude_search(generation& g);
    void adopt(
        generation& g, peer_id const& agent,
        takeover_search::candidate const& c);
    owner_epoch epoch_after(owner_epoch highest);

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

    counter& relayed_;
    counter& dropped_;
    counter& attempts_;
    counter& hedged_;
    counter& takeovers_;
    counter& checks_;
    counter& stale_;
    counter& pauses_;
    counter& journal_bytes_;
    latency_histogram& resume_latency_;

    std::unordered_map<request_id, generation_ptr> generations_;
    std::unordered_map<peer_id, agent_link> links_; // agents that run work
    timer_id tick_timer_ = 0;
    duration tick_delay_{};
    steady_time last_tick_{};
    steady_time last_housekeeping_{};
};

} // namespace dotterellock

#endif
