// Timers of one object graph. All timers share one Asio timer, armed for the
// earliest deadline. schedule and cancel must be called under the executor's
// mutex and only modify a map. Callbacks run under the same mutex, so none runs
// once cancel has returned.
#ifndef DOTTERELLOCK_PROCESS_ASIO_TIMER_SERVICE_HPP
#define DOTTERELLOCK_PROCESS_ASIO_TIMER_SERVICE_HPP

#include <map>
#include <memory>
#include <unordered_map>

#include <asio/steady_timer.hpp>

#include <dotterellock/runtime.hpp>

#include "shard_executor.hpp"

namespace dotterellock
{

class asio_timer_service : public timer_service
{
public:
    explicit asio_timer_service(shard_executor& executor);
    ~asio_timer_service() override;

    timer_id schedule(duration delay, std::function<void()> callback) override;
    void cancel(timer_id id) override;

private:
    struct state;
    std::shared_ptr<state> state_; // pending handlers share ownership
};

} // namespace dotterellock

#endif
