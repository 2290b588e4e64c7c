// Index: questions; answers.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "relay/placement_query_codec.hpp"

using namespace dotterellock;
using nlohmann::json;
using std::chrono::milliseconds;

// Questions -----------------------------------------------------------------

// Guards against a question that is read differently from a request.
TEST_CASE("a question is read from the target", "[placement]")
{
    auto const parsed = parse_placement_query(
        "/where?host=Api.Example&path=%2Fllm%2Fx%3Fa&organisation=acme%20ltd"
        "&prompt_tokens=8000&output_tokens=650&last_part=p%2C1"
        "&shared_parts=a,b&deadline_ms=9000&service=s");
    REQUIRE(std::holds_alternative<placement_query>(parsed));
    auto const& q = std::get<placement_query>(parsed);
    REQUIRE(q.host == "api.example");
    REQUIRE(q.path == "/llm/x");
    REQUIRE(q.organisation.value() == "acme ltd");
    REQUIRE(q.prompt_tokens == 8000);
    REQUIRE(q.output_tokens == 650);
    REQUIRE(q.last_prompt_part == "p,1");
    REQUIRE(q.shared_parts == std::vector<std::string>{"a", "b"});
    REQUIRE(q.deadline == milliseconds(9000));
    REQUIRE(q.service == "s");
    REQUIRE(std::holds_alternative<placement_query>(
        parse_placement_query("/where?route=llm")));
}

// Guards against a malformed parameter that is taken for its default, an error
// that does not name the parameter, and an API key that is accepted or repeated
// in an answer.
TEST_CASE("malformed parameters are named", "[placement]")
{
    struct row
    {
        std::string query;
        std::string parameter;
    };
    auto const r = GENERATE(values<row>({
        {"", "host"},
        {"?", "host"},
        {"?host=h", "path"},
        {"?path=/x", "host"},
        {"?route=r&host=h", "host"},
        {"?route=r&path=/x", "path"},
        {"?route=", "route"},
        {"?route", "route"},
        {"?route=r&route=r", "route"},
        {"?route=%0a", "route"},
        {"?route=%zz", "route"},
        {"?route=%4", "route"},
        {"?route=" + std::string(201, 'x'), "route"},
        {"?host=h&path=x", "path"},
        {"?host=h&path=/" + std::string(2000, 'x'), "path"},
        {"?route=r&prompt_tokens=", "prompt_tokens"},
        {"?route=r&prompt_tokens=-1", "prompt_tokens"},
        {"?route=r&prompt_tokens=8e3", "prompt_tokens"},
        {"?route=r&prompt_tokens=1000000001", "prompt_tokens"},
        {"?route=r&output_tokens=99999999999999999999", "output_tokens"},
        {"?route=r&deadline_ms=86400001", "deadline_ms"},
        {"?route=r&shared_parts=a,,b", "shared_parts"},
        {"?route=r&organisation=%7f", "organisation"},
        {"?route=r&api_key=KEY-12345", "api_key"},
        {"?route=r&key=KEY-12345", "key"},
        {"?route=r&=x", ""},
    }));
    INFO(r.query);
    auto const parsed = parse_placement_query("/where" + r.query);
    REQUIRE(std::holds_alternative<query_fault>(parsed));
    auto const& fault = std::get<query_fault>(parsed);
    REQUIRE(fault.parameter == r.parameter);
    REQUIRE(!fault.detail.empty());
    auto const text = format_query_fault(fault);
    REQUIRE(json::parse(text).at("parameter") == r.parameter);
    REQUIRE(text.find("KEY-12345") == std::string::npos);
}

// Guards against an unbounded list of parts.
TEST_CASE("a question has a bounded number of parts", "[placement]")
{
    std::string parts = "p";
    for (std::size_t i = 1; i < max_query_parts; ++i)
        parts += ",p";
    REQUIRE(std::holds_alternative<placement_query>(
        parse_placement_query("/where?route=r&shared_parts=" + parts)));
    REQUIRE(std::holds_alternative<query_fault>(
        parse_placement_query("/where?route=r&shared_parts=" + parts + ",p")));
}

// Answers -------------------------------------------------------------------

// Guards against an answer beyond its bound, whatever bytes the names have. A
// control character takes six bytes in JSON.
TEST_CASE("an answer is bounded", "[placement]")
{
    auto const name = GENERATE(
        std::string("e"), std::string(200, 'x'), std::string(5000, '\x01'),
        std::string(5000, '\xff'));
    placement_explanation e;
    e.outcome = placement_outcome::placed;
    e.route = name;
    e.service = service_name(name);
    e.organisation = organisation_id(name);
    e.targets.assign(
        placement_explanation::max_targets, {service_name(name), 1});
    e.choices.assign(placement_explanation::max_choices, endpoint_id(name));
    e.cache.endpoint = endpoint_id(name);
    explained_candidate c;
    c.endpoint = endpoint_id(name);
    c.zone = zone_id(name);
    c.address = name;
    c.latency = std::chrono::microseconds(1);
    e.candidates.assign(placement_explanation::max_candidates, c);
    e.candidates_left_out = 568;
    auto const text = format_explanation(e);
    REQUIRE(text.size() <= max_explanation_bytes);
    auto const parsed = json::parse(text);
    auto const listed = parsed.at("candidates").size();
    REQUIRE(
        listed + parsed.at("candidates_left_out").get<std::size_t>() == 600);
    if (name.size() == 1)
        REQUIRE(listed == placement_explanation::max_candidates);
}
