#include <catch2/catch.hpp>

#include "call_faults.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::size_t step_count = step_names.size();

/// The last column needs a call whose router died while it ran.
std::vector<injection> injections_for(call_fault const& f, std::size_t at)
{
    auto const s = static_cast<step>(at);
    if (s != step::ask_again)
        return {{s, &f}};
    return {{step::run, &find_fault("router dies")}, {s, &f}};
}

struct matrix_row
{
    char const* fault;
    char const* outcomes; // first and last reply for each step
};

struct pair_search
{
    unsigned total = 0;
    unsigned both_injected = 0; // in which both faults injected
    std::string violation;
};

/// All pairs of faults until a promise breaks. The second step rotates, so
/// that over all pairs every combination of steps occurs.
/// @param stride  of first steps; above 1 they rotate too
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
            {{static_cast<step>(at), &call_faults[i]},
             {static_cast<step>(then), &call_faults[j]}},
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

// Each cell is one call with one fault at one step. Guards against a second
// run, a false "not_run", another request's result, a lost or second reply,
// and against a weaker answer than the cell's.
TEST_CASE("call fault matrix")
{
    auto const& row = GENERATE(values<matrix_row>({
        // place claim answr disp redeem run  servc reslt row  ask
        {"agent dies", "dd uu uu uu uu uu uu uu dd -u"},
        {"agent restarts", "dd uu uu uu uu uu uu uu dd -u"},
        {"agent pauses", "dd nn nn nn dd dd dd dd dd -d"},
        {"router dies", "-d -d -n -n -d -d -d -d dd -d"},
        {"router pauses", "dd dd nn nn dd dd dd dd dd -d"},
        {"second router races", "dd dd dd dd dd dd dd dd dd -d"},
        {"silent to agent", "nn nn nn nn dd dd dd dd dd -d"},
        {"silent from agent", "dd dd dd dd dd dd dd dd dd -d"},
        {"message late", "nn nn nn nn dd dd dd dd dd -d"},
        {"message repeated", "dd dd dd dd dd dd dd dd dd -d"},
        {"message lost", "nn nn nn nn dd dd dd dd dd -d"},
        {"messages crossed", "dd dd dd dd dd dd dd dd dd -d"},
        {"store down", "rd rd dd dd dd dd dd dd dd -d"},
        {"store silent", "nn nn dd dd dd dd dd dd dd -d"},
        {"store slow", "nn nn dd dd dd dd dd dd dd -d"},
        {"store answer lost", "dd dd dd dd dd dd dd dd dd -d"},
        {"store answers lost", "nn nn dd dd dd dd dd dd dd -d"},
        {"write applied late", "dd dd dd dd dd dd dd dd dd -d"},
        {"router stops", "dd dd dd dd dd dd dd dd dd -d"},
        {"agent stops", "dd dd dd dd dd dd dd dd dd -d"},
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

// Guards against a repeatable call that ends with its first endpoint, or that
// needs the store.
TEST_CASE("fault matrix of repeatable calls")
{
    constexpr std::array steps = {step::place,          step::dispatch,
                                  step::redeem,         step::run,
                                  step::service_answer, step::result};
    auto const& row = GENERATE(values<matrix_row>({
        // place, dispatch, redeem, run, service answer, result
        {"agent dies", "dddddd"},
        {"agent restarts", "dddddd"},
        {"agent pauses", "dddddd"},
        {"router dies", "------"},
        {"router pauses", "dddddd"},
        {"silent to agent", "dddddd"},
        {"silent from agent", "dddddd"},
        {"message late", "dddddd"},
        {"message repeated", "dddddd"},
        {"message lost", "dddddd"},
        {"messages crossed", "dddddd"},
        {"store down", "dddddd"},
        {"store silent", "dddddd"},
        {"router stops", "dddddd"},
        {"agent stops", "dddddd"},
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

// Guards against two faults that each are survived alone.
TEST_CASE("pairs of faults in calls")
{
    pair_search const search = search_pairs(mutant::none, 4);
    CHECK(search.violation == "");
    CHECK(
        search.both_injected >
        search.total / 2); // the second fault is not idle
}

// Four times as many; run by name: dotterellock_tests "[exhaustive]"
TEST_CASE("all pairs of faults in calls", "[.][exhaustive]")
{
    CHECK(search_pairs(mutant::none, 1).violation == "");
}

// Guards against a defence that holds only once.
TEST_CASE("the same fault twice in calls")
{
    for (auto const& f : call_faults)
    {
        for (std::size_t at = 0; at < step_count; ++at)
        {
            for (std::size_t then = at; then < step_count; ++then)
            {
                auto const run = run_call(
                    {{static_cast<step>(at), &f},
                     {static_cast<step>(then), &f}});
                INFO(
                    f.name << " at " << step_names[at] << " and "
                           << step_names[then]);
                CHECK(run.violation == "");
            }
        }
    }
}

// The checks are worth something only if they notice these defects.
TEST_CASE("the call matrix catches broken variants")
{
    auto const defect = GENERATE(
        mutant::permits_unchecked, mutant::gate_forgets_closed,
        mutant::gate_runs_duplicates, mutant::gate_accepts_any_dispatch,
        mutant::dispatch_after_unknown, mutant::gate_keeps_incarnation,
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
