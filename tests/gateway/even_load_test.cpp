// Plays gateways that choose endpoints at the same moment, each from loads that
// it learnt from the others some time ago.
#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/choice_contention.hpp"
#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::size_t gateway_count = 21;

engine_spec large_engine()
{
    engine_spec e;
    e.slots = 128;
    e.memory_tokens = 88000;
    return e;
}

/// One gateway with its own view of the endpoints.
struct gateway_view
{
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads peers;
    choice_contention contention;
    std::unique_ptr<endpoint_selector> selection;
    std::vector<endpoint_reservation> runs;
    std::uint64_t sequence = 0;
};

struct fleet
{
    fleet(int endpoints, std::uint32_t usual_runs)
    {
        char const* const zones[] = {"a1", "a2", "b1"};
        for (std::size_t g = 0; g < gateway_count; ++g)
        {
            auto view = std::make_unique<gateway_view>();
            for (int i = 0; i < endpoints; ++i)
                view->table.put(
                    endpoint("e" + std::to_string(i), zones[i % 3]), at(0));
            auto place = test_location();
            place.zone = zone_id(zones[g % 3]);
            view->selection = std::make_unique<endpoint_selector>(
                view->table, view->zones, view->peers, place);
            gateways.push_back(std::move(view));
        }
        // The first gateway holds what runs there already; one endpoint has
        // just come back and is empty.
        for (auto const& e : endpoints_of(0))
        {
            bool const empty = e->record().id.value() == "e0";
            for (std::uint32_t n = 0; !empty && n < usual_runs; ++n)
                gateways[0]->runs.emplace_back(
                    e, endpoint_state::workload{1, 8650, 0});
        }
        exchange(0);
    }

    std::vector<endpoint_ptr> const& endpoints_of(std::size_t gateway) const
    {
        return gateways[gateway]->table.of_service(service_name("llm"));
    }

    /// All gateways tell each other their loads.
    void exchange(int now)
    {
        for (std::size_t from = 0; from < gateway_count; ++from)
        {
            load_share share;
            share.gateway = host_id("g" + std::to_string(from));
            share.incarnation = 1;
            share.sequence = ++gateways[from]->sequence;
            for (auto const& e : endpoints_of(from))
                share.loads.push_back({e->record().id, e->load});
            for (std::size_t to = 0; to < gateway_count; ++to)
            {
                if (to != from)
                    gateways[to]->peers.put(share, at(now));
            }
        }
    }

    bool start(
        std::size_t gateway, std::string const& part, bool resuming,
        bool waiting, int now)
    {
        auto& g = *gateways[gateway];
        auto w = prompt(part);
        w.resuming = resuming;
        w.capacity_short = waiting;
        w.unseen_choices = g.contention.unseen_choices(
            gateway_count - 1, waiting, resuming, at(now));
        auto const e = large_engine();
        auto const chosen = g.selection->choose(w, &e, at(now));
        if (!chosen)
            return false;
        g.contention.record_start(at(now));
        g.runs.emplace_back(
            chosen,
            endpoint_state::workload{1, w.memory_tokens(), w.prompt_tokens});
        return true;
    }

    /// Runs of all gateways at each endpoint, ascending.
    std::vector<std::uint32_t> runs_by_endpoint() const
    {
        std::vector<std::uint32_t> runs;
        for (std::size_t i = 0; i < endpoints_of(0).size(); ++i)
        {
            std::uint32_t sum = 0;
            for (std::size_t g = 0; g < gateway_count; ++g)
                sum += endpoints_of(g)[i]->load.requests;
            runs.push_back(sum);
        }
        std::sort(runs.begin(), runs.end());
        return runs;
    }

    std::vector<std::unique_ptr<gateway_view>> gateways;
};

} // namespace

// Guards against begun answers that all go to the least loaded endpoint, as
// when half of the endpoints crash: 30 answers reached one endpoint within
// 10 ms, three times what its memory holds.
TEST_CASE("begun answers of many gateways spread", "[even_load]")
{
    struct row
    {
        char const* name;
        int endpoints;
        std::uint32_t usual_runs;
        int lost_by_each; // answers that each gateway moves at once
    };
    auto const r = GENERATE(
        row{"half of 76 lost at high load", 38, 4, 7},
        row{"half of 76 lost at low load", 38, 1, 2},
        row{"one zone of 98 lost", 82, 4, 3},
        row{"few endpoints are left", 12, 2, 2});
    auto const seed = GENERATE(1, 2, 3, 4, 5);
    CAPTURE(r.name, seed);
    fleet f(r.endpoints, r.usual_runs);
    for (std::size_t g = 0; g < gateway_count; ++g)
    {
        for (int n = 0; n < r.lost_by_each; ++n)
            f.gateways[g]->contention.record_loss(at(100));
    }
    int waiting = 0;
    for (int n = 0; n < r.lost_by_each; ++n)
    {
        for (std::size_t g = 0; g < gateway_count; ++g)
        {
            auto const part = std::to_string(seed) + '/' + std::to_string(g) +
                              '/' + std::to_string(n);
            waiting += f.start(g, part, true, false, 100) ? 0 : 1;
        }
    }
    auto const runs = f.runs_by_endpoint();
    CAPTURE(waiting);
    // Half again of what the memory of an endpoint holds.
    constexpr std::uint32_t most = 15;
    REQUIRE(runs.back() <= most);
    // Most find an endpoint at once while there is room for all.
    auto const moved = int(gateway_count) * r.lost_by_each;
    auto const held = 8 - int(r.usual_runs);
    if (moved * 2 <= held * r.endpoints)
        REQUIRE(waiting <= moved / 5);
}

// Guards against an endpoint that comes back empty and gets a prompt of every
// gateway at once, and against one that idles while prompts wait.
TEST_CASE("an endpoint that returns is shared", "[even_load]")
{
    auto const seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    CAPTURE(seed);
    fleet f(1, 0);
    int first_start = -1;
    constexpr int interval = 20; // between attempts of a gateway's queue
    for (int now = 0; now < 1000; now += interval)
    {
        for (std::size_t g = 0; g < gateway_count; ++g)
        {
            auto const part = std::to_string(seed) + '/' + std::to_string(g);
            if (f.start(g, part, false, true, now) && first_start < 0)
                first_start = now;
        }
        if (now % 60 == 0) // loads arrive after 40 ms and the next tick
            f.exchange(now);
    }
    REQUIRE(first_start >= 0);
    REQUIRE(f.runs_by_endpoint().back() <= 6);
}

// Guards against less even loads at low load, where no choices meet.
TEST_CASE(
    "without contention the least loaded endpoint is chosen", "[even_load]")
{
    fleet f(30, 0);
    for (int n = 0; n < 30; ++n)
    {
        REQUIRE(f.start(0, std::to_string(n), false, false, n * 1000));
        f.exchange(n * 1000);
    }
    REQUIRE(f.runs_by_endpoint().front() == 1);
    REQUIRE(f.runs_by_endpoint().back() == 1);
}
