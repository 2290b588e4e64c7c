// Rollouts as a gateway carries them out, with endpoints of two versions on
// loopback. Index: fixture; orders; verdicts; versions; odd orders; the store;
// other gateways; settings that disable them.
#include <catch2/catch.hpp>

#include <set>

#include <asio/ip/udp.hpp>

#include "relay/rollout_evidence_codec.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

// Fixture --------------------------------------------------------------------

constexpr std::size_t old_endpoint = 0;
constexpr std::size_t new_endpoint = 1;

std::string order_of(
    std::string const& to, std::string const& seconds,
    std::string const& service = "app")
{
    return R"({"service":")" + service + R"(","to":")" + to +
           R"(","durationS":)" + seconds + "}";
}

/// Two endpoints of the plain service, answered by functions of the test, and a
/// few callers that send a request as soon as the last one is answered.
struct rollout_fixture : relay_fixture
{
    rollout_fixture()
    {
        settings.rollouts.enabled = true;
        settings.regions = {{"near", "here"}, {"far", "here"}};
        table.rows = {
            versioned("one", old_endpoint, "v1"),
            versioned("two", new_endpoint, "v2")};
    }

    store_row versioned(
        std::string const& id, std::size_t i, std::string const& version) const
    {
        auto r = endpoint_row(id, i);
        r.value.insert(
            r.value.size() - 1, R"(,"version":")" + version +
                                    R"(","coldLeftMs":0,"seqNo":1,"born":1)");
        return r;
    }

    void start_serving()
    {
        start();
        REQUIRE(run_until([&] { return subject->ready(); }));
    }

    void publish_order(
        std::string const& value, std::string const& key = "rollout/app")
    {
        REQUIRE(run_until([&] { return bool(configuration.pending_changes); }));
        configuration.publish_change(row(key, value));
    }

    void remove_order()
    {
        REQUIRE(run_until([&] { return bool(configuration.pending_changes); }));
        auto gone = row("rollout/app", "");
        gone.deleted = true;
        configuration.publish_change(gone);
    }

    /// Sends and answers requests until the condition holds.
    bool serve_until(std::function<bool()> const& done)
    {
        return run_until(
            [&]
            {
                send_requests();
                answer_requests();
                return done();
            });
    }

    void serve_for(milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        serve_until([&] { return std::chrono::steady_clock::now() >= end; });
    }

    std::string status() const
    {
        auto const found = status_store.rows.find("rollout/app");
        return found == status_store.rows.end() ? "" : found->second.value;
    }

    bool shows(std::string const& state) const
    {
        return status().find(R"("state":")" + state + '"') != std::string::npos;
    }

    std::size_t count(std::string const& text) const
    {
        return std::size_t(std::count_if(
            log.lines.begin(), log.lines.end(),
            [&text](std::string const& line)
            { return line.find(text) != std::string::npos; }));
    }

    // By endpoint.
    std::function<bool(std::size_t)> fails = [](std::size_t) { return false; };
    std::function<milliseconds(std::size_t)> delay = [](std::size_t)
    { return milliseconds(5); };
    std::vector<std::size_t> seen = std::vector<std::size_t>(5);
    std::size_t bad_answers = 0;
    std::size_t seen_at_last_bad = 0;

private:
    static constexpr std::size_t callers = 4;
    static constexpr milliseconds call_interval{10};

    struct caller
    {
        std::shared_ptr<test_connection> connection;
        std::chrono::steady_clock::time_point next{};
        bool waiting = false;
    };

    struct answer
    {
        std::chrono::steady_clock::time_point at;
        std::shared_ptr<test_connection> connection;
        std::string text;
    };

    void send_requests()
    {
        auto const now = std::chrono::steady_clock::now();
        callers_.resize(callers);
        for (auto& c : callers_)
        {
            if (c.connection && c.waiting && c.connection->has("\r\n\r\n"))
                c.waiting = false;
            if (c.waiting || now < c.next)
                continue;
            auto const text =
                request("/open/x", "r" + std::to_string(++requests_));
            if (!c.connection || c.connection->closed)
            {
                c.connection = connect_caller(text);
            }
            else
            {
                c.connection->received.clear();
                c.connection->send(text);
            }
            c.waiting = true;
            c.next = now + call_interval;
        }
    }

    void answer_requests()
    {
        auto const now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < endpoints.size(); ++i)
        {
            for (auto const& c : endpoints[i]->connections)
                take_requests(i, c, now);
        }
        for (auto at = answers_.begin(); at != answers_.end();)
        {
            if (at->at > now)
            {
                ++at;
                continue;
            }
            if (!at->connection->closed)
                at->connection->send(at->text);
            at = answers_.erase(at);
        }
    }

    void take_requests(
        std::size_t i, std::shared_ptr<test_connection> const& c,
        std::chrono::steady_clock::time_point now)
    {
        std::size_t end = 0;
        while ((end = c->received.find("\r\n\r\n")) != std::string::npos)
        {
            auto const head = c->received.substr(0, end + 2);
            c->received.erase(0, end + 4);
            std::string const name = "Request-Id: ";
            auto const at = head.find(name);
            if (at == std::string::npos)
                continue;
            auto const from = at + name.size();
            auto const id = head.substr(from, head.find("\r\n", from) - from);
            ++seen[i];
            bool const failed = fails(i);
            if (failed && i == new_endpoint)
            {
                ++bad_answers;
                seen_at_last_bad = seen[i];
            }
            answers_.push_back(
                {now + delay(i), c,
                 failed ? response(id, "error", "500 Internal Server Error")
                        : response(id)});
        }
    }

    std::vector<caller> callers_;
    std::vector<answer> answers_;
    std::size_t requests_ = 0;
};

/// A registered gateway that records evidence.
struct recording_peer
{
    explicit recording_peer(asio::io_context& io)
        : socket(
              io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        receive();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
    }

    void send(std::string const& to, std::string const& bytes)
    {
        auto const address = parse_address(to);
        socket.send_to(
            asio::buffer(bytes),
            asio::ip::udp::endpoint(address->address(), address->port()));
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(buffer), sender,
            [this](asio::error_code const& e, std::size_t n)
            {
                if (e)
                    return;
                std::string const bytes(buffer.data(), n);
                if (is_rollout_evidence(bytes))
                    evidence.push_back(decode_rollout_evidence(bytes));
                else
                    ++shares;
                receive();
            });
    }

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 2048> buffer;
    std::size_t shares = 0;
    std::vector<shared_rollout_evidence> evidence;
};

struct peer_fixture : rollout_fixture
{
    peer_fixture()
    {
        settings.peer_listen = "127.0.0.1:" + std::to_string(free_port());
        peer_table.rows = {row("other", other.address())};
    }

    void start_with_peer()
    {
        start_serving();
        REQUIRE(run_until([&] { return other.shares > 0; }));
    }

    std::string evidence_of(
        rollout_state state, std::uint64_t order, milliseconds elapsed) const
    {
        rollout_evidence e;
        e.status = {service_name("app"), "v2", state, order};
        e.elapsed = elapsed;
        return encode_rollout_evidence(host_id("other"), {e});
    }

    recording_peer other{io};
};

} // namespace

// Orders ---------------------------------------------------------------------

// Guards against a good version that is not completed in time, gets more than
// its share before the shift, or whose old endpoints still serve after it.
TEST_CASE("a good version is completed by the deadline", "[rollout]")
{
    rollout_fixture fixture;
    fixture.start_serving();
    fixture.serve_for(milliseconds(300));
    REQUIRE(fixture.seen[new_endpoint] == 0);
    auto const before = fixture.seen[old_endpoint];
    REQUIRE(before > 10);
    auto const ordered = std::chrono::steady_clock::now();
    fixture.publish_order(order_of("v2", "4"));
    fixture.serve_for(milliseconds(2800)); // the shift begins at 3.2 s
    REQUIRE(fixture.shows("running"));
    auto const canary = fixture.seen[new_endpoint];
    auto const total = fixture.seen[old_endpoint] - before + canary;
    REQUIRE(canary > 0);
    REQUIRE(double(canary) <= 0.1 * double(total) + 50);
    REQUIRE(fixture.serve_until([&] { return fixture.shows("completed"); }));
    auto const took = std::chrono::steady_clock::now() - ordered;
    REQUIRE(took >= milliseconds(3200));
    REQUIRE(took <= milliseconds(4000));
    REQUIRE(fixture.status().find(R"("order":2)") != std::string::npos);
    auto const old = fixture.seen[old_endpoint];
    fixture.serve_for(milliseconds(300));
    REQUIRE(fixture.seen[old_endpoint] == old);
    REQUIRE(fixture.logged("rollout_completed service=app"));
    REQUIRE(fixture.logged(" version=v2")); // of dispatch
}

// Guards against orders that are lost when the process starts again, and
// against a read of the status for each update.
TEST_CASE("a gateway that starts during an order reads the status", "[rollout]")
{
    auto const state =
        GENERATE(as<std::string>{}, "running", "rolled_back", "completed");
    CAPTURE(state);
    rollout_fixture fixture;
    fixture.configuration.rows.push_back(
        relay_fixture::row("rollout/app", order_of("v2", "600")));
    fixture.status_store.put_row(
        "rollout/app",
        R"({"service":"app","to":"v2","state":")" + state + R"(","order":1})");
    fixture.start_serving();
    fixture.serve_for(milliseconds(200));
    auto const unused = state == "completed" ? old_endpoint : new_endpoint;
    auto const before = fixture.seen[unused]; // the row was read
    if (state == "rolled_back")
        REQUIRE(before == 0);
    fixture.serve_for(milliseconds(400));
    REQUIRE(fixture.status_store.calls == 1);
    if (state != "running")
        REQUIRE(fixture.seen[unused] == before);
    REQUIRE(fixture.shows(state));
}

// Guards against traffic to a candidate whose order was taken back.
TEST_CASE("an order is withdrawn", "[rollout]")
{
    rollout_fixture fixture;
    fixture.start_serving();
    fixture.publish_order(order_of("v2", "4"));
    REQUIRE(
        fixture.serve_until([&] { return fixture.seen[new_endpoint] > 0; }));
    auto const how = GENERATE(as<std::string>{}, "removed", "relisted", "odd");
    CAPTURE(how);
    if (how == "removed")
        fixture.remove_order();
    else if (how == "odd")
        fixture.publish_order("{}");
    else
    {
        REQUIRE(fixture.run_until(
            [&] { return bool(fixture.configuration.pending_changes); }));
        row_read_result lost;
        lost.status = row_read_status::history_lost;
        std::exchange(fixture.configuration.pending_changes, nullptr)(lost);
        REQUIRE(fixture.run_until(
            [&] { return fixture.logged("table_relisted"); }));
    }
    fixture.serve_for(milliseconds(100)); // what is on its way
    auto const seen = fixture.seen[new_endpoint];
    fixture.serve_for(milliseconds(500));
    REQUIRE(fixture.seen[new_endpoint] == seen);
    REQUIRE(fixture.logged("rollout_withdrawn service=app"));
    REQUIRE_FALSE(fixture.shows("completed"));
}

// Verdicts -------------------------------------------------------------------

// Guards against a bad version that is completed, gets more than its bound, or
// gets requests after the verdict.
TEST_CASE("a bad version is rolled back", "[rollout]")
{
    struct row
    {
        char const* name;
        double failing;
        milliseconds delay;
        std::size_t from; // number of its requests before it turns bad
    };
    auto const r = GENERATE(values<row>(
        {{"fails always", 1, milliseconds(5), 0},
         {"fails every second answer", 0.5, milliseconds(5), 0},
         {"is ten times slower", 0, milliseconds(50), 0},
         {"fails in the shift", 1, milliseconds(5), 60}}));
    CAPTURE(r.name);
    rollout_fixture fixture;
    bool const by_answers = r.failing > 0;
    std::size_t asked = 0;
    fixture.fails = [&](std::size_t i)
    {
        return i == new_endpoint && fixture.seen[i] > r.from && by_answers &&
               (r.failing == 1 || ++asked % 2 == 0);
    };
    fixture.delay = [&](std::size_t i)
    { return i == new_endpoint ? r.delay : milliseconds(5); };
    fixture.start_serving();
    fixture.serve_for(milliseconds(300));
    auto const before = fixture.seen[old_endpoint];
    fixture.publish_order(order_of("v2", "5"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("rolled_back"); }));
    fixture.serve_for(milliseconds(200));
    auto const exposed = fixture.seen[new_endpoint];
    fixture.serve_for(milliseconds(1000));
    REQUIRE(fixture.seen[new_endpoint] == exposed);
    REQUIRE(fixture.logged("rollout_rolled_back service=app version=v2"));
    auto const total = fixture.seen[old_endpoint] - before + exposed;
    CAPTURE(exposed, total);
    REQUIRE(double(exposed) <= 0.1 * double(total) + 50);
    REQUIRE_FALSE(fixture.logged("rollout_completed"));
}

// Versions -------------------------------------------------------------------

// Guards against traffic to endpoints that are listed before their order, and
// against a service that is not served since all endpoints have a new version.
TEST_CASE("endpoints of another version wait for their order", "[rollout]")
{
    rollout_fixture fixture;
    fixture.table.rows.push_back(fixture.versioned("three", 2, "v1"));
    fixture.start_serving();
    fixture.serve_for(milliseconds(500));
    REQUIRE(fixture.seen[new_endpoint] == 0);
    REQUIRE(fixture.seen[old_endpoint] + fixture.seen[2] > 10);

    // Also while the current endpoint fails, and when it is suspended.
    fixture.fails = [](std::size_t i) { return i != new_endpoint; };
    fixture.serve_for(milliseconds(300));
    REQUIRE(fixture.seen[new_endpoint] == 0);
}

TEST_CASE("a service of one version is served without an order", "[rollout]")
{
    rollout_fixture fixture;
    fixture.table.rows = {fixture.versioned("two", new_endpoint, "v7")};
    fixture.start_serving();
    REQUIRE(
        fixture.serve_until([&] { return fixture.seen[new_endpoint] > 20; }));
}

// Guards against a third version that shares the canary or the shift.
TEST_CASE("only the ordered version is tried", "[rollout]")
{
    rollout_fixture fixture;
    fixture.table.rows = {
        fixture.versioned("one", old_endpoint, "v1"),
        fixture.versioned("four", 3, "v1"),
        fixture.versioned("two", new_endpoint, "v2"),
        fixture.versioned("three", 2, "v3")};
    fixture.start_serving();
    fixture.publish_order(order_of("v2", "2"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("completed"); }));
    REQUIRE(fixture.seen[2] == 0);
    REQUIRE(fixture.seen[new_endpoint] > 0);
}

// Guards against requests that fail or wait while candidates are lost.
TEST_CASE("requests are served while candidates crash", "[rollout]")
{
    rollout_fixture fixture;
    fixture.start_serving();
    fixture.endpoints[new_endpoint]->acceptor.close(); // connections refused
    fixture.publish_order(order_of("v2", "2"));
    fixture.serve_for(milliseconds(1500));
    REQUIRE(fixture.seen[old_endpoint] > 50);
    REQUIRE(fixture.count("outcome=served") > 50);
    REQUIRE(fixture.count("outcome=failed") == 0);
    REQUIRE_FALSE(fixture.logged("rollout_completed"));
}

// Odd orders -----------------------------------------------------------------

// Guards against traffic that an order moves although it says nothing clear.
TEST_CASE("an odd order moves no traffic and is logged once", "[rollout]")
{
    struct row
    {
        std::string value;
        std::string key = "rollout/app";
    };
    auto const r = GENERATE(values<row>(
        {{""},
         {"no JSON"},
         {"[]"},
         {"{}"},
         {R"({"to":"v2","durationS":4})"},
         {R"({"service":"app","durationS":4})"},
         {R"({"service":"app","to":"v2"})"},
         {R"({"service":"","to":"v2","durationS":4})", "rollout/"},
         {R"({"service":5,"to":"v2","durationS":4})"},
         {R"({"service":"app","to":"","durationS":4})"},
         {R"({"service":"app","to":7,"durationS":4})"},
         {order_of("v2", "0")},
         {order_of("v2", "-4")},
         {order_of("v2", "\"4\"")},
         {order_of("v2", "null")},
         {order_of("v2", "1e300")},
         {order_of("v2", "4", "other")},
         {order_of(std::string(201, 'v'), "4")},
         {order_of("v2", "4", "nobody"), "rollout/nobody"}}));
    CAPTURE(r.key, r.value);
    rollout_fixture fixture;
    fixture.start_serving();
    fixture.publish_order(r.value, r.key);
    fixture.serve_for(milliseconds(300));
    REQUIRE(fixture.seen[new_endpoint] == 0);
    REQUIRE(fixture.seen[old_endpoint] > 10);
    REQUIRE(
        fixture.count("rollout_order_unreadable key=" + r.key) +
            fixture.count("rollout_order_held service=nobody") ==
        1);
    REQUIRE(fixture.status_store.calls == 0);
}

// Guards against an order that is forgotten as it came before its service.
TEST_CASE("an order waits for the configuration of its service", "[rollout]")
{
    rollout_fixture fixture;
    auto text = fixture.configuration.rows[0].value;
    auto const name = text.find(R"({"name":"app"},)");
    REQUIRE(name != std::string::npos);
    fixture.start_serving();
    fixture.publish_order(order_of("v2", "4", "late"), "rollout/late");
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("rollout_order_held service=late"); }));
    text.insert(name, R"({"name":"late"},)");
    text.replace(text.find(R"("version":3)"), 11, R"("version":4)");
    REQUIRE(fixture.run_until(
        [&] { return bool(fixture.configuration.pending_changes); }));
    fixture.configuration.publish_change(relay_fixture::row("config", text));
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("rollout_ordered service=late"); }));
}

// The store ------------------------------------------------------------------

// Guards against a verdict that is lost with a store that is down or does not
// answer while it is written.
TEST_CASE("a verdict is written once the store is back", "[rollout]")
{
    auto const lost_answers = GENERATE(false, true);
    CAPTURE(lost_answers);
    rollout_fixture fixture;
    fixture.fails = [](std::size_t i) { return i == new_endpoint; };
    fixture.start_serving();
    fixture.publish_order(order_of("v2", "6"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("running"); }));
    if (lost_answers)
        fixture.status_store.lose_answers = 3;
    else
        fixture.status_store.available = false;
    REQUIRE(fixture.serve_until(
        [&] { return fixture.logged("rollout_rolled_back"); }));
    fixture.serve_for(milliseconds(100));
    auto const exposed = fixture.seen[new_endpoint];
    fixture.serve_for(milliseconds(700));
    REQUIRE(fixture.seen[new_endpoint] == exposed); // in force before it
    fixture.status_store.available = true;
    REQUIRE(fixture.serve_until([&] { return fixture.shows("rolled_back"); }));
    fixture.serve_for(milliseconds(1000));
    auto const calls = fixture.status_store.calls;
    fixture.serve_for(milliseconds(500));
    REQUIRE(fixture.status_store.calls == calls); // the row shows it
    REQUIRE(fixture.shows("rolled_back"));
}

// Guards against a state that is overwritten by a gateway that knows less.
TEST_CASE("a state that another gateway wrote is merged", "[rollout]")
{
    rollout_fixture fixture;
    fixture.start_serving();
    fixture.publish_order(order_of("v2", "2"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("running"); }));
    fixture.status_store.put_row(
        "rollout/app",
        R"({"service":"app","to":"v2","state":"rolled_back","order":2})");
    REQUIRE(fixture.serve_until(
        [&] { return fixture.logged("rollout_rolled_back"); }));
    fixture.serve_for(milliseconds(1000));
    REQUIRE(fixture.shows("rolled_back"));
    REQUIRE_FALSE(fixture.logged("rollout_completed"));
}

// Guards against a row of another writer that stops the rollout.
TEST_CASE("an unreadable status row is replaced", "[rollout]")
{
    auto const text = GENERATE(
        as<std::string>{}, "", "x", "{}",
        R"({"service":"app","to":"v2","state":"odd"})");
    rollout_fixture fixture;
    fixture.status_store.put_row("rollout/app", text);
    fixture.start_serving();
    fixture.publish_order(order_of("v2", "2"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("completed"); }));
    REQUIRE(fixture.logged("rollout_status_unreadable key=rollout/app"));
}

// Other gateways -------------------------------------------------------------

// Guards against a verdict that peers do not hear of, and against datagrams
// when there is nothing to say.
TEST_CASE("evidence is sent while an order runs", "[rollout][peers]")
{
    peer_fixture fixture;
    fixture.start_with_peer();
    fixture.serve_for(milliseconds(600));
    REQUIRE(fixture.other.evidence.empty());
    fixture.publish_order(order_of("v2", "4"));
    fixture.serve_for(milliseconds(1000));
    auto const sent = fixture.other.evidence.size();
    REQUIRE(sent >= 2);
    REQUIRE(sent <= 5); // 250 ms apart
    auto const& last = fixture.other.evidence.back();
    REQUIRE(last.gateway.value() == "gateway");
    auto const& e = last.evidence.at(0);
    REQUIRE(e.status.service.value() == "app");
    REQUIRE(e.status.order_revision == 2);
    REQUIRE(e.counts.current.at("open").answers > 0);
    REQUIRE(e.elapsed);
    REQUIRE(
        fixture.subject->metrics().find(
            "dotterellock_rollout_datagrams_sent_total ") != std::string::npos);
}

// Guards against exposure at a gateway that saw no bad answer itself.
TEST_CASE("a verdict of a peer is in force here", "[rollout][peers]")
{
    peer_fixture fixture;
    fixture.start_with_peer();
    fixture.publish_order(order_of("v2", "6"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("running"); }));
    auto const& to = fixture.settings.peer_listen;
    fixture.other.send(
        to,
        fixture.evidence_of(rollout_state::rolled_back, 2, milliseconds(100)));
    REQUIRE(fixture.serve_until(
        [&] { return fixture.logged("rollout_rolled_back"); }));
    fixture.serve_for(milliseconds(100));
    auto const exposed = fixture.seen[new_endpoint];
    // A lower state that was on its way changes nothing.
    fixture.other.send(
        to, fixture.evidence_of(rollout_state::running, 2, milliseconds(200)));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("rolled_back"); }));
    fixture.serve_for(milliseconds(500));
    REQUIRE(fixture.seen[new_endpoint] == exposed);
    REQUIRE(
        fixture.other.evidence.back().evidence.at(0).status.state ==
        rollout_state::rolled_back);
}

// Datagrams of strangers could end any rollout.
TEST_CASE("rollout evidence is taken from known gateways", "[rollout][peers]")
{
    peer_fixture fixture;
    fixture.start_with_peer();
    fixture.publish_order(order_of("v2", "4"));
    REQUIRE(fixture.serve_until([&] { return fixture.shows("running"); }));
    recording_peer stranger(fixture.io);
    auto const& to = fixture.settings.peer_listen;
    auto const valid =
        fixture.evidence_of(rollout_state::rolled_back, 2, milliseconds(9));
    stranger.send(to, valid);
    fixture.other.send(to, valid.substr(0, valid.size() - 1));
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("rollout_evidence_unreadable from="); }));
    fixture.settle();
    REQUIRE_FALSE(fixture.logged("rollout_rolled_back"));
}

// Settings that disable them -------------------------------------------------

// Guards against any change for deployments without rollouts, or without an
// order: calls, datagrams, choice of endpoints.
TEST_CASE("nothing changes without rollouts or an order", "[rollout][peers]")
{
    auto const enabled = GENERATE(false, true);
    CAPTURE(enabled);
    peer_fixture fixture;
    fixture.settings.rollouts.enabled = enabled;
    if (enabled)
        fixture.table.rows = {
            fixture.versioned("one", old_endpoint, "v1"),
            fixture.versioned("two", new_endpoint, "v1")};
    fixture.start_with_peer();
    if (!enabled)
        fixture.publish_order(order_of("v2", "2"));
    fixture.serve_for(milliseconds(600));
    REQUIRE(fixture.status_store.calls == 0);
    REQUIRE(fixture.other.evidence.empty());
    REQUIRE(fixture.logged("dispatch "));
    REQUIRE(fixture.logged(" version=v1") == enabled);
    REQUIRE_FALSE(fixture.logged("rollout"));
    // The other endpoint is chosen whatever its version.
    fixture.fails = [](std::size_t i) { return i == old_endpoint; };
    REQUIRE(
        fixture.serve_until([&] { return fixture.seen[new_endpoint] > 0; }));
}
