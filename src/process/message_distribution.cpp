#include "message_distribution.hpp"

#include <mutex>

#include "router_shard.hpp"

namespace dotterellock
{

namespace
{

// An agent sends a pong only while it sends a router nothing else for 200 ms.
// A shard whose own work there is quiet must still see that the agent lives,
// well before the relay takes 600 ms of silence for a failure.
constexpr milliseconds sign_of_life_interval{100};

} // namespace

void message_distribution::deliver(peer_id const& from, message m)
{
    auto const shard =
        destination_shard(m, static_cast<std::uint32_t>(shards_.size()));
    auto const shared = std::make_shared<message const>(std::move(m));
    auto const pass_to = [&](target const& t)
    { t.post([&t, from, shared] { t.handler.on_message(from, *shared); }); };
    if (std::holds_alternative<configuration_digest>(*shared) ||
        std::holds_alternative<configuration_push>(*shared))
    {
        pass_to(control_);
        return;
    }
    if (!shard)
    {
        for (target const& t : shards_)
            pass_to(t);
        return;
    }
    pass_to(shards_[*shard]);
    if (shards_.size() > 1)
        pass_on_sign_of_life(from, *shard);
}

void message_distribution::disconnected(peer_id const& peer)
{
    auto const tell = [&peer](target const& t)
    { t.post([&t, peer] { t.handler.on_disconnected(peer); }); };
    for (target const& t : shards_)
        tell(t);
    tell(control_);
}

message_distribution::last_heard&
message_distribution::heard_by_shards(peer_id const& peer)
{
    {
        std::shared_lock<std::shared_mutex> const lock(mutex_);
        auto const found = heard_.find(peer);
        if (found != heard_.end())
            return *found->second;
    }
    std::unique_lock<std::shared_mutex> const lock(mutex_);
    auto& slot = heard_[peer];
    if (!slot)
        slot = std::make_unique<last_heard>(shards_.size());
    return *slot;
}

void message_distribution::pass_on_sign_of_life(
    peer_id const& from, std::size_t shard)
{
    auto const now = clock_.now().time_since_epoch().count();
    constexpr auto interval =
        std::chrono::duration_cast<duration>(sign_of_life_interval).count();
    last_heard& heard = heard_by_shards(from);
    heard[shard] = now;
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        duration::rep const last = heard[i];
        if (now - last < interval)
            continue;
        heard[i] = now;
        target const& t = shards_[i];
        // Sequence 0 answers no ping.
        t.post([&t, from] { t.handler.on_message(from, pong{0}); });
    }
}

} // namespace dotterellock
