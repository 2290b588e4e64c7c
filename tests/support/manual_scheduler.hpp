// A clock and timer service that move only when a test says so, and the queue
// of everything that happens "later" in a test: timers, message deliveries,
// answers of fakes. Events of one instant run in the order they were added.
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
        due_.emplace(id, now_ + delay);
        return id;
    }

    void cancel(timer_id id) override
    {
        auto const found = due_.find(id);
        if (found == due_.end())
            return;
        events_.erase({found->second, id});
        due_.erase(found);
    }

    /// Runs every event due within `span`, then stands at its end.
    void advance(duration span)
    {
        steady_time const end = now_ + span;
        while (!events_.empty() && events_.begin()->first.first <= end)
            run_next();
        now_ = std::max(now_, end); // a callback may have jumped
    }

    /// Moves the clock without running anything, like a paused process.
    void jump(duration span) { now_ += span; }

    /// Runs events until `done` holds; false when `limit` passed first.
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
        due_.erase(first->first.second);
        events_.erase(first);
        callback();
    }

    steady_time now_{std::chrono::hours(1)};
    timer_id last_id_ = 0;
    std::map<std::pair<steady_time, timer_id>, std::function<void()>> events_;
    std::unordered_map<timer_id, steady_time> due_; // finds events to cancel
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
