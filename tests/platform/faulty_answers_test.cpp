// Endpoints that answer a request twice, answer it with an error after a stream
// began, stop in the middle of an answer, or answer before they have read the
// request. Index: repeated refusals; errors after a stream began; cut answers;
// answers that end with their connection; early answers; HEAD;
// internal calls.
#include <catch2/catch.hpp>

#include "relay/endpoint_call.hpp"
#include "relay/http_caller.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// Runs what is ready, in which nothing is expected to happen.
void settle(relay_fixture& fixture)
{
    for (int i = 0; i < 20; ++i)
    {
        bool passed = false;
        asio::steady_timer timer(fixture.io, milliseconds(3));
        timer.async_wait([&](asio::error_code const&) { passed = true; });
        fixture.run_until([&] { return passed; });
    }
}

struct decoded_body
{
    std::string text;
    bool complete = false;
};

/// Body of the first response in `received`, if that is chunked.
decoded_body decode_chunks(std::string const& received)
{
    decoded_body body;
    auto at = received.find("\r\n\r\n");
    if (at == std::string::npos)
        return body;
    at += 4;
    while (true)
    {
        auto const end = received.find("\r\n", at);
        if (end == std::string::npos)
            return body;
        auto const size =
            std::stoul(received.substr(at, end - at), nullptr, 16);
        if (received.size() < end + 2 + size + 2)
            return body;
        body.complete = size == 0;
        if (body.complete)
            return body;
        body.text += received.substr(end + 2, size);
        at = end + 2 + size + 2;
    }
}

bool requested(relay_fixture& fixture, std::string const& text)
{
    return std::any_of(
        fixture.endpoints.begin(), fixture.endpoints.end(),
        [&](auto const& e)
        {
            return std::any_of(
                e->connections.begin(), e->connections.end(),
                [&](auto const& c) { return c->has(text); });
        });
}

struct ignoring_handler : response_handler
{
    void on_response_head(message_head) override {}
    void on_response_body(std::string_view) override {}
    void on_response_complete() override { complete = true; }
    void on_failure(connection_failure) override {}

    bool complete = false;
};

void end_connection(test_connection& c, bool orderly)
{
    if (orderly)
        c.close();
    else
        c.reset();
}

} // namespace

// Repeated refusals ----------------------------------------------------------

// A copy of a request's own refusal made the request count as "not run" while
// it ran at that endpoint.
TEST_CASE("a copy of its own refusal does not end a request", "[answers]")
{
    // An endpoint that answered 421 is not used again until the table changes.
    auto const status =
        GENERATE(as<char const*>{}, "503 Busy", "429 Too Many", "408 Timeout");
    auto const with_id = GENERATE(true, false);
    auto const by_caller = GENERATE(false, true); // else the gateway repeats it
    auto const path = GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x");
    CAPTURE(status, with_id, by_caller, path);
    relay_fixture fixture;
    fixture.start();
    std::string const line = std::string("HTTP/1.1 ") + status + "\r\n";
    std::string const id = "Request-Id: r1\r\n";
    std::string const proof = "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    auto const copy = line + (with_id ? id : "") + proof;
    auto caller = fixture.connect_caller(fixture.request(path));
    auto& one = *fixture.endpoints[0];
    std::size_t refusals = 0;
    while (by_caller || refusals < 2)
    {
        REQUIRE(fixture.run_until(
            [&] {
                return requested(fixture, "Request-Id: r1\r\n") ||
                       caller->has(" 503 ");
            }));
        if (caller->has(" 503 "))
            break;
        auto const c = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(c);
        c->send(line + id + proof);
        ++refusals;
    }
    if (by_caller)
        caller = fixture.connect_caller(fixture.request(path));
    auto const running = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(running);
    // Every endpoint repeats its refusal on its first connection.
    for (auto const& e : fixture.endpoints)
    {
        if (!e->connections.empty())
            e->connections[0]->send(copy);
    }
    settle(fixture);
    REQUIRE_FALSE(caller->has("HTTP/1.1 "));
    REQUIRE_FALSE(requested(fixture, "Request-Id: r1\r\n"));
    running->send(fixture.response("r1", "mine"));
    REQUIRE(fixture.run_until([&] { return caller->has("mine"); }));
    REQUIRE(one.connections.size() <= 2 + refusals / 2);
}

// A copy that came with the proper answer replaced it, or reached the next
// caller.
TEST_CASE("a copy beside the proper answer is dropped", "[answers]")
{
    auto const status = GENERATE(
        as<char const*>{}, "503 Busy", "429 Too Many", "421 Misdirected",
        "408 Timeout", "500 Error");
    auto const id = GENERATE(as<std::string>{}, "Request-Id: r1\r\n", "");
    auto const before = GENERATE(true, false);
    auto const path = GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x");
    CAPTURE(status, id, before, path);
    relay_fixture fixture;
    fixture.start();
    std::string const copy = std::string("HTTP/1.1 ") + status + "\r\n" + id +
                             "Not-Executed: 1\r\nContent-Length: 4\r\n\r\ncopy";
    auto const first = fixture.connect_caller(fixture.request("/safe/x"));
    auto const kept = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(kept);
    kept->send(fixture.response("r1", "first"));
    REQUIRE(fixture.run_until([&] { return first->has("first"); }));
    auto const caller = fixture.connect_caller(fixture.request(path, "r2"));
    REQUIRE(fixture.take_request("Request-Id: r2\r\n") == kept);
    auto const answer = fixture.response("r2", "second");
    kept->send(before ? copy + answer : answer + copy);
    REQUIRE(fixture.run_until([&] { return caller->has("second"); }));
    REQUIRE_FALSE(caller->has("copy"));
    // The next request gets a connection of its own.
    auto const next = fixture.connect_caller(fixture.request(path, "r3"));
    auto const fresh = fixture.take_request("Request-Id: r3\r\n");
    REQUIRE(fresh);
    REQUIRE(fresh != kept);
    fresh->send(fixture.response("r3", "third"));
    REQUIRE(fixture.run_until([&] { return next->has("third"); }));
}

// A connection for each refusal would cost an endpoint under load the most.
TEST_CASE("a connection that refused serves other requests", "[answers]")
{
    relay_fixture fixture;
    fixture.start();
    auto const first = fixture.connect_caller(fixture.request("/safe/x"));
    auto const kept = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(kept);
    kept->send(fixture.response(
        "r1", "", "503 Busy", "Not-Executed: 1\r\nKeep-Alive: timeout=60\r\n"));
    REQUIRE(fixture.take_request("Request-Id: r1\r\n") != nullptr);
    fixture.clock.offset =
        milliseconds(2000); // the endpoint may have recovered
    std::shared_ptr<test_connection> used;
    for (int i = 2; i < 6 && used != kept; ++i)
    {
        auto const id = "r" + std::to_string(i);
        auto const caller =
            fixture.connect_caller(fixture.request("/safe/x", id));
        used = fixture.take_request("Request-Id: " + id + "\r\n");
        REQUIRE(used);
        used->send(fixture.response(id, "served"));
        REQUIRE(fixture.run_until([&] { return caller->has("served"); }));
    }
    REQUIRE(used == kept);
}

// A refusal that is larger than the buffer was passed on although an earlier
// endpoint may have run the request, or without the endpoint's proof.
TEST_CASE("a long refusal is not passed on unchecked", "[answers]")
{
    auto const status = GENERATE(
        as<char const*>{}, "503 Busy", "429 Too Many", "421 Misdirected",
        "408 Timeout");
    auto const proof = GENERATE(as<std::string>{}, "Not-Executed: 1\r\n", "");
    auto const path = GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x");
    CAPTURE(status, proof, path);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request(path));
    auto c = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(c);
    if (path == "/safe/x")
    {
        c->reset(); // it may have run there
        c = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(c);
    }
    c->send(fixture.response(
        "r1", std::string(300u << 10, 'x'), status,
        "Response-Seal: s\r\n" + proof));
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->received.rfind("HTTP/1.1 502 ", 0) == 0);
}

// Errors after a stream began ------------------------------------------------

// The text of an error, at times with its head, came in the middle of a stream,
// or the stream ended there as if it were complete.
TEST_CASE("an error does not get into a begun stream", "[answers]")
{
    struct row
    {
        char const* name;
        std::string answer;
        bool closes;
    };
    std::string const sealed = "Request-Id: r1\r\nResponse-Seal: s\r\n";
    std::string const error = "HTTP/1.1 500 Error\r\n" + sealed;
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::string const events = "Content-Type: text/event-stream\r\n";
    std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
    std::string const boom = "id: 2\ndata: boom\n\n";
    std::string const proof = "Not-Executed: 1\r\n";
    std::string const large = "boom" + std::string(300u << 10, 'x');
    auto const with_length = [](std::string const& body)
    {
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    };
    auto const r = GENERATE_COPY(
        row{"length", error + with_length("boom"), false},
        row{"chunked", error + chunked + chunk("boom") + "0\r\n\r\n", false},
        row{"until close", error + "\r\nboom", true},
        row{"other type",
            ok + sealed + "Content-Type: text/plain\r\n" + with_length(boom),
            false},
        row{"no type", ok + sealed + with_length(boom), false},
        row{"no type until close", ok + sealed + "\r\n" + boom, true},
        row{"no content", "HTTP/1.1 204 None\r\n" + sealed + "\r\n", false},
        row{"unsealed",
            ok + "Request-Id: r1\r\n" + events + chunked + chunk(boom) +
                "0\r\n\r\n",
            false},
        row{"unsealed until close",
            ok + "Request-Id: r1\r\n" + events + "\r\n" + boom, true},
        row{"event stream with status 500",
            error + events + chunked + chunk(boom) + "0\r\n\r\n", false},
        row{"event stream with status 500 until close",
            error + events + "\r\n" + boom, true},
        row{"event stream with status 201",
            "HTTP/1.1 201 Created\r\n" + sealed + events + with_length(boom),
            false},
        row{"body like events", error + with_length(boom), false},
        row{"refusal", relay_fixture::response("r1", boom, "503 Busy", proof),
            false},
        row{"refusal 429",
            relay_fixture::response("r1", boom, "429 Too Many", proof), false},
        row{"misdirected",
            relay_fixture::response("r1", boom, "421 Misdirected", proof),
            false},
        row{"sealed refusal as events",
            "HTTP/1.1 503 Busy\r\n" + sealed + proof + events +
                with_length(boom),
            false},
        row{"client error",
            "HTTP/1.1 404 None\r\n" + sealed + with_length(boom), false},
        row{"large", error + with_length(large), false},
        row{"large until close", error + "\r\n" + large, true},
        row{"large refusal",
            "HTTP/1.1 503 Busy\r\n" + sealed + proof + with_length(large),
            false},
        row{"large other type", ok + sealed + with_length(large), false});
    auto const orderly = GENERATE(true, false);
    CAPTURE(r.name, orderly);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    auto const first = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(first);
    first->send(stream_head() + chunk(event(1) + "id: 2\nda"));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    end_connection(*first, orderly);
    auto const second = fixture.take_request("Last-Event-Id: 1\r\n");
    REQUIRE(second);
    second->send(r.answer);
    if (r.closes)
        second->close();
    auto const third = fixture.take_request("Last-Event-Id: 1\r\n");
    REQUIRE(third);
    third->send(stream_head() + chunk(event(2)) + "0\r\n\r\n");
    REQUIRE(fixture.run_until(
        [&] { return decode_chunks(caller->received).complete; }));
    REQUIRE(decode_chunks(caller->received).text == event(1) + event(2));
}

// Without another endpoint the stream must be seen to be incomplete.
TEST_CASE("a stream that ends in errors is incomplete", "[answers]")
{
    auto const http_1_0 = GENERATE(false, true);
    auto const status =
        GENERATE(as<std::string>{}, "500 Error", "200 OK", "404 None");
    CAPTURE(http_1_0, status);
    relay_fixture fixture;
    fixture.start();
    auto text = fixture.request("/llm/x");
    if (http_1_0)
        text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    auto const caller = fixture.connect_caller(text);
    auto const first = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(first);
    first->send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    first->reset();
    auto const second = fixture.take_request("Last-Event-Id: 1\r\n");
    REQUIRE(second);
    second->send(fixture.response("r1", "boom", status));
    auto const third = fixture.take_request("Last-Event-Id: 1\r\n");
    REQUIRE(third);
    third->send(fixture.response("r1", "boom", status));
    fixture.clock.offset = milliseconds(9100); // past the caller's deadline
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(fixture.logged("outcome=broken"));
    REQUIRE_FALSE(caller->has("boom"));
    if (!http_1_0)
        REQUIRE_FALSE(decode_chunks(caller->received).complete);
}

// Cut answers ----------------------------------------------------------------

namespace
{

std::string const sealed_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n";

} // namespace

// An answer that stopped in its head or body reached the caller as a whole one.
TEST_CASE("an answer cut at any position is not whole", "[answers]")
{
    struct row
    {
        char const* name;
        char const* path;
        char const* method;
        std::string answer;
    };
    std::string const length = sealed_head + "Content-Length: 4\r\n\r\n";
    std::string const chunked =
        sealed_head + "Transfer-Encoding: chunked\r\n\r\n";
    auto const r = GENERATE_COPY(
        row{"length", "/safe/x", "GET", length + "body"},
        row{"length", "/unsafe/x", "GET", length + "body"},
        row{"chunked", "/safe/x", "GET", chunked + "4\r\nbody\r\n0\r\n\r\n"},
        row{"chunked", "/unsafe/x", "GET", chunked + "4\r\nbody\r\n0\r\n\r\n"},
        row{"until close", "/safe/x", "GET", sealed_head + "\r\n"},
        row{"until close", "/unsafe/x", "GET", sealed_head + "\r\n"},
        row{"head", "/safe/x", "HEAD", length},
        row{"head", "/unsafe/x", "HEAD", length});
    auto const orderly = GENERATE(true, false);
    bool const repeatable = std::string(r.path) == "/safe/x";
    for (std::size_t cut = 0; cut < r.answer.size(); ++cut)
    {
        CAPTURE(r.name, r.path, r.method, orderly, cut);
        relay_fixture fixture;
        fixture.start();
        auto text = fixture.request(r.path);
        text.replace(0, 3, r.method);
        auto const caller = fixture.connect_caller(text);
        auto const c = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(c);
        c->send(r.answer.substr(0, cut));
        end_connection(*c, orderly);
        if (repeatable)
        {
            auto const next = fixture.take_request("Request-Id: r1\r\n");
            REQUIRE(next);
            next->send(
                sealed_head + "Content-Length: 6\r\n\r\n" +
                (std::string(r.method) == "GET" ? "second" : ""));
        }
        REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
        REQUIRE(
            caller->received.rfind(
                repeatable ? "HTTP/1.1 200 " : "HTTP/1.1 502 ", 0) == 0);
        if (repeatable && std::string(r.method) == "GET")
            REQUIRE(fixture.run_until(
                [&] { return caller->has("\r\n\r\nsecond"); }));
        REQUIRE_FALSE(requested(fixture, "Request-Id: r1\r\n"));
    }
}

// The same for streams: the next endpoint goes on after the last whole event.
TEST_CASE("a stream cut at any position is resumed", "[answers]")
{
    auto const begun = GENERATE(false, true);
    auto const orderly = GENERATE(true, false);
    auto const framing = GENERATE(
        as<std::string>{}, "Transfer-Encoding: chunked\r\n\r\n",
        "Content-Length: 19\r\n\r\n");
    auto const body = event(begun ? 2 : 1);
    auto const sent = framing[0] == 'T' ? chunk(body) + "0\r\n\r\n" : body;
    auto const answer =
        sealed_head + "Content-Type: text/event-stream\r\n" + framing + sent;
    REQUIRE(body.size() == 19);
    for (std::size_t cut = 0; cut < answer.size(); ++cut)
    {
        CAPTURE(begun, orderly, framing, cut);
        relay_fixture fixture;
        fixture.start();
        auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
        auto c = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(c);
        if (begun)
        {
            c->send(stream_head() + chunk(event(1)));
            REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
            c->reset();
            c = fixture.take_request("Last-Event-Id: 1\r\n");
            REQUIRE(c);
        }
        auto const events_before = begun ? 1 : 0;
        c->send(answer.substr(0, cut));
        end_connection(*c, orderly);
        auto const next = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(next);
        std::string rest; // repeats an event that the caller may have
        for (int i = events_before + 1; i <= 3; ++i)
            rest += event(i);
        next->send(stream_head() + chunk(rest) + "0\r\n\r\n");
        REQUIRE(fixture.run_until(
            [&] { return decode_chunks(caller->received).complete; }));
        REQUIRE(
            decode_chunks(caller->received).text ==
            event(1) + event(2) + event(3));
    }
}

// Answers that end with their connection -------------------------------------

// A stream without length or chunks is whole if its connection ends in order,
// unless it ends inside an event.
TEST_CASE("a stream until close ends between two events", "[answers]")
{
    auto const line_end = GENERATE(as<std::string>{}, "\n", "\r\n");
    auto const orderly = GENERATE(true, false);
    std::string const one =
        "id: 1" + line_end + "data: a" + line_end + line_end;
    std::string const two =
        "id: 2" + line_end + "data: b" + line_end + line_end;
    std::string const body = one + two;
    for (std::size_t cut = 0; cut <= body.size(); ++cut)
    {
        CAPTURE(line_end, orderly, cut);
        relay_fixture fixture;
        fixture.start();
        auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
        auto const c = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(c);
        c->send(
            sealed_head + "Content-Type: text/event-stream\r\n\r\n" +
            body.substr(0, cut));
        end_connection(*c, orderly);
        bool const between =
            cut == 0 || cut == one.size() || cut == body.size();
        std::string expected = body.substr(0, cut);
        if (!orderly || !between)
        {
            auto const next = fixture.take_request("Request-Id: r1\r\n");
            REQUIRE(next);
            next->send(stream_head() + chunk(body) + "0\r\n\r\n");
            expected = body;
        }
        REQUIRE(fixture.run_until(
            [&] { return decode_chunks(caller->received).complete; }));
        REQUIRE(decode_chunks(caller->received).text == expected);
        REQUIRE_FALSE(requested(fixture, "Request-Id: r1\r\n"));
    }
}

// A whole stream was taken for one that broke off inside an event, and was run
// again at another endpoint.
TEST_CASE("blank lines after the last event are no event", "[answers]")
{
    auto const end = GENERATE(as<std::string>{}, "\n", "\r\n", "\r", "\n\n\n");
    auto const framing =
        GENERATE(as<std::string>{}, "Transfer-Encoding: chunked\r\n", "");
    CAPTURE(end, framing);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    auto const c = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(c);
    auto const body = event(1) + end;
    c->send(
        sealed_head + "Content-Type: text/event-stream\r\n" + framing + "\r\n" +
        (framing.empty() ? body : chunk(body) + "0\r\n\r\n"));
    if (framing.empty())
        c->close();
    REQUIRE(fixture.run_until(
        [&]
        {
            return decode_chunks(caller->received).complete ||
                   requested(fixture, "Request-Id: r1\r\n");
        }));
    REQUIRE(decode_chunks(caller->received).complete);
    REQUIRE(decode_chunks(caller->received).text.rfind(event(1), 0) == 0);
}

// Early answers --------------------------------------------------------------

namespace
{

/// A caller's long upload to an endpoint that only the test reads, so that the
/// gateway is still writing when the endpoint answers.
struct upload
{
    static constexpr std::size_t body_size = 24u << 20; // over socket buffers

    explicit upload(std::string const& path)
        : acceptor(
              fixture.io,
              asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        auto& limits = fixture.configuration.rows[0].value;
        std::string const limit = R"("maxBodyBytes":10000)";
        limits.replace(
            limits.find(limit), limit.size(), R"("maxBodyBytes":100000000)");
        // The row of the endpoint that is chosen first for this path.
        auto& row = fixture.table.rows[path == "/llm/x" ? 2 : 0].value;
        auto const address =
            fixture.endpoints[path == "/llm/x" ? 2 : 0]->address();
        row.replace(
            row.find(address), address.size(),
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        accept();
        fixture.start();
        fixture.clock.stop();
        text = fixture.request(
            path, "r1",
            "Content-Length: " + std::to_string(body_size) + "\r\n");
        text.replace(0, 3, "POST");
        text += std::string(body_size, 'b');
        caller = fixture.connect_caller("");
        asio::async_write(
            caller->socket, asio::buffer(text),
            [](asio::error_code const&, std::size_t) {});
    }

    void accept()
    {
        acceptor.async_accept(
            [this](asio::error_code const& e, asio::ip::tcp::socket s)
            {
                if (e)
                    return;
                accepted.push_back(std::move(s));
                accept();
            });
    }

    /// Runs until the gateway can write no more of the request.
    bool blocked()
    {
        bool const begun = fixture.run_until(
            [&] { return !accepted.empty() && accepted[0].available() > 0; });
        settle(fixture);
        return begun;
    }

    /// Reads the upload up to the end of its connection.
    std::string read_on()
    {
        accepted[0].non_blocking(true);
        std::string received;
        std::vector<char> buffer(1 << 20);
        asio::error_code e;
        REQUIRE(fixture.run_until(
            [&]
            {
                auto const n = accepted[0].read_some(asio::buffer(buffer), e);
                received.append(buffer.data(), n);
                return e && e != asio::error::would_block;
            }));
        return received;
    }

    relay_fixture fixture;
    asio::ip::tcp::acceptor acceptor;
    std::vector<asio::ip::tcp::socket> accepted;
    std::string text; // of the request
    std::shared_ptr<test_connection> caller;
};

} // namespace

// Bytes of another request were sent where the rest of a body was due that the
// endpoint had not read when it answered.
TEST_CASE("an early answer ends the use of its connection", "[answers]")
{
    struct row
    {
        char const* name;
        std::string answer;
        bool refused;
    };
    auto const r = GENERATE(
        row{"200", relay_fixture::response("r1", "early"), false},
        row{"413",
            relay_fixture::response("r1", "early", "413 Content Too Large"),
            false},
        row{"chunked",
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
            false},
        row{"refusal",
            relay_fixture::response(
                "r1", "", "503 Busy", "Not-Executed: 1\r\n"),
            true});
    auto const path = GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x");
    auto const closes = GENERATE(false, true);
    CAPTURE(r.name, path, closes);
    upload u(path);
    REQUIRE(u.blocked());
    asio::write(u.accepted[0], asio::buffer(r.answer));
    if (closes)
        u.accepted[0].shutdown(asio::ip::tcp::socket::shutdown_send);
    if (r.refused)
    {
        auto const next = u.fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(next);
        next->send(u.fixture.response("r1", "early"));
    }
    REQUIRE(u.fixture.run_until([&] { return u.caller->has("early"); }));
    auto const other =
        u.fixture.connect_caller(u.fixture.request("/open/x", "r2"));
    auto const elsewhere = [&] {
        return u.accepted.size() > 1 ||
               requested(u.fixture, "Request-Id: r2\r\n");
    };
    REQUIRE(u.fixture.run_until(elsewhere));
    // The endpoint reads on, up to the end of the connection.
    auto const received = u.read_on();
    auto const body = received.find("\r\n\r\n");
    REQUIRE(body != std::string::npos);
    REQUIRE(received.size() < u.body_size); // the write was in progress
    REQUIRE(received.find_first_not_of('b', body + 4) == std::string::npos);
}

// An answer without a length was taken for whole although a reset had ended it:
// the write of the request got the error, and the next read the end of the
// stream.
TEST_CASE("an early answer that is reset is not whole", "[answers]")
{
    auto const path =
        GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x", "/llm/x");
    auto const unread_input = GENERATE(false, true); // else no linger time
    auto const read_before = GENERATE(false, true);
    auto const body_sent = GENERATE(as<std::size_t>{}, 0, 3000);
    CAPTURE(path, unread_input, read_before, body_sent);
    bool const stream = path == "/llm/x";
    upload u(path);
    REQUIRE(u.blocked());
    asio::write(
        u.accepted[0],
        asio::buffer(
            sealed_head +
            (stream ? "Content-Type: text/event-stream\r\n\r\n" + event(1)
                    : "\r\n" + std::string(body_sent, 'p'))));
    if (read_before)
        settle(u.fixture);
    if (!unread_input)
        u.accepted[0].set_option(asio::socket_base::linger(true, 0));
    u.accepted[0].close();
    if (path == "/unsafe/x")
    {
        REQUIRE(u.fixture.run_until([&] { return u.caller->has("\r\n\r\n"); }));
        REQUIRE(u.caller->received.rfind("HTTP/1.1 502 ", 0) == 0);
        return;
    }
    auto const next = u.fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(next);
    if (!stream)
    {
        next->send(u.fixture.response("r1", "second"));
        REQUIRE(u.fixture.run_until([&] { return u.caller->has("second"); }));
        REQUIRE_FALSE(u.caller->has("ppp"));
        return;
    }
    next->send(stream_head() + chunk(event(1) + event(2)) + "0\r\n\r\n");
    REQUIRE(u.fixture.run_until(
        [&] { return decode_chunks(u.caller->received).complete; }));
    REQUIRE(decode_chunks(u.caller->received).text == event(1) + event(2));
}

// The same for calls to the store and to other gateways.
TEST_CASE("an early answer to a call that is reset is not whole", "[answers]")
{
    relay_fixture fixture;
    asio::ip::tcp::acceptor acceptor(
        fixture.io,
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    http_caller caller(
        fixture.io, fixture.clock, fixture.memory, memory_use::store, 1000);
    std::vector<http_reply> replies;
    caller.call(
        acceptor.local_endpoint(),
        "PUT /row HTTP/1.1\r\nHost: h\r\nContent-Length: " +
            std::to_string(upload::body_size) + "\r\n\r\n" +
            std::string(upload::body_size, 'b'),
        std::chrono::seconds(10),
        [&](http_reply reply) { replies.push_back(std::move(reply)); });
    auto peer = acceptor.accept();
    REQUIRE(fixture.run_until([&] { return peer.available() > 0; }));
    settle(fixture);
    asio::write(peer, asio::buffer(sealed_head + "\r\npart"));
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    REQUIRE(fixture.run_until([&] { return replies.size() == 1; }));
    REQUIRE(replies[0].status == 0);
    REQUIRE(replies[0].failure == "reset");
}

// Guards against taking each error of a write for the end of the answer: one
// that ended in order before is whole.
TEST_CASE("an early answer that ends in order is whole", "[answers]")
{
    enum class then
    {
        reads_on,
        resets,
        closes // with unread input, which is a reset as well
    };
    auto const path =
        GENERATE(as<std::string>{}, "/safe/x", "/unsafe/x", "/llm/x");
    auto const t = GENERATE(then::reads_on, then::resets, then::closes);
    CAPTURE(path, int(t));
    bool const stream = path == "/llm/x";
    upload u(path);
    REQUIRE(u.blocked());
    asio::write(
        u.accepted[0],
        asio::buffer(
            sealed_head +
            (stream ? "Content-Type: text/event-stream\r\n\r\n" + event(1)
                    : "\r\nearly")));
    u.accepted[0].shutdown(asio::ip::tcp::socket::shutdown_send);
    if (t == then::resets)
        u.accepted[0].set_option(asio::socket_base::linger(true, 0));
    if (t != then::reads_on)
        u.accepted[0].close();
    REQUIRE(u.fixture.run_until(
        [&]
        {
            return stream ? decode_chunks(u.caller->received).complete
                          : u.caller->has("early");
        }));
    REQUIRE(u.caller->received.rfind("HTTP/1.1 200 ", 0) == 0);
    if (t == then::reads_on)
        REQUIRE(u.read_on().find("\r\n\r\nbbb") != std::string::npos);
    REQUIRE_FALSE(requested(u.fixture, "Request-Id: r1\r\n"));
}

// HEAD -----------------------------------------------------------------------

// A caller that sent HEAD took the body of an error for the next answer.
TEST_CASE("an answer to HEAD has a head only", "[answers]")
{
    auto const path =
        GENERATE(as<std::string>{}, "/unsafe/x", "/none/x", "/llm/x");
    CAPTURE(path);
    relay_fixture fixture;
    fixture.start();
    auto text = fixture.request(path);
    text.replace(0, 3, "HEAD");
    auto const caller = fixture.connect_caller(text);
    if (path != "/none/x")
    {
        auto const c = fixture.take_request("Request-Id: r1\r\n");
        REQUIRE(c);
        c->send(
            sealed_head + (path == "/llm/x"
                               ? "Content-Type: text/event-stream\r\n\r\n"
                               : "Content-Le"));
        c->close();
    }
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    caller->send(fixture.request("/none/x", "r2"));
    REQUIRE(fixture.run_until([&] { return caller->has("}\n"); }));
    auto const next = caller->received.find("\r\n\r\n") + 4;
    REQUIRE(caller->received.compare(next, 9, "HTTP/1.1 ") == 0);
}

// Internal calls -------------------------------------------------------------

// A late copy of a caller's answer on a reused connection was taken for the
// answer to a call of the gateway itself, such as an empty endpoint report.
TEST_CASE("an internal call drops an answer to a request", "[answers]")
{
    relay_fixture fixture;
    auto const copy = GENERATE(
        as<std::string>{}, relay_fixture::response("r1", "{}"),
        relay_fixture::response("r1", "{}", "503 Busy", "Not-Executed: 1\r\n"));
    connection_pool pool(fixture.io, fixture.clock, fixture.memory);
    endpoint_record record;
    record.address = fixture.endpoints[0]->address();
    ignoring_handler request;
    auto const connection = pool.acquire(record, false, "r1");
    connection->send(
        *parse_address(record.address), {fixture.request("/safe/x"), nullptr},
        request);
    auto const c = fixture.take_request("Request-Id: r1\r\n");
    REQUIRE(c);
    c->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return request.complete; }));
    pool.release(record, connection, std::chrono::seconds(60));
    std::vector<endpoint_reply> replies;
    endpoint_call call(
        pool, fixture.protocol, fixture.clock, fixture.memory,
        std::make_shared<endpoint_state>(record), milliseconds(1000),
        [](message_head const&) {},
        [&](endpoint_reply reply) { replies.push_back(std::move(reply)); });
    call.start(fixture.protocol.report_request(), fixture.clock.now(), false);
    REQUIRE(fixture.take_request("GET /report ") == c);
    c->send(copy);
    settle(fixture);
    c->send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport");
    REQUIRE(fixture.run_until([&] { return replies.size() == 1; }));
    REQUIRE(replies[0].status == 200);
    REQUIRE(replies[0].body == "report");
    REQUIRE(pool.connections_created() == 1);
}

// The late answer to the call for one run's copy was taken for that to another,
// whose stream would resume from the memory of the first.
TEST_CASE("each call for a copy has a connection of its own", "[answers]")
{
    relay_fixture fixture;
    fixture.start();
    auto& primary = *fixture.endpoints[2];
    std::string const counts = "Token-Counts: 800,60\r\n";
    std::vector<std::shared_ptr<test_connection>> callers;
    for (std::string const id : {"r1", "r2"})
    {
        callers.push_back(
            fixture.connect_caller(fixture.request("/llm/x", id, counts)));
        callers.push_back(fixture.connect_caller(
            fixture.request("/llm/x", id + "b", counts)));
    }
    REQUIRE(fixture.run_until([&] { return primary.request_count() > 1; }));
    store_row standby;
    standby.deleted = true;
    for (auto const& c : primary.connections)
    {
        auto const at = c->received.find("Request-Id: ") + 12;
        auto const id = c->received.substr(at, c->received.find('\r', at) - at);
        bool const first = c == primary.connections[0];
        if (first)
            standby.key =
                c->has("Kv-Backup: " + fixture.endpoints[3]->address()) ? "m2"
                                                                        : "m3";
        c->received.clear();
        c->send(stream_head(id) + chunk(event(1)) + (first ? "" : "0\r\n\r\n"));
    }
    settle(fixture);
    auto const before = primary.connections.size();
    REQUIRE(before > 1); // one serves a stream, the others are idle
    fixture.table.publish_change(standby);
    settle(fixture);
    for (std::size_t i = 0; i < before; ++i)
        REQUIRE_FALSE(primary.connections[i]->has("\"to\""));
    REQUIRE(std::any_of(
        primary.connections.begin(), primary.connections.end(),
        [](auto const& c) { return c->has("\"to\""); }));
}
