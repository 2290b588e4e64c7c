// The timers of one simulated process, which can be paused like a process
// that receives SIGSTOP: what falls due meanwhile runs when it continues.
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
        auto const slot = std::make_shared<timer_id>(0);
        *slot = scheduler_.schedule(delay, [this, slot] { due(*slot); });
        callbacks_[*slot] = std::move(callback);
        return *slot;
    }

    void cancel(timer_id id) override
    {
        if (callbacks_.erase(id) != 0)
            scheduler_.cancel(id);
    }

    /// Runs in the process, in a later event.
    void post(std::function<void()> callback)
    {
        schedule(duration{}, std::move(callback));
    }

    /// The process is gone, with everything it had yet to do.
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
        for (timer_id const id : std::exchange(held_, {}))
            due(id);
    }

private:
    void due(timer_id id)
    {
        auto const found = callbacks_.find(id);
        if (found == callbacks_.end())
            return;
        if (paused_)
        {
            held_.push_back(id);
            return;
        }
        auto const callback = std::move(found->second);
        callbacks_.erase(found);
        callback();
    }

    manual_scheduler& scheduler_;
    std::map<timer_id, std::function<void()>> callbacks_;
    std::vector<timer_id> held_;
    bool paused_ = false;
};

} // namespace dotterellock::testing

#endif
