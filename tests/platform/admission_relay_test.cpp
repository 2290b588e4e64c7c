// Requests that wait for capacity, over connections.
#include <catch2/catch.hpp>

#include <algorithm>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// One engine endpoint with one slot. Callers of its route wait 2 s for a first
/// event.
struct full_engine_fixture : relay_fixture
{
    full_engine_fixture()
    {
        set_engine_gap_target("250");
        auto& text = configuration.rows[0].value;
        for (auto const& [from, to] :
             {std::pair<std::string, std::string>{
                  R"("llm","timeoutMs":20000,"targetLatencyMs":9000)",
                  R"("llm","timeoutMs":20000,"targetLatencyMs":500)"},
              {R"("engine":{"slots":8)", R"("engine":{"slots":1)"}})
        {
            auto const at = text.find(from);
            REQUIRE(at != std::string::npos);
            text.replace(at, from.size(), to);
        }
        table.rows = {table.rows[2]};
        settings.drain_bound = milliseconds(4000);
        start();
        REQUIRE(run_until([&] { return subject->ready(); }));
        clock.stop();
    }

    /// Sends a request whose answer fills the endpoint.
    std::shared_ptr<test_connection> fill()
    {
        auto const caller = connect_caller(request("/llm/x", "r1"));
        running = take_request("Request-Id: r1\r\n");
        REQUIRE(running);
        running->send(stream_head() + chunk(event(++last_event)));
        REQUIRE(run_until([&] { return caller->has(event(1)); }));
        return caller;
    }

    /// Lets time pass while the first answer goes on.
    void pass(milliseconds span)
    {
        advance(span, [&] { running->send(chunk(event(++last_event))); });
    }

    std::size_t count(std::string const& text) const
    {
        return std::size_t(std::count_if(
            log.lines.begin(), log.lines.end(),
            [&text](std::string const& line)
            { return line.find(text) != std::string::npos; }));
    }

    bool waiting(int n)
    {
        return run_until(
            [&]
            {
                return subject->metrics().find(
                           "waiting_requests " + std::to_string(n) + '\n') !=
                       std::string::npos;
            });
    }

    std::shared_ptr<test_connection> running;
    int last_event = 0;
};

} // namespace

// Waiting requests were kept until their deadlines, while their callers gave up
// earlier.
TEST_CASE("a waiting request is refused in its caller's time", "[admission]")
{
    full_engine_fixture fixture;
    auto const begun = fixture.fill();
    auto const waits = fixture.connect_caller(fixture.request("/llm/x", "r2"));
    REQUIRE(fixture.waiting(1));
    fixture.pass(milliseconds(1800));
    REQUIRE_FALSE(waits->has("HTTP/1.1"));
    fixture.pass(milliseconds(400));
    REQUIRE(fixture.run_until([&] { return waits->has("\r\n\r\n"); }));
    REQUIRE(waits->has(" 503 "));
    REQUIRE(waits->has("\"reason\":\"not_started\""));
    auto const at = waits->received.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    auto const seconds = std::stod(waits->received.substr(at + 13));
    REQUIRE(seconds > 0);
    REQUIRE(seconds <= (9 - 2) / 3.0); // of the caller's time
    REQUIRE(fixture.logged("wait_refused request=r2 "));
    REQUIRE(
        fixture.subject->metrics().find(
            "dotterellock_queue_refusals_total{rank=\"0\",reason=\"not_"
            "started\"} 1") != std::string::npos);

    // It was sent nowhere, and the begun answer goes on.
    REQUIRE_FALSE(fixture.logged("dispatch request=r2"));
    fixture.running->send(chunk(event(1000)));
    REQUIRE(fixture.run_until([&] { return begun->has(event(1000)); }));
}

// A new request took the room that had become free before those that waited.
TEST_CASE("a new request waits behind others", "[admission]")
{
    full_engine_fixture fixture;
    auto const first = fixture.connect_caller(fixture.request("/llm/x", "r1"));
    auto const refused = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(refused);
    refused->send(relay_fixture::response(
        "r1", "busy", "503 Busy", "Not-Executed: 1\r\nRetry-After: 0.3\r\n"));
    REQUIRE(fixture.waiting(1));
    // The pause ends before the gateway looks at its queue again. The first
    // request can still meet its target then.
    fixture.clock.offset += milliseconds(300);
    auto const second = fixture.connect_caller(fixture.request("/llm/x", "r2"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.count("dispatch request=") == 2; }));
    fixture.settle();
    REQUIRE(fixture.count("dispatch request=r1 ") == 2);
    REQUIRE(fixture.count("dispatch request=r2 ") == 0);
    REQUIRE(fixture.waiting(1));
}
