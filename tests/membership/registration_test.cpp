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

/// One run of an agent process with its registration.
struct registration_run
{
    registration_run(
        manual_scheduler& scheduler, fake_table_service& table,
        std::uint64_t seed, std::string const& name = "e")
        : process(scheduler, table), random(seed),
          member(
              endpoint_named(name), scheduler, process, random, process,
              counters)
    {
        member.set_on_incarnation([this](incarnation i)
                                  { incarnations.push_back(i); });
        member.set_on_drain([this](bool d) { drain_wanted = d; });
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    registration member;
    std::vector<incarnation> incarnations;
    bool drain_wanted = false;
};

struct registration_fixture
{
    registration_run& start(std::string const& name = "e")
    {
        runs.push_back(std::make_unique<registration_run>(
            scheduler, table, runs.size() + 1, name));
        runs.back()->member.start();
        return *runs.back();
    }

    void set_desired_drain(bool drain)
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
    std::vector<std::unique_ptr<registration_run>> runs;
};

std::vector<store_mode> const faults = {
    store_mode::down, store_mode::silent, store_mode::loses_answers,
    store_mode::applies_late};

} // namespace

// Guards against two runs with the same incarnation, an incarnation that falls,
// and a registration that never completes, when a store call fails at any step
// (read of the desired state, read of the own row, write, read after the
// write), once or several times in a row.
TEST_CASE("registration recovers from every store fault at every step")
{
    auto const call = GENERATE(range(std::size_t{0}, std::size_t{5}));
    auto const times = GENERATE(1u, 2u, 6u);
    auto const mode = GENERATE(from_range(faults));
    CAPTURE(call, times, static_cast<int>(mode));
    registration_fixture fixture;
    fixture.start();
    fixture.scheduler.advance(seconds(2));
    incarnation const first = fixture.runs[0]->member.current_incarnation();
    REQUIRE(fixture.runs[0]->member.confirmed());
    fixture.runs[0]->process.pause(); // dies
    registration_run& second = fixture.start();
    second.process.fail_calls(call, times, mode);
    fixture.scheduler.advance(seconds(1));
    REQUIRE(second.incarnations.size() == 1); // serves within a second
    fixture.scheduler.advance(seconds(60));
    REQUIRE(second.member.confirmed());
    REQUIRE(second.member.current_incarnation() > first);
    REQUIRE(second.incarnations.size() == 1); // confirmed without a change
    REQUIRE(fixture.row().incarnation == second.member.current_incarnation());
    // The first run was only paused: it finds its row replaced and stops.
    fixture.runs[0]->process.resume();
    fixture.scheduler.advance(seconds(5));
    REQUIRE(fixture.runs[0]->member.superseded());
    REQUIRE_FALSE(fixture.runs[0]->member.may_offer());
    REQUIRE(fixture.runs[0]->drain_wanted);
    fixture.scheduler.advance(seconds(60));
    REQUIRE(fixture.row().incarnation == second.member.current_incarnation());
}

// Guards against a fleet that cannot restart during a store outage, and against
// two runs with the same provisional incarnation.
TEST_CASE("a run that cannot reach the store serves provisionally")
{
    auto const mode = GENERATE(store_mode::down, store_mode::silent);
    registration_fixture fixture;
    fixture.table.current = mode;
    std::set<incarnation> numbers;
    for (int i = 0; i < 20; ++i)
    {
        if (i > 0)
            fixture.runs.back()->process.pause();
        registration_run& r = fixture.start();
        fixture.scheduler.advance(milliseconds(1100));
        REQUIRE(r.incarnations.size() == 1);
        REQUIRE_FALSE(r.member.confirmed());
        REQUIRE(r.member.may_offer());
        if (!numbers.empty())
            REQUIRE(r.incarnations[0] > *numbers.rbegin());
        numbers.insert(r.incarnations[0]);
    }
    fixture.table.current = store_mode::normal;
    fixture.scheduler.advance(seconds(20));
    REQUIRE(fixture.runs.back()->member.confirmed());
    REQUIRE(fixture.runs.back()->incarnations.size() == 1);
}

// Guards against an incarnation below the predecessor's if the wall clock of
// the host is behind.
TEST_CASE("registration raises the incarnation above its predecessor's")
{
    registration_fixture fixture;
    registration_record far;
    far.incarnation = incarnation{1} << 62;
    far.run_id = "another";
    far.info = endpoint_named("e");
    fixture.table.commit(
        {{"endpoint/e", encode(far), {}}}, {}, [](auto const&) {});
    registration_run& r = fixture.start();
    fixture.scheduler.advance(seconds(2));
    REQUIRE(r.member.current_incarnation() == far.incarnation + 1);
    REQUIRE(r.incarnations == std::vector<incarnation>{far.incarnation + 1});
}

// Guards against an earlier run that was paused before it could register and,
// once resumed, takes the row from the run that replaced it. A later run
// without heartbeats must not block the earlier one permanently.
TEST_CASE("an unregistered run yields to a later one that sends heartbeats")
{
    auto const later_dies = GENERATE(false, true);
    registration_fixture fixture;
    fixture.table.current = store_mode::down;
    registration_run& first = fixture.start();
    fixture.scheduler.advance(seconds(2));
    first.process.pause();
    fixture.table.current = store_mode::normal;
    registration_run& second = fixture.start();
    fixture.scheduler.advance(seconds(20));
    if (later_dies)
        second.process.pause();
    first.process.resume();
    fixture.scheduler.advance(seconds(60));
    REQUIRE(first.member.superseded() != later_dies);
    REQUIRE(first.member.confirmed() == later_dies);
    REQUIRE(second.member.confirmed());
    if (later_dies)
        REQUIRE(
            first.member.current_incarnation() >
            second.member.current_incarnation());
}

// Guards against new work more than 3 s after a drain was recorded (G6), also
// if the read that should return it fails.
TEST_CASE("a drain takes effect within three seconds")
{
    auto const offset = GENERATE(0, 250, 500, 900, 1300, 1700, 1999);
    auto const broken = GENERATE(0u, 1u);
    auto const mode = GENERATE(from_range(faults));
    registration_fixture fixture;
    registration_run& r = fixture.start();
    fixture.scheduler.advance(seconds(4) + milliseconds(offset));
    fixture.set_desired_drain(true);
    r.process.fail_calls(r.process.calls(), broken, mode);
    fixture.scheduler.advance(seconds(3));
    REQUIRE(r.drain_wanted);
    REQUIRE_FALSE(r.member.may_offer());
    fixture.set_desired_drain(false);
    fixture.scheduler.advance(seconds(3));
    REQUIRE_FALSE(r.drain_wanted);
    REQUIRE(r.member.may_offer());
}

// Guards against an agent that resumes from a pause and makes offers before it
// has read that it was drained meanwhile, also if a stale response arrives
// first.
TEST_CASE("no offer after a pause until the desired state was read")
{
    auto const in_flight = GENERATE(false, true);
    auto const outage = GENERATE(false, true);
    registration_fixture fixture;
    registration_run& r = fixture.start();
    fixture.scheduler.advance(seconds(4));
    if (in_flight) // pause while a read is in flight
    {
        std::size_t const calls = r.process.calls();
        REQUIRE(fixture.scheduler.run_until(
            [&] { return r.process.calls() > calls; }, seconds(5)));
    }
    r.process.pause();
    fixture.scheduler.advance(seconds(30));
    fixture.set_desired_drain(true);
    REQUIRE_FALSE(r.member.may_offer());
    if (outage)
        fixture.table.current = store_mode::down;
    r.process.resume();
    REQUIRE_FALSE(r.member.may_offer());
    fixture.scheduler.advance(milliseconds(100));
    // During a store outage the last known state is used, so it keeps serving.
    REQUIRE(r.member.may_offer() == outage);
    fixture.table.current = store_mode::normal;
    fixture.scheduler.advance(seconds(3));
    REQUIRE(r.drain_wanted);
}

// Guards against losing an operator's drain during a store outage or with a
// restart of the agent.
TEST_CASE("a drain persists through a store outage and a restart")
{
    registration_fixture fixture;
    registration_run& first = fixture.start();
    fixture.set_desired_drain(true);
    fixture.scheduler.advance(seconds(3));
    fixture.table.current = store_mode::down;
    fixture.scheduler.advance(seconds(60));
    REQUIRE(first.drain_wanted);
    first.process.pause();
    fixture.table.current = store_mode::normal;
    registration_run& second = fixture.start();
    fixture.scheduler.advance(milliseconds(100));
    REQUIRE(second.drain_wanted);
}

// Guards against more heartbeats than planned for the store, a row that does
// not show the progress of a drain, and a planned shutdown that is not recorded
// or waits for an unavailable store.
TEST_CASE("the row shows heartbeats, drain progress and a planned shutdown")
{
    registration_fixture fixture;
    registration_run& r = fixture.start();
    fixture.scheduler.advance(seconds(1));
    unsigned const before = fixture.table.commits;
    fixture.scheduler.advance(seconds(150));
    REQUIRE(fixture.table.commits - before >= 10);
    REQUIRE(fixture.table.commits - before <= 12);
    r.member.set_drain_progress(true, 3);
    fixture.scheduler.advance(seconds(1));
    REQUIRE((fixture.row().draining && fixture.row().in_flight == 3));
    r.member.set_drain_progress(true, 0);
    fixture.scheduler.advance(seconds(1));
    REQUIRE(fixture.row().in_flight == 0);
    row_version const changed =
        fixture.table.row_at(membership_changed_key).version;
    r.member.set_models({{"m", "", "2"}});
    fixture.scheduler.advance(seconds(1));
    REQUIRE(fixture.row().info.models[0].version == "2");
    REQUIRE(fixture.table.row_at(membership_changed_key).version > changed);
    bool const outage = GENERATE(false, true);
    if (outage)
        fixture.table.current = store_mode::silent;
    bool stopped = false;
    r.member.stop([&stopped] { stopped = true; });
    fixture.scheduler.advance(seconds(6));
    REQUIRE(stopped);
    REQUIRE(fixture.row().left != outage);
    REQUIRE(fixture.scheduler.pending() == 0);
}

// Guards against a view that drops endpoints during a store outage, misses
// changes, reads more than planned for the store or never drops dead endpoints.
TEST_CASE("the membership view follows registrations and survives outages")
{
    registration_fixture fixture;
    registration_run& e = fixture.start("e");
    fixture.start("f");
    fixture.scheduler.advance(seconds(2));
    simulated_process process(fixture.scheduler, fixture.table);
    seeded_random random(9);
    counter_registry counters;
    fake_fleet_view hosts(fixture.scheduler);
    membership_view view(
        fixture.scheduler, process, random, process, hosts, counters);
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
    fixture.scheduler.advance(seconds(1));
    REQUIRE(shown == 2);
    std::size_t const before = process.calls();
    fixture.scheduler.advance(seconds(100));
    // Only reads of one row: heartbeats cause no scan.
    REQUIRE(process.calls() - before <= 23);
    REQUIRE(changes == 1);
    fixture.start("g");
    fixture.scheduler.advance(seconds(26));
    REQUIRE(shown == 3);
    auto const mode = GENERATE(from_range(faults));
    // No row changes between the last scan before the outage and its end.
    for (auto const& r : fixture.runs)
        r->process.set_store_fault(store_mode::down);
    fixture.table.commit(
        {{membership_changed_key, "x", {}}}, {}, [](auto const&) {});
    fixture.scheduler.advance(seconds(26));
    fixture.table.current = mode;
    fixture.scheduler.advance(minutes(40));
    REQUIRE(shown == 3);
    fixture.table.current = store_mode::normal;
    fixture.scheduler.advance(seconds(12));
    REQUIRE(shown == 3);
    for (auto const& r : fixture.runs)
        r->process.set_store_fault(store_mode::normal);
    fixture.scheduler.advance(seconds(30));
    REQUIRE(shown == 3);
    hosts.result.hosts = {{host_id("h-f"), {}, {}, host_state::leaving}};
    e.process.pause(); // dies
    fixture.scheduler.advance(minutes(21));
    REQUIRE(shown == 2);
    REQUIRE(leaving == std::set<host_id>{host_id("h-f")});
    hosts.result = {store_status::unavailable, {}};
    fixture.scheduler.advance(seconds(10));
    REQUIRE(leaving.size() == 1);
}
