// One caller's request from its admission to the end of its answer, over as
// many attempts as it takes. Runs on the I/O thread of its gateway.
#ifndef DOTTERELLOCK_RELAY_RELAY_EXCHANGE_HPP
#define DOTTERELLOCK_RELAY_RELAY_EXCHANGE_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "client_session.hpp"
#include "connection_pool.hpp"
#include "endpoint_call.hpp"
#include "gateway/arrival_budget.hpp"
#include "gateway/attempt_policy.hpp"
#include "gateway/endpoint_selection.hpp"
#include "gateway/event_log.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/liveness.hpp"
#include "http_connection.hpp"
#include "protocol_codec.hpp"
#include "standby_copies.hpp"

namespace dotterellock
{

class relay_exchange;

/// How a request ended, for the counters.
struct request_result
{
    char const* outcome = "";
    unsigned status = 0;
    std::string reason;
    std::optional<duration> first_byte; // since it was received
    duration took{};
};

/// What exchanges share. The gateway owns all of it and outlives them.
class exchange_context
{
public:
    virtual ~exchange_context() = default;
    virtual clock_source const& clock() const = 0;
    virtual endpoint_selection const& selection() const = 0;
    virtual protocol_codec const& protocol() const = 0;
    virtual connection_pool& pool() = 0;
    virtual event_log& log() = 0;
    virtual arrival_budget& budget(service_name const& service) = 0;
    virtual first_event_estimate& estimate(service_name const& service) = 0;

    /// Connections that this gateway may have at one endpoint.
    virtual std::uint32_t connection_share(service_spec const& service) = 0;

    /// An attempt ended; updates the health of its endpoint and zone.
    virtual void
    report_outcome(endpoint_ptr const& endpoint, endpoint_outcome outcome) = 0;

    /// Asks the endpoint for its report, unless a question is under way.
    virtual void check_endpoint(endpoint_ptr const& endpoint) = 0;

    /// A request of the gateway's own; ends within its time.
    virtual void call(
        endpoint_record const& endpoint, std::chrono::milliseconds timeout,
        std::string request, bool probe, endpoint_call::handler done) = 0;

    /// A stream was answered whole.
    virtual void
    record_stream_duration(service_name const& service, duration took) = 0;

    /// Keeps the exchange until an endpoint has room.
    virtual bool
    wait_for_capacity(std::shared_ptr<relay_exchange> const& e) = 0;

    /// Work at endpoints began or ended.
    virtual void on_load_changed() = 0;

    /// Endpoints may have room again.
    virtual void on_capacity_freed(service_name const& service) = 0;

    virtual void
    on_exchange_finished(std::shared_ptr<relay_exchange> const& e) = 0;

    /// Counts what becomes of attempts and requests.
    virtual void count_failed_attempt(char const* reason) = 0;
    virtual void
    count_request(relay_exchange const& e, request_result const& r) = 0;
};

/// What was decided about a request before its first attempt.
struct admitted_request
{
    std::shared_ptr<routing_table const> table;
    gateway_route const* route = nullptr; // of table
    service_name service;
    organisation_id organisation;
    std::uint32_t rank = 0;
    request_metadata metadata;
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

    /// @param cached_at  the endpoint that caches the prompt; may be empty
    void start(endpoint_id const& cached_at);

    /// Learns from now on when the caller leaves.
    void watch_caller();

    /// Enforces the deadline and judges progress; called many times a second.
    /// @param paused  the process itself just stood still, so that silence
    ///                says nothing about endpoints
    void check_progress(steady_time now, bool paused);

    /// Tries to leave the waiting line. False when there is still no room.
    bool try_leave_line();

    /// The endpoint was found dead by a check that began at `checked`.
    void on_endpoint_dead(endpoint_state const& endpoint, steady_time checked);

    /// The endpoint answered a check with its report.
    void on_endpoint_report(
        endpoint_state const& endpoint, endpoint_report const& report,
        steady_time checked);

    /// The process ends: answers what cannot be finished any more.
    void end_for_shutdown();

    /// Ends a request that waits for room: as not run, if that is so.
    void refuse(char const* reason, std::chrono::milliseconds retry_after);

    std::uint64_t number() const { return number_; }
    admitted_request const& request() const { return request_; }
    work_request const& work() const { return work_; }
    bool waiting() const { return state_ == state::waiting; }
    bool attempting() const { return state_ == state::attempting; }
    endpoint_ptr const& endpoint() const { return endpoint_; }
    steady_time received() const { return request_.message.received; }
    steady_time deadline() const { return deadline_; }

private:
    enum class state
    {
        created,
        waiting,    // for room at an endpoint
        attempting, // sent, or being sent, to endpoint_
        done
    };

    // Answers up to this size are held until they are complete, so that a
    // broken one can be repeated.
    static constexpr std::size_t max_buffered_bytes = 256u << 10;

    // A caller that takes nothing holds no more of a stream than this.
    static constexpr std::size_t max_unsent_bytes = 1u << 20;

    // An attempt with less time than this is not worth its arrival.
    static constexpr std::chrono::milliseconds min_time_left{5};

    engine_spec const* engine() const;
    bool streaming() const { return request_.route->event_stream; }

    void start_next_attempt();
    void start_attempt(
        endpoint_ptr endpoint, std::optional<memory_copy> const& copy);
    std::string build_forwarded_request(
        endpoint_record const& endpoint,
        std::optional<memory_copy> const& copy) const;
    void release_attempt_resources();
    void on_attempt_failed(endpoint_outcome outcome, char const* reason);

    void on_connected() override;
    void on_response_head(message_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_complete() override;
    void on_failure(connection_failure failure) override;

    void relay_events();
    void begin_response();
    void send_whole_response();
    void complete_stream();
    header_list response_headers() const;

    void fail(unsigned status, char const* reason);
    void on_caller_disconnected();
    void
    finish(char const* outcome, unsigned status, std::string const& reason);

    std::uint64_t const number_;
    std::shared_ptr<client_session> const session_;
    admitted_request request_;
    exchange_context& context_;
    std::shared_ptr<standby_copies> const standby_copies_;
    work_request work_;
    steady_time deadline_;
    bool route_timeout_first_ =
        false; // the route's timeout ends it, not the caller
    state state_ = state::created;
    attempt_history history_;

    // The attempt under way
    endpoint_ptr endpoint_;
    endpoint_reservation reservation_;
    std::shared_ptr<http_connection> connection_;
    bool resumed_from_copy_ = false;
    bool reused_connection_ = false;
    bool sole_prefill_ =
        false; // no other prompt was read there for this gateway
    steady_time sent_at_{};
    steady_time last_progress_{};
    std::optional<steady_time> stream_began_at_; // of the attempt
    std::optional<steady_time> confirmed_at_;    // a report named the run
    std::optional<message_head> response_head_;  // of the attempt's answer
    response_metadata response_metadata_;
    std::string buffered_body_; // body of an answer that is not a stream
    event_splitter events_;
    bool attempt_is_stream_ = false;

    // The answer to the caller
    bool response_begun_ = false;
    bool passing_through_ = false; // a large answer is passed on as it comes
    std::optional<std::uint64_t> last_event_id_;
    std::size_t events_sent_ = 0;
    std::optional<steady_time> first_byte_at_;
    duration longest_gap_{};
    steady_time last_sent_at_{};
    std::string failed_attempts_; // endpoints and outcomes, for the log
};

} // namespace dotterellock

#endif
