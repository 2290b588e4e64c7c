// Index: admission; retries; responses; streams; callers; reload; shutdown.
#include <catch2/catch.hpp>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

// Admission ------------------------------------------------------------------

TEST_CASE("each reason for a refusal has its status code", "[relay]")
{
    relay_fixture fixture;
    struct row
    {
        char const* path;
        char const* key;
        bool configured;
        char const* status;
    };
    auto const r = GENERATE(
        row{"/none/x", "KEY", true, " 404 "},
        row{"/safe/x", "BAD", true, " 401 "}, row{"/safe/x", "", true, " 401 "},
        row{"/safe/x", "KEY", false, " 503 "});
    fixture.configuration.available = r.configured;
    fixture.start();
    auto const caller = fixture.connect_caller(
        std::string("GET ") + r.path +
        " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" +
        (*r.key == 0 ? ""
                     : std::string("Authorization: Bearer ") + r.key + "\r\n") +
        "\r\n");
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->has(r.status));
    REQUIRE(caller->has("Retry-After") == !r.configured);
}

// Such requests waited until their deadline.
TEST_CASE("what no endpoint can serve is refused at once", "[relay]")
{
    struct row
    {
        char const* name;
        char const* service; // of the route
        bool endpoint;       // the list has one
        bool refused;
    };
    auto const r = GENERATE(
        row{"not configured", "gone", false, true},
        row{"not configured, with an endpoint", "gone", true, false},
        row{"configured, its endpoints may come back", "app", false, false});
    CAPTURE(r.name);
    relay_fixture fixture;
    auto& text = fixture.configuration.rows[0].value;
    std::string const from = R"("routeType":"safe","service":"app",)";
    text.replace(
        text.find(from), from.size(),
        std::string(R"("routeType":"safe","service":")") + r.service + R"(",)");
    fixture.table.rows.erase(
        fixture.table.rows.begin(), fixture.table.rows.begin() + 2);
    if (r.endpoint)
        fixture.table.rows.push_back(fixture.row(
            "one", R"({"service":"gone","address":")" +
                       fixture.endpoints[0]->address() +
                       R"(","zone":"near","state":"ready","slots":8})"));
    fixture.start();
    fixture.clock.stop();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    auto const ended = [&]
    {
        return caller->has("\r\n\r\n") ||
               fixture.endpoints[0]->request_count() > 0;
    };
    if (r.refused || r.endpoint)
        REQUIRE(fixture.run_until(ended));
    else
        fixture.settle();
    REQUIRE(
        caller->received.rfind("HTTP/1.1 503 ", 0) ==
        (r.refused ? 0 : std::string::npos));
    REQUIRE(caller->has("Retry-After: ") == r.refused);
    REQUIRE(fixture.logged("reason=unknown_service detail=safe") == r.refused);
}

// A gateway that did not have the list of endpoints yet refused what one of
// them serves.
TEST_CASE("an unknown list of endpoints refuses no service", "[relay]")
{
    relay_fixture fixture;
    auto& text = fixture.configuration.rows[0].value;
    std::string const from = R"("routeType":"safe","service":"app",)";
    text.replace(
        text.find(from), from.size(),
        R"("routeType":"safe","service":"extra",)");
    auto& one = fixture.table.rows[0].value;
    std::string const app = R"("service":"app")";
    one.replace(one.find(app), app.size(), R"("service":"extra")");
    fixture.table.available = false;
    fixture.start();
    fixture.clock.stop();
    fixture.advance(milliseconds(800)); // accepts without a list
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    fixture.advance(milliseconds(200));
    fixture.table.available = true;
    auto const ended = [&]
    {
        return caller->has("\r\n\r\n") ||
               fixture.endpoints[0]->request_count() > 0;
    };
    for (int i = 0; i < 30 && !ended(); ++i)
        fixture.advance(milliseconds(100));
    REQUIRE_FALSE(caller->has("unknown_service"));
    REQUIRE(fixture.endpoints[0]->request_count() == 1);
}

// Guards against serving a withdrawn API key: a gateway that was disconnected
// from the store or paused may not know of the withdrawal.
TEST_CASE("requests with an API key need a fresh configuration", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    REQUIRE(fixture.run_until([&] { return fixture.subject->ready(); }));
    fixture.clock.offset = milliseconds(4800);
    REQUIRE_FALSE(fixture.subject->ready());
    auto const keyed = fixture.connect_caller(fixture.request("/safe/x"));
    REQUIRE(fixture.run_until([&] { return keyed->has(" 503 "); }));
    auto const open = fixture.connect_caller(fixture.request("/open/x", "r2"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
}

TEST_CASE(
    "a request is forwarded with its body and without its API key", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(
        "POST /unsafe/a?b=c HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
        "Deadline-Ms: 9000\r\nAuthorization: Bearer KEY\r\nTenant-Id: evil\r\n"
        "Kv-From: x\r\nX-Own: 1\r\nConnection: X-Own\r\nX-Other: 2\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    auto& e = *fixture.endpoints[0];
    REQUIRE(fixture.run_until(
        [&]
        { return e.request_count() == 1 && e.connections[0]->has("abc"); }));
    auto const& text = e.connections[0]->received;
    REQUIRE(text.rfind("POST /unsafe/a?b=c HTTP/1.1\r\n", 0) == 0);
    REQUIRE(e.connections[0]->has("Request-Id: r1\r\n"));
    REQUIRE(e.connections[0]->has("Tenant-Id: acme\r\n"));
    REQUIRE(e.connections[0]->has("Expect-Instance: one\r\n"));
    REQUIRE(e.connections[0]->has("X-Other: 2\r\n"));
    REQUIRE(e.connections[0]->has("Content-Length: 3\r\n\r\nabc"));
    for (auto const* absent : {"evil", "KEY", "Kv-From", "X-Own", "chunked"})
        REQUIRE_FALSE(e.connections[0]->has(absent));
    e.connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\nbody"); }));
    REQUIRE(caller->has("Response-Seal: s\r\n"));
}

TEST_CASE("the configured header and body limits are enforced", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const text = GENERATE(
        as<std::pair<std::string, std::string>>{},
        std::pair<std::string, std::string>{
            "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 10001\r\n\r\n",
            " 413 "},
        std::pair<std::string, std::string>{
            "GET /safe/ HTTP/1.1\r\nHost: h\r\nX: " + std::string(4100, 'x') +
                "\r\n\r\n",
            " 431 "},
        std::pair<std::string, std::string>{
            "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            " 400 "});
    auto const caller = fixture.connect_caller(text.first);
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(caller->has(text.second));
    REQUIRE(caller->has("Connection: close\r\n"));
    REQUIRE(fixture.endpoints[0]->request_count() == 0);
}

// Retries --------------------------------------------------------------------

// An idle connection that closes while a request is written to it may still
// have delivered the request, so a non-idempotent request is not sent again.
TEST_CASE("a non-idempotent request is not sent twice", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const failure =
        GENERATE(as<std::string>{}, "close", "reset", "reused", "cut");
    auto& e = *fixture.endpoints[0];
    if (failure == "reused")
    {
        auto const before =
            fixture.connect_caller(fixture.request("/safe/x", "r0"));
        REQUIRE(fixture.run_until([&] { return e.request_count() == 1; }));
        e.connections[0]->send(fixture.response("r0", "first"));
        REQUIRE(fixture.run_until([&] { return before->has("first"); }));
    }
    auto const expected = e.request_count() + 1;
    auto const caller = fixture.connect_caller(fixture.request("/unsafe/x"));
    REQUIRE(fixture.run_until([&] { return e.request_count() == expected; }));
    if (failure == "cut")
        e.connections.back()->send(
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
            "Response-Seal: s\r\nContent-Length: 9\r\n\r\nab");
    if (failure == "reset")
        e.connections.back()->reset();
    else
        e.connections.back()->close();
    REQUIRE(fixture.run_until([&] { return caller->has(" 502 "); }));
    REQUIRE(e.request_count() == expected);
    REQUIRE(fixture.endpoints[1]->request_count() == 0);
}

TEST_CASE("a request that provably did not run is retried elsewhere", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const refusal = GENERATE(
        as<std::string>{}, "503 Service Unavailable",
        "421 Misdirected Request");
    auto const caller = fixture.connect_caller(fixture.request("/unsafe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.endpoints[0]->connections[0]->send(
        fixture.response("r1", "", refusal, "Not-Executed: 1\r\n"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[1]->request_count() == 1; }));
    fixture.endpoints[1]->connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has(" 200 OK"); }));
}

// A 503 without proof that the request did not run must not reach the caller as
// a refusal, which would promise that it did not.
TEST_CASE("a refusal without proof becomes a 502", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/unsafe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.endpoints[0]->connections[0]->send(
        fixture.response("r1", "", "503 Service Unavailable"));
    REQUIRE(fixture.run_until([&] { return caller->has(" 502 "); }));
    REQUIRE(fixture.endpoints[1]->request_count() == 0);
}

TEST_CASE("an idempotent request is retried after a failure", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const failure =
        GENERATE(as<std::string>{}, "reset", "junk", "unsealed", "error");
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    auto& connection = *fixture.endpoints[0]->connections[0];
    if (failure == "reset")
        connection.reset();
    else if (failure == "junk")
        connection.send("what is this\r\n\r\n");
    else if (failure == "unsealed")
        connection.send(fixture.response("r1", "bad", "200 OK", ""));
    else
        connection.send(
            fixture.response("r1", "bad", "500 Internal Server Error"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[1]->request_count() == 1; }));
    fixture.endpoints[1]->connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\nbody"); }));
    REQUIRE_FALSE(caller->has("bad"));
}

// Guards against a false "not run": a request whose first attempt may have run
// and whose retry finds no capacity must not be refused as not run.
TEST_CASE("a request that may have run is not reported as not run", "[relay]")
{
    relay_fixture fixture;
    fixture.table.rows.resize(1);
    fixture.start();
    auto& e = *fixture.endpoints[0];
    // One stream of three seconds: the gateway then expects that duration and
    // refuses the next stream that long before its deadline.
    auto const first =
        fixture.connect_caller(fixture.request("/stream/x", "r0"));
    REQUIRE(fixture.run_until([&] { return e.request_count() == 1; }));
    e.connections[0]->send(stream_head("r0") + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return first->has(event(1)); }));
    fixture.clock.offset = milliseconds(3000);
    e.connections[0]->send("0\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return first->has("0\r\n\r\n"); }));

    auto const caller =
        fixture.connect_caller(fixture.request("/stream/x", "r1"));
    REQUIRE(fixture.run_until([&] { return e.request_count() == 2; }));
    store_row removed;
    removed.key = "one";
    removed.deleted = true;
    fixture.table.publish_change(removed);
    fixture.clock.offset =
        milliseconds(5500); // past the 2.5 s for removed endpoints
    e.connections.back()->reset();
    REQUIRE(
        fixture.run_until([&] { return fixture.logged("attempt_failed"); }));
    fixture.clock.offset = milliseconds(9500);
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->has(" 502 "));
    REQUIRE_FALSE(caller->has("not_run"));
}

// Responses ------------------------------------------------------------------

// Guards against a late response to an earlier request on the same connection
// that is delivered for the current one.
TEST_CASE("a response to another request is dropped", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/unsafe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.endpoints[0]->connections[0]->send(
        fixture.response("other", "not yours") +
        fixture.response("r1", "yours"));
    REQUIRE(fixture.run_until([&] { return caller->has("yours"); }));
    REQUIRE_FALSE(caller->has("not yours"));
}

TEST_CASE("surplus bytes after a response close the connection", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller =
        fixture.connect_caller(fixture.request("/safe/x", "r1"));
    auto& e = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return e.request_count() == 1; }));
    e.connections[0]->send(
        fixture.response("r1", "first") + fixture.response("r1", "extra"));
    REQUIRE(fixture.run_until([&] { return caller->has("first"); }));
    caller->send(fixture.request("/safe/x", "r2"));
    REQUIRE(fixture.run_until(
        [&] { return e.connections.size() == 2 && e.request_count() == 2; }));
    e.connections[1]->send(fixture.response("r2", "second"));
    REQUIRE(fixture.run_until([&] { return caller->has("second"); }));
    REQUIRE_FALSE(caller->has("extra"));
}

TEST_CASE("a close-delimited response needs an orderly close", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    bool const orderly = GENERATE(true, false);
    auto const caller = fixture.connect_caller(fixture.request("/unsafe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    auto& connection = *fixture.endpoints[0]->connections[0];
    connection.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\nbody");
    if (orderly)
        connection.close();
    else
        connection.reset();
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->has(" 200 OK") == orderly);
    REQUIRE(caller->has("Content-Length: 4\r\n") == orderly);
}

// A response to HEAD has a Content-Length but no body; a gateway that waited
// for the body would delay the response until the deadline.
TEST_CASE("a response to HEAD has no body", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto text = fixture.request("/safe/x");
    text.replace(0, 3, "HEAD");
    auto const caller = fixture.connect_caller(text);
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.endpoints[0]->connections[0]->send(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
        "Content-Length: 4000\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->has(" 200 OK"));
}

// Streams --------------------------------------------------------------------

// Guards against missing, duplicate and partial events, and against two
// concurrent runs of one request.
TEST_CASE("a stream resumes at another endpoint", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const failure =
        GENERATE(as<std::string>{}, "reset", "close", "mid-event");
    auto const caller = fixture.connect_caller(fixture.request("/stream/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    auto& first = *fixture.endpoints[0]->connections[0];
    first.send(stream_head() + chunk(event(1)) + chunk(event(2)));
    REQUIRE(fixture.run_until([&] { return caller->has(event(2)); }));
    if (failure == "mid-event")
    {
        first.send(chunk("id: 3\nda"));
        first.close();
    }
    else if (failure == "close")
        first.close();
    else
        first.reset();
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[1]->request_count() == 1; }));
    auto& second = *fixture.endpoints[1]->connections[0];
    REQUIRE(second.has("Last-Event-Id: 2\r\n"));
    // Event 2 has reached the caller already and must not be sent again.
    second.send(
        stream_head() + chunk(event(2)) + chunk(event(3)) + chunk(event(4)) +
        "0\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return caller->has("0\r\n\r\n"); }));
    std::string events;
    for (int i = 1; i <= 4; ++i)
    {
        auto const at = caller->received.find(event(i));
        REQUIRE(at != std::string::npos);
        REQUIRE(caller->received.find(event(i), at + 1) == std::string::npos);
    }
    REQUIRE_FALSE(caller->has("id: 3\nda\n"));
    REQUIRE(caller->received.find("HTTP/1.1 200", 1) == std::string::npos);
}

TEST_CASE("a stream that cannot resume does not look complete", "[relay]")
{
    relay_fixture fixture;
    fixture.table.rows.resize(1);
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/stream/x"));
    auto& e = *fixture.endpoints[0];
    for (std::size_t attempt = 1; attempt <= 3; ++attempt)
    {
        REQUIRE(
            fixture.run_until([&] { return e.request_count() == attempt; }));
        e.connections.back()->send(stream_head() + chunk(event(int(attempt))));
        REQUIRE(fixture.run_until(
            [&] { return caller->has(event(int(attempt))); }));
        e.connections.back()->reset();
    }
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE_FALSE(caller->has("0\r\n\r\n"));
    REQUIRE(e.request_count() == 3);
}

// Guards against processing a prompt again although a copy of its memory
// exists. A copy made on demand is addressed by the handle that its endpoint
// returned, which takes a second or more while many are made: after 400 ms the
// call was given up, and the copy stayed unused in memory.
TEST_CASE("a stream resumes from the copy that replaced a lost one", "[relay]")
{
    auto const copy_takes = GENERATE(milliseconds(0), milliseconds(1500));
    CAPTURE(copy_takes.count());
    relay_fixture fixture;
    fixture.settings.first_start = true; // no endpoint caches a prompt
    fixture.start();
    auto const caller = fixture.connect_caller(
        fixture.request("/llm/x", "r1", "Token-Counts: 800,60\r\n"));
    auto& primary = *fixture.endpoints[2];
    REQUIRE(fixture.run_until([&] { return primary.request_count() == 1; }));
    auto& stream = *primary.connections[0];
    auto const first =
        stream.has("Kv-Backup: " + fixture.endpoints[3]->address())
            ? std::size_t{3}
            : std::size_t{4};
    auto const second = first == 3 ? std::size_t{4} : std::size_t{3};
    REQUIRE(stream.has("Kv-Backup: " + fixture.endpoints[first]->address()));
    stream.send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has(event(1)); }));

    store_row removed;
    removed.key = first == 3 ? "m2" : "m3";
    removed.deleted = true;
    fixture.table.publish_change(removed);
    REQUIRE(fixture.run_until([&] { return primary.connections.size() == 2; }));
    auto& copy = *primary.connections[1];
    REQUIRE(fixture.run_until([&] { return copy.has("\"to\""); }));
    REQUIRE(copy.has(fixture.endpoints[second]->address()));
    fixture.clock.stop();
    int last = 1;
    fixture.advance(copy_takes, [&] { stream.send(chunk(event(++last))); });
    REQUIRE(fixture.run_until([&] { return caller->has(event(last)); }));
    copy.send("HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n"
              "{\"handle\":\"c7\",\"created\":1}");
    fixture.clock.offset += milliseconds(200);
    REQUIRE(fixture.run_until([&] { return fixture.logged("copy=c7"); }));
    stream.reset();
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[second]->request_count() == 1; }));
    auto& resumed = *fixture.endpoints[second]->connections[0];
    REQUIRE(resumed.has("Kv-From: " + primary.address() + "/c7\r\n"));
    REQUIRE(resumed.has("Last-Event-Id: " + std::to_string(last) + "\r\n"));
}

// Callers --------------------------------------------------------------------

// Work for a disconnected caller is wasted and is to end within 0.2 s.
TEST_CASE("a disconnected caller cancels its request", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const path = GENERATE(as<std::string>{}, "/stream/x", "/safe/x");
    auto const caller = fixture.connect_caller(fixture.request(path));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    caller->close();
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->connections[0]->closed; }));
    // Ended by the disconnect, not by a timeout.
    REQUIRE(fixture.logged("outcome=caller_gone"));
}

TEST_CASE("pipelined requests are answered in order", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(
        fixture.request("/safe/x", "r1") + fixture.request("/safe/x", "r2"));
    auto& e = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return e.request_count() == 1; }));
    e.connections[0]->send(fixture.response("r1", "first"));
    REQUIRE(fixture.run_until([&] { return e.request_count() == 2; }));
    e.connections.back()->send(fixture.response("r2", "second"));
    REQUIRE(fixture.run_until([&] { return caller->has("second"); }));
    REQUIRE(caller->received.find("first") < caller->received.find("second"));
}

TEST_CASE("readiness and metrics are served on the status address", "[relay]")
{
    relay_fixture fixture;
    fixture.configuration.available = false;
    fixture.start();
    auto const early = fixture.connect(
        fixture.settings.status_listen,
        "GET /readiness HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return early->has(" 503 "); }));
    fixture.configuration.available = true;
    REQUIRE(fixture.run_until([&] { return fixture.subject->ready(); }));
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.endpoints[0]->connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("body"); }));
    auto const metrics = fixture.connect(
        fixture.settings.status_listen,
        "GET /metrics HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return metrics->has("store_calls"); }));
    REQUIRE(metrics->has("dotterellock_requests_total{kind=\"idempotent\","
                         "rank=\"0\",outcome=\"served\",status=\"200\""));
    REQUIRE(metrics->has("dotterellock_first_byte_seconds_count"));
    REQUIRE(metrics->has("dotterellock_endpoints 5"));
}

// Reload ---------------------------------------------------------------------

// A shorter key withdrawal bound must also shorten the calls for changes.
// Otherwise the freshness lease expires between two calls and requests with an
// API key are refused.
TEST_CASE("a reload shortens the calls for configuration changes", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    REQUIRE(fixture.run_until(
        [&] { return fixture.configuration.pending_changes != nullptr; }));
    REQUIRE(fixture.configuration.last_changes_wait == milliseconds(1400));
    fixture.settings.key_withdrawal_bound = milliseconds(1000);
    fixture.subject->reload(fixture.settings);
    fixture.configuration.publish_change(
        fixture.configuration.rows[0]); // ends the call
    REQUIRE(fixture.run_until(
        [&] { return fixture.configuration.pending_changes != nullptr; }));
    REQUIRE(
        fixture.configuration.last_changes_wait ==
        freshness_lease::max_poll_wait(milliseconds(1000)));
}

// A restarted process must not grant its share of the fleet's retry allowance
// again, and a changed retry budget must also apply to services already in use.
TEST_CASE("the retry budget follows the settings", "[relay]")
{
    struct row
    {
        bool first_start;
        double ratio_after_reload; // negative: no reload
        bool repeated;
    };
    auto const r = GENERATE(
        row{true, -1, true}, row{false, -1, false}, row{true, 0, false},
        row{false, 5, true});
    relay_fixture fixture;
    fixture.settings.first_start = r.first_start;
    fixture.settings.retries.ratio = 0.1;
    fixture.start();
    auto const before = fixture.connect_caller(fixture.request("/safe/a", "a"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.endpoints[0]->connections[0]->send(fixture.response(
        "a", "body", "200 OK", "Response-Seal: s\r\nConnection: close\r\n"));
    REQUIRE(fixture.run_until([&] { return before->has("body"); }));
    if (r.ratio_after_reload >= 0)
    {
        fixture.settings.retries.ratio = r.ratio_after_reload;
        fixture.settings.retries.allowance = 0;
        fixture.subject->reload(fixture.settings);
    }
    auto const caller = fixture.connect_caller(fixture.request("/safe/b", "b"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 2; }));
    fixture.endpoints[0]->connections.back()->reset();
    if (r.repeated)
        REQUIRE(fixture.run_until(
            [&] { return fixture.endpoints[1]->request_count() == 1; }));
    else
        REQUIRE(fixture.run_until([&] { return caller->has(" 502 "); }));
}

// Shutdown -------------------------------------------------------------------

// Requests that are unfinished after the shutdown grace period must end with an
// accurate response and a log line instead of with the process.
TEST_CASE("the end of the grace period ends open requests", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const plain =
        fixture.connect_caller(fixture.request("/safe/x", "plain"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    auto const stream =
        fixture.connect_caller(fixture.request("/stream/x", "stream"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 2; }));
    fixture.endpoints[0]->connections[1]->send(
        "HTTP/1.1 200 OK\r\nRequest-Id: stream\r\nResponse-Seal: s\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    REQUIRE(fixture.run_until([&] { return stream->has("data: a"); }));
    fixture.subject->begin_shutdown();
    fixture.clock.offset = fixture.settings.shutdown_grace - milliseconds(390);
    REQUIRE(fixture.run_until(
        [&] { return plain->has(" 502 ") && stream->closed; }));
    REQUIRE(plain->has("grace_over"));
    REQUIRE_FALSE(stream->has("0\r\n\r\n")); // does not look complete
    REQUIRE(fixture.logged("request=plain route=safe"));
    REQUIRE(fixture.logged("outcome=broken status=0 reason=grace_over"));
}

TEST_CASE("a gateway in shutdown finishes open requests", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    fixture.subject->begin_shutdown();
    REQUIRE_FALSE(fixture.subject->ready());
    fixture.clock.offset = milliseconds(3000);
    REQUIRE_FALSE(fixture.subject->finished());
    fixture.endpoints[0]->connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(caller->has("\r\n\r\nbody"));
    REQUIRE(caller->has("Connection: close\r\n"));
    REQUIRE(fixture.run_until([&] { return fixture.subject->finished(); }));
}
