#include "peer_socket.hpp"

#include <algorithm>

namespace dotterellock::testing::explorer
{

peer_socket::peer_socket(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
    asio::error_code ignored; // the connection may have ended
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

peer_socket::~peer_socket()
{
    reset();
}

void peer_socket::allow(std::size_t bytes)
{
    allowed_ =
        bytes == 0
            ? outbox_.size()
            : std::min(outbox_.size(), std::max(allowed_, sent_) + bytes);
}

void peer_socket::add_interest(std::vector<pollfd>& polled)
{
    if (!socket_.is_open() || broken_)
        return;
    short events = 0;
    if (reading_ && !ended_in_order_)
        events |= POLLIN;
    if (sent_ < allowed_)
        events |= POLLOUT;
    if (events != 0)
        polled.push_back({socket_.native_handle(), events, 0});
}

bool peer_socket::pump()
{
    if (!socket_.is_open() || broken_)
        return false;
    bool progress = false;
    while (sent_ < allowed_)
    {
        asio::error_code e;
        auto const n = socket_.write_some(
            asio::buffer(outbox_.data() + sent_, allowed_ - sent_), e);
        if (e)
            break; // would block, or the read reports the end
        sent_ += n;
        progress = true;
    }
    while (reading_ && read(buffer_.size()))
        progress = true;
    return progress;
}

void peer_socket::read_some(std::size_t bytes)
{
    if (socket_.is_open() && !broken_)
        read(std::min(bytes, buffer_.size()));
}

bool peer_socket::read(std::size_t limit)
{
    if (ended())
        return false;
    asio::error_code e;
    auto const n = socket_.read_some(asio::buffer(buffer_.data(), limit), e);
    if (e == asio::error::would_block)
        return false;
    ended_in_order_ = e == asio::error::eof;
    broken_ = e && !ended_in_order_;
    inbox_.append(buffer_.data(), n);
    return true;
}

void peer_socket::close()
{
    asio::error_code ignored; // it may have ended
    socket_.close(ignored);
}

void peer_socket::half_close()
{
    asio::error_code ignored; // it may have ended
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void peer_socket::reset()
{
    asio::error_code ignored; // it may have ended
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

} // namespace dotterellock::testing::explorer
