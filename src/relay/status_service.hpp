// HTTP service for the load balancer's readiness check and for metrics.
#ifndef DOTTERELLOCK_RELAY_STATUS_SERVICE_HPP
#define DOTTERELLOCK_RELAY_STATUS_SERVICE_HPP

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "client_session.hpp"

namespace dotterellock
{

/// Supplies the values that the service reports.
struct status_source
{
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<bool()> stopping;
};

/// Opens a listening socket. Throws error(invalid_argument) for a malformed
/// address, and std::system_error.
void open_listener(
    asio::ip::tcp::acceptor& acceptor, std::string const& address);

class status_service : public session_handler
{
public:
    status_service(
        asio::io_context& io, clock_source const& clock,
        std::string const& address, status_source source);

    void check_timeouts(steady_time now);

private:
    void accept();

    void on_request(
        std::shared_ptr<client_session> session,
        client_request message) override;
    void on_rejected(client_session const&, unsigned, char const*) override {}
    void on_closed(client_session& session) override
    {
        sessions_.erase(&session);
    }
    caller_limits limits() const override { return {}; }
    bool close_after_response() const override { return source_.stopping(); }
    bool reserve_body(std::size_t) override { return false; }
    void release_body(std::size_t) override {}

    clock_source const& clock_;
    status_source const source_;
    asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<client_session*, std::shared_ptr<client_session>>
        sessions_;
};

} // namespace dotterellock

#endif
