// Appends to strings whose capacity counts against the memory budget. Growth by
// a quarter instead of the library's factor of two, also of reserve(), bounds
// what a holder takes beyond its contents.
#ifndef DOTTERELLOCK_RELAY_STRING_GROWTH_HPP
#define DOTTERELLOCK_RELAY_STRING_GROWTH_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace dotterellock
{

inline constexpr std::size_t min_growth_bytes = 512;

/// Capacity of the text once `bytes` more are appended.
inline std::size_t capacity_after(std::string const& text, std::size_t bytes)
{
    auto const needed = text.size() + bytes;
    return needed <= text.capacity()
               ? text.capacity()
               : std::max(
                     needed,
                     text.size() + std::max(text.size() / 4, min_growth_bytes));
}

inline void set_capacity(std::string& text, std::size_t capacity)
{
    if (capacity <= text.capacity())
        return;
    std::string grown;
    grown.reserve(capacity);
    grown.append(text);
    text = std::move(grown);
}

/// Empties the text, and frees its memory if that is more than `bytes`.
/// Assigning an empty string keeps the memory.
inline void shrink(std::string& text, std::size_t bytes)
{
    if (text.capacity() > bytes)
        std::string().swap(text);
    text.clear();
}

inline void append_tight(std::string& text, std::string_view bytes)
{
    set_capacity(text, capacity_after(text, bytes.size()));
    text.append(bytes);
}

} // namespace dotterellock

#endif
