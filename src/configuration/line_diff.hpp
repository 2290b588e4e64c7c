// Line difference of two documents, for operators. Pure function.
#ifndef DOTTERELLOCK_CONFIGURATION_LINE_DIFF_HPP
#define DOTTERELLOCK_CONFIGURATION_LINE_DIFF_HPP

#include <string>

namespace dotterellock
{

/// Changed lines with "-" and "+" and the number of the line; empty when the
/// documents are equal.
std::string line_diff(std::string const& before, std::string const& after);

} // namespace dotterellock

#endif
