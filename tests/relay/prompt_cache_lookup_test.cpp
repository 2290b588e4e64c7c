#include <catch2/catch.hpp>

#include <algorithm>

#include "gateway/gateway_fixture.hpp"
#include "gateway/silent_listeners.hpp"
#include "manual_scheduler.hpp"
#include "platform/platform_protocol.hpp"
#include "relay/prompt_cache_lookup.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// A gateway's lookups in a fleet of 148 endpoints in six zones.
struct lookup_fixture
{
    lookup_fixture()
    {
        scheduler.advance(std::chrono::hours(1));
        for (int i = 0; i < 148; ++i)
        {
            auto e = endpoint("e" + std::to_string(i), zones[i % 6]);
            e.address = "10.0.0.1:" + std::to_string(1000 + i);
            table.put(e, scheduler.now());
        }
    }

    endpoint_ptr choose(std::string const& part) const
    {
        auto const e = engine();
        return selection.choose(prompt(part), &e, scheduler.now());
    }

    void answer(std::size_t call, std::string const& part)
    {
        endpoint_reply reply;
        reply.status = 200;
        reply.body = R"({"held":[["",")" + part + R"(",8000,"m"]]})";
        calls[call].done(reply);
    }

    struct made_call
    {
        endpoint_id endpoint;
        endpoint_call::handler done;
    };

    std::vector<char const*> const zones{"a1", "a2", "a3", "b1", "b2", "b3"};
    manual_scheduler scheduler;
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector detector;
    peer_loads peers;
    endpoint_selector selection{
        table,
        detector,
        peers,
        {zone_id("a1"),
         {{"a1", "a"},
          {"a2", "a"},
          {"a3", "a"},
          {"b1", "b"},
          {"b2", "b"},
          {"b3", "b"}}}};
    platform_protocol protocol;
    silent_log log;
    std::vector<made_call> calls;
    prompt_cache_lookup lookup{
        selection, protocol, scheduler, log,
        [this](
            endpoint_ptr const& e, milliseconds, std::string,
            endpoint_call::handler done) {
            calls.push_back({e->record().id, std::move(done)});
        }};
};

} // namespace

// After a loss of power, each of 68 gateways asked all 148 endpoints, and each
// listing delays an endpoint's work: 25,000 calls on a day.
TEST_CASE("a lookup asks few endpoints in a large fleet", "[cache]")
{
    lookup_fixture f;
    std::size_t waiting = 0;
    for (int i = 0; i < 20; ++i)
        f.lookup.find(
            prompt("part" + std::to_string(i)), 68,
            [&](endpoint_id const&) { ++waiting; });
    REQUIRE(f.calls.size() <= 25); // those of the gateway's own zone
    REQUIRE(waiting == 0);
    auto const calls = f.calls;
    for (auto const& c : calls)
        c.done({});
    REQUIRE(waiting == 20); // nothing found: they start anywhere
}

TEST_CASE("a small fleet asks all of its endpoints", "[cache]")
{
    lookup_fixture f;
    f.lookup.find(prompt(), 3, [](endpoint_id const&) {});
    REQUIRE(f.calls.size() == 148);
}

// The endpoint that an idle fleet chose for a prompt is asked for it, and the
// answer ends the wait for all others.
TEST_CASE("the endpoint that ran a prompt is found", "[cache]")
{
    lookup_fixture f;
    for (int i = 0; i < 50; ++i)
    {
        auto const part = "part" + std::to_string(i);
        auto const ran_at = f.choose(part)->record().id;
        f.calls.clear();
        f.scheduler.advance(milliseconds(2000));
        endpoint_id found;
        f.lookup.find(
            prompt(part), 68, [&](endpoint_id const& id) { found = id; });
        auto const asked = std::find_if(
            f.calls.begin(), f.calls.end(),
            [&](auto const& c) { return c.endpoint == ran_at; });
        REQUIRE(asked != f.calls.end());
        f.answer(std::size_t(asked - f.calls.begin()), part);
        REQUIRE(found == ran_at);
        // Callers with the same prompt need no further listing.
        auto const before = f.calls.size();
        f.lookup.find(
            prompt(part), 68, [&](endpoint_id const& id) { found = id; });
        REQUIRE(f.calls.size() == before);
        auto const calls = f.calls;
        for (auto const& c : calls)
            c.done({});
    }
}

// Callers that return together share the listings.
TEST_CASE("an endpoint is listed once for callers that return", "[cache]")
{
    lookup_fixture f;
    int done = 0;
    for (int i = 0; i < 5; ++i)
        f.lookup.find(prompt(), 68, [&](endpoint_id const&) { ++done; });
    REQUIRE(f.calls.size() == prompt_cache_lookup::min_endpoints);
    auto const calls = f.calls;
    for (auto const& c : calls)
        c.done({});
    REQUIRE(done == 5);
    f.lookup.find(prompt(), 68, [&](endpoint_id const&) { ++done; });
    REQUIRE(done == 6); // not again within the interval
    f.scheduler.advance(prompt_cache_lookup::listing_interval);
    f.lookup.find(prompt(), 68, [&](endpoint_id const&) { ++done; });
    REQUIRE(f.calls.size() == 2 * prompt_cache_lookup::min_endpoints);
}
