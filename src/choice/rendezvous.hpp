// Rendezvous hashing: every node ranks the same names in the same order for a
// key, and the loss of one name moves only the keys it held. Pure functions.
#ifndef DOTTERELLOCK_CHOICE_RENDEZVOUS_HPP
#define DOTTERELLOCK_CHOICE_RENDEZVOUS_HPP

#include <cstdint>
#include <string>

#include <xxhash.h>

namespace dotterellock
{

/// Weight of a name for a key; the highest weight comes first.
inline std::uint64_t
rendezvous_weight(std::string const& key, std::string const& name)
{
    return XXH3_64bits_withSeed(
        name.data(), name.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace dotterellock

#endif
