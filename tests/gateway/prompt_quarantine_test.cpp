// Index: keys; incidents and proofs; suspects; quarantines; exchange; bounds;
// zone loss; fleet; simulation.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "gateway/prompt_quarantine.hpp"
#include "gateway_fixture.hpp"
#include "prompt_fleet_simulation.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t bad = 1;
constexpr std::uint64_t base = 2; // in every prompt
constexpr std::uint64_t tools = 3;
constexpr std::uint64_t other_tools = 4;

endpoint_id e(int n)
{
    return endpoint_id("e" + std::to_string(n));
}

bool refused(prompt_quarantine const& q, prompt_part_keys const& parts, int now)
{
    return q.quarantined_for(parts, at(now)).has_value();
}

// Each incident is at another endpoint.
void crash(
    prompt_quarantine& q, prompt_part_keys const& parts,
    std::vector<int> const& times)
{
    for (auto const t : times)
        q.record_crash(e(t), parts, at(t));
}

void prove(prompt_quarantine& q, prompt_part_keys const& parts, int first_event)
{
    q.record_proof(parts, at(first_event), at(first_event + 1000));
}

// Delivers the evidence of one gateway to another.
bool send(
    prompt_quarantine const& from, prompt_quarantine& to, int now,
    int delay = 0)
{
    return to.merge(from.evidence(at(now)), at(now + delay));
}

} // namespace

// Keys -----------------------------------------------------------------------

// The last part differs with each request; its evidence would fill the table.
TEST_CASE("keys identify the shared parts of a prompt", "[quarantine]")
{
    auto const keys = prompt_part_keys_of({"a", "b", "own"});
    REQUIRE(keys.size() == 2);
    REQUIRE(keys == prompt_part_keys_of({"a", "b", "other"}));
    REQUIRE(keys[0] != keys[1]);
    REQUIRE(keys == prompt_part_keys_of({"a", "b", ""}));
    REQUIRE(prompt_part_keys_of({"own"}).empty());
    REQUIRE(prompt_part_keys_of({}).empty());
}

// Incidents and proofs -------------------------------------------------------

// Guards against refusing a part for too little, outdated or refuted evidence.
TEST_CASE("three spaced incidents without proof quarantine", "[quarantine]")
{
    struct row
    {
        char const* what;
        std::vector<int> crashes;
        std::vector<int> first_events; // of proofs
        bool quarantined;
    };
    auto const r = GENERATE(
        row{"three", {0, 1000, 2000}, {}, true},
        row{"two", {0, 1000}, {}, false},
        row{"two less than 1 s apart", {0, 999, 1998}, {}, false},
        row{"spacing from the last that counted", {0, 700, 1400}, {}, false},
        row{"greedy spacing", {0, 700, 1400, 2100, 2800}, {}, true},
        row{"within the window", {0, 30000, 300000}, {}, true},
        row{"beyond the window", {0, 30000, 300001}, {}, false},
        row{"proof before all", {1000, 2000, 3000}, {999}, true},
        row{"proof of the first", {1000, 2000, 3000}, {1000}, false},
        row{"proof after two", {0, 1000, 5000}, {2500}, false},
        row{"three after the proof", {0, 2000, 3000, 4000}, {500}, true},
        row{"proof after all", {0, 1000, 2000}, {2001}, false});
    CAPTURE(r.what);
    prompt_quarantine q;
    for (auto const t : r.first_events)
        if (t < r.crashes.front())
            prove(q, {bad}, t);
    for (auto const t : r.crashes)
    {
        q.record_crash(e(t), {bad}, at(t));
        for (auto const first : r.first_events)
            if (first >= t)
                continue;
            else if (first >= r.crashes.front())
                prove(q, {bad}, first);
    }
    for (auto const t : r.first_events)
        prove(q, {bad}, t);
    REQUIRE(refused(q, {bad}, r.crashes.back()) == r.quarantined);
    REQUIRE(
        q.quarantined_parts(at(r.crashes.back())) == (r.quarantined ? 1 : 0));
}

// Two suspects lost at one endpoint at once are one incident, also if their
// connections end some milliseconds apart.
TEST_CASE("one endpoint's loss is one incident", "[quarantine]")
{
    prompt_quarantine q;
    for (int t = 0; t < 3; ++t)
        for (int i = 0; i < 20; ++i)
            q.record_crash(e(t), {bad}, at(t * 300 + i));
    REQUIRE_FALSE(refused(q, {bad}, 1000));
    REQUIRE(q.evidence(at(1000)).parts.front().incidents.size() == 3);
}

// A stream proven after the quarantine began, but that began before the last
// incident, shows that the part is sound.
TEST_CASE("a proof that arrives late ends a quarantine", "[quarantine]")
{
    prompt_quarantine q;
    crash(q, {base}, {0, 2000, 4000});
    REQUIRE(refused(q, {base}, 4000));
    q.record_proof({base}, at(3500), at(4500));
    REQUIRE_FALSE(refused(q, {base}, 4500));
    q.record_crash(e(9), {base}, at(6000)); // no renewal
    REQUIRE_FALSE(refused(q, {base}, 6000));
}

// Suspects -------------------------------------------------------------------

// Guards against refusing sound requests that share parts with a bad one.
TEST_CASE("equal suspects are refused together only", "[quarantine]")
{
    prompt_quarantine q;
    crash(q, {base, bad, tools}, {0, 1000, 2000});
    REQUIRE(refused(q, {base, bad, tools}, 2000));
    REQUIRE(refused(q, {base, bad, tools, other_tools}, 2000));
    REQUIRE_FALSE(refused(q, {base, tools}, 2000));
    REQUIRE_FALSE(refused(q, {bad}, 2000));
    REQUIRE_FALSE(refused(q, {}, 2000));

    // Another companion narrows it down, as do proofs.
    SECTION("crash with another companion")
    {
        q.record_crash(e(1), {bad, other_tools}, at(4000));
        REQUIRE(q.quarantined_parts(at(4000)) == 1);
    }
    SECTION("proofs")
    {
        prove(q, {base, other_tools}, 3000);
        REQUIRE(refused(q, {bad, tools}, 4000));
        REQUIRE_FALSE(refused(q, {base, bad}, 4000));
        prove(q, {base, tools}, 3100);
        REQUIRE(q.quarantined_parts(at(4100)) == 1);
    }
    REQUIRE(refused(q, {bad}, 4100));
    REQUIRE(refused(q, {base, bad}, 4100));
    REQUIRE_FALSE(refused(q, {base, tools, other_tools}, 4100));
}

// Crashes went on, as sound requests were lost at the same endpoints and no
// request had all suspects.
TEST_CASE("one of equal suspects is refused at a time", "[quarantine]")
{
    prompt_part_keys const sound{base, tools};
    prompt_part_keys const crashing{base, bad};
    prompt_quarantine q;
    prompt_quarantine peer;
    auto const crash_both = [&](int t)
    {
        q.record_crash(e(t), sound, at(t));
        q.record_crash(e(t), crashing, at(t));
    };
    crash_both(0);
    crash_both(2000);
    REQUIRE_FALSE(refused(q, sound, 2000));
    REQUIRE_FALSE(refused(q, crashing, 2000));
    crash_both(4000);
    bool const sound_first = refused(q, sound, 4000);
    REQUIRE(refused(q, crashing, 4000) != sound_first);
    REQUIRE_FALSE(refused(q, {base, other_tools}, 4000));
    auto const& first = sound_first ? sound : crashing;
    REQUIRE(q.quarantined_for(first, at(4000)) == duration(seconds(10)));

    // Gateways that saw no crash must refuse the same one.
    send(q, peer, 4100);
    REQUIRE(refused(peer, sound, 4100) == sound_first);
    REQUIRE(refused(peer, crashing, 4100) != sound_first);

    SECTION("then the other, as the first may be sound")
    {
        q.remove_expired(at(14000));
        REQUIRE(refused(q, sound, 14000) != sound_first);
        REQUIRE(refused(q, crashing, 14000) == sound_first);
        q.remove_expired(at(24000));
        REQUIRE(refused(q, sound, 24000) == sound_first);
    }
    SECTION("a crash without the refused one clears it")
    {
        auto const& other = sound_first ? crashing : sound;
        q.record_crash(e(7000), other, at(7000));
        REQUIRE(refused(q, other, 7000));
        REQUIRE_FALSE(refused(q, first, 7000));
        q.remove_expired(at(17000));
        REQUIRE(refused(q, other, 17000));
        REQUIRE_FALSE(refused(q, first, 17000));
    }
    SECTION("proofs clear the others")
    {
        prove(q, sound, 5000);
        for (int const t : {6000, 14000, 24000})
        {
            q.remove_expired(at(t));
            REQUIRE_FALSE(refused(q, sound, t));
            REQUIRE(refused(q, crashing, t));
        }
    }
}

// Attribution must not depend on the order in which the connections of a
// crashed endpoint end.
TEST_CASE("the part with most incidents explains the others'", "[quarantine]")
{
    bool const sound_first = GENERATE(true, false);
    prompt_quarantine q;
    for (int t = 0; t < 4; ++t)
    {
        prompt_part_keys const sound{base, t % 2 == 0 ? tools : other_tools};
        if (sound_first && t > 0)
            q.record_crash(e(t), sound, at(t * 2000));
        q.record_crash(e(t), {bad}, at(t * 2000 + 1));
        if (!sound_first && t > 0)
            q.record_crash(e(t), sound, at(t * 2000 + 2));
    }
    REQUIRE(refused(q, {bad}, 6010));
    REQUIRE_FALSE(refused(q, {base}, 6010));
    REQUIRE_FALSE(refused(q, {tools}, 6010));
    REQUIRE(q.quarantined_parts(at(6010)) == 1);
}

// Two bad parts at once.
TEST_CASE("incidents that are not explained still count", "[quarantine]")
{
    prompt_quarantine q;
    crash(q, {bad, base}, {0, 2000, 4000, 6000});
    crash(q, {base}, {8000, 10000});
    crash(q, {tools}, {500, 2500, 4500});
    REQUIRE(refused(q, {tools}, 10000));
    REQUIRE(refused(q, {base}, 10000));
    REQUIRE_FALSE(refused(q, {bad}, 10000));
    prove(q, {base}, 10001);
    REQUIRE(refused(q, {tools}, 11001));
    REQUIRE(refused(q, {bad}, 11001));
    REQUIRE_FALSE(refused(q, {base}, 11001));
}

// Sound requests on a crashing endpoint share all incidents if there are few
// endpoints. Without earlier proofs, no single request has all suspects.
TEST_CASE("a part proven earlier is suspected last", "[quarantine]")
{
    prompt_quarantine q;
    prove(q, {base, tools}, 0);
    for (int t = 2000; t < 8000; t += 2000)
    {
        q.record_crash(e(1), {base, tools}, at(t));
        q.record_crash(e(1), {base, bad}, at(t));
    }
    REQUIRE(refused(q, {bad}, 6000));
    REQUIRE(refused(q, {base, bad}, 6000));
    REQUIRE_FALSE(refused(q, {base, tools}, 6000));

    // Unrelated losses do not make it more suspect than the bad part.
    crash(q, {base}, {8000, 10000});
    REQUIRE(refused(q, {bad}, 10000));
    REQUIRE_FALSE(refused(q, {base, tools}, 10000));

    // It is not exempt: an engine may change.
    crash(q, {base}, {12000});
    REQUIRE(refused(q, {base}, 12000));
}

// A sound part quarantined for an unrelated loss would be refused for the rest
// of the five minutes.
TEST_CASE("a quarantine explained in part must be justified", "[quarantine]")
{
    prompt_quarantine q;
    crash(q, {base, bad}, {0, 1000});
    crash(q, {base}, {2000});
    REQUIRE(refused(q, {base}, 2000));
    crash(q, {bad}, {4000, 6000}); // requests already in progress
    REQUIRE(refused(q, {bad}, 6000));
    REQUIRE_FALSE(refused(q, {base}, 6000));

    // Nor is it renewed by a single loss.
    q.remove_expired(at(306000));
    crash(q, {base}, {310000});
    REQUIRE_FALSE(refused(q, {base}, 310000));
    crash(q, {bad}, {320000});
    REQUIRE(refused(q, {bad}, 320000));
}

// All requests with the parts were refused for five minutes, so that nothing
// could prove them.
TEST_CASE("parts that may be sound have trials", "[quarantine]")
{
    struct row
    {
        char const* what;
        prompt_part_keys parts;
        bool proven_before;
        bool has_trials;
    };
    auto const r = GENERATE(
        row{"suspects that cannot be told apart", {base, tools}, false, true},
        row{"a part that was proven", {tools}, true, true},
        row{"a part that never was", {tools}, false, false});
    CAPTURE(r.what);
    prompt_quarantine q;
    if (r.proven_before)
        prove(q, r.parts, 0);
    crash(q, r.parts, {2000, 4000, 6000});
    auto const refused_at = [&](int since)
    {
        q.remove_expired(at(6000 + since));
        return refused(q, r.parts, 6000 + since);
    };
    for (int const since : {0, 1000, 10000, 29999})
        REQUIRE(refused_at(since));
    for (int const trial : {30000, 60000, 120000, 240000})
    {
        REQUIRE(refused_at(trial - 1));
        REQUIRE(refused_at(trial) != r.has_trials);
        REQUIRE(refused_at(trial + 499) != r.has_trials);
        REQUIRE(refused_at(trial + 500));
    }
    if (!r.has_trials)
        return;
    SECTION("a proof ends the quarantine")
    {
        prove(q, r.parts, 247000);
        REQUIRE_FALSE(refused_at(242000));
    }
    SECTION("a crash prolongs it until the next trial")
    {
        crash(q, r.parts, {246200});
        for (int const since : {240300, 241000, 270199})
            REQUIRE(refused_at(since));
        REQUIRE_FALSE(refused_at(270200));
    }
}

// Quarantines ----------------------------------------------------------------

TEST_CASE("quarantines expire and are renewed for longer", "[quarantine]")
{
    prompt_quarantine q;
    crash(q, {bad}, {0, 1000, 2000});
    REQUIRE(q.quarantined_for({bad}, at(2000)) == duration(minutes(5)));
    q.record_crash(e(9), {bad}, at(4000)); // was in progress
    REQUIRE(q.quarantined_for({bad}, at(4000)) == duration(minutes(5)));
    auto now = at(4000) + minutes(5);
    REQUIRE(q.quarantined_for({bad}, now - milliseconds(1)));
    for (int const length : {10, 20, 40, 60, 60})
    {
        q.remove_expired(now);
        REQUIRE_FALSE(q.quarantined_for({bad}, now));
        REQUIRE(q.quarantined_parts(now) == 0);
        REQUIRE(q.evidence(now).parts.empty());
        now += seconds(30);
        q.record_crash(e(length), {bad, base}, now);
        REQUIRE(q.quarantined_for({bad}, now) == duration(minutes(length)));
        REQUIRE_FALSE(q.quarantined_for({base}, now));
        now += minutes(length);
    }

    SECTION("the number of quarantines is kept for an hour")
    {
        now += minutes(59);
        q.remove_expired(now);
        q.record_crash(e(1), {bad}, now);
        REQUIRE(q.quarantined_for({bad}, now) == duration(minutes(60)));
    }
    SECTION("and no longer")
    {
        now += minutes(60);
        q.remove_expired(now);
        q.record_crash(e(1), {bad}, now);
        REQUIRE_FALSE(q.quarantined_for({bad}, now));
    }
    SECTION("a proof afterwards clears it")
    {
        q.remove_expired(now);
        q.record_proof({bad}, now, now + seconds(1));
        q.record_crash(e(1), {bad}, now + seconds(2));
        REQUIRE_FALSE(q.quarantined_for({bad}, now + seconds(2)));
    }
}

// Exchange -------------------------------------------------------------------

TEST_CASE("merging is a union in any order", "[quarantine]")
{
    std::vector<int> order{0, 1, 2, 0, 1, 2, 2, 0};
    std::mt19937 random(GENERATE(range(1, 9)));
    std::shuffle(order.begin(), order.end(), random);
    std::vector<prompt_quarantine> sources(3);
    for (int i = 0; i < 3; ++i)
        crash(sources[std::size_t(i)], {bad, base}, {i * 1500});
    prove(sources[0], {base}, 5000);
    prompt_quarantine q;
    std::set<int> seen;
    for (auto const i : order)
    {
        bool const added = send(sources[std::size_t(i)], q, 6000, 50);
        REQUIRE(added == seen.insert(i).second);
        REQUIRE(refused(q, {bad, base}, 6050) == (seen.size() == 3));
    }
    REQUIRE(refused(q, {bad}, 6050));
    REQUIRE_FALSE(refused(q, {base}, 6050));
}

// Ages omit the network delay and several gateways see the same loss; counted
// twice, one loss would look like several.
TEST_CASE("one loss seen by many gateways counts once", "[quarantine]")
{
    prompt_quarantine a;
    prompt_quarantine b;
    a.record_crash(e(1), {base}, at(0));
    b.record_crash(e(1), {base}, at(600));
    for (int t = 1000; t < 20000; t += 250)
    {
        send(a, b, t, 300);
        send(b, a, t + 300, 300);
    }
    for (auto const& q : {a, b})
    {
        auto const incidents = q.evidence(at(20000)).parts[0].incidents;
        REQUIRE(incidents.size() == 1);
        // The first report, later by the delay at most.
        REQUIRE(incidents[0].age >= milliseconds(19700));
    }
}

// With every exchange the received times are later by the network delay.
// Gateways that answer each other at once would never forget.
TEST_CASE("exchange prolongs neither evidence nor quarantine", "[quarantine]")
{
    bool const quarantined = GENERATE(false, true);
    constexpr int delay = 200;
    prompt_quarantine a;
    prompt_quarantine b;
    crash(
        a, {bad},
        quarantined ? std::vector<int>{0, 1000, 2000}
                    : std::vector<int>{0, 2000});
    constexpr int end = 302000;
    for (int t = 2000; t < end + 5000; t += delay)
    {
        a.remove_expired(at(t));
        b.remove_expired(at(t));
        send(a, b, t - delay, delay);
        send(b, a, t - delay, delay);
        if (t < end)
            REQUIRE(refused(b, {bad}, t) == quarantined);
    }
    REQUIRE_FALSE(refused(a, {bad}, end + 2000));
    REQUIRE_FALSE(refused(b, {bad}, end + 2000));
    REQUIRE(a.evidence(at(end + 2000)).parts.empty());
    REQUIRE(b.evidence(at(end + 2000)).parts.empty());
}

TEST_CASE("a learnt quarantine holds until a proof", "[quarantine]")
{
    prompt_quarantine a;
    prompt_quarantine b;
    crash(a, {bad}, {0, 1000, 2000});
    auto evidence = a.evidence(at(2000));
    auto const incidents = GENERATE(std::size_t(0), std::size_t(1));
    evidence.parts[0].incidents.resize(incidents);
    REQUIRE(b.merge(evidence, at(2010)));
    REQUIRE(refused(b, {bad}, 2010));
    REQUIRE(refused(b, {bad}, 301000));
    REQUIRE_FALSE(refused(b, {bad}, 302011));

    prove(b, {bad}, 3000);
    REQUIRE_FALSE(refused(b, {bad}, 4000));
    send(a, b, 4000, 10); // outdated
    REQUIRE_FALSE(refused(b, {bad}, 4010));
    REQUIRE(send(b, a, 4010, 10));
    REQUIRE_FALSE(refused(a, {bad}, 4020));
    REQUIRE_FALSE(send(a, b, 4020, 10));
}

// A gateway that has long known a proof must tell the peers that do not.
TEST_CASE("evidence before a known proof is answered", "[quarantine]")
{
    prompt_quarantine a;
    prompt_quarantine b;
    prove(b, {base}, 5000);
    REQUIRE(b.evidence(at(6000)).parts.empty());
    crash(a, {base}, {0, 1000, 2000});
    REQUIRE(send(a, b, 6000, 10));
    REQUIRE_FALSE(refused(b, {base}, 6010));
    REQUIRE(b.evidence(at(6010)).parts.size() == 1);
    REQUIRE(b.evidence(at(6010)).parts[0].proven_age == milliseconds(1010));
    REQUIRE(b.evidence(at(66009)).parts.size() == 1);
    REQUIRE(b.evidence(at(66010)).parts.empty());
    send(b, a, 6010, 10);
    REQUIRE_FALSE(refused(a, {base}, 6020));
}

// A peer that heard of the incidents but not of the proof would quarantine the
// part after the next one.
TEST_CASE("a proof against known evidence is sent to peers", "[quarantine]")
{
    prompt_quarantine a;
    prompt_quarantine b;
    crash(a, {base}, {0, 2000});
    send(a, b, 2000, 10);
    prove(a, {base}, 3000);
    REQUIRE(send(a, b, 4000, 10));
    b.record_crash(e(1), {base}, at(5000));
    REQUIRE_FALSE(refused(b, {base}, 5000));
}

// Bounds ---------------------------------------------------------------------

TEST_CASE("hostile evidence is bounded", "[quarantine]")
{
    prompt_quarantine q;
    auto const huge = GENERATE(
        milliseconds::max(), milliseconds(std::int64_t(1) << 52),
        milliseconds(59000), milliseconds(0));
    for (std::uint64_t round = 0; round < 100; ++round)
    {
        crash_evidence evidence;
        for (std::uint64_t i = 0; i < 300; ++i)
        {
            crash_evidence::part part;
            part.key = 1000 + round * 300 + i;
            for (std::uint64_t n = 0; n < 50; ++n)
                part.incidents.push_back({n, huge});
            if (i % 2 == 0)
                part.proven_age = huge;
            if (i % 3 == 0)
                part.quarantined_for = huge;
            part.quarantines = std::uint32_t(-1);
            evidence.parts.push_back(part);
        }
        q.merge(evidence, at(int(round)));
        REQUIRE((round > 0 || q.quarantined_parts(at(0)) <= 24));
    }
    REQUIRE(q.quarantined_parts(at(100)) <= 256);
    auto const sent = q.evidence(at(100));
    REQUIRE(sent.parts.size() <= 24);
    for (auto const& part : sent.parts)
        REQUIRE(part.incidents.size() <= 8);
    for (std::uint64_t key = 1000; key < 40000; ++key)
        REQUIRE(
            q.quarantined_for({key}, at(100)).value_or(duration{0}) <=
            minutes(60));

    // The gateway still detects and sends what it sees itself.
    crash(q, {bad}, {1000, 2000, 3000});
    REQUIRE(refused(q, {bad}, 3000));
    q.remove_expired(at(3000) + std::chrono::hours(3));
    REQUIRE(q.evidence(at(3000) + std::chrono::hours(3)).parts.empty());
}

TEST_CASE("single hostile values do no harm", "[quarantine]")
{
    prompt_quarantine q;
    crash_evidence::part part;
    part.key = bad;

    SECTION("a proof too long ago to count")
    {
        part.proven_age = milliseconds::max();
        for (int const age : {0, 1000, 2000})
            part.incidents.push_back({1, milliseconds(age)});
        q.merge({{part}}, at(0));
        REQUIRE(refused(q, {bad}, 0));
    }
    SECTION("a number of quarantines that the next would overflow")
    {
        part.quarantined_for = minutes(1);
        part.quarantines = std::uint32_t(-1);
        q.merge({{part}}, at(0));
        q.remove_expired(at(60000));
        REQUIRE_FALSE(refused(q, {bad}, 60000));
        q.record_crash(e(1), {bad}, at(60001));
        REQUIRE(q.quarantined_for({bad}, at(60001)) == duration(minutes(60)));
    }
}

TEST_CASE("the most incriminating parts are kept and sent", "[quarantine]")
{
    prompt_quarantine q;
    crash(q, {bad}, {0, 2000});
    for (std::uint64_t i = 0; i < 2000; ++i)
        q.record_crash(e(int(i)), {1000 + i}, at(3000 + int(i)));
    crash(q, {base}, {6000});
    auto const sent = q.evidence(at(6000));
    REQUIRE(sent.parts.size() == prompt_quarantine::max_exchanged_parts);
    REQUIRE(sent.parts[0].key == bad);
    REQUIRE(sent.parts[1].key == base);
    crash(q, {bad}, {7000});
    REQUIRE(refused(q, {bad}, 7000));
}

// Dropping the proofs of parts in use would let a zone loss implicate them.
TEST_CASE("the oldest proofs are dropped first", "[quarantine]")
{
    prompt_quarantine q;
    for (int i = 0; i < 5000; ++i)
        prove(q, {std::uint64_t(1000 + i)}, 10000 + i);
    prompt_quarantine peer;
    crash(peer, {1000}, {0, 1000, 2000});
    crash(peer, {5999}, {0, 1000, 2000});
    send(peer, q, 16000);
    REQUIRE(refused(q, {1000}, 16000));
    REQUIRE_FALSE(refused(q, {5999}, 16000));
}

// Zone loss ------------------------------------------------------------------

// Guards against refusing parts because they were in flight in lost zones.
TEST_CASE("loss of zones quarantines nothing", "[quarantine]")
{
    int const zones = GENERATE(1, 2);
    int const spread = GENERATE(1, 300, 900); // ms until the last loss is seen
    bool const popular_proven = GENERATE(true, false);
    std::vector<prompt_quarantine> gateways(6);
    std::mt19937 random(7);
    int const last = (zones - 1) * 7000 + spread;
    for (int zone = 0; zone < zones; ++zone)
        for (int i = 0; i < 60; ++i)
        {
            auto& q = gateways[random() % 6];
            std::uint64_t const rare = 100 + random() % 5;
            int const t = zone * 7000 + int(random() % unsigned(spread));
            q.record_crash(e(zone * 20 + i % 20), {base, rare}, at(t));
        }
    if (popular_proven)
        prove(gateways[0], {base}, 3000);
    for (int t = last; t < last + 5000; t += 250)
        for (auto& from : gateways)
            for (auto& to : gateways)
                if (&from != &to)
                    send(from, to, t, int(random() % 100));
    for (auto const& q : gateways)
        REQUIRE(q.quarantined_parts(at(last + 5000)) == 0);
}

// Fleet ----------------------------------------------------------------------

// Each gateway sees one crash; datagrams are lost, repeated, delayed and
// reordered.
TEST_CASE("a fleet finds the part from one crash each", "[quarantine]")
{
    bool const ring = GENERATE(false, true);
    unsigned const seed = unsigned(GENERATE(range(1, 4)));
    constexpr std::size_t n = 30;
    std::mt19937 random(seed);
    std::vector<prompt_quarantine> gateways(n);
    std::multimap<int, std::pair<std::size_t, crash_evidence>> network;
    for (int i = 0; i < 3; ++i)
        gateways[std::size_t(i) * 10].record_crash(
            e(i), {base, bad, tools}, at(i * 2000));
    prove(gateways[15], {base, tools}, 2500);

    // The last crash is at 4 s. A ring of 30 needs 15 exchanges if none is
    // lost.
    int const settled = 4000 + (ring ? 2 * 15 * 250 : 4 * 250);
    int now = 0;
    for (; now <= settled; now += 50)
    {
        while (!network.empty() && network.begin()->first <= now)
        {
            auto const [to, evidence] = network.begin()->second;
            gateways[to].merge(evidence, at(network.begin()->first));
            network.erase(network.begin());
        }
        if (now < 4000 || now % 250 != 0)
            continue;
        for (std::size_t from = 0; from < n; ++from)
            for (std::size_t to = 0; to < n; ++to)
            {
                bool const near = to == (from + 1) % n || from == (to + 1) % n;
                if (from == to || (ring && !near) || random() % 5 == 0)
                    continue;
                auto const copies = random() % 8 == 0 ? 2 : 1;
                for (int i = 0; i < copies; ++i)
                    network.emplace(
                        now + 1 + int(random() % 200),
                        std::make_pair(to, gateways[from].evidence(at(now))));
            }
    }
    for (auto const& q : gateways)
    {
        REQUIRE(refused(q, {bad}, now));
        REQUIRE(refused(q, {base, bad}, now));
        REQUIRE_FALSE(refused(q, {base, tools}, now));
        REQUIRE(q.quarantined_parts(at(now)) == 1);
    }

    // A restarted gateway learns from one neighbour.
    prompt_quarantine restarted;
    REQUIRE(send(gateways[1], restarted, now, 20));
    REQUIRE(refused(restarted, {bad}, now + 20));
    REQUIRE_FALSE(refused(restarted, {base, tools}, now + 20));
    now += 250000; // long after the incidents expired
    prompt_quarantine later;
    REQUIRE(send(gateways[2], later, now, 20));
    REQUIRE(refused(later, {bad}, now + 20));
}

// Simulation -----------------------------------------------------------------

namespace
{

fleet_case random_case(std::uint32_t seed)
{
    std::mt19937 random(seed * 7919);
    auto const one_of = [&](std::vector<double> const& values)
    { return values[random() % values.size()]; };
    fleet_case c;
    c.seed = seed;
    c.gateways = int(one_of({1, 3, 6}));
    c.ring = random() % 3 == 0;
    c.endpoints = int(one_of({1, 3, 12, 40}));
    c.rate = one_of({0.1, 0.3, 1, 4, 20});
    c.bad_share = one_of({0.02, 0.1, 0.3, 0.7});
    c.parts = 2 + int(random() % 5);
    c.bad_position = int(random() % unsigned(c.parts));
    c.variants = int(one_of({1, 2, 4}));
    c.attempts = 1 + int(random() % 5);
    c.after_first_event = random() % 2 == 0;
    if (random() % 2 == 0)
    {
        c.zone_loss_interval = one_of({0, 30, 120});
        c.endpoint_loss_interval = one_of({0, 10, 60});
        c.reset_share = one_of({0, 0.01, 0.05});
    }
    return c;
}

// A running service with answers that mostly last, without other failures. The
// seed chooses what a setting leaves open.
fleet_case
warm_case(std::uint32_t seed, int endpoints, int per_thousand, int attempts)
{
    std::mt19937 random(seed * 7919);
    auto const one_of = [&](std::vector<double> const& values)
    { return values[random() % values.size()]; };
    fleet_case c;
    c.seed = seed;
    c.endpoints = endpoints;
    c.bad_share = per_thousand / 1000.0;
    c.attempts = attempts;
    c.bad_from = 60;
    c.gateways = int(one_of({1, 2, 3, 6}));
    c.ring = random() % 3 == 0;
    c.rate = one_of({1, 4, 20});
    c.parts = 2 + int(random() % 4);
    c.bad_position = int(random() % unsigned(c.parts));
    c.variants = int(one_of({1, 2, 4}));
    c.after_first_event = random() % 2 == 0;
    c.reused_share = one_of({0, 0.5, 1});
    c.quick_share = one_of({0, 0.5, 1});
    c.restart_min = 1;
    c.restart_max = one_of({3, 10});
    return c;
}

void check_containment(fleet_case const& c)
{
    INFO(c.describe());
    auto const result = fleet_simulation(c).run();
    CAPTURE(result.crashes, result.late_sound);
    CHECK(result.late_bad <= 3);
    CHECK(
        (result.late_sound == 0 ||
         2 * result.refused_sound < result.late_sound));
}

} // namespace

// Guards against crashes that go on and against refusing sound requests. The
// service runs before the bad part appears.
TEST_CASE("a bad part is contained in a running fleet", "[quarantine]")
{
    auto c = random_case(std::uint32_t(GENERATE(range(1, 61))));
    c.bad_from = 60;
    check_containment(c);
}

// Sound requests lost at the same endpoints made all parts equal suspects.
TEST_CASE(
    "a bad part is contained in a fleet without any proof", "[quarantine]")
{
    check_containment(random_case(std::uint32_t(GENERATE(range(1, 61)))));
}

// The repetitions of a request crash within a second and count once.
TEST_CASE("a bad part in two requests a minute is contained", "[quarantine]")
{
    auto c = random_case(std::uint32_t(GENERATE(range(1, 61))));
    c.bad_from = 60;
    c.endpoints = 40;
    c.rate = 0.1;
    c.bad_share = 0.3;
    check_containment(c);
}

// Settings with which real gateways broke the bound in a review: few endpoints,
// few bad prompts, crashes on reused connections.
TEST_CASE(
    "a bad part is contained with few endpoints and few bad prompts",
    "[quarantine]")
{
    auto const endpoints = GENERATE(2, 3, 4, 6, 8);
    auto const per_thousand = GENERATE(10, 20, 50);
    auto const attempts = GENERATE(2, 3, 5);
    auto const seed = std::uint32_t(GENERATE(range(1, 3)));
    check_containment(warm_case(seed, endpoints, per_thousand, attempts));
}

// One request crashes most endpoints within a second, which counts once. The
// requests that wait meanwhile reach the endpoints that are back.
// Known to fail, see KNOWN-RED.txt.
TEST_CASE(
    "a part that crashes all endpoints within a second is contained",
    "[.][quarantine-known-red]")
{
    struct row
    {
        std::uint32_t seed;
        int endpoints;
        int per_thousand;
        int attempts;
        bool warm;
    };
    auto const r = GENERATE(
        row{7, 6, 50, 5, true}, row{7, 8, 50, 5, true}, row{38, 3, 50, 3, true},
        row{56, 6, 50, 2, true}, row{56, 8, 50, 5, true},
        row{59, 6, 50, 5, false}, row{59, 8, 50, 5, false},
        row{74, 8, 50, 2, false}, row{103, 6, 50, 5, true},
        row{113, 6, 20, 3, true}, row{128, 6, 20, 5, true},
        row{132, 6, 20, 5, true}, row{156, 8, 50, 3, true},
        row{114, 8, 50, 5, false}, row{14, 3, 20, 5, false},
        row{14, 3, 50, 5, false});
    auto c = warm_case(r.seed, r.endpoints, r.per_thousand, r.attempts);
    c.bad_from = r.warm ? 60 : 0;
    check_containment(c);
}

// Incidents rest on the repetitions of a few requests; sound requests that were
// lost at the same endpoints must not be refused for it.
TEST_CASE("few bad requests do not refuse sound ones", "[quarantine]")
{
    auto const endpoints = GENERATE(2, 4, 8);
    auto const requests = GENERATE(1, 2, 3);
    auto const seed = std::uint32_t(GENERATE(range(1, 5)));
    auto c = warm_case(seed, endpoints, 50, 5);
    c.bad_requests = requests;
    check_containment(c);
}

// All gateways let the part through until the next crash is exchanged.
// Known to fail, see KNOWN-RED.txt.
TEST_CASE(
    "a bad part is contained when quarantines end", "[.][quarantine-known-red]")
{
    auto const endpoints = GENERATE(3, 8);
    auto const attempts = GENERATE(3, 5);
    auto const seed = std::uint32_t(GENERATE(range(1, 4)));
    auto c = warm_case(seed, endpoints, 50, attempts);
    c.observed = 1000; // quarantines of 5 and 10 minutes
    check_containment(c);
}

// Proofs have no age limit, and requests with a part that was proven before are
// let through in trials.
// Known to fail, see KNOWN-RED.txt.
TEST_CASE(
    "a part that turns bad after it was proven is contained",
    "[.][quarantine-known-red]")
{
    auto const endpoints = GENERATE(3, 8);
    auto const attempts = GENERATE(3, 5);
    auto const seed = std::uint32_t(GENERATE(range(1, 4)));
    auto c = warm_case(seed, endpoints, 50, attempts);
    c.sound_before = true;
    check_containment(c);
}

// A fleet that starts as a whole knows no quarantine.
// Known to fail, see KNOWN-RED.txt.
TEST_CASE(
    "a bad part is contained after a loss of all gateways",
    "[.][quarantine-known-red]")
{
    auto const endpoints = GENERATE(3, 8);
    auto const attempts = GENERATE(3, 5);
    auto const seed = std::uint32_t(GENERATE(range(1, 4)));
    auto c = warm_case(seed, endpoints, 50, attempts);
    c.power_loss_after = 60;
    check_containment(c);
}

// Ages omit the time that evidence waited in the socket of a paused gateway;
// beyond the tolerance, one crash counts twice.
// Known to fail, see KNOWN-RED.txt.
TEST_CASE(
    "evidence that waited refuses no sound requests",
    "[.][quarantine-known-red]")
{
    auto c = random_case(std::uint32_t(GENERATE(range(1, 61))));
    c.bad_from = 60;
    c.ring = false;
    c.late_evidence_share = 0.02;
    check_containment(c);
}
