// Line diff of two documents for operators. Pure function.
#ifndef DOTTERELLOCK_CONFIGURATION_LINE_DIFF_HPP
#define DOTTERELLOCK_CONFIGURATION_LINE_DIFF_HPP

#include <string>

namespace dotterellock
{

/// Removed and added lines, prefixed with "-" or "+" and the line number; empty
/// if the documents are equal.
std::string line_diff(std::string const& before, std::string const& after);

} // namespace dotterellock

#endif
