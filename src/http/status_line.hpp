// Finds what looks like the status line of an HTTP/1 response.
#ifndef DOTTERELLOCK_HTTP_STATUS_LINE_HPP
#define DOTTERELLOCK_HTTP_STATUS_LINE_HPP

#include <cstddef>
#include <string_view>

namespace dotterellock
{

inline constexpr std::string_view status_line_start = "HTTP/1.";

/// Whether a version and a status code are at this offset, "HTTP/1.1 200".
inline bool is_status_line(std::string_view text, std::size_t at)
{
    auto const digit = [](char c) { return c >= '0' && c <= '9'; };
    auto const rest = text.substr(at).substr(0, status_line_start.size() + 5);
    return rest.size() == status_line_start.size() + 5 &&
           rest.substr(0, status_line_start.size()) == status_line_start &&
           digit(rest[7]) && rest[8] == ' ' && digit(rest[9]) &&
           digit(rest[10]) && digit(rest[11]);
}

inline bool contains_status_line(std::string_view text)
{
    for (auto at = text.find(status_line_start); at != std::string_view::npos;
         at = text.find(status_line_start, at + 1))
    {
        if (is_status_line(text, at))
            return true;
    }
    return false;
}

} // namespace dotterellock

#endif
