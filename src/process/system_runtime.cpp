#include "system_runtime.hpp"

#include <cerrno>
#include <ctime>
#include <system_error>

#include <sys/random.h>

namespace dotterellock
{

steady_time boottime_clock::now() const
{
    timespec t{};
    if (::clock_gettime(CLOCK_BOOTTIME, &t) != 0)
        throw std::system_error(
            errno, std::generic_category(), "clock_gettime");
    return steady_time(
        std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

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
