// Structured log lines on a non-blocking descriptor. Lines above the rate
// limit, and lines that do not fit into the buffer of a slow reader, are
// dropped; their number is logged at most once a second. log4cplus is not used
// here, as its console appender blocks on a full pipe.
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
    // Buffered while the reader of the pipe is briefly too slow.
    static constexpr std::size_t max_buffered_bytes = 64u << 10;

    /// @param descriptor  set to non-blocking; not closed
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
    std::size_t lines_this_second_ = 0;
    std::size_t unreported_drops_ = 0; // not yet reported
    std::uint64_t dropped_lines_ = 0;
    std::string buffer_;
};

} // namespace dotterellock

#endif
