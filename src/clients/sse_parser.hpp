// Incremental parser of a server-sent event stream. Bytes may arrive in pieces
// of any size. Each stream needs its own parser.
#ifndef DOTTERELLOCK_CLIENTS_SSE_PARSER_HPP
#define DOTTERELLOCK_CLIENTS_SSE_PARSER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellock
{

struct sse_event
{
    std::string id;
    std::string data;
};

class sse_parser
{
public:
    /// Longer events are rejected as a server error.
    static constexpr std::size_t max_event_bytes = 1 << 20;

    /// Appends bytes and returns the events that they complete.
    /// Throws error(protocol_error) when an event is too long.
    std::vector<sse_event> feed(std::string_view bytes);

    /// Bytes of the event that has not ended.
    std::size_t incomplete_bytes() const
    {
        return partial_line_.size() + current_.data.size() + current_.id.size();
    }

private:
    void parse_line(std::string_view line, std::vector<sse_event>& events);

    std::string partial_line_; // the incomplete last line
    sse_event current_;
    bool has_data_ = false;
};

} // namespace dotterellock

#endif
