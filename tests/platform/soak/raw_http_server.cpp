#include "raw_http_server.hpp"

#include <utility>

#include <asio/write.hpp>
#include <fmt/format.h>

#include "http/reason_phrase.hpp"

namespace dotterellock::soak
{

using asio::ip::tcp;

std::string raw_http_request::path() const
{
    return head.target.substr(0, head.target.find('?'));
}

std::string raw_http_request::parameter(std::string const& name) const
{
    auto at = head.target.find('?');
    while (at != std::string::npos)
    {
        auto const next = head.target.find('&', at + 1);
        auto const part = head.target.substr(
            at + 1, next == std::string::npos ? next : next - at - 1);
        if (part.compare(0, name.size() + 1, name + '=') == 0)
            return part.substr(name.size() + 1);
        at = next;
    }
    return {};
}

std::string raw_http_request::header(std::string_view name) const
{
    auto const* const value = find_header(head.headers, name);
    return value == nullptr ? std::string() : *value;
}

raw_http_connection::raw_http_connection(
    tcp::socket socket, raw_http_handler const& h)
    : socket_(std::move(socket)), handler_(h),
      parser_(message_parser::kind::request, *this)
{
}

void raw_http_connection::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(buffer_),
        [this, self](asio::error_code const& e, std::size_t n)
        {
            if (!open_)
                return;
            if (e)
            {
                handle_disconnect();
                return;
            }
            input_.append(buffer_.data(), n);
            parse_input();
            if (open_)
                read();
        });
}

void raw_http_connection::parse_input()
{
    while (open_ && !handling_request_ && !input_.empty())
    {
        auto const taken = parser_.feed(input_);
        input_.erase(0, taken);
        if (parser_.error() != parse_error::none)
        {
            reset();
            return;
        }
        if (!handling_request_)
            return; // more bytes are needed
    }
}

void raw_http_connection::on_head(message_head head)
{
    request_ = raw_http_request{std::move(head), {}};
}

void raw_http_connection::on_body(std::string_view bytes)
{
    request_.body.append(bytes);
}

void raw_http_connection::on_complete()
{
    handling_request_ = true;
    handler_(shared_from_this(), request_);
}

void raw_http_connection::finish_request()
{
    handling_request_ = false;
    asio::post(
        socket_.get_executor(),
        [self = shared_from_this()] { self->parse_input(); });
}

void raw_http_connection::send(std::string bytes)
{
    output_ += bytes;
    if (writing_.empty())
        write();
}

void raw_http_connection::write()
{
    if (!open_)
        return;
    if (output_.empty())
    {
        if (close_when_sent_)
        {
            open_ = false;
            on_disconnect_ = nullptr;
            asio::error_code ignored; // the peer may have left
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
            socket_.close(ignored);
        }
        return;
    }
    writing_ = std::exchange(output_, {});
    auto self = shared_from_this();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [this, self](asio::error_code const& e, std::size_t)
        {
            writing_.clear();
            if (e)
                handle_disconnect();
            else
                write();
        });
}

void raw_http_connection::end()
{
    close_when_sent_ = true;
    if (writing_.empty())
        write();
}

void raw_http_connection::reset()
{
    if (!open_)
        return;
    asio::error_code ignored; // the peer may have left
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    handle_disconnect();
}

void raw_http_connection::handle_disconnect()
{
    if (!std::exchange(open_, false))
        return;
    asio::error_code ignored; // the peer may have left
    socket_.close(ignored);
    if (auto const callback = std::exchange(on_disconnect_, nullptr))
        callback();
}

raw_http_server::raw_http_server(asio::io_context& io, raw_http_handler handler)
    : handler_(std::move(handler)),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    accept();
}

void raw_http_server::stop()
{
    stopped_ = true;
    reset_connections();
}

void raw_http_server::reset_connections()
{
    for (auto const& c : std::exchange(connections_, {}))
        c->reset();
}

std::string raw_http_server::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void raw_http_server::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code const& e, tcp::socket socket)
        {
            if (e)
                return;
            socket.set_option(tcp::no_delay(true));
            auto const c = std::make_shared<raw_http_connection>(
                std::move(socket), handler_);
            for (auto i = connections_.begin(); i != connections_.end();)
                i = (*i)->open() ? std::next(i) : connections_.erase(i);
            connections_.insert(c);
            if (stopped_)
                c->reset();
            else
                c->read();
            accept();
        });
}

std::string encode_chunk(std::string const& text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string encode_response(
    unsigned status, std::string const& headers, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' +
           std::string(reason_phrase(status)) + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace dotterellock::soak
