// Simulated callers: they reuse connections, cancel requests, resume streams
// after the last event received, and retry only what the responses allow. By
// habit they pipeline, pause within a request, read slowly or send much.
#ifndef DOTTERELLOCK_TESTS_SOAK_CALLERS_HPP
#define DOTTERELLOCK_TESTS_SOAK_CALLERS_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "caller_connection.hpp"
#include "endpoint_standin.hpp"
#include "gateway_fleet.hpp"
#include "history.hpp"

namespace dotterellock::soak
{

/// An API key and the organisation that it belongs to.
struct caller_key
{
    std::string key;
    std::string organisation;
};

class callers
{
public:
    callers(
        asio::io_context& io, random_source& random, clock_source const& clock,
        history& h, sent_requests& sent, gateway_fleet& gateways);
    ~callers();

    void start();
    void stop() { stopped_ = true; }
    std::size_t open_requests() const { return open_; }

    double requests_per_second = 60;
    double cancel_share = 0.03;    // of requests, cancelled by the caller
    double pipelined_share = 0;    // of idempotent requests
    double once_stream_share = 0;  // of streams
    double in_pieces_share = 0;    // of requests
    double slow_reading_share = 0; // of requests
    double large_share = 0;        // of requests: large bodies and answers
    std::vector<caller_key> keys;
    std::vector<caller_key> withdrawn_keys; // still used by some requests

private:
    class attempt;

    /// A request together with its state across all attempts.
    struct logical_request
    {
        request_kind kind{};
        std::string path;
        std::string body;
        bool chunked = false;
        caller_key key;
        steady_time until{};
        std::uint32_t attempts = 0;
        std::uint64_t last_event = 0;
    };

    struct gateway_connection
    {
        std::shared_ptr<caller_connection> connection;
        unsigned process = 0;
    };

    void schedule_arrival();
    std::shared_ptr<logical_request> make_request(request_kind kind);
    void send(std::vector<std::shared_ptr<logical_request>> const& batch);
    void send_attempt(
        std::shared_ptr<logical_request> const& w, std::size_t gateway,
        gateway_connection const& connection, std::string const& behind);
    void on_attempt_ended(
        std::shared_ptr<logical_request> const& w, caller_attempt const& a,
        std::optional<milliseconds> retry_after_delay);
    std::size_t choose_gateway();
    gateway_connection connect(std::size_t gateway, bool first);

    asio::io_context& io_;
    random_source& random_;
    clock_source const& clock_;
    history& history_;
    sent_requests& sent_;
    gateway_fleet& gateways_;
    std::vector<std::vector<gateway_connection>> idle_; // by gateway
    std::uint64_t last_id_ = 0;
    std::size_t open_ = 0;
    bool stopped_ = false;
};

} // namespace dotterellock::soak

#endif
