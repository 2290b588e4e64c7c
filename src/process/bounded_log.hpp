// Structured lines on standard output that never block their writer: lines
// over the rate, and lines that the reader of the pipe does not take, are
// counted and reported as one line a second. log4cplus is not used here, as
// its console appender blocks on a full pipe.
#ifndef DOTTERELLOCK_PROCESS_BOUNDED_LOG_HPP
#define DOTTERELLOCK_PROCESS_BOUNDED_LOG_HPP

#include <cstddef>
#include <string>

#include <dotterellock/runtime.hpp>

#include "gateway/event_log.hpp"

namespace dotterellock
{

class bounded_log : public event_log
{
public:
    // Kept for a reader that is slow for a moment.
    static constexpr std::size_t max_buffered_bytes = 64u << 10;

    /// @param descriptor  set to non-blocking; stays open
    bounded_log(
        int descriptor, clock_source const& clock,
        std::size_t lines_per_second);

    void record(
        event_level level, char const* event,
        std::vector<event_field> const& fields) override;

    std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    void append(
        event_level level, char const* event,
        std::vector<event_field> const& fields);
    void flush();

    int const descriptor_;
    clock_source const& clock_;
    std::size_t const lines_per_second_;
    steady_time second_start_{};
    std::size_t lines_this_second_ = 0; // in this second
    std::size_t unreported_drops_ = 0;  // not yet reported
    std::uint64_t dropped_lines_ = 0;
    std::string buffer_;
};

} // namespace dotterellock

#endif
