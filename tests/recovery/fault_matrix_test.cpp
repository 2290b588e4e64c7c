// Fault matrix of recovery: every fault at every step, pairs of faults, and the
// same fault twice. docs/fault-matrix.md lists the rows.
#include <catch2/catch.hpp>

#include "recovery_faults.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

// Callers accept a few seconds without progress; output must resume within 3 s.
constexpr milliseconds resume_target{3000};

/// Runs one answer with a fault at a step and optionally a second one later.
void run_cell(
    recovery_step step, recovery_fault const& first,
    recovery_fault const* second = nullptr, duration second_after = {})
{
    recovery_simulation simulation;
    // Longer than a router pause, but short to keep sanitizer runs fast.
    simulation.policy.settings.recovery.grace_period = std::chrono::seconds(10);
    caller& c = simulation.add_caller("c1", "r1");
    caller& other = simulation.add_caller("c2", "r2");
    bool injected = false;
    simulation.on_step = [&](recovery_step reached)
    {
        // The reconnect step is triggered in the middle of the answer.
        if (step == recovery_step::caller_reconnect &&
            reached == recovery_step::mid_stream)
            c.reconnect();
        if (reached != step || injected)
            return;
        injected = true;
        first.inject(simulation, c);
        if (second != nullptr)
            simulation.scheduler.schedule(
                second_after, [&] { second->inject(simulation, c); });
    };
    bool const done = simulation.run_until_done(std::chrono::seconds(60));
    CHECK(done);
    CHECK(injected);
    CHECK(simulation.checker.report_text() == "");
    CHECK(simulation.checker.received(c.request.request).size() == 60);
    CHECK(simulation.checker.received(other.request.request).size() == 60);
    bool const lost = first.loses_connection ||
                      (second != nullptr && second->loses_connection);
    if (!lost)
    {
        CHECK(c.progress_timeouts == 0);
        CHECK(c.errors == 0);
        if (second == nullptr)
            CHECK(c.longest_gap <= resume_target);
    }
    simulation.scheduler.advance(std::chrono::seconds(25));
    for (auto const& [name, a] : simulation.agents)
    {
        INFO("permits and runs left at " << name);
        if (!a->runner)
            continue;
        CHECK(a->permits.held.empty());
        CHECK(a->engine.running() == 0);
        CHECK(a->runner->buffered_tokens() == 0);
    }
}

} // namespace

// Checks guarantees G1 to G3 and the resume target: the caller must receive its
// complete answer after any single fault at any step.
TEST_CASE("One fault at each step", "[recovery][matrix]")
{
    for (auto const& step : recovery_steps())
    {
        for (auto const& fault : recovery_faults())
        {
            DYNAMIC_SECTION(step.name << " / " << fault.name)
            {
                run_cell(step.step, fault);
            }
        }
    }
}

// Guards against recovery that fails when a second fault follows. Runs every
// pair of faults and each fault twice: the second fault occurs while the first
// is being detected, or after the answer has resumed.
TEST_CASE("Pairs of faults", "[recovery][matrix]")
{
    auto const step =
        GENERATE(recovery_step::first_token, recovery_step::mid_stream);
    auto const after = GENERATE(milliseconds(20), milliseconds(700));
    for (auto const& first : recovery_faults())
    {
        for (auto const& second : recovery_faults())
        {
            DYNAMIC_SECTION(
                (step == recovery_step::mid_stream ? "mid-stream"
                                                   : "first token")
                << " / " << first.name << " + " << second.name << " after "
                << after.count() << " ms")
            {
                run_cell(step, first, &second, after);
            }
        }
    }
}
