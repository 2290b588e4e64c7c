// Index: what an answer proves; leaving endpoints; lease.
#include <catch2/catch.hpp>

#include <random>

#include "gateway/endpoint_table.hpp"
#include "gateway/freshness_lease.hpp"
#include "gateway/table_watcher.hpp"
#include "gateway_fixture.hpp"
#include "simulated_store.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

struct watch_fixture
{
    explicit watch_fixture(table_watch_settings settings)
        : watcher("t", settings, store, listener, scheduler, random, log)
    {
        scheduler.advance(std::chrono::hours(1));
    }

    void run(duration span, duration tick = milliseconds(20))
    {
        for (duration passed{}; passed < span; passed += tick)
        {
            watcher.poll();
            scheduler.advance(tick);
        }
    }

    manual_scheduler scheduler;
    seeded_random random{1};
    silent_log log;
    simulated_store store{scheduler};
    checking_listener listener{scheduler, store};
    table_watcher watcher;
};

constexpr table_watch_settings batched{milliseconds(4000), milliseconds(600)};

} // namespace

// What an answer proves ------------------------------------------------------

// Nothing that delays an answer may make a change look more recent than it is,
// or a copy more complete: the pause between batches, a slow store, a paused
// process, an outage or a step of the store's clock.
TEST_CASE("answers never prove more than they show", "[watcher]")
{
    auto const seed = GENERATE(range(1, 60));
    CAPTURE(seed);
    watch_fixture f(batched);
    std::mt19937_64 draw{std::uint64_t(seed)};
    auto const below = [&draw](int n)
    { return int(draw() % std::uint64_t(n)); };
    for (int step = 0; step < 80; ++step)
    {
        switch (below(8))
        {
        case 0:
        case 1:
        case 2:
            f.store.commit("k" + std::to_string(below(5)), below(3) == 0);
            break;
        case 3:
            f.store.delay = milliseconds(below(2) * below(3000));
            break;
        case 4:
            f.store.available = below(3) > 0;
            break;
        case 5: // the process is paused
            f.scheduler.advance(milliseconds(below(3000)));
            break;
        case 6: // another store takes over after an outage
            f.store.delay = {};
            f.store.available = false;
            f.run(milliseconds(8000 + below(1000)));
            f.store.clock_offset += milliseconds(below(20000) - 10000);
            f.store.available = true;
            break;
        default:
            f.store.tells_time = below(4) > 0;
        }
        f.run(milliseconds(below(1500)));
    }
    f.store.available = true;
    f.store.delay = {};
    f.run(milliseconds(6000));
    REQUIRE(f.listener.revision == f.store.revision);
}

// A call that is held for seconds is as recent as its answer. Dated by its
// sending, a lease of 5 s ended within 2 s of losing the store.
TEST_CASE("a held call proves the time of its answer", "[watcher]")
{
    watch_fixture f({milliseconds(1400)});
    f.store.clock_offset = milliseconds(GENERATE(-500000, 0, 500000));
    f.run(milliseconds(20000));
    auto const answered = f.scheduler.now() - *f.listener.proven;
    REQUIRE(answered <= milliseconds(1400 + 4 + 2));
    f.store.tells_time = false;
    f.run(milliseconds(20000));
    REQUIRE(f.scheduler.now() - *f.listener.proven <= milliseconds(2900));
}

// Requests with a key are refused until the copy is proven again, so the first
// call after an outage must not be held.
TEST_CASE("the first call after an outage is answered at once", "[watcher]")
{
    watch_fixture f({milliseconds(1400)});
    f.run(milliseconds(5000));
    f.store.available = false;
    f.run(milliseconds(8000));
    f.store.available = true;
    auto const back = f.scheduler.now();
    f.run(milliseconds(500));
    REQUIRE(*f.listener.proven > back);
    f.run(milliseconds(1000));
    REQUIRE(f.store.last_wait == milliseconds(1400));
}

// Leaving endpoints ----------------------------------------------------------

namespace
{

/// Applies rows as the gateway does, with the drain bound of the platform.
struct endpoint_listener : checking_listener
{
    using checking_listener::checking_listener;

    void on_change(store_row const& row, change_period const& period) override
    {
        checking_listener::on_change(row, period);
        auto record = endpoint(row.key, "a1");
        record.draining = row.deleted;
        table.put(record, period.not_before);
    }

    endpoint_table table{milliseconds(2000)};
};

} // namespace

// A change that was read late must not give a leaving endpoint more time: at
// the end of a pause between batches it got requests up to 78 ms after the
// drain bound of 2.5 s.
TEST_CASE(
    "the drain bound counts from the change, not its reading", "[watcher]")
{
    struct row
    {
        int read_after_ms; // pause of the process when the change is made
        int store_delay_ms;
        bool after_batch; // within the pause after another change
    };
    auto const r = GENERATE(
        row{0, 0, false}, row{0, 0, true}, row{550, 0, false},
        row{0, 700, false}, row{0, 700, true}, row{1500, 0, true});
    manual_scheduler scheduler;
    scheduler.advance(std::chrono::hours(1));
    seeded_random random{1};
    silent_log log;
    simulated_store store{scheduler};
    endpoint_listener listener{scheduler, store};
    table_watcher watcher{"t",       batched, store, listener,
                          scheduler, random,  log};
    auto const run = [&](int ms)
    {
        for (int passed = 0; passed < ms; passed += 10)
        {
            watcher.poll();
            scheduler.advance(milliseconds(10));
        }
    };
    store.commit("one");
    run(2000);
    store.delay = milliseconds(r.store_delay_ms);
    if (r.after_batch)
    {
        store.commit("two");
        run(20);
    }
    store.commit("one", true);
    auto const changed = scheduler.now();
    scheduler.advance(milliseconds(r.read_after_ms));
    run(2400);
    auto const one = listener.table.find(endpoint_id("one"));
    REQUIRE(one->leaving());
    REQUIRE(one->has_left(changed + milliseconds(2000)));
}

// Lease ----------------------------------------------------------------------

// Losing the store for three fifths of the withdrawal bound must not refuse
// callers, in whichever phase of a call it happens.
TEST_CASE("the lease outlasts a short loss of the store", "[watcher][lease]")
{
    constexpr milliseconds bound{5000};
    watch_fixture f({freshness_lease::max_poll_wait(bound)});
    f.run(milliseconds(10000 + 50 * GENERATE(range(0, 30))));
    freshness_lease lease{bound};
    lease.renew(*f.listener.proven);
    REQUIRE(lease.valid(f.scheduler.now() + bound * 3 / 5));
}
