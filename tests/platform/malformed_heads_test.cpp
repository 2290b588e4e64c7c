// Answers whose heads break the syntax of HTTP. Index: names of fields;
// statuses; heads within a body; calls of the gateway itself; requests.
#include <catch2/catch.hpp>

#include "answer_text.hpp"
#include "relay/http_caller.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

std::string const seal = "Request-Id: r1\r\nResponse-Seal: s\r\n";

/// Sends `answer` to a request with this path. The caller must get the answer
/// of another endpoint if the request may be repeated, and else a failure.
void check_refused(std::string const& path, std::string const& answer)
{
    auto const closes = GENERATE(false, true);
    CAPTURE(path, answer, closes);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request(path));
    auto const c = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(c);
    c->send(answer);
    if (closes)
        c->close();
    if (path == "/unsafe/x")
    {
        REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
        REQUIRE(caller->received.rfind("HTTP/1.1 502 ", 0) == 0);
        return;
    }
    auto const next = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(next);
    next->send(
        path == "/llm/x" ? stream_head() + chunk(event(1)) + "0\r\n\r\n"
                         : fixture.response("r1", "second"));
    auto const expected = path == "/llm/x" ? event(1) : "second";
    REQUIRE(fixture.run_until([&] { return caller->has(expected); }));
    REQUIRE(caller->received.rfind("HTTP/1.1 200 ", 0) == 0);
    REQUIRE_FALSE(caller->has("first"));
}

} // namespace

// Names of fields ------------------------------------------------------------

// Callers got an answer with a part of the head that the endpoint did not write
// so, or with a body whose framing was in a line that was not understood.
TEST_CASE("an answer with a malformed field is no answer", "[answers][heads]")
{
    using namespace std::string_literals;
    auto const path =
        GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x", "/llm/x");
    auto const line = GENERATE(
        as<std::string>{}, "X A: b", "X A : b", "X-A : b", "X-A\t: b",
        " X-A: b", "\tX-A: b", " ", "\t", " Content-Length: 5",
        "\tContent-Length: 5", " Transfer-Encoding: chunked", "X\x01: b",
        "X\x1f: b", "X\x7f: b", "X\0A: b"s, "\0X: b"s, "X\vA: b", "X\fA: b",
        "X\rA: b", "X\x80: b", "X(A): b", ": b", "X-A", "X-A: b\x01",
        "X-A: b\0c"s, "X-A: b\x7f", "X-A: b\rc", "X-A: b\r\n c",
        "X-A: b\r\n\tc");
    auto const first = GENERATE(false, true); // of the fields
    auto const length =
        GENERATE(as<std::string>{}, "Content-Length: 5\r\n", "");
    std::string const type =
        path == "/llm/x" ? "Content-Type: text/event-stream\r\n" : "";
    check_refused(
        path, "HTTP/1.1 200 OK\r\n" +
                  (first ? line + "\r\n" + seal : seal + line + "\r\n") + type +
                  length + "\r\nfirst");
}

// Statuses -------------------------------------------------------------------

// Callers got an answer with a status that no answer may have, or with another
// one than the endpoint wrote.
TEST_CASE("an answer without a valid status is no answer", "[answers][heads]")
{
    using namespace std::string_literals;
    auto const path =
        GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x", "/llm/x");
    auto const line = GENERATE(
        as<std::string>{}, "000", "000 OK", "001 OK", "099 OK", "0 OK", "20 OK",
        "600 OK", "700 OK", "999 OK", "0200 OK", "00200 OK", "2000 OK",
        "-200 OK", "+200 OK", "2x0 OK", "200x OK", " 200 OK", "\t200 OK", "",
        "OK", "200 O\x01K", "200 O\0K"s, "200 O\x7fK", "200 O\rK");
    auto const framing = GENERATE(
        as<std::string>{}, "Content-Length: 5\r\n\r\nfirst",
        "Content-Length: 0\r\n\r\n", "\r\nfirst", "\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n");
    check_refused(path, "HTTP/1.1 " + line + "\r\n" + seal + framing);
}

// A status below 100 was taken for that of an interim answer, so the bytes
// behind its head counted as another answer.
TEST_CASE("what follows an invalid status is no answer", "[answers][heads]")
{
    auto const path = GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x");
    auto const status = GENERATE(as<std::string>{}, "000", "042", "099");
    auto const length =
        GENERATE(as<std::string>{}, "Content-Length: 400\r\n", "");
    check_refused(
        path, "HTTP/1.1 " + status + " OK\r\n" + seal + length + "\r\n" +
                  relay_fixture::response("r1", "first"));
}

// Interim answers before the proper one are dropped.
TEST_CASE("valid statuses pass", "[answers][heads]")
{
    auto const line = GENERATE(
        as<std::string>{}, "200", "200 ", "200 OK", "299 Some\tthing",
        "404 \xe9t\xe9", "599 Last");
    auto const interim = GENERATE(
        as<std::string>{}, "", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
    CAPTURE(line, interim);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/unsafe/x"));
    auto const c = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(c);
    c->send(
        interim + "HTTP/1.1 " + line + "\r\n" + seal +
        "X-Obs: caf\xe9\tau lait\r\nContent-Length: 5\r\n\r\nfirst");
    REQUIRE(fixture.run_until([&] { return caller->has("first"); }));
    REQUIRE(
        caller->received.rfind("HTTP/1.1 " + line.substr(0, 3) + ' ', 0) == 0);
    REQUIRE(caller->has("\r\nX-Obs: caf\xe9\tau lait\r\n"));
}

// Heads within a body --------------------------------------------------------

// An answer that stopped was completed by the next one of the same connection,
// as the head of that was malformed and so not found.
TEST_CASE("a malformed head ends the body before it", "[answers][heads]")
{
    auto const path = GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x");
    auto const line = GENERATE(
        as<std::string>{}, "X A: b\r\n", "X-A : b\r\n", "X\x01: b\r\n",
        "X\x7f: b\r\n", "X-A: b\x01\r\n", "X-A\r\n", " X-A: b\r\n", "");
    auto const status =
        GENERATE(as<std::string>{}, "200 OK", "000 OK", "700 OK");
    auto const complete = GENERATE(true, false); // the inner head
    std::string inner =
        "HTTP/1.1 " + status + "\r\n" + line + seal + "Content-Length: 5\r\n";
    inner += complete ? "\r\nother" : "";
    CAPTURE(line, status, complete);
    auto const body = "first" + inner;
    check_refused(
        path,
        "HTTP/1.1 200 OK\r\n" + seal + length(body.size()) + "\r\n" + body);
}

// Calls of the gateway itself ------------------------------------------------

// What the store or another gateway answers is read in the same way.
TEST_CASE("a call takes no malformed answer", "[answers][heads]")
{
    auto const head = GENERATE(
        as<std::string>{}, "HTTP/1.1 000 OK\r\n", "HTTP/1.1 700 OK\r\n",
        "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n",
        "HTTP/1.1 200 OK\r\nX-A: b\r\n Store-Era: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\x01: b\r\n");
    CAPTURE(head);
    relay_fixture fixture;
    http_caller caller(
        fixture.io, fixture.clock, fixture.memory, memory_use::store, 1000);
    std::vector<http_reply> replies;
    caller.call(
        *parse_address(fixture.endpoints[0]->address()),
        "GET /rows HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::seconds(5),
        [&](http_reply reply) { replies.push_back(std::move(reply)); });
    auto const c = fixture.take_request("GET /rows ");
    REQUIRE(c);
    c->send(head + "Content-Length: 4\r\n\r\nrows");
    REQUIRE(fixture.run_until([&] { return replies.size() == 1; }));
    REQUIRE(replies[0].status == 0);
    REQUIRE(replies[0].failure == "malformed");
}

// Requests -------------------------------------------------------------------

// A caller's folded line was passed on as a part of the field above.
TEST_CASE("a request with a malformed head is refused", "[answers][heads]")
{
    using namespace std::string_literals;
    auto const line = GENERATE(
        as<std::string>{}, " X-A: b", "\tX-A: b", " Content-Length: 5",
        "X A: b", "X\x01: b", "X\0A: b"s, "X-A: b\r\n c", "X-A: b\x01");
    CAPTURE(line);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(
        fixture.request("/unsafe/x", "r1", line + "\r\n"));
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->received.rfind("HTTP/1.1 400 ", 0) == 0);
    for (auto const& e : fixture.endpoints)
        REQUIRE(e->request_count() == 0);
}

// The endpoint would split the request line elsewhere.
TEST_CASE("a target holds no control byte", "[answers][heads]")
{
    auto const target = GENERATE(
        as<std::string>{}, "/unsafe/x\ty", "/unsafe/x\fy", "/unsafe/x\x01y",
        "/unsafe/x?a\tb", "/unsafe/x\x7f");
    CAPTURE(target);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request(target));
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->received.rfind("HTTP/1.1 400 ", 0) == 0);
    for (auto const& e : fixture.endpoints)
        REQUIRE(e->request_count() == 0);
}
