// Frames over TCP between routers and agents. Owns the connections and one
// bounded send buffer for each; send and reconnect may be called from any
// thread and take only the lock of the peer concerned. Callbacks run on the
// threads of the io_context, without locks, one at a time for a connection.
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
    std::string listen_address; // "ip:port"; empty: accepts nothing
    milliseconds connect_timeout{1000};

    // A connection with more waiting is dropped: its peer is too slow or gone.
    // Twice a frame, so that a full frame fits behind another.
    std::size_t max_unsent_bytes = 2 * max_frame_bytes;

    // Told why a connection ended; may be empty.
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

    /// Begins to accept connections.
    void start();

    /// Closes everything; nothing is delivered afterwards, except by a
    /// callback that already runs.
    void stop();

    /// Where to dial the peer; "ip:port". Throws error(invalid_argument).
    void set_address(peer_id const& peer, std::string const& ip_port);

    /// Messages to this process itself are delivered by the io_context.
    void send(peer_id const& to, message m) override;
    void reconnect(peer_id const& to) override;

    /// "ip:port" that is listened on, with the chosen port; empty when none.
    std::string listening_on() const;

    class implementation;

private:
    std::shared_ptr<implementation> implementation_;
};

} // namespace dotterellock

#endif
