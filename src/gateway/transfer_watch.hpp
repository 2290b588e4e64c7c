// Decides when a call has taken too long. The answer must begin within the
// call's time; then it may take as long as it needs while its bytes keep
// coming. A limit for the whole answer would fail every call whose answer the
// link cannot carry in that time, however often it is repeated.
#ifndef DOTTERELLOCK_GATEWAY_TRANSFER_WATCH_HPP
#define DOTTERELLOCK_GATEWAY_TRANSFER_WATCH_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class transfer_watch
{
public:
    // Each period must bring so many bytes, far fewer than a link that serves
    // callers carries.
    static constexpr std::chrono::milliseconds progress_period{1000};
    static constexpr std::size_t min_bytes_a_period = 32u << 10;

    /// @param timeout  until the answer begins
    void start(steady_time now, std::chrono::milliseconds timeout)
    {
        deadline_ = now + timeout;
        began_ = false;
    }

    /// Called for the head of the answer too, which has no bytes.
    void on_bytes(steady_time now, std::size_t bytes)
    {
        bytes_in_period_ = (began_ ? bytes_in_period_ : 0) + bytes;
        if (began_ && bytes_in_period_ < min_bytes_a_period)
            return;
        began_ = true;
        bytes_in_period_ = 0;
        deadline_ = std::max(deadline_, now + progress_period);
    }

    bool expired(steady_time now) const { return now >= deadline_; }
    steady_time deadline() const { return deadline_; }

private:
    steady_time deadline_{};
    bool began_ = false;
    std::size_t bytes_in_period_ = 0;
};

} // namespace dotterellock

#endif
