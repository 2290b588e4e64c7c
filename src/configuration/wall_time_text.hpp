// Wall-clock times as UTC text, such as "2026-12-04T06:55:00Z", for expiry
// dates and for display. Stateless.
#ifndef DOTTERELLOCK_CONFIGURATION_WALL_TIME_TEXT_HPP
#define DOTTERELLOCK_CONFIGURATION_WALL_TIME_TEXT_HPP

#include <string>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// Throws error(invalid_argument) for any other format and for dates that do
/// not exist.
wall_time parse_wall_time(std::string const& text);
std::string format_wall_time(wall_time time);

} // namespace dotterellock

#endif
