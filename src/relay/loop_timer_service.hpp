// Timers of a process whose work runs on one io_context.
#ifndef DOTTERELLOCK_RELAY_LOOP_TIMER_SERVICE_HPP
#define DOTTERELLOCK_RELAY_LOOP_TIMER_SERVICE_HPP

#include <functional>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// Must outlive the handlers of its io_context.
class loop_timer_service : public timer_service
{
public:
    explicit loop_timer_service(asio::io_context& io) : io_(io) {}

    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override { timers_.erase(id); }

private:
    asio::io_context& io_;
    std::unordered_map<timer_id, asio::steady_timer> timers_;
    timer_id last_id_ = 0;
};

} // namespace dotterellock

#endif
