#include <catch2/catch.hpp>

#include "recovery_faults.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

// Guards against a stream that loses, repeats or delays tokens without a fault,
// and against permits that are never released.
TEST_CASE("Generation without faults is delivered completely", "[recovery]")
{
    recovery_simulation simulation;
    caller& c = simulation.add_caller("c1", "r1");
    REQUIRE(simulation.run_until_done(milliseconds(5000)));
    CHECK(simulation.checker.report_text() == "");
    CHECK(simulation.checker.received(c.request.request).size() == 60);
    CHECK(c.reconnects == 0);
    CHECK(c.longest_gap <= milliseconds(40));
    CHECK(simulation.agent("a1").permits.held.empty());
}

// Guards against mixing output of two model versions: another version may
// answer only while the caller has no token.
TEST_CASE("Model version is withdrawn", "[recovery][relay]")
{
    bool const early = GENERATE(true, false);
    recovery_simulation simulation;
    caller& c = simulation.add_caller("c1", "r1");
    simulation.on_step = [&](recovery_step s)
    {
        if (s != (early ? recovery_step::prefill : recovery_step::mid_stream))
            return;
        simulation.version.version = "v2";
        simulation.agent("a1").engine.crash();
    };
    simulation.scheduler.advance(std::chrono::seconds(5));
    CHECK(simulation.checker.report_text() == "");
    CHECK(c.done == early);
    if (!early)
        CHECK(c.last_error == error_code::model_version_gone);
}

// Guards against unbounded buffers for a slow caller, against engine work that
// no caller reads, and against a gap when the answer resumes.
TEST_CASE("Engine work for a slow caller is bounded", "[recovery][relay]")
{
    recovery_simulation simulation;
    simulation.policy.settings.recovery.max_unsent_tokens = 10;
    caller& c = simulation.add_caller("c1", "r1");
    c.slow = true;
    simulation.scheduler.advance(std::chrono::seconds(3));
    CHECK(simulation.agent("a1").engine.running() == 0);
    CHECK(simulation.agent("a1").engine.produced <= 22);
    CHECK(simulation.checker.received(c.request.request).size() == 10);
    c.slow = false;
    simulation.router("r1").relay->caller_progress(c.request.request, 10);
    REQUIRE(simulation.run_until_done(std::chrono::seconds(20)));
    CHECK(simulation.checker.report_text() == "");
    CHECK(simulation.checker.received(c.request.request).size() == 60);
}

// Guards against event ids and agent buffers that grow with the answer.
TEST_CASE("Replication bounds event ids and agent buffers", "[recovery][relay]")
{
    simulation_settings settings;
    settings.answer_length = 2000;
    recovery_simulation simulation(settings);
    bool const holders_answer = GENERATE(true, false);
    if (!holders_answer)
    {
        simulation.network.partition(peer_id("r1"), peer_id("r2"));
        simulation.network.partition(peer_id("r1"), peer_id("r3"));
    }
    caller& c = simulation.add_caller("c1", "r1");
    simulation.scheduler.advance(std::chrono::seconds(30));
    auto const point = decode_event_id(c.event_id);
    CHECK(point.next_index > 900);
    // With holders: two journal intervals. Without, as when a region is lost:
    // max_tail_tokens.
    CHECK(point.tail.size() <= (holders_answer ? 20 : 256));
    CHECK(
        simulation.agent("a1").runner->buffered_tokens() <=
        (holders_answer ? 30u : 270u));
}

// Guards against returning the answer of another request for a reused key, and
// against a replay that differs from the first answer.
TEST_CASE("Caller reconnects to the same router", "[recovery][relay]")
{
    recovery_simulation simulation;
    caller& c = simulation.add_caller("c1", "r1");
    simulation.scheduler.advance(milliseconds(500));
    struct probe : generation_listener
    {
        void on_tokens(
            token_index first, std::vector<std::string> const& t,
            std::string const&) override
        {
            CHECK(first == tokens.size());
            tokens.insert(tokens.end(), t.begin(), t.end());
        }
        void on_finished(finish_reason, token_index) override { ++ends; }
        void on_error(error const& e) override { code = e.code(); }
        std::vector<std::string> tokens;
        unsigned ends = 0;
        std::optional<error_code> code;
    };
    auto const other = std::make_shared<probe>();
    generation_request request = c.request;
    request.prompt = "another prompt";
    generation_relay& relay = *simulation.router("r1").relay;
    relay.start(request, other);
    simulation.scheduler.advance(milliseconds(10));
    CHECK(other->code == error_code::key_reused);
    REQUIRE(simulation.run_until_done(std::chrono::seconds(5)));

    auto const again = std::make_shared<probe>();
    relay.start(c.request, again);
    CHECK(relay.open_generations() == 1);
    simulation.scheduler.advance(milliseconds(10));
    CHECK(again->tokens == simulation.checker.received(c.request.request));
    CHECK(again->ends == 1);
    CHECK(relay.open_generations() == 0);
    CHECK(simulation.agent("a1").engine.produced == 60);
}

// Guards against engine work that continues after the caller has left, and
// against work that stops while the caller may still reconnect.
TEST_CASE("Detached generation ends after the grace period", "[recovery]")
{
    simulation_settings settings;
    settings.answer_length = 5000;
    settings.progress_timeout = std::chrono::hours(1);
    recovery_simulation simulation(settings);
    caller& c = simulation.add_caller("c1", "r1");
    simulation.scheduler.advance(milliseconds(500));
    c.disconnect();
    simulation.scheduler.advance(std::chrono::seconds(29));
    CHECK(simulation.agent("a1").engine.running() == 1);
    simulation.scheduler.advance(std::chrono::seconds(2));
    CHECK(simulation.agent("a1").engine.running() == 0);
    CHECK(simulation.agent("a1").permits.held.empty());
}

// Guards against endless retries, and against delaying the refusal of a caller
// that has no token yet.
TEST_CASE("All endpoints refuse placement", "[recovery][relay]")
{
    bool const early = GENERATE(true, false);
    recovery_simulation simulation;
    caller& c = simulation.add_caller("c1", "r1");
    auto const refuse_all = [&] {
        simulation.refusing_agents = {"a1", "a2", "a3"};
    };
    if (early)
        refuse_all();
    simulation.on_step = [&](recovery_step s)
    {
        if (s != recovery_step::mid_stream)
            return;
        refuse_all();
        simulation.agent("a1").engine.crash();
        simulation.scheduler.schedule(
            milliseconds(1500), [&] { simulation.refusing_agents.clear(); });
    };
    simulation.scheduler.advance(std::chrono::seconds(10));
    CHECK(c.done == !early);
    if (early)
        CHECK(c.last_error == error_code::no_endpoint);
    else
        CHECK(c.errors == 0);
    CHECK(simulation.checker.report_text() == "");
}

// Guards against repeated work: the existing run must survive a silent
// connection and the failure of its router.
TEST_CASE("Surviving runs are not repeated", "[recovery][relay]")
{
    auto const name = GENERATE(
        as<std::string>{}, "connection silent both ways",
        "connection silent to router", "connection silent to agent",
        "router dies", "messages lost", "messages late", "agent drains");
    recovery_simulation simulation;
    caller& c = simulation.add_caller("c1", "r1");
    simulation.on_step = [&](recovery_step s)
    {
        if (s == recovery_step::mid_stream)
            fault_named(name).inject(simulation, c);
    };
    REQUIRE(simulation.run_until_done(std::chrono::seconds(10)));
    CAPTURE(name);
    CHECK(simulation.agent("a1").engine.produced == 60);
    CHECK(simulation.agent("a2").engine.produced == 0);
    CHECK(simulation.checker.report_text() == "");
}
