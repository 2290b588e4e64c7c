// Plays seeded schedules of requests, faults and changes against a gateway and
// judges what its callers and endpoints saw.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "checks.hpp"
#include "schedule.hpp"
#include "shrinking.hpp"
#include "world.hpp"

using namespace dotterellock::testing::explorer;

namespace
{

struct outcome
{
    std::vector<violation> violations;
    std::vector<std::string> log;
};

outcome play(schedule const& s)
{
    world w(s.seed);
    for (auto const& x : s.steps)
        w.play(x);
    w.finish();
    return {check(w.seen(), platform_bounds::of(s.seed)), w.log_lines()};
}

bool breaks(schedule const& s, std::string const& rule)
{
    auto const found = play(s).violations;
    return std::any_of(
        found.begin(), found.end(),
        [&rule](violation const& v) { return v.rule == rule; });
}

/// Plays the schedule of a seed. Returns the broken rule with the shrunk
/// schedule and the gateway's log, or nothing.
std::string explore(std::uint64_t seed)
{
    auto const s = generate(seed);
    auto const first = play(s).violations;
    if (first.empty())
        return {};
    auto const rule = first.front().rule;
    auto const shrunk =
        shrink(s, [&rule](schedule const& x) { return breaks(x, rule); });
    auto const last = play(shrunk);
    std::string text = "seed " + std::to_string(seed) + " breaks: " + rule +
                       " (" + first.front().detail + ")\n" + to_text(shrunk);
    for (auto const& v : last.violations)
        text += v.rule + ": " + v.detail + '\n';
    for (auto const& line : last.log)
        text += "  " + line + '\n';
    return text;
}

std::uint64_t number_from_environment(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

// Guards against lost, repeated, mixed and late answers in combinations of
// events that no other test names.
TEST_CASE("seeded schedules break no promise of a gateway", "[explorer]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        auto const broken = explore(seed);
        INFO(broken);
        REQUIRE(broken.empty());
    }
}

// After a stop had closed the idle connection, the request of a caller that
// still read was reset, and what it had not read of its answer was lost.
TEST_CASE(
    "an answer that its caller has not read outlasts its connection",
    "[explorer]")
{
    schedule const s{
        141894,
        {
            {action::request, 0, 0, 0, 0},
            {action::request, 2, 0, 4, 0},
            {action::events, 0, 0, 0, 0},
            {action::pause_reading, 2, 0, 0, 0},
            {action::answer, 0, 0, 198151, 0},
            {action::stop, 0, 0, 0, 0},
            {action::advance, 0, 0, 0, 2560},
            {action::request, 0, 0, 0, 0},
            {action::advance, 0, 0, 0, 20},
            {action::request, 2, 0, 0, 0},
        }};
    std::string broken;
    for (auto const& v : play(s).violations)
        broken += v.rule + ": " + v.detail + '\n';
    INFO(broken);
    REQUIRE(broken.empty());
}

// By hand: make explore SCHEDULES=100000 FAILURES=5
TEST_CASE("many schedules of a gateway", "[.explore]")
{
    auto const first = number_from_environment("SEED", 1);
    auto const count = number_from_environment("SCHEDULES", 1000);
    auto const max_failures = number_from_environment("FAILURES", 1);
    std::size_t failures = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        auto const broken = explore(seed);
        if (broken.empty())
            continue;
        std::cout << "after " << seed - first + 1 << " schedules: " << broken
                  << std::endl;
        if (++failures >= max_failures)
            break;
    }
    REQUIRE(failures == 0);
}
