// The faults of the recovery fault matrix, each as a function of the world.
#ifndef DOTTERELLOCK_TESTS_RECOVERY_FAULTS_HPP
#define DOTTERELLOCK_TESTS_RECOVERY_FAULTS_HPP

#include <functional>
#include <string>
#include <vector>

#include "recovery_world.hpp"

namespace dotterellock::testing
{

struct recovery_fault
{
    char const* name;
    std::function<void(recovery_world&, caller&)> strike;
    bool loses_connection = false; // the caller must come back itself
};

/// The agent whose engine works, or the first where work would go.
inline std::string target_agent(recovery_world& world)
{
    std::string const serving = world.serving_agent();
    return serving.empty() ? "a1" : serving;
}

/// Treats every message of the next `window` by the rule.
inline void
disturb(recovery_world& world, duration window, fake_network::rule rule)
{
    world.network.set_rule(std::move(rule));
    world.scheduler.schedule(
        window, [&world] { world.network.set_rule(nullptr); });
}

inline void
pause_router_for(recovery_world& world, caller& c, bool timers_first)
{
    std::string const name = c.router;
    if (world.routers.count(name) == 0 || world.router(name).process.paused())
        return;
    world.pause_router(name);
    world.scheduler.schedule(
        milliseconds(6000),
        [&world, name, timers_first]
        {
            if (world.routers.count(name) != 0)
                world.resume_router(name, timers_first);
        });
}

inline void stop_when_idle(recovery_world& world, std::string const& name)
{
    if (world.routers.count(name) == 0)
        return;
    router_process& r = world.router(name);
    // The router process waits for open responses, not only for the relay.
    bool const responding = std::any_of(
        world.callers.begin(), world.callers.end(),
        [&](auto const& any) { return any->response_under_way(name); });
    if (r.process.paused() || r.relay->open_generations() > 0 || responding)
    {
        world.scheduler.schedule(
            milliseconds(5), [&world, name] { stop_when_idle(world, name); });
        return;
    }
    std::vector<request_id> cut;
    for (auto const& any : world.callers)
    {
        if (any->waits_at(name))
            cut.push_back(any->request.request);
    }
    world.checker.stopped_as_planned(cut);
    world.kill_router(name);
}

inline std::vector<recovery_fault> const& recovery_faults()
{
    using w = recovery_world&;
    static std::vector<recovery_fault> const faults = {
        {"engine dies", [](w world, caller&)
         { world.agent(target_agent(world)).engine.die(); }},
        {"engine pauses and returns",
         [](w world, caller&)
         {
             auto& engine = world.agent(target_agent(world)).engine;
             engine.paused = true;
             world.scheduler.schedule(
                 milliseconds(2000), [&engine] { engine.paused = false; });
         }},
        {"router dies",
         [](w world, caller& c)
         {
             if (world.routers.size() > 1)
                 world.kill_router(c.router);
         },
         true},
        {"router pauses, timers wake first",
         [](w world, caller& c) { pause_router_for(world, c, true); }, true},
        {"router pauses, messages wake first",
         [](w world, caller& c) { pause_router_for(world, c, false); }, true},
        {"agent dies",
         [](w world, caller&) { world.kill_agent(target_agent(world)); }},
        {"agent pauses and returns",
         [](w world, caller&)
         {
             std::string const name = target_agent(world);
             if (!world.agent(name).gate)
                 return;
             world.pause_agent(name);
             world.scheduler.schedule(
                 milliseconds(2000),
                 [&world, name]
                 {
                     if (world.agent(name).gate)
                         world.resume_agent(name);
                 });
         }},
        {"host dies",
         [](w world, caller&) { world.lose_host(target_agent(world)); }},
        {"connection silent to router",
         [](w world, caller& c)
         {
             world.network.silence_towards(
                 peer_id(target_agent(world)), peer_id(c.router));
         }},
        {"connection silent to agent",
         [](w world, caller& c)
         {
             world.network.silence_towards(
                 peer_id(c.router), peer_id(target_agent(world)));
         }},
        {"connection silent both ways",
         [](w world, caller& c) {
             world.network.silence(
                 peer_id(c.router), peer_id(target_agent(world)));
         }},
        {"messages late",
         [](w world, caller&)
         {
             disturb(
                 world, milliseconds(100),
                 [](peer_id const&, peer_id const&, message const&) {
                     return fake_network::treatment{1, milliseconds(300)};
                 });
         }},
        {"messages repeated",
         [](w world, caller&)
         {
             disturb(
                 world, milliseconds(400),
                 [](peer_id const&, peer_id const&, message const&) {
                     return fake_network::treatment{2, {}};
                 });
         }},
        {"messages lost",
         [](w world, caller&)
         {
             disturb(
                 world, milliseconds(100),
                 [](peer_id const&, peer_id const&, message const&) {
                     return fake_network::treatment{0, {}};
                 });
         }},
        {"messages crossed",
         [](w world, caller&)
         {
             disturb(
                 world, milliseconds(600),
                 [&world](peer_id const&, peer_id const&, message const&) {
                     return fake_network::treatment{
                         1, milliseconds(world.random.below(100))};
                 });
         }},
        {"region partition",
         [](w world, caller& c)
         {
             std::string const agent = target_agent(world);
             world.network.partition(peer_id(c.router), peer_id(agent));
             world.scheduler.schedule(
                 milliseconds(2000), [&world] { world.network.heal(); });
         }},
        {"agent drains", [](w world, caller&)
         { world.refusing_agents.insert(target_agent(world)); }},
        {"router stops as planned", [](w world, caller& c)
         {
             // As the shell does it: exits when the last stream has ended.
             std::string const name = c.router;
             world.stopping_routers.insert(name); // readiness off
             world.scheduler.schedule(
                 milliseconds(5),
                 [&world, name] { stop_when_idle(world, name); });
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
