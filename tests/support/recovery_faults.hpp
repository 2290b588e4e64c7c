// The faults of the recovery fault matrix, each as a function of the
// simulation.
#ifndef DOTTERELLOCK_TESTS_RECOVERY_FAULTS_HPP
#define DOTTERELLOCK_TESTS_RECOVERY_FAULTS_HPP

#include <functional>
#include <string>
#include <vector>

#include "recovery_simulation.hpp"

namespace dotterellock::testing
{

struct recovery_fault
{
    char const* name;
    std::function<void(recovery_simulation&, caller&)> inject;
    bool loses_connection = false; // the caller has to reconnect
};

/// The agent that serves a request, or the one that would serve the next.
inline std::string target_agent(recovery_simulation& simulation)
{
    std::string const serving = simulation.serving_agent();
    return serving.empty() ? "a1" : serving;
}

/// Applies the rule to all messages sent within `window`.
inline void apply_rule_for(
    recovery_simulation& simulation, duration window,
    fake_network::delivery_rule rule)
{
    simulation.network.set_delivery_rule(std::move(rule));
    simulation.scheduler.schedule(
        window,
        [&simulation] { simulation.network.set_delivery_rule(nullptr); });
}

inline void
pause_router_for(recovery_simulation& simulation, caller& c, bool timers_first)
{
    std::string const name = c.router;
    if (simulation.routers.count(name) == 0 ||
        simulation.router(name).process.paused())
        return;
    simulation.pause_router(name);
    simulation.scheduler.schedule(
        milliseconds(6000),
        [&simulation, name, timers_first]
        {
            if (simulation.routers.count(name) != 0)
                simulation.resume_router(name, timers_first);
        });
}

inline void
stop_when_idle(recovery_simulation& simulation, std::string const& name)
{
    if (simulation.routers.count(name) == 0)
        return;
    simulated_router& r = simulation.router(name);
    // The router process also waits for responses that are not yet written.
    bool const responding = std::any_of(
        simulation.callers.begin(), simulation.callers.end(),
        [&](auto const& any) { return any->error_response_pending(name); });
    if (r.process.paused() || r.relay->open_generations() > 0 || responding)
    {
        simulation.scheduler.schedule(
            milliseconds(5),
            [&simulation, name] { stop_when_idle(simulation, name); });
        return;
    }
    std::vector<request_id> cut;
    for (auto const& any : simulation.callers)
    {
        if (any->waits_for_answer_from(name))
            cut.push_back(any->request.request);
    }
    simulation.checker.stopped_as_planned(cut);
    simulation.kill_router(name);
}

inline std::vector<recovery_fault> const& recovery_faults()
{
    using simulation_ref = recovery_simulation&;
    static std::vector<recovery_fault> const faults = {
        {"engine dies", [](simulation_ref simulation, caller&)
         { simulation.agent(target_agent(simulation)).engine.crash(); }},
        {"engine pauses and returns",
         [](simulation_ref simulation, caller&)
         {
             auto& engine = simulation.agent(target_agent(simulation)).engine;
             engine.paused = true;
             simulation.scheduler.schedule(
                 milliseconds(2000), [&engine] { engine.paused = false; });
         }},
        {"router dies",
         [](simulation_ref simulation, caller& c)
         {
             if (simulation.routers.size() > 1)
                 simulation.kill_router(c.router);
         },
         true},
        {"router pauses, timers wake first",
         [](simulation_ref simulation, caller& c)
         { pause_router_for(simulation, c, true); },
         true},
        {"router pauses, messages wake first",
         [](simulation_ref simulation, caller& c)
         { pause_router_for(simulation, c, false); },
         true},
        {"agent dies", [](simulation_ref simulation, caller&)
         { simulation.kill_agent(target_agent(simulation)); }},
        {"agent pauses and returns",
         [](simulation_ref simulation, caller&)
         {
             std::string const name = target_agent(simulation);
             if (!simulation.agent(name).runner)
                 return;
             simulation.pause_agent(name);
             simulation.scheduler.schedule(
                 milliseconds(2000),
                 [&simulation, name]
                 {
                     if (simulation.agent(name).runner)
                         simulation.resume_agent(name);
                 });
         }},
        {"host dies", [](simulation_ref simulation, caller&)
         { simulation.lose_host(target_agent(simulation)); }},
        {"connection silent to router",
         [](simulation_ref simulation, caller& c)
         {
             simulation.network.silence_towards(
                 peer_id(target_agent(simulation)), peer_id(c.router));
         }},
        {"connection silent to agent",
         [](simulation_ref simulation, caller& c)
         {
             simulation.network.silence_towards(
                 peer_id(c.router), peer_id(target_agent(simulation)));
         }},
        {"connection silent both ways",
         [](simulation_ref simulation, caller& c)
         {
             simulation.network.silence(
                 peer_id(c.router), peer_id(target_agent(simulation)));
         }},
        {"messages late",
         [](simulation_ref simulation, caller&)
         {
             apply_rule_for(
                 simulation, milliseconds(100),
                 [](peer_id const&, peer_id const&, message const&) {
                     return fake_network::delivery_plan{1, milliseconds(300)};
                 });
         }},
        {"messages repeated",
         [](simulation_ref simulation, caller&)
         {
             apply_rule_for(
                 simulation, milliseconds(400),
                 [](peer_id const&, peer_id const&, message const&) {
                     return fake_network::delivery_plan{2, {}};
                 });
         }},
        {"messages lost",
         [](simulation_ref simulation, caller&)
         {
             apply_rule_for(
                 simulation, milliseconds(100),
                 [](peer_id const&, peer_id const&, message const&) {
                     return fake_network::delivery_plan{0, {}};
                 });
         }},
        {"messages crossed",
         [](simulation_ref simulation, caller&)
         {
             apply_rule_for(
                 simulation, milliseconds(600),
                 [&simulation](peer_id const&, peer_id const&, message const&)
                 {
                     return fake_network::delivery_plan{
                         1, milliseconds(simulation.random.below(100))};
                 });
         }},
        {"region partition",
         [](simulation_ref simulation, caller& c)
         {
             std::string const agent = target_agent(simulation);
             simulation.network.partition(peer_id(c.router), peer_id(agent));
             simulation.scheduler.schedule(
                 milliseconds(2000),
                 [&simulation] { simulation.network.heal(); });
         }},
        {"agent drains", [](simulation_ref simulation, caller&)
         { simulation.refusing_agents.insert(target_agent(simulation)); }},
        {"router stops as planned", [](simulation_ref simulation, caller& c)
         {
             // Like the router process: exits when the last stream has ended.
             std::string const name = c.router;
             simulation.stopping_routers.insert(name); // not ready
             simulation.scheduler.schedule(
                 milliseconds(5),
                 [&simulation, name] { stop_when_idle(simulation, name); });
         }}};
    return faults;
}

inline recovery_fault const& fault_named(std::string const& name)
{
    for (auto const& fault : recovery_faults())
    {
        if (name == fault.name)
            return fault;
    }
    throw std::logic_error("no such fault: " + name);
}

struct step_name
{
    recovery_step step;
    char const* name;
};

inline std::vector<step_name> const& recovery_steps()
{
    static std::vector<step_name> const steps = {
        {recovery_step::place, "place"},
        {recovery_step::dispatch, "dispatch"},
        {recovery_step::prefill, "prefill"},
        {recovery_step::first_token, "first token"},
        {recovery_step::mid_stream, "mid-stream"},
        {recovery_step::last_token, "last token"},
        {recovery_step::finished_unacknowledged, "finished"},
        {recovery_step::caller_reconnect, "caller reconnect"}};
    return steps;
}

} // namespace dotterellock::testing

#endif
