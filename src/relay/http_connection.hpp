// Outgoing HTTP/1.1 connection that carries one exchange at a time. It never
// retries; that decision is left to its user.
#ifndef DOTTERELLOCK_RELAY_HTTP_CONNECTION_HPP
#define DOTTERELLOCK_RELAY_HTTP_CONNECTION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <dotterellock/runtime.hpp>

#include "gateway/memory_budget.hpp"
#include "http/message_parser.hpp"

namespace dotterellock
{

/// Why an exchange ended without a complete response.
enum class connection_failure
{
    not_connected, // nothing was sent
    closed,        // orderly close before the response was complete
    reset,         // connection reset, or data not acknowledged
    malformed,     // invalid HTTP response
    oversized      // too many bytes that belong to no response
};

char const* to_string(connection_failure failure);

/// Receives the response to a request. Called on the I/O thread, never from
/// within send(), and not after on_response_complete() or on_failure().
class response_handler
{
public:
    virtual ~response_handler() = default;
    virtual void on_connected() {}
    virtual void on_response_head(message_head head) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_response_complete() = 0;
    virtual void on_failure(connection_failure failure) = 0;
};

/// A request as it is sent. The body may belong to others as well.
struct outgoing_request
{
    std::string head;
    std::shared_ptr<std::string const> body; // null: none
};

/// Bytes behind a complete response that arrived together with its end.
struct surplus_bytes
{
    std::size_t count = 0;
    std::string begin; // the first ones, without blank lines
};

class http_connection : public std::enable_shared_from_this<http_connection>,
                        private message_sink
{
public:
    http_connection(
        asio::io_context& io, clock_source const& clock, memory_budget& memory,
        memory_use use);

    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;

    /// Connects if necessary and sends one request.
    /// @param handler  outlives the exchange, or calls abandon()
    /// @param no_body  for a HEAD request, whose response has a length but no
    ///                 body. The connection carries nothing else, as the
    ///                 framing of late responses would depend on the method
    ///                 that they answer
    void send(
        asio::ip::tcp::endpoint const& peer, outgoing_request request,
        response_handler& handler, bool no_body = false);

    /// Connects without a request, to test whether the peer accepts
    /// connections.
    void connect(
        asio::ip::tcp::endpoint const& peer,
        std::function<void(bool accepted)> done);

    /// Closes the connection without a call to the handler.
    void abandon();

    /// Stops reading while the receiver of the response is slow, and resumes.
    void pause_reading() { reading_paused_ = true; }
    void resume_reading();
    bool reading_paused() const { return reading_paused_; }

    /// Whether another request may be sent.
    bool reusable() const
    {
        return reusable_ && !handler_ && socket_.is_open() &&
               carried_requests_.size() < max_requests;
    }

    // Limits what a connection that is kept for long has to remember.
    static constexpr std::size_t max_requests = 1024;

    /// Records that a request with this id is sent here. A second one would
    /// take a late answer to the first for its own.
    void record_request(std::string_view id);
    bool carried(std::string_view id) const;

    /// Sets a function that is called when the connection is closed while idle
    /// or receives unexpected bytes.
    void set_idle_closed_handler(std::function<void()> ended);

    /// Called from on_response_head() for a response to another request: skips
    /// it and delivers the next one. The connection is not reused.
    void skip_response();

    bool connected() const { return connected_; }
    steady_time last_used() const { return last_used_; }

    /// Names the connection in log lines; 0 until it is connected.
    unsigned short local_port() const { return local_port_; }

    /// Number of requests sent, the current one included.
    std::size_t requests_sent() const { return requests_sent_; }

    /// What the peer sent at once behind the last complete response.
    surplus_bytes const& surplus() const { return surplus_; }

private:
    static constexpr std::size_t max_surplus_kept = 16;

    // Interim responses, and those to other requests as well. More is a fault
    // of the endpoint, which would otherwise send them until the deadline.
    static constexpr std::size_t max_interim_bytes = 64u << 10;
    static constexpr std::size_t max_preliminary_bytes = 512u << 10;

    void write();
    bool account();
    void on_connected();
    void read();
    std::string_view read_surplus();
    void on_bytes(std::string_view bytes);
    void deliver_body();
    void finish_response();
    void on_read_end(asio::error_code const& e);
    void fail(connection_failure failure);
    void close();

    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;

    clock_source const& clock_;
    asio::ip::tcp::socket socket_;
    message_parser parser_;
    response_handler* handler_ = nullptr;
    std::function<void()> idle_closed_handler_;
    outgoing_request outgoing_; // until it is written
    std::size_t written_ = 0;   // of its bytes
    memory_budget& memory_;
    memory_account account_; // of heads, which only this class sees
    bool connected_ = false;
    bool request_written_ = true;
    bool reset_ = false; // by a write's error
    bool reusable_ = false;
    bool skip_response_ = false; // interim, or of another request
    bool response_complete_ = false;
    bool response_mismatched_ = false; // carried another request's response
    bool head_accepted_ = false;       // the response's own head was read
    bool reading_paused_ = false;
    bool read_pending_ = false;
    unsigned short local_port_ = 0;
    std::size_t requests_sent_ = 0;
    surplus_bytes surplus_;
    std::string_view body_; // of the current read, not delivered yet
    std::size_t preliminary_bytes_ = 0;         // before that head
    std::vector<std::size_t> carried_requests_; // hashes of their ids
    bool no_body_ = false;                      // the current request is HEAD
    steady_time last_used_{};
};

} // namespace dotterellock

#endif
