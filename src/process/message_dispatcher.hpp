// Dispatches messages from the transport to the object graphs of a router:
// messages about a request, and pongs, to the shard concerned, configuration
// messages to the control graph, all others to every shard. Called on I/O
// threads without a graph's lock; never waits for a shard.
#ifndef DOTTERELLOCK_PROCESS_MESSAGE_DISPATCHER_HPP
#define DOTTERELLOCK_PROCESS_MESSAGE_DISPATCHER_HPP

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

#include <dotterellock/peer_transport.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class message_dispatcher
{
public:
    /// An object graph: `post` runs a function later under the graph's lock.
    struct target
    {
        std::function<void(std::function<void()>)> post;
        message_handler& handler;
    };

    message_dispatcher(
        std::vector<target> shards, target control, clock_source& clock)
        : shards_(std::move(shards)), control_(std::move(control)),
          clock_(clock)
    {
    }

    void deliver(peer_id const& from, message m);
    void disconnected(peer_id const& peer);

private:
    /// Time of the last message from a peer, per shard.
    using activity_times = std::vector<std::atomic<duration::rep>>;

    void forward_liveness(peer_id const& from, std::size_t shard);
    activity_times& activity_of(peer_id const& peer);

    std::vector<target> const shards_;
    target const control_;
    clock_source& clock_;
    std::shared_mutex mutex_; // guards the map, not the values
    std::map<peer_id, std::unique_ptr<activity_times>> activity_;
};

} // namespace dotterellock

#endif
