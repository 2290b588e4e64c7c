#include "sse_parser.hpp"

#include <utility>

#include <dotterellock/error.hpp>

namespace dotterellock
{

std::vector<sse_event> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    partial_line_.append(bytes);
    std::size_t begin = 0;
    for (;;)
    {
        std::size_t const end = partial_line_.find('\n', begin);
        if (end == std::string::npos)
            break;
        std::string_view line(partial_line_.data() + begin, end - begin);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        parse_line(line, events);
        begin = end + 1;
    }
    partial_line_.erase(0, begin);
    if (incomplete_bytes() > max_event_bytes)
    {
        throw error(
            error_code::protocol_error, "parse_event_stream", "",
            "event exceeds " + std::to_string(max_event_bytes) + " bytes");
    }
    return events;
}

void sse_parser::parse_line(
    std::string_view line, std::vector<sse_event>& events)
{
    if (line.empty())
    {
        if (has_data_)
            events.push_back(std::exchange(current_, {}));
        current_ = {};
        has_data_ = false;
        return;
    }
    std::size_t const colon = line.find(':');
    if (colon == 0)
        return; // comment line, used as keep-alive
    std::string_view const field = line.substr(0, colon);
    std::string_view value =
        colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data")
    {
        if (has_data_)
            current_.data += '\n';
        current_.data += value;
        has_data_ = true;
    }
    else if (field == "id")
    {
        current_.id = value;
    }
}

} // namespace dotterellock
