// Requests that got neither an answer nor a refusal. Index: suspicion; retry
// budget; connections of callers.
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <set>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

void allow_no_retries(relay_fixture& fixture)
{
    fixture.settings.retries.ratio = 0;
    fixture.settings.retries.allowance = 0;
}

/// A listener whose accept queue is full, so that it drops SYN packets.
struct full_listener
{
    full_listener(relay_fixture& fixture, asio::ip::tcp::endpoint const& at)
        : acceptor(fixture.io)
    {
        acceptor.open(at.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(at);
        acceptor.listen(0);
        for (int i = 0; i < 4; ++i)
        {
            auto& s = waiting.emplace_back(fixture.io);
            s.async_connect(at, [](asio::error_code const&) {});
        }
    }

    asio::ip::tcp::acceptor acceptor;
    std::deque<asio::ip::tcp::socket> waiting;
};

} // namespace

// Suspicion ------------------------------------------------------------------

// A begun stream was broken off because its sound endpoint was silent for a
// second while the retry budget was spent.
TEST_CASE("silence ends no stream that nothing can follow", "[unanswered]")
{
    enum class others // that could take over
    {
        ready,
        leaving,
        none
    };
    struct row
    {
        char const* name;
        bool budget;
        others rest;
        bool refuses_connections;
    };
    auto const r = GENERATE(
        row{"no retry budget", false, others::ready, false},
        row{"no other endpoint", true, others::none, false},
        row{"the others are leaving", true, others::leaving, false},
        row{"no retry budget, check fails", false, others::ready, true},
        row{"no other endpoint, check fails", true, others::none, true},
        row{"the others are leaving, check fails", true, others::leaving,
            true});
    CAPTURE(r.name);
    relay_fixture fixture;
    fixture.set_engine_gap_target("1000");
    if (!r.budget)
        allow_no_retries(fixture);
    if (r.rest == others::none)
        fixture.table.rows.resize(3); // "one", "two" and "m1"
    for (std::size_t i = 3; i < fixture.table.rows.size(); ++i)
    {
        auto& text = fixture.table.rows[i].value;
        if (r.rest == others::leaving)
            text.replace(text.find("ready"), 5, "draining");
    }
    fixture.settings.drain_bound = std::chrono::minutes(1);
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    auto& m1 = *fixture.endpoints[2];
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 1; }));
    fixture.clock.stop();
    m1.connections[0]->send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    if (r.refuses_connections)
        m1.acceptor.close();
    fixture.advance(milliseconds(1500));
    m1.connections[0]->send(chunk(event(2)) + "0\r\n\r\n");
    REQUIRE(fixture.run_until(
        [&] { return caller->closed || caller->has("\r\n0\r\n\r\n"); }));
    REQUIRE(caller->has("id: 2"));
    REQUIRE(caller->has("\r\n0\r\n\r\n"));
    REQUIRE(fixture.endpoints[3]->request_count() == 0);
    REQUIRE(fixture.endpoints[4]->request_count() == 0);
}

// A call that may be repeated failed with 502 as its endpoint was slow and the
// retry budget spent.
TEST_CASE("a slow call waits when it cannot be repeated", "[unanswered]")
{
    relay_fixture fixture;
    allow_no_retries(fixture);
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    auto& one = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    fixture.clock.stop();
    fixture.advance(milliseconds(3000));
    REQUIRE(caller->received.empty());
    one.connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("body"); }));
    REQUIRE(caller->has("HTTP/1.1 200"));
}

// Retry budget ---------------------------------------------------------------

// A begun stream whose endpoint was lost ended at once, or after two seconds,
// while the retry budget was spent.
TEST_CASE("a begun stream waits for the retry budget", "[unanswered]")
{
    struct row
    {
        char const* name;
        milliseconds window;
        milliseconds wait; // from the second loss
        bool resumes;
    };
    auto const r = GENERATE(
        row{"free again soon", milliseconds(1000), milliseconds(2500), true},
        row{"free again before the deadline", milliseconds(6000),
            milliseconds(7500), true},
        row{"not free again", milliseconds(30000), milliseconds(7500), false});
    CAPTURE(r.name);
    relay_fixture fixture;
    fixture.set_engine_gap_target("1000");
    fixture.settings.retries.ratio = 0;
    fixture.settings.retries.allowance = 1;
    fixture.settings.retries.fleet_size = 1;
    fixture.settings.retries.window = r.window;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    auto& m1 = *fixture.endpoints[2];
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 1; }));
    fixture.clock.stop();
    m1.connections[0]->send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    m1.connections[0]->reset(); // the first loss spends the budget
    scripted_endpoint* second = nullptr;
    auto const resumed = [&]
    {
        for (std::size_t i : {3, 4})
        {
            if (fixture.endpoints[i]->request_count() > 0)
                second = fixture.endpoints[i].get();
        }
        return second != nullptr;
    };
    REQUIRE(fixture.run_until(resumed));
    second->connections[0]->send(stream_head() + chunk(event(2)));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 2"); }));
    second->connections[0]->reset();
    fixture.run_ticks();
    REQUIRE_FALSE(caller->has("\r\n0\r\n\r\n"));
    REQUIRE_FALSE(caller->closed);
    fixture.advance(r.wait);
    auto const requests = [&]
    {
        return fixture.endpoints[2]->request_count() +
               fixture.endpoints[3]->request_count() +
               fixture.endpoints[4]->request_count();
    };
    REQUIRE((requests() == 3) == r.resumes);
    REQUIRE_FALSE(caller->closed);
    REQUIRE_FALSE(caller->has("\r\n0\r\n\r\n"));
    if (r.resumes)
        return;
    fixture.advance(milliseconds(2000)); // beyond the deadline
    REQUIRE(caller->closed);
    REQUIRE_FALSE(caller->has("\r\n0\r\n\r\n"));
}

// A begun stream of a sound endpoint was given up for its silence, refused by
// the next endpoint and broken off, as no retry was left for a third one.
TEST_CASE("a refusal after a suspicion ends no stream", "[unanswered]")
{
    struct row
    {
        char const* name;
        int streams;
        int allowance;
        std::size_t moved; // streams given up by the silent endpoint
    };
    auto const r = GENERATE(
        row{"one retry left", 1, 1, 0}, row{"two retries left", 1, 2, 1},
        row{"two streams, three retries", 2, 3, 1},
        row{"two streams, four retries", 2, 4, 2});
    CAPTURE(r.name);
    relay_fixture fixture;
    fixture.set_engine_gap_target("1000");
    fixture.settings.retries.ratio = 0;
    fixture.settings.retries.allowance = r.allowance;
    fixture.settings.retries.fleet_size = 1;
    fixture.start();
    auto& m1 = *fixture.endpoints[2];
    std::vector<std::shared_ptr<test_connection>> callers;
    std::vector<std::string> ids;
    for (int n = 0; n < r.streams; ++n)
    {
        ids.push_back("r" + std::to_string(n));
        callers.push_back(
            fixture.connect_caller(fixture.request("/llm/x", ids.back())));
        REQUIRE(fixture.run_until(
            [&] { return m1.request_count() == std::size_t(n) + 1; }));
        m1.connections.back()->send(stream_head(ids.back()) + chunk(event(1)));
        REQUIRE(
            fixture.run_until([&] { return callers.back()->has("id: 1"); }));
    }
    fixture.clock.stop();
    // The other endpoints refuse once each, then take the stream.
    std::set<std::string> refused;
    std::size_t moved = 0;
    std::map<test_connection*, std::size_t> answered;
    auto const answer = [&]
    {
        for (std::size_t i : {3, 4})
        {
            for (auto const& c : fixture.endpoints[i]->connections)
            {
                auto const at =
                    c->received.find("Request-Id: ", answered[c.get()]);
                if (at == std::string::npos)
                    continue;
                auto const end = c->received.find("\r\n\r\n", at);
                if (end == std::string::npos)
                    continue;
                answered[c.get()] = end;
                auto const id = c->received.substr(at + 12, 2);
                if (refused.insert(id).second)
                {
                    ++moved;
                    c->send(relay_fixture::response(
                        id, "", "503 Busy", "Not-Executed: 1\r\n"));
                }
                else
                    c->send(stream_head(id) + chunk(event(2)) + "0\r\n\r\n");
            }
        }
    };
    fixture.advance(milliseconds(1500), answer);
    for (std::size_t n = 0; n < callers.size(); ++n)
    {
        if (refused.count(ids[n]) == 0) // its endpoint goes on
            m1.connections[n]->send(chunk(event(2)) + "0\r\n\r\n");
    }
    for (auto const& caller : callers)
    {
        REQUIRE(fixture.run_until(
            [&] { return caller->closed || caller->has("\r\n0\r\n\r\n"); }));
        REQUIRE(caller->has("id: 2"));
        REQUIRE(caller->has("\r\n0\r\n\r\n"));
    }
    for (auto const& l : fixture.log.lines)
        UNSCOPED_INFO(l);
    REQUIRE(moved == r.moved);
}

// With one retry left, a request stayed at an endpoint that had hung until its
// deadline.
TEST_CASE("a hung endpoint loses its request with one retry", "[unanswered]")
{
    struct row
    {
        char const* path;
        std::size_t first;
        std::vector<std::size_t> others;
        bool begun;
    };
    auto const r = GENERATE(
        row{"/llm/x", 2, {3, 4}, true}, row{"/llm/x", 2, {3, 4}, false},
        row{"/safe/x", 0, {1}, false});
    CAPTURE(r.path, r.begun);
    relay_fixture fixture;
    fixture.set_engine_gap_target("1000");
    fixture.settings.retries.ratio = 0;
    fixture.settings.retries.allowance = 1;
    fixture.settings.retries.fleet_size = 1;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request(r.path));
    auto& first = *fixture.endpoints[r.first];
    REQUIRE(fixture.run_until([&] { return first.request_count() == 1; }));
    fixture.clock.stop();
    if (r.begun)
    {
        first.connections[0]->send(stream_head() + chunk(event(1)));
        REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    }
    fixture.advance(milliseconds(6000));
    std::size_t moved = 0;
    for (auto const i : r.others)
    {
        for (auto const& c : fixture.endpoints[i]->connections)
            moved += c->has("Request-Id: r1") ? 1 : 0;
    }
    REQUIRE(moved == 1);
}

// A begun stream of a sound endpoint was given up with one retry left, refused
// by the next endpoint and ended at its deadline.
TEST_CASE("one retry moves no begun stream of a sound endpoint", "[unanswered]")
{
    enum class listener
    {
        accepts,
        closed,
        full
    };
    struct row
    {
        char const* name;
        listener state;
        char const* gap_target_ms;
        milliseconds silence;
    };
    auto const r = GENERATE(
        row{"gap target of 1 s", listener::accepts, "1000", milliseconds(1500)},
        row{"gap target of 3 s", listener::accepts, "3000", milliseconds(2800)},
        row{"listener closed", listener::closed, "1000", milliseconds(1000)},
        row{"accept queue full", listener::full, "1000", milliseconds(1000)});
    CAPTURE(r.name);
    relay_fixture fixture;
    fixture.set_engine_gap_target(r.gap_target_ms);
    fixture.settings.retries.ratio = 0;
    fixture.settings.retries.allowance = 1;
    fixture.settings.retries.fleet_size = 1;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/llm/x"));
    auto& m1 = *fixture.endpoints[2];
    REQUIRE(fixture.run_until([&] { return m1.request_count() == 1; }));
    fixture.clock.stop();
    auto const stream = m1.connections[0];
    stream->send(stream_head() + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    std::optional<full_listener> full;
    if (r.state != listener::accepts)
    {
        auto const at = m1.acceptor.local_endpoint();
        m1.acceptor.close();
        if (r.state == listener::full)
            full.emplace(fixture, at);
    }
    std::set<test_connection*> refused;
    auto const refuse = [&]
    {
        for (std::size_t i : {3, 4})
        {
            for (auto const& c : fixture.endpoints[i]->connections)
            {
                if (c->has("Request-Id: r1") && refused.insert(c.get()).second)
                    c->send(relay_fixture::response(
                        "r1", "", "503 Busy", "Not-Executed: 1\r\n"));
            }
        }
    };
    fixture.advance(r.silence, refuse);
    stream->send(chunk(event(2)) + "0\r\n\r\n");
    fixture.advance(milliseconds(8500), refuse);
    CHECK(refused.empty());
    REQUIRE(caller->has("id: 2"));
    REQUIRE(caller->has("\r\n0\r\n\r\n"));
}

// Connections of callers -----------------------------------------------------

// A rejection of a later request on a kept connection was never written.
TEST_CASE("a rejection on a kept connection is sent", "[unanswered]")
{
    struct row
    {
        char const* name;
        std::string request;
        char const* status;
    };
    std::string const head =
        "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
        "Authorization: Bearer KEY\r\n";
    auto const r = GENERATE_COPY(
        row{"two lengths",
            head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", " 400 "},
        row{"body too large",
            head + "Content-Length: 10001\r\n\r\n" + std::string(10001, 'a'),
            " 413 "},
        row{"chunked body too large",
            head + "Transfer-Encoding: chunked\r\n\r\n" +
                chunk(std::string(10001, 'a')) + "0\r\n\r\n",
            " 413 "},
        row{"head too large",
            head + "X: " + std::string(5000, 'a') + "\r\n\r\n", " 431 "});
    CAPTURE(r.name);
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    auto& one = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    one.connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("body"); }));
    caller->send(r.request);
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(caller->has(r.status));
}

// A request that crossed the close of its idle connection was read and dropped,
// so its caller could not tell whether it had run.
TEST_CASE("a request that crosses an idle close is not read", "[unanswered]")
{
    relay_fixture fixture;
    fixture.start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    auto& one = *fixture.endpoints[0];
    REQUIRE(fixture.run_until([&] { return one.request_count() == 1; }));
    one.connections[0]->send(fixture.response());
    REQUIRE(fixture.run_until([&] { return caller->has("body"); }));
    fixture.clock.stop();
    fixture.clock.offset += milliseconds(61000);
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    caller->send(fixture.request("/safe/x", "r2"));
    for (int i = 0; i < 5; ++i)
        fixture.run_ticks();
    REQUIRE_FALSE(fixture.logged("unanswered_input"));
    REQUIRE(one.request_count() == 1);
}

// An unexpected error in the admission of a request left it without an answer
// until its caller gave up.
TEST_CASE("an error in admission is answered", "[unanswered]")
{
    struct faulty_protocol : platform_protocol
    {
        request_metadata read_request(message_head const&) const override
        {
            throw std::runtime_error("unexpected");
        }
    } const faulty;
    relay_fixture fixture;
    fixture.subject = std::make_unique<gateway>(
        fixture.settings,
        gateway_environment{
            fixture.io, fixture.timers, fixture.clock, fixture.random, faulty,
            fixture.codec, fixture.configuration, fixture.table,
            fixture.peer_table, fixture.peer_writer, fixture.status_store,
            fixture.log, fixture.counters, fixture.memory});
    fixture.subject->start();
    auto const caller = fixture.connect_caller(fixture.request("/safe/x"));
    REQUIRE_THROWS_AS(
        fixture.run_until([&] { return caller->closed; }), std::runtime_error);
    REQUIRE(fixture.run_until([&] { return caller->closed; }));
    REQUIRE(caller->received.rfind("HTTP/1.1 500 ", 0) == 0);
    REQUIRE(caller->has("Connection: close\r\n"));
}
