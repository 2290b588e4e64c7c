#include <catch2/catch.hpp>

#include <list>

#include "fake_external_services.hpp"
#include "rapidcheck_seed.hpp"
#include "store/store_client.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using namespace std::chrono_literals;

namespace
{

using mode = fake_table_service::mode;

/// A commit of one row and all results reported for it.
struct commit_attempt
{
    std::string key;
    std::string value;
    std::vector<commit_result> results;

    store_status status() const
    {
        REQUIRE(results.size() == 1);
        return results[0].status;
    }
};

struct store_fixture
{
    explicit store_fixture(store_settings settings = {}, std::uint64_t seed = 1)
        : random(seed),
          client(backend, scheduler, scheduler, random, settings, counters)
    {
    }

    /// Inserts a row with a unique value.
    commit_attempt& insert(std::string const& key, duration timeout = 2s)
    {
        attempts.push_back({key, "v" + std::to_string(inserted++), {}});
        commit_attempt& a = attempts.back();
        client.commit(
            {row_write{key, a.value, row_version{0}}}, timeout,
            [&a](commit_result const& r) { a.results.push_back(r); });
        return a;
    }

    bool stored(commit_attempt const& a) const
    {
        return backend.row_at(a.key).value == a.value;
    }

    manual_scheduler scheduler;
    fake_table_service backend{scheduler};
    seeded_random random;
    counter_registry counters;
    std::list<commit_attempt> attempts;
    unsigned inserted = 0;
    store_client client;
};

/// A backend whose responses the test sends explicitly.
struct scripted_table_service : table_service
{
    void commit(
        std::vector<row_write> writes, duration,
        std::function<void(commit_result)> done) override
    {
        written.push_back(std::move(writes));
        commits.push_back(std::move(done));
    }
    void read(
        std::vector<std::string>, duration,
        std::function<void(read_result)> done) override
    {
        reads.push_back(std::move(done));
    }
    void
    scan(std::string, duration, std::function<void(read_result)> done) override
    {
        reads.push_back(std::move(done));
    }
    std::vector<std::vector<row_write>> written;
    std::vector<std::function<void(commit_result)>> commits;
    std::vector<std::function<void(read_result)>> reads;
};

struct scripted_store_fixture
{
    manual_scheduler scheduler;
    scripted_table_service backend;
    seeded_random random{1};
    counter_registry counters;
    store_client client{backend, scheduler, scheduler, random, {}, counters};
};

} // namespace

// Guards against a wrong commit result during a temporary store fault, and
// against a second result after the timeout of the caller.
TEST_CASE("commit results under store faults")
{
    auto const [fault, fault_duration, existing, expected] =
        GENERATE(table<mode, duration, bool, store_status>({
            {mode::normal, 0s, false, store_status::ok},
            {mode::normal, 0s, true, store_status::conflict},
            {mode::down, 100ms, false, store_status::ok},
            {mode::down, 5s, false, store_status::unavailable},
            {mode::silent, 300ms, false, store_status::ok},
            {mode::silent, 300ms, true, store_status::conflict},
            {mode::silent, 5s, false, store_status::unknown},
            {mode::loses_answers, 100ms, false, store_status::ok},
            {mode::loses_answers, 5s, false, store_status::unknown},
            {mode::applies_late, 100ms, false, store_status::ok},
            {mode::applies_late, 100ms, true, store_status::conflict},
            {mode::applies_late, 5s, false, store_status::unknown},
        }));
    store_fixture fixture;
    if (existing)
    {
        fixture.insert("k");
        fixture.scheduler.advance(1s);
    }
    fixture.backend.current = fault;
    fixture.scheduler.schedule(
        fault_duration, [&fixture] { fixture.backend.current = mode::normal; });
    auto const& a = fixture.insert("k");
    fixture.scheduler.advance(2s);
    REQUIRE(a.status() == expected);
    fixture.scheduler.advance(10s);
    REQUIRE(a.results.size() == 1);
    if (expected == store_status::ok)
    {
        REQUIRE(fixture.stored(a));
        REQUIRE(
            a.results[0].versions ==
            std::vector<row_version>{fixture.backend.row_at("k").version});
    }
    if (existing)
        REQUIRE(a.results[0].conflicts.at(0).value == "v0");
}

// Guards against a separate transaction for each claim, and against a
// conflicting claim that fails the others of its batch.
TEST_CASE("small inserts share a transaction")
{
    auto const [count, existing, commits] =
        GENERATE(table<unsigned, unsigned, unsigned>({
            {1, 0, 1},
            {20, 0, 1},
            {20, 3, 2}, // sent again without the three conflicts
            {20, 20, 1},
            {100, 0, 2}, // exceeds the maximum batch size
        }));
    store_fixture fixture;
    for (unsigned i = 0; i < existing; ++i)
        fixture.insert("k" + std::to_string(i));
    fixture.scheduler.advance(1s);
    fixture.backend.commits = 0;
    fixture.attempts.clear();
    for (unsigned i = 0; i < count; ++i)
        fixture.insert("k" + std::to_string(i));
    fixture.scheduler.advance(1s);
    REQUIRE(fixture.backend.commits == commits);
    unsigned i = 0;
    for (auto const& a : fixture.attempts)
    {
        bool const conflicts = i++ < existing;
        REQUIRE(
            a.status() ==
            (conflicts ? store_status::conflict : store_status::ok));
        REQUIRE(fixture.stored(a) != conflicts);
    }
}

// Guards against two writes of one row in one transaction, and against a
// conflict without rows that fails every commit of its batch.
TEST_CASE("batches are split by row and after a conflict without rows")
{
    scripted_store_fixture fixture;
    std::map<std::string, store_status> seen;
    for (auto const* value : {"a1", "b1", "a2"})
    {
        fixture.client.commit(
            {row_write{std::string(1, value[0]), value, row_version{0}}}, 2s,
            [&seen, value](commit_result const& r) { seen[value] = r.status; });
    }
    fixture.scheduler.advance(10ms);
    REQUIRE(fixture.backend.written.size() == 2); // a1 with b1, then a2
    REQUIRE(fixture.backend.written[0].size() == 2);

    fixture.backend.commits[0]({store_status::conflict, {}, {}});
    fixture.scheduler.advance(1ms);
    REQUIRE(fixture.backend.written.size() == 4); // a1 and b1, each alone
    fixture.backend.commits[2]({store_status::ok, {}, {1}});
    fixture.backend.commits[3]({store_status::conflict, {}, {}});
    REQUIRE(seen["a1"] == store_status::ok);
    REQUIRE(seen["b1"] == store_status::conflict);
}

// Guards against a response that is counted twice, arrives after its request
// timed out, or belongs to an earlier attempt.
TEST_CASE("late and duplicate responses of the store are ignored")
{
    scripted_store_fixture fixture;
    std::vector<store_status> seen;
    fixture.client.commit(
        {row_write{"k", "v", row_version{0}}}, 2s,
        [&seen](commit_result const& r) { seen.push_back(r.status); });
    fixture.scheduler.advance(300ms); // the response is lost
    REQUIRE(fixture.backend.reads.size() == 1);
    fixture.backend.commits[0]({store_status::ok, {}, {1}}); // late
    REQUIRE(seen.empty());
    fixture.backend.reads[0]({store_status::ok, {row{"k", "other", 7}}});
    fixture.backend.reads[0]({store_status::ok, {row{"k", "v", 8}}});
    fixture.backend.commits[0]({store_status::ok, {}, {1}});
    REQUIRE(seen == std::vector{store_status::conflict});
}

// Guards against continued load on a failing store, and against a circuit
// breaker that stays open after the store has recovered.
TEST_CASE("the circuit breaker opens, probes and closes")
{
    store_settings settings;
    settings.batch_delay = 0ms;
    store_fixture fixture(settings);
    fixture.backend.current = mode::down;
    fixture.insert("first");
    fixture.insert("second"); // one alone makes too few attempts
    fixture.scheduler.advance(2s);
    unsigned const before = fixture.backend.commits;
    REQUIRE(before >= settings.breaker_failure_threshold);

    // At most one probe each time the breaker is open.
    for (unsigned i = 0; i < 100; ++i)
    {
        fixture.insert("k" + std::to_string(i));
        fixture.scheduler.advance(50ms);
    }
    REQUIRE(fixture.backend.commits - before <= 10); // in 5 s
    for (auto const& a : fixture.attempts)
    {
        if (!a.results.empty())
            REQUIRE(a.status() == store_status::unavailable);
    }

    fixture.backend.current = mode::normal;
    fixture.scheduler.advance(2s);
    auto const& probe = fixture.insert("probe");
    fixture.scheduler.advance(100ms);
    REQUIRE(probe.status() == store_status::ok);
    REQUIRE(fixture.insert("next").results.empty());
    fixture.scheduler.advance(100ms);
    REQUIRE(fixture.attempts.back().status() == store_status::ok);
}

// Guards against more requests per second than the budget of the store, and
// against an unbounded queue.
TEST_CASE("requests stay within the rate budget")
{
    bool const writes = GENERATE(true, false);
    store_settings settings;
    settings.batch_delay = 0ms;
    settings.writes_per_second = settings.reads_per_second = 10;
    settings.burst_seconds = 1;
    settings.max_queued_requests = 50;
    store_fixture fixture(settings);
    unsigned answered = 0;
    unsigned refused = 0;
    for (unsigned i = 0; i < 100; ++i)
    {
        auto const count = [&](auto const& result)
        {
            ++answered;
            refused += result.status == store_status::unavailable ? 1 : 0;
        };
        if (writes)
            fixture.client.commit(
                {row_write{std::to_string(i), "v", row_version{0}}}, 20s,
                count);
        else
            fixture.client.read({std::to_string(i)}, 20s, count);
    }
    auto const& requests =
        writes ? fixture.backend.commits : fixture.backend.reads;
    REQUIRE(requests <= 10);
    fixture.scheduler.advance(2s);
    REQUIRE(requests >= 28); // burst of 10, then 10 per second
    REQUIRE(requests <= 31);
    fixture.scheduler.advance(20s);
    REQUIRE(answered == 100);
    REQUIRE(refused == 40); // 10 sent at once, 50 queued
}

// Guards against reads that hang or are not retried.
TEST_CASE("reads are retried within their timeout")
{
    auto const [fault, fault_duration, expected] =
        GENERATE(table<mode, duration, store_status>(
            {{mode::down, 50ms, store_status::ok},
             {mode::silent, 300ms, store_status::ok},
             {mode::down, 5s, store_status::unavailable},
             {mode::silent, 5s, store_status::unavailable}}));
    store_fixture fixture;
    fixture.backend.current = fault;
    fixture.scheduler.schedule(
        fault_duration, [&fixture] { fixture.backend.current = mode::normal; });
    std::vector<store_status> seen;
    auto const note = [&seen](read_result const& r)
    { seen.push_back(r.status); };
    fixture.client.read({"k"}, 1s, note);
    fixture.client.scan("k", 1s, note);
    fixture.scheduler.advance(1s);
    REQUIRE(seen == std::vector{expected, expected});
}

// Guards against a commit result that contradicts the rows, is missing or is
// reported twice, under any order of faults.
TEST_CASE("commit results agree with the rows under random faults")
{
    REQUIRE(rc::check(
        "commit results",
        [](std::vector<std::uint8_t> const& script)
        {
            store_fixture fixture;
            for (auto const code : script)
            {
                if (code % 4 == 0)
                    fixture.backend.current = static_cast<mode>(code / 4 % 5);
                else if (code % 4 == 1)
                    fixture.scheduler.advance(code * 2ms);
                else
                    fixture.insert("k" + std::to_string(code / 16));
            }
            fixture.scheduler.advance(3s);
            fixture.backend.current = mode::normal;
            fixture.scheduler.advance(10s);
            for (auto const& a : fixture.attempts)
            {
                RC_ASSERT(a.results.size() == 1u);
                auto const status = a.results[0].status;
                if (status == store_status::ok)
                    RC_ASSERT(fixture.stored(a));
                else if (status != store_status::unknown)
                    RC_ASSERT(!fixture.stored(a));
            }
        }));
}
