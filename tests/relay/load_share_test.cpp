#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <dotterellock/error.hpp>

#include "relay/load_share_codec.hpp"

using namespace dotterellock;

namespace
{

load_share make_load_share(std::size_t endpoint_count)
{
    load_share share;
    share.gateway = host_id("front-1");
    share.incarnation = 7;
    share.sequence = 9;
    for (std::size_t i = 0; i < endpoint_count; ++i)
        share.loads.push_back(
            {endpoint_id("i-" + std::to_string(i)), {1, 8650, 8000}});
    if (endpoint_count > 0)
        share.loads[0].pace = std::chrono::microseconds(14250);
    share.failed = {endpoint_id("i-1")};
    share.zone = zone_id("a1");
    endpoint_report report;
    report.running = 11;
    report.waiting = 2;
    report.used_tokens = 70000;
    share.reports = {
        {endpoint_id("i-2"), report, std::chrono::milliseconds(350)}};
    return share;
}

} // namespace

// Guards against a limit, or the end of one, that other gateways read
// otherwise.
TEST_CASE("request limits round trip through a load share", "[peers][limits]")
{
    load_share share;
    share.gateway = host_id("front-1");
    share.limits = {
        {endpoint_id("e1"), 1.7, std::chrono::milliseconds(40)},
        {endpoint_id("e2"), std::nullopt, std::chrono::milliseconds(0)}};
    auto const got = decode_load_share(encode_load_share(share)).limits;
    REQUIRE(got.size() == 2);
    REQUIRE(got[0].endpoint == endpoint_id("e1"));
    REQUIRE(got[0].per_second == 1.7);
    REQUIRE(got[0].age == std::chrono::milliseconds(40));
    REQUIRE_FALSE(got[1].per_second);
}

// Guards against a gateway that does not learn that others are ahead.
TEST_CASE("a revision round trips through a load share", "[share][tables]")
{
    auto sent = make_load_share(GENERATE(0, 3, 200));
    sent.configuration_revision = 1ull << 52;
    sent.link_mbps = 200;
    auto const got = decode_load_share(encode_load_share(sent));
    REQUIRE(got.configuration_revision == 1ull << 52);
    REQUIRE(got.link_mbps == 200);
    REQUIRE(got.limits.empty());
}

TEST_CASE("load share round trip through its encoding", "[share]")
{
    auto const share = decode_load_share(encode_load_share(make_load_share(3)));
    REQUIRE(share.gateway.value() == "front-1");
    REQUIRE(share.incarnation == 7);
    REQUIRE(share.sequence == 9);
    REQUIRE(share.loads.size() == 3);
    REQUIRE(share.loads[2].load.memory_tokens == 8650);
    REQUIRE(share.loads[0].pace == std::chrono::microseconds(14250));
    REQUIRE(share.loads[2].pace == std::chrono::microseconds(0));
    REQUIRE(share.failed.at(0).value() == "i-1");
    REQUIRE(share.zone.value() == "a1");
    auto const& shared = share.reports.at(0);
    REQUIRE(shared.endpoint.value() == "i-2");
    REQUIRE(shared.report.running == 11);
    REQUIRE(shared.report.waiting == 2);
    REQUIRE(shared.report.used_tokens == 70000);
    REQUIRE(shared.age == std::chrono::milliseconds(350));
}

// Gateways of an earlier build run beside this one during an upgrade.
TEST_CASE("a load share of an earlier build is decoded", "[share]")
{
    // [1, "g", 5, 6, [["e", 1, 2, 3]], ["f"]]
    std::string const bytes = "\x96\x01\xa1g\x05\x06\x91\x94\xa1"
                              "e\x01\x02\x03\x91\xa1"
                              "f";
    auto const share = decode_load_share(bytes);
    REQUIRE(share.gateway.value() == "g");
    REQUIRE(share.loads.at(0).load.memory_tokens == 2);
    REQUIRE(share.failed.at(0).value() == "f");
    REQUIRE(share.zone.empty());
    REQUIRE(share.reports.empty());
}

TEST_CASE("oversized load share is truncated to one datagram", "[share]")
{
    auto const bytes = encode_load_share(make_load_share(1000));
    REQUIRE(bytes.size() <= max_load_share_bytes);
    REQUIRE(decode_load_share(bytes).loads.size() > 20);
}

TEST_CASE(
    "decoding malformed datagrams throws only dotterellock::error",
    "[share][fuzz]")
{
    REQUIRE(rc::check(
        "damaged datagrams",
        [](std::string const& junk, std::size_t at)
        {
            auto bytes = encode_load_share(make_load_share(2));
            at %= bytes.size();
            bytes.replace(at, std::min(junk.size(), bytes.size() - at), junk);
            for (auto const& text : {bytes, junk})
            {
                try
                {
                    decode_load_share(text);
                }
                catch (error const&)
                {
                    // the only exception type allowed
                }
            }
        }));
}
