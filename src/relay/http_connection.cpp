#include "http_connection.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <asio/buffer.hpp>

#include "read_buffer.hpp"
#include "socket_options.hpp"

namespace dotterellock
{

namespace
{

// A peer that lost power sends no reset. Unacknowledged data or probes close
// the connection after two to three seconds.
constexpr keep_alive_settings keep_alive{
    std::chrono::seconds(1), std::chrono::seconds(1), 2,
    std::chrono::milliseconds(2000)};

} // namespace

char const* to_string(connection_failure failure)
{
    switch (failure)
    {
    case connection_failure::not_connected:
        return "not_connected";
    case connection_failure::closed:
        return "closed";
    case connection_failure::reset:
        return "reset";
    case connection_failure::malformed:
        return "malformed";
    case connection_failure::oversized:
        return "oversized";
    }
    return "unknown";
}

http_connection::http_connection(
    asio::io_context& io, clock_source const& clock, memory_budget& memory,
    memory_use use)
    : clock_(clock), socket_(io),
      parser_(message_parser::kind::response, *this), memory_(memory),
      account_(memory, use)
{
    parser_.set_max_head_bytes(65536);
}

void http_connection::send(
    asio::ip::tcp::endpoint const& peer, outgoing_request request,
    response_handler& handler, bool no_body)
{
    handler_ = &handler;
    no_body_ = no_body;
    parser_.expect_no_body(no_body);
    idle_closed_handler_ = nullptr;
    reusable_ = false;
    request_written_ = false;
    skip_response_ = false;
    head_accepted_ = false;
    reading_paused_ = false;
    preliminary_bytes_ = 0;
    surplus_ = {};
    ++requests_sent_;
    last_used_ = clock_.now();
    outgoing_ = std::move(request);
    written_ = 0;
    if (connected_)
    {
        write();
        return;
    }
    auto self = shared_from_this();
    socket_.async_connect(
        peer,
        [this, self](asio::error_code const& e)
        {
            if (handler_ == nullptr)
                return;
            if (e)
            {
                fail(connection_failure::not_connected);
                return;
            }
            on_connected();
            handler_->on_connected();
            if (handler_ == nullptr)
                return;
            read();
            write();
        });
}

void http_connection::connect(
    asio::ip::tcp::endpoint const& peer, std::function<void(bool)> done)
{
    auto self = shared_from_this();
    socket_.async_connect(
        peer,
        [this, self, done = std::move(done)](asio::error_code const& e)
        {
            if (!e)
            {
                on_connected();
                reusable_ = true;
                last_used_ = clock_.now();
                read();
            }
            done(!e);
        });
}

void http_connection::on_connected()
{
    configure_socket(socket_, keep_alive);
    connected_ = true;
    asio::error_code ignored;            // the port is used in log lines only
    socket_.non_blocking(true, ignored); // see read()
    local_port_ = socket_.local_endpoint(ignored).port();
}

/// Writes what the socket takes, then waits. Like read(), it makes its system
/// calls in its handler, so that errors are seen in the order in which the
/// calls returned them.
void http_connection::write()
{
    auto const& head = outgoing_.head;
    auto const body =
        outgoing_.body ? asio::buffer(*outgoing_.body) : asio::const_buffer();
    auto const body_written = written_ - std::min(written_, head.size());
    std::array<asio::const_buffer, 2> const rest{
        asio::buffer(head) + written_, body + body_written};
    asio::error_code e;
    written_ += socket_.write_some(rest, e);
    if (e && e != asio::error::would_block)
    {
        // The read ends as well, after what the peer sent before. A broken
        // pipe means that the peer had ended its direction in order by then.
        reset_ = e != asio::error::broken_pipe;
        outgoing_ = {};
        return;
    }
    if (written_ == head.size() + body.size())
    {
        outgoing_ = {};
        request_written_ = true;
        return;
    }
    auto self = shared_from_this();
    socket_.async_wait(
        asio::ip::tcp::socket::wait_write,
        [this, self](asio::error_code const& wait_error)
        {
            if (!wait_error && socket_.is_open())
                write();
        });
}

void http_connection::resume_reading()
{
    if (!reading_paused_)
        return;
    reading_paused_ = false;
    if (socket_.is_open())
        read();
}

void http_connection::read()
{
    if (read_pending_ || reading_paused_)
        return;
    read_pending_ = true;
    auto self = shared_from_this();
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [this, self](asio::error_code e)
        {
            read_pending_ = false;
            auto const buffer = read_buffer(memory_);
            std::size_t n = 0;
            if (!e)
                n = socket_.read_some(buffer, e);
            if (e == asio::error::would_block)
            {
                read();
                return;
            }
            if (e)
            {
                on_read_end(e);
                return;
            }
            on_bytes({static_cast<char const*>(buffer.data()), n});
            if (socket_.is_open())
                read();
        });
}

/// Counts an unfinished head; false if it exceeds the connection's share.
bool http_connection::account()
{
    bool const allowed = account_.may_hold(parser_.held_bytes());
    account_.hold(parser_.held_bytes());
    return allowed;
}

void http_connection::on_bytes(std::string_view bytes)
{
    if (handler_ == nullptr)
    {
        // No request is pending, so these bytes belong to no response.
        close();
        return;
    }
    while (!bytes.empty() && handler_ != nullptr)
    {
        std::size_t const taken = parser_.feed(bytes);
        bytes.remove_prefix(taken);
        deliver_body();
        if (!head_accepted_)
            preliminary_bytes_ += taken;
        auto const limit =
            response_mismatched_ ? max_preliminary_bytes : max_interim_bytes;
        if (!account() || preliminary_bytes_ > limit)
        {
            fail(connection_failure::oversized);
            return;
        }
        if (parser_.error() != parse_error::none)
        {
            fail(connection_failure::malformed);
            return;
        }
        if (response_complete_)
        {
            if (bytes.empty())
                bytes = read_surplus();
            // Bytes after a complete response make the connection unusable.
            reusable_ = reusable_ && bytes.empty();
            auto const blank =
                std::min(bytes.find_first_not_of("\r\n"), bytes.size());
            surplus_ = {
                bytes.size(),
                std::string(bytes.substr(blank, max_surplus_kept))};
            finish_response();
            return;
        }
    }
}

/// Bytes that wait in the socket because a read ended with the response.
std::string_view http_connection::read_surplus()
{
    asio::error_code e; // an error ends the next read as well
    if (socket_.available(e) == 0 || e)
        return {};
    auto const buffer = read_buffer(memory_);
    auto const n = socket_.read_some(buffer, e);
    return {static_cast<char const*>(buffer.data()), n};
}

void http_connection::finish_response()
{
    response_handler* const handler = handler_;
    handler_ = nullptr;
    response_complete_ = false;
    reading_paused_ = false;
    if (!reusable_)
        close();
    if (handler != nullptr)
        handler->on_response_complete();
}

void http_connection::on_read_end(asio::error_code const& e)
{
    if (handler_ == nullptr)
    {
        close();
        return;
    }
    // Linux returns an error of a socket once. After a write got a reset, reads
    // end as they do when the peer closes in order.
    bool const orderly = e == asio::error::eof && !reset_;
    if (orderly && parser_.in_message() && parser_.close_delimited() &&
        parser_.finish() && response_complete_)
    {
        finish_response();
        return;
    }
    if (handler_ != nullptr)
        fail(orderly ? connection_failure::closed : connection_failure::reset);
}

void http_connection::on_head(message_head head)
{
    if (handler_ == nullptr || head.status < 200)
    {
        skip_response_ = true; // interim (1xx) response
        return;
    }
    head_accepted_ = true;
    handler_->on_response_head(std::move(head));
}

/// Joins the pieces of one read. Chunks may have one byte each, and the handler
/// costs far more than a byte.
void http_connection::on_body(std::string_view bytes)
{
    thread_local std::string joined;
    if (handler_ == nullptr || skip_response_)
        return;
    if (body_.empty())
    {
        body_ = bytes;
        return;
    }
    if (body_.data() != joined.data())
        joined.assign(body_);
    joined.append(bytes);
    body_ = joined;
}

void http_connection::deliver_body()
{
    auto const body = std::exchange(body_, {});
    if (!body.empty() && handler_ != nullptr)
        handler_->on_response_body(body);
}

void http_connection::on_complete()
{
    last_used_ = clock_.now();
    if (skip_response_)
    {
        skip_response_ = false;
        return;
    }
    response_complete_ = true;
    reusable_ = parser_.keep_alive() && request_written_ &&
                !response_mismatched_ && !no_body_;
}

void http_connection::skip_response()
{
    skip_response_ = true;
    response_mismatched_ = true;
    head_accepted_ = false;
}

void http_connection::record_request(std::string_view id)
{
    carried_requests_.push_back(std::hash<std::string_view>()(id));
}

bool http_connection::carried(std::string_view id) const
{
    auto const& ids = carried_requests_;
    auto const hash = std::hash<std::string_view>()(id);
    return std::find(ids.begin(), ids.end(), hash) != ids.end();
}

void http_connection::set_idle_closed_handler(std::function<void()> ended)
{
    idle_closed_handler_ = std::move(ended);
}

void http_connection::abandon()
{
    handler_ = nullptr;
    idle_closed_handler_ = nullptr;
    close();
}

void http_connection::fail(connection_failure failure)
{
    response_handler* const handler = handler_;
    handler_ = nullptr;
    close();
    if (handler != nullptr)
        handler->on_failure(failure);
}

void http_connection::close()
{
    reusable_ = false;
    outgoing_ = {};
    asio::error_code ignored; // the connection is discarded either way
    socket_.close(ignored);
    if (auto const ended = std::move(idle_closed_handler_))
    {
        idle_closed_handler_ = nullptr;
        ended();
    }
}

} // namespace dotterellock
