// Estimated content of an endpoint's prefix cache: block hashes from the hints
// of its agent and from the router's own dispatches, with least recently used
// eviction. Late and incomplete, so it only influences the order of endpoints.
// Owned by the endpoint directory.
#ifndef DOTTERELLOCK_CHOICE_PREFIX_HINTS_HPP
#define DOTTERELLOCK_CHOICE_PREFIX_HINTS_HPP

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace dotterellock
{

class prefix_hints
{
public:
    // 4096 blocks for each of a router's 40 endpoints take about 10 MB.
    static constexpr std::size_t max_blocks = 4096;

    void add(std::vector<std::uint64_t> const& blocks);
    void remove(std::vector<std::uint64_t> const& blocks);
    void clear();

    /// Number of leading blocks that are probably cached.
    std::size_t
    cached_prefix_length(std::vector<std::uint64_t> const& blocks) const;

    std::size_t size() const { return by_hash_.size(); }

private:
    using block_list = std::list<std::uint64_t>; // most recently used first

    block_list by_recent_use_;
    std::unordered_map<std::uint64_t, block_list::iterator> by_hash_;
};

} // namespace dotterellock

#endif
