// Router dispatchers and agent reservation queues connected by a fake network.
#ifndef DOTTERELLOCK_TESTS_SCHEDULING_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_SCHEDULING_FIXTURE_HPP

#include <memory>
#include <string>
#include <vector>

#include "choice/late_binding_dispatcher.hpp"
#include "fake_network.hpp"
#include "queueing/reservation_queue.hpp"

namespace dotterellock::testing
{

inline model_ref const test_model{"m", "", "1"};

inline peer_id agent_peer(unsigned i)
{
    return peer_id("agent/e" + std::to_string(i));
}

/// Endpoint i, by default in zone z1 of region r1.
inline endpoint_info test_endpoint(
    unsigned i, std::string const& zone = "z1",
    std::string const& region = "r1")
{
    endpoint_info info;
    info.endpoint = endpoint_id("e" + std::to_string(i));
    info.agent = agent_peer(i);
    info.zone = zone_id(zone);
    info.region = region_id(region);
    info.models = {test_model};
    return info;
}

inline place_request test_place_request(
    std::string const& id, rank r = rank::standard,
    std::string const& organisation = "org")
{
    place_request work;
    work.request = request_id(id);
    work.attempt = 1;
    work.epoch = 1;
    work.organisation = organisation_id(organisation);
    work.rank = r;
    work.model = test_model;
    work.estimated_tokens = 100;
    work.payload_bytes = 400;
    return work;
}

/// The callbacks that a caller of place() has received.
struct placement_outcome
{
    std::optional<placement> placed;
    std::optional<error> refused;
    unsigned callback_count = 0;
};

struct router_under_test
{
    router_under_test(
        manual_scheduler& scheduler, fake_network& network,
        policy_source const& policy, decision_log& log,
        counter_registry& counters, std::string const& name,
        std::uint64_t seed = 1)
        : self(name), random(seed), link(scheduler, policy),
          retries(scheduler, policy), directory(scheduler, policy),
          dispatcher(
              self, node_location{region_id("r1"), zone_id("z1"), {}},
              directory, scheduler, scheduler, random,
              network.transport_of(self), policy, link, retries, log, counters)
    {
        network.attach(self, dispatcher);
    }

    /// Requests a placement. The outcome is updated as the scheduler runs.
    std::shared_ptr<placement_outcome> place(place_request const& work)
    {
        auto result = std::make_shared<placement_outcome>();
        dispatcher.place(
            work,
            [result](placement p)
            {
                result->placed = p;
                ++result->callback_count;
            },
            [result](error const& e)
            {
                result->refused = e;
                ++result->callback_count;
            });
        return result;
    }

    peer_id self;
    seeded_random random;
    cross_region_budget link;
    retry_budget retries;
    endpoint_directory directory;
    late_binding_dispatcher dispatcher;
};

struct scheduling_fixture
{
    manual_scheduler scheduler;
    fake_network network{scheduler};
    fixed_policy policy;
    recording_decision_log log;
    counter_registry counters;
    std::vector<endpoint_info> endpoint_infos;
    std::vector<std::unique_ptr<reservation_queue>> agents;
    std::vector<std::unique_ptr<router_under_test>> routers;

    void add_agent(endpoint_info info, std::uint32_t capacity)
    {
        endpoint_infos.push_back(std::move(info));
        agents.emplace_back();
        restart_agent(agents.size() - 1, 1, capacity);
    }

    void restart_agent(
        std::size_t i, incarnation new_incarnation, std::uint32_t capacity)
    {
        agents[i].reset();
        agents[i] = std::make_unique<reservation_queue>(
            endpoint_infos[i].endpoint, new_incarnation, capacity, scheduler,
            scheduler, network.transport_of(endpoint_infos[i].agent), policy,
            log, counters);
        network.attach(endpoint_infos[i].agent, *agents[i]);
    }

    router_under_test& add_router(std::string const& name)
    {
        routers.push_back(std::make_unique<router_under_test>(
            scheduler, network, policy, log, counters, name,
            routers.size() + 1));
        routers.back()->directory.set_endpoints(endpoint_infos);
        return *routers.back();
    }

    reservation_queue& agent_of(placement const& p)
    {
        for (std::size_t i = 0; i < endpoint_infos.size(); ++i)
        {
            if (endpoint_infos[i].endpoint == p.endpoint)
                return *agents[i];
        }
        throw std::logic_error("no such agent");
    }
};

} // namespace dotterellock::testing

#endif
