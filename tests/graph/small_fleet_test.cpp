#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "small_fleet.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using fault = std::function<void(small_fleet&)>;

void engine_dies(small_fleet& f)
{
    auto const i = f.busy_engine();
    if (i < f.engines.size())
        f.engines[i].fail_all();
}

void engine_pauses(small_fleet& f)
{
    auto const i = f.busy_engine();
    if (i < f.engines.size())
        f.pause_engine(i);
}

void agent_dies(small_fleet& f)
{
    auto const i = f.busy_engine();
    if (i < f.engines.size())
        f.kill_agent(i);
}

void agent_pauses(small_fleet& f)
{
    auto const i = f.busy_engine();
    if (i < f.engines.size())
    {
        f.network.pause(f.agent_id(i));
        f.scheduler.schedule(
            milliseconds(2500), [&f, i] { f.network.resume(f.agent_id(i)); });
    }
}

void connections_go_silent(small_fleet& f)
{
    for (std::size_t i = 0; i < 3; ++i)
        f.network.silence(f.router, f.agent_id(i));
}

void messages_are_duplicated(small_fleet& f)
{
    f.network.set_delivery_rule(
        [](auto const&, auto const&, auto const&) {
            return fake_network::delivery_plan{2, {}};
        });
}

void table_goes_down(small_fleet& f)
{
    f.table.current = fake_table_service::mode::down;
}

struct named_fault
{
    char const* name;
    fault apply;
};

std::vector<named_fault> const faults = {
    {"none", [](small_fleet&) {}},
    {"engine dies", engine_dies},
    {"engine pauses", engine_pauses},
    {"agent dies", agent_dies},
    {"agent pauses", agent_pauses},
    {"connections go silent", connections_go_silent},
    {"messages are duplicated", messages_are_duplicated},
    {"table goes down", table_goes_down},
};

} // namespace

// Guards against lost, repeated or mixed tokens when shards share agents and
// connections, without faults and under each fault at several moments.
TEST_CASE("answers through two shards and three agents are complete")
{
    auto const kind = GENERATE(range(std::size_t{0}, faults.size()));
    auto const at = GENERATE(0, 3, 400);
    INFO(faults[kind].name << " after " << at << " ms");
    small_fleet f;
    constexpr unsigned count = 6;
    std::vector<std::shared_ptr<answer>> answers;
    std::set<std::size_t> shards;
    for (unsigned n = 0; n < count; ++n)
    {
        answers.push_back(f.generate(n));
        shards.insert(shard_of(
            request_id("a/g" + std::to_string(n)), small_fleet::shard_count));
    }
    REQUIRE(shards.size() == small_fleet::shard_count);
    f.scheduler.advance(milliseconds(at));
    faults[kind].apply(f);
    // An engine that pauses before the first token is detected after 30 s.
    f.scheduler.advance(std::chrono::seconds(60));
    for (unsigned n = 0; n < count; ++n)
    {
        INFO("answer " << n << " " << answers[n]->failure);
        REQUIRE(answers[n]->in_order);
        REQUIRE(answers[n]->tokens == f.expected(n));
        REQUIRE(answers[n]->ends == 1);
    }
}

// Guards against recovery that handles only a single fault. Covers every pair,
// including the same fault twice, with the second fault during recovery from
// the first.
TEST_CASE("answers are complete under pairs of faults")
{
    auto const first = GENERATE(range(std::size_t{1}, faults.size()));
    auto const second = GENERATE(range(std::size_t{1}, faults.size()));
    auto const apart = GENERATE(50, 900);
    INFO(faults[first].name << ", " << faults[second].name << " " << apart);
    small_fleet f;
    std::vector<std::shared_ptr<answer>> answers;
    for (unsigned n = 0; n < 3; ++n)
        answers.push_back(f.generate(n));
    f.scheduler.advance(milliseconds(300));
    faults[first].apply(f);
    f.scheduler.advance(milliseconds(apart));
    faults[second].apply(f);
    f.scheduler.advance(std::chrono::seconds(90));
    // If both engines are lost, an answer may end with an error.
    for (unsigned n = 0; n < 3; ++n)
    {
        auto const& a = *answers[n];
        auto const expected = f.expected(n);
        INFO("answer " << n << " " << a.failure);
        REQUIRE(a.in_order);
        REQUIRE(a.ends == 1);
        REQUIRE(a.tokens.size() <= expected.size());
        REQUIRE(std::equal(a.tokens.begin(), a.tokens.end(), expected.begin()));
        REQUIRE((!a.failure.empty() || a.tokens == expected));
        bool const one_engine_lives = f.engine_usable(0) || f.engine_usable(1);
        REQUIRE((!one_engine_lives || a.failure.empty()));
    }
}

// Guards against a router that detects silent connections only with the first
// request.
TEST_CASE("connections that go silent while idle are replaced")
{
    small_fleet f;
    connections_go_silent(f);
    f.scheduler.advance(std::chrono::seconds(4));
    auto const a = f.generate(1);
    f.scheduler.advance(milliseconds(1500));
    REQUIRE(!a->tokens.empty());
}

// Guards against calls that run twice, or run but are reported as not run, when
// shards, coordinator and call runner are combined.
TEST_CASE("bookings through two shards run at most once under faults")
{
    auto const kind = GENERATE(range(std::size_t{0}, faults.size()));
    auto const at = GENERATE(0, 3, 10);
    INFO(faults[kind].name << " after " << at << " ms");
    small_fleet f;
    constexpr unsigned count = 4;
    std::map<unsigned, std::vector<call_reply>> replies;
    for (unsigned n = 0; n < count; ++n)
        f.book(n, [&, n](call_reply r) { replies[n].push_back(std::move(r)); });
    f.scheduler.advance(milliseconds(at));
    faults[kind].apply(f);
    f.scheduler.advance(std::chrono::seconds(20));
    for (unsigned n = 0; n < count; ++n)
    {
        unsigned const runs =
            f.service.runs[request_id("a/c" + std::to_string(n))];
        REQUIRE(runs <= 1);
        REQUIRE(replies[n].size() == 1);
        auto const outcome = replies[n][0].outcome;
        REQUIRE((outcome != call_outcome::not_run || runs == 0));
        REQUIRE((outcome != call_outcome::done || runs == 1));
        // Without a fault, every call succeeds.
        if (kind == 0)
            REQUIRE(outcome == call_outcome::done);
    }
}

// Guards against new work for a draining endpoint, against a drain that
// interrupts running work, and against a drain that takes effect after more
// than 3 s.
TEST_CASE("a draining agent finishes its work and gets no new work")
{
    small_fleet f;
    std::vector<std::shared_ptr<answer>> answers;
    for (unsigned n = 0; n < 6; ++n)
        answers.push_back(f.generate(n));
    f.scheduler.advance(milliseconds(500));
    REQUIRE(f.engines[0].running() > 0);
    f.table.commit(
        {row_write{
            desired_key(endpoint_id("e1")),
            encode(desired_drain{true, "t", "test", "maintenance", ""}),
            std::nullopt}},
        milliseconds(100), [](commit_result const&) {});
    f.scheduler.advance(std::chrono::seconds(3));
    REQUIRE(f.agent(0).draining());
    unsigned const starts = f.engines[0].starts;
    for (unsigned n = 6; n < 12; ++n)
        answers.push_back(f.generate(n));
    f.scheduler.advance(std::chrono::seconds(20));
    REQUIRE(f.engines[0].starts == starts);
    for (unsigned n = 0; n < 12; ++n)
        REQUIRE(answers[n]->tokens == f.expected(n));
}

// Guards against a planned shutdown that interrupts streams or never ends.
TEST_CASE("an agent that shuts down finishes its work first")
{
    small_fleet f;
    auto const a = f.generate(1);
    f.scheduler.advance(milliseconds(500));
    auto const i = f.busy_engine();
    f.agent(i).begin_shutdown();
    f.scheduler.advance(milliseconds(300));
    REQUIRE_FALSE(f.agent(i).finished());
    f.scheduler.advance(std::chrono::seconds(10));
    REQUIRE(f.agent(i).finished());
    REQUIRE(a->tokens == f.expected(1));
    REQUIRE(f.engines[1 - i].starts == 0);
}
