// Ranks processes by rendezvous hashing (Thaler and Ravishankar 1998), so that
// all processes choose the same pollers for a zone without coordination.
#ifndef DOTTERELLOCK_CONFIGURATION_RENDEZVOUS_ORDER_HPP
#define DOTTERELLOCK_CONFIGURATION_RENDEZVOUS_ORDER_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <dotterellock/types.hpp>

#include "choice/rendezvous.hpp"

namespace dotterellock
{

/// The `count` members with the highest weight for the key, highest first.
inline std::vector<peer_id> rendezvous_order(
    std::string const& key, std::vector<peer_id> const& members,
    std::size_t count)
{
    std::vector<std::pair<std::uint64_t, peer_id>> ranked;
    ranked.reserve(members.size());
    for (auto const& member : members)
        ranked.emplace_back(rendezvous_weight(key, member.value()), member);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<peer_id> order;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        order.push_back(std::move(ranked[i].second));
    return order;
}

} // namespace dotterellock

#endif
