// Sends messages to other routers and agents. Implemented over TCP by src/wire
// and by a fake network in tests. Called while the calling component holds its
// lock; never blocks and never calls back into that component.
#ifndef DOTTERELLOCK_PEER_TRANSPORT_HPP
#define DOTTERELLOCK_PEER_TRANSPORT_HPP

#include <dotterellock/messages.hpp>

namespace dotterellock
{

class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Queues a message. Messages on one connection to a peer stay in order; if
    /// the connection fails, undelivered messages are lost without notice.
    virtual void send(peer_id const& to, message m) = 0;

    /// Drops the current connection to the peer, which may have become
    /// unresponsive. The next send opens a new one.
    virtual void reconnect(peer_id const& to) = 0;
};

/// Receives messages from the transport. src/process calls it while holding the
/// lock of the receiving component.
class message_handler
{
public:
    virtual ~message_handler() = default;
    virtual void on_message(peer_id const& from, message const& m) = 0;

    /// The connection to the peer failed; messages in flight may be lost.
    virtual void on_disconnected(peer_id const& peer) = 0;
};

} // namespace dotterellock

#endif
