#include <catch2/catch.hpp>

#include <random>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "relay/crash_evidence_codec.hpp"
#include "relay/load_share_codec.hpp"
#include "relay/rollout_evidence_codec.hpp"

using namespace dotterellock;

namespace
{

using json = nlohmann::json;

constexpr std::uint64_t max_count = 0xffffffffu;

answer_counts
make_counts(std::uint64_t answers, std::uint64_t failed, std::uint64_t lost)
{
    answer_counts c;
    c.answers = answers;
    c.failed = failed;
    c.lost = lost;
    for (std::size_t i = answers % 7; i < answers % 7 + 4; ++i)
        c.latencies[i] = std::uint32_t(answers / 4);
    return c;
}

rollout_evidence make_evidence(std::size_t service, std::size_t routes)
{
    rollout_evidence e;
    e.status.service = service_name("service-" + std::to_string(service));
    e.status.to = "v" + std::to_string(service + 2);
    e.status.state = rollout_state(service % 3);
    e.status.order_revision = ~std::uint64_t(0) - service;
    e.requests_in_progress_at_old = std::uint32_t(service + 7);
    if (service % 2 == 0)
        e.elapsed = std::chrono::milliseconds(1234 + service);
    for (std::size_t i = 0; i < routes; ++i)
    {
        auto const route = "route-" + std::to_string(i);
        e.counts.current[route] = make_counts(1000 + i, 30, 2);
        e.counts.candidate[route] = make_counts(100 + i, 3, 1);
    }
    return e;
}

std::vector<rollout_evidence>
make_list(std::size_t services, std::size_t routes)
{
    std::vector<rollout_evidence> list;
    for (std::size_t i = 0; i < services; ++i)
        list.push_back(make_evidence(i, routes));
    return list;
}

void require_equal(answer_counts const& a, answer_counts const& b)
{
    REQUIRE(a.answers == b.answers);
    REQUIRE(a.failed == b.failed);
    REQUIRE(a.lost == b.lost);
    REQUIRE(a.latencies == b.latencies);
}

answer_counts sum(std::map<std::string, answer_counts> const& counts)
{
    answer_counts s;
    for (auto const& [route, c] : counts)
        s.add(c);
    return s;
}

std::string encode(std::vector<rollout_evidence> const& evidence)
{
    return encode_rollout_evidence(host_id("front-1"), evidence);
}

/// A datagram with this content in place of the evidence.
std::string datagram(json const& content)
{
    std::string bytes("\x9a\x01\xa0\x00\x00\x90\x90\xa0\x90\xc0", 10);
    json::to_msgpack(content, bytes);
    return bytes;
}

} // namespace

// Guards against values that change on their way to a peer.
TEST_CASE("rollout evidence round trips through its encoding", "[rollout]")
{
    auto const services = GENERATE(as<std::size_t>{}, 0, 1, 2, 3);
    auto const routes = GENERATE(as<std::size_t>{}, 0, 1, 5);
    auto const sent = make_list(services, routes);
    auto const bytes = encode(sent);
    REQUIRE(is_rollout_evidence(bytes));
    auto const received = decode_rollout_evidence(bytes);
    REQUIRE(received.gateway.value() == "front-1");
    REQUIRE(received.evidence.size() == services);
    for (std::size_t i = 0; i < services; ++i)
    {
        auto const& a = sent[i];
        auto const& b = received.evidence[i];
        REQUIRE(a.status.service == b.status.service);
        REQUIRE(a.status.to == b.status.to);
        REQUIRE(a.status.state == b.status.state);
        REQUIRE(a.status.order_revision == b.status.order_revision);
        REQUIRE(a.requests_in_progress_at_old == b.requests_in_progress_at_old);
        REQUIRE(b.counts.current.size() == routes);
        REQUIRE(b.counts.candidate.size() == routes);
        for (auto const& [route, c] : a.counts.current)
            require_equal(c, b.counts.current.at(route));
        for (auto const& [route, c] : a.counts.candidate)
            require_equal(c, b.counts.candidate.at(route));
    }
}

// Guards against datagrams that are fragmented, and against sums that lose the
// routes that do not fit.
TEST_CASE("evidence about many routes keeps its sums", "[rollout]")
{
    auto const services = GENERATE(as<std::size_t>{}, 1, 2, 5);
    auto const routes = GENERATE(as<std::size_t>{}, 15, 16, 17, 40, 500);
    CAPTURE(services, routes);
    auto const sent = make_list(services, routes);
    auto const bytes = encode(sent);
    REQUIRE(bytes.size() <= max_rollout_evidence_bytes);
    auto const received = decode_rollout_evidence(bytes).evidence;
    REQUIRE(received.size() == services);
    for (std::size_t i = 0; i < services; ++i)
    {
        require_equal(
            sum(sent[i].counts.current), sum(received[i].counts.current));
        require_equal(
            sum(sent[i].counts.candidate), sum(received[i].counts.candidate));
    }
}

// Guards against a datagram without the verdict of the first services, and
// against one above the limit.
TEST_CASE("services that do not fit are left out", "[rollout]")
{
    auto const services = GENERATE(as<std::size_t>{}, 30, 60, 400);
    auto sent = make_list(services, 3);
    for (auto& e : sent)
        e.status.to = std::string(100, 'v');
    auto const bytes = encode(sent);
    REQUIRE(bytes.size() <= max_rollout_evidence_bytes);
    auto const received = decode_rollout_evidence(bytes).evidence;
    REQUIRE(received.size() <= services);
    for (auto const& e : received)
        REQUIRE(e.status.to.size() == 100);
}

// Guards against names that fill a datagram, so that a verdict is not sent.
TEST_CASE("the longest names fit a datagram", "[rollout]")
{
    auto e = make_evidence(0, 30);
    e.status.service = service_name(std::string(200, 's'));
    e.status.to = std::string(200, 'v');
    auto const bytes =
        encode_rollout_evidence(host_id(std::string(255, 'h')), {e});
    REQUIRE(bytes.size() <= max_rollout_evidence_bytes);
    auto const received = decode_rollout_evidence(bytes).evidence;
    REQUIRE(received.size() == 1);
    require_equal(sum(e.counts.candidate), sum(received[0].counts.candidate));
}

// Guards against counts that wrap to small ones.
TEST_CASE("counts out of range are limited when sent", "[rollout]")
{
    auto e = make_evidence(0, 1);
    e.counts.candidate["route-0"].failed = max_count + 1;
    auto const received = decode_rollout_evidence(encode({e})).evidence.at(0);
    REQUIRE(received.counts.candidate.at("route-0").failed == max_count);
}

// Gateways of an earlier build receive the datagram beside load shares. They
// log one that they cannot decode.
TEST_CASE("an earlier build takes it for an empty share", "[rollout]")
{
    auto const bytes = encode(make_list(2, 20));
    REQUIRE_FALSE(is_crash_evidence(bytes));
    auto const share = decode_load_share(bytes);
    REQUIRE(share.gateway.empty()); // the name of no registered gateway
    REQUIRE(share.loads.empty());
    REQUIRE(share.failed.empty());
    REQUIRE(share.reports.empty());
    REQUIRE(share.zone.empty());
}

// Guards against shares and evidence that are taken for each other.
TEST_CASE("other datagrams are no rollout evidence", "[rollout]")
{
    load_share share;
    REQUIRE_FALSE(is_rollout_evidence(encode_load_share(share)));
    share.gateway = host_id("front-1");
    REQUIRE_FALSE(is_rollout_evidence(encode_load_share(share)));
    REQUIRE_THROWS_AS(decode_rollout_evidence(encode_load_share(share)), error);
    REQUIRE_FALSE(is_rollout_evidence(
        encode_crash_evidence(host_id("front-1"), crash_evidence{})));
}

// Gateways of a later build run beside this one during an upgrade.
TEST_CASE("unknown fields of later evidence are ignored", "[rollout]")
{
    auto const received = decode_rollout_evidence(datagram(
        {1,
         "g",
         {{"s",
           "v2",
           2,
           9,
           4,
           nullptr,
           {{"r", {1, 2, 3, 0}, {6, 7, 8, 22, 5, 6}, "x"}},
           "new"}},
         "new"}));
    auto const& e = received.evidence.at(0);
    REQUIRE(e.status.state == rollout_state::rolled_back);
    REQUIRE_FALSE(e.elapsed);
    REQUIRE(e.counts.current.at("r").lost == 3);
    auto const& candidate = e.counts.candidate.at("r");
    REQUIRE(candidate.answers == 6);
    REQUIRE(candidate.latencies[22] == 5);
    REQUIRE(candidate.latencies[23] == 6);
}

// Guards against a verdict that a malformed datagram brings about.
TEST_CASE("malformed rollout evidence is rejected", "[rollout]")
{
    struct row
    {
        char const* name;
        json content;
    };
    auto const none = json::array();
    auto const counts = json::array({1, 2, 3, 0});
    auto const item = [&](json service, json to, json state, json order,
                          json old, json elapsed, json routes)
    {
        return json::array(
            {1, "g",
             json::array({json::array(
                 {service, to, state, order, old, elapsed, routes})})});
    };
    auto const route = [&](json name, json current, json candidate)
    {
        return item(
            "s", "v2", 0, 9, 4, nullptr,
            json::array({json::array({name, current, candidate})}));
    };
    auto const r = GENERATE_COPY(values<row>(
        {{"no list", 1},
         {"empty", none},
         {"other version", {2, "g", none}},
         {"no gateway", {1}},
         {"gateway as number", {1, 5, none}},
         {"no services", {1, "g"}},
         {"services as number", {1, "g", 5}},
         {"service as number", {1, "g", {5}}},
         {"short service", {1, "g", {{"s", "v2", 0, 9}}}},
         {"no service name", item("", "v2", 0, 9, 4, nullptr, none)},
         {"service name as number", item(1, "v2", 0, 9, 4, nullptr, none)},
         {"no version", item("s", "", 0, 9, 4, nullptr, none)},
         {"version as number", item("s", 2, 0, 9, 4, nullptr, none)},
         {"unknown state", item("s", "v2", 3, 9, 4, nullptr, none)},
         {"negative state", item("s", "v2", -1, 9, 4, nullptr, none)},
         {"state as text", item("s", "v2", "x", 9, 4, nullptr, none)},
         {"fractional revision", item("s", "v2", 0, 9.5, 4, nullptr, none)},
         {"negative requests", item("s", "v2", 0, 9, -4, nullptr, none)},
         {"too many requests",
          item("s", "v2", 0, 9, max_count + 1, nullptr, none)},
         {"no routes", item("s", "v2", 0, 9, 4, nullptr, nullptr)},
         {"route as number",
          item("s", "v2", 0, 9, 4, nullptr, json::array({json(5)}))},
         {"route name as number", route(5, counts, counts)},
         {"no counts", route("r", nullptr, counts)},
         {"short counts", route("r", counts, {1, 2, 3})},
         {"first latency out of range", route("r", counts, {1, 2, 3, 24, 1})},
         {"latencies beyond the last", route("r", counts, {1, 2, 3, 23, 1, 1})},
         {"latency as text", route("r", counts, {1, 2, 3, 0, "x"})},
         {"elapsed as text", item("s", "v2", 0, 9, 4, "x", none)},
         {"negative elapsed", item("s", "v2", 0, 9, 4, -1, none)},
         {"negative count", route("r", counts, {1, -2, 3, 0})},
         {"count out of range", route("r", {1, 2, max_count + 1, 0}, counts)},
         {"count as text", route("r", {"1", 2, 3, 0}, counts)}}));
    CAPTURE(r.name);
    REQUIRE_THROWS_AS(decode_rollout_evidence(datagram(r.content)), error);
}

TEST_CASE("cut or extended rollout evidence is rejected", "[rollout]")
{
    auto const bytes = encode(make_list(2, 2));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        CAPTURE(size);
        REQUIRE_THROWS_AS(
            decode_rollout_evidence(bytes.substr(0, size)), error);
    }
    REQUIRE_THROWS_AS(decode_rollout_evidence(bytes + '\0'), error);
}

TEST_CASE(
    "decoding damaged rollout evidence throws only dotterellock::error",
    "[rollout][fuzz]")
{
    constexpr unsigned seed = 20261206;
    constexpr int rounds = 20000;
    std::mt19937 random(seed);
    auto const below = [&random](std::size_t limit)
    { return std::size_t(random() % limit); };
    auto const valid = encode(make_list(2, 3));
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
            decode_rollout_evidence(bytes);
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
