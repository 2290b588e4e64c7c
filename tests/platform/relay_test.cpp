// Index: admission; repetition; answers; streams; callers; shutdown.
#include <catch2/catch.hpp>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string stream_head(std::string const& id = "r1")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

} // namespace

// Admission ------------------------------------------------------------------

TEST_CASE("requests are refused with the certain reason", "[relay]")
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

// A withdrawn key must not be served by a process that was cut off or paused.
TEST_CASE("keyed requests need a fresh configuration", "[relay]")
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

TEST_CASE("a request is forwarded with its body and without its key", "[relay]")
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
    for (auto const* gone : {"evil", "KEY", "Kv-From", "X-Own", "chunked"})
        REQUIRE_FALSE(e.connections[0]->has(gone));
    e.connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\nbody"); }));
    REQUIRE(caller->has("Response-Seal: s\r\n"));
}

TEST_CASE("limits of the configuration hold", "[relay]")
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

// Repetition -----------------------------------------------------------------

// An idle connection that ends as it is used may still have carried the
// request: one that may run once is not sent again.
TEST_CASE("a request that may run once is not sent twice", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const how =
        GENERATE(as<std::string>{}, "close", "reset", "reused", "cut");
    auto& e = *fixture.endpoints[0];
    if (how == "reused")
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
    if (how == "cut")
        e.connections.back()->send(
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
            "Response-Seal: s\r\nContent-Length: 9\r\n\r\nab");
    if (how == "reset")
        e.connections.back()->reset();
    else
        e.connections.back()->close();
    REQUIRE(fixture.run_until([&] { return caller->has(" 502 "); }));
    REQUIRE(e.request_count() == expected);
    REQUIRE(fixture.endpoints[1]->request_count() == 0);
}

TEST_CASE("a request that was proven not to run goes elsewhere", "[relay]")
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

// A 503 that does not prove anything must not reach the caller as a promise.
TEST_CASE("an unproven refusal is not passed on as one", "[relay]")
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

TEST_CASE("a repeatable request is sent again after a loss", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const how =
        GENERATE(as<std::string>{}, "reset", "junk", "unsealed", "error");
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    auto& connection = *fixture.endpoints[0]->connections[0];
    if (how == "reset")
        connection.reset();
    else if (how == "junk")
        connection.send("what is this\r\n\r\n");
    else if (how == "unsealed")
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

// "Not run" must be true: a request that ran once and then found no room is
// not refused with that promise.
TEST_CASE("a request that may have run is not refused as not run", "[relay]")
{
    relay_fixture fixture;
    fixture.table.rows.resize(1);
    fixture.start();
    auto& e = *fixture.endpoints[0];
    // Streams take three seconds, so that the next one is refused that long
    // before its deadline.
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
    store_row gone;
    gone.key = "one";
    gone.deleted = true;
    fixture.table.publish_change(gone);
    fixture.clock.offset = milliseconds(5500); // no last resort any more
    e.connections.back()->reset();
    REQUIRE(
        fixture.run_until([&] { return fixture.logged("attempt_failed"); }));
    fixture.clock.offset = milliseconds(9500);
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->has(" 502 "));
    REQUIRE_FALSE(caller->has("not_run"));
}

// Answers --------------------------------------------------------------------

// The late answer of an earlier request must not answer this one.
TEST_CASE("an answer to another request is dropped", "[relay]")
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

TEST_CASE("bytes after an answer end the connection", "[relay]")
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

TEST_CASE(
    "an answer without a length is whole only after an orderly end", "[relay]")
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

// A HEAD answer has a length but no body; waiting for one would hold its
// caller until the deadline.
TEST_CASE("a HEAD request is answered without a body", "[relay]")
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

// Guards against missing, doubled and partial events, and against two runs of
// one request at a time.
TEST_CASE("a stream goes on at another endpoint", "[relay]")
{
    relay_fixture fixture;
    fixture.start();
    auto const how = GENERATE(as<std::string>{}, "reset", "close", "mid-event");
    auto const caller = fixture.connect_caller(fixture.request("/stream/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[0]->request_count() == 1; }));
    auto& first = *fixture.endpoints[0]->connections[0];
    first.send(stream_head() + chunk(event(1)) + chunk(event(2)));
    REQUIRE(fixture.run_until([&] { return caller->has(event(2)); }));
    if (how == "mid-event")
    {
        first.send(chunk("id: 3\nda"));
        first.close();
    }
    else if (how == "close")
        first.close();
    else
        first.reset();
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[1]->request_count() == 1; }));
    auto& second = *fixture.endpoints[1]->connections[0];
    REQUIRE(second.has("Last-Event-Id: 2\r\n"));
    // An event that the caller has already is not sent again.
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

TEST_CASE("a stream that cannot go on does not look complete", "[relay]")
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

// Guards against a prompt that is read again although a copy exists: a copy
// made on demand goes by the name that its maker gave it.
TEST_CASE("a stream goes on from the copy that replaced a lost one", "[relay]")
{
    relay_fixture fixture;
    fixture.settings.first_start = true; // no prompt is cached anywhere
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

    store_row gone;
    gone.key = first == 3 ? "m2" : "m3";
    gone.deleted = true;
    fixture.table.publish_change(gone);
    REQUIRE(fixture.run_until([&] { return primary.connections.size() == 2; }));
    auto& copy = *primary.connections[1];
    REQUIRE(fixture.run_until([&] { return copy.has("\"to\""); }));
    REQUIRE(copy.has(fixture.endpoints[second]->address()));
    copy.send("HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n"
              "{\"handle\":\"c7\",\"created\":1}");
    fixture.clock.offset += milliseconds(200);
    REQUIRE(fixture.run_until([&] { return fixture.logged("copy=c7"); }));
    stream.reset();
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[second]->request_count() == 1; }));
    auto& resumed = *fixture.endpoints[second]->connections[0];
    REQUIRE(resumed.has("Kv-From: " + primary.address() + "/c7\r\n"));
    REQUIRE(resumed.has("Last-Event-Id: 1\r\n"));
}

// Callers --------------------------------------------------------------------

// Work for a caller that left is wasted, and is to end within 0.2 s.
TEST_CASE("a caller that leaves cancels its work", "[relay]")
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
    // It was the caller's leaving, and not a time limit, that ended it.
    REQUIRE(fixture.logged("outcome=caller_gone"));
}

TEST_CASE("requests of one connection are answered in turn", "[relay]")
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

TEST_CASE("readiness and metrics are served beside the callers", "[relay]")
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
    auto const asked = fixture.connect(
        fixture.settings.status_listen,
        "GET /metrics HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return asked->has("store_calls"); }));
    REQUIRE(asked->has("dotterellock_requests_total{kind=\"idempotent\","
                       "rank=\"0\",outcome=\"served\",status=\"200\""));
    REQUIRE(asked->has("dotterellock_first_byte_seconds_count"));
    REQUIRE(asked->has("dotterellock_endpoints 5"));
}

// Reload ---------------------------------------------------------------------

// A shorter bound for withdrawn keys must shorten the calls for changes too:
// the lease would end between two of them, and keyed requests be refused.
TEST_CASE("a reload shortens the calls for the configuration", "[relay]")
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
        freshness_lease::longest_call(milliseconds(1000)));
}

// A process that has just restarted must not bring its share of the fleet's
// allowance once more; an operator's change of the retry budget must reach
// the services that are in use already.
TEST_CASE("the retry budget follows the settings", "[relay]")
{
    struct row
    {
        bool first_start;
        double ratio_after_reload; // below 0: no reload
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

// What a gateway cannot finish within its grace time ends with an answer that
// is true and a log line, not with the process.
TEST_CASE("the end of the grace time ends what is left", "[relay]")
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

TEST_CASE("a stopping gateway finishes what it has", "[relay]")
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
