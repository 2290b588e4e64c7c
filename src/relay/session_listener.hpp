// Accepts connections to a service of the gateway itself, such as its status
// page, and holds their sessions.
#ifndef DOTTERELLOCK_RELAY_SESSION_LISTENER_HPP
#define DOTTERELLOCK_RELAY_SESSION_LISTENER_HPP

#include <memory>
#include <string>
#include <unordered_map>

#include <asio/ip/tcp.hpp>

#include "client_session.hpp"

namespace dotterellock
{

/// Opens a listening socket. Throws error(invalid_argument) for a malformed
/// address, and std::system_error.
void open_listener(
    asio::ip::tcp::acceptor& acceptor, std::string const& address);

/// Derived classes implement session_handler::on_request().
class session_listener : public session_handler
{
public:
    /// Opens the address. Throws like open_listener().
    session_listener(
        asio::io_context& io, clock_source const& clock, memory_budget& memory,
        std::string const& address);

    void check_timeouts(steady_time now);

protected:
    void on_rejected(client_session const&, unsigned, char const*) override {}
    void on_unanswered_input(
        client_session const&, char const*, std::size_t) override
    {
    }
    void on_closed(client_session& session) override
    {
        sessions_.erase(&session);
    }
    caller_limits limits() const override;

private:
    void accept();

    clock_source const& clock_;
    memory_budget& memory_;
    asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<client_session*, std::shared_ptr<client_session>>
        sessions_;
};

} // namespace dotterellock

#endif
