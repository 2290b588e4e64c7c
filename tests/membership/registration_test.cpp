#include <catch2/catch.hpp>

#include "control_fakes.hpp"
#include "membership/membership_view.hpp"
#include "membership/registration.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

endpoint_info endpoint_named(std::string const& name)
{
    endpoint_info info;
    info.endpoint = endpoint_id(name);
    info.agent = peer_id("agent/" + name);
    info.host = host_id("h-" + name);
    info.models = {{"m", "", "1"}};
    return info;
}

/// One run of an agent's registration, as its agent sees it.
struct run
{
    run(manual_scheduler& scheduler, fake_table_service& table,
        std::uint64_t seed, std::string const& name = "e")
        : process(scheduler, table), random(seed),
          member(
              endpoint_named(name), scheduler, process, random, process,
              counters)
    {
        member.set_on_incarnation([this](incarnation i) { seen.push_back(i); });
        member.set_on_drain([this](bool d) { drained = d; });
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    registration member;
    std::vector<incarnation> seen;
    bool drained = false;
};

struct world
{
    run& start(std::string const& name = "e")
    {
        runs.push_back(
            std::make_unique<run>(scheduler, table, runs.size() + 1, name));
        runs.back()->member.start();
        return *runs.back();
    }

    void want_drain(bool drain)
    {
        desired_drain d;
        d.drain = drain;
        table.commit(
            {{desired_key(endpoint_id("e")), encode(d), {}}}, {},
            [](auto const&) {});
        scheduler.advance(milliseconds(2)); // recorded
    }

    registration_record row() const
    {
        return decode_registration_record(table.row_at("endpoint/e").value)
            .value_or(registration_record());
    }

    manual_scheduler scheduler;
    fake_table_service table{scheduler};
    std::vector<std::unique_ptr<run>> runs;
};

std::vector<store_mode> const faults = {
    store_mode::down, store_mode::silent, store_mode::loses_answers,
    store_mode::applies_late};

} // namespace

// Guards against two runs with one incarnation, a number that falls, and a
// registration that never ends, when a call to the store fails at any step:
// desired state, own row, write, read back; once or in a row.
TEST_CASE("register survives each store fault at each step")
{
    auto const call = GENERATE(range(std::size_t{0}, std::size_t{5}));
    auto const times = GENERATE(1u, 2u, 6u);
    auto const mode = GENERATE(from_range(faults));
    CAPTURE(call, times, static_cast<int>(mode));
    world w;
    w.start();
    w.scheduler.advance(seconds(2));
    incarnation const first = w.runs[0]->member.current();
    REQUIRE(w.runs[0]->member.confirmed());
    w.runs[0]->process.pause(); // dies
    run& second = w.start();
    second.process.fail_calls(call, times, mode);
    w.scheduler.advance(seconds(1));
    REQUIRE(second.seen.size() == 1); // serves after a second at the latest
    w.scheduler.advance(seconds(60));
    REQUIRE(second.member.confirmed());
    REQUIRE(second.member.current() > first);
    REQUIRE(second.seen.size() == 1); // confirmed without a new number
    REQUIRE(w.row().incarnation == second.member.current());
    // The first was only paused: it finds its row replaced and stops.
    w.runs[0]->process.resume();
    w.scheduler.advance(seconds(5));
    REQUIRE(w.runs[0]->member.superseded());
    REQUIRE_FALSE(w.runs[0]->member.may_offer());
    REQUIRE(w.runs[0]->drained);
    w.scheduler.advance(seconds(60));
    REQUIRE(w.row().incarnation == second.member.current());
}

// Guards against a fleet that cannot restart in an outage, and against two
// provisional runs that look alike.
TEST_CASE("a run without the store serves under a provisional incarnation")
{
    auto const mode = GENERATE(store_mode::down, store_mode::silent);
    world w;
    w.table.current = mode;
    std::set<incarnation> numbers;
    for (int i = 0; i < 20; ++i)
    {
        if (i > 0)
            w.runs.back()->process.pause();
        run& r = w.start();
        w.scheduler.advance(milliseconds(1100));
        REQUIRE(r.seen.size() == 1);
        REQUIRE_FALSE(r.member.confirmed());
        REQUIRE(r.member.may_offer());
        if (!numbers.empty())
            REQUIRE(r.seen[0] > *numbers.rbegin());
        numbers.insert(r.seen[0]);
    }
    w.table.current = store_mode::normal;
    w.scheduler.advance(seconds(20));
    REQUIRE(w.runs.back()->member.confirmed());
    REQUIRE(w.runs.back()->seen.size() == 1);
}

// Guards against an incarnation below its predecessor's when the host's wall
// clock is behind.
TEST_CASE("a registered number is always raised above its predecessor")
{
    world w;
    registration_record far;
    far.incarnation = incarnation{1} << 62;
    far.run = "another";
    far.info = endpoint_named("e");
    w.table.commit({{"endpoint/e", encode(far), {}}}, {}, [](auto const&) {});
    run& r = w.start();
    w.scheduler.advance(seconds(2));
    REQUIRE(r.member.current() == far.incarnation + 1);
    REQUIRE(r.seen == std::vector<incarnation>{far.incarnation + 1});
}

// Guards against an earlier run that was paused before it could register and
// takes the row from the run that replaced it; but a silent rival must not
// keep a run out for ever.
TEST_CASE("an unregistered run gives way to a later one that is alive")
{
    auto const later_dies = GENERATE(false, true);
    world w;
    w.table.current = store_mode::down;
    run& first = w.start();
    w.scheduler.advance(seconds(2));
    first.process.pause();
    w.table.current = store_mode::normal;
    run& second = w.start();
    w.scheduler.advance(seconds(20));
    if (later_dies)
        second.process.pause();
    first.process.resume();
    w.scheduler.advance(seconds(60));
    REQUIRE(first.member.superseded() != later_dies);
    REQUIRE(first.member.confirmed() == later_dies);
    REQUIRE(second.member.confirmed());
    if (later_dies)
        REQUIRE(first.member.current() > second.member.current());
}

// Guards against new work more than 3 s after a drain was recorded (G6), also
// when the read that should show it fails.
TEST_CASE("a drain is seen within three seconds")
{
    auto const offset = GENERATE(0, 250, 500, 900, 1300, 1700, 1999);
    auto const broken = GENERATE(0u, 1u);
    auto const mode = GENERATE(from_range(faults));
    world w;
    run& r = w.start();
    w.scheduler.advance(seconds(4) + milliseconds(offset));
    w.want_drain(true);
    r.process.fail_calls(r.process.calls(), broken, mode);
    w.scheduler.advance(seconds(3));
    REQUIRE(r.drained);
    REQUIRE_FALSE(r.member.may_offer());
    w.want_drain(false);
    w.scheduler.advance(seconds(3));
    REQUIRE_FALSE(r.drained);
    REQUIRE(r.member.may_offer());
}

// Guards against an agent that wakes from a pause and offers before it knows
// that it was drained meanwhile, also when a stale answer arrives first.
TEST_CASE("no offer after a pause before the desired state was read")
{
    auto const in_flight = GENERATE(false, true);
    auto const outage = GENERATE(false, true);
    world w;
    run& r = w.start();
    w.scheduler.advance(seconds(4));
    if (in_flight) // pause with a read under way
    {
        std::size_t const calls = r.process.calls();
        REQUIRE(w.scheduler.run_until(
            [&] { return r.process.calls() > calls; }, seconds(5)));
    }
    r.process.pause();
    w.scheduler.advance(seconds(30));
    w.want_drain(true);
    REQUIRE_FALSE(r.member.may_offer());
    if (outage)
        w.table.current = store_mode::down;
    r.process.resume();
    REQUIRE_FALSE(r.member.may_offer());
    w.scheduler.advance(milliseconds(100));
    // In an outage the last known state stands: it must go on serving.
    REQUIRE(r.member.may_offer() == outage);
    w.table.current = store_mode::normal;
    w.scheduler.advance(seconds(3));
    REQUIRE(r.drained);
}

// Guards against an operator's drain that is forgotten in an outage, and
// against a restart of the agent that brings the endpoint back.
TEST_CASE("a drain lasts over outage and restart")
{
    world w;
    run& first = w.start();
    w.want_drain(true);
    w.scheduler.advance(seconds(3));
    w.table.current = store_mode::down;
    w.scheduler.advance(seconds(60));
    REQUIRE(first.drained);
    first.process.pause();
    w.table.current = store_mode::normal;
    run& second = w.start();
    w.scheduler.advance(milliseconds(100));
    REQUIRE(second.drained);
}

// Guards against heartbeats beyond the store's budget, a row that does not
// show the progress of a drain, and a planned stop that leaves no trace or
// waits for a store that is away.
TEST_CASE("the row is refreshed, shows progress and is left as planned")
{
    world w;
    run& r = w.start();
    w.scheduler.advance(seconds(1));
    unsigned const before = w.table.commits;
    w.scheduler.advance(seconds(150));
    REQUIRE(w.table.commits - before >= 10);
    REQUIRE(w.table.commits - before <= 12);
    r.member.set_progress(true, 3);
    w.scheduler.advance(seconds(1));
    REQUIRE((w.row().draining && w.row().in_flight == 3));
    r.member.set_progress(true, 0);
    w.scheduler.advance(seconds(1));
    REQUIRE(w.row().in_flight == 0);
    row_version const changed = w.table.row_at(membership_changed_key).version;
    r.member.set_models({{"m", "", "2"}});
    w.scheduler.advance(seconds(1));
    REQUIRE(w.row().info.models[0].version == "2");
    REQUIRE(w.table.row_at(membership_changed_key).version > changed);
    bool const outage = GENERATE(false, true);
    if (outage)
        w.table.current = store_mode::silent;
    bool stopped = false;
    r.member.stop([&stopped] { stopped = true; });
    w.scheduler.advance(seconds(6));
    REQUIRE(stopped);
    REQUIRE(w.row().left != outage);
    REQUIRE(w.scheduler.pending() == 0);
}

// Guards against a view that forgets endpoints in an outage, misses changes,
// reads more than its budget or keeps dead endpoints for ever.
TEST_CASE("the membership view follows registrations and outlives outages")
{
    world w;
    run& e = w.start("e");
    w.start("f");
    w.scheduler.advance(seconds(2));
    simulated_process process(w.scheduler, w.table);
    seeded_random random(9);
    counter_registry counters;
    fake_fleet_view hosts(w.scheduler);
    membership_view view(
        w.scheduler, process, random, process, hosts, counters);
    std::size_t shown = 0;
    unsigned changes = 0;
    std::set<host_id> leaving;
    view.set_on_change(
        [&](std::vector<endpoint_info> const& all)
        {
            shown = all.size();
            ++changes;
        });
    view.set_on_leaving([&](std::set<host_id> const& all) { leaving = all; });
    view.start();
    w.scheduler.advance(seconds(1));
    REQUIRE(shown == 2);
    std::size_t const before = process.calls();
    w.scheduler.advance(seconds(100));
    REQUIRE(process.calls() - before <= 23); // small reads; heartbeats no scan
    REQUIRE(changes == 1);
    w.start("g");
    w.scheduler.advance(seconds(26));
    REQUIRE(shown == 3);
    auto const mode = GENERATE(from_range(faults));
    // The last scan before the outage sees the rows as they are after it.
    for (auto const& r : w.runs)
        r->process.set_store_fault(store_mode::down);
    w.table.commit({{membership_changed_key, "x", {}}}, {}, [](auto const&) {});
    w.scheduler.advance(seconds(26));
    w.table.current = mode;
    w.scheduler.advance(minutes(40));
    REQUIRE(shown == 3);
    w.table.current = store_mode::normal;
    w.scheduler.advance(seconds(12));
    REQUIRE(shown == 3);
    for (auto const& r : w.runs)
        r->process.set_store_fault(store_mode::normal);
    w.scheduler.advance(seconds(30));
    REQUIRE(shown == 3);
    hosts.result.hosts = {{host_id("h-f"), {}, {}, host_state::leaving}};
    e.process.pause(); // dies
    w.scheduler.advance(minutes(21));
    REQUIRE(shown == 2);
    REQUIRE(leaving == std::set<host_id>{host_id("h-f")});
    hosts.result = {store_status::unavailable, {}};
    w.scheduler.advance(seconds(10));
    REQUIRE(leaving.size() == 1);
}
