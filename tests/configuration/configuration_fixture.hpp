// A small fleet in virtual time: configuration nodes with registrations in
// three zones of two regions, operators, and invariants that are checked at
// every step.
#ifndef DOTTERELLOCK_TESTS_CONFIGURATION_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_CONFIGURATION_FIXTURE_HPP

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "configuration/configuration_node.hpp"
#include "configuration/configuration_operator.hpp"
#include "control_fakes.hpp"
#include "fake_network.hpp"
#include "membership/registration.hpp"
#include "settings/fleet_document.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline std::string document_with(unsigned quantum)
{
    return "defaults: {queue: {quantum_tokens: " + std::to_string(quantum) +
           "}}\n";
}

/// One process of the fleet.
struct fleet_process
{
    fleet_process(
        manual_scheduler& scheduler, fake_network& network,
        fake_table_service& table, configuration_parser const& parser,
        endpoint_info const& info, std::vector<configuration_peer> peers,
        std::uint64_t seed)
        : process(scheduler, table), random(seed),
          node(
              info.agent, {info.region, info.zone, info.host}, scheduler,
              process, random, network.transport_of(info.agent), process,
              parser, std::move(peers), counters),
          member(info, scheduler, process, random, process, counters)
    {
        network.attach(info.agent, node);
        node.start();
        member.start();
    }

    simulated_process process;
    seeded_random random;
    counter_registry counters;
    configuration_node node;
    registration member;
    configuration_version highest_version = 0;
};

/// One run of the operators' command-line tool.
struct operator_run
{
    operator_run(
        manual_scheduler& scheduler, fake_table_service& table,
        fake_object_store& objects, fake_fleet_view& hosts,
        configuration_parser const& parser, std::uint64_t seed)
        : process(scheduler, table, &objects), random(seed),
          op(scheduler, process, random, process, process, hosts, parser)
    {
    }

    simulated_process process;
    seeded_random random;
    configuration_operator op;
    std::optional<apply_result> result;
};

class configuration_fixture
{
public:
    explicit configuration_fixture(std::uint64_t seed = 1) : seed_(seed)
    {
        for (char const* zone : {"a", "b", "c"})
        {
            for (int i = 0; i < 3; ++i)
            {
                endpoint_info info;
                info.agent = peer_id(std::string(zone) + std::to_string(i));
                info.endpoint = endpoint_id("e-" + info.agent.value());
                info.host = host_id("h-" + info.agent.value());
                info.zone = zone_id(zone);
                info.region = region_id(zone[0] == 'c' ? "far" : "main");
                process_infos.push_back(info);
                peers_.push_back({info.agent, info.zone});
            }
        }
        fleet.resize(process_infos.size());
        for (std::size_t i = 0; i < process_infos.size(); ++i)
            start(i);
        run(seconds(2));
    }

    void start(std::size_t i)
    {
        hosts.result.hosts.push_back(
            {process_infos[i].host,
             process_infos[i].zone,
             process_infos[i].region,
             {}});
        fleet[i] = std::make_unique<fleet_process>(
            scheduler, network, table, parser, process_infos[i], peers_,
            ++seed_);
    }

    void kill(std::size_t i)
    {
        network.kill(process_infos[i].agent);
        dead_processes_.push_back(std::move(fleet[i]));
        dead_processes_.back()->process.pause(); // calls may still be answered
        scheduler.schedule(seconds(5), [this, i] { remove_dead_host(i); });
    }

    void pause(std::size_t i)
    {
        network.pause(process_infos[i].agent);
        fleet[i]->process.pause();
    }

    void resume(std::size_t i)
    {
        network.resume(process_infos[i].agent);
        fleet[i]->process.resume();
    }

    void partition_remote_region()
    {
        for (auto const& a : process_infos)
        {
            for (auto const& b : process_infos)
            {
                if (a.region != b.region)
                    network.partition(a.agent, b.agent);
            }
        }
        set_remote_region_store_fault(store_mode::silent);
    }

    void heal()
    {
        network.heal();
        set_remote_region_store_fault(store_mode::normal);
    }

    void set_remote_region_store_fault(store_mode how)
    {
        for (std::size_t i = 0; i < process_infos.size(); ++i)
        {
            if (process_infos[i].region.value() == "far" && fleet[i])
                fleet[i]->process.set_store_fault(how);
        }
    }

    operator_run& apply(
        unsigned quantum, std::optional<configuration_version> base,
        duration limit = seconds(90))
    {
        operators.push_back(std::make_unique<operator_run>(
            scheduler, table, objects, hosts, parser, ++seed_));
        operator_run& run = *operators.back();
        apply_request request;
        request.document = document_with(quantum);
        request.author = "operator " + std::to_string(operators.size());
        request.base = base;
        request.time_limit = limit;
        run.op.apply(
            request, {},
            [this, &run](apply_result r)
            {
                run.result = r;
                if (r.outcome == apply_outcome::accepted)
                    record_accepted(r.version);
            });
        return run;
    }

    void run(duration span)
    {
        steady_time const end = scheduler.now() + span;
        while (scheduler.now() < end)
        {
            scheduler.advance(milliseconds(20));
            check();
        }
    }

    bool run_until(std::function<bool()> const& done, duration limit)
    {
        steady_time const end = scheduler.now() + limit;
        while (!done() && scheduler.now() < end)
            run(milliseconds(20));
        return done();
    }

    bool finish(operator_run& o, duration limit = seconds(120))
    {
        return run_until([&o] { return o.result.has_value(); }, limit);
    }

    /// Every running process is ready at this version or a later one.
    bool all_at_version(configuration_version version) const
    {
        for (auto const& p : fleet)
        {
            if (p && (!p->node.ready() || p->node.version() < version))
                return false;
        }
        return true;
    }

    /// No ready process uses a version below an accepted one or reverts to an
    /// earlier version.
    void check()
    {
        for (auto const& p : fleet)
        {
            if (!p || !p->node.ready())
                continue;
            configuration_version const version = p->node.version();
            bool const reverted =
                version < accepted_ || version < p->highest_version;
            if (reverted)
                FAIL("a ready process uses a superseded version");
            p->highest_version = version;
        }
    }

    /// Versions in the history, latest first; there must be no gap below the
    /// current one.
    std::vector<configuration_version> history()
    {
        operators.push_back(std::make_unique<operator_run>(
            scheduler, table, objects, hosts, parser, ++seed_));
        std::optional<history_result> found;
        operators.back()->op.history(
            1000, [&found](history_result r) { found = std::move(r); });
        run_until([&found] { return found.has_value(); }, seconds(10));
        REQUIRE(found);
        REQUIRE(found->problem.empty());
        std::vector<configuration_version> versions;
        for (auto const& entry : found->entries)
            versions.push_back(entry.record.version);
        return versions;
    }

    manual_scheduler scheduler;
    fake_network network{scheduler};
    fake_table_service table{scheduler};
    fake_object_store objects{scheduler};
    fake_fleet_view hosts{scheduler};
    yaml_configuration_parser parser;
    std::vector<endpoint_info> process_infos;
    std::vector<std::unique_ptr<fleet_process>> fleet;
    std::vector<std::unique_ptr<operator_run>> operators;

private:
    /// The fleet view removes a dead host late; restarted hosts stay.
    void remove_dead_host(std::size_t i)
    {
        auto& all = hosts.result.hosts;
        auto const gone = [this, i](host_entry const& e)
        { return e.host == process_infos[i].host; };
        if (!fleet[i])
            all.erase(std::remove_if(all.begin(), all.end(), gone), all.end());
    }

    void record_accepted(configuration_version version)
    {
        accepted_ = std::max(accepted_, version);
        check();
    }

    std::uint64_t seed_;
    configuration_version accepted_ = 0;
    std::vector<configuration_peer> peers_;
    std::vector<std::unique_ptr<fleet_process>> dead_processes_;
};

} // namespace dotterellock::testing

#endif
