// Endpoints that are chosen while versions matter.
#include <catch2/catch.hpp>

#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using rule = version_choice::rule;

/// Two endpoints of each of three versions, and two of an unknown one, in each
/// of three zones.
struct versioned_fleet
{
    versioned_fleet()
    {
        for (std::string const zone : {"a1", "a2", "b1"})
        {
            for (std::string const version : {"", "v1", "v2", "v3"})
            {
                for (std::string const n : {"x", "y"})
                {
                    auto e = endpoint(zone + '-' + version + n, zone);
                    e.version = version;
                    table.put(e, at(0));
                }
            }
        }
    }

    endpoint_ptr choose(endpoint_requirements const& w) const
    {
        auto const e = engine();
        return selection.choose(w, &e, at(0));
    }

    std::string version_of(endpoint_requirements const& w, bool call) const
    {
        auto const e = engine();
        auto const chosen = selection.choose(w, call ? nullptr : &e, at(0));
        return chosen ? chosen->record().version : "none";
    }

    /// Fills all endpoints that are chosen, and returns their ids.
    std::set<std::string> fill(endpoint_requirements const& w)
    {
        std::set<std::string> ids;
        while (auto const chosen = choose(w))
        {
            ids.insert(chosen->record().id.value());
            held.emplace_back(chosen, endpoint_state::workload{1, 8650, 0});
        }
        return ids;
    }

    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads peers;
    endpoint_selector selection{table, zones, peers, test_location()};
    std::vector<endpoint_reservation> held;
};

endpoint_requirements
versioned(rule kind, std::string const& version, bool candidate)
{
    auto w = prompt();
    w.versions.kind = kind;
    w.versions.version = version;
    w.versions.candidate = candidate;
    return w;
}

} // namespace

// Guards against a request or a copy at an endpoint of a version that must get
// none. Endpoints of an unknown version belong to the current one.
TEST_CASE("only endpoints of the chosen version are used", "[rollout]")
{
    auto const call = GENERATE(false, true);
    auto const candidate = GENERATE(false, true);
    CAPTURE(call, candidate);
    versioned_fleet fleet;
    auto w = versioned(rule::only, "v2", candidate);
    for (int i = 0; i < 3; ++i)
    {
        auto const version = fleet.version_of(w, call);
        REQUIRE((version == "v2" || (version.empty() && !candidate)));
        auto const chosen = fleet.choose(w);
        auto const standby =
            fleet.selection.choose_standby(w, engine(), *chosen, at(0));
        REQUIRE(standby);
        REQUIRE(w.allows(standby->record()));
        for (auto const& e : fleet.selection.likely_caches(w, 99, at(0)))
            REQUIRE(w.allows(e->record()));
        w.excluded.insert(chosen->record().id.value());
    }
    REQUIRE(
        fleet.selection.likely_caches(w, 99, at(0)).size() ==
        (candidate ? 6 : 12));
    for (auto const& id : fleet.fill(w))
        REQUIRE(w.allows(fleet.table.find(endpoint_id(id))->record()));
}

// Guards against a choice that falls back to a version that must get nothing.
TEST_CASE("barred versions are never used", "[rollout]")
{
    auto const kind = GENERATE(rule::any, rule::prefer);
    versioned_fleet fleet;
    auto w = versioned(kind, "v2", true);
    w.barred_versions = {"v1", "v3"};
    for (auto const& id : fleet.fill(w))
    {
        auto const& version =
            fleet.table.find(endpoint_id(id))->record().version;
        REQUIRE((version == "v2" || version.empty()));
    }
}

// Guards against a request that waits for a preferred version that is not
// there, while others are.
TEST_CASE("another version serves if the preferred one cannot", "[rollout]")
{
    auto const call = GENERATE(false, true);
    versioned_fleet fleet;
    auto w = versioned(rule::prefer, "v2", true);
    w.barred_versions = {"", "v3"};
    w.versions.max_endpoints = 1;
    REQUIRE(fleet.version_of(w, call) == "v2");
    for (std::string const zone : {"a1", "a2", "b1"})
    {
        w.excluded.insert(zone + "-v2x");
        w.excluded.insert(zone + "-v2y");
    }
    REQUIRE(fleet.version_of(w, call) == "v1");
    // The limit is for the candidate only.
    REQUIRE(fleet.fill(w).size() == 6);
}

// Guards against canary traffic that is too thin everywhere to show a fault
// under load: all gateways must find the same endpoints.
TEST_CASE("canary traffic goes to few endpoints", "[rollout]")
{
    auto const count = GENERATE(as<std::size_t>{}, 1, 2, 5);
    versioned_fleet fleet;
    auto w = versioned(rule::prefer, "v2", true);
    w.versions.max_endpoints = count;
    auto const ids = fleet.fill(w);
    REQUIRE(ids.size() == count);
    versioned_fleet other;
    auto another_prompt = w;
    another_prompt.affinity_key = "q";
    REQUIRE(other.fill(another_prompt) == ids);
}

// Guards against any change where versions do not matter.
TEST_CASE("without a rule all versions are chosen alike", "[rollout]")
{
    versioned_fleet fleet;
    REQUIRE(fleet.fill(prompt()).size() == 24);
}
