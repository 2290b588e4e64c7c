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

// Revisions are written to the store as JSON numbers, which hold 53 bits. Of a
// larger era only the last 13 bits count: two states that are compared are
// never thousands of restorations apart.
constexpr unsigned store_version_bits = 40;
constexpr std::uint64_t max_store_version = (1ull << store_version_bits) - 1;
constexpr std::uint64_t max_store_era = (1ull << (53 - store_version_bits)) - 1;

/// @param version  at most max_store_version
constexpr std::uint64_t
make_store_revision(std::uint64_t era, std::uint64_t version)
{
    return (era & max_store_era) << store_version_bits | version;
}

constexpr std::uint64_t store_era_of(std::uint64_t revision)
{
    return revision >> store_version_bits;
}

constexpr bool of_same_era(std::uint64_t revision, std::uint64_t era)
{
    return store_era_of(revision) == (era & max_store_era);
}

constexpr std::uint64_t store_version_of(std::uint64_t revision)
{
    return revision & max_store_version;
}

} // namespace dotterellock

#endif
