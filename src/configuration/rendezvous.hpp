// Rendezvous hashing (Thaler and Ravishankar 1998): every process ranks the
// members of a set for a key the same way without coordination, and the loss
// of one member moves only what it held. Stateless.
#ifndef DOTTERELLOCK_CONFIGURATION_RENDEZVOUS_HPP
#define DOTTERELLOCK_CONFIGURATION_RENDEZVOUS_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <xxhash.h>

#include <dotterellock/types.hpp>

namespace dotterellock
{

inline std::uint64_t
rendezvous_weight(std::string const& key, std::string const& member)
{
    std::uint64_t const seed = XXH64(key.data(), key.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

/// The `count` members of highest weight for the key, best first.
inline std::vector<peer_id> rendezvous_order(
    std::string const& key, std::vector<peer_id> const& members,
    std::size_t count)
{
    std::vector<std::pair<std::uint64_t, peer_id>> ranked;
    ranked.reserve(members.size());
    for (auto const& member : members)
        ranked.emplace_back(rendezvous_weight(key, member.value()), member);
    std::sort(
        ranked.begin(), ranked.end(),
        [](auto const& a, auto const& b) {
            return a.first != b.first ? a.first > b.first : a.second < b.second;
        });
    std::vector<peer_id> order;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        order.push_back(std::move(ranked[i].second));
    return order;
}

} // namespace dotterellock

#endif
