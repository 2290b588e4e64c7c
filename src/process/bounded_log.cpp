#include "bounded_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

#include "log_format.hpp"

namespace dotterellock
{

namespace
{

char const* to_string(event_level level)
{
    switch (level)
    {
    case event_level::info:
        return "INFO";
    case event_level::warn:
        return "WARN";
    case event_level::error:
        return "ERROR";
    }
    return "ERROR";
}

} // namespace

bounded_log::bounded_log(
    int descriptor, clock_source const& clock, std::size_t lines_per_second)
    : descriptor_(descriptor), clock_(clock),
      lines_per_second_(lines_per_second)
{
    int const flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void bounded_log::record(
    event_level level, char const* event,
    std::vector<event_field> const& fields)
{
    auto const now = clock_.now();
    if (now - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = now;
        lines_this_second_ = 0;
        if (unreported_drops_ > 0)
        {
            append(
                event_level::warn, "log_lines_left_out",
                {{"lines", std::to_string(unreported_drops_)}});
            unreported_drops_ = 0;
        }
    }
    if (++lines_this_second_ > lines_per_second_ ||
        buffer_.size() > max_buffered_bytes)
    {
        ++unreported_drops_;
        ++dropped_lines_;
        return;
    }
    append(level, event, fields);
    flush();
}

void bounded_log::append(
    event_level level, char const* event,
    std::vector<event_field> const& fields)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        clock_.wall_now().time_since_epoch())
                        .count();
    buffer_ += "time_ms=" + std::to_string(ms) + " level=";
    buffer_ += to_string(level);
    buffer_ += ' ';
    buffer_ += format_event(false, event, fields);
    buffer_ += '\n';
}

void bounded_log::flush()
{
    while (!buffer_.empty())
    {
        auto const n = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (n <= 0)
            return; // retried with the next line
        buffer_.erase(0, std::size_t(n));
    }
}

} // namespace dotterellock
