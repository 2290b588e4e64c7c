#include <catch2/catch.hpp>

#include "scheduling_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

// Guards against a dispatcher that does not bind on the fault-free path.
TEST_CASE("a request is placed at the first offer and the others withdrawn")
{
    scheduling_fixture f;
    for (unsigned i = 0; i < 3; ++i)
        f.add_agent(test_endpoint(i), 2);
    auto& router = f.add_router("router/a");
    auto const result = router.place(test_work("org/1"));
    REQUIRE(result->answers == 0);
    f.scheduler.advance(milliseconds(20));
    REQUIRE(result->answers == 1);
    REQUIRE(result->placed);
    auto const p = *result->placed;
    auto& agent = f.agent_of(p);
    REQUIRE_FALSE(
        agent.redeem(p.permit, request_id("org/1"), 1, p.incarnation));
    REQUIRE(agent.slots_in_use() == 1);
    agent.release(p.permit, 100);
    router.dispatcher.finished(request_id("org/1"), 1, true);
    for (auto const& a : f.agents)
        REQUIRE(a->idle());
}
