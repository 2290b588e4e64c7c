#include <catch2/catch.hpp>

#include <functional>
#include <iterator>
#include <optional>
#include <string>

#include "gateway/rollout_coordinator.hpp"
#include "gateway/rollout_peers.hpp"
#include "gateway/store_revision.hpp"
#include "rollout_fleet.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

struct fault
{
    char const* what;
    std::function<void(rollout_case&)> set;
    bool judged = true;     // a bad version is still detected
    bool in_time = true;    // the state is written by the deadline
    bool shortened = false; // the order ends early
};

bool between(int now, int from, int to)
{
    return now >= from && now < to;
}

fault const faults[] = {
    {"none", [](rollout_case&) {}},
    {"store down at the order", [](rollout_case& c)
     { c.store_down = [](int, int now) { return between(now, -10, 4000); }; }},
    {"store down during the canary phase", [](rollout_case& c)
     { c.store_down = [](int, int t) { return between(t, 6000, 15000); }; }},
    {"store down until the end",
     [](rollout_case& c)
     { c.store_down = [](int, int t) { return between(t, 500, 21000); }; },
     true, false},
    {"slow store", [](rollout_case& c) { c.store_delay_ms = 450; }},
    {"store loses responses", [](rollout_case& c) { c.lost_responses = 0.5; },
     true, false},
    {"five gateways cut off",
     [](rollout_case& c)
     {
         c.linked = [](int a, int b, int) { return a >= 5 && b >= 5; };
         c.store_down = [](int g, int) { return g < 5; };
     }},
    {"ten gateways cut off in the middle",
     [](rollout_case& c)
     {
         c.linked = [](int a, int b, int t)
         { return t < 8000 || (a < 10) == (b < 10); };
         c.store_down = [](int g, int t) { return t >= 8000 && g < 10; };
     }},
    {"no datagrams",
     [](rollout_case& c) { c.linked = [](int, int, int) { return false; }; },
     false},
    {"eight gateways frozen",
     [](rollout_case& c) {
         c.frozen = [](int g, int t)
         { return g < 8 && between(t, 9000, 13000); };
     }},
    {"one gateway restarts", [](rollout_case& c)
     { c.restarts = [](int g, int t) { return g == 3 && t == 10000; }; }},
    {"all gateways restart",
     [](rollout_case& c)
     { c.restarts = [](int, int t) { return t == 10000; }; },
     true, true, true},
};

} // namespace

// Versions of the candidate; times of the orders of `rollout_case`.
namespace
{

struct candidate
{
    char const* what;
    double failing;
    double slower;
    int from_ms;
};

rollout_case case_of(candidate const& v, double per_second)
{
    rollout_case c;
    c.failing = v.failing;
    c.slower = v.slower;
    c.bad_from_ms = v.from_ms;
    c.per_second = per_second;
    return c;
}

} // namespace

// Guards against gateways that expose a bad version beyond the bound, in sum,
// or do not end an order, when a part of the platform fails.
TEST_CASE("a fleet ends an order within its bounds", "[rollout]")
{
    auto const v = GENERATE(
        candidate{"good", 0, 1, 0}, candidate{"fails", 0.5, 1, 0},
        candidate{"slow", 0, 4, 0}, candidate{"fails from 8 s", 0.5, 1, 8000},
        candidate{"fails in the shift", 0.5, 1, 18800});
    auto const number = GENERATE(range(0, int(std::size(faults))));
    auto const& f = faults[number];
    CAPTURE(v.what, f.what);
    auto c = case_of(v, 200);
    f.set(c);
    rollout_fleet fleet(c, unsigned(1 + number));
    fleet.run();
    CAPTURE(fleet.requests, fleet.exposed, fleet.bad_answers, fleet.ended_ms);
    REQUIRE(fleet.row);
    // Without datagrams, a gateway that reaches a verdict after the completion
    // learns of the completion from the store.
    CHECK(fleet.unserved <= (f.judged ? 0 : 100));
    if (v.failing == 0 && v.slower == 1)
    {
        CHECK(fleet.row->state == rollout_state::completed);
        CHECK((fleet.ended_ms <= c.length_ms || !f.in_time));
        return;
    }
    CHECK(fleet.within_share());
    CHECK(fleet.exposed_late == 0);
    // Without datagrams, each gateway knows its own answers only. After a
    // restart of all, the order ends before this version turns bad.
    bool const ended_before = f.shortened && v.from_ms > 15000;
    if (!f.judged || ended_before)
        return;
    CHECK(fleet.row->state == rollout_state::rolled_back);
    CHECK(fleet.exposed_after_end == 0);
}

// Few requests are no reason to wait beyond the deadline, and to expose a bad
// version to more of them.
TEST_CASE("a fleet ends an order at low traffic", "[rollout]")
{
    struct row
    {
        double per_second;
        int length_ms;
        candidate version;
        rollout_state state;
    };
    candidate const good{"good", 0, 1, 0};
    auto const completed = rollout_state::completed;
    auto const rolled_back = rollout_state::rolled_back;
    auto const r = GENERATE_COPY(
        row{0, 10000, good, completed}, row{0.2, 10000, good, completed},
        row{5, 20000, good, completed}, row{5, 2000, good, completed},
        row{200, 1000, good, completed}, row{20, 60000, good, completed},
        row{5, 60000, {"fails", 0.5, 1, 0}, rolled_back},
        row{5, 60000, {"slow", 0, 8, 0}, rolled_back},
        row{20, 20000, {"fails", 0.5, 1, 0}, rolled_back},
        row{20, 20000, {"slow", 0, 2, 0}, rolled_back},
        row{20, 6000, {"fails", 0.5, 1, 0}, rolled_back});
    CAPTURE(r.per_second, r.length_ms, r.version.what);
    auto c = case_of(r.version, r.per_second);
    c.length_ms = r.length_ms;
    rollout_fleet fleet(c, 3);
    fleet.run();
    CAPTURE(fleet.requests, fleet.exposed, fleet.ended_ms);
    REQUIRE(fleet.row);
    CHECK(fleet.row->state == r.state);
    CHECK(fleet.ended_ms <= r.length_ms);
    CHECK((r.state == completed || fleet.within_share()));
}

// Completing such an order would stop the only endpoints that serve.
TEST_CASE("an order without candidates is rolled back", "[rollout]")
{
    struct row
    {
        char const* what;
        int from_ms; // time without candidates
        int to_ms;
        rollout_state state;
    };
    auto const r = GENERATE(
        row{"never appear", -5000, 30000, rollout_state::rolled_back},
        row{"appear late", -5000, 12000, rollout_state::completed},
        row{"crash for a time", 5000, 9000, rollout_state::completed},
        row{"leave", 5000, 30000, rollout_state::rolled_back},
        row{"leave in the shift", 18900, 30000, rollout_state::rolled_back});
    CAPTURE(r.what);
    rollout_case c;
    c.candidates = [&](int now)
    { return std::size_t(between(now, r.from_ms, r.to_ms) ? 0 : 6); };
    rollout_fleet fleet(c, 5);
    fleet.run();
    REQUIRE(fleet.row);
    CHECK(fleet.row->state == r.state);
    CHECK(fleet.ended_ms <= c.length_ms);
}

// One gateway ----------------------------------------------------------------

namespace
{

service_name const api("api");

struct one_gateway
{
    explicit one_gateway(bool enabled = true)
    {
        rollout_settings s;
        s.enabled = enabled;
        c.set_settings(s);
    }

    void order(
        std::string const& to, std::uint64_t revision, int now,
        int length_ms = 20000)
    {
        c.on_order(
            {api, to, milliseconds(length_ms), revision, at(now)}, at(now));
    }

    void update(endpoints_by_version const& e, int now)
    {
        listed = e;
        c.update({{api, e}}, at(now));
    }

    // The version that a request uses; empty: any.
    std::string version(int now)
    {
        auto const choice = c.choose(api, listed, at(now));
        return choice.kind == version_choice::rule::any ? "" : choice.version;
    }

    // Number of 200 requests that use the version.
    int uses(std::string const& version, int now)
    {
        int n = 0;
        for (int i = 0; i < 200; ++i)
        {
            c.on_request(api, at(now));
            auto const v = this->version(now);
            c.on_attempt(api, v, at(now));
            n += v == version ? 1 : 0;
        }
        return n;
    }

    void peer(
        rollout_state state, std::uint64_t revision, int now,
        std::string const& to = "v2")
    {
        rollout_evidence e;
        e.status = {api, to, state, revision};
        c.on_evidence(host_id("peer"), e, at(now));
    }

    silent_log log;
    rollout_coordinator c{rollout_settings{}, log};
    endpoints_by_version listed;
};

endpoints_by_version const old_only{{"v1", {6, 0}}};
endpoints_by_version const both{{"v1", {6, 0}}, {"v2", {6, 0}}};

} // namespace

// Endpoints of a new version are listed before the order is known.
TEST_CASE("the current version serves without an order", "[rollout]")
{
    struct row
    {
        char const* what;
        endpoints_by_version before;
        endpoints_by_version listed;
        char const* version; // empty: any
    };
    auto const r = GENERATE(
        row{"one version", old_only, old_only, ""},
        row{"a second one", old_only, both, "v1"},
        row{"more of the second",
            old_only,
            {{"v1", {2, 0}}, {"v2", {6, 0}}},
            "v1"},
        row{"none ready", old_only, {{"v1", {0, 0}}, {"v2", {6, 0}}}, "v1"},
        row{"only another", old_only, {{"v2", {6, 0}}}, ""},
        row{"two others", old_only, {{"v2", {1, 0}}, {"v3", {2, 0}}}, "v3"},
        row{"unknown before", {}, {{"v1", {3, 0}}, {"v2", {6, 0}}}, "v2"},
        row{"no version", {{"", {6, 0}}}, {{"", {6, 0}}}, ""});
    CAPTURE(r.what);
    one_gateway g;
    g.update(r.before, 0);
    g.update(r.listed, 100);
    CHECK(g.version(100) == r.version);
    CHECK(g.c.evidence(at(100)).empty());
    CHECK(g.c.unread_status().empty());
}

TEST_CASE("orders that move no traffic", "[rollout]")
{
    struct row
    {
        char const* what;
        std::function<void(one_gateway&)> give;
        bool moves = false;
        bool runs = false;
    };
    auto const r = GENERATE(
        row{"valid", [](one_gateway& g) { g.order("v2", 7, 0); }, true, true},
        row{"no duration", [](one_gateway& g) { g.order("v2", 7, 0, 0); }},
        row{"negative duration",
            [](one_gateway& g) { g.order("v2", 7, 0, -500); }},
        row{"no version", [](one_gateway& g) { g.order("", 7, 0); }},
        row{"unknown version", [](one_gateway& g) { g.order("v9", 7, 0); },
            false, true},
        row{"withdrawn",
            [](one_gateway& g)
            {
                g.order("v2", 7, 0);
                g.c.on_order_withdrawn(api, at(50));
            }},
        row{"replaced",
            [](one_gateway& g)
            {
                g.order("v2", 7, 0);
                g.order("v3", 8, 50);
            },
            false, true},
        row{"replaced by an invalid one",
            [](one_gateway& g)
            {
                g.order("v2", 7, 0);
                g.order("v2", 8, 50, 0);
            }},
        row{"an older one is read later",
            [](one_gateway& g)
            {
                g.order("v3", 8, 0);
                g.order("v2", 7, 50);
            },
            false, true},
        row{"a newer one is known from a peer",
            [](one_gateway& g)
            {
                g.order("v2", 7, 0);
                g.peer(rollout_state::running, 8, 50, "v3");
            }},
        row{"withdrawn, running at a peer",
            [](one_gateway& g)
            {
                g.order("v2", 7, 0);
                g.c.on_order_withdrawn(api, at(50));
                g.peer(rollout_state::running, 7, 60);
            }},
        row{"given again after an incomplete listing",
            [](one_gateway& g)
            {
                g.order("v2", 7, 0);
                g.c.on_order_withdrawn(api, at(50));
                g.order("v2", 7, 60);
            },
            true, true});
    CAPTURE(r.what);
    one_gateway g;
    g.update(both, -1000);
    g.update(old_only, -500);
    g.update(both, -100);
    r.give(g);
    g.update(both, 100);
    CHECK((g.uses("v2", 200) > 0) == r.moves);
    CHECK(g.c.running().empty() != r.runs);
}

// A message that is late must not send traffic back to a bad version.
TEST_CASE("states of an order merge by order and rank", "[rollout]")
{
    auto const running = rollout_state::running;
    auto const completed = rollout_state::completed;
    auto const rolled_back = rollout_state::rolled_back;
    struct row
    {
        rollout_state first;
        rollout_state second;
        std::uint64_t second_revision;
        char const* version; // that serves then
    };
    auto const r = GENERATE_COPY(
        row{rolled_back, running, 7, "v1"},
        row{rolled_back, completed, 7, "v1"},
        row{completed, rolled_back, 7, "v1"}, row{completed, running, 7, "v2"},
        row{rolled_back, completed, 6, "v1"},
        row{rolled_back, completed, 8, "v2"});
    one_gateway g;
    g.update(old_only, -1000);
    g.order("v2", 7, 0);
    g.update(both, 0);
    g.peer(r.first, 7, 100);
    CHECK(g.c.take_urgent());
    CHECK_FALSE(g.c.take_urgent());
    g.peer(r.second, r.second_revision, 200);
    g.update(both, 300);
    CHECK(g.version(300) == r.version);
    CHECK(
        g.c.allowed(api, "v2", both, at(300)) ==
        (r.version == std::string("v2")));
    // Without endpoints of the current version, a bad one stays unused, unless
    // the old endpoints stopped as the order was completed.
    g.update({{"v2", {6, 0}}}, 400);
    bool const stopped = r.first == completed ||
                         (r.second == completed && r.second_revision == 7);
    bool const alone = r.version == std::string("v2") || stopped;
    CHECK((g.version(400) != "v1") == alone);
}

// A gateway that starts during an order must not begin it again.
TEST_CASE("a started gateway learns how far an order is", "[rollout]")
{
    struct row
    {
        char const* what;
        std::optional<rollout_state> stored;
        bool read;
        std::optional<int> peer_elapsed_ms;
        bool canary;
        bool shifts; // 5 s later
    };
    auto const r = GENERATE(
        row{"nothing known", std::nullopt, false, std::nullopt, false, false},
        row{"no row", std::nullopt, true, std::nullopt, true, true},
        row{"running", rollout_state::running, true, std::nullopt, true, true},
        row{"rolled back", rollout_state::rolled_back, true, std::nullopt,
            false, false},
        row{"a peer knows", std::nullopt, false, 3000, true, false});
    CAPTURE(r.what);
    one_gateway g;
    g.update(both, 0);
    g.c.on_order({api, "v2", milliseconds(20000), 7, steady_time{}}, at(0));
    CHECK(g.c.unread_status().size() == 1);
    if (r.peer_elapsed_ms)
    {
        rollout_evidence e;
        e.status = {api, "v2", rollout_state::running, 7};
        e.elapsed = milliseconds(*r.peer_elapsed_ms);
        g.c.on_evidence(host_id("peer"), e, at(50));
    }
    if (r.read)
    {
        std::optional<rollout_status> status;
        if (r.stored)
            status = rollout_status{api, "v2", *r.stored, 7};
        g.c.on_status_row(api, status, status ? 4 : 0, at(60));
        CHECK(g.c.unread_status().empty());
    }
    g.update(both, 100);
    CHECK((g.uses("v2", 200) > 0) == r.canary);
    g.update(both, 5000);
    CHECK((g.uses("v2", 5000) == 200) == r.shifts);
}

TEST_CASE("writes of the status are conditional and repeated", "[rollout]")
{
    one_gateway g;
    g.update(both, -100);
    g.order("v2", 7, 0);
    CHECK_FALSE(g.c.due_write(api, 0, at(0))); // not read yet
    g.c.on_status_row(
        api, rollout_status{api, "v1", rollout_state::completed, 5}, 11, at(0));
    CHECK_FALSE(g.c.due_write(api, 1, at(299)));
    auto const first = g.c.due_write(api, 0, at(0));
    REQUIRE(first);
    CHECK(first->expected_revision == 11);
    CHECK(first->status.state == rollout_state::running);
    CHECK_FALSE(g.c.due_write(api, 0, at(200)));
    CHECK(g.c.due_write(api, 0, at(250))); // no response
    g.c.on_status_row(api, first->status, 12, at(300));
    CHECK_FALSE(g.c.due_write(api, 0, at(900)));

    g.peer(rollout_state::rolled_back, 7, 1000);
    CHECK_FALSE(g.c.due_write(api, 2, at(1500)));
    auto const verdict = g.c.due_write(api, 2, at(1600));
    REQUIRE(verdict);
    CHECK(verdict->expected_revision == 12);
    CHECK(verdict->status.state == rollout_state::rolled_back);
}

// Revisions begin again when the store loses its history.
TEST_CASE("a status row of a store without history is taken", "[rollout]")
{
    one_gateway g;
    g.update(both, -100);
    g.order("v2", 7, 0);
    rollout_status const running{api, "v2", rollout_state::running, 7};
    g.c.on_status_row(api, running, 900, at(0));
    g.c.on_status_row(api, std::nullopt, 3, at(1999)); // overtaken
    CHECK_FALSE(g.c.due_write(api, 0, at(1999)));
    g.c.on_status_row(api, std::nullopt, 3, at(2001));
    auto const write = g.c.due_write(api, 0, at(2001));
    REQUIRE(write);
    CHECK(write->expected_revision == 3);
}

// Guards against an order that begins again, or a verdict that is forgotten,
// when the store is restored and the order's row gets another revision there.
TEST_CASE("an order outlasts a restoration of the store", "[rollout]")
{
    auto const in_era = [](std::uint64_t era, std::uint64_t version)
    { return make_store_revision(era, version); };
    auto const running = rollout_state::running;
    auto const rolled_back = rollout_state::rolled_back;
    struct row
    {
        char const* what;
        rollout_state known;
        std::optional<rollout_state> peer; // that read the restored row before
        rollout_state expected;
        int length_ms; // in the restored row
        bool same_order;
    };
    auto const r = GENERATE_COPY(
        row{"running", running, std::nullopt, running, 20000, true},
        row{"ended", rolled_back, std::nullopt, rolled_back, 20000, true},
        row{"a peer does not know", rolled_back, running, rolled_back, 20000,
            true},
        row{"a peer knows", running, rolled_back, rolled_back, 20000, true},
        row{"another order", rolled_back, std::nullopt, running, 30000, false});
    CAPTURE(r.what);
    one_gateway g;
    g.update(old_only, -1000);
    g.order("v2", in_era(1, 7), 0);
    g.c.on_status_row(
        api, rollout_status{api, "v2", running, in_era(1, 7)}, in_era(1, 8),
        at(0));
    if (r.known == rolled_back)
        g.peer(rolled_back, in_era(1, 7), 100);
    if (r.peer)
        g.peer(*r.peer, in_era(2, 5), 200);
    rollout_order restored{
        api, "v2", milliseconds(r.length_ms), in_era(2, 5), at(0)};
    CHECK(g.c.on_order(restored, at(300)) == !r.same_order);
    CHECK(g.c.unread_status().size() == (r.same_order ? 1 : 0));
    g.c.on_status_row(
        api, rollout_status{api, "v2", running, in_era(1, 7)}, in_era(2, 6),
        at(400));
    g.update(both, 2500);
    auto const write = g.c.due_write(api, 0, at(2500));
    REQUIRE(write);
    CHECK(write->expected_revision == in_era(2, 6));
    CHECK(write->status.order_revision == in_era(2, 5));
    CHECK(write->status.state == r.expected);
}

TEST_CASE("disabled rollouts cost nothing", "[rollout]")
{
    one_gateway g(false);
    g.update(both, 0);
    g.order("v2", 7, 0);
    g.peer(rollout_state::rolled_back, 7, 10);
    g.update(both, 100);
    CHECK(g.version(100).empty());
    CHECK(g.c.evidence(at(100)).empty());
    CHECK(g.c.unread_status().empty());
    CHECK(g.c.running().empty());
    CHECK_FALSE(g.c.due_write(api, 0, at(5000)));
}

// One prompt that crashes an endpoint ends all its connections.
TEST_CASE("connections lost together count once", "[rollout]")
{
    one_gateway g;
    g.update(both, -100);
    g.order("v2", 7, 0);
    version_answer lost{"/r", "v2", false, true, {}};
    for (int ms : {0, 0, 0, 400, 900, 1000, 1001})
        g.c.on_answer(api, lost, at(ms));
    auto const evidence = g.c.evidence(at(1100));
    REQUIRE(evidence.size() == 1);
    CHECK(evidence[0].counts.candidate.at("/r").lost == 2);
}

// Good answers of the first half hid the failures of the second.
TEST_CASE(
    "a version that turns bad late is judged by late answers", "[rollout]")
{
    one_gateway g;
    g.update(both, -100);
    g.order("v2", 7, 0, 60000);
    auto const answer =
        [&](std::string const& version, int number, int failed, int now)
    {
        for (int i = 0; i < number; ++i)
            g.c.on_answer(
                api, {"/r", version, i < failed, false, milliseconds(30)},
                at(now));
    };
    answer("v1", 3000, 90, 100);
    answer("v2", 200, 6, 100);
    for (int now = 1000; now < 40000; now += 250)
        g.update(both, now);
    REQUIRE(g.c.running().size() == 1);
    answer("v1", 300, 9, 40000);
    answer("v2", 12, 8, 40000);
    for (int now = 40000; now < 41500; now += 250)
        g.update(both, now);
    CHECK(g.c.running().empty());
    CHECK(g.version(41500) == "v1");
}

// A restarted peer begins its counts again; its earlier ones still count.
TEST_CASE("counts of a peer outlast its restart", "[rollout]")
{
    struct row
    {
        char const* what;
        int second_at_ms;
        std::uint64_t second;
        std::uint64_t sum;
    };
    auto const r = GENERATE(
        row{"grown", 250, 30, 30}, row{"overtaken", 200, 10, 20},
        row{"restarted", 1200, 1, 21},
        row{"grown after a pause", 5000, 20, 20});
    CAPTURE(r.what);
    auto const report = [](std::uint64_t answers)
    {
        rollout_peers::report result;
        result.counts.candidate["/r"].answers = answers;
        return result;
    };
    rollout_peers peers;
    peers.on_report(host_id("p"), report(20), at(0));
    peers.on_report(host_id("p"), report(r.second), at(r.second_at_ms));
    version_counts sum;
    peers.add_counts(sum);
    CHECK(sum.total() == r.sum);
    CHECK(peers.heard(at(r.second_at_ms + 2500)) == 1);
    CHECK(peers.heard(at(r.second_at_ms + 2501)) == 0);
}

// A gateway that hears nobody might miss a verdict.
TEST_CASE("a gateway that is cut off sends no canary traffic", "[rollout]")
{
    one_gateway g;
    g.c.set_fleet_size(3);
    g.update(both, -100);
    g.order("v2", 7, 0);
    g.update(both, 0);
    CHECK(g.uses("v2", 100) == 0); // nobody heard yet
    g.peer(rollout_state::running, 7, 200);
    CHECK(g.uses("v2", 2700) > 0);
    CHECK(g.uses("v2", 2701) == 0);
    CHECK(g.uses("v2", 19500) == 0); // in the shift
    g.c.on_status_row(
        api, rollout_status{api, "v2", rollout_state::running, 7}, 3,
        at(19500));
    CHECK(g.uses("v2", 19600) == 200);
}
