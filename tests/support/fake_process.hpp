// Timer service of one simulated process. It can be paused, as by SIGSTOP:
// timers that expire during the pause run on resume().
#ifndef DOTTERELLOCK_TESTS_FAKE_PROCESS_HPP
#define DOTTERELLOCK_TESTS_FAKE_PROCESS_HPP

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "manual_scheduler.hpp"

namespace dotterellock::testing
{

class fake_process : public timer_service
{
public:
    explicit fake_process(manual_scheduler& scheduler) : scheduler_(scheduler)
    {
    }
    ~fake_process() override { clear(); }

    fake_process(fake_process const&) = delete;
    fake_process& operator=(fake_process const&) = delete;

    timer_id schedule(duration delay, std::function<void()> callback) override
    {
        auto const id = std::make_shared<timer_id>(0);
        *id = scheduler_.schedule(delay, [this, id] { run_or_defer(*id); });
        callbacks_[*id] = std::move(callback);
        return *id;
    }

    void cancel(timer_id id) override
    {
        if (callbacks_.erase(id) != 0)
            scheduler_.cancel(id);
    }

    /// Runs the callback in a later event of the scheduler.
    void post(std::function<void()> callback)
    {
        schedule(duration{}, std::move(callback));
    }

    /// Cancels all pending timers, as when the process exits.
    void clear()
    {
        for (auto const& [id, callback] : callbacks_)
            scheduler_.cancel(id);
        callbacks_.clear();
    }

    bool paused() const { return paused_; }
    void pause() { paused_ = true; }

    void resume()
    {
        paused_ = false;
        for (timer_id const id : std::exchange(deferred_timers_, {}))
            run_or_defer(id);
    }

private:
    void run_or_defer(timer_id id)
    {
        auto const found = callbacks_.find(id);
        if (found == callbacks_.end())
            return;
        if (paused_)
        {
            deferred_timers_.push_back(id);
            return;
        }
        auto const callback = std::move(found->second);
        callbacks_.erase(found);
        callback();
    }

    manual_scheduler& scheduler_;
    std::map<timer_id, std::function<void()>> callbacks_;
    std::vector<timer_id> deferred_timers_;
    bool paused_ = false;
};

} // namespace dotterellock::testing

#endif
