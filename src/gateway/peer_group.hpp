// Selects the gateways with which load is exchanged. A small fleet exchanges
// with all peers. In a large one each gateway exchanges with its neighbours in
// the order of host names, which are mostly in the same availability zone and
// prefer the same endpoints. The relation is symmetric, so that a gateway knows
// from which peers to expect updates.
//
// Designed for some hundred gateways, where a full mesh would grow with the
// square of their number.
#ifndef DOTTERELLOCK_GATEWAY_PEER_GROUP_HPP
#define DOTTERELLOCK_GATEWAY_PEER_GROUP_HPP

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>

namespace dotterellock
{

// Up to 33 gateways exchange loads in a full mesh. In larger fleets the control
// traffic of each gateway stays at that level.
constexpr std::size_t max_peer_group_size = 32;

/// @param hosts  host names of all other gateways
inline std::set<std::string> select_peer_group(
    std::set<std::string> const& hosts, std::string const& self,
    std::size_t max_size = max_peer_group_size)
{
    if (hosts.size() <= max_size)
        return hosts;
    std::set<std::string> group;
    auto after = hosts.upper_bound(self);
    auto before = after;
    for (std::size_t i = 0; i < max_size / 2; ++i)
    {
        if (after == hosts.end())
            after = hosts.begin();
        group.insert(*after++);
        if (before == hosts.begin())
            before = hosts.end();
        group.insert(*--before);
    }
    return group;
}

} // namespace dotterellock

#endif
