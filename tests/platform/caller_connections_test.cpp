// Requests that were read and dropped when the connection of their caller
// ended. Index: pipelined requests in a planned stop.

#include <catch2/catch.hpp>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

std::size_t count(std::string const& text, std::string const& part)
{
    std::size_t n = 0;
    for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos;
         at += part.size())
        ++n;
    return n;
}

bool ends_with(std::string const& text, std::string const& end)
{
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

std::string stream_answer(std::string const& id)
{
    return stream_head(id) + chunk(event(1)) + "0\r\n\r\n";
}

} // namespace

// Pipelined requests in a planned stop ---------------------------------------

// The answer to the first request announced the close of the connection, and
// the request behind it was dropped.
TEST_CASE("a stopping gateway answers a request behind another", "[unanswered]")
{
    enum class arrival // of the second request
    {
        whole_before_stop,
        half_before_stop,
        unread, // still in the socket when the first answer is sent
        within_stream
    };
    struct row
    {
        char const* name;
        std::string path;
        arrival second;
    };
    auto const r = GENERATE(
        row{"whole", "/safe/x", arrival::whole_before_stop},
        row{"half", "/safe/x", arrival::half_before_stop},
        row{"unread", "/safe/x", arrival::unread},
        row{"not idempotent", "/unsafe/x", arrival::whole_before_stop},
        row{"stream, whole", "/stream/x", arrival::whole_before_stop},
        row{"stream, half", "/stream/x", arrival::half_before_stop},
        row{"stream, unread", "/stream/x", arrival::unread},
        row{"stream begun before the stop", "/stream/x",
            arrival::within_stream});
    CAPTURE(r.name);
    relay_fixture fixture;
    fixture.settings.shutdown_grace = milliseconds(30000);
    fixture.start();
    auto const second = fixture.request(r.path, "r2");
    auto const half = second.size() / 2;
    auto text = fixture.request(r.path);
    if (r.second == arrival::whole_before_stop)
        text += second;
    else if (r.second == arrival::half_before_stop)
        text += second.substr(0, half);
    auto const caller = fixture.connect_caller(text);
    auto& one = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    bool const stream = r.path == "/stream/x";
    auto const answer = [&](std::string const& id)
    { return stream ? stream_answer(id) : fixture.response(id); };
    auto first = answer("r1");
    if (r.second == arrival::within_stream)
    {
        one.connections[0]->send(stream_head());
        one.connections[0]->send(chunk(event(1)));
        REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
        first = "0\r\n\r\n";
    }
    fixture.subject->begin_shutdown();
    if (r.second == arrival::unread || r.second == arrival::within_stream)
        caller->send(second);
    one.connections[0]->send(first);
    REQUIRE(fixture.run_until(
        [&]
        { return caller->has(stream ? "\r\n0\r\n\r\n" : "\r\n\r\nbody"); }));
    REQUIRE_FALSE(caller->has("Connection: close"));
    if (r.second == arrival::half_before_stop)
        caller->send(second.substr(half));
    REQUIRE(fixture.run_until([&] { return one.request_count() == 2; }));
    REQUIRE(one.connections.size() == 1);
    one.connections[0]->send(answer("r2"));
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(count(caller->received, "HTTP/1.1 200 OK\r\n") == 2);
    REQUIRE(count(caller->received, "Connection: close\r\n") == 1);
    REQUIRE(ends_with(caller->received, stream ? "\r\n0\r\n\r\n" : "body"));
    REQUIRE_FALSE(fixture.logged("unanswered_input"));
}

// A request that was read in part when the grace period ended was dropped
// without an answer.
TEST_CASE("the end of a grace period refuses partial requests", "[unanswered]")
{
    struct row
    {
        char const* name;
        std::string part;
    };
    std::string const head = "POST /safe/x HTTP/1.1\r\nHost: h\r\n"
                             "Request-Id: r2\r\nContent-Length: 5\r\n\r\n";
    auto const r = GENERATE_COPY(
        row{"request line", "GET /sa"}, row{"head", head},
        row{"first byte", "G"});
    CAPTURE(r.name);
    bool const behind_another = GENERATE(false, true);
    CAPTURE(behind_another);
    relay_fixture fixture;
    fixture.settings.shutdown_grace = milliseconds(8000);
    fixture.start();
    auto const caller = fixture.connect_caller(
        (behind_another ? fixture.request("/safe/x") : std::string()) + r.part);
    auto& one = *fixture.endpoints[0];
    if (behind_another)
    {
        REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
        fixture.subject->begin_shutdown();
        one.connections[0]->send(fixture.response());
        REQUIRE(fixture.run_until([&] { return caller->has("body"); }));
    }
    else
    {
        fixture.settle(); // the gateway reads the part
        fixture.subject->begin_shutdown();
    }
    fixture.clock.stop();
    fixture.clock.offset += milliseconds(7550);
    fixture.settle();
    REQUIRE_FALSE(caller->closed);
    REQUIRE_FALSE(caller->has("503"));
    fixture.clock.offset += milliseconds(100);
    fixture.run_ticks();
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(caller->has("HTTP/1.1 503 "));
    REQUIRE(caller->has("Retry-After: "));
    REQUIRE(caller->has("Connection: close\r\n"));
}
