#include "prefix_hints.hpp"

namespace dotterellock
{

void prefix_hints::add(std::vector<std::uint64_t> const& blocks)
{
    // Last block first: the leading blocks, without which the others are of no
    // use, become the most recent ones.
    for (auto b = blocks.rbegin(); b != blocks.rend(); ++b)
    {
        auto const found = index_.find(*b);
        if (found != index_.end())
        {
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(*b);
        index_.emplace(*b, recent_.begin());
        if (index_.size() > max_blocks)
        {
            index_.erase(recent_.back());
            recent_.pop_back();
        }
    }
}

void prefix_hints::remove(std::vector<std::uint64_t> const& blocks)
{
    for (auto const b : blocks)
    {
        auto const found = index_.find(b);
        if (found == index_.end())
            continue;
        recent_.erase(found->second);
        index_.erase(found);
    }
}

void prefix_hints::clear()
{
    recent_.clear();
    index_.clear();
}

std::size_t
prefix_hints::matching(std::vector<std::uint64_t> const& blocks) const
{
    std::size_t n = 0;
    while (n < blocks.size() && index_.count(blocks[n]) != 0)
        ++n;
    return n;
}

} // namespace dotterellock
