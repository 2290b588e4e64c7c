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

constexpr char const* experiment_text = R"(
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

// Guards against plans that differ for the same seed, and against arrivals
// outside the time range of their class.
TEST_CASE("a plan is reproducible and respects the class time ranges")
{
    auto const e = load::parse_experiment(experiment_text, "e.yaml");
    auto const plan = load::make_plan(e);
    auto const repeated = load::make_plan(e);
    REQUIRE(plan.size() == repeated.size());
    std::size_t steady_arrivals = 0;
    std::size_t flood_arrivals = 0;
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        REQUIRE(plan[i].prompt == repeated[i].prompt);
        REQUIRE(
            plan[i].prompt.size() ==
            e.classes[plan[i].class_index].prompt_bytes);
        if (plan[i].class_index == 0)
        {
            ++steady_arrivals;
            continue;
        }
        ++flood_arrivals;
        REQUIRE(plan[i].at >= load::milliseconds(4000));
        REQUIRE(plan[i].at < load::milliseconds(6000));
        REQUIRE(plan[i].output_tokens >= 20);
        REQUIRE(plan[i].output_tokens <= 100);
    }
    REQUIRE(steady_arrivals > 100);
    REQUIRE(flood_arrivals > 40);
}

// Guards against invalid experiment files that are accepted without an error.
TEST_CASE("errors in an experiment file name the key")
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
TEST_CASE("percentiles are exact samples by nearest rank")
{
    load::sample_set s;
    for (int i = 100; i >= 1; --i)
        s.add(i);
    auto const [quantile, value] = GENERATE(table<double, double>(
        {{0.0, 1}, {0.5, 50}, {0.95, 95}, {0.99, 99}, {1.0, 100}}));
    REQUIRE(s.percentile(quantile) == value);
}

// Guards against a parser whose result depends on how the input is split.
TEST_CASE("server-sent events parse the same for any chunk size")
{
    std::string const text =
        ": keep-alive\n\nid: 1\ndata: a\r\n\r\ndata: b\ndata: c\n\nid:2\n\n";
    auto const chunk = GENERATE(1u, 2u, 3u, 7u, 1000u);
    sse_parser parser;
    std::vector<sse_event> events;
    for (std::size_t i = 0; i < text.size(); i += chunk)
    {
        for (auto const& e : parser.feed(text.substr(i, chunk)))
            events.push_back(e);
    }
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].id == "1");
    REQUIRE(events[0].data == "a");
    REQUIRE(events[1].data == "b\nc");
}

// Guards against unbounded buffering of an event that never ends.
TEST_CASE("an event above the size limit is rejected")
{
    sse_parser parser;
    std::string const chunk(sse_parser::max_event_bytes / 2 + 1, 'x');
    parser.feed(chunk);
    REQUIRE_THROWS_AS(parser.feed(chunk), error);
}

// Guards against stand-in answers that stay the same when version, prompt or
// token index change, so that a wrong token would pass the comparison.
TEST_CASE("expected answers differ by version, prompt and index")
{
    using standins::expected_answer;
    expected_answer const a("1", "p");
    REQUIRE(a.text(3) == a.token(0) + a.token(1) + a.token(2));
    REQUIRE(a.token(0) != a.token(1));
    REQUIRE(a.text(20) != expected_answer("2", "p").text(20));
    REQUIRE(a.text(20) != expected_answer("1", "q").text(20));
}
