// Judges what a schedule's callers and endpoints saw by the rules of
// docs/design.md (section 15) and docs/platform.md.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_CHECKS_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_CHECKS_HPP

#include <vector>

#include "observations.hpp"
#include "world.hpp"

namespace dotterellock::testing::explorer
{

std::vector<violation>
check(observations const& seen, platform_bounds const& bounds);

} // namespace dotterellock::testing::explorer

#endif
