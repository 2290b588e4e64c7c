// Rendezvous (highest random weight) hashing. Every node ranks the same names
// in the same order for a key, and removing a name reassigns only its own keys.
#ifndef DOTTERELLOCK_CHOICE_RENDEZVOUS_HPP
#define DOTTERELLOCK_CHOICE_RENDEZVOUS_HPP

#include <cstdint>
#include <string>

#include <xxhash.h>

namespace dotterellock
{

/// Weight of a name for a key; names are ranked by descending weight.
inline std::uint64_t
rendezvous_weight(std::string const& key, std::string const& name)
{
    return XXH3_64bits_withSeed(
        name.data(), name.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace dotterellock

#endif
