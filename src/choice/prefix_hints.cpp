#include "prefix_hints.hpp"

namespace dotterellock
{

void prefix_hints::add(std::vector<std::uint64_t> const& blocks)
{
    // In reverse order, so that the leading blocks become the most recent ones
    // and are evicted last: without them the other blocks are useless.
    for (auto b = blocks.rbegin(); b != blocks.rend(); ++b)
    {
        auto const found = by_hash_.find(*b);
        if (found != by_hash_.end())
        {
            by_recent_use_.splice(
                by_recent_use_.begin(), by_recent_use_, found->second);
            continue;
        }
        by_recent_use_.push_front(*b);
        by_hash_.emplace(*b, by_recent_use_.begin());
        if (by_hash_.size() > max_blocks)
        {
            by_hash_.erase(by_recent_use_.back());
            by_recent_use_.pop_back();
        }
    }
}

void prefix_hints::remove(std::vector<std::uint64_t> const& blocks)
{
    for (auto const b : blocks)
    {
        auto const found = by_hash_.find(b);
        if (found == by_hash_.end())
            continue;
        by_recent_use_.erase(found->second);
        by_hash_.erase(found);
    }
}

void prefix_hints::clear()
{
    by_recent_use_.clear();
    by_hash_.clear();
}

std::size_t prefix_hints::cached_prefix_length(
    std::vector<std::uint64_t> const& blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && by_hash_.count(blocks[n]) != 0)
        ++n;
    return n;
}

} // namespace dotterellock
