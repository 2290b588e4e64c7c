#include "value_delta.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>

#include <xxhash.h>

namespace dotterellock
{

namespace
{

constexpr std::size_t min_block_bytes = 64;
constexpr std::size_t max_block_bytes = 2048;

// A block ends where these bits of the hash are zero: every 256 bytes.
constexpr std::uint64_t block_end_mask = 0xffull << 40;

constexpr std::size_t part_overhead = 16; // of a part in a message

using gear_table = std::array<std::uint64_t, 256>;

/// Pseudo-random numbers (SplitMix64).
constexpr gear_table make_gear_table()
{
    gear_table table{};
    std::uint64_t state = 0;
    for (auto& entry : table)
    {
        state += 0x9e3779b97f4a7c15ull;
        auto z = state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
        entry = z ^ (z >> 31);
    }
    return table;
}

constexpr gear_table gear = make_gear_table();

/// Length of the first block of a text that is not empty.
std::size_t first_block(std::string_view text)
{
    auto const limit = std::min(text.size(), max_block_bytes);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < limit; ++i)
    {
        hash = (hash << 1) + gear[static_cast<unsigned char>(text[i])];
        if (i + 1 >= min_block_bytes && (hash & block_end_mask) == 0)
            return i + 1;
    }
    return limit;
}

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/// Offsets of the blocks of `from`, by hash.
std::unordered_map<std::uint64_t, std::string_view>
blocks_of(std::string_view from)
{
    std::unordered_map<std::uint64_t, std::string_view> blocks;
    while (!from.empty())
    {
        auto const block = from.substr(0, first_block(from));
        blocks.emplace(hash_of(block), block);
        from.remove_prefix(block.size());
    }
    return blocks;
}

std::size_t common_prefix(std::string_view a, std::string_view b)
{
    auto const limit = std::min(a.size(), b.size());
    return std::size_t(
        std::mismatch(a.begin(), a.begin() + std::ptrdiff_t(limit), b.begin())
            .first -
        a.begin());
}

void append_copy(value_delta& delta, std::uint64_t begin, std::uint64_t length)
{
    auto& parts = delta.parts;
    bool const continues = !parts.empty() && parts.back().added.empty() &&
                           parts.back().begin + parts.back().length == begin;
    if (continues)
        parts.back().length += length;
    else
        parts.push_back({begin, length, {}});
}

void append_bytes(value_delta& delta, std::string_view bytes)
{
    if (delta.parts.empty())
        delta.parts.emplace_back();
    delta.parts.back().added += bytes;
}

} // namespace

std::size_t value_delta::size() const
{
    std::size_t bytes = 0;
    for (auto const& p : parts)
        bytes += part_overhead + p.added.size();
    return bytes;
}

std::optional<value_delta> make_value_delta(
    std::string_view from, std::string_view to, std::size_t max_bytes)
{
    value_delta delta;
    delta.checksum = hash_of(to);
    auto const known = blocks_of(from);
    auto rest = to;
    std::size_t added = 0;
    while (!rest.empty())
    {
        auto const block = rest.substr(0, first_block(rest));
        auto const found = known.find(hash_of(block));
        if (found != known.end() && found->second == block)
        {
            auto const begin = std::size_t(found->second.data() - from.data());
            // Blocks with the same content occur more than once.
            auto const length = common_prefix(from.substr(begin), rest);
            append_copy(delta, begin, length);
            rest.remove_prefix(length);
        }
        else
        {
            append_bytes(delta, block);
            rest.remove_prefix(block.size());
            added += block.size();
        }
        if (added + delta.parts.size() * part_overhead > max_bytes)
            return std::nullopt;
    }
    return delta;
}

std::optional<std::string> apply_value_delta(
    std::string_view from, value_delta const& delta, std::size_t max_bytes)
{
    std::size_t size = 0;
    for (auto const& p : delta.parts)
    {
        if (p.begin > from.size() || p.length > from.size() - p.begin)
            return std::nullopt;
        size += p.length + p.added.size();
        if (size > max_bytes)
            return std::nullopt;
    }
    std::string to;
    to.reserve(size);
    for (auto const& p : delta.parts)
    {
        to += from.substr(p.begin, p.length);
        to += p.added;
    }
    if (hash_of(to) != delta.checksum)
        return std::nullopt;
    return to;
}

} // namespace dotterellock
