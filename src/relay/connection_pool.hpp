// Idle connections to endpoints, reused by address and incarnation. A
// connection is dropped before the endpoint may close it, and at once when
// bytes arrive on it or its endpoint is in doubt.
#ifndef DOTTERELLOCK_RELAY_CONNECTION_POOL_HPP
#define DOTTERELLOCK_RELAY_CONNECTION_POOL_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "gateway/endpoint_state.hpp"
#include "http_connection.hpp"

namespace dotterellock
{

class connection_pool
{
public:
    // The endpoint states its idle timeout in whole seconds, if there are
    // any; without a statement it may be just below one.
    static constexpr std::chrono::milliseconds default_idle_timeout{400};
    static constexpr std::chrono::milliseconds idle_timeout_margin{500};

    connection_pool(asio::io_context& io, clock_source const& clock)
        : io_(io), clock_(clock)
    {
    }

    /// A connection to the endpoint: the idle one used last, or a new one.
    /// @param require_recent  for a request that may run once: avoids
    /// connections that
    ///               the endpoint may be about to close
    std::shared_ptr<http_connection>
    acquire(endpoint_record const& endpoint, bool require_recent);

    /// A new connection.
    std::shared_ptr<http_connection> create();

    /// Keeps a reusable connection.
    /// @param idle_timeout  as the endpoint stated it
    void release(
        endpoint_record const& endpoint,
        std::shared_ptr<http_connection> connection,
        std::optional<std::chrono::milliseconds> idle_timeout);

    /// Closes the idle connections of an endpoint in doubt.
    void close_idle(endpoint_record const& endpoint);

    /// Closes connections that have been idle for too long.
    void close_expired();

    std::uint64_t created() const { return created_; }

private:
    struct idle_connection
    {
        std::shared_ptr<http_connection> connection;
        std::chrono::milliseconds max_idle;
    };

    static std::string pool_key(endpoint_record const& endpoint);
    bool is_usable(idle_connection const& idle, bool require_recent) const;

    asio::io_context& io_;
    clock_source const& clock_;
    std::map<std::string, std::vector<idle_connection>> idle_;
    std::uint64_t created_ = 0;
};

/// The address of an endpoint; empty when it cannot be read.
std::optional<asio::ip::tcp::endpoint> parse_address(std::string const& text);

} // namespace dotterellock

#endif
