// Planners that compete for the lease, agents with their gates and engines,
// and the invariants of fencing, in virtual time.
#ifndef DOTTERELLOCK_TESTS_PLACEMENT_WORLD_HPP
#define DOTTERELLOCK_TESTS_PLACEMENT_WORLD_HPP

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "control_fakes.hpp"
#include "membership/registration.hpp"
#include "placement/placement_gate.hpp"
#include "placement/placement_planner.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// An engine that outlives its agents and notes each order at the time it
/// takes effect.
class ordered_engine : public engine
{
public:
    ordered_engine(
        manual_scheduler& scheduler, fake_table_service& table, bool checks)
        : scheduler_(scheduler), table_(table), checks_(checks)
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
        // No order under an old token takes effect.
        REQUIRE(o.token >= highest_);
        highest_ = o.token;
        auto const lease =
            decode_lease_record(table_.row_at("lease/placement").value);
        REQUIRE(lease);
        REQUIRE(o.token == lease->token);
        REQUIRE_FALSE(busy); // drained before it is unloaded
        ++orders;
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

    bool busy = false; // runs work of an agent
    unsigned orders = 0;
    unsigned fail_orders = 0;
    duration load_time{seconds(8)};

private:
    manual_scheduler& scheduler_;
    fake_table_service& table_;
    bool checks_;
    fencing_token highest_ = 0;
};

/// One run of an agent.
struct agent_run
{
    agent_run(
        manual_scheduler& scheduler, fake_table_service& table,
        endpoint_info const& info, ordered_engine& engine,
        engine_fencing fencing, std::uint64_t seed)
        : process(scheduler, table), random(seed),
          member(info, scheduler, process, random, process, counters),
          gate(
              info.endpoint, fencing, info.models, engine, scheduler, process,
              process, hooks(engine), counters)
    {
        member.watch(
            gate.watched_keys(),
            [this](std::vector<row> const& rows, steady_time asked_at)
            { gate.on_rows(rows, asked_at); });
        member.start();
    }

    placement_hooks hooks(ordered_engine& engine)
    {
        placement_hooks h;
        h.drain = [this, &engine](std::function<void()> drained)
        {
            draining = true;
            process.schedule(
                drain_time,
                [&engine, drained]
                {
                    engine.busy = false;
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
    placement_gate gate;
};

struct planner_run
{
    planner_run(
        manual_scheduler& scheduler, fake_table_service& table,
        weight_store& weights, fleet_view& fleet,
        placement_settings const& settings, std::string const& name,
        std::uint64_t seed)
        : process(scheduler, table), random(seed),
          held(
              peer_id(name), placement_lease_name, scheduler, process, random,
              process, seconds(15), counters),
          planner(
              held, scheduler, process, process, weights, fleet, log, settings,
              counters)
    {
        held.start();
        planner.start();
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    recording_decision_log log;
    lease held;
    placement_planner planner;
    bool running = true;
};

class placement_world
{
public:
    /// Endpoints by the model that they serve at first, such as "aaab".
    explicit placement_world(
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
            bool const checks = fencing == engine_fencing::checks_tokens;
            engines.push_back(
                std::make_unique<ordered_engine>(scheduler, table, checks));
            hosts.result.hosts.push_back({info.host, {}, {}, {}});
        }
        agents.resize(infos.size());
        for (std::size_t i = 0; i < infos.size(); ++i)
            start_agent(i);
        for (char const* name : {"r0", "r1"})
        {
            planners.push_back(std::make_unique<planner_run>(
                scheduler, table, weights, hosts, settings, name, ++seed_));
        }
    }

    void start_agent(std::size_t i)
    {
        if (agents[i])
        {
            infos[i].models = agents[i]->gate.loaded();
            agents[i]->process.pause();
            graveyard.push_back(std::move(agents[i]));
        }
        agents[i] = std::make_unique<agent_run>(
            scheduler, table, infos[i], *engines[i], fencing_, ++seed_);
    }

    void plan(std::vector<model_plan> const& plans, model_need const& need)
    {
        for (auto const& p : planners)
        {
            p->planner.set_plans(plans);
            p->planner.set_need(need);
        }
    }

    planner_run* holder()
    {
        for (auto const& p : planners)
        {
            if (p->running && p->held.held())
                return p.get();
        }
        return nullptr;
    }

    std::size_t
    serving(std::string const& name, std::string const& version = "1")
    {
        std::size_t n = 0;
        for (auto const& a : agents)
        {
            for (auto const& m : a->gate.loaded())
                n += m.name == name && m.version == version ? 1 : 0;
        }
        return n;
    }

    std::size_t changing() const
    {
        std::size_t n = 0;
        for (auto const& a : agents)
            n += a->gate.changing() ? 1 : 0;
        return n;
    }

    unsigned orders() const
    {
        unsigned n = 0;
        for (auto const& e : engines)
            n += e->orders;
        return n;
    }

    void run(duration span)
    {
        steady_time const end = scheduler.now() + span;
        while (scheduler.now() < end)
        {
            scheduler.advance(std::min<duration>(span, look_interval));
            most_changing = std::max(most_changing, changing());
            unsigned holders = 0;
            for (auto const& p : planners)
                holders += p->running && p->held.held() ? 1 : 0;
            if (holders > 1)
                FAIL("two holders");
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
    fake_fleet_view hosts{scheduler};
    std::vector<endpoint_info> infos;
    std::vector<std::unique_ptr<ordered_engine>> engines;
    std::vector<std::unique_ptr<agent_run>> agents;
    std::vector<std::unique_ptr<agent_run>> graveyard;
    std::vector<std::unique_ptr<planner_run>> planners;
    std::size_t most_changing = 0;
    duration look_interval{milliseconds(100)};

private:
    engine_fencing fencing_;
    std::uint64_t seed_;
};

} // namespace dotterellock::testing

#endif
