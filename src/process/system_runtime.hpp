// System clocks and the kernel's random numbers. Stateless and thread-safe.
#ifndef DOTTERELLOCK_PROCESS_SYSTEM_RUNTIME_HPP
#define DOTTERELLOCK_PROCESS_SYSTEM_RUNTIME_HPP

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class monotonic_clock : public clock_source
{
public:
    steady_time now() const override
    {
        return std::chrono::steady_clock::now();
    }
    wall_time wall_now() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// Includes the time for which the host was suspended, as leases require.
class boottime_clock : public clock_source
{
public:
    steady_time now() const override;
    wall_time wall_now() const override
    {
        return std::chrono::system_clock::now();
    }
};

class system_random : public random_source
{
public:
    std::uint64_t next() override;
};

} // namespace dotterellock

#endif
