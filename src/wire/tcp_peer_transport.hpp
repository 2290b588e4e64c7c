// Exchanges frames over TCP between routers and agents. Owns the connections,
// each with a bounded send buffer. send and reconnect are thread-safe and lock
// only the state of the peer concerned, apart from a look-up in the peer table.
// Callbacks run on the threads of the io_context without a lock held, one at a
// time per connection.
#ifndef DOTTERELLOCK_WIRE_TCP_PEER_TRANSPORT_HPP
#define DOTTERELLOCK_WIRE_TCP_PEER_TRANSPORT_HPP

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/runtime.hpp>

#include "codec.hpp"

namespace dotterellock
{

struct tcp_transport_settings
{
    peer_id self;
    std::string listen_address; // "ip:port"; empty: no listening socket
    milliseconds connect_timeout{1000};

    // A connection whose send buffer would exceed this is dropped: its peer is
    // too slow or gone. Twice the frame limit, so that a full frame fits behind
    // another.
    std::size_t max_unsent_bytes = 2 * max_frame_bytes;

    // Further connections are closed at once.
    std::size_t max_incoming_connections = 4096;

    // Bound on what the input buffers of all connections hold together. One of
    // them may hold a quarter of what is free.
    std::size_t input_budget_bytes = 256u << 20;

    // Called with the reason for a connection or accept failure; optional.
    std::function<void(
        std::string const& step, peer_id const& peer,
        std::string const& detail)>
        log;
};

class tcp_peer_transport : public peer_transport
{
public:
    using message_callback = std::function<void(peer_id const&, message)>;
    using disconnect_callback = std::function<void(peer_id const&)>;

    /// Binds the listening socket; throws error(invalid_argument, "listen").
    /// The io_context must outlive this object and its threads must have ended
    /// before this object is destroyed.
    tcp_peer_transport(
        asio::io_context& io, tcp_transport_settings settings,
        message_callback on_message, disconnect_callback on_disconnected,
        counter_registry& counters);
    ~tcp_peer_transport() override;

    /// Starts accepting connections.
    void start();

    /// Closes all connections. No callback starts afterwards; one that is
    /// already running may finish.
    void stop();

    /// Sets the "ip:port" at which to connect to the peer. Throws
    /// error(invalid_argument, "set_address").
    void set_address(peer_id const& peer, std::string const& ip_port);

    /// Messages to this process itself are delivered through the io_context,
    /// without a connection.
    void send(peer_id const& to, message m) override;
    void reconnect(peer_id const& to) override;

    /// Returns "ip:port" of the listening socket with its actual port; empty
    /// without one.
    std::string listening_on() const;

    class implementation;

private:
    std::shared_ptr<implementation> implementation_;
};

} // namespace dotterellock

#endif
