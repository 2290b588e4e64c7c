#include <algorithm>

#include <catch2/catch.hpp>

#include <dotterellock/error.hpp>

#include "../../src/clients/sse_parser.hpp"
#include "../../src/load/experiment.hpp"
#include "../../src/load/load_report.hpp"
#include "../../standins/expected_answer.hpp"

using namespace dotterellock;

namespace
{

constexpr char const* document = R"(
seed: 7
duration_ms: 10000
routers: ["http://127.0.0.1:1"]
model: {name: m, version: "1"}
classes:
  - name: steady
    api_key: k
    rank: urgent
    requests_per_second: 20
    prompt_bytes: 600
    shared_prefix_bytes: 512
    prefixes: 2
  - name: flood
    api_key: k
    rank: background
    requests_per_second: 50
    burst: 5
    starts_ms: 4000
    ends_ms: 6000
    output_tokens: 20
    tail_exponent: 1.5
    max_output_tokens: 100
)";

} // namespace

// Guards against a plan that differs between runs of one seed, or a flood
// outside its schedule.
TEST_CASE("a plan is reproducible and keeps to its schedule")
{
    auto const e = load::parse_experiment(document, "e.yaml");
    auto const plan = load::make_plan(e);
    auto const again = load::make_plan(e);
    REQUIRE(plan.size() == again.size());
    std::size_t steady = 0;
    std::size_t flood = 0;
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        REQUIRE(plan[i].prompt == again[i].prompt);
        REQUIRE(
            plan[i].prompt.size() ==
            e.classes[plan[i].class_index].prompt_bytes);
        if (plan[i].class_index == 0)
        {
            ++steady;
            continue;
        }
        ++flood;
        REQUIRE(plan[i].at >= load::milliseconds(4000));
        REQUIRE(plan[i].at < load::milliseconds(6000));
        REQUIRE(plan[i].output_tokens >= 20);
        REQUIRE(plan[i].output_tokens <= 100);
    }
    REQUIRE(steady > 100);
    REQUIRE(flood > 40);
}

// Guards against an experiment file whose mistakes pass unnoticed.
TEST_CASE("mistakes in an experiment name the key")
{
    auto const [text, key] = GENERATE(table<std::string, std::string>({
        {"duration_ms: -1\n", "duration_ms"},
        {"colour: red\n", "routers"},
        {"routers: [a]\nmodel: {name: m}\nclasses: []\n", "version"},
    }));
    try
    {
        load::parse_experiment(text, "e.yaml");
        FAIL("accepted");
    }
    catch (error const& e)
    {
        REQUIRE(e.code() == error_code::invalid_argument);
        REQUIRE(std::string(e.what()).find(key) != std::string::npos);
    }
}

// Guards against percentiles that interpolate or are off by one.
TEST_CASE("percentiles are samples of the set")
{
    load::sample_set s;
    for (int i = 100; i >= 1; --i)
        s.add(i);
    auto const [share, value] = GENERATE(table<double, double>(
        {{0.0, 1}, {0.5, 50}, {0.95, 95}, {0.99, 99}, {1.0, 100}}));
    REQUIRE(s.percentile(share) == value);
}

// Guards against a parser that depends on where the bytes were split.
TEST_CASE("server-sent events parse the same in pieces of any size")
{
    std::string const text =
        ": keep-alive\n\nid: 1\ndata: a\r\n\r\ndata: b\ndata: c\n\nid:2\n\n";
    auto const piece = GENERATE(1u, 2u, 3u, 7u, 1000u);
    sse_parser parser;
    std::vector<sse_event> events;
    for (std::size_t i = 0; i < text.size(); i += piece)
    {
        for (auto const& e : parser.feed(text.substr(i, piece)))
            events.push_back(e);
    }
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].id == "1");
    REQUIRE(events[0].data == "a");
    REQUIRE(events[1].data == "b\nc");
}

// Guards against a server that makes the client buffer without bound.
TEST_CASE("an endless event is refused")
{
    sse_parser parser;
    std::string const piece(sse_parser::max_event_bytes / 2 + 1, 'x');
    parser.feed(piece);
    REQUIRE_THROWS_AS(parser.feed(piece), error);
}

// Guards against answers that do not depend on version, prompt and index.
TEST_CASE("expected answers differ by version, prompt and index")
{
    using standins::expected_answer;
    expected_answer const a("1", "p");
    REQUIRE(a.text(3) == a.token(0) + a.token(1) + a.token(2));
    REQUIRE(a.token(0) != a.token(1));
    REQUIRE(a.text(20) != expected_answer("2", "p").text(20));
    REQUIRE(a.text(20) != expected_answer("1", "q").text(20));
}
