#include "client_session.hpp"

#include <charconv>
#include <cstdio>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http/reason_phrase.hpp"
#include "socket_options.hpp"

namespace dotterellock
{

namespace
{

// A caller behind a broken link is noticed without traffic in ten seconds.
constexpr keep_alive_settings keep_alive{
    std::chrono::seconds(4), std::chrono::seconds(2), 3,
    std::chrono::milliseconds(10000)};

/// True when a Content-Length is present and above the limit, or unreadable.
bool announces_more(message_head const& head, std::size_t limit)
{
    auto const* const text = find_header(head.headers, "content-length");
    if (text == nullptr)
        return false;
    std::size_t length = 0;
    auto const r =
        std::from_chars(text->data(), text->data() + text->size(), length);
    return r.ec != std::errc{} || length > limit;
}

} // namespace

client_session::client_session(
    asio::ip::tcp::socket socket, clock_source const& clock, session_host& host)
    : socket_(std::move(socket)), clock_(clock), host_(host),
      parser_(message_parser::kind::request, *this)
{
}

void client_session::start()
{
    prepare_socket(socket_, keep_alive);
    asio::error_code ignored; // the name only serves the log
    auto const remote = socket_.remote_endpoint(ignored);
    if (!ignored)
        peer_ =
            remote.address().to_string() + ':' + std::to_string(remote.port());
    limits_ = host_.limits();
    parser_.set_max_head_bytes(limits_.max_header_bytes);
    since_ = clock_.now();
    read();
}

// Input ----------------------------------------------------------------------

void client_session::read()
{
    if (reading_ || state_ == state::closed)
        return;
    reading_ = true;
    auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(buffer_),
        [this, self](asio::error_code const& e, std::size_t n)
        {
            reading_ = false;
            if (state_ == state::closed)
                return;
            if (e)
            {
                peer_closed();
                return;
            }
            received(std::string_view(buffer_.data(), n));
            if (ahead_.size() < max_ahead)
                read();
        });
}

void client_session::received(std::string_view bytes)
{
    if (state_ == state::closing)
        return; // discarded
    ahead_.append(bytes);
    if (state_ != state::answering)
        parse_ahead();
}

void client_session::parse_ahead()
{
    while (!ahead_.empty() &&
           (state_ == state::idle || state_ == state::reading))
    {
        if (state_ == state::idle)
        {
            limits_ = host_.limits();
            parser_.set_max_head_bytes(limits_.max_header_bytes);
            state_ = state::reading;
            since_ = clock_.now();
            message_ = {};
            message_.received = since_;
            message_complete_ = false;
            early_status_ = 0;
        }
        std::size_t const taken = parser_.feed(ahead_);
        ahead_.erase(0, taken);
        if (parser_.head_complete())
            since_ = clock_.now(); // the body makes progress
        if (early_status_ != 0)
        {
            reject(early_status_, "body");
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
        if (!message_complete_)
        {
            // Blank lines before a request do not start one.
            if (!parser_.in_message())
                state_ = state::idle;
            return;
        }
        state_ = state::answering;
        answer_ended_ = false;
        chunked_ = false;
        keep_ = parser_.keep_alive();
        host_.on_request(shared_from_this(), std::move(message_));
    }
}

void client_session::on_head(message_head head)
{
    if (announces_more(head, limits_.max_body_bytes))
    {
        early_status_ = 413;
    }
    else if (auto const* const expect = find_header(head.headers, "expect");
             expect != nullptr && equal_ignoring_case(*expect, "100-continue"))
    {
        outgoing_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
    http_1_0_ = head.http_1_0;
    message_.head = std::move(head);
}

void client_session::on_body(std::string_view bytes)
{
    if (early_status_ != 0)
        return;
    if (message_.body.size() + bytes.size() > limits_.max_body_bytes)
    {
        early_status_ = 413;
        return;
    }
    if (!host_.reserve_body(bytes.size()))
    {
        early_status_ = 503;
        return;
    }
    reserved_body_ += bytes.size();
    message_.body.append(bytes);
}

void client_session::on_complete()
{
    message_complete_ = true;
}

void client_session::reject(unsigned status, char const* why)
{
    host_.on_rejected(*this, status, why);
    keep_ = false;
    state_ = state::answering;
    ahead_.clear();
    header_list headers{{"Content-Type", "application/json"}};
    if (status == 503)
        headers.emplace_back("Retry-After", "1");
    answer(
        status, reason_phrase(status), headers,
        std::string("{\"error\":\"") + why + "\"}\n");
}

void client_session::peer_closed()
{
    if (state_ == state::answering && !answer_ended_)
    {
        lose_caller();
        return;
    }
    if (state_ == state::answering && in_flight_ > 0)
        return; // the rest of the answer is on its way
    close();
}

void client_session::lose_caller()
{
    auto const gone = std::move(caller_gone_);
    caller_gone_ = nullptr;
    close();
    if (gone)
        gone();
}

// Output ---------------------------------------------------------------------

void client_session::send_head(
    unsigned status, std::string_view reason, header_list const& headers,
    std::string_view framing)
{
    keep_ = keep_ && !host_.last_answer();
    outgoing_ += "HTTP/1.1 " + std::to_string(status) + ' ';
    outgoing_ += reason;
    outgoing_ += "\r\n";
    for (auto const& [name, value] : headers)
        outgoing_.append(name).append(": ").append(value).append("\r\n");
    outgoing_ += framing;
    outgoing_ += keep_ ? "\r\n" : "Connection: close\r\n\r\n";
}

void client_session::answer(
    unsigned status, std::string_view reason, header_list const& headers,
    std::string_view body)
{
    if (state_ != state::answering || answer_ended_)
        return;
    bool const bodiless = status == 204 || status == 304;
    send_head(
        status, reason, headers,
        bodiless ? std::string()
                 : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    outgoing_ += body;
    answer_done();
}

void client_session::begin_stream(
    unsigned status, std::string_view reason, header_list const& headers)
{
    if (state_ != state::answering || answer_ended_)
        return;
    chunked_ = !http_1_0_;
    if (!chunked_)
        keep_ = false;
    send_head(
        status, reason, headers,
        chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void client_session::stream(std::string_view bytes)
{
    if (state_ != state::answering || answer_ended_ || bytes.empty())
        return;
    if (chunked_)
    {
        char size[20];
        int const n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        outgoing_.append(size, std::size_t(n));
    }
    outgoing_ += bytes;
    if (chunked_)
        outgoing_ += "\r\n";
    write();
}

void client_session::end_stream()
{
    if (state_ != state::answering || answer_ended_)
        return;
    if (chunked_)
        outgoing_ += "0\r\n\r\n";
    answer_done();
}

void client_session::answer_done()
{
    answer_ended_ = true;
    caller_gone_ = nullptr;
    host_.release_body(reserved_body_);
    reserved_body_ = 0;
    write();
}

void client_session::write()
{
    if (in_flight_ > 0 || state_ == state::closed)
        return;
    auto self = shared_from_this();
    if (outgoing_.empty())
    {
        if (state_ != state::answering || !answer_ended_)
            return;
        since_ = clock_.now();
        if (!keep_)
        {
            state_ = state::closing;
            ahead_.clear();
            asio::error_code ignored; // the peer may have closed already
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            read();
            return;
        }
        state_ = state::idle;
        parse_ahead();
        read();
        return;
    }
    writing_text_.swap(outgoing_);
    outgoing_.clear();
    in_flight_ = writing_text_.size();
    asio::async_write(
        socket_, asio::buffer(writing_text_),
        [this, self](asio::error_code const& e, std::size_t)
        {
            in_flight_ = 0;
            if (state_ == state::closed)
                return;
            if (e)
            {
                lose_caller();
                return;
            }
            write();
        });
}

void client_session::abort()
{
    caller_gone_ = nullptr;
    if (state_ != state::answering || answer_ended_)
        return;
    if (!chunked_)
    {
        // The end of the connection would look like the end of the answer.
        asio::error_code ignored; // closing follows either way
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
        return;
    }
    keep_ = false;
    answer_done();
}

// Time and end ---------------------------------------------------------------

void client_session::check_time(steady_time now)
{
    auto const waited = now - since_;
    switch (state_)
    {
    case state::idle:
        if (waited > limits_.idle_timeout)
            close_idle();
        break;
    case state::reading:
        if (!parser_.head_complete() && waited > limits_.header_timeout)
            reject(408, "head_timeout");
        else if (parser_.head_complete() && waited > limits_.idle_timeout)
            reject(408, "body_timeout");
        break;
    case state::closing:
        if (waited > linger)
            close();
        break;
    case state::answering:
    case state::closed:
        break;
    }
}

void client_session::close_idle()
{
    if (state_ != state::idle)
        return;
    state_ = state::closing;
    since_ = clock_.now();
    asio::error_code ignored; // the peer may have closed already
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void client_session::close()
{
    if (state_ == state::closed)
        return;
    state_ = state::closed;
    host_.release_body(reserved_body_);
    reserved_body_ = 0;
    asio::error_code ignored; // the connection is given up either way
    socket_.close(ignored);
    host_.on_closed(*this);
}

} // namespace dotterellock
