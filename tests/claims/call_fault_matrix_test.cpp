#include <catch2/catch.hpp>

#include "call_faults.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::size_t step_count = step_names.size();

/// The query step occurs only for a call whose router was killed while it ran.
std::vector<injection> injections_for(call_fault const& f, std::size_t at)
{
    auto const s = static_cast<call_step>(at);
    if (s != call_step::query)
        return {{s, &f}};
    return {{call_step::run, &find_fault("router killed")}, {s, &f}};
}

struct matrix_row
{
    char const* fault;
    char const* outcomes; // first and last outcome letter for each step
};

struct pair_search
{
    unsigned total = 0;
    unsigned both_injected = 0; // runs in which both faults occurred
    std::string violation;
};

/// Runs all pairs of faults until a guarantee is violated. The step of the
/// second fault rotates, so that every combination of steps occurs over all
/// pairs.
/// @param stride  runs every stride-th combination of pair and first step, so
///                that the first step rotates too if it is above 1
pair_search search_pairs(mutant defect, std::size_t stride)
{
    pair_search search;
    auto const count = call_faults.size();
    for (std::size_t n = 0; n < count * count * (step_count - 1); n += stride)
    {
        auto const at = n % (step_count - 1);
        auto const i = n / (step_count - 1) % count;
        auto const j = n / (step_count - 1) / count;
        auto const then = at + (i + j + at) % (step_count - at);
        auto const run = run_call(
            {{static_cast<call_step>(at), &call_faults[i]},
             {static_cast<call_step>(then), &call_faults[j]}},
            defect);
        ++search.total;
        search.both_injected += run.injected == 2 ? 1 : 0;
        if (run.violation.empty())
            continue;
        search.violation = std::string(call_faults[i].name) + " at " +
                           step_names[at] + ", then " + call_faults[j].name +
                           " at " + step_names[then] + ": " + run.violation;
        return search;
    }
    return search;
}

} // namespace

// Runs one call for each fault and step. Guards against a second run, a wrong
// not_run, the result of another request, a missing or second reply, and
// outcomes that are less definite than the expected ones.
TEST_CASE("call fault matrix")
{
    auto const& row = GENERATE(values<matrix_row>({
        // place claim answr disp redeem run  servc reslt row  query
        {"agent killed", "dd uu uu uu uu uu uu uu dd -u"},
        {"agent restarted", "dd uu uu uu uu uu uu uu dd -u"},
        {"agent paused", "dd nn nn nn dd dd dd dd dd -d"},
        {"router killed", "-d -d -n -n -d -d -d -d dd -d"},
        {"router paused", "dd dd nn nn dd dd dd dd dd -d"},
        {"second router submits", "dd dd dd dd dd dd dd dd dd -d"},
        {"messages to agent dropped", "nn nn nn nn dd dd dd dd dd -d"},
        {"messages from agent dropped", "dd dd dd dd dd dd dd dd dd -d"},
        {"message delayed", "nn nn nn nn dd dd dd dd dd -d"},
        {"messages duplicated", "dd dd dd dd dd dd dd dd dd -d"},
        {"message lost", "nn nn nn nn dd dd dd dd dd -d"},
        {"messages reordered", "dd dd dd dd dd dd dd dd dd -d"},
        {"store unavailable", "rd rd dd dd dd dd dd dd dd -d"},
        {"store unresponsive", "nn nn dd dd dd dd dd dd dd -d"},
        {"store slow", "nn nn dd dd dd dd dd dd dd -d"},
        {"one store answer lost", "dd dd dd dd dd dd dd dd dd -d"},
        {"all store answers lost", "nn nn dd dd dd dd dd dd dd -d"},
        {"store write applied late", "dd dd dd dd dd dd dd dd dd -d"},
        {"router shut down", "dd dd dd dd dd dd dd dd dd -d"},
        {"agent shut down", "dd dd dd dd dd dd dd dd dd -d"},
    }));
    std::string seen;
    for (std::size_t at = 0; at < step_count; ++at)
    {
        auto const steps = injections_for(find_fault(row.fault), at);
        auto const run = run_call(steps);
        INFO(row.fault << " at " << step_names[at]);
        CHECK(run.violation == "");
        CHECK(run.injected == steps.size());
        seen += std::string(seen.empty() ? "" : " ") + run.first_outcome +
                run.last_outcome;
    }
    INFO(row.fault);
    CHECK(seen == row.outcomes);
}

// Guards against a repeatable call that fails with its first endpoint or
// depends on the store.
TEST_CASE("repeatable call fault matrix")
{
    constexpr std::array steps = {
        call_step::place, call_step::dispatch,       call_step::redeem,
        call_step::run,   call_step::service_answer, call_step::result};
    auto const& row = GENERATE(values<matrix_row>({
        // place, dispatch, redeem, run, service answer, result
        {"agent killed", "dddddd"},
        {"agent restarted", "dddddd"},
        {"agent paused", "dddddd"},
        {"router killed", "------"},
        {"router paused", "dddddd"},
        {"messages to agent dropped", "dddddd"},
        {"messages from agent dropped", "dddddd"},
        {"message delayed", "dddddd"},
        {"messages duplicated", "dddddd"},
        {"message lost", "dddddd"},
        {"messages reordered", "dddddd"},
        {"store unavailable", "dddddd"},
        {"store unresponsive", "dddddd"},
        {"router shut down", "dddddd"},
        {"agent shut down", "dddddd"},
    }));
    std::string seen;
    for (auto const at : steps)
    {
        auto const run =
            run_call({{at, &find_fault(row.fault)}}, mutant::none, true);
        INFO(row.fault << " at " << step_names[static_cast<std::size_t>(at)]);
        CHECK(run.violation == "");
        CHECK(run.injected == 1);
        seen += run.first_outcome;
    }
    INFO(row.fault);
    CHECK(seen == row.outcomes);
}

// Guards against pairs of faults that are handled only one at a time.
TEST_CASE("pairs of faults in a call")
{
    pair_search const search = search_pairs(mutant::none, 4);
    CHECK(search.violation == "");
    // In most runs the second fault must take effect.
    CHECK(search.both_injected > search.total / 2);
}

// Four times as many runs as above, so hidden by default. Run it with
// dotterellock_tests "[exhaustive]".
TEST_CASE("all pairs of faults in a call", "[.][exhaustive]")
{
    CHECK(search_pairs(mutant::none, 1).violation == "");
}

// Guards against protection that works only for the first fault.
TEST_CASE("the same fault twice in a call")
{
    for (auto const& f : call_faults)
    {
        for (std::size_t at = 0; at < step_count; ++at)
        {
            for (std::size_t then = at; then < step_count; ++then)
            {
                auto const run = run_call(
                    {{static_cast<call_step>(at), &f},
                     {static_cast<call_step>(then), &f}});
                INFO(
                    f.name << " at " << step_names[at] << " and "
                           << step_names[then]);
                CHECK(run.violation == "");
            }
        }
    }
}

// Guards against checks that miss a defect. permits_unchecked is the exception:
// it is safe alone and must not be reported.
TEST_CASE("the call fault matrix detects deliberate defects")
{
    auto const defect = GENERATE(
        mutant::permits_unchecked, mutant::runner_ignores_close,
        mutant::runner_runs_duplicates, mutant::runner_accepts_any_dispatch,
        mutant::dispatch_after_unknown, mutant::runner_keeps_incarnation,
        mutant::conflict_ignored, mutant::not_run_on_timeout,
        mutant::answers_swapped, mutant::replies_twice);
    std::string caught;
    for (auto const& f : call_faults)
    {
        for (std::size_t at = 0; at < step_count && caught.empty(); ++at)
            caught = run_call(injections_for(f, at), defect).violation;
    }
    if (caught.empty() && defect != mutant::permits_unchecked)
        caught = search_pairs(defect, 1).violation;
    INFO("mutant " << static_cast<int>(defect) << ": " << caught);
    CHECK(caught.empty() == (defect == mutant::permits_unchecked));
}
