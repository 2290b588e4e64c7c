// The text of structured log lines.
#ifndef DOTTERELLOCK_PROCESS_LOG_FORMAT_HPP
#define DOTTERELLOCK_PROCESS_LOG_FORMAT_HPP

#include <string>
#include <utility>
#include <vector>

namespace dotterellock
{

using log_field = std::pair<char const*, std::string>;

/// One line without time, level and line end: key=value pairs or JSON.
std::string format_event(
    bool json, char const* event, std::vector<log_field> const& fields);

} // namespace dotterellock

#endif
