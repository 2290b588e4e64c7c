// Index: endpoint table; health; selection; zones; prompt caches.
#include <catch2/catch.hpp>

#include <functional>
#include <map>

#include "gateway/peer_group.hpp"
#include "gateway/prompt_cache_index.hpp"
#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// A service in three zones with `endpoints_per_zone` endpoints per zone.
struct fleet
{
    explicit fleet(int endpoints_per_zone)
    {
        for (auto const* zone : {"a1", "a2", "b1"})
        {
            for (int i = 0; i < endpoints_per_zone; ++i)
                table.put(endpoint(zone + std::to_string(i), zone), at(0));
        }
    }

    endpoint_ptr choose(endpoint_requirements const& w, int now = 0) const
    {
        auto const e = engine();
        return selection.choose(w, &e, at(now));
    }

    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads peers;
    endpoint_selector selection{table, zones, peers, test_location()};
};

endpoint_reservation reserve_run(endpoint_ptr const& e)
{
    return endpoint_reservation(e, {1, 8650, 0});
}

} // namespace

// Endpoint table ------------------------------------------------------------

// Guards against sending work to an endpoint that the platform reported as
// leaving, and against losing a service whose rows briefly expire.
TEST_CASE("a leaving endpoint is a last resort for a while", "[endpoints]")
{
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads const peers;
    endpoint_selector selection(table, zones, peers, test_location());
    auto const e = engine();
    table.put(endpoint("one", "a1"), at(0));
    table.put(endpoint("two", "a1"), at(0));
    auto const departure =
        GENERATE(as<std::string>{}, "removed", "draining", "unlisted");
    if (departure == "removed")
        table.remove(endpoint_id("one"), at(100));
    else if (departure == "unlisted")
        table.keep_only({"two"}, at(100));
    else
    {
        auto r = endpoint("one", "a1");
        r.draining = true;
        table.put(r, at(100));
    }
    for (int i = 0; i < 20; ++i)
    {
        auto const chosen =
            selection.choose(prompt(std::to_string(i)), &e, at(200));
        REQUIRE(chosen->record().id.value() == "two");
    }
    table.remove(endpoint_id("two"), at(1000));
    REQUIRE(selection.choose(prompt(), &e, at(2000)) != nullptr);
    REQUIRE(
        selection.choose(prompt(), &e, at(2500))->record().id.value() == "two");
    REQUIRE(selection.choose(prompt(), &e, at(3001)) == nullptr);
}

TEST_CASE("an endpoint whose row returns is kept", "[endpoints]")
{
    endpoint_table table{milliseconds(2000)};
    table.put(endpoint("one", "a1"), at(0));
    table.remove(endpoint_id("one"), at(100));
    table.put(endpoint("one", "a1"), at(1500));
    table.remove_unused(at(5000));
    REQUIRE(table.size() == 1);
    REQUIRE_FALSE(table.find(endpoint_id("one"))->leaving());
}

// Guards against requests past the drain bound, as the store was restored from
// a backup in which the endpoint does not leave yet.
TEST_CASE("no row brings a draining endpoint back", "[endpoints]")
{
    struct row
    {
        char const* name;
        std::uint64_t incarnation_before;
        std::uint64_t incarnation_after;
        bool leaving;
    };
    auto const r = GENERATE(
        row{"same incarnation", 1000, 1000, true},
        row{"restarted", 1000, 2000, false}, row{"not known", 0, 0, false});
    CAPTURE(r.name);
    endpoint_table table{milliseconds(2000)};
    auto record = endpoint("one", "a1");
    record.incarnation_start = r.incarnation_before;
    record.draining = true;
    table.put(record, at(0));
    record.incarnation_start = r.incarnation_after;
    record.draining = false;
    for (int i = 0; i < 2; ++i)
    {
        table.put(record, at(500));
        auto const known = table.find(record.id);
        REQUIRE(known->leaving() == r.leaving);
        REQUIRE(known->has_left(at(2000)) == r.leaving);
    }
}

// A short interruption of this gateway's reading let it use a removed endpoint
// past the drain bound: 3,972 ms after the removal, with a bound of 4,000 ms
// and a margin of 500 ms. A long one must not take the endpoints whose rows
// expired meanwhile out of service before the rows return.
TEST_CASE("a removal counts from the last proof if it can", "[endpoints]")
{
    struct row
    {
        int bound;
        int interruption; // -1: none; the removal is read 300 ms after the
                          // proof
        int usable_until; // after the last proof
    };
    constexpr int margin = 500;
    auto const r = GENERATE(
        row{4000, -1, 3500}, row{4000, 0, 3500}, row{4000, 500, 3500},
        row{4000, 1500, 3500}, row{4000, 1600, 3600}, row{4000, 2000, 4000},
        row{4000, 5000, 7000}, row{4000, 60000, 62000}, row{2500, 0, 2000},
        row{2500, 500, 2500}, row{2500, 5000, 7000},
        // A period below the return window is never exceeded.
        row{2000, 500, 2000}, row{2000, 5000, 6500});
    CAPTURE(r.bound, r.interruption);
    endpoint_table table{milliseconds(r.bound - margin)};
    endpoint_id const id("one");
    table.put(endpoint("one", "a1"), at(-1000));
    int const now = r.interruption < 0 ? 300 : r.interruption;
    auto const at_once = table.removed_at(at(0), r.interruption >= 0, at(now));
    bool const by_listing = GENERATE(true, false);
    if (by_listing)
        table.keep_only({}, at_once);
    else
        table.remove(id, at_once);
    REQUIRE_FALSE(table.find(id)->has_left(at(r.usable_until - 1)));
    REQUIRE(table.find(id)->has_left(at(r.usable_until)));
    auto const window = int(endpoint_table::row_return_window.count());
    if (r.interruption <= r.bound - margin - window)
        REQUIRE(r.usable_until <= r.bound - margin);
    if (r.bound - margin >= window && r.interruption >= 0)
        REQUIRE(r.usable_until >= r.interruption + window);
}

// Guards against requests past the drain bound to an endpoint whose answers say
// that it is leaving, while its row says otherwise.
TEST_CASE("no row revokes an announced departure", "[endpoints]")
{
    struct row
    {
        char const* name;
        int forgotten_at;                               // 0: never
        std::function<void(endpoint_table&)> after_100; // and before 400
        bool leaving;
        int left_at;
    };
    auto const ready = endpoint("one", "a1");
    auto draining = ready;
    draining.draining = true;
    auto restarted = ready;
    restarted.incarnation_start = 1;
    auto const r = GENERATE_COPY(
        row{"no change", 0, [](endpoint_table&) {}, true, 2100},
        row{"ready again", 0, [=](auto& t) { t.put(ready, at(200)); }, true,
            2100},
        row{"draining before", 0, [=](auto& t) { t.put(draining, at(-500)); },
            true, 1500},
        row{"draining, then ready", 0,
            [=](auto& t)
            {
                t.put(draining, at(-500));
                t.put(ready, at(200));
            },
            true, 2100},
        row{"announced again", 0,
            [=](auto& t) { t.find(ready.id)->announce_leaving(at(2300)); },
            true, 2100},
        row{"row returned late", 3000,
            [=](auto& t) { t.remove(ready.id, at(200)); }, true, 2100},
        row{"new incarnation", 0, [=](auto& t) { t.put(restarted, at(200)); },
            false, 0});
    CAPTURE(r.name);
    endpoint_table table{milliseconds(2000)};
    table.put(ready, at(0));
    REQUIRE(
        table.find(ready.id)->announce_leaving(at(100) + milliseconds(2000)));
    r.after_100(table);
    if (r.forgotten_at > 0)
    {
        table.remove_unused(at(r.forgotten_at));
        table.put(ready, at(r.forgotten_at));
    }
    auto const e = table.find(ready.id);
    REQUIRE(e->leaving() == r.leaving);
    REQUIRE_FALSE(e->has_left(at(r.leaving ? r.left_at - 1 : 100000)));
    REQUIRE(e->has_left(at(r.left_at)) == r.leaving);
}

// Guards against growth with the number of incarnations that ever announced.
TEST_CASE("an announced departure is forgotten in the end", "[endpoints]")
{
    endpoint_table table{milliseconds(2000)};
    auto const ready = endpoint("one", "a1");
    table.put(ready, at(0));
    table.find(ready.id)->announce_leaving(at(2000));
    table.remove(ready.id, at(0));
    auto const end = at(2000) + endpoint_table::announcement_retention;
    table.remove_unused(end - milliseconds(1));
    REQUIRE(table.size() == 1);
    table.remove_unused(end);
    REQUIRE(table.size() == 0);
}

// Guards against requests to an endpoint during the time it asked to be left
// alone, by any of the ways in which endpoints are selected.
TEST_CASE("a paused endpoint is not even a last resort", "[endpoints]")
{
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads const peers;
    endpoint_selector selection(table, zones, peers, test_location());
    auto const e = engine();
    auto r = endpoint("one", "a1");
    table.put(r, at(0));
    auto const one = table.find(r.id);
    struct row
    {
        std::vector<std::pair<int, int>> pauses; // time, seconds
        int end;
    };
    auto const pauses = GENERATE(
        row{{{0, 5}}, 5000}, row{{{0, 5}, {1000, 2}}, 5000},
        row{{{0, 5}, {1000, 7}}, 8000}, row{{{0, 3600}}, 60000});
    for (auto const& [time, seconds] : pauses.pauses)
        one->pause(std::chrono::seconds(seconds), at(time));
    auto w = prompt();
    w.cached_endpoint = r.id;
    for (bool const paused : {true, false})
    {
        int const now = pauses.end - (paused ? 1 : 0);
        CAPTURE(now);
        REQUIRE((selection.choose(w, &e, at(now)) == nullptr) == paused);
        REQUIRE((selection.choose(w, nullptr, at(now)) == nullptr) == paused);
        REQUIRE(selection.likely_caches(w, 9, at(now)).empty() == paused);
        endpoint_state const primary(endpoint("two", "b1"));
        REQUIRE(
            (selection.choose_standby(w, e, primary, at(now)) == nullptr) ==
            paused);
        auto const end = selection.earliest_pause_end(r.service, at(now));
        REQUIRE(end.has_value() == paused);
        REQUIRE(end.value_or(at(pauses.end)) == at(pauses.end));
    }
    // The earliest end counts, unless that endpoint will have left.
    table.put(endpoint("three", "a1"), at(0));
    auto const three = table.find(endpoint_id("three"));
    REQUIRE_FALSE(selection.earliest_pause_end(r.service, at(2000)));
    three->pause(milliseconds(500), at(2000));
    REQUIRE(selection.earliest_pause_end(r.service, at(2000)) == at(2500));
    three->announce_leaving(at(2200));
    REQUIRE(
        selection.earliest_pause_end(r.service, at(2000)) == at(pauses.end));
    // A new incarnation asked for nothing.
    r.incarnation_start = 1;
    table.put(r, at(100));
    REQUIRE(selection.choose(w, &e, at(100)) != nullptr);
}

// A restarted endpoint has lost its state; earlier failures do not count for
// it.
TEST_CASE("a new incarnation has no history", "[endpoints]")
{
    endpoint_table table{milliseconds(2000)};
    auto r = endpoint("one", "a1");
    r.incarnation_start = 10;
    table.put(r, at(0));
    auto const old = table.find(r.id);
    old->record_outcome(attempt_outcome::lost, at(10));
    SECTION("with the same id")
    {
        r.incarnation_start = 20;
        table.put(r, at(20));
        REQUIRE(table.find(r.id) != old);
        REQUIRE_FALSE(table.find(r.id)->suspended(at(20)));
    }
    SECTION("with another id at the same address")
    {
        auto const address = r.address;
        r = endpoint("two", "a1");
        r.address = address;
        r.incarnation_start = 20;
        table.put(r, at(20));
        REQUIRE(old->has_left(at(20)));
        REQUIRE_FALSE(table.find(r.id)->has_left(at(20)));
    }
}

// Health ---------------------------------------------------------------------

TEST_CASE("suspension doubles while an endpoint keeps failing", "[endpoints]")
{
    endpoint_state e(endpoint("one", "a1"));
    int now = 0;
    for (int const expected : {400, 800, 1600, 3000, 3000})
    {
        e.record_outcome(attempt_outcome::unreachable, at(now));
        REQUIRE(e.suspended(at(now + expected - 1)));
        REQUIRE_FALSE(e.suspended(at(now + expected)));
        now += expected;
    }
    e.record_outcome(attempt_outcome::served, at(now));
    e.record_outcome(attempt_outcome::lost, at(now));
    REQUIRE_FALSE(e.suspended(at(now + 400)));
}

TEST_CASE("a reservation counts for its lifetime", "[endpoints]")
{
    auto const e = std::make_shared<endpoint_state>(endpoint("one", "a1"));
    {
        endpoint_reservation one(e, {1, 100, 50});
        endpoint_reservation two(std::move(one));
        two.prefill_done();
        REQUIRE(e->load.requests == 1);
        REQUIRE(e->load.memory_tokens == 100);
        REQUIRE(e->load.prefill_tokens == 0);
    }
    REQUIRE(e->load.requests == 0);
    REQUIRE(e->load.memory_tokens == 0);
}

// Selection -----------------------------------------------------------------

// Burst: prompts arrive while others are in prefill or running. No endpoint may
// prefill two prompts while another one prefills none.
TEST_CASE("prompts go to idle endpoints first", "[selection]")
{
    fleet f(4);
    std::vector<endpoint_reservation> held;
    std::map<std::string, int> reading;
    for (int i = 0; i < 12; ++i)
    {
        auto const chosen = f.choose(prompt("part" + std::to_string(i)));
        REQUIRE(chosen != nullptr);
        ++reading[chosen->record().id.value()];
        held.emplace_back(chosen, endpoint_state::workload{1, 8650, 8000});
    }
    REQUIRE(reading.size() == 12);
}

// A resumed answer must not wait behind new prompts.
TEST_CASE("a second prompt waits, a resumed answer does not", "[selection]")
{
    fleet f(1);
    std::vector<endpoint_reservation> held;
    for (auto const& e : f.table.of_service(service_name("llm")))
        held.emplace_back(e, endpoint_state::workload{1, 8650, 8000});
    auto w = prompt();
    REQUIRE(f.choose(w) == nullptr);
    w.resuming = true;
    REQUIRE(f.choose(w) != nullptr);
}

// Without their shares, the work of other gateways shows only in the endpoint's
// report.
TEST_CASE("reported work of other gateways uses capacity", "[selection]")
{
    fleet f(1);
    endpoint_report full;
    full.used_tokens = 70000;
    endpoint_report queued;
    queued.waiting = 1;
    auto const report = GENERATE_COPY(full, queued);
    for (auto const& e : f.table.of_service(service_name("llm")))
        e->record_report(report, at(0));
    REQUIRE(f.choose(prompt(), 100) == nullptr);
    REQUIRE(f.choose(prompt(), 1600) != nullptr); // the report is too old
}

// In a fleet of 68 gateways, each knew 40% of the work at an endpoint from the
// shares of its neighbours, and endpoints got twice the runs they can hold. The
// report that one gateway asks for counts for all.
TEST_CASE("reported runs of unknown gateways use slots", "[selection]")
{
    fleet f(1);
    auto const e = f.table.find(endpoint_id("a10"));
    endpoint_report report;
    report.running = 8; // as many as there are slots
    e->record_report(report, at(0));
    REQUIRE(f.choose(prompt(), 100)->record().id.value() != "a10");
    // Work known from a share is part of what the endpoint reports.
    load_share share;
    share.gateway = host_id("other");
    share.sequence = 1;
    share.loads = {{endpoint_id("a10"), {3, 0, 0}}};
    REQUIRE(f.peers.put(share, at(0)));
    REQUIRE(f.selection.total_load(*e, at(100)).requests == 8);
    // An older report that arrives later changes nothing.
    report.running = 1;
    e->record_report(report, at(-200));
    REQUIRE(f.selection.total_load(*e, at(100)).requests == 8);
    REQUIRE(e->recent_report(at(100))->running == 8);
    REQUIRE_FALSE(e->recent_report(at(1600)));
    REQUIRE(f.selection.total_load(*e, at(1600)).requests == 3);
}

// Without the exchange of loads, two gateways prefill their prompts at the same
// endpoints while others are idle.
TEST_CASE("prompts avoid endpoints that other gateways use", "[selection]")
{
    fleet f(1);
    load_share share;
    share.gateway = host_id("other");
    share.incarnation = 1;
    share.sequence = 1;
    share.loads = {{endpoint_id("a10"), {1, 8650, 8000}}};
    REQUIRE(f.choose(prompt())->record().id.value() == "a10");
    REQUIRE(f.peers.put(share, at(0)));
    REQUIRE(f.choose(prompt())->record().id.value() == "a20");
    REQUIRE_FALSE(f.peers.put(share, at(10))); // duplicate datagram
    share.sequence = 2;
    share.loads.clear();
    REQUIRE(f.peers.put(share, at(20)));
    REQUIRE(f.choose(prompt())->record().id.value() == "a10");
}

TEST_CASE("the load share of a silent gateway expires", "[selection]")
{
    peer_loads peers;
    load_share share;
    share.gateway = host_id("other");
    share.sequence = 5;
    share.loads = {{endpoint_id("e"), {2, 100, 50}}};
    REQUIRE(peers.put(share, at(0)));
    peers.expire(at(800));
    REQUIRE(peers.load_at(endpoint_id("e")).requests == 2);
    peers.expire(at(801));
    REQUIRE(peers.load_at(endpoint_id("e")).requests == 0);
    REQUIRE_FALSE(peers.put(share, at(900)));
}

// Shares of a gateway that restarts after its clock was set back must count,
// and a late datagram of the previous process must not block them.
TEST_CASE("a restarted gateway's shares count", "[peers]")
{
    peer_loads peers;
    load_share share;
    share.gateway = host_id("other");
    struct row
    {
        std::uint64_t incarnation;
        std::uint64_t sequence;
        bool counts;
    };
    for (auto const& r : std::initializer_list<row>{
             {100, 5, true},
             {100, 4, false}, // reordered
             {50, 1, true},   // restarted
             {100, 6, false}, // late, from the previous process
             {50, 2, true},
             {70, 1, true},   // restarted again
             {100, 7, true}}) // very late: looks like a restart
    {
        share.incarnation = r.incarnation;
        share.sequence = r.sequence;
        REQUIRE(peers.put(share, at(0)) == r.counts);
    }
    // The late datagram must not block the running process permanently.
    share.incarnation = 70;
    share.sequence = 2;
    REQUIRE_FALSE(peers.put(share, at(100)));
    peers.expire(at(900));
    share.sequence = 3;
    REQUIRE(peers.put(share, at(900)));
}

// A full mesh grows with the square of the number of gateways. In a group that
// is not symmetric, live gateways would be taken for lost.
TEST_CASE("loads are exchanged within a bounded, symmetric group", "[peers]")
{
    auto const gateways = GENERATE(2, 28, 33, 34, 300);
    std::set<std::string> all;
    for (int i = 0; i < gateways; ++i)
        all.insert("zone-" + std::to_string(i % 3) + "-" + std::to_string(i));
    auto const group_of = [&all](std::string const& self)
    {
        auto others = all;
        others.erase(self);
        return select_peer_group(others, self);
    };
    for (auto const& self : all)
    {
        auto const group = group_of(self);
        REQUIRE(
            group.size() ==
            std::min<std::size_t>(
                std::size_t(gateways - 1), max_peer_group_size));
        REQUIRE(group.count(self) == 0);
        for (auto const& other : group)
            REQUIRE(group_of(other).count(self) == 1);
    }
}

// Prefill slows running streams: a prompt goes where the fewest run.
TEST_CASE("prompts avoid endpoints with running streams", "[selection]")
{
    fleet f(2);
    auto const a = reserve_run(f.table.find(endpoint_id("a10")));
    auto const b = reserve_run(f.table.find(endpoint_id("a10")));
    auto const c = reserve_run(f.table.find(endpoint_id("a11")));
    auto const d = reserve_run(f.table.find(endpoint_id("a11")));
    auto const chosen = f.choose(prompt());
    REQUIRE(chosen->record().zone.value() == "a2");
}

TEST_CASE("a prompt goes where it is cached", "[selection]")
{
    fleet f(3);
    auto w = prompt();
    w.cached_endpoint = endpoint_id("b11");
    auto const busy = reserve_run(f.table.find(w.cached_endpoint));
    REQUIRE(f.choose(w)->record().id == w.cached_endpoint);
    f.table.find(w.cached_endpoint)
        ->record_outcome(attempt_outcome::lost, at(0));
    REQUIRE(f.choose(w)->record().id != w.cached_endpoint);
}

// Guards against prompts that overflow the memory of an endpoint, which then
// preempts running streams.
TEST_CASE("no endpoint is filled beyond its memory", "[selection]")
{
    fleet f(1);
    std::vector<endpoint_reservation> held;
    int placed = 0;
    while (auto const chosen = f.choose(prompt(std::to_string(placed))))
    {
        held.push_back(reserve_run(chosen));
        ++placed;
        REQUIRE(double(chosen->load.memory_tokens) <= 0.85 * 88000);
    }
    REQUIRE(placed == 3 * 8);
}

// The failure domain of a run is its zone: a copy in the same zone is lost with
// it.
TEST_CASE("the standby copy is in another, healthy zone", "[selection]")
{
    fleet f(3);
    auto const e = engine();
    for (auto const& primary : f.table.of_service(service_name("llm")))
    {
        auto const standby =
            f.selection.choose_standby(prompt(), e, *primary, at(0));
        REQUIRE(standby != nullptr);
        REQUIRE(standby->record().zone != primary->record().zone);
    }
    for (int i = 0; i < 3; ++i)
        f.zones.record_failure(
            f.table.find(endpoint_id("a2" + std::to_string(i)))->record(),
            at(10));
    auto const standby = f.selection.choose_standby(
        prompt(), e, *f.table.find(endpoint_id("a10")), at(20));
    REQUIRE(standby->record().zone.value() == "b1");
}

// Grey failure: short calls fail at an endpoint whose health check passes. They
// go elsewhere until it recovers.
TEST_CASE("short calls avoid failing endpoints", "[selection]")
{
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads const peers;
    endpoint_selector selection(table, zones, peers, test_location());
    for (auto const* zone : {"a1", "a2", "b1"})
    {
        table.put(endpoint(zone, zone, "app"), at(0));
        table.find(endpoint_id(zone))
            ->record_latency(std::chrono::milliseconds(15));
    }
    endpoint_requirements w;
    w.service = service_name("app");
    REQUIRE(selection.choose(w, nullptr, at(0))->record().zone.value() == "a1");
    auto const degraded = table.find(endpoint_id("a1"));
    degraded->record_outcome(attempt_outcome::lost, at(0));
    degraded->record_outcome(attempt_outcome::lost, at(0));
    REQUIRE(
        selection.choose(w, nullptr, at(5000))->record().zone.value() == "a2");
    for (int i = 0; i < 40; ++i)
        degraded->record_outcome(attempt_outcome::served, at(5000));
    REQUIRE(
        selection.choose(w, nullptr, at(5000))->record().zone.value() == "a1");
}

// Connections above an endpoint's limit are reset, and an at-most-once call
// cannot be retried after that.
TEST_CASE("a gateway keeps to its share of connections", "[selection]")
{
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads const peers;
    endpoint_selector selection(table, zones, peers, test_location());
    table.put(endpoint("a1", "a1", "app"), at(0));
    table.put(endpoint("a2", "a2", "app"), at(0));
    endpoint_requirements w;
    w.service = service_name("app");
    w.connection_limit = 3;
    std::vector<endpoint_reservation> held;
    while (auto const chosen = selection.choose(w, nullptr, at(0)))
    {
        held.emplace_back(chosen, endpoint_state::workload{1, 0, 0});
        REQUIRE(chosen->load.requests <= 3);
    }
    REQUIRE(held.size() == 6);
}

// Zones ----------------------------------------------------------------------

// A zone loses power: three failures make all of it suspect, except for an
// endpoint that was active since.
TEST_CASE("several failures make a zone suspect", "[zones]")
{
    fleet f(5);
    auto const e = [&f](int i)
    { return f.table.find(endpoint_id("a1" + std::to_string(i))); };
    REQUIRE_FALSE(f.zones.record_failure(e(0)->record(), at(0)));
    REQUIRE_FALSE(f.zones.record_failure(e(0)->record(), at(10)));
    REQUIRE_FALSE(f.zones.record_failure(e(1)->record(), at(20)));
    REQUIRE_FALSE(f.zones.is_suspect(*e(3), at(20)));
    REQUIRE(f.zones.record_failure(e(2)->record(), at(30)));
    REQUIRE(f.zones.is_suspect(*e(3), at(40)));
    e(4)->record_activity(at(50));
    REQUIRE_FALSE(f.zones.is_suspect(*e(4), at(60)));
    REQUIRE_FALSE(f.zones.is_suspect(*e(3), at(30 + 1300)));
    REQUIRE_FALSE(
        f.zones.is_suspect(*f.table.find(endpoint_id("a20")), at(40)));
}

TEST_CASE("failures far apart do not make a zone suspect", "[zones]")
{
    fleet f(5);
    for (int i = 0; i < 5; ++i)
    {
        auto const id = endpoint_id("a1" + std::to_string(i));
        REQUIRE_FALSE(
            f.zones.record_failure(f.table.find(id)->record(), at(i * 600)));
    }
}

// Prompt caches --------------------------------------------------------------

TEST_CASE("the endpoint that caches most of a part is found", "[cache]")
{
    prompt_cache_index index;
    index.put(endpoint_id("one"), {{"p", 4000}, {"shared", 200}}, at(0));
    index.put(endpoint_id("two"), {{"p", 8000}}, at(10));
    index.put(endpoint_id("three"), {{"p", 5000}}, at(20));
    REQUIRE(index.best_endpoint("p", at(30)).value() == "two");
    REQUIRE(index.best_endpoint("shared", at(30)).empty());
    REQUIRE(index.best_endpoint("p", at(10011)).empty());
    index.remove_expired(at(10011));
    REQUIRE(index.size() == 0);
}
