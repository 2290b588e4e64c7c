// Includes rapidcheck and sets a fixed default seed, so that test runs are
// reproducible. Set RC_PARAMS to override it, for example
// RC_PARAMS="seed=7 max_success=10000".
#ifndef DOTTERELLOCK_TESTS_RAPIDCHECK_SEED_HPP
#define DOTTERELLOCK_TESTS_RAPIDCHECK_SEED_HPP

#include <cstdlib>

#include <rapidcheck.h>

namespace dotterellock::testing
{

// Set before main, because rapidcheck reads RC_PARAMS only at its first use.
inline bool const rapidcheck_seeded =
    ::setenv("RC_PARAMS", "seed=20260101", 0) == 0;

} // namespace dotterellock::testing

#endif
