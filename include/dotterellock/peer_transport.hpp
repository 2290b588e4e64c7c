// Sending of messages to other processes of the system. Implemented over TCP
// by src/wire and by a fake network in tests. Called under the caller's lock;
// never blocks and never calls back into the caller.
#ifndef DOTTERELLOCK_PEER_TRANSPORT_HPP
#define DOTTERELLOCK_PEER_TRANSPORT_HPP

#include <dotterellock/messages.hpp>

namespace dotterellock
{

class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Queues a message. Messages to one peer keep their order while one
    /// connection lasts; a message is lost without notice when it fails.
    virtual void send(peer_id const& to, message m) = 0;

    /// Abandons the present connection to the peer, which may have gone
    /// silent. The next send opens a new one.
    virtual void reconnect(peer_id const& to) = 0;
};

/// Receives what the transport delivers. The process shell calls it under the
/// lock of the receiving object graph.
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
