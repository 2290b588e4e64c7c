#include "http_connection.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "socket_options.hpp"

namespace dotterellock
{

namespace
{

// A peer that lost power sends no reset. Unacknowledged bytes and unanswered
// probes end the connection after two to three seconds.
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
    }
    return "unknown";
}

http_connection::http_connection(
    asio::io_context& io, clock_source const& clock)
    : clock_(clock), socket_(io), parser_(message_parser::kind::response, *this)
{
    parser_.set_max_head_bytes(65536);
}

void http_connection::send(
    asio::ip::tcp::endpoint const& peer, std::string bytes, answer_sink& sink,
    bool bodiless)
{
    sink_ = &sink;
    parser_.expect_no_body(bodiless);
    idle_ended_ = nullptr;
    reusable_ = false;
    written_ = false;
    skip_ = false;
    ++requests_sent_;
    last_used_ = clock_.now();
    if (connected_)
    {
        write(std::move(bytes));
        return;
    }
    outgoing_ = std::move(bytes);
    auto self = shared_from_this();
    socket_.async_connect(
        peer,
        [this, self](asio::error_code const& e)
        {
            if (sink_ == nullptr)
                return;
            if (e)
            {
                fail(connection_failure::not_connected);
                return;
            }
            prepare_socket(socket_, keep_alive);
            connected_ = true;
            sink_->on_connected();
            if (sink_ == nullptr)
                return;
            read();
            write(std::move(outgoing_));
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
                prepare_socket(socket_, keep_alive);
                connected_ = true;
                reusable_ = true;
                last_used_ = clock_.now();
                read();
            }
            done(!e);
        });
}

void http_connection::write(std::string bytes)
{
    auto self = shared_from_this();
    auto const text = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        socket_, asio::buffer(*text),
        [this, self, text](asio::error_code const& e, std::size_t)
        {
            // A failed write shows in the read as well, after any answer
            // that the peer sent before it closed.
            if (!e)
                written_ = true;
        });
}

void http_connection::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(buffer_),
        [this, self](asio::error_code const& e, std::size_t n)
        {
            if (e)
            {
                read_ended(e);
                return;
            }
            received(std::string_view(buffer_.data(), n));
            if (socket_.is_open())
                read();
        });
}

void http_connection::received(std::string_view bytes)
{
    if (sink_ == nullptr)
    {
        // Nothing was asked: an extra answer, or the end of the connection.
        close();
        return;
    }
    while (!bytes.empty() && sink_ != nullptr)
    {
        std::size_t const taken = parser_.feed(bytes);
        bytes.remove_prefix(taken);
        if (parser_.error() != parse_error::none)
        {
            fail(connection_failure::malformed);
            return;
        }
        if (answered_)
        {
            // Bytes after a complete answer belong to no request.
            reusable_ = reusable_ && bytes.empty();
            deliver_end();
            return;
        }
    }
}

void http_connection::deliver_end()
{
    answer_sink* const sink = sink_;
    sink_ = nullptr;
    answered_ = false;
    if (!reusable_)
        close();
    if (sink != nullptr)
        sink->on_answer_complete();
}

void http_connection::read_ended(asio::error_code const& e)
{
    if (sink_ == nullptr)
    {
        close();
        return;
    }
    bool const orderly = e == asio::error::eof;
    if (orderly && parser_.in_message() && parser_.close_delimited() &&
        parser_.finish() && answered_)
    {
        deliver_end();
        return;
    }
    if (sink_ != nullptr)
        fail(orderly ? connection_failure::closed : connection_failure::reset);
}

void http_connection::on_head(message_head head)
{
    if (sink_ != nullptr && head.status >= 200)
        sink_->on_answer_head(std::move(head));
    else
        skip_ = true; // an interim answer
}

void http_connection::on_body(std::string_view bytes)
{
    if (sink_ != nullptr && !skip_)
        sink_->on_answer_body(bytes);
}

void http_connection::on_complete()
{
    last_used_ = clock_.now();
    if (skip_)
    {
        skip_ = false;
        return;
    }
    answered_ = true;
    reusable_ = parser_.keep_alive() && written_ && !mixed_up_;
}

void http_connection::skip_answer()
{
    skip_ = true;
    mixed_up_ = true;
}

void http_connection::watch_idle(std::function<void()> ended)
{
    idle_ended_ = std::move(ended);
}

void http_connection::abandon()
{
    sink_ = nullptr;
    idle_ended_ = nullptr;
    close();
}

void http_connection::fail(connection_failure failure)
{
    answer_sink* const sink = sink_;
    sink_ = nullptr;
    close();
    if (sink != nullptr)
        sink->on_failure(failure);
}

void http_connection::close()
{
    reusable_ = false;
    asio::error_code ignored; // the connection is given up either way
    socket_.close(ignored);
    if (auto const ended = std::move(idle_ended_))
    {
        idle_ended_ = nullptr;
        ended();
    }
}

} // namespace dotterellock
