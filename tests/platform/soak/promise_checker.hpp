// Checks a history against the guarantees that the gateway gives to callers,
// endpoints and the operator.
#ifndef DOTTERELLOCK_TESTS_SOAK_PROMISE_CHECKER_HPP
#define DOTTERELLOCK_TESTS_SOAK_PROMISE_CHECKER_HPP

#include <string>
#include <vector>

#include "history.hpp"

namespace dotterellock::soak
{

struct violation
{
    std::string promise;
    std::string detail;
};

std::vector<violation> check_promises(history const& h);

} // namespace dotterellock::soak

#endif
