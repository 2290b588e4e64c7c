#include "routing_table.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

routing_table::routing_table(gateway_configuration configuration)
    : configuration_(std::move(configuration))
{
    auto const& c = configuration_;
    for (std::size_t i = 0; i < c.routes.size(); ++i)
        routes_[c.routes[i].host][c.routes[i].prefix] = i;
    for (std::size_t i = 0; i < c.services.size(); ++i)
        services_by_name_[c.services[i].name.value()] = i;
    if (!c.organisations)
        return;
    for (auto const& organisation : *c.organisations)
    {
        for (auto const& key : organisation.api_keys)
            organisations_by_key_[key] = &organisation;
    }
}

gateway_route const*
routing_table::match(std::string_view host, std::string_view path) const
{
    auto const prefixes = routes_.find(std::string(host));
    if (prefixes == routes_.end())
        return nullptr;
    while (true)
    {
        auto const slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        std::string const prefix(path.substr(0, slash + 1));
        auto const found = prefixes->second.find(prefix);
        if (found != prefixes->second.end())
            return &configuration_.routes[found->second];
        path = path.substr(0, slash);
    }
}

organisation_spec const*
routing_table::organisation(std::string const& key) const
{
    auto const found = organisations_by_key_.find(key);
    return key.empty() || found == organisations_by_key_.end() ? nullptr
                                                               : found->second;
}

organisation_spec const*
routing_table::organisation_named(organisation_id const& name) const
{
    if (!configuration_.organisations)
        return nullptr;
    auto const& all = *configuration_.organisations;
    auto const found = std::find_if(
        all.begin(), all.end(),
        [&name](organisation_spec const& o) { return o.name == name; });
    return found == all.end() ? nullptr : &*found;
}

std::vector<gateway_route const*>
routing_table::routes_named(std::string_view name) const
{
    std::vector<gateway_route const*> found;
    for (auto const& route : configuration_.routes)
    {
        if (route.name == name)
            found.push_back(&route);
    }
    return found;
}

service_spec const* routing_table::service(service_name const& name) const
{
    auto const found = services_by_name_.find(name.value());
    return found == services_by_name_.end()
               ? nullptr
               : &configuration_.services[found->second];
}

bool routing_table::names(service_name const& service) const
{
    if (services_by_name_.count(service.value()) != 0)
        return true;
    auto const& routes = configuration_.routes;
    return std::any_of(
        routes.begin(), routes.end(),
        [&service](gateway_route const& route)
        {
            return std::any_of(
                route.targets.begin(), route.targets.end(),
                [&service](route_target const& target)
                { return target.service == service; });
        });
}

std::set<service_name> routing_table::resumable_services() const
{
    std::set<service_name> services;
    for (auto const& route : configuration_.routes)
    {
        if (!route.event_stream || !route.resumable)
            continue;
        for (auto const& target : route.targets)
            services.insert(target.service);
    }
    return services;
}

service_name const&
routing_table::select_target(gateway_route const& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (auto const& target : route.targets)
        total += target.weight;
    std::uint64_t position = total == 0 ? 0 : draw % total;
    for (auto const& target : route.targets)
    {
        if (position < target.weight)
            return target.service;
        position -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace dotterellock
