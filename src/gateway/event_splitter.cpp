#include "event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dotterellock
{

namespace
{

std::string_view line_at(std::string_view text)
{
    auto line = text.substr(0, text.find('\n'));
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty())
    {
        auto line = line_at(event);
        if (line.substr(0, field.size()) == field)
        {
            line.remove_prefix(field.size());
            line.remove_prefix(
                std::min(line.find_first_not_of(' '), line.size()));
            std::uint64_t id = 0;
            auto const end = line.data() + line.size();
            auto const r = std::from_chars(line.data(), end, id);
            if (r.ec == std::errc{} && r.ptr == end)
                return id;
            return std::nullopt;
        }
        auto const newline = event.find('\n');
        if (newline == std::string_view::npos)
            break;
        event.remove_prefix(newline + 1);
    }
    return std::nullopt;
}

/// A stream may begin with a byte order mark, which belongs to no field.
std::string_view without_mark(std::string_view stream)
{
    constexpr std::string_view mark = "\xEF\xBB\xBF";
    return stream.substr(
        stream.substr(0, mark.size()) == mark ? mark.size() : 0);
}

bool has_data(std::string_view event)
{
    constexpr std::string_view field = "data";
    while (!event.empty())
    {
        auto const line = line_at(event);
        auto const name = line.substr(0, line.find(':'));
        if (name == field)
            return true;
        auto const newline = event.find('\n');
        if (newline == std::string_view::npos)
            break;
        event.remove_prefix(newline + 1);
    }
    return false;
}

/// Length of the blank line at offset `at`, or 0 if there is none.
std::size_t blank_line(std::string_view text, std::size_t at)
{
    if (at < text.size() && text[at] == '\n')
        return 1;
    if (at + 1 < text.size() && text[at] == '\r' && text[at + 1] == '\n')
        return 2;
    return 0;
}

} // namespace

void event_splitter::append(std::string_view bytes)
{
    if (start_ > 0)
    {
        buffer_.erase(0, start_);
        scan_ -= start_;
        start_ = 0;
    }
    buffer_.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    std::string_view const text = buffer_;
    std::size_t newline = text.find('\n', scan_);
    while (newline != std::string_view::npos)
    {
        std::size_t const blank = blank_line(text, newline + 1);
        if (blank > 0)
        {
            std::size_t const end = newline + 1 + blank;
            auto const bytes = text.substr(start_, end - start_);
            start_ = scan_ = end;
            auto const fields =
                std::exchange(first_, false) ? without_mark(bytes) : bytes;
            return stream_event{bytes, id_of(fields), has_data(fields)};
        }
        if (newline + 2 >= text.size())
            break; // the next line is incomplete
        newline = text.find('\n', newline + 1);
    }
    scan_ = newline == std::string_view::npos ? text.size() : newline;
    return std::nullopt;
}

} // namespace dotterellock
