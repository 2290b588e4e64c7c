#include "router_control.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

endpoint_info
own_registration(router_settings const& settings, std::string const& address)
{
    endpoint_info info; // without an endpoint, as a router serves none
    info.agent = settings.self();
    info.host = settings.location.host;
    info.zone = settings.location.zone;
    info.region = settings.location.region;
    info.address = address;
    return info;
}

} // namespace

std::vector<configuration_peer> configuration_peers(
    std::vector<router_entry> const& routers,
    std::vector<endpoint_info> const& endpoints)
{
    std::vector<configuration_peer> peers;
    peers.reserve(routers.size() + endpoints.size());
    for (auto const& r : routers)
        peers.push_back({r.info.router, r.info.zone});
    for (auto const& e : endpoints)
        peers.push_back({e.agent, e.zone});
    return peers;
}

router_control::router_control(
    router_settings const& settings, std::string const& address,
    runtime_services r, table_service& store, fleet_view& fleet,
    control_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks))
{
    if (!settings.table_service_url.empty())
    {
        registration_.emplace(
            own_registration(settings, address), r.clock, r.timers, r.random,
            store, r.counters);
    }
    if (!settings.policy)
    {
        configuration_.emplace(
            settings.self(), settings.location, r.clock, r.timers, r.random,
            r.transport, store, parser_,
            configuration_peers(settings.routers, settings.endpoints),
            r.counters);
        configuration_->set_on_change(
            [this](
                configuration_version version,
                std::shared_ptr<policy_settings const> policy,
                std::function<void()> in_force)
            {
                log_event(
                    log_level::info, "configuration",
                    {{"version", std::to_string(version)}});
                hooks_.publish_policy(std::move(policy), std::move(in_force));
            });
    }
    if (settings.endpoints.empty())
    {
        membership_.emplace(
            r.clock, r.timers, r.random, store, fleet, r.counters);
        membership_->set_on_change(
            [this](std::vector<endpoint_info> const& endpoints)
            { set_endpoints(endpoints); });
    }
}

void router_control::start()
{
    if (registration_)
        registration_->start();
    if (configuration_)
        configuration_->start();
    if (membership_)
        membership_->start();
}

void router_control::stop(std::function<void()> done)
{
    if (registration_)
        registration_->stop(std::move(done));
    else
        done();
}

void router_control::set_endpoints(std::vector<endpoint_info> const& endpoints)
{
    log_event(
        log_level::info, "endpoints",
        {{"count", std::to_string(endpoints.size())}});
    if (configuration_)
    {
        configuration_->set_peers(
            configuration_peers(settings_.routers, endpoints));
    }
    hooks_.publish_endpoints(endpoints);
}

void router_control::on_message(peer_id const& from, message const& m)
{
    if (configuration_)
        configuration_->on_message(from, m);
}

void router_control::on_disconnected(peer_id const& peer)
{
    if (configuration_)
        configuration_->on_disconnected(peer);
}

} // namespace dotterellock
