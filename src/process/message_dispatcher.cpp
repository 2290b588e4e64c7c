#include "message_dispatcher.hpp"

#include <mutex>

#include "router_shard.hpp"

namespace dotterellock
{

namespace
{

// An agent sends a pong only after it has sent the router nothing else for
// 200 ms. A shard that exchanges no messages with the agent itself must still
// learn that it is alive, well before the relay treats 600 ms of silence as a
// failure.
constexpr milliseconds liveness_interval{100};

} // namespace

void message_dispatcher::deliver(peer_id const& from, message m)
{
    auto const shard =
        destination_shard(m, static_cast<std::uint32_t>(shards_.size()));
    auto const shared = std::make_shared<message const>(std::move(m));
    auto const post_to = [&](target const& t)
    { t.post([&t, from, shared] { t.handler.on_message(from, *shared); }); };
    if (std::holds_alternative<configuration_digest>(*shared) ||
        std::holds_alternative<configuration_push>(*shared))
    {
        post_to(control_);
        return;
    }
    if (!shard)
    {
        for (target const& t : shards_)
            post_to(t);
        return;
    }
    post_to(shards_[*shard]);
    if (shards_.size() > 1)
        forward_liveness(from, *shard);
}

void message_dispatcher::disconnected(peer_id const& peer)
{
    auto const tell = [&peer](target const& t)
    { t.post([&t, peer] { t.handler.on_disconnected(peer); }); };
    for (target const& t : shards_)
        tell(t);
    tell(control_);
}

message_dispatcher::activity_times&
message_dispatcher::activity_of(peer_id const& peer)
{
    {
        std::shared_lock<std::shared_mutex> const lock(mutex_);
        auto const found = activity_.find(peer);
        if (found != activity_.end())
            return *found->second;
    }
    std::unique_lock<std::shared_mutex> const lock(mutex_);
    auto& slot = activity_[peer];
    if (!slot)
        slot = std::make_unique<activity_times>(shards_.size());
    return *slot;
}

void message_dispatcher::forward_liveness(
    peer_id const& from, std::size_t shard)
{
    auto const now = clock_.now().time_since_epoch().count();
    constexpr auto interval =
        std::chrono::duration_cast<duration>(liveness_interval).count();
    activity_times& activity = activity_of(from);
    activity[shard] = now;
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        duration::rep const last = activity[i];
        if (now - last < interval)
            continue;
        activity[i] = now;
        target const& t = shards_[i];
        // Sequence 0 matches no ping.
        t.post([&t, from] { t.handler.on_message(from, pong{0}); });
    }
}

} // namespace dotterellock
