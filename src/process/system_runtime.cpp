#include "system_runtime.hpp"

#include <cerrno>
#include <system_error>

#include <sys/random.h>

namespace dotterellock
{

std::uint64_t system_random::next()
{
    std::uint64_t value = 0;
    for (;;)
    {
        ssize_t const n = ::getrandom(&value, sizeof value, 0);
        if (n == static_cast<ssize_t>(sizeof value))
            return value;
        if (n < 0 && errno != EINTR)
            throw std::system_error(
                errno, std::generic_category(), "getrandom");
    }
}

} // namespace dotterellock
