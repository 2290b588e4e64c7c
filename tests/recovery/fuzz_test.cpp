// Seeded random sequences of the faults of the fault matrix. Runs a short fixed
// set of seeds by default. DOTTERELLOCK_FUZZ_SEEDS=N runs seeds 1 to N instead;
// DOTTERELLOCK_FUZZ_SEED=S replays one seed and prints its messages.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "recovery_faults.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::uint64_t fixed_seeds = 150;

/// At most two of three routers and of three agents may fail, so that one
/// remains.
struct fault_budget
{
    unsigned routers = 2;
    unsigned agents = 2;

    bool take(recovery_fault const& fault)
    {
        std::string const name = fault.name;
        bool const router =
            name == "router dies" || name == "router stops as planned";
        bool const agent = name == "engine dies" || name == "agent dies" ||
                           name == "host dies" || name == "agent drains";
        unsigned unlimited = 1;
        unsigned& left = router ? routers : agent ? agents : unlimited;
        if (left == 0)
            return false;
        --left;
        return true;
    }
};

void run_seed(std::uint64_t seed, std::ostream* trace = nullptr)
{
    seeded_random random(seed);
    simulation_settings settings;
    settings.answer_length = static_cast<token_index>(1 + random.below(120));
    settings.token_time = milliseconds(5 + random.below(60));
    recovery_simulation simulation(settings);
    simulation.trace = trace;
    simulation.random = seeded_random(seed + 1);
    simulation.network.set_delay(milliseconds(random.below(25)));
    fault_budget budget;
    auto const& faults = recovery_faults();
    std::uint64_t const callers = 1 + random.below(3);
    for (std::uint64_t i = 1; i <= callers; ++i)
        simulation.add_caller(
            "c" + std::to_string(i), "r" + std::to_string(1 + random.below(3)));
    std::string fault_schedule;
    std::uint64_t const count = 1 + random.below(5);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        auto const& fault = faults[random.below(faults.size())];
        if (!budget.take(fault))
            continue;
        auto const at = milliseconds(random.below(4000));
        caller& c = *simulation.callers[random.below(callers)];
        fault_schedule +=
            std::to_string(at.count()) + " ms " + fault.name + "; ";
        simulation.scheduler.schedule(
            at, [&simulation, &fault, &c] { fault.inject(simulation, c); });
        if (random.below(3) == 0)
            simulation.scheduler.schedule(
                at + milliseconds(random.below(500)), [&c] { c.reconnect(); });
    }
    INFO(
        "replay with DOTTERELLOCK_FUZZ_SEED=" << seed << ": "
                                              << fault_schedule);
    CHECK(simulation.run_until_done(std::chrono::seconds(180)));
    CHECK(simulation.checker.report_text() == "");
}

std::uint64_t number_from(char const* variable)
{
    char const* const text = std::getenv(variable);
    return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against fault sequences that no other test covers.
TEST_CASE("Random fault sequences", "[recovery][fuzz]")
{
    if (std::uint64_t const seed = number_from("DOTTERELLOCK_FUZZ_SEED"))
    {
        run_seed(seed, &std::cout);
        return;
    }
    std::uint64_t const more = number_from("DOTTERELLOCK_FUZZ_SEEDS");
    std::uint64_t const last = more == 0 ? fixed_seeds : more;
    for (std::uint64_t seed = 1; seed <= last; ++seed)
        run_seed(seed);
}
