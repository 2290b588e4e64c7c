// Prompts that crash endpoints, as a gateway sees them: what counts as a crash,
// who is refused, and what gateways tell each other. Index: fixture; crashes;
// what is not counted; refusals; other gateways; metrics.
#include <catch2/catch.hpp>

#include <asio/ip/udp.hpp>

#include "relay/crash_evidence_codec.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

// Fixture --------------------------------------------------------------------

// Crashes that are closer together count once.
constexpr milliseconds crash_spacing{1100};

constexpr std::size_t first_engine = 2; // index of m1; m2 and m3 follow

std::string prompt(std::string const& parts)
{
    return "Prompt-Prefix: " + parts + "\r\nToken-Counts: 40,10\r\n";
}

/// An endpoint that serves one attempt of a request.
struct attempt
{
    scripted_endpoint* endpoint = nullptr;
    std::shared_ptr<test_connection> connection;
};

struct quarantine_fixture : relay_fixture
{
    quarantine_fixture()
    {
        // Twice as many attempts as endpoints; no key, as the configuration
        // becomes stale while a test moves the clock.
        replace(
            R"("maxAttempts":3,
  "resumable":true,"sticky":true)",
            R"("maxAttempts":6,
  "resumable":true,"sticky":true,"anonymous":true)");
    }

    void replace(std::string const& from, std::string const& to)
    {
        auto& text = configuration.rows[0].value;
        auto const at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    }

    /// From now on only the test moves the clock.
    void start_stopped()
    {
        start();
        REQUIRE(run_until([&] { return subject->ready(); }));
        clock.stop();
    }

    bool advance_until(std::function<bool()> const& done)
    {
        for (int i = 0; i < 100 && !done(); ++i)
            advance(milliseconds(100));
        return done();
    }

    std::shared_ptr<test_connection>
    send(std::string const& id, std::string const& parts)
    {
        return connect_caller(request("/llm/x", id, prompt(parts)));
    }

    /// Waits for the next attempt of a request at any endpoint.
    attempt next_attempt(std::string const& id)
    {
        attempt found;
        auto const arrived = [&]
        {
            for (auto const& endpoint : endpoints)
            {
                for (auto const& c : endpoint->connections)
                {
                    if (!c->has("Request-Id: " + id + "\r\n") ||
                        !c->has("\r\n\r\n"))
                        continue;
                    c->received.clear();
                    found = {endpoint.get(), c};
                    return true;
                }
            }
            return false;
        };
        REQUIRE(run_until([&] { return found.endpoint || arrived(); }));
        return found;
    }

    std::size_t count(std::string const& text) const
    {
        return std::size_t(std::count_if(
            log.lines.begin(), log.lines.end(),
            [&text](std::string const& line)
            { return line.find(text) != std::string::npos; }));
    }

    /// Resets the connection of a request's attempt.
    void crash(std::string const& id)
    {
        auto const before = count("prompt_crash ");
        next_attempt(id).connection->reset();
        REQUIRE(run_until([&] { return count("prompt_crash ") > before; }));
    }

    /// A request that crashes three endpoints, one after another.
    void crash_three(std::string const& id, std::string const& parts)
    {
        auto const caller = send(id, parts);
        for (int i = 0; i < 3; ++i)
        {
            if (i > 0)
                clock.offset += crash_spacing;
            crash(id);
        }
        REQUIRE(run_until([&] { return caller->has(" 502 "); }));
    }

    /// Sends a request and answers it completely.
    void serve(std::string const& id, std::string const& parts)
    {
        auto const caller = send(id, parts);
        next_attempt(id).connection->send(
            stream_head(id) + chunk(event(1)) + "0\r\n\r\n");
        REQUIRE(run_until([&] { return caller->has("0\r\n\r\n"); }));
    }
};

} // namespace

// Crashes --------------------------------------------------------------------

// A prompt took one endpoint after another out of service, as every loss was
// followed by an attempt elsewhere.
TEST_CASE("a prompt that crashes endpoints is refused", "[quarantine]")
{
    quarantine_fixture fixture;
    enum class end
    {
        reset,
        close,
        dead
    };
    struct row
    {
        char const* name;
        bool event; // before the end
        end how;
    };
    auto const r = GENERATE(
        row{"reset before the first event", false, end::reset},
        row{"close before the first event", false, end::close},
        row{"dead by a check before the first event", false, end::dead},
        row{"reset in the middle", true, end::reset},
        row{"close in the middle", true, end::close},
        row{"dead by a check in the middle", true, end::dead});
    CAPTURE(r.name);
    fixture.start_stopped();
    auto const caller = fixture.send("r1", "bad:1,own:1");
    for (std::size_t i = 1; i <= 3; ++i)
    {
        auto const a = fixture.next_attempt("r1");
        if (i > 1)
            fixture.clock.offset += crash_spacing;
        if (r.event)
        {
            a.connection->send(stream_head("r1") + chunk(event(int(i))));
            REQUIRE(fixture.run_until(
                [&] { return caller->has("id: " + std::to_string(i)); }));
        }
        if (r.how == end::reset)
            a.connection->reset();
        if (r.how == end::close)
            a.connection->close();
        if (r.how == end::dead)
            a.endpoint->acceptor.close();
        auto const counted = [&]
        { return fixture.count("prompt_crash request=r1 endpoint=m") == i; };
        bool const lost = r.how == end::dead ? fixture.advance_until(counted)
                                             : fixture.run_until(counted);
        REQUIRE(lost);
    }
    // It ran, so it is not refused as one that did not.
    REQUIRE(fixture.run_until(
        [&] { return r.event ? caller->closed : caller->has(" 502 "); }));
    REQUIRE(fixture.logged(
        r.event ? "outcome=broken status=0 reason=quarantined_prompt"
                : "outcome=failed status=502 reason=quarantined_prompt"));
    REQUIRE(fixture.logged("prompt_quarantined part="));

    auto const next = fixture.send("r2", "bad:1,other:1");
    REQUIRE(fixture.run_until([&] { return next->has("\r\n\r\n"); }));
    REQUIRE(next->has(" 503 "));
    REQUIRE(next->has("quarantined_prompt"));
    REQUIRE(fixture.logged(
        "rejected request=r2 status=503 reason=quarantined_prompt"));
    REQUIRE(fixture.count("dispatch request=r1") == 3);
    REQUIRE(fixture.count("dispatch request=r2") == 0);
}

// A request that its endpoint had received was answered "not run" when a check
// completed the quarantine.
TEST_CASE("a request that was sent is not refused as not run", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    auto const first = fixture.send("r1", "bad:1,own:1");
    fixture.crash("r1");
    fixture.clock.offset += crash_spacing;
    fixture.crash("r1");
    fixture.next_attempt("r1");
    auto const second = fixture.send("r2", "bad:1,other:1");
    auto const a = fixture.next_attempt("r2");
    fixture.clock.offset += crash_spacing;
    a.endpoint->acceptor.close();
    REQUIRE(fixture.advance_until([&] { return second->has("\r\n\r\n"); }));
    REQUIRE(second->has(" 502 "));
}

// Refusing by key, route or common part would turn sound requests away.
TEST_CASE("sound requests beside a crashing prompt are served", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    fixture.crash_three("r1", "common:1,bad:1,own:1");
    auto const parts = GENERATE(
        as<std::string>{}, "common:1,good:1,s:1", "common:1,s:1", "s:1",
        "own:1,s:1", "common:1,bad:1");
    CAPTURE(parts);
    fixture.serve("s1", parts);
    REQUIRE(fixture.count("dispatch request=s1") == 1);
    REQUIRE(fixture.logged("request request=s1 route=llm"));
    REQUIRE(fixture.logged("failed_attempts=- events=1"));
}

// Parts in use everywhere must not be refused after unrelated losses.
TEST_CASE("a proven attempt clears its parts", "[quarantine]")
{
    struct row
    {
        char const* name;
        char const* proof;
        bool quarantined;
    };
    auto const r = GENERATE(
        row{"none", "", true}, row{"complete", "complete", false},
        row{"lasting", "lasting", false}, row{"too short", "short", true});
    CAPTURE(r.name);
    quarantine_fixture fixture;
    fixture.start_stopped();
    std::string const proof = r.proof;
    auto const caller = fixture.send("r1", "part:1,own:1");
    fixture.crash("r1");
    fixture.clock.offset += crash_spacing;
    fixture.crash("r1");
    fixture.clock.offset += crash_spacing;
    if (proof == "complete")
        fixture.serve("s1", "part:1,s:1");
    if (proof == "lasting" || proof == "short")
    {
        auto const sound = fixture.send("s1", "part:1,s:1");
        auto const a = fixture.next_attempt("s1");
        a.connection->send(stream_head("s1") + chunk(event(1)));
        REQUIRE(fixture.run_until([&] { return sound->has("id: 1"); }));
        fixture.clock.offset += milliseconds(proof == "short" ? 900 : 1000);
        a.connection->send(chunk(event(2)));
        REQUIRE(fixture.run_until([&] { return sound->has("id: 2"); }));
    }
    fixture.clock.offset += crash_spacing;
    fixture.crash("r1");
    REQUIRE(fixture.logged("prompt_quarantined") == r.quarantined);
}

// What is not counted --------------------------------------------------------

// Endpoints that refuse, hang or answer wrongly have not crashed; counting them
// would quarantine parts that are in use everywhere.
TEST_CASE("only lost endpoints are counted as crashes", "[quarantine]")
{
    quarantine_fixture fixture;
    struct row
    {
        char const* name;
        std::string answer;
        char const* logged;
    };
    std::string const close = "Connection: close\r\n";
    auto const r = GENERATE_COPY(
        row{"refusal",
            relay_fixture::response(
                "r1", "", "503 Busy", "Not-Executed: 1\r\n" + close),
            "outcome=refused"},
        row{"misdirected",
            relay_fixture::response("r1", "", "421 Misdirected", close),
            "outcome=misdirected"},
        row{"error of the endpoint",
            relay_fixture::response("r1", "x", "500 Error", close),
            "outcome=failed_answer"},
        row{"unsealed answer",
            relay_fixture::response("r1", "x", "200 OK", close),
            "reason=unsealed"},
        row{"no HTTP", "junk\r\n\r\n", "reason=malformed"},
        row{"cut event", stream_head("r1") + chunk("id: 1\nda") + "0\r\n\r\n",
            "reason=cut_event"},
        row{"silence", "", "outcome=silent"});
    CAPTURE(r.name);
    fixture.start_stopped();
    auto const caller = fixture.send("r1", "part:1,own:1");
    auto const a = fixture.next_attempt("r1");
    if (!r.answer.empty())
        a.connection->send(r.answer);
    auto const failed = [&] { return fixture.logged(r.logged); };
    bool const ended = r.answer.empty() ? fixture.advance_until(failed)
                                        : fixture.run_until(failed);
    REQUIRE(ended);
    fixture.settle();
    REQUIRE(fixture.count("prompt_crash ") == 0);
}

// An endpoint that ran the prompt for a while was lost for another reason.
TEST_CASE("the end of a proven attempt is no crash", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    auto const caller = fixture.send("r1", "part:1,own:1");
    auto const a = fixture.next_attempt("r1");
    a.connection->send(stream_head("r1") + chunk(event(1)));
    REQUIRE(fixture.run_until([&] { return caller->has("id: 1"); }));
    fixture.clock.offset += milliseconds(1000);
    a.connection->reset();
    REQUIRE(fixture.run_until([&] { return fixture.logged("reason=reset"); }));
    REQUIRE(fixture.count("prompt_crash ") == 0);
}

// Comments that an endpoint sends while it reads the prompt are no answer.
TEST_CASE("comments do not prove an attempt", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    auto const caller = fixture.send("r1", "part:1,own:1");
    auto const a = fixture.next_attempt("r1");
    a.connection->send(stream_head("r1") + chunk(": wait\n\n"));
    REQUIRE(fixture.run_until([&] { return caller->has(": wait"); }));
    fixture.clock.offset += milliseconds(1000);
    a.connection->send(chunk(": wait\n\n"));
    a.connection->reset();
    REQUIRE(fixture.run_until([&] { return fixture.logged("reason=reset"); }));
    REQUIRE(fixture.count("prompt_crash ") == 1);
}

// Endpoints close idle connections at any time.
TEST_CASE("a reused connection that ends at once is no crash", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    fixture.serve("r1", "part:1,own:1");
    auto const before = fixture.endpoints[first_engine]->connections.size();
    auto const caller = fixture.send("r2", "part:1,own:1");
    auto const a = fixture.next_attempt("r2");
    REQUIRE(a.endpoint->connections.size() == before); // it is in use again
    auto const by_reset = GENERATE(false, true);
    if (by_reset)
        a.connection->reset();
    else
        a.connection->close();
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("attempt_failed request=r2"); }));
    fixture.advance(milliseconds(2000)); // the endpoint is seen alive
    REQUIRE(fixture.logged("endpoint_checked endpoint=m1"));
    REQUIRE(fixture.count("prompt_crash ") == 0);
}

// Short prompts crash an endpoint as fast as it closes an idle connection. Left
// out of the evidence, such crashes were blamed on the sound prompts there.
TEST_CASE("a crash at once on a reused connection counts", "[quarantine]")
{
    quarantine_fixture fixture;
    struct row
    {
        char const* name;
        bool repeated; // the request, at the endpoint that crashed
        bool back;     // at once, before it is registered anew
        bool by_reset;
    };
    auto const r = GENERATE(
        row{"a repetition finds it dead", true, false, true},
        row{"a check finds it dead, reset", false, false, true},
        row{"a check finds it dead, close", false, false, false},
        row{"another incarnation registers", false, true, true});
    CAPTURE(r.name);
    if (!r.repeated)
        fixture.replace(R"("maxAttempts":6)", R"("maxAttempts":1)");
    fixture.start_stopped();
    fixture.serve("r1", "part:1,own:1");
    auto const before = fixture.endpoints[first_engine]->connections.size();
    auto const caller = fixture.send("r2", "part:1,own:1");
    auto const a = fixture.next_attempt("r2");
    REQUIRE(a.endpoint->connections.size() == before); // it is in use again
    if (!r.back)
        a.endpoint->acceptor.close();
    if (r.by_reset)
        a.connection->reset();
    else
        a.connection->close();
    auto const lost = fixture.clock.now();
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("attempt_failed request=r2"); }));
    if (r.back)
    {
        fixture.advance(milliseconds(2000));
        REQUIRE(fixture.logged("endpoint_checked endpoint=m1"));
        REQUIRE(fixture.count("prompt_crash ") == 0);
        auto restarted = fixture.engine_row("m1", first_engine, "near");
        restarted.value.insert(1, R"("born":5,)");
        fixture.table.publish_change(restarted);
    }
    REQUIRE(fixture.advance_until(
        [&]
        { return fixture.count("prompt_crash request=r2 endpoint=m1") == 1; }));
    REQUIRE(fixture.clock.now() - lost <= milliseconds(3000));
    fixture.advance(milliseconds(500));
    REQUIRE(fixture.count("prompt_crash ") == 1);
}

// One that leaves closes its connections and then accepts no more.
TEST_CASE("an endpoint that leaves has not crashed", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    fixture.serve("r1", "part:1,own:1");
    auto const caller = fixture.send("r2", "part:1,own:1");
    auto const a = fixture.next_attempt("r2");
    auto leaving = fixture.engine_row("m1", first_engine, "near");
    leaving.value.replace(leaving.value.find("ready"), 5, "draining");
    fixture.table.publish_change(leaving);
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("endpoint_leaving endpoint=m1"); }));
    a.endpoint->acceptor.close();
    a.connection->close();
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("attempt_failed request=r2"); }));
    fixture.advance(milliseconds(1000));
    REQUIRE(fixture.count("prompt_crash ") == 0);
}

TEST_CASE("an endpoint that was not reached did not crash", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    fixture.endpoints[first_engine]->acceptor.close();
    auto const caller = fixture.send("r1", "part:1,own:1");
    fixture.next_attempt("r1");
    REQUIRE(fixture.logged("outcome=unreachable"));
    REQUIRE(fixture.count("prompt_crash ") == 0);
}

// Other requests have no prompt, and a part that only one request has says
// nothing of others.
TEST_CASE("requests without shared parts are not examined", "[quarantine]")
{
    quarantine_fixture fixture;
    struct row
    {
        char const* path;
        std::string headers;
    };
    auto const r = GENERATE(
        row{"/stream/x", prompt("part:1,own:1")},
        row{"/llm/x", prompt("own:1")}, row{"/llm/x", prompt("")},
        row{"/llm/x", ""});
    CAPTURE(r.path, r.headers);
    fixture.start_stopped();
    auto const caller =
        fixture.connect_caller(fixture.request(r.path, "r1", r.headers));
    for (std::size_t i = 1; i <= 2; ++i)
    {
        fixture.next_attempt("r1").connection->reset();
        REQUIRE(fixture.run_until(
            [&] { return fixture.count("outcome=lost reason=reset") == i; }));
        fixture.clock.offset += crash_spacing;
    }
    REQUIRE(fixture.count("prompt_crash ") == 0);
}

// Other gateways -------------------------------------------------------------

namespace
{

/// A gateway that only exchanges datagrams.
struct fake_peer
{
    explicit fake_peer(asio::io_context& io)
        : socket(io, {asio::ip::address_v4::loopback(), 0})
    {
        receive();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
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
                receive();
                if (is_crash_evidence(bytes))
                    evidence.push_back(decode_crash_evidence(bytes));
                else
                    ++shares;
            });
    }

    void send(std::string const& to, std::string const& bytes)
    {
        auto const address = *parse_address(to);
        socket.send_to(
            asio::buffer(bytes), {address.address(), address.port()});
    }

    bool heard_of(std::uint64_t key) const
    {
        return std::any_of(
            evidence.begin(), evidence.end(),
            [key](shared_evidence const& e)
            {
                return std::any_of(
                    e.evidence.parts.begin(), e.evidence.parts.end(),
                    [key](auto const& part) { return part.key == key; });
            });
    }

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 2048> buffer;
    std::size_t shares = 0;
    std::vector<shared_evidence> evidence;
};

struct peer_fixture : quarantine_fixture
{
    peer_fixture()
    {
        settings.peer_listen = "127.0.0.1:" + std::to_string(free_port());
        peer_table.rows = {row("other", other.address())};
    }

    /// Starts and waits until the peer is known.
    void start_with_peer()
    {
        start_stopped();
        REQUIRE(advance_until([&] { return other.shares > 0; }));
    }

    static std::uint64_t key_of(std::string const& part)
    {
        return prompt_part_keys_of({part, "own"}).at(0);
    }

    static std::string
    quarantine_of(std::string const& part, std::string const& host = "other")
    {
        crash_evidence evidence;
        evidence.parts.emplace_back();
        auto& p = evidence.parts[0];
        p.key = key_of(part);
        for (int i = 0; i < 3; ++i)
            p.incidents.push_back(
                {std::uint64_t(900 + i), milliseconds(2000 + 2000 * i)});
        p.quarantined_for = milliseconds(298000);
        p.quarantines = 1;
        return encode_crash_evidence(host_id(host), evidence);
    }

    fake_peer other{io};
};

} // namespace

// A part is known everywhere only if each gateway sends what it sees, again if
// a datagram was lost, and nothing that others would have to read in vain.
TEST_CASE("evidence is sent while there is any", "[quarantine][peers]")
{
    peer_fixture fixture;
    fixture.start_with_peer();
    fixture.advance(milliseconds(1000));
    REQUIRE(fixture.other.evidence.empty());
    REQUIRE(fixture.other.shares >= 3);

    auto const caller = fixture.send("r1", "bad:1,own:1");
    fixture.crash("r1");
    fixture.advance(milliseconds(100));
    REQUIRE(
        fixture.run_until([&] { return fixture.other.evidence.size() == 1; }));
    auto const& first = fixture.other.evidence[0];
    REQUIRE(first.gateway.value() == "gateway");
    REQUIRE(first.evidence.parts.size() == 1);
    REQUIRE(first.evidence.parts[0].key == peer_fixture::key_of("bad"));
    REQUIRE(first.evidence.parts[0].incidents.size() == 1);
    fixture.advance(milliseconds(1000));
    auto const repeated = fixture.other.evidence.size();
    REQUIRE(repeated >= 3);
    REQUIRE(repeated <= 5); // 250 ms apart, in steps of 100 ms
    REQUIRE(
        fixture.subject->metrics().find(
            "evidence_datagrams_sent_total " + std::to_string(repeated)) !=
        std::string::npos);

    // Evidence that expired is not sent any more.
    fixture.clock.offset +=
        prompt_quarantine::incident_window + std::chrono::seconds(60);
    fixture.settle();
    auto const last = fixture.other.evidence.size();
    fixture.advance(milliseconds(1000));
    REQUIRE(fixture.other.evidence.size() == last);
}

// Repeating unchanged evidence to 32 peers took 18 times the traffic that is
// planned for control.
TEST_CASE("unchanged evidence goes to peers in turn", "[quarantine][peers]")
{
    peer_fixture fixture;
    fake_peer third(fixture.io);
    fixture.peer_table.rows.push_back(
        relay_fixture::row("third", third.address()));
    fixture.start_with_peer();
    auto const caller = fixture.send("r1", "bad:1,own:1");
    fixture.crash("r1");
    fixture.advance(milliseconds(100));
    REQUIRE(fixture.run_until(
        [&] {
            return fixture.other.evidence.size() == 1 &&
                   third.evidence.size() == 1;
        }));
    fixture.advance(milliseconds(2000));
    auto const to_other = fixture.other.evidence.size() - 1;
    auto const to_third = third.evidence.size() - 1;
    REQUIRE(to_other + to_third <= 9);
    REQUIRE(to_other >= 3);
    REQUIRE(to_third >= 3);
}

// Without it each gateway would lose three endpoints of its own.
TEST_CASE("a quarantine of a peer is in force here", "[quarantine][peers]")
{
    peer_fixture fixture;
    fixture.start_with_peer();
    fixture.other.send(
        fixture.settings.peer_listen, fixture.quarantine_of("bad"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("prompt_quarantined part="); }));
    REQUIRE(fixture.logged("source=other"));
    auto const caller = fixture.send("r1", "bad:1,own:1");
    REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
    REQUIRE(caller->has(" 503 "));
    REQUIRE(caller->has("Retry-After: 298"));
    fixture.serve("s1", "good:1,own:1");

    // Gateways that the peer does not know learn of it from here.
    fixture.advance(milliseconds(100));
    REQUIRE(fixture.run_until(
        [&] { return fixture.other.heard_of(peer_fixture::key_of("bad")); }));
}

// Datagrams of strangers could refuse any prompt.
TEST_CASE("evidence is taken from known gateways only", "[quarantine][peers]")
{
    peer_fixture fixture;
    fixture.start_with_peer();
    fake_peer stranger(fixture.io);
    auto const& to = fixture.settings.peer_listen;
    auto const valid = fixture.quarantine_of("bad");
    stranger.send(to, valid);
    fixture.other.send(to, fixture.quarantine_of("bad", "unknown"));
    fixture.other.send(to, valid.substr(0, valid.size() - 1));
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("evidence_unreadable from=127.0.0.1"); }));
    fixture.settle();
    REQUIRE_FALSE(fixture.logged("prompt_quarantined"));
    auto const metrics = fixture.subject->metrics();
    REQUIRE(
        metrics.find("evidence_datagrams_received_total 0") !=
        std::string::npos);
    REQUIRE(
        metrics.find("evidence_datagrams_unreadable_total 1") !=
        std::string::npos);
    fixture.other.send(to, valid);
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("prompt_quarantined"); }));
}

// Refusals -------------------------------------------------------------------

// A request in the queue would crash the endpoint that becomes free.
TEST_CASE("a queued request is refused on quarantine", "[quarantine][peers]")
{
    peer_fixture fixture;
    fixture.replace(R"("slots":8)", R"("slots":1)");
    fixture.start_with_peer();
    std::vector<std::shared_ptr<test_connection>> callers;
    for (std::string const id : {"f1", "f2", "f3"})
    {
        callers.push_back(fixture.send(id, "good:1,own:1"));
        // With fewer endpoints than gateways left, it may wait for a draw.
        REQUIRE(fixture.advance_until(
            [&] { return fixture.count("dispatch request=" + id) == 1; }));
    }
    auto const bad = fixture.send("q1", "bad:1,own:1");
    auto const sound = fixture.send("q2", "good:1,own:1");
    auto const waiting = [&](char const* n)
    {
        return fixture.subject->metrics().find(
                   std::string("waiting_requests ") + n) != std::string::npos;
    };
    REQUIRE(fixture.run_until([&] { return waiting("2"); }));
    fixture.other.send(
        fixture.settings.peer_listen, fixture.quarantine_of("bad"));
    REQUIRE(fixture.run_until([&] { return bad->has("\r\n\r\n"); }));
    REQUIRE(bad->has(" 503 "));
    REQUIRE(bad->has("Retry-After: 298.0"));
    REQUIRE(bad->has("not_run"));
    REQUIRE(
        fixture.logged("outcome=refused status=503 reason=quarantined_prompt"));
    REQUIRE(waiting("1"));
    REQUIRE_FALSE(sound->has("HTTP/1.1"));
}

// Metrics --------------------------------------------------------------------

// Operators see a quarantine, its refusals and its end.
TEST_CASE("a quarantine is counted and ends", "[quarantine]")
{
    quarantine_fixture fixture;
    fixture.start_stopped();
    auto const shows = [&](std::string const& text)
    {
        return fixture.subject->metrics().find("dotterellock_" + text + "\n") !=
               std::string::npos;
    };
    REQUIRE(shows("quarantined_prompt_parts 0"));
    fixture.crash_three("r1", "bad:1,own:1");
    auto const refused = fixture.send("r2", "bad:1,own:1");
    REQUIRE(fixture.run_until([&] { return refused->has("\r\n\r\n"); }));
    REQUIRE(refused->has("Retry-After: 300\r\n"));
    REQUIRE(shows("prompt_incidents_total 3"));
    REQUIRE(shows("prompt_refusals_total 2"));
    REQUIRE(shows("quarantined_prompt_parts 1"));
    REQUIRE(fixture.count("prompt_quarantined part=") == 1);
    fixture.clock.offset += std::chrono::seconds(301);
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("prompt_quarantine_ended part="); }));
    REQUIRE(shows("quarantined_prompt_parts 0"));
    fixture.serve("r3", "bad:1,own:1");
}
