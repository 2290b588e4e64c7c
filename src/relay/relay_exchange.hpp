// Relays one caller's request from admission to the end of its response, with
// retries at other endpoints. Runs on the I/O thread of its gateway.
#ifndef DOTTERELLOCK_RELAY_RELAY_EXCHANGE_HPP
#define DOTTERELLOCK_RELAY_RELAY_EXCHANGE_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "client_session.hpp"
#include "connection_pool.hpp"
#include "endpoint_call.hpp"
#include "gateway/attempt_policy.hpp"
#include "gateway/endpoint_selector.hpp"
#include "gateway/event_log.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/liveness.hpp"
#include "gateway/service_retry_budget.hpp"
#include "gateway/stream_versions.hpp"
#include "http/answer_boundary.hpp"
#include "http_connection.hpp"
#include "prompt_crash_monitor.hpp"
#include "protocol_codec.hpp"
#include "rollout_control.hpp"
#include "standby_copies.hpp"

namespace dotterellock
{

class relay_exchange;

/// Outcome of a request, for metrics.
struct request_result
{
    char const* outcome = "";
    unsigned status = 0;
    std::string reason;
    std::optional<duration> first_byte; // since the request was received
    duration took{};
};

/// Services that exchanges share. The gateway implements it and outlives them.
class exchange_context
{
public:
    virtual ~exchange_context() = default;
    virtual clock_source const& clock() const = 0;
    virtual endpoint_selector const& selection() const = 0;
    virtual protocol_codec const& protocol() const = 0;
    virtual connection_pool& pool() = 0;
    virtual event_log& log() = 0;
    virtual memory_budget& memory() = 0;
    virtual service_retry_budget& budget(service_name const& service) = 0;
    virtual first_event_estimate& estimate(service_name const& service) = 0;
    virtual prompt_crash_monitor& prompt_crashes() = 0;

    /// Null if rollouts are disabled.
    virtual rollout_control* rollouts() = 0;

    /// Null if the versions of streams are not recorded.
    virtual stream_versions* streams() = 0;

    /// Records an attempt's answer for the comparison of versions. Its latency
    /// includes a round trip to the endpoint.
    virtual void
    report_answer(endpoint_ptr const& endpoint, version_answer answer) = 0;

    /// Number of connections that this gateway may open to one endpoint.
    virtual std::uint32_t
    connection_share(service_spec const& service) const = 0;

    /// Updates the health of an endpoint and its zone after an attempt.
    virtual void
    report_outcome(endpoint_ptr const& endpoint, attempt_outcome outcome) = 0;

    /// Probes the endpoint for its report, unless it was probed just before.
    virtual void check_endpoint(endpoint_ptr const& endpoint) = 0;

    /// Applies what the head of an endpoint's answer says about the endpoint.
    virtual void record_announcements(
        endpoint_ptr const& endpoint, unsigned status,
        response_metadata const& metadata) = 0;

    /// Sends a request of the gateway itself; ends within the timeout.
    /// @param probe  opens a new connection
    virtual void call(
        endpoint_ptr const& endpoint, std::chrono::milliseconds timeout,
        std::string request, bool probe, endpoint_call::handler done) = 0;

    /// Records the duration of a complete stream.
    /// @param max_tokens  limit of its length; 0: not known
    virtual void record_stream_duration(
        service_name const& service, std::uint64_t max_tokens, duration took,
        duration since_first_event) = 0;

    /// False if a planned stop could cut the request off after it was passed
    /// on, and it may not be repeated.
    virtual bool may_pass_on(relay_exchange const& e) const = 0;

    /// Expected choices of other gateways at this moment, for the selector.
    virtual double
    unseen_choices(service_name const& service, bool resuming) = 0;

    /// Whether requests of the service wait for capacity.
    virtual bool requests_waiting(service_name const& service) const = 0;

    /// Asks for permits for endpoints that limit their requests.
    /// @param waiting  whether the request found no endpoint
    virtual void ask_for_permits(
        endpoint_requirements const& work, engine_spec const* engine,
        std::uint32_t rank, bool waiting) = 0;

    /// A prompt was sent to an endpoint, or a begun answer lost its endpoint.
    virtual void on_prompt_started(service_name const& service) = 0;
    virtual void on_answer_lost(service_name const& service) = 0;

    /// Queues the exchange until an endpoint has capacity.
    virtual bool
    wait_for_capacity(std::shared_ptr<relay_exchange> const& e) = 0;

    /// Called when this gateway's load at endpoints changed.
    virtual void on_load_changed() = 0;

    /// Called when an endpoint may have capacity again.
    virtual void on_capacity_freed(service_name const& service) = 0;

    virtual void
    on_exchange_finished(std::shared_ptr<relay_exchange> const& e) = 0;

    /// Metrics of attempts and requests.
    virtual void count_failed_attempt(char const* reason) = 0;
    virtual void
    count_request(relay_exchange const& e, request_result const& r) = 0;
};

/// A request with the results of its admission.
struct admitted_request
{
    std::shared_ptr<routing_table const> table;
    gateway_route const* route = nullptr; // owned by table
    service_name service;
    organisation_id organisation;
    std::uint32_t rank = 0;
    request_metadata metadata;
    prompt_part_keys shared_parts; // of the prompt; empty: not examined
    client_request message;
};

class relay_exchange : public std::enable_shared_from_this<relay_exchange>,
                       private response_handler
{
public:
    relay_exchange(
        std::uint64_t number, std::shared_ptr<client_session> session,
        admitted_request request, exchange_context& context);

    relay_exchange(relay_exchange const&) = delete;
    relay_exchange& operator=(relay_exchange const&) = delete;

    /// Starts the first attempt.
    /// @param cached_at  the endpoint that caches the prompt; may be empty
    void start(endpoint_id const& cached_at);

    /// Restricts the request to the version that began its stream. Called
    /// before start().
    void take_up_at(std::string const& version);

    /// Passes on the first event, if it waited for the stream's record.
    void on_stream_recorded();

    /// Registers for the disconnect of the caller.
    void watch_caller();

    /// Enforces the deadline and checks that the attempt makes progress; called
    /// many times a second.
    /// @param paused  this process was just suspended, so silence is no sign
    ///                of a fault at the endpoint
    void check_progress(steady_time now, bool paused);

    /// Starts an attempt if an endpoint has capacity; otherwise returns false.
    bool try_leave_queue();

    /// Fails the attempt if `endpoint` serves it.
    /// @param checked  start of the check that found the endpoint dead
    void on_endpoint_dead(endpoint_state const& endpoint, steady_time checked);

    /// Updates whether the run is known to be alive at `endpoint`.
    /// @param checked  start of the check that returned the report
    void on_endpoint_report(
        endpoint_state const& endpoint, endpoint_report const& report,
        steady_time checked);

    /// Refuses the request if it waits and must not be passed on any more.
    void on_shutdown_began();

    /// Ends the request with an error, as the grace period is over.
    void end_for_shutdown();

    /// Ends the request with "not run" if nothing ran, else as failed.
    void refuse(char const* reason, std::chrono::milliseconds retry_after);

    std::uint64_t number() const { return number_; }
    admitted_request const& request() const { return request_; }
    endpoint_requirements const& work() const { return work_; }
    bool waiting() const { return state_ == state::waiting; }
    bool attempting() const { return state_ == state::attempting; }
    endpoint_ptr const& endpoint() const { return endpoint_; }
    steady_time received() const { return request_.message.received; }
    steady_time deadline() const { return deadline_; }

private:
    enum class state
    {
        created,
        waiting,    // for capacity at an endpoint
        attempting, // sent or being sent to endpoint_
        awaiting_budget,
        done
    };

    // Responses up to this size are buffered until they are complete, so that
    // the request can be retried if one breaks off.
    static constexpr std::size_t max_buffered_bytes = 256u << 10;

    // Comments keep a stream open; more than this between two events with data
    // is a fault of the endpoint.
    static constexpr std::size_t max_bytes_without_content = 256u << 10;

    // A round trip between regions. A connection that ends later was lost with
    // its endpoint.
    static constexpr std::chrono::milliseconds reuse_race_window{60};

    // Interval of the search for another endpoint while one is suspected.
    static constexpr std::chrono::milliseconds suspicion_interval{100};

    // A host without power or with a full accept queue drops SYN packets, and
    // TCP sends the next one only after a second.
    static constexpr std::chrono::milliseconds connect_timeout{200};

    // An endpoint that refuses a request does so at once.
    static constexpr std::chrono::milliseconds refusal_wait{1000};

    // No retry with less time than this, as it would most likely not complete.
    static constexpr std::chrono::milliseconds min_time_left{5};

    engine_spec const* engine() const;
    bool streaming() const { return request_.route->event_stream; }

    endpoint_ptr
    choose_endpoint(endpoint_requirements& work, steady_time now) const;
    void start_next_attempt();
    endpoint_ptr choose_for_attempt(steady_time now);
    bool behind_others() const;
    void wait_for_capacity();
    void start_attempt(
        endpoint_ptr endpoint, std::optional<memory_copy> const& copy);
    outgoing_request build_forwarded_request(
        endpoint_record const& endpoint,
        std::optional<memory_copy> const& copy) const;
    void release_attempt_resources();
    void on_attempt_failed(attempt_outcome outcome, char const* reason);
    bool may_repeat(attempt_outcome outcome);
    void await_budget(steady_time now);
    void reserve_retry(steady_time now);
    void release_reserved_retry();
    received_part received_by_caller() const;
    endpoint_ptr next_endpoint(steady_time now);
    void give_up_attempt(attempt_outcome outcome, char const* reason);
    void connect_to_next(
        endpoint_ptr next, attempt_outcome outcome, char const* reason);
    void discard_next_connection();

    version_answer make_version_answer() const;
    void report_version_answer(bool failed);
    void report_version_loss();
    void report_version_silence(steady_time now);
    void report_version_failure(attempt_outcome outcome);

    /// Whether the connection may have been closed while idle, just as it was
    /// reused. A crash at once looks the same, so this must not decide whether
    /// the endpoint was lost.
    bool closed_while_reused(steady_time now) const
    {
        return reused_connection_ && !response_head_ &&
               now - sent_at_ < reuse_race_window;
    }

    bool records_stream() const;
    bool awaits_record() const;
    void hold_events();

    /// Ends the request if no endpoint of its stream's version is left.
    bool end_if_version_gone();

    bool quarantined() const;

    /// Refuses the request if its prompt is quarantined.
    bool refuse_if_quarantined();
    bool refuse_if_stopping();

    /// Reports that the endpoint was lost, unless the attempt had lasted.
    /// @param suspected  the connection may have been closed while idle
    void report_crash(bool suspected);

    /// Reports, once an attempt, that its prompt does not crash endpoints.
    void report_proof();

    void on_connected() override;
    void on_response_head(message_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_complete() override;
    void on_failure(connection_failure failure) override;

    void relay_events();
    void pass_through(std::string_view bytes);
    void begin_response();
    void send_whole_response();
    void complete_stream();
    header_list response_headers() const;
    char const* framing() const;
    void note_surplus();
    std::size_t held_bytes() const;
    bool contains_other_answer(std::string_view bytes);
    bool whole_by_framing() const;

    void fail(unsigned status, char const* reason);
    void on_caller_disconnected();
    void
    finish(char const* outcome, unsigned status, std::string const& reason);

    std::uint64_t const number_;
    std::shared_ptr<client_session> const session_;
    admitted_request request_;
    std::shared_ptr<std::string const> const request_body_;
    exchange_context& context_;
    std::shared_ptr<standby_copies> const standby_copies_;
    endpoint_requirements work_;
    steady_time deadline_;
    bool route_timeout_first_ = false; // before the caller's deadline
    state state_ = state::created;
    attempt_history history_;
    bool repeat_paid_ = false;    // from the retry budget, for the next arrival
    bool retry_reserved_ = false; // should the next endpoint refuse

    // Current attempt
    endpoint_ptr endpoint_;
    endpoint_reservation reservation_;
    std::shared_ptr<http_connection> connection_;
    bool resumed_from_copy_ = false;
    bool reused_connection_ = false;
    struct connection_use
    {
        unsigned short port = 0; // ours
        std::size_t carried = 0; // requests before this one
    };
    connection_use attempt_connection_; // for the log
    bool sole_prefill_ = false; // no other prefill of this gateway there
    steady_time sent_at_{};
    steady_time connected_at_{}; // or sent_at_ on a reused connection
    steady_time last_progress_{};
    steady_time next_suspicion_{}; // earliest time to act on a suspicion
    bool suspicion_logged_ = false;
    std::optional<steady_time> stream_began_at_;  // in this attempt
    std::optional<steady_time> first_content_at_; // in this attempt
    bool proof_reported_ = false;
    bool answer_reported_ = false; // for the comparison of versions
    bool crash_reported_ = false;
    std::optional<steady_time> confirmed_at_;   // by an endpoint report
    std::optional<message_head> response_head_; // from the endpoint
    response_metadata response_metadata_;
    std::string buffered_body_; // unless the response is a stream
    memory_account account_;    // of held_bytes()
    event_splitter events_;
    std::uint64_t events_in_attempt_ = 0;
    event_pace_meter pace_meter_;           // of the current attempt
    std::size_t bytes_without_content_ = 0; // of events since the last data
    bool attempt_is_stream_ = false;
    answer_boundary boundary_;
    bool body_received_ = false;
    std::optional<steady_time> events_held_since_; // for the stream's record
    bool completion_held_ = false;

    /// Connection to the endpoint that is to take over from a suspected one.
    struct next_connection
    {
        endpoint_ptr endpoint;
        std::shared_ptr<http_connection> connection;
        steady_time began{};
        steady_time last_progress{}; // of the suspected attempt
    };
    std::shared_ptr<next_connection> next_connection_;

    // Response to the caller
    bool response_begun_ = false;
    bool passing_through_ = false; // too large to buffer
    bool position_known_ = true;   // the last event sent has an id
    std::optional<std::uint64_t> last_event_id_;
    std::size_t events_sent_ = 0;
    std::size_t bytes_sent_ = 0; // of bodies
    std::optional<steady_time> first_byte_at_;
    duration longest_gap_{};
    steady_time last_sent_at_{};
    std::string failed_attempts_; // endpoint:reason list, for the log
};

} // namespace dotterellock

#endif
