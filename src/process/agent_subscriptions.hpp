// Subscribes to the load reports of the agents in a router's subsets with
// periodic pings, and detects connections that have gone silent while idle.
// One per router, owned by its first shard and used under that shard's lock.
#ifndef DOTTERELLOCK_PROCESS_AGENT_SUBSCRIPTIONS_HPP
#define DOTTERELLOCK_PROCESS_AGENT_SUBSCRIPTIONS_HPP

#include <functional>
#include <map>
#include <set>

#include <dotterellock/peer_transport.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class agent_subscriptions
{
public:
    /// Agents drop the subscription of a router that has sent nothing for
    /// several seconds, and answer each ping at once.
    static constexpr milliseconds ping_interval{1000};

    /// Two intervals without any message: the connection is replaced.
    static constexpr milliseconds silence_limit{2000};

    /// @param agents  returns the agents to follow; called at each interval
    /// @param silent  called after the connection to a silent agent has been
    ///                replaced; messages sent over it may be lost
    agent_subscriptions(
        clock_source& clock, timer_service& timers, peer_transport& transport,
        std::function<std::set<peer_id>()> agents,
        std::function<void(peer_id const&)> silent);
    ~agent_subscriptions();

    agent_subscriptions(agent_subscriptions const&) = delete;
    agent_subscriptions& operator=(agent_subscriptions const&) = delete;

    void start() { tick(); }
    void note_activity(peer_id const& peer);

private:
    void tick();

    clock_source& clock_;
    timer_service& timers_;
    peer_transport& transport_;
    std::function<std::set<peer_id>()> const agents_;
    std::function<void(peer_id const&)> const on_silent_;
    std::map<peer_id, steady_time> last_activity_; // or of the last reconnect
    steady_time last_tick_{};
    timer_id timer_ = 0;
};

} // namespace dotterellock

#endif
