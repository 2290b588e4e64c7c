// One connection of a caller. Reads requests within the configured limits,
// one at a time, and keeps reading while an answer is under way, so that a
// caller who leaves is noticed at once.
#ifndef DOTTERELLOCK_RELAY_CLIENT_SESSION_HPP
#define DOTTERELLOCK_RELAY_CLIENT_SESSION_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include <dotterellock/runtime.hpp>

#include "gateway/routing_table.hpp"
#include "http/message_parser.hpp"

namespace dotterellock
{

struct client_request
{
    message_head head;
    std::string body;
    steady_time received; // its first byte
};

class client_session;

/// What a session needs of the process that accepted it.
class session_handler
{
public:
    virtual ~session_handler() = default;

    /// A whole request was read. The session stays silent until it is
    /// answered.
    virtual void on_request(
        std::shared_ptr<client_session> session, client_request message) = 0;

    /// The session ended a request by itself: malformed, too large or late.
    virtual void on_rejected(
        client_session const& session, unsigned status, char const* why) = 0;

    virtual void on_closed(client_session& session) = 0;
    virtual caller_limits limits() const = 0;

    /// Whether to end the connection after the next answer.
    virtual bool close_after_response() const = 0;

    /// Whether memory allows another body to be read.
    virtual bool reserve_body(std::size_t bytes) = 0;
    virtual void release_body(std::size_t bytes) = 0;
};

class client_session : public std::enable_shared_from_this<client_session>,
                       private message_sink
{
public:
    client_session(
        asio::ip::tcp::socket socket, clock_source const& clock,
        session_handler& handler);

    client_session(client_session const&) = delete;
    client_session& operator=(client_session const&) = delete;

    void start();

    /// Called once if the caller leaves before its answer is complete.
    void set_disconnect_handler(std::function<void()> gone)
    {
        disconnect_handler_ = std::move(gone);
    }

    // Answering; each request gets exactly one of these sequences ----------

    void respond(
        unsigned status, std::string_view reason, header_list const& headers,
        std::string_view body);

    void begin_stream(
        unsigned status, std::string_view reason, header_list const& headers);
    void write_stream(std::string_view bytes);
    void end_stream();

    /// Ends the connection so that the answer does not look complete.
    void abort();

    /// Bytes that the caller has not taken yet.
    std::size_t unsent_bytes() const
    {
        return outgoing_.size() + bytes_in_flight_;
    }

    /// Enforces time limits; called several times a second.
    void check_timeouts(steady_time now);

    bool idle() const { return state_ == state::idle; }

    /// Closes an idle connection in order.
    void close_idle();

    std::string const& peer() const { return peer_; }

private:
    enum class state
    {
        idle,       // no byte of a request yet
        reading,    // a request is being read
        responding, // waits for or writes an answer
        closing,    // the last answer is written; input is discarded
        closed
    };

    // Input beyond one request that is kept while it is answered.
    static constexpr std::size_t max_unparsed_bytes = 65536;

    // Waits this long for the peer's end after the last answer, so that
    // unread input does not reset the connection and lose the answer.
    static constexpr std::chrono::milliseconds close_linger{1000};

    void read();
    void on_bytes(std::string_view bytes);
    void parse_buffered();
    void reject(unsigned status, char const* why);
    void write();
    void finish_response();
    void send_head(
        unsigned status, std::string_view reason, header_list const& headers,
        std::string_view framing);
    void on_read_end();
    void on_disconnect();
    void close();

    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;

    asio::ip::tcp::socket socket_;
    clock_source const& clock_;
    session_handler& handler_;
    std::string peer_;
    message_parser parser_;
    caller_limits limits_;
    state state_ = state::idle;
    std::function<void()> disconnect_handler_;

    client_request message_;
    std::size_t reserved_body_ = 0;
    unsigned rejection_status_ =
        0; // rejects the request once its head was read
    bool message_complete_ = false;

    std::string unparsed_;
    std::string outgoing_;
    std::string write_buffer_;
    std::size_t bytes_in_flight_ =
        0; // size of write_buffer_ while it is written
    bool read_pending_ = false;
    bool response_ended_ = false;
    bool http_1_0_ = false;
    bool chunked_ = false;
    bool keep_alive_ = true;      // another request may follow
    steady_time last_progress_{}; // state_ or progress within it
    std::array<char, 8192> buffer_;
};

} // namespace dotterellock

#endif
