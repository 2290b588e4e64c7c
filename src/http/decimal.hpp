// Parses the decimal numbers of headers and request targets.
#ifndef DOTTERELLOCK_HTTP_DECIMAL_HPP
#define DOTTERELLOCK_HTTP_DECIMAL_HPP

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dotterellock
{

/// Returns nothing unless the whole text is a number of 64 bits without a sign.
inline std::optional<std::uint64_t> parse_decimal(std::string_view text)
{
    std::uint64_t value = 0;
    auto const end = text.data() + text.size();
    auto const r = std::from_chars(text.data(), end, value);
    if (r.ec != std::errc{} || r.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace dotterellock

#endif
