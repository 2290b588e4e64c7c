// Questions about placements, asked of a real gateway on loopback.
#include <sstream>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "ctl/placement_command.hpp"
#include "relay/placement_query_codec.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using nlohmann::json;

namespace
{

struct placement_fixture : relay_fixture
{
    struct page
    {
        unsigned status = 0;
        std::string body;
    };

    page get(std::string const& target, std::string const& address)
    {
        auto const c = connect(
            address, "GET " + target +
                         " HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
        REQUIRE(run_until([&] { return c->closed; }));
        page p;
        p.status = unsigned(std::stoul(c->received.substr(9, 3)));
        p.body = c->received.substr(c->received.find("\r\n\r\n") + 4);
        return p;
    }

    page get(std::string const& target)
    {
        return get(target, settings.status_listen);
    }

    json ask(std::string const& query)
    {
        auto const p = get("/where?" + query);
        INFO(p.body);
        REQUIRE(p.status == 200);
        REQUIRE(p.body.size() <= max_explanation_bytes);
        return json::parse(p.body);
    }

    void start_ready()
    {
        start();
        REQUIRE(run_until([&] { return subject->ready(); }));
    }

    std::size_t endpoint_bytes() const
    {
        std::size_t n = 0;
        for (auto const& e : endpoints)
        {
            n += e->connections.size();
            for (auto const& c : e->connections)
                n += c->received.size();
        }
        return n;
    }

    std::string const prompt =
        "route=llm&organisation=acme&prompt_tokens=8000&output_tokens=650"
        "&last_part=p";
};

} // namespace

// Guards against an explanation that differs from the placement that follows.
TEST_CASE("a request is placed as explained", "[relay][placement]")
{
    placement_fixture fixture;
    fixture.start_ready();
    for (int i = 1; i <= 3; ++i)
    {
        auto const before =
            fixture.ask("host=h&path=/llm/x&organisation=acme"
                        "&prompt_tokens=8000&output_tokens=650&last_part=p");
        REQUIRE(before.at("outcome") == "placed");
        REQUIRE(before.at("choices").size() == std::size_t(4 - i));
        auto const id = "r" + std::to_string(i);
        auto const caller = fixture.connect_caller(fixture.request(
            "/llm/x", id, "Prompt-Prefix: p\r\nToken-Counts: 8000,650\r\n"));
        REQUIRE(fixture.run_until(
            [&] { return fixture.logged("dispatch request=" + id); }));
        REQUIRE(fixture.logged(
            "dispatch request=" + id + " service=llm endpoint=" +
            before.at("choices").at(0).get<std::string>()));
        fixture.clock.offset += milliseconds(1000); // of the rate limit
        if (i < 3)
            continue;
        // Each endpoint processes a prompt now.
        auto const after = fixture.ask(fixture.prompt);
        REQUIRE(after.at("outcome") == "queued");
        REQUIRE(after.at("counts").at("prefill") == 3);
    }
}

// Guards against a question that is counted as a request, is logged, reaches an
// endpoint, enters the queue or changes a later placement.
TEST_CASE("a question changes nothing", "[relay][placement]")
{
    placement_fixture fixture;
    fixture.settings.first_start = GENERATE(true, false);
    fixture.start_ready();
    fixture.clock.stop();
    fixture.settle();
    auto const lines = fixture.log.lines;
    auto const bytes = fixture.endpoint_bytes();
    auto const draws = sequential_random(fixture.random).next();
    auto const metrics = fixture.get("/metrics").body;
    std::optional<std::string> first;
    for (int i = 0; i < 20; ++i)
    {
        auto const p = fixture.get("/where?" + fixture.prompt);
        REQUIRE(p.status == (i < 5 ? 200u : 429u));
        if (i >= 5)
            continue;
        REQUIRE(first.value_or(p.body) == p.body);
        first = p.body;
    }
    fixture.settle();
    REQUIRE(fixture.get("/metrics").body == metrics);
    REQUIRE(fixture.log.lines == lines);
    REQUIRE(fixture.endpoint_bytes() == bytes);
    REQUIRE(sequential_random(fixture.random).next() == draws);
    REQUIRE(
        json::parse(*first).at("cache").at("search") ==
        (fixture.settings.first_start ? "none" : "would_ask"));
}

// Guards against a command and a gateway that do not understand each other.
TEST_CASE("where asks a gateway and prints its answer", "[relay][placement]")
{
    placement_fixture fixture;
    fixture.start_ready();
    counter_registry counters;
    curl_executor curl(counters);
    http_status_reader reader(
        "http://" + fixture.settings.status_listen, curl,
        [&](std::function<void()> f) { asio::post(fixture.io, std::move(f)); });
    std::ostringstream out;
    std::ostringstream err;
    auto const where = [&](std::vector<std::string> const& options)
    {
        return run_gateway_command(
            parse_ctl_options(options), reader,
            [&](std::function<bool()> const& done)
            { REQUIRE(fixture.run_until(done)); },
            out, err);
    };
    REQUIRE(
        where(
            {"where", "--host", "h", "--path", "/llm/x", "--organisation",
             "acme", "--prompt-tokens", "8000", "--last-part", "p"}) ==
        ctl_exit::ok);
    INFO(out.str());
    REQUIRE(out.str().find("placed at m1; further attempts: m") == 0);
    REQUIRE(out.str().find("3 listed, 0 left out; 3 can") != std::string::npos);
    REQUIRE(
        where(
            {"where", "--route", "llm", "--organisation", "acme",
             "--prompt-tokens", "many"}) == ctl_exit::usage);
    REQUIRE(err.str().find("prompt_tokens is no whole number") == 0);
}

// Guards against questions that take the processor from requests.
TEST_CASE("a gateway answers five questions a second", "[relay][placement]")
{
    placement_fixture fixture;
    fixture.start_ready();
    fixture.clock.stop();
    for (int i = 0; i < 5; ++i)
        REQUIRE(
            fixture.get("/where?route=llm&organisation=acme").status == 200);
    REQUIRE(fixture.get("/where?route=llm&organisation=acme").status == 429);
    REQUIRE(fixture.get("/where?").status == 429); // malformed ones count
    fixture.clock.offset += milliseconds(1000);
    REQUIRE(fixture.get("/where?route=llm&organisation=acme").status == 200);
}

// Guards against malformed questions that are answered, and errors without the
// parameter; and against questions at the address for metrics alone.
TEST_CASE("faults of a question are answered with 400", "[relay][placement]")
{
    placement_fixture fixture;
    fixture.settings.metrics_listen =
        "127.0.0.1:" + std::to_string(fixture.free_port());
    fixture.start_ready();
    auto const fault = [&](std::string const& query)
    {
        fixture.clock.offset += milliseconds(1000); // of the rate limit
        auto const p = fixture.get("/where?" + query);
        REQUIRE(p.status == 400);
        return json::parse(p.body).at("parameter").get<std::string>();
    };
    REQUIRE(fault("route=nosuch") == "route");
    REQUIRE(fault("route=llm") == "organisation");
    REQUIRE(fault("route=llm&organisation=acme&service=app") == "service");
    REQUIRE(
        fault("route=llm&organisation=acme&prompt_tokens=x") ==
        "prompt_tokens");
    REQUIRE(fault("route=llm&organisation=acme&key=KEY") == "key");
    REQUIRE(
        fixture.get("/where?route=open", fixture.settings.metrics_listen)
            .status == 404);
    auto const deleted = fixture.connect(
        fixture.settings.status_listen,
        "DELETE /where?route=open HTTP/1.1\r\nHost: s\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return deleted->has(" 405 "); }));
}

// Guards against an explanation that a request contradicts: each is asked for
// and then sent.
TEST_CASE("a refusal is explained as it is answered", "[relay][placement]")
{
    placement_fixture fixture;
    fixture.start_ready();
    auto const r = GENERATE(
        table<std::string, std::string, std::string, unsigned, std::string>({
            {"/other/x", "acme", "KEY", 404, "no_route"},
            {"/llm/x", "who", "WRONG", 401, "unknown_key"},
        }));
    auto const& [path, organisation, key, status, reason] = r;
    auto const e =
        fixture.ask("host=h&path=" + path + "&organisation=" + organisation);
    REQUIRE(e.at("outcome") == "refused");
    REQUIRE(e.at("refusal").at("status") == status);
    REQUIRE(e.at("refusal").at("reason") == reason);
    auto const caller = fixture.connect_caller(
        "GET " + path +
        " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nAuthorization: Bearer " +
        key + "\r\n\r\n");
    REQUIRE(fixture.run_until(
        [&] { return caller->has(" " + std::to_string(status) + " "); }));
    REQUIRE(caller->has(reason));
}
