// Line difference of two documents, for operators. Pure function.
#ifndef DOTTERELLOCK_CONFIGURATION_DOCUMENT_DIFFERENCE_HPP
#define DOTTERELLOCK_CONFIGURATION_DOCUMENT_DIFFERENCE_HPP

#include <string>

namespace dotterellock
{

/// Changed lines with "-" and "+" and the number of the line; empty when the
/// documents are equal.
std::string
document_difference(std::string const& before, std::string const& after);

} // namespace dotterellock

#endif
