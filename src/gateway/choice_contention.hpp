// Estimates how many choices other gateways make from the same knowledge at the
// same moment. Loads that gateways tell each other are up to a send interval
// old, so all that choose within it see the same endpoint as the least loaded.
//
// Designed for queues that wait at all gateways while an endpoint becomes free
// or comes back empty, and for begun answers that lose half of the endpoints at
// once: without it the next endpoint of all of them is the same one.
#ifndef DOTTERELLOCK_GATEWAY_CHOICE_CONTENTION_HPP
#define DOTTERELLOCK_GATEWAY_CHOICE_CONTENTION_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class choice_contention
{
public:
    // After this time the other gateways know of a choice: the tick, the
    // minimum interval between shares and the way between regions.
    static constexpr std::chrono::milliseconds unseen_time{100};

    /// A prompt was sent to an endpoint.
    void record_start(steady_time now) { starts_.push_back(now); }

    /// A begun answer lost its endpoint. Endpoints mostly fail together, and
    /// then other gateways move as many answers.
    void record_loss(steady_time now) { losses_.push_back(now); }

    /// Expected choices of others that this gateway does not know of yet.
    /// @param peers     other gateways
    /// @param waiting   whether requests wait here, as they then do elsewhere
    /// @param resuming  the choice is for a begun answer
    double unseen_choices(
        std::size_t peers, bool waiting, bool resuming, steady_time now)
    {
        remove_expired(starts_, now);
        remove_expired(losses_, now);
        double each = waiting ? 1.0 : std::min(double(starts_.size()), 1.0);
        if (resuming)
            each = std::max({each, double(losses_.size()), 1.0});
        return each * double(peers);
    }

private:
    static void remove_expired(std::deque<steady_time>& times, steady_time now)
    {
        while (!times.empty() && times.front() + unseen_time < now)
            times.pop_front();
    }

    std::deque<steady_time> starts_;
    std::deque<steady_time> losses_;
};

} // namespace dotterellock

#endif
