#include <catch2/catch.hpp>

#include <random>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "relay/crash_evidence_codec.hpp"
#include "relay/load_share_codec.hpp"

using namespace dotterellock;
using std::chrono::milliseconds;

namespace
{

using json = nlohmann::json;

constexpr std::uint64_t max_key = ~std::uint64_t(0);

crash_evidence make_evidence(std::size_t part_count)
{
    crash_evidence evidence;
    for (std::size_t i = 0; i < part_count; ++i)
    {
        crash_evidence::part part;
        part.key = max_key - i;
        part.incidents = {
            {1, milliseconds(0)},
            {max_key, milliseconds(1500)},
            {max_key - 1, milliseconds(59000)}};
        if (i % 2 == 0)
            part.proven_age = milliseconds(70000);
        if (i % 3 == 0)
            part.quarantined_for = milliseconds(3600000);
        part.quarantines = std::uint32_t(i);
        if (i % 2 == 1)
            part.position = std::uint8_t(i);
        evidence.parts.push_back(part);
    }
    return evidence;
}

void require_equal(crash_evidence::part const& a, crash_evidence::part const& b)
{
    REQUIRE(a.key == b.key);
    REQUIRE(a.incidents.size() == b.incidents.size());
    for (std::size_t i = 0; i < a.incidents.size(); ++i)
    {
        REQUIRE(a.incidents[i].endpoint == b.incidents[i].endpoint);
        REQUIRE(a.incidents[i].age == b.incidents[i].age);
    }
    REQUIRE(a.proven_age == b.proven_age);
    REQUIRE(a.quarantined_for == b.quarantined_for);
    REQUIRE(a.quarantines == b.quarantines);
    REQUIRE(a.position == b.position);
}

std::string encode(crash_evidence const& evidence)
{
    return encode_crash_evidence(host_id("front-1"), evidence);
}

/// A datagram with this content in place of the evidence.
std::string datagram(json const& content)
{
    std::string bytes("\x99\x01\xa0\x00\x00\x90\x90\xa0\x90", 9);
    json::to_msgpack(content, bytes);
    return bytes;
}

} // namespace

// Guards against values that change on their way to a peer.
TEST_CASE("crash evidence round trip through its encoding", "[evidence]")
{
    auto const count = GENERATE(as<std::size_t>{}, 0, 1, 2, 7);
    auto const sent = make_evidence(count);
    auto const bytes = encode(sent);
    REQUIRE(is_crash_evidence(bytes));
    auto const received = decode_crash_evidence(bytes);
    REQUIRE(received.gateway.value() == "front-1");
    REQUIRE(received.evidence.parts.size() == count);
    for (std::size_t i = 0; i < count; ++i)
        require_equal(sent.parts[i], received.evidence.parts[i]);
}

// Guards against times that wrap to small ones.
TEST_CASE("times out of range are limited when sent", "[evidence]")
{
    crash_evidence evidence = make_evidence(1);
    auto& part = evidence.parts[0];
    part.incidents = {{1, milliseconds(-5)}};
    part.quarantined_for = std::chrono::hours(24 * 365);
    auto const received = decode_crash_evidence(encode(evidence));
    auto const& got = received.evidence.parts.at(0);
    REQUIRE(got.incidents.at(0).age == milliseconds(0));
    REQUIRE(got.quarantined_for == milliseconds(0xffffffffu));
}

// Guards against datagrams that are fragmented, or lose the parts that matter
// most.
TEST_CASE("too much evidence is cut to one datagram", "[evidence]")
{
    auto const count = GENERATE(as<std::size_t>{}, 16, 24, 256, 4000);
    CAPTURE(count);
    auto const sent = make_evidence(count);
    auto const bytes = encode(sent);
    REQUIRE(bytes.size() <= max_crash_evidence_bytes);
    auto const received = decode_crash_evidence(bytes).evidence;
    REQUIRE(received.parts.size() >= std::min<std::size_t>(count, 20));
    for (std::size_t i = 0; i < received.parts.size(); ++i)
        require_equal(sent.parts[i], received.parts[i]);
}

// Gateways of an earlier build receive the datagram beside load shares. They
// log one that they cannot decode, up to 128 times a second.
TEST_CASE("an earlier build takes evidence for an empty share", "[evidence]")
{
    auto const count = GENERATE(as<std::size_t>{}, 0, 3, 256);
    auto const share = decode_load_share(encode(make_evidence(count)));
    REQUIRE(share.gateway.empty()); // the name of no registered gateway
    REQUIRE(share.loads.empty());
    REQUIRE(share.failed.empty());
    REQUIRE(share.reports.empty());
    REQUIRE(share.zone.empty());
}

// Guards against shares that are no longer taken for such.
TEST_CASE("a load share is no crash evidence", "[evidence]")
{
    load_share share;
    REQUIRE_FALSE(is_crash_evidence(encode_load_share(share)));
    share.gateway = host_id("front-1");
    REQUIRE_FALSE(is_crash_evidence(encode_load_share(share)));
    REQUIRE_THROWS_AS(decode_crash_evidence(encode_load_share(share)), error);
}

// Gateways of a later build run beside this one during an upgrade.
TEST_CASE("unknown fields of a later build are ignored", "[evidence]")
{
    auto const received = decode_crash_evidence(datagram(
        {1, "g", {{7, {{8, 9, "x"}}, nullptr, 10, 2, {{"new", 1}}}}, "new"}));
    REQUIRE(received.gateway.value() == "g");
    auto const& part = received.evidence.parts.at(0);
    REQUIRE(part.key == 7);
    REQUIRE(part.incidents.at(0).endpoint == 8);
    REQUIRE(part.incidents.at(0).age == milliseconds(9));
    REQUIRE_FALSE(part.proven_age);
    REQUIRE(part.quarantined_for == milliseconds(10));
    REQUIRE(part.quarantines == 2);
}

// Guards against a quarantine that a malformed datagram starts.
TEST_CASE("malformed crash evidence is rejected", "[evidence]")
{
    std::uint64_t const too_long = 0x100000000u;
    struct row
    {
        char const* name;
        json content;
    };
    auto const none = json::array();
    auto const r = GENERATE_COPY(values<row>(
        {{"no list", 1},
         {"empty", none},
         {"map", {{"parts", none}}},
         {"other version", {2, "g", none}},
         {"version as text", {"1", "g", none}},
         {"no gateway", {1}},
         {"gateway as number", {1, 5, none}},
         {"no parts", {1, "g"}},
         {"parts as number", {1, "g", 5}},
         {"parts as text", {1, "g", "x"}},
         {"parts as map", {1, "g", json::object({{"a", 1}})}},
         {"part as number", {1, "g", {5}}},
         {"short part", {1, "g", {{7, none, nullptr, nullptr}}}},
         {"negative key", {1, "g", {{-7, none, nullptr, nullptr, 0}}}},
         {"fractional key", {1, "g", {{7.5, none, nullptr, nullptr, 0}}}},
         {"no key", {1, "g", {{nullptr, none, nullptr, nullptr, 0}}}},
         {"no incidents", {1, "g", {{7, nullptr, nullptr, nullptr, 0}}}},
         {"incident as number", {1, "g", {{7, {8}, nullptr, nullptr, 0}}}},
         {"incident without age",
          {1,
           "g",
           {{7, json::array({json::array({8})}), nullptr, nullptr, 0}}}},
         {"negative age",
          {1, "g", {{7, {{8, -1}, {8, 1}}, nullptr, nullptr, 0}}}},
         {"age out of range",
          {1, "g", {{7, {{8, too_long}, {8, 1}}, nullptr, nullptr, 0}}}},
         {"proof as text", {1, "g", {{7, none, "x", nullptr, 0}}}},
         {"rest out of range", {1, "g", {{7, none, nullptr, too_long, 0}}}},
         {"rest as flag", {1, "g", {{7, none, nullptr, true, 0}}}},
         {"negative count", {1, "g", {{7, none, nullptr, nullptr, -1}}}},
         {"no count", {1, "g", {{7, none, nullptr, nullptr, nullptr}}}}}));
    CAPTURE(r.name);
    REQUIRE_THROWS_AS(decode_crash_evidence(datagram(r.content)), error);
}

TEST_CASE("cut or extended crash evidence is rejected", "[evidence]")
{
    auto const bytes = encode(make_evidence(3));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        CAPTURE(size);
        REQUIRE_THROWS_AS(decode_crash_evidence(bytes.substr(0, size)), error);
    }
    REQUIRE_THROWS_AS(decode_crash_evidence(bytes + '\0'), error);
}

TEST_CASE(
    "decoding damaged evidence throws only dotterellock::error",
    "[evidence][fuzz]")
{
    constexpr unsigned seed = 20261205;
    constexpr int rounds = 20000;
    std::mt19937 random(seed);
    auto const below = [&random](std::size_t limit)
    { return std::size_t(random() % limit); };
    auto const valid = encode(make_evidence(4));
    for (int round = 0; round < rounds; ++round)
    {
        auto bytes = valid;
        for (auto changes = 1 + below(4); changes > 0; --changes)
            bytes[below(bytes.size())] = char(random());
        if (below(4) == 0)
            bytes.resize(below(bytes.size()));
        if (below(4) == 0)
            bytes.insert(below(bytes.size() + 1), below(9), char(random()));
        try
        {
            decode_crash_evidence(bytes);
        }
        catch (error const&)
        {
            // the only exception type allowed
        }
        catch (...)
        {
            CAPTURE(round);
            FAIL("another exception");
        }
    }
}
