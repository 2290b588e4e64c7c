// What endpoints announce in their answers. Index: leaving; pauses.
#include <catch2/catch.hpp>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

std::string const leaving = "Response-Seal: s\r\nServer-Leaving: 1\r\n";

/// Publishes a change once the gateway asks for changes, which it does with a
/// pause.
void publish(relay_fixture& fixture, store_row const& row)
{
    auto& table = fixture.table;
    for (int i = 0; i < 10 && !table.pending_changes; ++i)
        fixture.advance(milliseconds(100));
    REQUIRE(table.pending_changes);
    table.publish_change(row);
}

/// Answers the last request that the endpoint received.
void answer(
    scripted_endpoint& e, std::string const& id,
    std::string const& status = "200 OK",
    std::string const& more = "Response-Seal: s\r\n")
{
    auto const sent = std::find_if(
        e.connections.rbegin(), e.connections.rend(),
        [&id](auto const& c) { return c->has("Request-Id: " + id + "\r\n"); });
    REQUIRE(sent != e.connections.rend());
    (*sent)->send(relay_fixture::response(id, "body", status, more));
}

/// Sends a request that has to reach the endpoint, and answers it.
std::shared_ptr<test_connection> serve(
    relay_fixture& fixture, scripted_endpoint& e, std::string const& id,
    std::string const& status = "200 OK",
    std::string const& more = "Response-Seal: s\r\n")
{
    auto const before = e.request_count();
    auto const caller = fixture.connect_caller(fixture.request("/open/x", id));
    REQUIRE(fixture.run_until([&] { return e.request_count() == before + 1; }));
    answer(e, id, status, more);
    return caller;
}

void start_with(relay_fixture& fixture, std::vector<std::size_t> const& rows)
{
    std::vector<store_row> kept;
    for (auto const i : rows)
        kept.push_back(fixture.table.rows[i]);
    fixture.table.rows = kept;
    fixture.settings.drain_bound = milliseconds(4000);
    fixture.start();
    REQUIRE(fixture.run_until([&] { return fixture.subject->ready(); }));
    fixture.clock.stop();
}

std::size_t count_reports(scripted_endpoint const& e)
{
    std::size_t n = 0;
    for (auto const& c : e.connections)
        n += c->has("GET /report ") ? 1 : 0;
    return n;
}

} // namespace

// Leaving --------------------------------------------------------------------

// An endpoint got requests after the drain bound, because its row still said
// ready while its answers said that it was leaving.
TEST_CASE("an announced departure holds whatever the row says", "[announced]")
{
    relay_fixture fixture;
    start_with(fixture, {0});
    auto& e = *fixture.endpoints[0];
    auto const ready = fixture.table.rows[0];
    auto const change = GENERATE(
        as<std::string>{}, "none", "ready", "draining, ready",
        "removed, returned");
    auto const caller = serve(fixture, e, "r1", "200 OK", leaving);
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\nbody"); }));
    REQUIRE_FALSE(caller->has("Server-Leaving"));
    REQUIRE(fixture.logged("endpoint_leaving endpoint=one source=answer"));
    auto const announced_at = fixture.clock.now();
    auto row = ready;
    if (change == "removed, returned")
    {
        row.deleted = true;
        publish(fixture, row);
    }
    if (change == "draining, ready")
    {
        auto& text = row.value;
        text.replace(text.find("ready"), 5, "draining");
        publish(fixture, row);
    }
    if (change != "none")
        publish(fixture, ready);
    fixture.clock.offset +=
        announced_at + milliseconds(3400) - fixture.clock.now();
    fixture.settle();
    serve(fixture, e, "r2"); // the last resort
    fixture.advance(milliseconds(200));
    auto const count = e.request_count();
    auto const late = fixture.connect_caller(fixture.request("/open/x", "r3"));
    fixture.settle();
    REQUIRE(e.request_count() == count);
    // A new incarnation has announced nothing.
    row = ready;
    row.value.insert(1, R"("born":99,)");
    row.key = "one-again";
    publish(fixture, row);
    REQUIRE(fixture.run_until([&] { return e.request_count() == count + 1; }));
}

// Requests followed the bound if their connection was made slowly.
TEST_CASE("nothing is sent on a connection made too late", "[announced]")
{
    relay_fixture fixture;
    start_with(fixture, {0});
    auto& e = *fixture.endpoints[0];
    // The connection is not reused.
    serve(fixture, e, "r1", "200 OK", leaving + "Connection: close\r\n");
    fixture.settle();
    fixture.advance(milliseconds(3400));
    auto const late = fixture.connect_caller(fixture.request("/open/x", "r2"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("dispatch request=r2"); }));
    fixture.clock.offset += milliseconds(120);
    fixture.settle();
    REQUIRE(e.request_count() == 1);
}

// The gateway's own calls learned nothing from what their answers announced.
TEST_CASE("an answer to a call announces a departure", "[announced]")
{
    relay_fixture fixture;
    start_with(fixture, {2});
    auto& m1 = *fixture.endpoints[2];
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 1; }));
    m1.connections[0]->send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has(event(1)); }));
    for (int i = 0; i < 10 && count_reports(m1) == 0; ++i)
        fixture.advance(milliseconds(100));
    REQUIRE(count_reports(m1) == 1);
    m1.connections.back()->send(
        "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}");
    REQUIRE(fixture.run_until(
        [&] {
            return fixture.logged("endpoint_leaving endpoint=m1 source=answer");
        }));
    // Checks are bound by it as well.
    fixture.advance(milliseconds(3600));
    auto const count = m1.request_count();
    fixture.advance(milliseconds(1000));
    REQUIRE(m1.request_count() == count);
}

// Pauses ---------------------------------------------------------------------

// Refused endpoints that asked for seconds got further requests after 200 ms.
TEST_CASE("an endpoint that asks for a pause gets none", "[announced]")
{
    relay_fixture fixture;
    start_with(fixture, {0, 1});
    bool const proven = GENERATE(true, false);
    std::string const proof = proven ? "Not-Executed: 1\r\n" : "";
    auto& one = *fixture.endpoints[0];
    auto& two = *fixture.endpoints[1];
    auto const caller =
        fixture.connect_caller(fixture.request("/open/x", "r1"));
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    answer(one, "r1", "503 Busy", proof + "Retry-After: 2\r\n");
    if (proven)
    {
        REQUIRE(fixture.run_until([&] { return two.request_count() == 1; }));
        answer(two, "r1");
    }
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(fixture.logged("endpoint_paused endpoint=one for_ms=2000"));
    for (int i = 2; i < 8; ++i)
    {
        serve(fixture, two, "r" + std::to_string(i));
        fixture.advance(milliseconds(300));
    }
    REQUIRE(one.request_count() == 1);
    fixture.advance(milliseconds(300));
    serve(fixture, one, "r9");
}

// A request that no endpoint takes in time learns so at once; others wait.
TEST_CASE("requests wait for the end of a pause", "[announced]")
{
    relay_fixture fixture;
    start_with(fixture, {0});
    auto& e = *fixture.endpoints[0];
    struct row
    {
        char const* seconds;
        bool refused;
    };
    auto const r = GENERATE(row{"2", false}, row{"30", true}, row{"70", true});
    auto const waiting = serve(
        fixture, e, "r1", "503 Busy",
        std::string("Not-Executed: 1\r\nRetry-After: ") + r.seconds + "\r\n");
    auto const next = fixture.connect_caller(fixture.request("/open/x", "r2"));
    if (r.refused)
    {
        REQUIRE(fixture.run_until([&] { return next->has(" 503 "); }));
        REQUIRE(fixture.run_until([&] { return waiting->has(" 503 "); }));
        REQUIRE(next->has(
            std::string("Retry-After: ") +
            (r.seconds == std::string("70") ? "60" : r.seconds) + ".0\r\n"));
        return;
    }
    fixture.advance(milliseconds(1900));
    REQUIRE(e.request_count() == 1);
    fixture.advance(milliseconds(300));
    REQUIRE(fixture.run_until([&] { return e.request_count() == 3; }));
}

// A check is a request too; it reached endpoints in the middle of their pause.
TEST_CASE("a paused endpoint is not checked", "[announced]")
{
    relay_fixture fixture;
    start_with(fixture, {2});
    auto& m1 = *fixture.endpoints[2];
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 1; }));
    m1.connections[0]->send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has(event(1)); }));
    auto const refused =
        fixture.connect_caller(fixture.request("/llm/x", "r2"));
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 2; }));
    answer(m1, "r2", "503 Busy", "Not-Executed: 1\r\nRetry-After: 3\r\n");
    fixture.advance(milliseconds(2900));
    REQUIRE(m1.request_count() == 2);
    fixture.advance(milliseconds(300));
    REQUIRE(fixture.run_until([&] { return m1.request_count() > 2; }));
}
