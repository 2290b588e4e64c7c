// In-memory engine, plain service and table service with fault injection.
#ifndef DOTTERELLOCK_TESTS_FAKE_EXTERNAL_SERVICES_HPP
#define DOTTERELLOCK_TESTS_FAKE_EXTERNAL_SERVICES_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <dotterellock/external_services.hpp>

#include "manual_scheduler.hpp"

namespace dotterellock::testing
{

/// Token `i` of the answer that fake_engine gives. It depends on the model
/// version, the prompt and the index, so that tests detect missing, repeated
/// and mixed-up tokens.
inline std::string
expected_token(model_ref const& model, std::string const& prompt, unsigned i)
{
    return prompt + "/" + model.version + "#" + std::to_string(i) + " ";
}

/// Produces one token every `token_time`, up to `answer_length` tokens.
class fake_engine : public engine
{
public:
    fake_engine(manual_scheduler& scheduler, unsigned answer_length)
        : scheduler_(scheduler), answer_length_(answer_length)
    {
    }

    engine_run_id
    start(dispatch_generation const& dispatch, engine_events events) override
    {
        engine_run_id const id = ++last_run_;
        ++starts;
        resumed_tokens += dispatch.resume_tokens.size();
        runs_[id] = run{dispatch, std::move(events), dispatch.first_index()};
        schedule_step(id, prefill_time);
        return id;
    }

    void cancel(engine_run_id run) override { runs_.erase(run); }

    void order(
        engine_order const& order,
        std::function<void(std::optional<error>)> done) override
    {
        orders.push_back(order);
        scheduler_.schedule(duration{}, [done] { done(std::nullopt); });
    }

    /// Fails every run, as when the engine process exits while its agent runs.
    void fail_all()
    {
        auto const runs = std::exchange(runs_, {});
        for (auto const& [id, r] : runs)
        {
            r.events.on_failed(error(
                error_code::engine_failed, "engine_stream", "engine",
                "connection reset"));
        }
    }

    /// While paused, runs stay open and produce no tokens.
    void set_paused(bool paused) { paused_ = paused; }

    std::size_t running() const { return runs_.size(); }

    // Settings
    duration token_time{std::chrono::milliseconds(30)};
    duration prefill_time{std::chrono::milliseconds(50)};

    // Recorded calls
    unsigned starts = 0;
    std::size_t resumed_tokens = 0;
    std::vector<engine_order> orders;

private:
    struct run
    {
        dispatch_generation dispatch;
        engine_events events;
        token_index next = 0;
    };

    void schedule_step(engine_run_id id, duration delay)
    {
        scheduler_.schedule(delay, [this, id] { step(id); });
    }

    void step(engine_run_id id)
    {
        auto const found = runs_.find(id);
        if (found == runs_.end())
            return;
        if (paused_)
        {
            schedule_step(id, token_time);
            return;
        }
        run& r = found->second;
        if (r.next >= answer_length_)
        {
            auto const finished = r.events.on_finished;
            runs_.erase(found);
            finished(finish_reason::stop);
            return;
        }
        auto const& d = r.dispatch;
        auto const tokens =
            std::vector<std::string>{expected_token(d.model, d.prompt, r.next)};
        ++r.next;
        schedule_step(id, token_time);
        auto const on_tokens = r.events.on_tokens;
        on_tokens(tokens);
    }

    manual_scheduler& scheduler_;
    unsigned answer_length_;
    bool paused_ = false;
    engine_run_id last_run_ = 0;
    std::map<engine_run_id, run> runs_;
};

/// Counts how often each request was executed.
class fake_plain_service : public plain_service
{
public:
    explicit fake_plain_service(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void call(
        dispatch_call const& call,
        std::function<void(service_answer)> done) override
    {
        if (refuse_connections)
        {
            answer(done, service_answer{false, false, 0, "", "", "refused"});
            return;
        }
        ++runs[call.request];
        if (lose_answers)
            answer(done, service_answer{true, false, 0, "", "", "timeout"});
        else
            answer(
                done, service_answer{
                          true, true, 200, "text/plain",
                          "result of " + call.request.value(), ""});
    }

    bool refuse_connections = false;
    bool lose_answers = false;
    duration delay{std::chrono::milliseconds(5)};
    std::map<request_id, unsigned> runs;

private:
    void
    answer(std::function<void(service_answer)> const& done, service_answer a)
    {
        scheduler_.schedule(delay, [done, a] { done(a); });
    }

    manual_scheduler& scheduler_;
};

/// Stores rows in memory. Several clients of a test may share one instance.
class fake_table_service : public table_service
{
public:
    enum class mode
    {
        normal,
        down,          // fails after `delay` with `unavailable`
        silent,        // does not apply, returns `unknown` at the timeout
        loses_answers, // applies, returns `unknown` at the timeout
        applies_late   // returns `unknown` at the timeout, then applies
    };

    explicit fake_table_service(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void commit(
        std::vector<row_write> writes, duration timeout,
        std::function<void(commit_result)> done) override
    {
        ++commits;
        switch (current)
        {
        case mode::normal:
            scheduler_.schedule(
                delay, [this, writes, done] { done(apply(writes)); });
            break;
        case mode::down:
            complete_after(delay, done, store_status::unavailable);
            break;
        case mode::silent:
            complete_after(timeout, done, store_status::unknown);
            break;
        case mode::loses_answers:
            scheduler_.schedule(delay, [this, writes] { apply(writes); });
            complete_after(timeout, done, store_status::unknown);
            break;
        case mode::applies_late:
            complete_after(timeout, done, store_status::unknown);
            scheduler_.schedule(
                timeout + late_apply_delay, [this, writes] { apply(writes); });
            break;
        }
    }

    void read(
        std::vector<std::string> keys, duration timeout,
        std::function<void(read_result)> done) override
    {
        ++reads;
        if (!check_readable(timeout, done))
            return;
        scheduler_.schedule(
            delay,
            [this, keys, done]
            {
                read_result result{store_status::ok, {}};
                for (auto const& key : keys)
                    result.rows.push_back(row_at(key));
                done(result);
            });
    }

    void scan(
        std::string prefix, duration timeout,
        std::function<void(read_result)> done) override
    {
        ++reads;
        if (!check_readable(timeout, done))
            return;
        scheduler_.schedule(
            delay,
            [this, prefix, done]
            {
                read_result result{store_status::ok, {}};
                for (auto i = rows_.lower_bound(prefix);
                     i != rows_.end() &&
                     i->first.compare(0, prefix.size(), prefix) == 0;
                     ++i)
                    result.rows.push_back(i->second);
                done(result);
            });
    }

    row row_at(std::string const& key) const
    {
        auto const found = rows_.find(key);
        return found == rows_.end() ? row{key, "", 0} : found->second;
    }

    mode current = mode::normal;
    duration delay{std::chrono::milliseconds(2)};
    duration late_apply_delay{std::chrono::milliseconds(500)};
    unsigned commits = 0;
    unsigned reads = 0;

private:
    void complete_after(
        duration after, std::function<void(commit_result)> const& done,
        store_status status)
    {
        scheduler_.schedule(
            after,
            [done, status] {
                done(commit_result{status, {}, {}});
            });
    }

    bool check_readable(
        duration timeout, std::function<void(read_result)> const& done)
    {
        if (current == mode::normal)
            return true;
        duration const after = current == mode::down ? delay : timeout;
        scheduler_.schedule(
            after,
            [done] {
                done(read_result{store_status::unavailable, {}});
            });
        return false;
    }

    commit_result apply(std::vector<row_write> const& writes)
    {
        commit_result result{store_status::ok, {}, {}};
        for (auto const& w : writes)
        {
            row const present = row_at(w.key);
            if (w.expected && *w.expected != present.version)
                result.conflicts.push_back(present);
        }
        if (!result.conflicts.empty())
        {
            result.status = store_status::conflict;
            return result;
        }
        for (auto const& w : writes)
        {
            if (!w.value)
            {
                rows_.erase(w.key);
                result.versions.push_back(0);
                continue;
            }
            row_version const version = ++last_version_;
            rows_[w.key] = row{w.key, *w.value, version};
            result.versions.push_back(version);
        }
        return result;
    }

    manual_scheduler& scheduler_;
    row_version last_version_ = 0;
    std::map<std::string, row> rows_;
};

} // namespace dotterellock::testing

#endif
