// Cuts a text/event-stream into whole events, so that an answer that is lost
// midway ends between two events and can go on from another endpoint.
#ifndef DOTTERELLOCK_GATEWAY_EVENT_SPLITTER_HPP
#define DOTTERELLOCK_GATEWAY_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterellock
{

/// One event with its terminating blank line.
struct stream_event
{
    std::string_view bytes;
    std::optional<std::uint64_t> id;
};

class event_splitter
{
public:
    /// An event longer than this is not held for its end; see overflowed().
    static constexpr std::size_t max_event_bytes = 256u << 10;

    void append(std::string_view bytes);

    /// The next whole event, valid until the next call; empty when more bytes
    /// are needed.
    std::optional<stream_event> next();

    std::size_t partial_bytes() const { return buffer_.size() - start_; }
    bool overflowed() const { return partial_bytes() > max_event_bytes; }

private:
    std::string buffer_;
    std::size_t start_ = 0; // of the first event that is not taken yet
    std::size_t scan_ = 0;  // up to here there is no end of that event
};

} // namespace dotterellock

#endif
