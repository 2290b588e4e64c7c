#include "asio_timer_service.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

struct asio_timer_service::state
    : std::enable_shared_from_this<asio_timer_service::state>
{
    using key = std::pair<steady_time, timer_id>;

    explicit state(shard_executor& e) : executor(e), timer(e.strand()) {}

    void arm()
    {
        if (due.empty() || due.begin()->first.first >= armed_for)
            return;
        armed_for = due.begin()->first.first;
        timer.expires_at(armed_for); // aborts the pending wait
        timer.async_wait(
            [self = shared_from_this()](asio::error_code aborted)
            {
                if (aborted)
                    return;
                auto const run = [&self] { self->run_due(); };
                self->executor.run_guarded(run);
            });
    }

    void run_due()
    {
        if (closed)
            return;
        armed_for = steady_time::max();
        steady_time const now = std::chrono::steady_clock::now();
        // Rearms even if a callback throws.
        std::shared_ptr<void> const rearm(nullptr, [this](void*) { arm(); });
        while (!due.empty() && due.begin()->first.first <= now)
        {
            auto const callback = std::move(due.begin()->second);
            times.erase(due.begin()->first.second);
            due.erase(due.begin());
            callback();
        }
    }

    shard_executor& executor;
    asio::steady_timer timer;
    std::map<key, std::function<void()>> due;
    std::unordered_map<timer_id, steady_time> times;
    steady_time armed_for = steady_time::max();
    timer_id last_id = 0;
    bool closed = false;
};

asio_timer_service::asio_timer_service(shard_executor& executor)
    : state_(std::make_shared<state>(executor))
{
}

asio_timer_service::~asio_timer_service()
{
    state_->closed = true;
    state_->due.clear();
    state_->timer.cancel();
}

timer_id
asio_timer_service::schedule(duration delay, std::function<void()> callback)
{
    // The upper bound of a year keeps the sum from overflowing.
    auto const longest = std::chrono::hours(24 * 365);
    steady_time const at = std::chrono::steady_clock::now() +
                           std::clamp<duration>(delay, {}, longest);
    timer_id const id = ++state_->last_id;
    state_->due.emplace(state::key{at, id}, std::move(callback));
    state_->times.emplace(id, at);
    state_->arm();
    return id;
}

void asio_timer_service::cancel(timer_id id)
{
    auto const found = state_->times.find(id);
    if (found == state_->times.end())
        return;
    state_->due.erase({found->second, id});
    state_->times.erase(found);
}

} // namespace dotterellock
