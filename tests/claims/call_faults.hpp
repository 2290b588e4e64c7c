// The faults of the matrix and one run of a call under some of them.
#ifndef DOTTERELLOCK_TESTS_CALL_FAULTS_HPP
#define DOTTERELLOCK_TESTS_CALL_FAULTS_HPP

#include "call_rig.hpp"

namespace dotterellock::testing
{

struct fault
{
    char const* name;
    std::function<void(call_rig&)> strike;
};

struct injection
{
    step at;
    fault const* what;
};

inline void ask_later(call_rig& rig, duration delay)
{
    rig.scheduler.schedule(delay, [&rig] { rig.submit(1, "org/k"); });
}

inline fault
store_fault(char const* name, fake_table_service::mode mode, duration lasting)
{
    return {
        name, [=](call_rig& rig)
        {
            rig.store.current = mode;
            rig.scheduler.schedule(lasting, [&rig] { rig.store.current = {}; });
        }};
}

/// Strikes the first message about the call that is sent from now on; those
/// about other calls pass.
struct first_of_call
{
    bool operator()(message const& m) const
    {
        return *request_of(m) == request_id("org/k") &&
               !std::exchange(*used, true);
    }
    std::shared_ptr<bool> used = std::make_shared<bool>(false);
};

inline fault message_fault(char const* name, fake_network::treatment t)
{
    return {
        name, [t](call_rig& rig)
        {
            rig.network.set_rule(
                [t, strikes = first_of_call()](
                    peer_id const&, peer_id const&, message const& m)
                { return strikes(m) ? t : fake_network::treatment{}; });
        }};
}

/// Every message twice, and the call's next one a third time much later.
inline void repeat_messages(call_rig& rig)
{
    rig.network.set_rule(
        [&rig, strikes = first_of_call()](
            peer_id const& from, peer_id const& to, message const& m)
        {
            if (strikes(m))
                rig.scheduler.schedule(
                    1500ms, [&rig, from, to, m]
                    { rig.network.transport_of(from).send(to, m); });
            return fake_network::treatment{2, {}};
        });
}

inline void stop_when_idle(
    call_rig& rig, std::function<bool()> idle, std::function<void()> stop)
{
    rig.scheduler.schedule(
        10ms,
        [&rig, idle, stop]
        {
            if (idle())
                rig.scheduler.schedule(50ms, stop); // frames leave first
            else
                stop_when_idle(rig, idle, stop);
        });
}

inline void stop_router(call_rig& rig)
{
    auto& r = *rig.routers[0];
    stop_when_idle(
        rig, [&r] { return r.coordinator.open_calls() == 0; },
        [&rig] { rig.kill_router(0); });
}

/// Offers nothing more, waits for its permits and its calls.
inline void stop_agent(call_rig& rig)
{
    auto& a = *rig.agents[0];
    a.draining = true;
    rig.scheduler.schedule(
        500ms,
        [&rig, &a]
        {
            stop_when_idle(
                rig, [&a] { return a.gates.back()->running_calls() == 0; },
                [&rig] { rig.kill_agent(0); });
        });
}

using store_mode = fake_table_service::mode;
inline std::vector<fault> const call_faults = {
    {"agent dies", [](call_rig& rig) { rig.kill_agent(0); }},
    {"agent restarts", [](call_rig& rig) { rig.restart_agent(0); }},
    {"agent pauses",
     [](call_rig& rig)
     {
         auto& p = rig.agents[0]->p;
         p.pause();
         rig.scheduler.schedule(3s, [&p] { p.resume(); });
     }},
    {"router dies",
     [](call_rig& rig)
     {
         rig.kill_router(0);
         ask_later(rig, 500ms);
     }},
    {"router pauses",
     [](call_rig& rig)
     {
         auto& p = rig.routers[0]->p;
         p.pause();
         rig.scheduler.schedule(3s, [&p] { p.resume(); });
         ask_later(rig, 1s);
     }},
    {"second router races", [](call_rig& rig) { rig.submit(1, "org/k"); }},
    {"silent to agent", [](call_rig& rig)
     { rig.network.silence_towards(peer_id("r1"), peer_id("a1")); }},
    {"silent from agent", [](call_rig& rig)
     { rig.network.silence_towards(peer_id("a1"), peer_id("r1")); }},
    message_fault("message late", {1, 1s}),
    {"message repeated", repeat_messages},
    message_fault("message lost", {0, {}}),
    message_fault("messages crossed", {1, 20ms}),
    store_fault("store down", store_mode::down, 3s),
    store_fault("store silent", store_mode::silent, 3s),
    {"store slow",
     [](call_rig& rig)
     {
         rig.store.delay = 700ms;
         rig.scheduler.schedule(3s, [&rig] { rig.store.delay = 2ms; });
     }},
    {"store answer lost", [](call_rig& rig) { rig.lose_answer = true; }},
    store_fault("store answers lost", store_mode::loses_answers, 3s),
    store_fault("write applied late", store_mode::applies_late, 100ms),
    {"router stops", stop_router},
    {"agent stops", stop_agent},
};

inline fault const& fault_named(std::string const& name)
{
    for (auto const& f : call_faults)
    {
        if (f.name == name)
            return f;
    }
    throw std::out_of_range(name);
}

struct call_run
{
    char first = '-'; // what the caller was told: d(one), n(ot run, final),
    char last = '-';  // r(efused, may be submitted again), u(nknown), - none
    unsigned struck = 0;
    std::string broken; // promise; empty when all hold
};

inline char letter_of(call_rig::submission const& s)
{
    if (s.replies.empty())
        return '-';
    auto const& r = s.replies[0];
    if (r.outcome == call_outcome::done)
        return 'd';
    if (r.outcome == call_outcome::unknown)
        return 'u';
    return call_rig::is_final(r) ? 'n' : 'r';
}

/// Submits a call, strikes, lets everything heal and asks again.
inline call_run run_call(
    std::vector<injection> const& injections, mutant defect = mutant::none,
    bool repeatable = false)
{
    call_rig rig(defect);
    call_run result;
    rig.on_step = [&](step at)
    {
        if (result.struck < injections.size() &&
            injections[result.struck].at == at)
            injections[result.struck++].what->strike(rig);
    };
    rig.submit(1, "org/other", repeatable);
    auto const& first = rig.submit(0, "org/k", repeatable);
    rig.scheduler.advance(12s);
    auto const* last = &first;
    for (std::size_t const at : {1u, 0u, 1u})
    {
        if (repeatable || rig.routers[at]->p.dead)
            continue;
        last = &rig.submit(at, "org/k");
        rig.scheduler.advance(6s);
    }
    result.first = letter_of(first);
    result.last = letter_of(*last);
    for (auto const* key : {"org/k", "org/other"})
    {
        if (result.broken.empty())
            result.broken = rig.broken_promise(key, repeatable);
    }
    return result;
}

} // namespace dotterellock::testing

#endif
