// Formatting of structured log lines.
#ifndef DOTTERELLOCK_PROCESS_LOG_FORMAT_HPP
#define DOTTERELLOCK_PROCESS_LOG_FORMAT_HPP

#include <string>
#include <vector>

#include "gateway/event_log.hpp"

namespace dotterellock
{

using log_field = event_field;

/// Formats one line as key=value pairs or JSON, without time, level and line
/// end.
std::string format_event(
    bool json, char const* event, std::vector<log_field> const& fields);

} // namespace dotterellock

#endif
