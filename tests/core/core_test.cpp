#include <catch2/catch.hpp>

#include <dotterellock/error.hpp>
#include <dotterellock/messages.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/types.hpp>

using namespace dotterellock;

// Guards against a rank name that parses as another rank and against a
// misspelt name that is silently accepted.
TEST_CASE("rank names round-trip and unknown names are rejected")
{
    auto const r = GENERATE(rank::urgent, rank::standard, rank::background);
    REQUIRE(rank_from_string(to_string(r)) == r);
    REQUIRE_THROWS_AS(rank_from_string("high"), error);
}

// Guards against a code missing from the table, which would be reported as
// internal_error.
TEST_CASE("error codes have a stable name and an HTTP status")
{
    auto const [code, name, status] =
        GENERATE(table<error_code, std::string, int>({
            {error_code::invalid_argument, "invalid_argument", 400},
            {error_code::payload_too_large, "payload_too_large", 413},
            {error_code::overloaded, "overloaded", 429},
            {error_code::not_run, "not_run", 503},
            {error_code::outcome_unknown, "outcome_unknown", 504},
            {error_code::internal_error, "internal_error", 500},
        }));
    REQUIRE(to_string(code) == name);
    REQUIRE(http_status(code) == status);
}

// Guards against an error text that omits the failed step or the peer.
TEST_CASE("the error text contains code, step, peer and detail")
{
    error const e(
        error_code::connection_lost, "dispatch", "agent/e1", "reset by peer");
    REQUIRE(
        std::string(e.what()) ==
        "connection_lost at step dispatch with agent/e1: reset by peer");
}

// Guards against type names that shift when a message type is inserted.
TEST_CASE("messages report their type name and request id")
{
    REQUIRE(std::string(kind_of(message{ping{}})) == "ping");
    REQUIRE(
        std::string(kind_of(message{configuration_push{}})) ==
        "configuration_push");
    REQUIRE(request_of(message{ping{}}) == nullptr);

    message const m = cancel{request_id("org/r1"), 2, 1};
    REQUIRE(request_of(m) != nullptr);
    REQUIRE(request_of(m)->value() == "org/r1");
}

// Guards against a histogram whose cumulative buckets do not add up.
TEST_CASE("a histogram counts each recorded value once")
{
    counter_registry registry;
    auto& h = registry.histogram("latency_seconds");
    h.record(std::chrono::microseconds(3));
    h.record(std::chrono::hours(10));
    REQUIRE(h.count() == 2);
    REQUIRE(
        registry.prometheus_text().find(
            "latency_seconds_bucket{le=\"+Inf\"} 2") != std::string::npos);
}
