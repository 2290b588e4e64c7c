// Answers that their endpoints still write reach the caller whole, or are seen
// to be incomplete. Index: callers and endpoints; large answers; small answers;
// suspicion; streams; callers that read slowly.
#include <catch2/catch.hpp>

#include "relay_fixture.hpp"
#include <map>

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

// Callers and endpoints ------------------------------------------------------

/// The answer that a caller received, parsed as its bytes arrive.
class received_answer : private message_sink
{
public:
    explicit received_answer(std::shared_ptr<test_connection> caller)
        : caller_(std::move(caller)),
          parser_(message_parser::kind::response, *this)
    {
    }

    /// Parses what arrived; true once nothing more can arrive.
    bool ended()
    {
        while (fed_ < caller_->received.size() && !complete_)
            fed_ +=
                parser_.feed(std::string_view(caller_->received).substr(fed_));
        return complete_ || caller_->closed;
    }

    unsigned status() const { return head_.status; }
    std::string const& body() const { return body_; }
    bool complete() const { return complete_; }

private:
    void on_head(message_head head) override { head_ = std::move(head); }
    void on_body(std::string_view bytes) override { body_.append(bytes); }
    void on_complete() override { complete_ = true; }

    std::shared_ptr<test_connection> const caller_;
    message_parser parser_;
    std::size_t fed_ = 0;
    message_head head_;
    std::string body_;
    bool complete_ = false;
};

enum class framing
{
    length,
    until_close,
    chunks
};

std::string head_of(framing f, std::size_t body_bytes)
{
    std::string head =
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
        "Content-Type: text/plain\r\n";
    if (f == framing::length)
        head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    else if (f == framing::chunks)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

std::string piece_of(framing f, std::string const& bytes)
{
    return f == framing::chunks ? chunk(bytes) : bytes;
}

/// A body whose lines name the endpoint and their number.
std::string body_of(std::string const& endpoint, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + 64);
    for (std::size_t line = 0; body.size() < bytes; ++line)
        body += endpoint + " line " + std::to_string(line) + '\n';
    body.resize(bytes);
    return body;
}

/// Sends while the gateway reads; send() would block this thread.
void send_while_read(
    relay_fixture& fixture, test_connection& endpoint, std::string const& text)
{
    bool sent = false;
    asio::async_write(
        endpoint.socket, asio::buffer(text),
        [&](asio::error_code const&, std::size_t) { sent = true; });
    REQUIRE(fixture.run_until([&] { return sent; }));
}

/// Closes the listener and keeps its port, so that no other process gets it.
void refuse_connections(relay_fixture& fixture, scripted_endpoint& endpoint)
{
    auto const address = endpoint.acceptor.local_endpoint();
    endpoint.acceptor.close();
    auto& port =
        fixture.reserved_ports.emplace_back(fixture.io, asio::ip::tcp::v4());
    port.set_option(asio::socket_base::reuse_address(true));
    port.bind(address);
}

std::size_t request_count(relay_fixture const& fixture)
{
    std::size_t n = 0;
    for (auto const& e : fixture.endpoints)
        n += e->request_count();
    return n;
}

/// A fixture whose calls are given up after 200 to 400 ms of silence.
void set_short_call_timeout(relay_fixture& fixture)
{
    auto& text = fixture.configuration.rows[0].value;
    std::string const from = R"("targetLatencyMs":4000,"maxAttempts":2)";
    text.replace(
        text.find(from), from.size(),
        R"("targetLatencyMs":800,"maxAttempts":2)");
}

} // namespace

// Large answers --------------------------------------------------------------

// An answer that is passed on while it arrives was given up on a suspicion or
// a loss, and continued with the bytes of another endpoint.
TEST_CASE("a large answer has the bytes of one endpoint", "[delivery]")
{
    enum class trouble
    {
        slow,        // a part every 100 ms
        silent,      // for a second
        check_fails, // and a second of silence
        withdrawn,   // and a second of silence
        closed,
        reset
    };
    struct row
    {
        char const* name;
        trouble what;
        char const* path;
        std::size_t first_endpoint;
        bool whole;
    };
    auto const r = GENERATE(
        row{"slow", trouble::slow, "/safe/x", 0, true},
        row{"silent", trouble::silent, "/safe/x", 0, true},
        row{"check fails", trouble::check_fails, "/llm/x", 2, true},
        row{"withdrawn", trouble::withdrawn, "/safe/x", 0, true},
        row{"closed", trouble::closed, "/safe/x", 0, false},
        row{"reset", trouble::reset, "/safe/x", 0, false});
    auto const size = GENERATE(
        std::size_t(300) << 10, std::size_t(4) << 20, std::size_t(64) << 20);
    auto const f =
        GENERATE(framing::length, framing::until_close, framing::chunks);
    CAPTURE(r.name, size, int(f));
    if (r.what == trouble::closed && f == framing::until_close)
        return; // a whole answer
    relay_fixture fixture;
    set_short_call_timeout(fixture);
    fixture.set_engine_gap_target("1000");
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request(r.path));
    received_answer answer(caller);
    auto& endpoint = *fixture.endpoints[r.first_endpoint];
    REQUIRE(fixture.run_until([&] { return endpoint.request_count() == 1; }));
    fixture.clock.stop();
    auto const connection = endpoint.connections[0];
    auto const body = body_of("first", size);
    send_while_read(fixture, *connection, head_of(f, size));
    // More than the gateway buffers, in parts.
    constexpr std::size_t parts = 12;
    std::size_t const before = size * 95 / 100;
    for (std::size_t i = 0; i < parts; ++i)
    {
        auto const from = before * i / parts;
        auto const part = body.substr(from, before * (i + 1) / parts - from);
        send_while_read(fixture, *connection, piece_of(f, part));
        if (r.what == trouble::slow)
            fixture.advance(milliseconds(100));
    }
    REQUIRE(fixture.run_until(
        [&]
        {
            answer.ended();
            return answer.body().size() >= before;
        }));
    switch (r.what)
    {
    case trouble::slow:
        break;
    case trouble::check_fails:
        refuse_connections(fixture, endpoint);
        fixture.advance(milliseconds(1000));
        break;
    case trouble::withdrawn:
    {
        auto row = relay_fixture::row("one", "");
        row.deleted = true;
        fixture.table.publish_change(row);
        fixture.advance(milliseconds(1000));
        break;
    }
    case trouble::silent:
        fixture.advance(milliseconds(1000));
        break;
    case trouble::closed:
        connection->close();
        break;
    case trouble::reset:
        connection->reset();
        break;
    }
    if (r.whole)
    {
        auto const rest = piece_of(f, body.substr(before));
        send_while_read(
            fixture, *connection,
            f == framing::chunks ? rest + "0\r\n\r\n" : rest);
        if (f == framing::until_close)
            connection->close();
    }
    REQUIRE(fixture.run_until([&] { return answer.ended(); }));
    REQUIRE(request_count(fixture) == 1);
    REQUIRE(answer.complete() == r.whole);
    REQUIRE(answer.status() == 200);
    bool const same = answer.body() == body.substr(0, answer.body().size());
    REQUIRE(same);
    REQUIRE(answer.body().size() == (r.whole ? size : before));
    REQUIRE(fixture.logged("outcome=broken") == !r.whole);
}

// Small answers --------------------------------------------------------------

// A call was given up by the time since it was sent, although its answer was
// arriving.
TEST_CASE("a buffered answer that makes progress is awaited", "[delivery]")
{
    auto const f =
        GENERATE(framing::length, framing::until_close, framing::chunks);
    CAPTURE(int(f));
    relay_fixture fixture;
    set_short_call_timeout(fixture);
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    received_answer answer(caller);
    auto& one = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    fixture.clock.stop();
    auto const connection = one.connections[0];
    constexpr std::size_t size = 10000;
    constexpr std::size_t parts = 10;
    auto const body = body_of("one", size);
    fixture.advance(milliseconds(100));
    connection->send(head_of(f, size));
    for (std::size_t i = 0; i < parts; ++i)
    {
        fixture.advance(milliseconds(100));
        connection->send(
            piece_of(f, body.substr(size / parts * i, size / parts)));
    }
    fixture.advance(milliseconds(100));
    connection->send(f == framing::chunks ? "0\r\n\r\n" : "");
    if (f == framing::until_close)
        connection->close();
    REQUIRE(fixture.run_until([&] { return answer.ended(); }));
    REQUIRE(request_count(fixture) == 1);
    REQUIRE(answer.complete());
    REQUIRE(answer.body() == body);
}

// The limit on silence still moves a call on; only time with progress does not
// count.
TEST_CASE("a call that falls silent is repeated", "[delivery]")
{
    auto const begun = GENERATE(false, true);
    CAPTURE(begun);
    relay_fixture fixture;
    set_short_call_timeout(fixture);
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    received_answer answer(caller);
    auto& one = *fixture.endpoints[0];
    auto& two = *fixture.endpoints[1];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    fixture.clock.stop();
    if (begun)
        one.connections[0]->send(head_of(framing::length, 8) + "part");
    fixture.run_ticks();
    fixture.advance(milliseconds(600));
    REQUIRE(fixture.run_until([&] { return two.request_count() == 1; }));
    two.connections[0]->send(fixture.response("r1", "mine"));
    REQUIRE(fixture.run_until([&] { return answer.ended(); }));
    REQUIRE(answer.body() == "mine");
}

// Suspicion ------------------------------------------------------------------

// An attempt was given up for an endpoint that did not accept connections, and
// its answer waited although the first endpoint went on.
TEST_CASE("an answer stays until the next endpoint accepts", "[delivery]")
{
    struct row
    {
        char const* path;
        std::size_t first;
        std::vector<std::size_t> others;
        bool check_fails;
    };
    auto const r = GENERATE(
        row{"/llm/x", 2, {3, 4}, false}, row{"/llm/x", 2, {3, 4}, true},
        row{"/safe/x", 0, {1}, false});
    CAPTURE(r.path, r.check_fails);
    relay_fixture fixture;
    set_short_call_timeout(fixture);
    fixture.set_engine_gap_target("1000");
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request(r.path));
    received_answer answer(caller);
    auto& endpoint = *fixture.endpoints[r.first];
    REQUIRE(fixture.run_until([&] { return endpoint.request_count() == 1; }));
    fixture.clock.stop();
    auto const connection = endpoint.connections[0];
    bool const stream = std::string(r.path) == "/llm/x";
    connection->send(
        stream ? stream_head() + chunk(event(1))
               : head_of(framing::length, 8) + "part");
    if (stream)
        REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    fixture.run_ticks();
    for (auto const i : r.others)
        refuse_connections(fixture, *fixture.endpoints[i]);
    if (r.check_fails)
        refuse_connections(fixture, endpoint);
    fixture.advance(milliseconds(1500));
    REQUIRE_FALSE(connection->closed);
    connection->send(stream ? chunk(event(2)) + "0\r\n\r\n" : "last");
    REQUIRE(fixture.run_until([&] { return answer.ended(); }));
    REQUIRE(answer.complete());
    REQUIRE(answer.body() == (stream ? event(1) + event(2) : "partlast"));
    for (auto const i : r.others)
        REQUIRE(fixture.endpoints[i]->request_count() == 0);
}

// Streams --------------------------------------------------------------------

// Events without an id cannot be resumed; they were sent again by the next
// endpoint, after the first one's.
TEST_CASE("a stream continues only from a known position", "[delivery]")
{
    struct row
    {
        char const* name;
        std::string first;
        bool resumed;
    };
    auto const r = GENERATE(
        row{"ids", event(1) + event(2), true},
        row{"no ids", "data: a\n\n", false},
        row{"no id at last", event(1) + "data: a\n\n", false},
        row{"no id at first", "data: a\n\n" + event(1), true},
        row{"comment at last", event(1) + ": wait\n\n", true},
        row{"event without data at last", event(1) + "retry: 500\n\n", true},
        row{"id without data at last", "data: a\n\nid: 2\n\n", true},
        row{"byte order mark",
            "\xEF\xBB\xBF"
            "data: a\n\n",
            false});
    auto const oversized = GENERATE(false, true);
    CAPTURE(r.name, oversized);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/stream/x"));
    received_answer answer(caller);
    auto& one = *fixture.endpoints[0];
    auto& two = *fixture.endpoints[1];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    one.connections[0]->send(stream_head() + chunk(r.first));
    REQUIRE(fixture.run_until(
        [&]
        {
            answer.ended();
            return answer.body() == r.first;
        }));
    if (oversized)
        send_while_read(
            fixture, *one.connections[0],
            chunk("data: " + std::string(300u << 10, 'x')));
    else
        one.connections[0]->reset();
    if (r.resumed)
    {
        REQUIRE(fixture.run_until([&] { return two.request_count() == 1; }));
        two.connections[0]->send(stream_head() + chunk(event(3)) + "0\r\n\r\n");
    }
    REQUIRE(fixture.run_until([&] { return answer.ended(); }));
    REQUIRE(answer.complete() == r.resumed);
    REQUIRE(answer.body() == r.first + (r.resumed ? event(3) : ""));
    REQUIRE(two.request_count() == (r.resumed ? 1u : 0u));
}

// A begun answer that needs more memory than the others never found room, as
// each release was taken by smaller prompts behind it until its deadline.
TEST_CASE("small prompts do not starve a begun answer", "[delivery]")
{
    relay_fixture fixture;
    fixture.set_engine_gap_target("1000");
    fixture.table.rows.resize(4); // "one", "two", "m1" and "m2"
    auto& text = fixture.configuration.rows[0].value;
    std::string const copies = R"("backups":true)"; // would take memory
    text.replace(text.find(copies), copies.size(), R"("backups":false)");
    std::string const name = R"("name":"llm",)";
    text.replace(
        text.find(name), name.size(),
        name + R"("priority":1,"anonymous":true,)");
    fixture.start();
    auto& m1 = *fixture.endpoints[2];
    auto& m2 = *fixture.endpoints[3];
    auto const send = [&](std::string const& id, char const* tokens)
    {
        return fixture.connect_caller(fixture.request(
            "/llm/x", id, std::string("Token-Counts: ") + tokens + ",10\r\n"));
    };
    auto const first = send("r1", "40000");
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 1; }));
    auto const begun = send("r2", "60000");
    REQUIRE(fixture.run_until([&] { return m2.request_count() == 1; }));
    fixture.clock.stop();
    m1.connections[0]->send(stream_head("r1") + chunk(event(1)));
    m2.connections[0]->send(stream_head("r2") + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return begun->has("id: 1"); }));
    REQUIRE(fixture.run_until(
        [&] { return fixture.table.pending_changes != nullptr; }));
    auto removed = fixture.table.rows[3];
    removed.deleted = true;
    fixture.table.publish_change(removed);
    m2.connections[0]->reset();
    fixture.settle();

    // Every second step a small prompt comes; each is answered in 0.8 s.
    std::vector<std::shared_ptr<test_connection>> callers;
    std::map<std::string, int> running; // by id: steps since the start
    bool begun_started = false;
    int served = 0;
    auto const play = [&](int step)
    {
        if (step % 2 == 0)
            callers.push_back(send("s" + std::to_string(100 + step), "20000"));
        if (step == 15)
            m1.connections[0]->send("0\r\n\r\n");
        for (auto const& c : m1.connections)
        {
            auto const at = c->received.rfind("Request-Id: ");
            if (at == std::string::npos ||
                c->received.find("\r\n\r\n", at) == std::string::npos)
                continue;
            auto const id = c->received.substr(
                at + 12, c->received.find('\r', at) - at - 12);
            begun_started = begun_started || id == "r2";
            if (id[0] != 's')
                continue;
            int const age = ++running[id];
            if (age == 1)
                c->send(stream_head(id) + chunk(event(1)));
            if (age == 8)
            {
                c->send("0\r\n\r\n");
                ++served;
            }
        }
    };
    for (int step = 0; step < 85 && !begun_started; ++step)
    {
        fixture.advance(milliseconds(100));
        play(step);
    }
    CAPTURE(served, begun->closed);
    REQUIRE(begun_started);
}

// Callers that read slowly ---------------------------------------------------

namespace
{

/// Sends a text in pieces and counts what was sent.
struct counting_sender : std::enable_shared_from_this<counting_sender>
{
    counting_sender(std::shared_ptr<test_connection> c, std::string t)
        : connection(std::move(c)), text(std::move(t))
    {
    }

    void run()
    {
        constexpr std::size_t max_piece = 16384;
        auto const self = shared_from_this();
        auto const piece = std::min(max_piece, text.size() - sent);
        if (piece == 0)
            return;
        asio::async_write(
            connection->socket, asio::buffer(text.data() + sent, piece),
            [this, self](asio::error_code const& e, std::size_t n)
            {
                sent += n;
                if (!e)
                    run();
            });
    }

    std::shared_ptr<test_connection> const connection;
    std::string const text;
    std::size_t sent = 0;
};

} // namespace

// A caller of a stream that was 1 MiB behind was cut off.
TEST_CASE("a stream waits for its caller", "[delivery]")
{
    struct row
    {
        char const* path;
        std::size_t endpoint;
        bool reads_on;
    };
    auto const r = GENERATE(
        row{"/stream/x", 0, true}, row{"/stream/x", 0, false},
        row{"/llm/x", 2, true}, row{"/llm/x", 2, false});
    CAPTURE(r.path, r.reads_on);
    relay_fixture fixture;
    fixture.set_engine_gap_target("1000");
    fixture.start();
    asio::ip::tcp::socket socket(fixture.io);
    socket.connect(*parse_address(fixture.settings.listen));
    auto const caller = std::make_shared<test_connection>(std::move(socket));
    caller->send(fixture.request(r.path));
    received_answer answer(caller);
    auto& endpoint = *fixture.endpoints[r.endpoint];
    REQUIRE(fixture.run_until([&] { return endpoint.request_count() == 1; }));
    fixture.clock.stop();
    // More than all socket buffers and the gateway hold.
    std::string body;
    std::string text = stream_head();
    for (int id = 1; body.size() < (48u << 20); ++id)
    {
        auto const next = "id: " + std::to_string(id) +
                          "\ndata: " + std::string(4000, 'x') + "\n\n";
        body += next;
        text += chunk(next);
    }
    auto const sender = std::make_shared<counting_sender>(
        endpoint.connections[0], text + "0\r\n\r\n");
    sender->run();
    std::size_t before = 0;
    REQUIRE(fixture.run_until(
        [&]
        {
            fixture.settle();
            return std::exchange(before, sender->sent) == sender->sent;
        }));
    REQUIRE(sender->sent < body.size());
    fixture.advance(milliseconds(2500));
    REQUIRE(request_count(fixture) == 1);
    REQUIRE_FALSE(endpoint.connections[0]->closed);
    if (!r.reads_on)
    {
        fixture.clock.offset += milliseconds(9000); // past the deadline
        REQUIRE(fixture.run_until(
            [&] { return fixture.logged("outcome=broken"); }));
    }
    caller->read();
    REQUIRE(fixture.run_until([&] { return answer.ended(); }));
    REQUIRE(answer.complete() == r.reads_on);
    bool const same = answer.body() == body.substr(0, answer.body().size());
    REQUIRE(same);
    REQUIRE((answer.body().size() == body.size()) == r.reads_on);
    REQUIRE(request_count(fixture) == 1);
    REQUIRE_FALSE(fixture.logged("caller_gone"));
}
