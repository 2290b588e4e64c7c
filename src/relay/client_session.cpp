#include "client_session.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http/decimal.hpp"
#include "http/reason_phrase.hpp"
#include "read_buffer.hpp"
#include "socket_options.hpp"
#include "string_growth.hpp"

namespace dotterellock
{

namespace
{

// Detects a caller behind a broken link within ten seconds without traffic.
constexpr keep_alive_settings keep_alive{
    std::chrono::seconds(4), std::chrono::seconds(2), 3,
    std::chrono::milliseconds(10000)};

/// Length of the body; 0 if the head does not say, the largest number if it is
/// invalid.
std::uint64_t content_length(message_head const& head)
{
    auto const* const text = find_header(head.headers, "content-length");
    if (text == nullptr)
        return 0;
    return parse_decimal(*text).value_or(
        std::numeric_limits<std::uint64_t>::max());
}

/// The close of a caller arrives only behind its input, for which the kernel
/// may have no room left otherwise.
void grow_receive_buffer(asio::ip::tcp::socket& socket)
{
    constexpr int bytes = 256 * 1024;
    asio::error_code ignored; // the close is noticed later
    asio::socket_base::receive_buffer_size current;
    socket.get_option(current, ignored);
    if (current.value() < bytes)
        socket.set_option(
            asio::socket_base::receive_buffer_size(bytes), ignored);
}

/// Whether the peer has closed its direction, even behind unread input.
bool peer_has_closed(asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(
               socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) ==
               0 &&
           info.tcpi_state != TCP_ESTABLISHED;
}

} // namespace

client_session::client_session(
    asio::ip::tcp::socket socket, clock_source const& clock,
    memory_budget& memory, session_handler& handler)
    : socket_(std::move(socket)), clock_(clock), handler_(handler),
      parser_(message_parser::kind::request, *this), memory_(memory),
      account_(memory, memory_use::callers)
{
}

void client_session::start()
{
    configure_socket(socket_, keep_alive);
    asio::error_code ignored; // the address is used in log lines only
    auto const remote = socket_.remote_endpoint(ignored);
    if (!ignored)
        peer_ =
            remote.address().to_string() + ':' + std::to_string(remote.port());
    socket_.non_blocking(true, ignored); // see read()
    limits_ = handler_.limits();
    parser_.set_max_head_bytes(limits_.max_header_bytes);
    accepted_ = last_progress_ = clock_.now();
    read();
}

// Input ----------------------------------------------------------------------

void client_session::read()
{
    if (read_pending_ || state_ == state::closed || input_full())
        return;
    read_pending_ = true;
    auto self = shared_from_this();
    // Bytes stay in the socket until they are handled, so input_waiting() sees
    // them. A read would take them before its handler runs.
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [this, self](asio::error_code e)
        {
            read_pending_ = false;
            if (state_ == state::closed)
                return;
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
                on_read_end();
                return;
            }
            on_bytes({static_cast<char const*>(buffer.data()), n});
            read();
        });
}

void client_session::on_bytes(std::string_view bytes)
{
    if (state_ == state::closing)
    {
        handler_.on_unanswered_input(*this, "last_response", bytes.size());
        return;
    }
    append_tight(unparsed_, bytes);
    if (state_ != state::responding)
        parse_buffered();
    else if (input_full())
        grow_receive_buffer(socket_);
    update_account();
}

void client_session::update_account()
{
    account_.hold(
        unparsed_.capacity() + outgoing_.capacity() + write_buffer_.capacity() +
        std::max(body_capacity_, body_bytes_reserved_) + parser_.held_bytes());
}

/// Frees what a refused request held.
void client_session::drop_request()
{
    shrink(request_.body, 0);
    request_ = {};
    body_capacity_ = body_bytes_reserved_ = 0;
    shrink(unparsed_, 0);
    update_account();
}

/// Whether reading pauses until the current response has ended. Meanwhile a
/// disconnect of the caller is noticed late: by check_timeouts(), and not
/// before its input fits into the receive buffer of the socket.
bool client_session::input_full() const
{
    return state_ == state::responding && !unparsed_.empty() &&
           (unparsed_.size() >= max_unparsed_bytes ||
            !account_.may_hold(
                account_.held() + capacity_after(unparsed_, max_read_bytes) -
                unparsed_.capacity()));
}

bool client_session::output_full() const
{
    auto const grown = capacity_after(outgoing_, max_read_bytes);
    return outgoing_.size() + bytes_in_flight_ > max_unsent_bytes ||
           !account_.may_hold(account_.held() + grown - outgoing_.capacity());
}

void client_session::parse_buffered()
{
    while (!unparsed_.empty() &&
           (state_ == state::idle || state_ == state::reading))
    {
        if (state_ == state::idle)
        {
            limits_ = handler_.limits();
            parser_.set_max_head_bytes(limits_.max_header_bytes);
            state_ = state::reading;
            last_progress_ = clock_.now();
            request_ = {};
            request_.received = last_progress_;
            request_complete_ = false;
            rejection_status_ = 0;
            response_ended_ = false;
            chunked_ = false;
            head_only_ = false;
        }
        std::size_t const taken = parser_.feed(unparsed_);
        unparsed_.erase(0, taken);
        if (unparsed_.empty())
            shrink(unparsed_, max_idle_bytes);
        update_account();
        if (parser_.head_complete())
            last_progress_ = clock_.now(); // body bytes restart the timeout
        if (rejection_status_ != 0)
        {
            reject(rejection_status_, "body");
            return;
        }
        if (parser_.error() == parse_error::head_too_large)
        {
            reject(431, "head");
            return;
        }
        if (parser_.error() == parse_error::malformed)
        {
            reject(400, "malformed");
            return;
        }
        if (!request_complete_)
        {
            if (!parser_.head_complete() &&
                !account_.may_grow(account_.held() + min_read_bytes))
            {
                reject(503, "memory");
                return;
            }
            // Blank lines before a request line do not start a request.
            if (!parser_.in_message())
                state_ = state::idle;
            return;
        }
        state_ = state::responding;
        first_request_read_ = true;
        keep_alive_ = parser_.keep_alive();
        try
        {
            handler_.on_request(shared_from_this(), std::move(request_));
        }
        catch (...)
        {
            if (state_ == state::responding && !response_ended_)
                reject(500, "internal_error");
            throw;
        }
    }
}

void client_session::on_head(message_head head)
{
    auto const length = content_length(head);
    if (length > limits_.max_body_bytes)
    {
        rejection_status_ = 413;
    }
    else if (!account_.may_grow(account_.held() + std::size_t(length)))
    {
        rejection_status_ = 503;
    }
    else if (auto const* const expect = find_header(head.headers, "expect");
             expect != nullptr && equal_ignoring_case(*expect, "100-continue"))
    {
        outgoing_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
    body_bytes_reserved_ = rejection_status_ == 0 ? std::size_t(length) : 0;
    http_1_0_ = head.http_1_0;
    head_only_ = head.method == "HEAD";
    request_.head = std::move(head);
}

void client_session::on_body(std::string_view bytes)
{
    if (rejection_status_ != 0)
        return;
    if (request_.body.size() + bytes.size() > limits_.max_body_bytes)
    {
        rejection_status_ = 413;
        return;
    }
    if (!make_room_for_body(bytes.size()))
    {
        rejection_status_ = 503;
        return;
    }
    request_.body.append(bytes);
}

/// False if there is no room for more of a body whose length is unknown. One of
/// known length has its room from the start, but takes it as it arrives.
bool client_session::make_room_for_body(std::size_t bytes)
{
    auto& body = request_.body;
    auto const needed = body.size() + bytes;
    auto const capacity = std::max(
        needed,
        body_bytes_reserved_ > 0
            ? std::min(capacity_after(body, bytes), body_bytes_reserved_)
            : capacity_after(body, bytes));
    auto const counted = std::max(body_capacity_, body_bytes_reserved_);
    auto const grown = std::max(capacity, body_bytes_reserved_);
    if (!account_.may_grow(account_.held() - counted + grown))
        return false;
    set_capacity(body, capacity);
    body_capacity_ = body.capacity();
    update_account();
    return true;
}

void client_session::on_complete()
{
    request_complete_ = true;
}

void client_session::reject(unsigned status, char const* why)
{
    handler_.on_rejected(*this, status, why);
    keep_alive_ = false;
    state_ = state::responding;
    drop_request();
    header_list headers{{"Content-Type", "application/json"}};
    if (status == 503)
        headers.emplace_back("Retry-After", "1");
    respond(
        status, reason_phrase(status), headers,
        std::string("{\"error\":\"") + why + "\"}\n");
}

void client_session::on_read_end()
{
    if (state_ == state::responding && !response_ended_)
    {
        on_disconnect();
        return;
    }
    if (state_ == state::responding && bytes_in_flight_ > 0)
        return; // the rest of the response is still being written
    if (state_ == state::reading)
        handler_.on_unanswered_input(*this, "incomplete", request_.body.size());
    close();
}

void client_session::on_disconnect()
{
    drained_handler_ = nullptr;
    auto const handler = std::move(disconnect_handler_);
    disconnect_handler_ = nullptr;
    close();
    if (handler)
        handler();
}

// Output ---------------------------------------------------------------------

void client_session::send_head(
    unsigned status, std::string_view reason, header_list const& headers,
    std::string_view framing)
{
    // What a caller sends after it was told of the close is no request; what
    // it sent before is answered first.
    if (handler_.close_after_response(*this) && !input_waiting())
        keep_alive_ = false;
    outgoing_ += "HTTP/1.1 " + std::to_string(status) + ' ';
    outgoing_ += reason;
    outgoing_ += "\r\n";
    for (auto const& [name, value] : headers)
        outgoing_.append(name).append(": ").append(value).append("\r\n");
    outgoing_ += framing;
    outgoing_ += keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
}

void client_session::respond(
    unsigned status, std::string_view reason, header_list const& headers,
    std::string_view body)
{
    if (state_ != state::responding || response_ended_)
        return;
    bool const bodiless = status == 204 || status == 304;
    send_head(
        status, reason, headers,
        bodiless ? std::string()
                 : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (!head_only_ && !bodiless)
        outgoing_ += body;
    finish_response();
}

void client_session::begin_stream(
    unsigned status, std::string_view reason, header_list const& headers)
{
    if (state_ != state::responding || response_ended_)
        return;
    chunked_ = !http_1_0_;
    if (!chunked_)
        keep_alive_ = false;
    send_head(
        status, reason, headers,
        chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void client_session::write_stream(std::string_view bytes)
{
    if (state_ != state::responding || response_ended_ || bytes.empty() ||
        head_only_)
        return;
    if (chunked_)
    {
        char size[20];
        int const n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        append_tight(outgoing_, {size, std::size_t(n)});
    }
    append_tight(outgoing_, bytes);
    if (chunked_)
        append_tight(outgoing_, "\r\n");
    write();
}

void client_session::end_stream()
{
    if (state_ != state::responding || response_ended_)
        return;
    if (chunked_ && !head_only_)
        outgoing_ += "0\r\n\r\n";
    finish_response();
}

void client_session::finish_response()
{
    response_ended_ = true;
    disconnect_handler_ = nullptr;
    drained_handler_ = nullptr;
    body_capacity_ = body_bytes_reserved_ = 0;
    write();
}

void client_session::write()
{
    if (state_ == state::closed)
        return;
    update_account();
    if (bytes_in_flight_ > 0)
        return;
    auto self = shared_from_this();
    if (outgoing_.empty())
    {
        auto const kept = response_ended_ ? max_idle_bytes : max_drained_bytes;
        shrink(write_buffer_, kept);
        shrink(outgoing_, kept);
        update_account();
        if (drained_handler_)
            drained_handler_();
        if (state_ != state::responding || !response_ended_)
            return;
        last_progress_ = clock_.now();
        if (!keep_alive_)
        {
            state_ = state::closing;
            if (!unparsed_.empty())
                handler_.on_unanswered_input(
                    *this, "pipelined", unparsed_.size());
            unparsed_.clear();
            asio::error_code ignored; // the peer may have closed already
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            read();
            return;
        }
        state_ = state::idle;
        parse_buffered();
        read();
        return;
    }
    write_buffer_.swap(outgoing_);
    outgoing_.clear();
    bytes_in_flight_ = write_buffer_.size();
    update_account();
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [this, self](asio::error_code const& e, std::size_t)
        {
            bytes_in_flight_ = 0;
            if (state_ == state::closed)
                return;
            if (e)
            {
                on_disconnect();
                return;
            }
            write();
        });
}

void client_session::abort()
{
    disconnect_handler_ = nullptr;
    drained_handler_ = nullptr;
    if (state_ != state::responding || response_ended_)
        return;
    if (!chunked_)
    {
        // A graceful close would mark the end of the unframed response, so
        // reset the connection.
        asio::error_code ignored; // the socket is closed either way
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
        return;
    }
    keep_alive_ = false;
    finish_response();
}

// Timeouts and close ---------------------------------------------------------

void client_session::check_timeouts(steady_time now)
{
    auto const waited = now - last_progress_;
    switch (state_)
    {
    case state::idle:
        if (waited > limits_.idle_timeout)
            close_idle();
        break;
    case state::reading:
        if (input_waiting())
            break; // read late, not sent late
        if (!parser_.head_complete() && waited > limits_.header_timeout)
            reject(408, "head_timeout");
        else if (parser_.head_complete() && waited > limits_.idle_timeout)
            reject(408, "body_timeout");
        break;
    case state::closing:
        if (waited > close_linger && !has_unacknowledged_output(socket_))
            close();
        break;
    case state::responding:
        // Reading pauses, so its end is not seen.
        if (input_full() && !response_ended_ && peer_has_closed(socket_))
            on_disconnect();
        break;
    case state::closed:
        break;
    }
}

void client_session::close_idle()
{
    // Closed for input as well: a request that is on its way is reset unread,
    // so its caller may send it again. The reset drops what the caller has not
    // received of its answer.
    if (state_ != state::idle || awaits_first_request() || input_waiting() ||
        has_unacknowledged_output(socket_))
        return;
    close();
}

bool client_session::awaits_first_request() const
{
    return !first_request_read_ &&
           clock_.now() - accepted_ < first_request_wait;
}

bool client_session::owes_answer() const
{
    if (state_ == state::idle)
        return awaits_first_request() || input_waiting();
    return state_ == state::reading || state_ == state::responding;
}

void client_session::end_for_shutdown()
{
    if (state_ == state::reading)
        reject(503, "shutting_down");
}

bool client_session::input_waiting() const
{
    asio::error_code ignored; // the session ends if the socket failed
    return !unparsed_.empty() || socket_.available(ignored) > 0;
}

void client_session::close()
{
    if (state_ == state::closed)
        return;
    state_ = state::closed;
    drop_request();
    asio::error_code ignored; // the session ends either way
    socket_.close(ignored);
    handler_.on_closed(*this);
}

} // namespace dotterellock
