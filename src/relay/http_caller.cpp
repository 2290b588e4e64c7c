#include "http_caller.hpp"

#include <algorithm>
#include <utility>

#include "http/decimal.hpp"
#include "string_growth.hpp"

namespace dotterellock
{

http_caller::http_caller(
    asio::io_context& io, clock_source const& clock, memory_budget& memory,
    memory_use use, std::size_t max_body_bytes)
    : io_(io), clock_(clock), memory_(memory), use_(use), account_(memory, use),
      max_body_bytes_(max_body_bytes), timer_(io)
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
    expected_ = 0;
    account_.hold(0);
    ++call_number_;
    watch_.start(clock_.now(), timeout);
    check_time_later();
    bool const reusable =
        connection_ && connection_->reusable() && peer_ == peer;
    if (!reusable)
    {
        if (connection_)
            connection_->abandon();
        connection_ =
            std::make_shared<http_connection>(io_, clock_, memory_, use_);
        peer_ = peer;
    }
    connection_->send(peer_, {std::move(request), nullptr}, *this);
}

void http_caller::cancel()
{
    if (!busy())
        return;
    done_ = nullptr;
    ++call_number_;
    timer_.cancel();
    connection_->abandon();
    connection_.reset();
    shrink(reply_.body, 0);
    reply_ = {};
    account_.hold(0);
}

void http_caller::check_time_later()
{
    timer_.expires_after(std::max(
        watch_.deadline() - clock_.now(),
        duration(std::chrono::milliseconds(1))));
    timer_.async_wait(
        [this, number = call_number_](asio::error_code const& e)
        {
            if (e || number != call_number_ || !done_)
                return;
            if (watch_.expired(clock_.now()))
                fail("response timed out");
            else
                check_time_later();
        });
}

void http_caller::on_response_head(message_head head)
{
    watch_.on_bytes(clock_.now(), 0);
    if (auto const* const text = find_header(head.headers, "content-length"))
        expected_ = parse_decimal(*text).value_or(0);
    reply_.status = head.status;
    reply_.headers = std::move(head.headers);
}

void http_caller::on_response_body(std::string_view bytes)
{
    auto const capacity = capacity_after(reply_.body, bytes.size());
    bool const allowed = account_.may_grow(capacity);
    append_tight(reply_.body, bytes);
    reply_.received += bytes.size();
    watch_.on_bytes(clock_.now(), bytes.size());
    account_.hold(reply_.body.capacity());
    if (!allowed || reply_.body.size() > max_body_bytes_)
        fail("response is too long");
}

void http_caller::on_response_complete()
{
    finish();
}

void http_caller::on_failure(connection_failure failure)
{
    connection_.reset();
    finish_without_response(to_string(failure));
}

void http_caller::fail(char const* why)
{
    connection_->abandon();
    connection_.reset();
    finish_without_response(why);
}

void http_caller::finish_without_response(char const* why)
{
    auto const received = reply_.received;
    shrink(reply_.body, 0);
    reply_ = {};
    reply_.received = received;
    reply_.failure = why;
    finish();
}

void http_caller::finish()
{
    timer_.cancel();
    auto const done = std::exchange(done_, nullptr);
    if (done)
        done(std::exchange(reply_, {}));
    if (!busy())
        account_.hold(0);
}

} // namespace dotterellock
