// Splits a text/event-stream into complete events, so that an interrupted
// answer ends between two events and can be resumed from another endpoint.
#ifndef DOTTERELLOCK_GATEWAY_EVENT_SPLITTER_HPP
#define DOTTERELLOCK_GATEWAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterellock
{

/// One event including its terminating blank line.
struct stream_event
{
    std::string_view bytes;
    std::optional<std::uint64_t> id;
    bool has_content = false; // data; without it the caller gets no event
};

class event_splitter
{
public:
    /// Limit for buffering an incomplete event; see overflowed().
    static constexpr std::size_t max_event_bytes = 256u << 10;

    void append(std::string_view bytes);

    /// Returns the next complete event, valid until the next call, or nothing
    /// if more bytes are needed.
    std::optional<stream_event> next();

    std::size_t held_bytes() const { return buffer_.capacity(); }
    std::size_t partial_bytes() const { return buffer_.size() - start_; }

    /// Whether the bytes so far end inside an event. Blank lines after the last
    /// event belong to none.
    bool in_event() const
    {
        return buffer_.find_first_not_of("\r\n", start_) != std::string::npos;
    }
    bool overflowed() const { return partial_bytes() > max_event_bytes; }

private:
    std::string buffer_;
    std::size_t start_ = 0; // start of the first event not yet returned
    std::size_t scan_ = 0;  // no event end before this offset
    bool first_ = true;     // nothing was returned yet
};

} // namespace dotterellock

#endif
