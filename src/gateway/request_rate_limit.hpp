// Limits how many requests are answered in any period of a fixed length.
//
// Designed for diagnostic pages of a gateway, a few requests a second.
#ifndef DOTTERELLOCK_GATEWAY_REQUEST_RATE_LIMIT_HPP
#define DOTTERELLOCK_GATEWAY_REQUEST_RATE_LIMIT_HPP

#include <chrono>
#include <cstddef>
#include <deque>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class request_rate_limit
{
public:
    request_rate_limit(
        std::size_t max_requests, std::chrono::milliseconds period)
        : max_requests_(max_requests), period_(period)
    {
    }

    /// Counts one more request, unless it would be too many.
    bool try_take(steady_time now)
    {
        while (!taken_.empty() && now - taken_.front() >= period_)
            taken_.pop_front();
        if (taken_.size() >= max_requests_)
            return false;
        taken_.push_back(now);
        return true;
    }

private:
    std::size_t const max_requests_;
    std::chrono::milliseconds const period_;
    std::deque<steady_time> taken_;
};

} // namespace dotterellock

#endif
