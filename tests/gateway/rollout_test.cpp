#include <catch2/catch.hpp>

#include <algorithm>

#include "gateway/canary_traffic.hpp"
#include "gateway/rollout.hpp"

using namespace dotterellock;
using std::chrono::milliseconds;

TEST_CASE("a status supersedes another by order, then by state", "[rollout]")
{
    struct row
    {
        std::uint64_t revision;
        rollout_state state;
    };
    // In ascending order.
    row const rows[] = {
        {6, rollout_state::rolled_back},
        {7, rollout_state::running},
        {7, rollout_state::completed},
        {7, rollout_state::rolled_back},
        {8, rollout_state::running}};
    for (auto const& a : rows)
        for (auto const& b : rows)
        {
            rollout_status const x{service_name("s"), "v", a.state, a.revision};
            rollout_status const y{service_name("s"), "v", b.state, b.revision};
            CHECK(supersedes(x, y) == (&a > &b));
        }
}

TEST_CASE("phases of an order", "[rollout]")
{
    struct row
    {
        int length_ms;
        int shift_ms;
        int completion_ms;
        double canary;
    };
    auto const r = GENERATE(
        row{1000, 750, 750, 0.02}, row{4000, 3200, 3700, 0.02},
        row{10000, 9200, 9700, 0.02}, row{20000, 19200, 19700, 0.054},
        row{60000, 57600, 59700, 0.054});
    CAPTURE(r.length_ms);
    rollout_phases const p{milliseconds(r.length_ms)};
    CHECK(p.shift == milliseconds(r.shift_ms));
    CHECK(p.completion == milliseconds(r.completion_ms));
    CHECK(p.canary_share({}) == Approx(r.canary));
}

// Guards against canary traffic beyond the share, on few routes only or too
// thin to load an endpoint.
TEST_CASE("canary traffic of a gateway", "[rollout]")
{
    struct row
    {
        std::size_t current_endpoints;
        double slack;
        int requests;
        std::size_t endpoints;
        double busiest; // most of 40 consecutive requests, as a share
    };
    auto const r = GENERATE(
        row{76, 1.2, 4000, 4, 0.2}, row{6, 1.2, 4000, 1, 0.4},
        row{6, 25, 4000, 1, 0.4}, row{1, 0, 4000, 1, 0.8},
        row{6, 1.2, 40, 1, 0.1});
    CAPTURE(r.current_endpoints, r.slack);
    milliseconds const length(20000);
    canary_traffic canary({0.054, r.slack, length});
    int per_route[5] = {};
    int recent = 0;
    double busiest = 0;
    for (int i = 0; i < r.requests; ++i)
    {
        canary.on_request();
        if (canary.due(r.current_endpoints, i * length / r.requests))
        {
            canary.on_exposed();
            ++per_route[i % 5];
            ++recent;
        }
        CHECK(canary.exposed() <= 0.054 * (i + 1) + r.slack);
        if (i % 40 != 39)
            continue;
        busiest = std::max(busiest, recent / 40.0);
        recent = 0;
    }
    CHECK(canary.endpoints(r.current_endpoints) == r.endpoints);
    CHECK(canary.exposed() >= std::uint64_t(0.7 * 0.054 * r.requests));
    CHECK(busiest <= r.busiest);
    // As busy as a current endpoint.
    if (r.requests > 200)
        CHECK(
            busiest / double(r.endpoints) >=
            0.8 / double(r.current_endpoints + r.endpoints));
    for (auto const n : per_route)
        CHECK((r.requests < 200 || n >= 20));
}
