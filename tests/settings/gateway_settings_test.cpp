#include <catch2/catch.hpp>

#include <dotterellock/error.hpp>

#include "settings/gateway_settings.hpp"

using namespace dotterellock;
using std::chrono::milliseconds;

namespace
{

std::string const required =
    "host: h\navailability_zone: z\nlisten: 10.0.0.1:1\n"
    "status_listen: 10.0.0.1:2\nstore: 10.0.0.2:3\n";

} // namespace

TEST_CASE("gateway settings have defaults and accept fractions", "[settings]")
{
    auto const s = read_gateway_settings(
        required + "regions:\n  z: r\n  y: q\nshutdown_grace_s: 8.5\n"
                   "retries: {ratio: 0.5, window_s: 10}\n",
        "f");
    REQUIRE(s.regions.at("y") == "q");
    REQUIRE(s.shutdown_grace == milliseconds(8500));
    REQUIRE(s.key_withdrawal_bound == milliseconds(5000));
    REQUIRE(s.retries.ratio == 0.5);
    auto const again = read_gateway_settings(effective_text(s), "effective");
    REQUIRE(effective_text(again) == effective_text(s));
}

// Guards against an invalid setting that is accepted, or whose error does not
// name the key.
TEST_CASE("invalid gateway settings are rejected", "[settings]")
{
    struct row
    {
        std::string text;
        char const* names;
    };
    auto const r = GENERATE(values<row>(
        {{"host: h\n", "availability_zone"},
         {required + "drain_bound_ms: 5\n", "drain_bound_ms"},
         {required + "shutdown_grace_s: long\n", "shutdown_grace_s"},
         {required + "memory_mb: 0\n", "memory_mb"},
         {required + "unknown: 1\n", "unknown"},
         {required + "retries: {ratio: -1}\n", "ratio"},
         {required + "rollouts: {exposure_share: 1.5}\n", "exposure_share"},
         {required + "rollouts: {exposure_slack: -1}\n", "exposure_slack"},
         {required + "rollouts: {rollback_bound_ms: 0}\n", "rollback_bound_ms"},
         {required + "rollouts: {share: 0.1}\n", "share"}}));
    try
    {
        read_gateway_settings(r.text, "f");
        FAIL("accepted");
    }
    catch (error const& e)
    {
        REQUIRE(e.code() == error_code::invalid_argument);
        REQUIRE(e.detail().find(r.names) != std::string::npos);
    }
}

// Guards against rollouts in a deployment that has no bounds for them, and
// against bounds that are not used.
TEST_CASE("rollouts are enabled by their key", "[settings][rollout]")
{
    REQUIRE_FALSE(read_gateway_settings(required, "f").rollouts.enabled);
    REQUIRE(
        effective_text(read_gateway_settings(required, "f")).find("rollouts") ==
        std::string::npos);
    auto const s = read_gateway_settings(
        required + "rollouts: {exposure_share: 0.2, exposure_slack: 30, "
                   "rollback_bound_ms: 4000}\n",
        "f");
    REQUIRE(s.rollouts.enabled);
    REQUIRE(s.rollouts.exposure_share == 0.2);
    REQUIRE(s.rollouts.exposure_slack == 30);
    REQUIRE(s.rollouts.rollback_bound == std::chrono::milliseconds(4000));
    auto const again = read_gateway_settings(effective_text(s), "f");
    REQUIRE(again.rollouts.enabled);
    REQUIRE(effective_text(again) == effective_text(s));
}
