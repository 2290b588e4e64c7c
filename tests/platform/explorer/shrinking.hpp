// Reduces a schedule that breaks a rule to one that still does.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_SHRINKING_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_SHRINKING_HPP

#include <cstddef>
#include <functional>

#include "schedule.hpp"

namespace dotterellock::testing::explorer
{

/// @param fails  whether a schedule still breaks the rule
/// @param max_runs  of `fails`
schedule shrink(
    schedule s, std::function<bool(schedule const&)> const& fails,
    std::size_t max_runs = 2000);

} // namespace dotterellock::testing::explorer

#endif
