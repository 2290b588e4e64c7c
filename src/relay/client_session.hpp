// Server side of one caller's HTTP/1.1 connection. Reads one request at a time
// within the configured limits. While the response is pending it reads on, so
// that a disconnect is detected at once, but only up to max_unparsed_bytes and
// its share of the process's memory.
#ifndef DOTTERELLOCK_RELAY_CLIENT_SESSION_HPP
#define DOTTERELLOCK_RELAY_CLIENT_SESSION_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include <dotterellock/runtime.hpp>

#include "gateway/memory_budget.hpp"
#include "gateway/routing_table.hpp"
#include "http/message_parser.hpp"

namespace dotterellock
{

struct client_request
{
    message_head head;
    std::string body;
    steady_time received; // arrival of the first byte
};

class client_session;

/// Handles the requests of callers and supplies their limits.
class session_handler
{
public:
    virtual ~session_handler() = default;

    /// A complete request was read. The session reads no further request
    /// until this one has a response.
    virtual void on_request(
        std::shared_ptr<client_session> session, client_request message) = 0;

    /// The session rejected a request that is malformed, too large or late.
    virtual void on_rejected(
        client_session const& session, unsigned status, char const* why) = 0;

    /// Input of the caller remains without an answer of its own.
    /// @param why    "last_response": it arrived after the last response;
    ///               "incomplete": the caller closed within a request;
    ///               "pipelined": it followed a request that closes the
    ///               connection
    /// @param bytes  size of that input
    virtual void on_unanswered_input(
        client_session const& session, char const* why, std::size_t bytes) = 0;

    virtual void on_closed(client_session& session) = 0;
    virtual caller_limits limits() const = 0;

    /// Whether to close the connection after the next response, unless the
    /// caller has sent another request by then.
    virtual bool close_after_response(client_session const& session) const = 0;
};

class client_session : public std::enable_shared_from_this<client_session>,
                       private message_sink
{
public:
    client_session(
        asio::ip::tcp::socket socket, clock_source const& clock,
        memory_budget& memory, session_handler& handler);

    client_session(client_session const&) = delete;
    client_session& operator=(client_session const&) = delete;

    void start();

    /// Sets a function that is called once if the caller disconnects before
    /// its response is complete.
    void set_disconnect_handler(std::function<void()> handler)
    {
        disconnect_handler_ = std::move(handler);
    }

    // Responses; each request gets exactly one of: respond(), a sequence of
    // begin_stream(), write_stream() and end_stream(), or abort().

    void respond(
        unsigned status, std::string_view reason, header_list const& headers,
        std::string_view body);

    void begin_stream(
        unsigned status, std::string_view reason, header_list const& headers);
    void write_stream(std::string_view bytes);
    void end_stream();

    /// Sets a function that is called whenever all bytes of a stream were
    /// written to the socket.
    void set_drained_handler(std::function<void()> handler)
    {
        drained_handler_ = std::move(handler);
    }

    /// Closes the connection so that the response is seen to be incomplete.
    void abort();

    /// Whether the caller is so far behind that its response must not grow. At
    /// least one more write is taken whenever the output has drained.
    bool output_full() const;

    /// Enforces the timeouts; called several times a second.
    void check_timeouts(steady_time now);

    bool idle() const { return state_ == state::idle; }

    /// Since when idle() holds.
    steady_time idle_since() const { return last_progress_; }

    /// Closes an idle connection, unless input was received or it is so new
    /// that its first request is still on the way.
    void close_idle();

    /// Whether the caller has a request that has no complete answer, or is
    /// about to send its first one.
    bool owes_answer() const;

    /// Refuses a request that was received in part. Called at the end of the
    /// grace period of a planned stop.
    void end_for_shutdown();

    std::string const& peer() const { return peer_; }

private:
    enum class state
    {
        idle,       // no byte of a request received
        reading,    // request partly received
        responding, // response awaited or being written
        closing,    // last response written; input is discarded
        closed
    };

    // Most response bytes that wait for a caller. One more read from the
    // endpoint and an event that it completes may be added.
    static constexpr std::size_t max_unsent_bytes = 1u << 20;

    // Larger buffers are freed once they are empty: between requests, and
    // within a response.
    static constexpr std::size_t max_idle_bytes = 1024;
    static constexpr std::size_t max_drained_bytes = 16384;

    // Pipelined input that is buffered while a request is being handled. More
    // stays in the socket.
    static constexpr std::size_t max_unparsed_bytes = 65536;

    // Time that the peer has to close after the last response. Closing at once
    // with unread input would reset the connection and lose the response.
    static constexpr std::chrono::milliseconds close_linger{1000};

    // Callers connect to send a request at once; its bytes may be a lost packet
    // later than the connection.
    static constexpr std::chrono::milliseconds first_request_wait{500};

    void read();
    bool input_full() const;
    bool make_room_for_body(std::size_t bytes);
    void update_account();
    void drop_request();
    bool input_waiting() const;
    bool awaits_first_request() const;
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
    std::function<void()> drained_handler_;

    client_request request_;
    std::size_t body_capacity_ = 0;       // held until its response has ended
    std::size_t body_bytes_reserved_ = 0; // by its length; 0: unknown
    unsigned rejection_status_ = 0;       // not 0: reject once the head is read
    bool request_complete_ = false;

    std::string unparsed_;
    std::string outgoing_;
    std::string write_buffer_;
    std::size_t bytes_in_flight_ = 0; // of write_buffer_, being written
    bool read_pending_ = false;
    bool response_ended_ = false;
    bool http_1_0_ = false;
    bool chunked_ = false;
    bool head_only_ = false; // the request is HEAD: no body in the response
    bool keep_alive_ = true;
    bool first_request_read_ = false;
    steady_time accepted_{};
    steady_time last_progress_{}; // of a state change or body bytes
    memory_budget& memory_;
    memory_account account_;
};

} // namespace dotterellock

#endif
