#include <catch2/catch.hpp>

#include "recovery_world.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

// Guards against a stream that loses, repeats or delays tokens without any
// fault, and against permits that are never given back.
TEST_CASE("A generation without faults is delivered completely", "[recovery]")
{
    recovery_world world;
    caller& c = world.call("c1", "r1");
    REQUIRE(world.run_until_done(milliseconds(5000)));
    CHECK(world.checker.report_text() == "");
    CHECK(world.checker.received(c.request.request).size() == 60);
    CHECK(c.reconnects == 0);
    CHECK(c.longest_gap <= milliseconds(40));
    CHECK(world.agent("a1").permits.held.empty());
}
