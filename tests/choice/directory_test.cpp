#include <catch2/catch.hpp>

#include <set>

#include "choice/rendezvous_journal_placement.hpp"
#include "scheduling_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

namespace
{

struct directory_fixture
{
    explicit directory_fixture(std::vector<endpoint_info> endpoints)
    {
        directory.set_local_router(
            peer_id("router/a"), {region_id("r1"), zone_id("z1"), {}});
        directory.set_endpoints(std::move(endpoints));
    }

    void report(
        unsigned i, double tokens_per_second, incarnation agent_incarnation = 1,
        bool draining = false)
    {
        load_report r;
        r.endpoint = endpoint_id("e" + std::to_string(i));
        r.incarnation = agent_incarnation;
        r.capacity = 4;
        r.tokens_per_second_per_stream = tokens_per_second;
        r.draining = draining;
        directory.on_load_report(r);
    }

    std::set<std::string> candidates() const
    {
        std::set<std::string> names;
        for (auto const& c : directory.candidates(test_place_request("org/1")))
        {
            if (!c.is_probe)
                names.insert(c.info->endpoint.value());
        }
        return names;
    }

    bool is_probe_due(std::string const& endpoint) const
    {
        for (auto const& c : directory.candidates(test_place_request("org/1")))
        {
            if (c.is_probe && c.info->endpoint.value() == endpoint)
                return true;
        }
        return false;
    }

    manual_scheduler scheduler;
    fixed_policy policy;
    endpoint_directory directory{scheduler, policy};
};

std::vector<endpoint_info>
make_fleet(unsigned own_zone, unsigned other_zone, unsigned other_region)
{
    std::vector<endpoint_info> all;
    for (unsigned i = 0; i < own_zone; ++i)
        all.push_back(test_endpoint(i));
    for (unsigned i = 0; i < other_zone; ++i)
        all.push_back(test_endpoint(own_zone + i, "z2"));
    for (unsigned i = 0; i < other_region; ++i)
        all.push_back(test_endpoint(own_zone + other_zone + i, "z9", "r2"));
    return all;
}

} // namespace

// Guards against a full mesh of routers and endpoints, a subset within a single
// zone that fails with it, and a small fleet that is only partly used.
TEST_CASE("a model's subset has 8 endpoints, those of the region first")
{
    auto const
        [own_zone, other_zone, other_region, expected_regional,
         expected_remote] =
            GENERATE(table<unsigned, unsigned, unsigned, unsigned, unsigned>({
                {120, 120, 120, 6, 2},
                {120, 0, 0, 8, 0},
                {2, 100, 100, 6, 2},
                {0, 0, 100, 0, 100},  // none in the region: all
                {20, 10, 10, 30, 10}, // small fleet: all
            }));
    directory_fixture t(make_fleet(own_zone, other_zone, other_region));
    unsigned regional_found = 0;
    unsigned remote_found = 0;
    std::set<zone_id> zones;
    for (auto const& c : t.directory.candidates(test_place_request("org/1")))
    {
        ++(c.other_region ? remote_found : regional_found);
        if (!c.other_region)
            zones.insert(c.info->zone);
    }
    CHECK(regional_found == expected_regional);
    CHECK(remote_found == expected_remote);
    if (own_zone > 0 && other_zone > 0)
        CHECK(zones.size() == 2);
}

// Guards against subsets that change completely with each update of the
// endpoint list, and against all routers using the same endpoints.
TEST_CASE("subsets are stable and differ between routers")
{
    auto endpoints = make_fleet(100, 0, 0);
    directory_fixture t(endpoints);
    auto const original = t.candidates();
    endpoints.erase(endpoints.begin() + 50, endpoints.begin() + 60);
    t.directory.set_endpoints(endpoints);
    std::size_t kept = 0;
    for (auto const& name : t.candidates())
        kept += original.count(name);
    CHECK(kept >= 8 - 3); // 10% of the endpoints were removed

    std::set<std::string> used;
    for (int i = 0; i < 360; ++i)
    {
        t.directory.set_local_router(
            peer_id("router/" + std::to_string(i)),
            {region_id("r1"), zone_id("z1"), {}});
        for (auto const& name : t.candidates())
            used.insert(name);
    }
    CHECK(used.size() == 90);
}

// Guards against new work for an unresponsive, draining, failing or slow
// endpoint, and against never using it again after it has recovered.
TEST_CASE("unusable endpoints are set aside and come back")
{
    directory_fixture t(make_fleet(4, 0, 0));
    for (unsigned i = 0; i < 4; ++i)
        t.report(i, 30);
    REQUIRE(t.candidates().size() == 4);
    endpoint_id const e0("e0");
    SECTION("unresponsive, until it reports")
    {
        t.directory.mark_unresponsive(e0);
        CHECK(t.candidates().count("e0") == 0);
        t.report(0, 30);
    }
    SECTION("unresponsive, for two report intervals")
    {
        t.directory.mark_unresponsive(e0);
        t.scheduler.advance(seconds(2));
    }
    SECTION("no load report after a reservation")
    {
        t.directory.on_reservation_sent(e0);
        t.scheduler.advance(seconds(3));
        CHECK(t.candidates().count("e0") == 1); // no reservation sent since
        t.directory.on_reservation_sent(e0);
        CHECK(t.candidates().count("e0") == 0);
        t.scheduler.advance(seconds(10));
    }
    SECTION("draining, until it reports that it is not")
    {
        t.report(0, 30, 1, true);
        CHECK(t.candidates().count("e0") == 0);
        t.scheduler.advance(seconds(60));
        CHECK(t.candidates().count("e0") == 0);
        t.report(0, 30);
    }
    SECTION("straggler, slow in the first probe, recovered in the second")
    {
        t.report(0, 14);
        CHECK(t.candidates().count("e0") == 0);
        CHECK_FALSE(t.is_probe_due("e0"));
        t.scheduler.advance(seconds(10));
        CHECK(t.is_probe_due("e0"));
        for (int i = 0; i < 4; ++i)
            t.directory.on_probe_placed(e0);
        CHECK_FALSE(t.is_probe_due("e0"));
        t.report(0, 14);
        t.scheduler.advance(seconds(10));
        CHECK(t.is_probe_due("e0"));
        t.report(0, 16); // above half of the median of 30
    }
    SECTION("three consecutive failures, then a successful probe")
    {
        t.directory.on_work_finished(e0, false);
        t.directory.on_work_finished(e0, false);
        CHECK(t.candidates().count("e0") == 1);
        t.directory.on_work_finished(e0, false);
        t.report(0, 30);
        CHECK(t.candidates().count("e0") == 0);
        t.scheduler.advance(seconds(10));
        CHECK(t.is_probe_due("e0"));
        t.directory.on_work_finished(e0, true);
    }
    SECTION("reports of an earlier incarnation are ignored")
    {
        t.report(0, 30, 2);
        t.report(0, 30, 1, true);
    }
    CHECK(t.candidates().count("e0") == 1);
}

// Guards against refusing all work when every endpoint is suspended or
// unresponsive.
TEST_CASE("stragglers and unresponsive endpoints are used if no other is left")
{
    directory_fixture t(make_fleet(2, 0, 0));
    t.directory.mark_unresponsive(endpoint_id("e0"));
    for (int i = 0; i < 3; ++i)
        t.directory.on_work_finished(endpoint_id("e1"), false);
    CHECK(t.candidates().size() == 2);
    t.report(0, 30, 1, true);
    t.report(1, 30, 1, true);
    CHECK(t.candidates().empty()); // draining ones are never used
}

// Guards against an estimate that ignores ranks, their floor shares, or that a
// request waits at several agents.
TEST_CASE("the estimated wait counts the work that runs before the rank")
{
    directory_fixture t(make_fleet(1, 0, 0));
    load_report r;
    r.endpoint = endpoint_id("e0");
    r.incarnation = 1;
    r.capacity = r.running = 4;
    r.waiting = {30, 10, 10};
    r.waiting_tokens = 50000;
    r.tokens_per_second = 100;
    t.directory.on_load_report(r);
    auto const wait_seconds = [&](rank of)
    {
        return std::chrono::duration<double>(
                   t.directory.estimated_wait(test_model, of))
            .count();
    };
    t.policy.settings.dispatch.max_reservations = 2;
    // 50,000 tokens, each request counted twice, at 100/s; 60% are urgent.
    CHECK(wait_seconds(rank::urgent) == Approx(150));
    CHECK(wait_seconds(rank::standard) == Approx(200));
    CHECK(wait_seconds(rank::background) == Approx(250));
    r.waiting = {49, 0, 1};
    t.directory.on_load_report(r);
    CHECK(wait_seconds(rank::background) == Approx(100)); // 5% floor share
    r.running = 3;
    t.directory.on_load_report(r);
    CHECK(wait_seconds(rank::urgent) == 0);
}

// Guards against unbounded memory use and hints that outlive the agent's cache.
TEST_CASE("prefix hints are bounded and cleared when the agent restarts")
{
    prefix_hints hints;
    std::vector<std::uint64_t> blocks(2 * prefix_hints::max_blocks);
    for (std::size_t i = 0; i < blocks.size(); ++i)
        blocks[i] = i;
    hints.add(blocks);
    CHECK(hints.size() == prefix_hints::max_blocks);
    CHECK(hints.cached_prefix_length(blocks) == prefix_hints::max_blocks);
    hints.remove({1});
    CHECK(hints.cached_prefix_length(blocks) == 1);

    directory_fixture t(make_fleet(2, 0, 0));
    auto work = test_place_request("org/1");
    work.prefix_blocks = {1, 2, 3, 4};
    auto const cached_fraction = [&]
    { return t.directory.candidates(work).front().cached_prefix_fraction; };
    t.report(1, 30);
    t.directory.on_prefix_hint({endpoint_id("e1"), {1, 2, 4}, {}});
    CHECK(cached_fraction() == Approx(0.5)); // stops at the first missing block
    t.report(1, 30, 2);
    CHECK(cached_fraction() == 0);
}

// Guards against copies on this router or in another region, and against all
// copies in one zone while others have routers.
TEST_CASE("journal holders are other routers, other zones first")
{
    std::vector<router_info> routers;
    for (auto const* zone : {"z1", "z1", "z1", "z2", "z2"})
    {
        auto const n = std::to_string(routers.size());
        routers.push_back({peer_id("r" + n), zone_id(zone), region_id("r1")});
    }
    routers.push_back({peer_id("far"), zone_id("z9"), region_id("r2")});
    rendezvous_journal_placement const journal(
        peer_id("r0"), zone_id("z1"), routers);
    std::set<peer_id> first;
    for (int i = 0; i < 50; ++i)
    {
        request_id const id("org/" + std::to_string(i));
        auto const holders = journal.holders(id, 3);
        REQUIRE(holders.size() == 3);
        CHECK(
            std::set<peer_id>{holders[0], holders[1]} ==
            std::set<peer_id>{peer_id("r3"), peer_id("r4")});
        CHECK((holders[2] == peer_id("r1") || holders[2] == peer_id("r2")));
        CHECK(holders == journal.holders(id, 3));
        CHECK(journal.holders(id, 10).size() == 4);
        first.insert(holders[0]);
    }
    CHECK(first.size() == 2); // requests are spread over the routers
}
