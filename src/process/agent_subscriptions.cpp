#include "agent_subscriptions.hpp"

#include <utility>

namespace dotterellock
{

agent_subscriptions::agent_subscriptions(
    clock_source& clock, timer_service& timers, peer_transport& transport,
    std::function<std::set<peer_id>()> agents,
    std::function<void(peer_id const&)> silent)
    : clock_(clock), timers_(timers), transport_(transport),
      agents_(std::move(agents)), on_silent_(std::move(silent))
{
}

agent_subscriptions::~agent_subscriptions()
{
    timers_.cancel(timer_);
}

void agent_subscriptions::note_activity(peer_id const& peer)
{
    auto const found = last_activity_.find(peer);
    if (found != last_activity_.end())
        found->second = clock_.now();
}

void agent_subscriptions::tick()
{
    steady_time const now = clock_.now();
    // After a pause of this process, the agents' silence proves nothing.
    bool const paused = now - last_tick_ > 2 * ping_interval;
    last_tick_ = now;
    auto const agents = agents_();
    std::map<peer_id, steady_time> remaining;
    for (auto const& agent : agents)
    {
        auto const known = last_activity_.find(agent);
        bool const fresh = known == last_activity_.end() || paused;
        steady_time const since = fresh ? now : known->second;
        bool const silent = now - since >= silence_limit;
        remaining[agent] = silent ? now : since;
        if (silent)
        {
            transport_.reconnect(agent);
            on_silent_(agent);
        }
        transport_.send(agent, ping{0});
    }
    last_activity_ = std::move(remaining);
    timer_ = timers_.schedule(ping_interval, [this] { tick(); });
}

} // namespace dotterellock
