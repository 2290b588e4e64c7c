#include "session_listener.hpp"

#include <utility>

#include <dotterellock/error.hpp>

#include "connection_pool.hpp"

namespace dotterellock
{

namespace
{

// Holds connections that arrive while the process does not accept yet.
constexpr int backlog = 1024;

} // namespace

void open_listener(
    asio::ip::tcp::acceptor& acceptor, std::string const& address)
{
    auto const endpoint = parse_address(address);
    if (!endpoint)
        throw error(
            error_code::invalid_argument, "listen", address,
            "is not an IPv4 address with a port");
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(*endpoint);
    acceptor.listen(backlog);
}

session_listener::session_listener(
    asio::io_context& io, clock_source const& clock, memory_budget& memory,
    std::string const& address)
    : clock_(clock), memory_(memory), acceptor_(io)
{
    open_listener(acceptor_, address);
    accept();
}

void session_listener::check_timeouts(steady_time now)
{
    auto const sessions = sessions_;
    for (auto const& [raw, session] : sessions)
        session->check_timeouts(now);
}

/// The requests of these services have no body.
caller_limits session_listener::limits() const
{
    caller_limits limits;
    limits.max_body_bytes = 0;
    return limits;
}

void session_listener::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code const& e, asio::ip::tcp::socket socket)
        {
            if (e == asio::error::operation_aborted)
                return;
            accept();
            if (e)
                return;
            auto session = std::make_shared<client_session>(
                std::move(socket), clock_, memory_, *this);
            sessions_.emplace(session.get(), session);
            session->start();
        });
}

} // namespace dotterellock
