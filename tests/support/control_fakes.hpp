// Fakes for the control-plane tests: a process that can be paused or killed and
// whose store calls can fail, and in-memory versions of the other platform
// services.
#ifndef DOTTERELLOCK_TESTS_CONTROL_FAKES_HPP
#define DOTTERELLOCK_TESTS_CONTROL_FAKES_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <dotterellock/external_services.hpp>

#include "fake_external_services.hpp"

namespace dotterellock::testing
{

using store_mode = fake_table_service::mode;

class fake_object_store : public object_store
{
public:
    explicit fake_object_store(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void
    put(std::string key, std::string body, duration timeout,
        std::function<void(object_result)> done) override
    {
        bool const applied = current == store_mode::normal ||
                             current == store_mode::loses_answers;
        if (applied)
            objects[key] = body;
        answer(timeout, done, {store_status::ok, "", true});
    }

    void fetch(
        std::string key, duration timeout,
        std::function<void(object_result)> done) override
    {
        auto const found = objects.find(key);
        bool const present = found != objects.end();
        answer(
            timeout, done,
            {store_status::ok, present ? found->second : "", present});
    }

    store_mode current = store_mode::normal;
    std::map<std::string, std::string> objects;

private:
    void answer(
        duration timeout, std::function<void(object_result)> const& done,
        object_result result)
    {
        bool const lost = current != store_mode::normal;
        if (lost)
            result = {store_status::unavailable, "", false};
        duration const after = lost ? timeout : std::chrono::milliseconds(3);
        scheduler_.schedule(after, [done, result] { done(result); });
    }

    manual_scheduler& scheduler_;
};

class fake_weight_store : public weight_store
{
public:
    explicit fake_weight_store(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void describe(
        model_ref const&, duration,
        std::function<void(weight_info)> done) override
    {
        scheduler_.schedule(
            std::chrono::milliseconds(1),
            [done, this] {
                done({true, size});
            });
    }

    byte_count size = 1000;

private:
    manual_scheduler& scheduler_;
};

class fake_fleet_view : public fleet_view
{
public:
    explicit fake_fleet_view(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void hosts(duration, std::function<void(fleet_result)> done) override
    {
        scheduler_.schedule(
            std::chrono::milliseconds(1), [done, this] { done(result); });
    }

    fleet_result result{store_status::ok, {}};

private:
    manual_scheduler& scheduler_;
};

/// A process whose timers fire and answers arrive only while it is not paused.
/// Its store calls are numbered from 0; a test can make individual calls fail.
class simulated_process : public timer_service,
                          public table_service,
                          public object_store
{
public:
    simulated_process(
        manual_scheduler& scheduler, fake_table_service& table,
        fake_object_store* objects = nullptr)
        : scheduler_(scheduler), table_(table), objects_(objects)
    {
    }

    void pause() { paused_ = true; }

    void resume()
    {
        paused_ = false;
        auto const waiting = std::exchange(deferred_, {});
        for (auto const& [id, callback] : waiting)
            callback();
    }

    /// Applies the fault to `count` calls, starting at call number `first`.
    void fail_calls(std::size_t first, std::size_t count, store_mode fault)
    {
        for (std::size_t i = 0; i < count; ++i)
            faults_[first + i] = fault;
    }

    /// Applies the fault to every call until it is reset to normal.
    void set_store_fault(store_mode fault) { store_fault_ = fault; }
    void set_before_call(std::function<void(std::size_t)> hook)
    {
        before_call_ = std::move(hook);
    }
    std::size_t calls() const { return calls_; }

    timer_id schedule(duration delay, std::function<void()> callback) override
    {
        auto const id = std::make_shared<timer_id>(0);
        *id = scheduler_.schedule(
            delay,
            [this, id, callback]
            {
                if (paused_)
                    deferred_.emplace_back(*id, callback);
                else
                    callback();
            });
        return *id;
    }

    void cancel(timer_id id) override
    {
        scheduler_.cancel(id);
        for (auto& [held, callback] : deferred_)
        {
            if (held == id && id != 0)
                callback = [] {};
        }
    }

    void commit(
        std::vector<row_write> writes, duration timeout,
        std::function<void(commit_result)> done) override
    {
        call_with_fault(
            [&] {
                table_.commit(
                    std::move(writes), timeout, defer_while_paused(done));
            });
    }

    void read(
        std::vector<std::string> keys, duration timeout,
        std::function<void(read_result)> done) override
    {
        call_with_fault(
            [&] {
                table_.read(std::move(keys), timeout, defer_while_paused(done));
            });
    }

    void scan(
        std::string prefix, duration timeout,
        std::function<void(read_result)> done) override
    {
        call_with_fault(
            [&] {
                table_.scan(
                    std::move(prefix), timeout, defer_while_paused(done));
            });
    }

    void
    put(std::string key, std::string body, duration timeout,
        std::function<void(object_result)> done) override
    {
        call_with_fault(
            [&]
            { objects_->put(key, body, timeout, defer_while_paused(done)); });
    }

    void fetch(
        std::string key, duration timeout,
        std::function<void(object_result)> done) override
    {
        call_with_fault(
            [&] { objects_->fetch(key, timeout, defer_while_paused(done)); });
    }

private:
    template<typename Result>
    std::function<void(Result)>
    defer_while_paused(std::function<void(Result)> done)
    {
        return [this, done](Result result)
        {
            if (paused_)
                deferred_.emplace_back(0, [done, result] { done(result); });
            else
                done(result);
        };
    }

    template<typename Call>
    void call_with_fault(Call call)
    {
        std::size_t const number = calls_++;
        if (before_call_)
            before_call_(number);
        auto const found = faults_.find(number);
        store_mode const fault =
            found == faults_.end() ? store_fault_ : found->second;
        auto const table_mode = table_.current;
        auto const object_mode =
            objects_ == nullptr ? store_mode::normal : objects_->current;
        if (fault != store_mode::normal)
        {
            table_.current = fault;
            if (objects_ != nullptr)
                objects_->current = fault;
        }
        call();
        table_.current = table_mode;
        if (objects_ != nullptr)
            objects_->current = object_mode;
    }

    manual_scheduler& scheduler_;
    fake_table_service& table_;
    fake_object_store* objects_;
    bool paused_ = false;
    store_mode store_fault_ = store_mode::normal;
    std::size_t calls_ = 0;
    std::map<std::size_t, store_mode> faults_;
    std::function<void(std::size_t)> before_call_;
    std::vector<std::pair<timer_id, std::function<void()>>> deferred_;
};

} // namespace dotterellock::testing

#endif
