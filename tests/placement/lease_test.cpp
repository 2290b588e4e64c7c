#include <catch2/catch.hpp>

#include "control_fakes.hpp"
#include "placement/lease.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr seconds term{15};

struct contender
{
    contender(
        manual_scheduler& scheduler, fake_table_service& table,
        std::string const& name, std::uint64_t seed)
        : process(scheduler, table), random(seed),
          held(
              peer_id(name), "placement", scheduler, process, random, process,
              term, counters)
    {
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    lease held;
    bool running = true;
    fencing_token acted_under = 0;
};

struct world
{
    explicit world(std::size_t contenders = 2, std::uint64_t seed = 1)
    {
        for (std::size_t i = 0; i < contenders; ++i)
        {
            all.push_back(std::make_unique<contender>(
                scheduler, table, "r" + std::to_string(i), seed * 100 + i));
            all.back()->held.start();
        }
    }

    /// At most one process that runs may act, under tokens that only rise.
    void check()
    {
        unsigned holders = 0;
        for (auto const& c : all)
        {
            if (!c->running || !c->held.held())
                continue;
            ++holders;
            if (c->held.token() < highest_token)
                FAIL("a holder acts under an old token");
            highest_token = c->held.token();
        }
        if (holders > 1)
            FAIL("two holders");
    }

    void run(duration span)
    {
        steady_time const end = scheduler.now() + span;
        while (scheduler.now() < end)
        {
            scheduler.advance(milliseconds(50));
            check();
        }
    }

    contender* holder()
    {
        for (auto const& c : all)
        {
            if (c->running && c->held.held())
                return c.get();
        }
        return nullptr;
    }

    void pause(contender& c)
    {
        c.process.pause();
        c.running = false;
    }

    void resume(contender& c)
    {
        c.running = true;
        check(); // before anything of the process has run
        c.process.resume();
        check();
    }

    manual_scheduler scheduler;
    fake_table_service table{scheduler};
    std::vector<std::unique_ptr<contender>> all;
    fencing_token highest_token = 0;
};

std::vector<store_mode> const faults = {
    store_mode::down, store_mode::silent, store_mode::loses_answers,
    store_mode::applies_late};

} // namespace

// Guards against two holders, a token that does not rise, and a lease that is
// never acquired again, when calls to the store fail while it is acquired,
// renewed or expires.
TEST_CASE("the lease survives each store fault at each step")
{
    auto const call = GENERATE(range(std::size_t{0}, std::size_t{7}));
    auto const times = GENERATE(1u, 2u, 8u);
    auto const mode = GENERATE(from_range(faults));
    auto const who = GENERATE(0u, 1u);
    CAPTURE(call, times, static_cast<int>(mode), who);
    world w;
    w.all[who]->process.fail_calls(call, times, mode);
    w.run(seconds(90));
    REQUIRE(w.holder() != nullptr);
    // The other takes over from a holder that dies with a fault under way.
    contender& first = *w.holder();
    fencing_token const token = first.held.token();
    first.process.fail_calls(first.process.calls(), 1, mode);
    w.run(seconds(4));
    if (w.holder() != &first)
        return;
    w.pause(first);
    w.run(seconds(60));
    REQUIRE(w.holder() != nullptr);
    REQUIRE(w.holder() != &first);
    REQUIRE(w.holder()->held.token() > token);
}

// Guards against a holder that acts after its lease expired during a pause,
// and against one that trusts an answer from before the pause.
TEST_CASE("a holder that was paused does not act before it renewed")
{
    auto const pause = GENERATE(
        milliseconds(9000), milliseconds(11000), milliseconds(14000),
        milliseconds(16000), milliseconds(25000), milliseconds(120000));
    auto const in_flight = GENERATE(false, true);
    auto const mode = GENERATE(
        store_mode::normal, store_mode::silent, store_mode::loses_answers);
    CAPTURE(pause.count(), in_flight, static_cast<int>(mode));
    world w;
    w.run(seconds(20));
    contender& first = *w.holder();
    if (in_flight)
    {
        std::size_t const calls = first.process.calls();
        first.process.fail_calls(calls, 1, mode);
        REQUIRE(w.scheduler.run_until(
            [&] { return first.process.calls() > calls; }, seconds(20)));
    }
    w.pause(first);
    w.run(pause);
    w.resume(first);
    REQUIRE_FALSE(first.held.held());
    w.run(seconds(60));
    REQUIRE(w.holder() != nullptr);
}

// Guards against a restarted process that takes its predecessor's lease for
// its own, and against a planned stop that makes others wait.
TEST_CASE("restart and release")
{
    world w;
    w.run(seconds(20));
    contender& first = *w.holder();
    fencing_token const token = first.held.token();
    bool const planned = GENERATE(false, true);
    if (planned)
        first.held.stop();
    else
        w.pause(first);
    w.all.push_back(
        std::make_unique<contender>(w.scheduler, w.table, "r0", 77));
    steady_time const at = w.scheduler.now();
    w.scheduler.advance(milliseconds(20));
    w.all.back()->held.start();
    while (w.holder() == nullptr)
        w.run(milliseconds(50));
    duration const waited = w.scheduler.now() - at;
    REQUIRE(w.holder()->held.token() > token);
    if (planned)
        REQUIRE(waited < seconds(1));
    else
        REQUIRE((waited >= term * 2 / 3 && waited <= term * 7 / 3));
}

// Guards against more store calls than the budget allows.
TEST_CASE("contenders read about once a term")
{
    world w(40);
    w.run(seconds(60));
    unsigned const reads = w.table.reads;
    unsigned const commits = w.table.commits;
    w.run(term * 10);
    REQUIRE(w.table.reads - reads <= 40 * 10);
    REQUIRE(w.table.commits - commits <= 31);
}

// Guards against a token that starts again because the row cannot be read.
TEST_CASE("a damaged lease row is never taken")
{
    world w;
    w.table.commit({{lease_key("placement"), "{", {}}}, {}, [](auto const&) {});
    w.run(seconds(120));
    REQUIRE(w.holder() == nullptr);
}
