// Runs generation attempts on the agent's local engine and buffers their
// output until the owning router has acknowledged it. A run has one owner at a
// time, identified by a router and an owner epoch. Messages of earlier owners
// are refused, so that a router that resumes after a pause cannot disturb a
// run that was taken over.
//
// State: in memory only, in the agent process. Called under the agent's lock
// by the threads of its transport, timers and engine client.
#ifndef DOTTERELLOCK_RECOVERY_GENERATION_RUNNER_HPP
#define DOTTERELLOCK_RECOVERY_GENERATION_RUNNER_HPP

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include <dotterellock/admission.hpp>
#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>

namespace dotterellock
{

class generation_runner : public message_handler
{
public:
    generation_runner(
        incarnation self, clock_source& clock, timer_service& timers,
        peer_transport& transport, engine& engine, permit_issuer& permits,
        policy_source const& policy, counter_registry& counters);
    ~generation_runner() override;

    generation_runner(generation_runner const&) = delete;
    generation_runner& operator=(generation_runner const&) = delete;

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    /// Number of runs in progress at the engine; for planned stops.
    std::size_t active_runs() const;

    /// Number of tokens that owners have not acknowledged.
    std::size_t buffered_tokens() const;

private:
    struct run
    {
        std::uint64_t serial = 0; // identifies events of replaced runs
        dispatch_generation dispatch;
        peer_id owner;
        owner_epoch epoch = 0;
        engine_run_id engine_run = 0; // 0: ended at the engine
        std::deque<std::string> buffer;
        token_index first_index = 0; // of buffer
        token_index next_unsent = 0; // tokens below were sent to the owner
        bool end_sent = false;
        std::optional<finish_reason> finished;
        std::optional<generation_failed> failed;
        steady_time ended_at{};
        timer_id flush_timer = 0;
        steady_time pace_since{};      // first token of the present measurement
        std::uint32_t pace_tokens = 0; // since pace_since

        token_index next_index() const
        {
            return first_index + static_cast<token_index>(buffer.size());
        }
        bool ended() const { return finished || failed; }
    };

    struct router_link
    {
        steady_time last_received; // last message from the router
        steady_time last_sent;     // last message to it
    };

    using attempt_key =
        std::tuple<request_id, peer_id, owner_epoch, attempt_number>;

    void on_dispatch(peer_id const& from, dispatch_generation const& d);
    void on_acknowledge(peer_id const& from, acknowledge const& a);
    void on_cancel(peer_id const& from, cancel const& c);
    void on_attach(peer_id const& from, attach const& a);

    static bool owned_by(run const& r, peer_id const& from, owner_epoch epoch);
    static bool
    supersedes(peer_id const& from, dispatch_generation const& d, run const& r);
    void start_run(peer_id const& from, dispatch_generation const& d);
    engine_events
    make_engine_events(request_id const& request, std::uint64_t serial);
    run* find(request_id const& request);
    run* find(request_id const& request, std::uint64_t serial);

    void measure_pace(run& r, std::size_t tokens);
    void on_tokens(run& r, std::vector<std::string> tokens);
    void on_ended(run& r);
    void schedule_flush(run& r);
    void flush(run& r);
    void send_end(run& r);
    void stop_engine(run& r);
    void release_permit(run& r);
    void remove_run(request_id const& request);
    void notify_replaced_owner(run const& r);
    void send_refusal(
        peer_id const& to, request_id const& request, attempt_number attempt,
        owner_epoch epoch, error_code code, bool retryable);
    void send(peer_id const& to, message m);

    void schedule_tick();
    void tick();
    void send_heartbeats();
    void remove_expired();

    incarnation self_;
    clock_source& clock_;
    timer_service& timers_;
    peer_transport& transport_;
    engine& engine_;
    permit_issuer& permits_;
    policy_source const& policy_;

    counter& started_runs_;
    counter& duplicate_dispatches_;
    counter& stale_messages_;
    counter& takeovers_;
    counter& ownerless_runs_;

    std::uint64_t last_serial_ = 0;
    std::unordered_map<request_id, run> runs_;
    std::unordered_map<peer_id, router_link> links_;
    std::set<permit_id> redeemed_permits_; // of accepted dispatches
    std::deque<std::pair<steady_time, permit_id>> redemption_times_;
    std::map<attempt_key, steady_time>
        cancelled_attempts_; // may precede the dispatch
    timer_id tick_timer_ = 0;
    steady_time last_tick_{};
};

} // namespace dotterellock

#endif
