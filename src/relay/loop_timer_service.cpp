#include "loop_timer_service.hpp"

#include <utility>

namespace dotterellock
{

timer_id
loop_timer_service::schedule(duration delay, std::function<void()> callback)
{
    auto const id = ++last_id_;
    auto& timer = timers_.try_emplace(id, io_, delay).first->second;
    timer.async_wait(
        [this, id, callback = std::move(callback)](asio::error_code const& e)
        {
            // A handler that is queued already is not aborted by cancel().
            if (!e && timers_.erase(id) != 0)
                callback();
        });
    return id;
}

} // namespace dotterellock
