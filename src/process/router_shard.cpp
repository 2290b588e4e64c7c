#include "router_shard.hpp"

#include <algorithm>

#include "pipeline/request_pipeline.hpp"

namespace dotterellock
{

namespace
{

/// Share of one shard in the cross-region bandwidth of its region.
double cross_region_share(
    node_location const& location, shard_position position,
    std::vector<router_info> const& routers)
{
    auto const in_region = std::count_if(
        routers.begin(), routers.end(),
        [&](router_info const& r) { return r.region == location.region; });
    auto const sharers = std::max<std::int64_t>(in_region, 1);
    return 1.0 / (static_cast<double>(sharers) * position.count);
}

/// Shards of all routers, among which fleet-wide budgets are divided.
double fleet_shard_count(
    shard_position position, std::vector<router_info> const& routers)
{
    return static_cast<double>(std::max<std::size_t>(routers.size(), 1)) *
           position.count;
}

/// Divides the fleet's budget of store requests among routers and shards.
store_settings store_settings_for(
    policy_settings const& policy, shard_position position,
    std::vector<router_info> const& routers)
{
    // Even in a large fleet, every shard must be able to write a claim.
    constexpr double min_per_second = 1;
    store_settings s;
    s.batch_delay = policy.call.claim_batch_delay;
    double const sharers = fleet_shard_count(position, routers);
    s.writes_per_second =
        std::max(s.writes_per_second / sharers, min_per_second);
    s.reads_per_second = std::max(s.reads_per_second / sharers, min_per_second);
    return s;
}

} // namespace

void endpoint_catalogue::set_endpoints(
    std::vector<endpoint_info> const& endpoints)
{
    versions_.clear();
    for (auto const& e : endpoints)
    {
        for (auto const& m : e.models)
            ++versions_[{m.name, m.adapter}][m.version];
    }
}

std::string endpoint_catalogue::default_version(
    std::string const& name, std::string const& adapter) const
{
    auto const found = versions_.find({name, adapter});
    if (found == versions_.end())
        return {};
    auto const best = std::max_element(
        found->second.begin(), found->second.end(),
        [](auto const& a, auto const& b)
        { return std::tie(a.second, a.first) < std::tie(b.second, b.first); });
    return best->first;
}

router_shard::router_shard(
    peer_id const& self, node_location const& location, shard_position position,
    std::vector<router_info> const& routers, runtime_services r,
    table_service& store_backend, policy_source const& policy)
    : position_(position), transport_(r.transport, position),
      directory_(r.clock, policy),
      cross_region_budget_(
          r.clock, policy, cross_region_share(location, position, routers)),
      retry_budget_(r.clock, policy, 1.0 / position.count),
      dispatcher_(
          self, location, directory_, r.clock, r.timers, r.random, transport_,
          policy, cross_region_budget_, retry_budget_, r.log, r.counters),
      journal_placement_(self, location.zone, routers),
      relay_(
          self, r.clock, r.timers, r.random, transport_, dispatcher_,
          directory_, journal_placement_, policy, r.log, r.counters),
      journal_holder_(r.clock, r.timers, transport_, policy, r.counters),
      store_(
          store_backend, r.clock, r.timers, r.random,
          store_settings_for(policy.current(), position, routers), r.counters),
      coordinator_(
          self, r.clock, r.timers, r.random, transport_, dispatcher_,
          directory_, store_, policy, r.log, r.counters),
      admission_(
          r.clock, policy, directory_, r.counters,
          1.0 / fleet_shard_count(position, routers)),
      classify_(policy, catalogue_), admit_(admission_), runtime_(r)
{
    directory_.set_local_router(self, location);
}

void router_shard::set_endpoints(std::vector<endpoint_info> const& endpoints)
{
    catalogue_.set_endpoints(endpoints);
    directory_.set_endpoints(endpoints);
}

void router_shard::start_subscriptions(
    std::function<void(peer_id const&)> silent)
{
    subscriptions_.emplace(
        runtime_.clock, runtime_.timers, transport_,
        [this] { return directory_.subset_agents(); }, std::move(silent));
    subscriptions_->start();
}

void router_shard::on_message(peer_id const& from, message const& m)
{
    if (subscriptions_)
        subscriptions_->note_activity(from);
    if (auto const* const p = std::get_if<pong>(&m))
    {
        relay_.on_message(from, pong{p->sequence / position_.count});
        return;
    }
    if (std::holds_alternative<journal_append>(m) ||
        std::holds_alternative<journal_read>(m))
    {
        journal_holder_.on_message(from, m);
        return;
    }
    if (!std::holds_alternative<token_batch>(m))
    {
        dispatcher_.on_message(from, m);
        coordinator_.on_message(from, m);
    }
    relay_.on_message(from, m); // every message proves liveness
}

void router_shard::on_disconnected(peer_id const& peer)
{
    dispatcher_.on_disconnected(peer);
    coordinator_.on_disconnected(peer);
    relay_.on_disconnected(peer);
    journal_holder_.on_disconnected(peer);
}

std::size_t router_shard::open_work() const
{
    return relay_.open_generations() + coordinator_.open_calls();
}

std::optional<std::uint32_t>
destination_shard(message const& m, std::uint32_t shards)
{
    if (request_id const* const request = request_of(m))
        return static_cast<std::uint32_t>(shard_of(*request, shards));
    if (auto const* const p = std::get_if<pong>(&m))
        return static_cast<std::uint32_t>(p->sequence % shards);
    return std::nullopt;
}

} // namespace dotterellock
