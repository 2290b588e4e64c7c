// Revisions of the platform's store as one ordered number. A store that is
// restored from a backup continues from an older version and gives out versions
// again that it had given out before. Its era, which rises with each
// restoration, ranks above the version, so that a later state never has a lower
// revision and two states never share one.
#ifndef DOTTERELLOCK_GATEWAY_STORE_REVISION_HPP
#define DOTTERELLOCK_GATEWAY_STORE_REVISION_HPP

#include <cstdint>

namespace dotterellock
{

// Revisions are written to the store as JSON numbers, which hold 53 bits.
constexpr unsigned store_version_bits = 40;
constexpr std::uint64_t max_store_version = (1ull << store_version_bits) - 1;
constexpr std::uint64_t max_store_era = (1ull << (53 - store_version_bits)) - 1;

/// @param era      at most max_store_era
/// @param version  at most max_store_version
constexpr std::uint64_t
make_store_revision(std::uint64_t era, std::uint64_t version)
{
    return era << store_version_bits | version;
}

constexpr std::uint64_t store_era_of(std::uint64_t revision)
{
    return revision >> store_version_bits;
}

constexpr std::uint64_t store_version_of(std::uint64_t revision)
{
    return revision & max_store_version;
}

} // namespace dotterellock

#endif
