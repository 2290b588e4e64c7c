#include "rendezvous_journal_placement.hpp"

#include <algorithm>

#include "rendezvous.hpp"

namespace dotterellock
{

rendezvous_journal_placement::rendezvous_journal_placement(
    peer_id self, zone_id zone, std::vector<router_info> routers)
    : zone_(std::move(zone))
{
    auto const here = std::find_if(
        routers.begin(), routers.end(),
        [&](router_info const& r)
        { return r.router == self || r.zone == zone_; });
    if (here == routers.end())
        return;
    region_id const region = here->region;
    for (auto& r : routers)
    {
        if (r.region == region && r.router != self)
            region_peers_.push_back(std::move(r));
    }
}

std::vector<peer_id> rendezvous_journal_placement::holders(
    request_id const& request, std::size_t count) const
{
    struct ranked
    {
        bool same_zone;
        std::uint64_t weight;
        router_info const* router;
    };
    std::vector<ranked> ranking;
    ranking.reserve(region_peers_.size());
    for (auto const& r : region_peers_)
    {
        ranking.push_back(
            {r.zone == zone_,
             rendezvous_weight(request.value(), r.router.value()), &r});
    }
    auto const ranks_before = [](ranked const& a, ranked const& b)
    {
        if (a.same_zone != b.same_zone)
            return b.same_zone;
        if (a.weight != b.weight)
            return a.weight > b.weight;
        return a.router->router < b.router->router;
    };
    std::size_t const n = std::min(count, ranking.size());
    std::partial_sort(
        ranking.begin(), ranking.begin() + n, ranking.end(), ranks_before);
    std::vector<peer_id> chosen;
    for (std::size_t i = 0; i < n; ++i)
        chosen.push_back(ranking[i].router->router);
    return chosen;
}

} // namespace dotterellock
