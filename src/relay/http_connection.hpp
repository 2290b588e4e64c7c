// One outgoing HTTP/1.1 connection that carries one exchange at a time. It
// never sends anything twice: whoever uses it decides about repetition.
#ifndef DOTTERELLOCK_RELAY_HTTP_CONNECTION_HPP
#define DOTTERELLOCK_RELAY_HTTP_CONNECTION_HPP

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <dotterellock/runtime.hpp>

#include "http/message_parser.hpp"

namespace dotterellock
{

/// How an exchange over a connection ended without a complete answer.
enum class connection_failure
{
    not_connected, // nothing was sent
    closed,        // the peer closed in order, midway or before the answer
    reset,         // reset, or no acknowledgement
    malformed      // bytes that are no answer
};

char const* to_string(connection_failure failure);

/// Told of the answer on a connection. Calls come from the I/O thread, never
/// inside send(); none comes after on_response_complete or on_failure.
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

class http_connection : public std::enable_shared_from_this<http_connection>,
                        private message_sink
{
public:
    http_connection(asio::io_context& io, clock_source const& clock);

    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;

    /// Connects, unless it is, and sends one request.
    /// @param handler      outlives the exchange, or calls abandon()
    /// @param no_body  a HEAD request, whose answer has a length but no body
    void send(
        asio::ip::tcp::endpoint const& peer, std::string bytes,
        response_handler& handler, bool no_body = false);

    /// Connects only; for a check whether the peer accepts connections.
    void connect(
        asio::ip::tcp::endpoint const& peer,
        std::function<void(bool accepted)> done);

    /// Closes the connection; the handler is not called any more.
    void abandon();

    /// After an answer: whether another request may be sent.
    bool reusable() const
    {
        return reusable_ && !handler_ && socket_.is_open();
    }

    /// Called when an idle connection ends or receives unexpected bytes.
    void set_idle_closed_handler(std::function<void()> ended);

    /// Called from on_response_head for an answer to another request: the next
    /// answer on the connection is the awaited one. The connection is not
    /// reused.
    void skip_response();

    bool connected() const { return connected_; }
    std::size_t requests_sent() const { return requests_sent_; }
    steady_time last_used() const { return last_used_; }

private:
    void write(std::string bytes);
    void read();
    void on_bytes(std::string_view bytes);
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
    std::string outgoing_;
    std::array<char, 16384> buffer_;
    bool connected_ = false;
    bool request_written_ = true; // the whole request has been sent
    bool reusable_ = false;
    bool skip_response_ = false; // the answer under way is not the awaited one
    bool response_complete_ = false;   // the awaited answer is complete
    bool response_mismatched_ = false; // carried an answer that nobody awaited
    std::size_t requests_sent_ = 0;
    steady_time last_used_{};
};

} // namespace dotterellock

#endif
