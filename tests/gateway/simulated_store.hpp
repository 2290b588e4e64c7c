// A simulated store with one table and its history, and a listener that checks
// every answer against that history.
#ifndef DOTTERELLOCK_TESTS_SIMULATED_STORE_HPP
#define DOTTERELLOCK_TESTS_SIMULATED_STORE_HPP

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/table_watcher.hpp"
#include "manual_scheduler.hpp"
#include "silent_listeners.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;

/// One table with its history. Holds a call for changes until there is one.
class simulated_store : public row_reader
{
public:
    explicit simulated_store(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void commit(std::string const& key, bool deleted = false)
    {
        ++revision;
        history.push_back({scheduler_.now(), {key, "v", revision, deleted}});
        for (auto const number : std::exchange(held_, {}))
            answer_changes(number);
    }

    void list(std::string const&, std::string const&, handler done) override
    {
        ++listings;
        deliver(
            std::move(done), false,
            [this](row_read_result& answer)
            {
                std::map<std::string, store_row> rows;
                for (auto const& [at, row] : history)
                    rows[row.key] = row;
                for (auto const& [key, row] : rows)
                {
                    if (!row.deleted)
                        answer.rows.push_back(row);
                }
            });
    }

    void changes(
        std::string const&, std::uint64_t after, milliseconds wait,
        handler done) override
    {
        last_wait = wait;
        auto const number = ++last_call_;
        calls_[number] = {after, std::move(done), scheduler_.now()};
        scheduler_.schedule(
            latency,
            [this, number, wait]
            {
                if (!available || calls_[number].after < history_lost_before ||
                    revision > calls_[number].after)
                {
                    answer_changes(number);
                    return;
                }
                held_.push_back(number);
                scheduler_.schedule(
                    wait,
                    [this, number]
                    {
                        auto const at =
                            std::find(held_.begin(), held_.end(), number);
                        if (at == held_.end())
                            return;
                        held_.erase(at);
                        answer_changes(number);
                    });
            });
    }

    milliseconds time() const
    {
        return std::chrono::duration_cast<milliseconds>(
            scheduler_.now().time_since_epoch() + clock_offset);
    }

    duration latency = milliseconds(2); // one way
    duration delay{};                   // added while the store is slow
    bool available = true;
    bool tells_time = true;
    duration clock_offset = milliseconds(77);
    std::uint64_t revision = 0;
    std::uint64_t history_lost_before = 0;
    std::size_t listings = 0;
    milliseconds last_wait{0};
    std::vector<std::pair<steady_time, store_row>> history;

private:
    struct pending_call
    {
        std::uint64_t after = 0;
        handler done;
        steady_time sent{};
    };

    void answer_changes(std::uint64_t number)
    {
        auto call = std::move(calls_[number]);
        calls_.erase(number);
        deliver(
            std::move(call.done), true,
            [this, after = call.after](row_read_result& answer)
            {
                if (after < history_lost_before)
                {
                    answer.status = row_read_status::history_lost;
                    return;
                }
                for (auto const& [at, row] : history)
                {
                    if (row.revision > after)
                        answer.rows.push_back(row);
                }
            });
    }

    void deliver(
        handler done, bool arrived,
        std::function<void(row_read_result&)> const& fill)
    {
        auto answer = std::make_shared<row_read_result>();
        auto const produce = [this, answer, fill]
        {
            if (!available)
            {
                answer->status = row_read_status::refused;
                return;
            }
            answer->status = row_read_status::ok;
            answer->revision = revision;
            if (tells_time)
                answer->store_time = time();
            fill(*answer);
        };
        auto const back = [this, answer, done] {
            scheduler_.schedule(
                latency + delay, [answer, done] { done(*answer); });
        };
        if (arrived)
        {
            produce();
            back();
            return;
        }
        scheduler_.schedule(
            latency,
            [produce, back]
            {
                produce();
                back();
            });
    }

    manual_scheduler& scheduler_;
    std::map<std::uint64_t, pending_call> calls_;
    std::vector<std::uint64_t> held_;
    std::uint64_t last_call_ = 0;
};

/// Holds a copy of the table and checks it against the store's history.
struct checking_listener : table_listener
{
    checking_listener(manual_scheduler& s, simulated_store& t)
        : scheduler(s), store(t)
    {
    }

    void on_listing(
        std::vector<store_row> const& rows,
        change_period const& period) override
    {
        copy.clear();
        for (auto const& row : rows)
            on_change(row, period);
    }

    void on_change(store_row const& row, change_period const& period) override
    {
        // A row may come twice, but never again after a newer one.
        auto const known = copy.find(row.key);
        REQUIRE(
            (known == copy.end() || row.revision >= known->second.revision));
        bool const news = row.revision > revision;
        copy[row.key] = row;
        last_period = period;
        if (news && proven)
            REQUIRE(period.not_before <= store.history[row.revision - 1].first);
    }

    void on_current(copy_state const& current) override
    {
        auto const at = current.proven;
        auto const as_of = current.revision;
        REQUIRE(at <= scheduler.now());
        REQUIRE((!proven || at >= *proven));
        REQUIRE(as_of >= revision);
        proven = at;
        revision = as_of;
        // The copy is the table as of the revision, which includes all that was
        // committed by the time of the proof.
        std::map<std::string, std::uint64_t> expected;
        for (auto const& [committed, row] : store.history)
        {
            REQUIRE((committed > at || row.revision <= as_of));
            if (row.revision > as_of)
                break;
            if (row.deleted)
                expected.erase(row.key);
            else
                expected[row.key] = row.revision;
        }
        std::map<std::string, std::uint64_t> held;
        for (auto const& [key, row] : copy)
        {
            if (!row.deleted)
                held[key] = row.revision;
        }
        REQUIRE(held == expected);
    }

    manual_scheduler& scheduler;
    simulated_store& store;
    std::map<std::string, store_row> copy; // with rows of deletions
    std::uint64_t revision = 0;
    change_period last_period;
    std::optional<steady_time> proven;
};

} // namespace dotterellock::testing

#endif
