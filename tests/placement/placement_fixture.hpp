// Planners that compete for the placement lease, and agents with their
// executors and engines, in virtual time. Checks the invariants of fencing.
#ifndef DOTTERELLOCK_TESTS_PLACEMENT_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_PLACEMENT_FIXTURE_HPP

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "control_fakes.hpp"
#include "membership/registration.hpp"
#include "placement/placement_executor.hpp"
#include "placement/placement_planner.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// An engine that outlives its agents and checks each order when it takes
/// effect.
class order_checking_engine : public engine
{
public:
    order_checking_engine(
        manual_scheduler& scheduler, fake_table_service& table,
        bool checks_tokens)
        : scheduler_(scheduler), table_(table), checks_(checks_tokens)
    {
    }

    engine_run_id start(dispatch_generation const&, engine_events) override
    {
        return 0;
    }
    void cancel(engine_run_id) override {}

    void order(
        engine_order const& o,
        std::function<void(std::optional<error>)> done) override
    {
        if (checks_ && o.token < highest_)
        {
            scheduler_.schedule(
                milliseconds(1),
                [done] {
                    done(error(
                        error_code::stale_fencing_token, "order", "engine",
                        ""));
                });
            return;
        }
        // Only orders with the current token may take effect.
        REQUIRE(o.token >= highest_);
        highest_ = o.token;
        auto const lease =
            decode_lease_record(table_.row_at("lease/placement").value);
        REQUIRE(lease);
        REQUIRE(o.token == lease->token);
        REQUIRE_FALSE(has_work); // drained before unloading
        ++order_count;
        if (fail_orders > 0)
        {
            --fail_orders;
            scheduler_.schedule(
                milliseconds(10), [done]
                { done(error(error_code::engine_failed, "order", "e", "")); });
            return;
        }
        scheduler_.schedule(load_time, [done] { done(std::nullopt); });
    }

    bool has_work = false; // work of an agent is in flight
    unsigned order_count = 0;
    unsigned fail_orders = 0;
    duration load_time{seconds(8)};

private:
    manual_scheduler& scheduler_;
    fake_table_service& table_;
    bool checks_;
    fencing_token highest_ = 0;
};

/// One run of an agent process.
struct placement_test_agent
{
    placement_test_agent(
        manual_scheduler& scheduler, fake_table_service& table,
        endpoint_info const& info, order_checking_engine& engine,
        engine_fencing fencing, std::uint64_t seed)
        : process(scheduler, table), random(seed),
          member(info, scheduler, process, random, process, counters),
          executor(
              info.endpoint, fencing, info.models, engine, scheduler, process,
              process, hooks(engine), counters)
    {
        member.watch(
            executor.watched_keys(),
            [this](std::vector<row> const& rows, steady_time read_started_at)
            { executor.on_rows(rows, read_started_at); });
        member.start();
    }

    placement_hooks hooks(order_checking_engine& engine)
    {
        placement_hooks h;
        h.drain = [this, &engine](std::function<void()> drained)
        {
            draining = true;
            process.schedule(
                drain_time,
                [&engine, drained]
                {
                    engine.has_work = false;
                    drained();
                });
        };
        h.resume = [this] { draining = false; };
        h.models_changed = [this](std::vector<model_ref> const& models)
        { member.set_models(models); };
        return h;
    }

    duration drain_time{seconds(2)};
    bool draining = false;
    simulated_process process;
    seeded_random random;
    counter_registry counters;
    registration member;
    placement_executor executor;
};

struct placement_test_planner
{
    placement_test_planner(
        manual_scheduler& scheduler, fake_table_service& table,
        weight_store& weights, fleet_view& fleet,
        placement_settings const& settings, std::string const& name,
        std::uint64_t seed)
        : process(scheduler, table), random(seed),
          own_lease(
              peer_id(name), placement_lease_name, scheduler, process, random,
              process, seconds(15), counters),
          planner(
              own_lease, scheduler, process, process, weights, fleet, log,
              settings, counters)
    {
        own_lease.start();
        planner.start();
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    recording_decision_log log;
    lease own_lease;
    placement_planner planner;
    bool running = true;
};

class placement_fixture
{
public:
    /// @param served  one character per endpoint: the model that it serves at
    ///                the start, or '-' for none; for example "aaab"
    explicit placement_fixture(
        std::string const& served,
        engine_fencing fencing = engine_fencing::ignores_tokens,
        placement_settings const& settings = {}, std::uint64_t seed = 1)
        : fencing_(fencing), seed_(seed * 1000)
    {
        for (char const model : served)
        {
            endpoint_info info;
            std::string const name = "e" + std::to_string(infos.size());
            info.endpoint = endpoint_id(name);
            info.agent = peer_id("agent/" + name);
            info.host = host_id("h-" + name);
            if (model != '-')
                info.models = {{std::string(1, model), "", "1"}};
            infos.push_back(info);
            bool const checks_tokens = fencing == engine_fencing::checks_tokens;
            engines.push_back(std::make_unique<order_checking_engine>(
                scheduler, table, checks_tokens));
            fleet.result.hosts.push_back({info.host, {}, {}, {}});
        }
        agents.resize(infos.size());
        for (std::size_t i = 0; i < infos.size(); ++i)
            start_agent(i);
        for (char const* name : {"r0", "r1"})
        {
            planners.push_back(std::make_unique<placement_test_planner>(
                scheduler, table, weights, fleet, settings, name, ++seed_));
        }
    }

    void start_agent(std::size_t i)
    {
        if (agents[i])
        {
            infos[i].models = agents[i]->executor.loaded();
            agents[i]->process.pause();
            replaced_agents.push_back(std::move(agents[i]));
        }
        agents[i] = std::make_unique<placement_test_agent>(
            scheduler, table, infos[i], *engines[i], fencing_, ++seed_);
    }

    void
    set_plans(std::vector<model_plan> const& plans, model_demand const& demand)
    {
        for (auto const& p : planners)
        {
            p->planner.set_plans(plans);
            p->planner.set_demand(demand);
        }
    }

    placement_test_planner* holder()
    {
        for (auto const& p : planners)
        {
            if (p->running && p->own_lease.held())
                return p.get();
        }
        return nullptr;
    }

    std::size_t
    serving_count(std::string const& name, std::string const& version = "1")
    {
        std::size_t n = 0;
        for (auto const& a : agents)
        {
            for (auto const& m : a->executor.loaded())
                n += m.name == name && m.version == version ? 1 : 0;
        }
        return n;
    }

    std::size_t changing_count() const
    {
        std::size_t n = 0;
        for (auto const& a : agents)
            n += a->executor.changing() ? 1 : 0;
        return n;
    }

    unsigned order_count() const
    {
        unsigned n = 0;
        for (auto const& e : engines)
            n += e->order_count;
        return n;
    }

    void run(duration span)
    {
        steady_time const end = scheduler.now() + span;
        while (scheduler.now() < end)
        {
            scheduler.advance(std::min<duration>(span, step_interval));
            max_changing_count = std::max(max_changing_count, changing_count());
            unsigned holders = 0;
            for (auto const& p : planners)
                holders += p->running && p->own_lease.held() ? 1 : 0;
            if (holders > 1)
                FAIL("two planners hold the lease");
        }
    }

    bool run_until(std::function<bool()> const& done, duration limit)
    {
        steady_time const end = scheduler.now() + limit;
        while (!done() && scheduler.now() < end)
            run(milliseconds(100));
        return done();
    }

    manual_scheduler scheduler;
    fake_table_service table{scheduler};
    fake_weight_store weights{scheduler};
    fake_fleet_view fleet{scheduler};
    std::vector<endpoint_info> infos;
    std::vector<std::unique_ptr<order_checking_engine>> engines;
    std::vector<std::unique_ptr<placement_test_agent>> agents;
    std::vector<std::unique_ptr<placement_test_agent>> replaced_agents;
    std::vector<std::unique_ptr<placement_test_planner>> planners;
    std::size_t max_changing_count = 0;
    duration step_interval{milliseconds(100)};

private:
    engine_fencing fencing_;
    std::uint64_t seed_;
};

} // namespace dotterellock::testing

#endif
