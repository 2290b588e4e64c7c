#include "status_service.hpp"

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

status_service::status_service(
    asio::io_context& io, clock_source const& clock, std::string const& address,
    status_source source)
    : clock_(clock), source_(std::move(source)), acceptor_(io)
{
    open_listener(acceptor_, address);
    accept();
}

void status_service::check_timeouts(steady_time now)
{
    auto const sessions = sessions_;
    for (auto const& [raw, session] : sessions)
        session->check_timeouts(now);
}

void status_service::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code const& e, asio::ip::tcp::socket socket)
        {
            if (e == asio::error::operation_aborted)
                return;
            if (!e)
            {
                auto session = std::make_shared<client_session>(
                    std::move(socket), clock_, *this);
                sessions_.emplace(session.get(), session);
                session->start();
            }
            accept();
        });
}

void status_service::on_request(
    std::shared_ptr<client_session> session, client_request message)
{
    std::string_view const target = message.head.target;
    if (target.substr(0, target.find('?')) == "/metrics")
    {
        session->respond(
            200, "OK", {{"Content-Type", "text/plain; version=0.0.4"}},
            source_.metrics());
        return;
    }
    bool const ready = source_.ready();
    session->respond(
        ready ? 200 : 503, ready ? "OK" : "Service Unavailable",
        {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n");
}

} // namespace dotterellock
