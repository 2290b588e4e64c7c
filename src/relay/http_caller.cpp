#include "http_caller.hpp"

#include <utility>

namespace dotterellock
{

http_caller::http_caller(
    asio::io_context& io, clock_source const& clock, std::size_t max_body_bytes)
    : io_(io), clock_(clock), max_body_bytes_(max_body_bytes), timer_(io)
{
}

http_caller::~http_caller()
{
    if (connection_)
        connection_->abandon();
}

void http_caller::call(
    asio::ip::tcp::endpoint const& peer, std::string request,
    std::chrono::milliseconds timeout, handler done)
{
    done_ = std::move(done);
    reply_ = {};
    auto const number = ++call_number_;
    timer_.expires_after(timeout);
    timer_.async_wait(
        [this, number](asio::error_code const& e)
        {
            if (!e && number == call_number_ && done_)
                fail("response timed out");
        });
    bool const reusable =
        connection_ && connection_->reusable() && peer_ == peer;
    if (!reusable)
    {
        if (connection_)
            connection_->abandon();
        connection_ = std::make_shared<http_connection>(io_, clock_);
        peer_ = peer;
    }
    connection_->send(peer_, std::move(request), *this);
}

void http_caller::on_response_head(message_head head)
{
    reply_.status = head.status;
}

void http_caller::on_response_body(std::string_view bytes)
{
    reply_.body.append(bytes);
    if (reply_.body.size() > max_body_bytes_)
        fail("response is too long");
}

void http_caller::on_response_complete()
{
    finish();
}

void http_caller::on_failure(connection_failure failure)
{
    connection_.reset();
    reply_ = {};
    reply_.failure = to_string(failure);
    finish();
}

void http_caller::fail(char const* why)
{
    connection_->abandon();
    connection_.reset();
    reply_ = {};
    reply_.failure = why;
    finish();
}

void http_caller::finish()
{
    timer_.cancel();
    auto const done = std::exchange(done_, nullptr);
    if (done)
        done(std::move(reply_));
}

} // namespace dotterellock
