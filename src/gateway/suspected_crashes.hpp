// Attempts that ended as if their reused connection had been closed while idle,
// until it is known whether their endpoint was lost. Owned by
// prompt_crash_monitor; runs on the gateway's I/O thread.
//
// Designed for short prompts on idle connections, which crash an endpoint as
// fast as an endpoint closes a connection that it no longer wants.
#ifndef DOTTERELLOCK_GATEWAY_SUSPECTED_CRASHES_HPP
#define DOTTERELLOCK_GATEWAY_SUSPECTED_CRASHES_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "endpoint_state.hpp"
#include "prompt_quarantine.hpp"

namespace dotterellock
{

struct suspected_crash
{
    request_id request;
    std::shared_ptr<endpoint_state> endpoint;
    prompt_part_keys parts;
    steady_time at{}; // when the connection ended
};

class suspected_crashes
{
public:
    using crash_list = std::vector<suspected_crash>;

    // A crashed endpoint is back and registered after some seconds.
    static constexpr std::chrono::seconds max_age{10};
    static constexpr std::size_t max_suspicions = 256;

    /// Ignored if there are too many already.
    void add(suspected_crash suspicion)
    {
        if (open_.size() < max_suspicions)
            open_.push_back({std::move(suspicion), false});
    }

    /// The endpoint accepts no connection any more.
    /// @return its suspicions, which are crashes
    crash_list confirm(endpoint_state const& endpoint)
    {
        return take(
            [&](entry const& e)
            {
                return e.suspicion.endpoint.get() == &endpoint &&
                       !e.seen_alive && !endpoint.leaving();
            });
    }

    /// The endpoint accepted a connection. It may be another incarnation whose
    /// registration is not known yet.
    /// @param began  start of the attempt to connect
    void record_alive(endpoint_state const& endpoint, steady_time began)
    {
        for (auto& [suspicion, seen_alive] : open_)
            if (suspicion.endpoint.get() == &endpoint && began >= suspicion.at)
                seen_alive = true;
    }

    /// @param replaced  whether another incarnation is registered
    /// @return the suspicions at endpoints that were, which are crashes
    crash_list confirm_replaced(
        std::function<bool(endpoint_state const& endpoint)> const& replaced)
    {
        return take([&](entry const& e)
                    { return replaced(*e.suspicion.endpoint); });
    }

    /// Endpoints that must be checked to decide a suspicion.
    std::vector<std::shared_ptr<endpoint_state>> undecided() const
    {
        std::vector<std::shared_ptr<endpoint_state>> result;
        for (auto const& [suspicion, seen_alive] : open_)
            if (!seen_alive)
                result.push_back(suspicion.endpoint);
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
        return result;
    }

    void remove_expired(steady_time now)
    {
        open_.erase(
            std::remove_if(
                open_.begin(), open_.end(),
                [&](entry const& e)
                { return e.suspicion.at + max_age <= now; }),
            open_.end());
    }

private:
    struct entry
    {
        suspected_crash suspicion;
        bool seen_alive = false;
    };

    template<class Predicate>
    crash_list take(Predicate const& matches)
    {
        crash_list taken;
        for (auto i = open_.begin(); i != open_.end();)
        {
            if (!matches(*i))
            {
                ++i;
                continue;
            }
            taken.push_back(std::move(i->suspicion));
            i = open_.erase(i);
        }
        return taken;
    }

    std::vector<entry> open_;
};

} // namespace dotterellock

#endif
