// rapidcheck with a fixed seed, so that every run gives the same verdict. Set
// RC_PARAMS to try another one, such as RC_PARAMS="seed=7 max_success=10000".
#ifndef DOTTERELLOCK_TESTS_PROPERTIES_HPP
#define DOTTERELLOCK_TESTS_PROPERTIES_HPP

#include <cstdlib>

#include <rapidcheck.h>

namespace dotterellock::testing
{

// Before main, because rapidcheck reads the variable once, at its first use.
inline bool const properties_seeded =
    ::setenv("RC_PARAMS", "seed=20260101", 0) == 0;

} // namespace dotterellock::testing

#endif
