// Tests of calls and claims that the fault matrix does not cover.
#include <catch2/catch.hpp>

#include "call_fixture.hpp"
#include "claims/call_decision_set.hpp"
#include "rapidcheck_seed.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

call_reply reply_of(call_fixture& fixture, call_fixture::submission const& s)
{
    fixture.scheduler.run_until([&] { return !s.replies.empty(); }, 10s);
    REQUIRE(s.replies.size() == 1);
    return s.replies[0];
}

} // namespace

// Guards against a reply with the result of another body under the same key: at
// the router that has the call open, at another one, and after the call ended.
TEST_CASE("a key with another body is refused")
{
    auto const [router, wait] = GENERATE(
        table<std::size_t, duration>({{0, 0ms}, {1, 0ms}, {0, 1s}, {1, 1s}}));
    call_fixture fixture;
    auto const& first = fixture.submit(0, "org/k", false, "one");
    fixture.scheduler.advance(wait);
    auto const reused =
        reply_of(fixture, fixture.submit(router, "org/k", false, "two"));
    REQUIRE(reused.outcome == call_outcome::refused);
    REQUIRE(reused.status == http_status(error_code::key_reused));
    REQUIRE(reply_of(fixture, first).outcome == call_outcome::done);
    REQUIRE(fixture.service.runs[request_id("org/k")] == 1);
}

// Guards against losing a result that is too large for the row, and against
// needing the agent for a result that the row contains.
TEST_CASE("the result of a finished call is read from the row or the agent")
{
    auto const [size, agent_lives, expected] =
        GENERATE(table<std::size_t, bool, call_outcome>(
            {{10, true, call_outcome::done},
             {10, false, call_outcome::done},
             {call_coordinator::max_row_result_bytes + 1, true,
              call_outcome::done},
             {call_coordinator::max_row_result_bytes + 1, false,
              call_outcome::unknown}}));
    std::string const key = "org/" + std::string(size, 'k');
    call_fixture fixture;
    fixture.submit(0, key);
    fixture.scheduler.advance(1s);
    if (!agent_lives)
        fixture.kill_agent(0);
    auto const again = reply_of(fixture, fixture.submit(1, key));
    REQUIRE(again.outcome == expected);
    if (expected == call_outcome::done)
        REQUIRE(again.body == "result of " + key);
}

// Guards against a second run or a wrong not_run after the result has expired
// at the agent.
TEST_CASE("a call with an expired result is unknown and not run again")
{
    call_fixture fixture;
    std::string const key =
        "org/" + std::string(call_coordinator::max_row_result_bytes, 'k');
    fixture.submit(0, key);
    fixture.scheduler.advance(
        fixture.policy.settings.call.result_kept_for + 1s);
    auto const again = reply_of(fixture, fixture.submit(1, key));
    REQUIRE(again.outcome == call_outcome::unknown);
    REQUIRE(fixture.service.runs[request_id(key)] == 1);
}

// Guards against a router that loses an unresolved claim while the store is
// down, and against not_run for a call that the router knows to be unresolved.
TEST_CASE("a router queries its unresolved claim without the store")
{
    call_fixture fixture;
    fixture.service.delay = 5s; // beyond the caller's timeout
    REQUIRE(
        reply_of(fixture, fixture.submit(0, "org/k")).outcome ==
        call_outcome::unknown);
    fixture.store.current = fake_table_service::mode::down;
    fixture.scheduler.advance(2s);
    auto const again = reply_of(fixture, fixture.submit(0, "org/k"));
    REQUIRE(again.outcome == call_outcome::done);
    auto const fresh = reply_of(fixture, fixture.submit(0, "org/new"));
    REQUIRE(fresh.outcome == call_outcome::refused);
    REQUIRE(fresh.code == error_code::store_unavailable);
    REQUIRE(fresh.retry_after.count() > 0);
}

// Guards against not_run for a key whose row cannot be read, since another
// router may have run the call before the store went down.
TEST_CASE("a router that cannot read a claim row never replies not_run")
{
    auto const mode = GENERATE(
        fake_table_service::mode::down, fake_table_service::mode::silent,
        fake_table_service::mode::loses_answers);
    call_fixture fixture;
    REQUIRE(
        reply_of(fixture, fixture.submit(0, "org/k")).outcome ==
        call_outcome::done);
    fixture.store.current = mode;
    auto const elsewhere = reply_of(fixture, fixture.submit(1, "org/k"));
    REQUIRE(elsewhere.outcome != call_outcome::not_run);
    REQUIRE(elsewhere.outcome != call_outcome::done);
    REQUIRE(fixture.violated_invariant("org/k", false) == "");
    fixture.store.current = fake_table_service::mode::normal;
    fixture.scheduler.advance(5s);
    auto const later = reply_of(fixture, fixture.submit(1, "org/k"));
    REQUIRE(later.outcome == call_outcome::done);
    REQUIRE(fixture.service.runs[request_id("org/k")] == 1);
}

// Guards against two runs or a missing reply when a key is submitted twice to
// one router.
TEST_CASE("submissions of one key to one router share a call")
{
    call_fixture fixture;
    auto const& first = fixture.submit(0, "org/k");
    auto const& second = fixture.submit(0, "org/k");
    REQUIRE(fixture.routers[0]->coordinator.open_calls() == 1);
    REQUIRE(reply_of(fixture, first).outcome == call_outcome::done);
    REQUIRE(reply_of(fixture, second).outcome == call_outcome::done);
    REQUIRE(fixture.violated_invariant("org/k", false) == "");
}

// Guards against unlimited retries, and against a retry after the service has
// answered.
TEST_CASE("retries of repeatable calls are limited")
{
    auto const [lost, attempts] =
        GENERATE(table<bool, std::uint32_t>({{true, 3}, {false, 1}}));
    call_fixture fixture;
    fixture.policy.settings.retry.max_attempts = 3;
    fixture.service.lose_answers = lost;
    auto const reply = reply_of(fixture, fixture.submit(0, "org/k", true));
    REQUIRE(
        reply.outcome == (lost ? call_outcome::unknown : call_outcome::done));
    REQUIRE(fixture.service.runs[request_id("org/k")] == attempts);
}

// Guards against a retry at the endpoint that has just failed.
TEST_CASE("a retry goes to another endpoint")
{
    call_fixture fixture;
    fixture.network.partition(peer_id("r1"), peer_id("a1"));
    auto const reply = reply_of(fixture, fixture.submit(0, "org/k", true));
    REQUIRE(reply.outcome == call_outcome::done);
}

// Guards against accepting a late result that belongs to another submission.
TEST_CASE("results of other attempts are ignored")
{
    auto const outcome = GENERATE(
        call_outcome::done, call_outcome::not_run, call_outcome::unknown);
    auto const repeatable = GENERATE(false, true);
    call_fixture fixture;
    fixture.on_step = [&](call_step at)
    {
        if (at != call_step::run)
            return;
        call_result stale;
        stale.request = request_id("org/k");
        stale.attempt = 1u << 31; // outside the range of random attempts
        stale.incarnation = fixture.agents[0]->handler.own_incarnation;
        stale.outcome = outcome;
        stale.body = "stale";
        fixture.routers[0]->coordinator.on_message(peer_id("a1"), stale);
    };
    auto const reply =
        reply_of(fixture, fixture.submit(0, "org/k", repeatable));
    REQUIRE(reply.outcome == call_outcome::done);
    REQUIRE(reply.body == "result of org/k");
}

// Guards against outcomes that do not match what happened at the service.
TEST_CASE("the outcome follows from the service's answer")
{
    auto const [refuses, loses, outcome] =
        GENERATE(table<bool, bool, call_outcome>(
            {{false, false, call_outcome::done},
             {true, false, call_outcome::not_run},
             {false, true, call_outcome::unknown}}));
    call_fixture fixture;
    fixture.service.refuse_connections = refuses;
    fixture.service.lose_answers = loses;
    REQUIRE(reply_of(fixture, fixture.submit(0, "org/k")).outcome == outcome);
    fixture.service.refuse_connections = fixture.service.lose_answers = false;
    auto const again = reply_of(fixture, fixture.submit(1, "org/k"));
    REQUIRE(again.outcome == outcome);
    REQUIRE(fixture.violated_invariant("org/k", false) == "");
}

// Guards against rows that cannot be decoded because of the bytes they contain.
TEST_CASE("claim rows round-trip through their encoding")
{
    REQUIRE(rc::check(
        "round trip",
        [](std::string const& key, std::string const& body, bool kept)
        {
            claim_row row;
            row.request = request_id(key);
            row.attempt = *rc::gen::arbitrary<attempt_number>();
            row.body_hash = *rc::gen::arbitrary<std::uint64_t>();
            row.state = claim_state::done;
            row.result_kept = kept;
            row.body = row.detail = body;
            auto const read = decode_claim(encode_claim(row));
            RC_ASSERT(read.has_value());
            RC_ASSERT(read->request == row.request);
            RC_ASSERT(read->attempt == row.attempt);
            RC_ASSERT(read->body_hash == row.body_hash);
            RC_ASSERT(read->body == body);
            RC_ASSERT(read->detail == body);
        }));
    REQUIRE(!decode_claim("{\"request\":1}"));
    REQUIRE(!decode_claim("no row"));
}

// Guards against unbounded memory, and against closing a call whose forwarding
// decision may have been dropped.
TEST_CASE("a decision set reports dropped decisions")
{
    auto const [decisions, complete] = GENERATE(table<unsigned, bool>(
        {{8, true}, {16, true}, {17, false}, {99, false}}));
    call_decision_set set(1, 8);
    auto const request = [](unsigned i)
    { return request_id("org/" + std::to_string(i)); };
    for (unsigned i = 0; i < decisions; ++i)
    {
        if (i % 3 == 0)
            set.record_closed(request(i));
        else
            set.record_forwarded(request(i));
    }
    REQUIRE(set.is_complete() == complete);
    REQUIRE(set.memory_bytes() <= 4 * 64 * sizeof(std::uint64_t));
    for (unsigned i = decisions < 8 ? 0 : decisions - 8; i < decisions; ++i)
    {
        REQUIRE(set.was_closed(request(i)) == (i % 3 == 0));
        REQUIRE(set.was_forwarded(request(i)) == (i % 3 != 0));
    }
}

// Guards against losing a digest when the set grows.
TEST_CASE("a digest set has the same members as a std::set")
{
    REQUIRE(rc::check(
        "same members",
        [](std::vector<std::uint8_t> const& in)
        {
            digest_set set;
            std::set<std::uint64_t> reference;
            // Multiples of 1024 collide in the low bits, which select the slot.
            for (auto const n : in)
            {
                set.insert(std::uint64_t{n} * 1024);
                reference.insert(std::uint64_t{n} * 1024);
            }
            RC_ASSERT(set.size() == reference.size());
            for (std::uint64_t n = 0; n < 256; ++n)
                RC_ASSERT(
                    set.contains(n * 1024) == (reference.count(n * 1024) == 1));
        }));
}
