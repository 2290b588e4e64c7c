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
          own_lease(
              peer_id(name), "placement", scheduler, process, random, process,
              term, counters)
    {
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    lease own_lease;
    bool running = true;
    fencing_token acted_under = 0;
};

struct lease_fixture
{
    explicit lease_fixture(std::size_t contenders = 2, std::uint64_t seed = 1)
    {
        for (std::size_t i = 0; i < contenders; ++i)
        {
            processes.push_back(std::make_unique<contender>(
                scheduler, table, "r" + std::to_string(i), seed * 100 + i));
            processes.back()->own_lease.start();
        }
    }

    /// At most one running process holds the lease, with tokens that never
    /// fall.
    void check_invariants()
    {
        unsigned holders = 0;
        for (auto const& c : processes)
        {
            if (!c->running || !c->own_lease.held())
                continue;
            ++holders;
            if (c->own_lease.token() < highest_token)
                FAIL("a holder has an old fencing token");
            highest_token = c->own_lease.token();
        }
        if (holders > 1)
            FAIL("two processes hold the lease");
    }

    void run(duration span)
    {
        steady_time const end = scheduler.now() + span;
        while (scheduler.now() < end)
        {
            scheduler.advance(milliseconds(50));
            check_invariants();
        }
    }

    contender* holder()
    {
        for (auto const& c : processes)
        {
            if (c->running && c->own_lease.held())
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
        check_invariants(); // before any callback of the process
        c.process.resume();
        check_invariants();
    }

    manual_scheduler scheduler;
    fake_table_service table{scheduler};
    std::vector<std::unique_ptr<contender>> processes;
    fencing_token highest_token = 0;
};

std::vector<store_mode> const faults = {
    store_mode::down, store_mode::silent, store_mode::loses_answers,
    store_mode::applies_late};

} // namespace

// Guards against two holders, a token that does not rise, and a lease that is
// never acquired again, when store calls fail while the lease is acquired, is
// renewed or expires.
TEST_CASE("the lease recovers from every store fault at every step")
{
    auto const call = GENERATE(range(std::size_t{0}, std::size_t{7}));
    auto const times = GENERATE(1u, 2u, 8u);
    auto const mode = GENERATE(from_range(faults));
    auto const who = GENERATE(0u, 1u);
    CAPTURE(call, times, static_cast<int>(mode), who);
    lease_fixture fixture;
    fixture.processes[who]->process.fail_calls(call, times, mode);
    fixture.run(seconds(90));
    REQUIRE(fixture.holder() != nullptr);
    // The other contender takes over if the holder dies during a store fault.
    contender& first = *fixture.holder();
    fencing_token const token = first.own_lease.token();
    first.process.fail_calls(first.process.calls(), 1, mode);
    fixture.run(seconds(4));
    if (fixture.holder() != &first)
        return;
    fixture.pause(first);
    fixture.run(seconds(60));
    REQUIRE(fixture.holder() != nullptr);
    REQUIRE(fixture.holder() != &first);
    REQUIRE(fixture.holder()->own_lease.token() > token);
}

// Guards against a process that still considers itself the holder after its
// lease expired during a pause, or because of a response to a request from
// before the pause.
TEST_CASE("a paused holder does not hold the lease before it renews it")
{
    auto const pause = GENERATE(
        milliseconds(9000), milliseconds(11000), milliseconds(14000),
        milliseconds(16000), milliseconds(25000), milliseconds(120000));
    auto const in_flight = GENERATE(false, true);
    auto const mode = GENERATE(
        store_mode::normal, store_mode::silent, store_mode::loses_answers);
    CAPTURE(pause.count(), in_flight, static_cast<int>(mode));
    lease_fixture fixture;
    fixture.run(seconds(20));
    contender& first = *fixture.holder();
    if (in_flight)
    {
        std::size_t const calls = first.process.calls();
        first.process.fail_calls(calls, 1, mode);
        REQUIRE(fixture.scheduler.run_until(
            [&] { return first.process.calls() > calls; }, seconds(20)));
    }
    fixture.pause(first);
    fixture.run(pause);
    fixture.resume(first);
    REQUIRE_FALSE(first.own_lease.held());
    fixture.run(seconds(60));
    REQUIRE(fixture.holder() != nullptr);
}

// Guards against a restarted process that takes its predecessor's lease for its
// own, and against a planned shutdown after which others wait for the lease to
// expire.
TEST_CASE("the lease is acquired after a restart or a release")
{
    lease_fixture fixture;
    fixture.run(seconds(20));
    contender& first = *fixture.holder();
    fencing_token const token = first.own_lease.token();
    bool const planned = GENERATE(false, true);
    if (planned)
        first.own_lease.stop();
    else
        fixture.pause(first);
    fixture.processes.push_back(std::make_unique<contender>(
        fixture.scheduler, fixture.table, "r0", 77));
    steady_time const at = fixture.scheduler.now();
    fixture.scheduler.advance(milliseconds(20));
    fixture.processes.back()->own_lease.start();
    while (fixture.holder() == nullptr)
        fixture.run(milliseconds(50));
    duration const waited = fixture.scheduler.now() - at;
    REQUIRE(fixture.holder()->own_lease.token() > token);
    if (planned)
        REQUIRE(waited < seconds(1));
    else
        REQUIRE((waited >= term * 2 / 3 && waited <= term * 7 / 3));
}

// Guards against more store load than one read per term and contender.
TEST_CASE("contenders read about once per term")
{
    lease_fixture fixture(40);
    fixture.run(seconds(60));
    unsigned const reads = fixture.table.reads;
    unsigned const commits = fixture.table.commits;
    fixture.run(term * 10);
    REQUIRE(fixture.table.reads - reads <= 40 * 10);
    REQUIRE(fixture.table.commits - commits <= 31);
}

// Guards against a token that restarts at 1 because the stored one cannot be
// decoded.
TEST_CASE("a lease row that cannot be decoded is never acquired")
{
    lease_fixture fixture;
    fixture.table.commit(
        {{lease_key("placement"), "{", {}}}, {}, [](auto const&) {});
    fixture.run(seconds(120));
    REQUIRE(fixture.holder() == nullptr);
}
