// Clock, timer service and event queue under the control of a test. Timers,
// message deliveries and the responses of fakes are all events of this queue.
// Events with the same time run in the order in which they were added.
#ifndef DOTTERELLOCK_TESTS_MANUAL_SCHEDULER_HPP
#define DOTTERELLOCK_TESTS_MANUAL_SCHEDULER_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock::testing
{

class manual_scheduler : public clock_source, public timer_service
{
public:
    steady_time now() const override { return now_; }
    wall_time wall_now() const override
    {
        return wall_time{} + std::chrono::duration_cast<wall_time::duration>(
                                 now_.time_since_epoch());
    }

    timer_id schedule(duration delay, std::function<void()> callback) override
    {
        timer_id const id = ++last_id_;
        events_.emplace(std::pair{now_ + delay, id}, std::move(callback));
        due_times_.emplace(id, now_ + delay);
        return id;
    }

    void cancel(timer_id id) override
    {
        auto const found = due_times_.find(id);
        if (found == due_times_.end())
            return;
        events_.erase({found->second, id});
        due_times_.erase(found);
    }

    /// Runs all events due within `span`, then sets the clock to its end.
    void advance(duration span)
    {
        steady_time const end = now_ + span;
        while (!events_.empty() && events_.begin()->first.first <= end)
            run_next();
        now_ = std::max(now_, end); // a callback may have called jump()
    }

    /// Moves the clock without running events, as seen by a process that was
    /// paused.
    void jump(duration span) { now_ += span; }

    /// Runs events until `done` returns true. Returns false when no event is
    /// left within `limit`.
    bool run_until(std::function<bool()> const& done, duration limit)
    {
        steady_time const end = now_ + limit;
        while (!done())
        {
            if (events_.empty() || events_.begin()->first.first > end)
                return false;
            run_next();
        }
        return true;
    }

    std::size_t pending() const { return events_.size(); }

private:
    void run_next()
    {
        auto const first = events_.begin();
        if (first->first.first > now_)
            now_ = first->first.first;
        auto callback = std::move(first->second);
        due_times_.erase(first->first.second);
        events_.erase(first);
        callback();
    }

    steady_time now_{std::chrono::hours(1)};
    timer_id last_id_ = 0;
    std::map<std::pair<steady_time, timer_id>, std::function<void()>> events_;
    std::unordered_map<timer_id, steady_time> due_times_; // for cancel()
};

class seeded_random : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : engine_(seed) {}
    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

class recording_decision_log : public decision_log
{
public:
    void record(decision const& d) override { decisions.push_back(d); }

    std::vector<decision> decisions;
};

class fixed_policy : public policy_source
{
public:
    policy_settings const& current() const override { return settings; }

    policy_settings settings;
};

} // namespace dotterellock::testing

#endif
