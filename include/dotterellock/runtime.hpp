// Interfaces to time, timers and randomness. Core objects own none of these;
// src/process or a test passes them in. Called by the thread that holds
// the lock of the calling component.
#ifndef DOTTERELLOCK_RUNTIME_HPP
#define DOTTERELLOCK_RUNTIME_HPP

#include <chrono>
#include <cstdint>
#include <functional>

namespace dotterellock
{

using duration = std::chrono::steady_clock::duration;
using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

class clock_source
{
public:
    virtual ~clock_source() = default;
    virtual steady_time now() const = 0;    // monotonic, this host only
    virtual wall_time wall_now() const = 0; // for logs and expiry dates only
};

using timer_id = std::uint64_t; // 0 is never a valid timer

class timer_service
{
public:
    virtual ~timer_service() = default;

    /// Invokes `callback` once, never from within this call, while holding the
    /// lock of the component that scheduled it.
    virtual timer_id
    schedule(duration delay, std::function<void()> callback) = 0;

    /// The callback does not run after this returns. Unknown ids are ignored.
    virtual void cancel(timer_id id) = 0;
};

class random_source
{
public:
    virtual ~random_source() = default;
    virtual std::uint64_t next() = 0; // uniform over all 64-bit values

    /// Uniform in [0, 1).
    double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    /// Uniform in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
};

} // namespace dotterellock

#endif
