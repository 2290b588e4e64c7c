// With which other gateways one exchanges loads. In a small fleet with all of
// them; in a large one with the nearest in the order of their hosts' names,
// which are mostly those of the same availability zone: they choose among the
// same endpoints first. The relation is symmetric, so that a gateway knows
// from whom it has to hear.
//
// Load: some hundred gateways, whose shares would otherwise grow with the
// square of their number.
#ifndef DOTTERELLOCK_GATEWAY_PEER_GROUP_HPP
#define DOTTERELLOCK_GATEWAY_PEER_GROUP_HPP

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>

namespace dotterellock
{

// Fleets of up to 33 gateways share everything, as measured up to 28; above,
// a gateway's control traffic stays that of such a fleet.
constexpr std::size_t max_peer_group_size = 32;

/// @param hosts  of all other gateways
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
