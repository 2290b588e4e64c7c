// Pool of idle connections to endpoints, keyed by address and incarnation. A
// connection is closed before the endpoint's idle timeout, and at once when
// unexpected bytes arrive on it or its endpoint may have failed.
#ifndef DOTTERELLOCK_RELAY_CONNECTION_POOL_HPP
#define DOTTERELLOCK_RELAY_CONNECTION_POOL_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "gateway/endpoint_state.hpp"
#include "http_connection.hpp"

namespace dotterellock
{

class connection_pool
{
public:
    // Endpoints advertise idle timeouts in whole seconds. One that advertises
    // none may have a timeout just below one second.
    static constexpr std::chrono::milliseconds default_idle_timeout{400};
    static constexpr std::chrono::milliseconds idle_timeout_margin{500};

    connection_pool(
        asio::io_context& io, clock_source const& clock, memory_budget& memory)
        : io_(io), clock_(clock), memory_(memory)
    {
    }

    /// The most recently used idle connection to the endpoint that never
    /// carried a request with this id, or a new one. Records the request.
    /// @param require_recent  for a request that must not be repeated: skips
    ///                        connections that the endpoint may be closing
    /// @param request         its id; empty for one of the gateway's own
    std::shared_ptr<http_connection> acquire(
        endpoint_record const& endpoint, bool require_recent,
        std::string_view request);

    /// A new connection, not connected yet.
    std::shared_ptr<http_connection> create();

    /// Returns a connection to the pool if it is reusable, or closes it.
    /// @param idle_timeout  as the endpoint advertised it
    void release(
        endpoint_record const& endpoint,
        std::shared_ptr<http_connection> connection,
        std::optional<std::chrono::milliseconds> idle_timeout);

    /// Closes the idle connections of an endpoint that may have failed.
    void close_idle(endpoint_record const& endpoint);

    /// Closes connections that have exceeded their idle time.
    void close_expired();

    std::uint64_t connections_created() const { return connections_created_; }

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> connection;
        std::chrono::milliseconds max_idle;
    };

    static std::string pool_key(endpoint_record const& endpoint);
    std::shared_ptr<http_connection> take_idle(
        endpoint_record const& endpoint, bool require_recent,
        std::string_view request);
    bool is_usable(idle_connection const& idle, bool require_recent) const;

    asio::io_context& io_;
    clock_source const& clock_;
    memory_budget& memory_;
    std::map<std::string, std::vector<idle_connection>> idle_;
    std::uint64_t connections_created_ = 0;
};

/// Parses IPv4:PORT; empty if the text is invalid.
std::optional<asio::ip::tcp::endpoint> parse_address(std::string const& text);

} // namespace dotterellock

#endif
