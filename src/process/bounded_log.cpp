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
    if (now - second_began_ >= std::chrono::seconds(1))
    {
        second_began_ = now;
        lines_ = 0;
        if (left_out_ > 0)
        {
            append(
                event_level::warn, "log_lines_left_out",
                {{"lines", std::to_string(left_out_)}});
            left_out_ = 0;
        }
    }
    if (++lines_ > lines_per_second_ || unwritten_.size() > max_unwritten)
    {
        ++left_out_;
        ++left_out_total_;
        return;
    }
    append(level, event, fields);
    write_out();
}

void bounded_log::append(
    event_level level, char const* event,
    std::vector<event_field> const& fields)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        clock_.wall_now().time_since_epoch())
                        .count();
    unwritten_ += "time_ms=" + std::to_string(ms) + " level=";
    unwritten_ += to_string(level);
    unwritten_ += ' ';
    unwritten_ += format_event(false, event, fields);
    unwritten_ += '\n';
}

void bounded_log::write_out()
{
    while (!unwritten_.empty())
    {
        auto const n =
            ::write(descriptor_, unwritten_.data(), unwritten_.size());
        if (n <= 0)
            return; // tried again with the next line
        unwritten_.erase(0, std::size_t(n));
    }
}

} // namespace dotterellock
