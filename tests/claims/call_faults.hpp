// Faults of the call fault matrix, and a function that runs one call with some
// of them injected.
#ifndef DOTTERELLOCK_TESTS_CALL_FAULTS_HPP
#define DOTTERELLOCK_TESTS_CALL_FAULTS_HPP

#include "call_fixture.hpp"

namespace dotterellock::testing
{

struct call_fault
{
    char const* name;
    std::function<void(call_fixture&)> inject;
};

struct injection
{
    call_step at;
    call_fault const* fault;
};

inline void resubmit_later(call_fixture& fixture, duration delay)
{
    fixture.scheduler.schedule(
        delay, [&fixture] { fixture.submit(1, "org/k"); });
}

inline call_fault
store_fault(char const* name, fake_table_service::mode mode, duration lasting)
{
    return {
        name, [=](call_fixture& fixture)
        {
            fixture.store.current = mode;
            fixture.scheduler.schedule(
                lasting, [&fixture] { fixture.store.current = {}; });
        }};
}

/// Matches the first message about org/k that is sent from now on, and none
/// about other calls.
struct first_message_of_call
{
    bool operator()(message const& m) const
    {
        return *request_of(m) == request_id("org/k") &&
               !std::exchange(*used, true);
    }
    std::shared_ptr<bool> used = std::make_shared<bool>(false);
};

inline call_fault message_fault(char const* name, fake_network::delivery_plan t)
{
    return {
        name, [t](call_fixture& fixture)
        {
            fixture.network.set_delivery_rule(
                [t, matches = first_message_of_call()](
                    peer_id const&, peer_id const&, message const& m)
                { return matches(m) ? t : fake_network::delivery_plan{}; });
        }};
}

/// Sends every message twice, and the next one about org/k a third time 1.5 s
/// later.
inline void duplicate_messages(call_fixture& fixture)
{
    fixture.network.set_delivery_rule(
        [&fixture, matches = first_message_of_call()](
            peer_id const& from, peer_id const& to, message const& m)
        {
            if (matches(m))
                fixture.scheduler.schedule(
                    1500ms, [&fixture, from, to, m]
                    { fixture.network.transport_of(from).send(to, m); });
            return fake_network::delivery_plan{2, {}};
        });
}

inline void stop_when_idle(
    call_fixture& fixture, std::function<bool()> idle,
    std::function<void()> stop)
{
    fixture.scheduler.schedule(
        10ms,
        [&fixture, idle, stop]
        {
            if (idle())
                fixture.scheduler.schedule(50ms, stop); // send messages first
            else
                stop_when_idle(fixture, idle, stop);
        });
}

inline void stop_router(call_fixture& fixture)
{
    auto& r = *fixture.routers[0];
    stop_when_idle(
        fixture, [&r] { return r.coordinator.open_calls() == 0; },
        [&fixture] { fixture.kill_router(0); });
}

/// Stops offering, waits for outstanding permits to expire and for running
/// calls to finish, then exits.
inline void stop_agent(call_fixture& fixture)
{
    auto& a = *fixture.agents[0];
    a.draining = true;
    fixture.scheduler.schedule(
        500ms,
        [&fixture, &a]
        {
            stop_when_idle(
                fixture,
                [&a] { return a.runners.back()->running_calls() == 0; },
                [&fixture] { fixture.kill_agent(0); });
        });
}

using store_mode = fake_table_service::mode;
inline std::vector<call_fault> const call_faults = {
    {"agent killed", [](call_fixture& fixture) { fixture.kill_agent(0); }},
    {"agent restarted",
     [](call_fixture& fixture) { fixture.restart_agent(0); }},
    {"agent paused",
     [](call_fixture& fixture)
     {
         auto& process = fixture.agents[0]->process;
         process.pause();
         fixture.scheduler.schedule(3s, [&process] { process.resume(); });
     }},
    {"router killed",
     [](call_fixture& fixture)
     {
         fixture.kill_router(0);
         resubmit_later(fixture, 500ms);
     }},
    {"router paused",
     [](call_fixture& fixture)
     {
         auto& process = fixture.routers[0]->process;
         process.pause();
         fixture.scheduler.schedule(3s, [&process] { process.resume(); });
         resubmit_later(fixture, 1s);
     }},
    {"second router submits",
     [](call_fixture& fixture) { fixture.submit(1, "org/k"); }},
    {"messages to agent dropped", [](call_fixture& fixture)
     { fixture.network.silence_towards(peer_id("r1"), peer_id("a1")); }},
    {"messages from agent dropped", [](call_fixture& fixture)
     { fixture.network.silence_towards(peer_id("a1"), peer_id("r1")); }},
    message_fault("message delayed", {1, 1s}),
    {"messages duplicated", duplicate_messages},
    message_fault("message lost", {0, {}}),
    message_fault("messages reordered", {1, 20ms}),
    store_fault("store unavailable", store_mode::down, 3s),
    store_fault("store unresponsive", store_mode::silent, 3s),
    {"store slow",
     [](call_fixture& fixture)
     {
         fixture.store.delay = 700ms;
         fixture.scheduler.schedule(
             3s, [&fixture] { fixture.store.delay = 2ms; });
     }},
    {"one store answer lost",
     [](call_fixture& fixture) { fixture.lose_next_store_answer = true; }},
    store_fault("all store answers lost", store_mode::loses_answers, 3s),
    store_fault("store write applied late", store_mode::applies_late, 100ms),
    {"router shut down", stop_router},
    {"agent shut down", stop_agent},
};

inline call_fault const& find_fault(std::string const& name)
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
    // Outcome letters: d done, n not_run (final), r refused (may be submitted
    // again), u unknown, - no reply.
    char first_outcome = '-';
    char last_outcome = '-';
    unsigned injected = 0;
    std::string violation; // empty if all guarantees hold
};

inline char outcome_letter(call_fixture::submission const& s)
{
    if (s.replies.empty())
        return '-';
    auto const& r = s.replies[0];
    if (r.outcome == call_outcome::done)
        return 'd';
    if (r.outcome == call_outcome::unknown)
        return 'u';
    return call_fixture::is_final(r) ? 'n' : 'r';
}

/// Submits a call, injects the faults, waits for recovery and submits the call
/// again.
inline call_run run_call(
    std::vector<injection> const& injections, mutant defect = mutant::none,
    bool repeatable = false)
{
    call_fixture fixture(defect);
    call_run result;
    fixture.on_step = [&](call_step at)
    {
        if (result.injected < injections.size() &&
            injections[result.injected].at == at)
            injections[result.injected++].fault->inject(fixture);
    };
    fixture.submit(1, "org/other", repeatable);
    auto const& first = fixture.submit(0, "org/k", repeatable);
    fixture.scheduler.advance(12s);
    auto const* last = &first;
    for (std::size_t const at : {1u, 0u, 1u})
    {
        if (repeatable || fixture.routers[at]->process.dead)
            continue;
        last = &fixture.submit(at, "org/k");
        fixture.scheduler.advance(6s);
    }
    result.first_outcome = outcome_letter(first);
    result.last_outcome = outcome_letter(*last);
    for (auto const* key : {"org/k", "org/other"})
    {
        if (result.violation.empty())
            result.violation = fixture.violated_invariant(key, repeatable);
    }
    return result;
}

} // namespace dotterellock::testing

#endif
