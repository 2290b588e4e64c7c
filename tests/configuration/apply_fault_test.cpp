#include "configuration_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

struct store_fault
{
    char const* name;
    store_mode mode;
};

std::vector<store_fault> const store_faults = {
    {"down", store_mode::down},
    {"silent", store_mode::silent},
    {"answer lost", store_mode::loses_answers},
    {"applied late", store_mode::applies_late}};

/// Numbers of the operator's store calls while it applies version 2.
struct apply_step
{
    char const* name;
    std::size_t call;
};

std::vector<apply_step> const apply_steps = {
    {"read", 0},   {"read document", 1},  {"history", 2}, {"write", 3},
    {"answer", 4}, {"rollout status", 5}, {"accepted", 9}};

void record_first_version(configuration_fixture& f)
{
    operator_run& first = f.apply(100, std::nullopt);
    REQUIRE(f.finish(first));
    REQUIRE(first.result->outcome == apply_outcome::accepted);
    REQUIRE(first.result->version == 1);
}

unsigned quantum_at(configuration_fixture const& f, std::size_t i)
{
    return f.fleet[i]->node.current().queue.quantum_tokens;
}

} // namespace

// Guards against a version that is reported as accepted before it is in force,
// recorded twice or lost when one or several successive store calls of an
// apply fail.
TEST_CASE("apply completes despite each store fault at each step")
{
    auto const step = GENERATE(from_range(apply_steps));
    auto const fault = GENERATE(from_range(store_faults));
    auto const times = GENERATE(1u, 2u, 5u);
    CAPTURE(step.name, fault.name, times);
    configuration_fixture f;
    record_first_version(f);
    operator_run& second = f.apply(200, 1);
    second.process.fail_calls(step.call, times, fault.mode);
    REQUIRE(f.finish(second));
    REQUIRE(second.result->outcome == apply_outcome::accepted);
    REQUIRE(second.result->version == 2);
    REQUIRE(f.all_at_version(2));
    REQUIRE(quantum_at(f, 8) == 200);
    REQUIRE(f.history() == std::vector<configuration_version>{2, 1});
    f.run(seconds(3)); // a delayed write must change nothing
    REQUIRE(f.history() == std::vector<configuration_version>{2, 1});
}

// Guards against a wrong outcome when the store becomes unavailable at some
// step and stays so: before the write nothing may be recorded, during the write
// the outcome is unknown, after it the version is recorded.
TEST_CASE("apply reports the outcome when the store stays unavailable")
{
    auto const [call, mode, expected] =
        GENERATE(table<std::size_t, store_mode, apply_outcome>({
            {0, store_mode::down, apply_outcome::unavailable},
            {2, store_mode::silent, apply_outcome::unavailable},
            {3, store_mode::down, apply_outcome::unavailable},
            {3, store_mode::silent, apply_outcome::unknown},
            {3, store_mode::loses_answers, apply_outcome::unknown},
            {4, store_mode::down, apply_outcome::not_accepted},
            {5, store_mode::silent, apply_outcome::not_accepted},
        }));
    CAPTURE(call, to_string(expected));
    configuration_fixture f;
    record_first_version(f);
    operator_run& second = f.apply(200, 1, seconds(20));
    second.process.fail_calls(call, 1000, mode);
    REQUIRE(f.finish(second));
    REQUIRE(second.result->outcome == expected);
    bool const recorded = f.history().front() == 2;
    if (expected == apply_outcome::unavailable)
        REQUIRE_FALSE(recorded);
    if (expected == apply_outcome::not_accepted)
        REQUIRE(recorded);
}

// Guards against a partially recorded version when the tool dies at any step:
// the whole fleet has either the old or the new version, and the next apply
// succeeds.
TEST_CASE("the operators' tool dies at each step of an apply")
{
    auto const step = GENERATE(from_range(apply_steps));
    CAPTURE(step.name);
    configuration_fixture f;
    record_first_version(f);
    operator_run& second = f.apply(200, 1);
    second.process.set_before_call(
        [&](std::size_t call)
        {
            if (call == step.call)
                second.process.pause();
        });
    f.run(seconds(10));
    configuration_version const current = f.history().front();
    REQUIRE(f.all_at_version(current));
    operator_run& third = f.apply(300, current);
    REQUIRE(f.finish(third));
    REQUIRE(third.result->outcome == apply_outcome::accepted);
    REQUIRE(f.history().size() == current + 1);
    // The tool was only paused and continues with stale data.
    second.process.resume();
    REQUIRE(f.finish(second));
    f.run(seconds(3));
    REQUIRE(f.history().size() == current + 1);
    bool const lost = second.result->outcome == apply_outcome::conflict;
    REQUIRE(lost == (current == 1));
}

// Guards against lost updates: of two concurrent applies, also when answers are
// lost, exactly one succeeds and the other returns the diff to the version it
// would overwrite.
TEST_CASE("one of two concurrent applies succeeds")
{
    auto const step = GENERATE(from_range(apply_steps));
    auto const mode = GENERATE(
        store_mode::normal, store_mode::loses_answers, store_mode::silent);
    auto const lead =
        GENERATE(milliseconds(0), milliseconds(3), milliseconds(9));
    CAPTURE(step.name, static_cast<int>(mode), lead.count());
    configuration_fixture f;
    record_first_version(f);
    operator_run& left = f.apply(200, 1);
    left.process.fail_calls(step.call, 1, mode);
    f.scheduler.advance(lead);
    operator_run& right = f.apply(300, 1);
    REQUIRE(f.finish(left));
    REQUIRE(f.finish(right));
    operator_run& winner =
        right.result->outcome == apply_outcome::conflict ? left : right;
    operator_run& loser = &winner == &left ? right : left;
    REQUIRE(winner.result->outcome == apply_outcome::accepted);
    REQUIRE(loser.result->outcome == apply_outcome::conflict);
    REQUIRE(loser.result->version == 2);
    std::string const theirs = &winner == &left ? "200" : "300";
    REQUIRE(
        loser.result->diff.find(
            "-1: defaults: {queue: {quantum_tokens: " + theirs) == 0);
    REQUIRE(f.history() == std::vector<configuration_version>{2, 1});
    REQUIRE(std::to_string(quantum_at(f, 0)) == theirs);
}

// Guards against a wrong outcome when the answer to the write is lost and the
// recorded version is replaced before it is read back.
TEST_CASE("apply detects that its version was recorded and superseded")
{
    configuration_fixture f;
    record_first_version(f);
    operator_run& second = f.apply(200, 1);
    second.process.fail_calls(3, 1, store_mode::loses_answers);
    f.run(seconds(1));
    operator_run& third = f.apply(300, 2);
    REQUIRE(f.finish(third));
    REQUIRE(f.finish(second));
    REQUIRE(second.result->outcome == apply_outcome::superseded);
    REQUIRE(f.history() == std::vector<configuration_version>{3, 2, 1});
}

// Guards against an invalid document that is recorded, an apply without a base
// that replaces a version, and a repeated apply that records a new version.
TEST_CASE("apply validates the document and its base version")
{
    configuration_fixture f;
    REQUIRE_THROWS_AS(
        f.operators
            .emplace_back(std::make_unique<operator_run>(
                f.scheduler, f.table, f.objects, f.hosts, f.parser, 9))
            ->op.apply({"defaults: 5", "o", std::nullopt}, {}, {}),
        error);
    record_first_version(f);
    operator_run& unbased = f.apply(200, std::nullopt);
    REQUIRE(f.finish(unbased));
    REQUIRE(unbased.result->outcome == apply_outcome::conflict);
    operator_run& repeated = f.apply(100, std::nullopt);
    REQUIRE(f.finish(repeated));
    REQUIRE(repeated.result->outcome == apply_outcome::accepted);
    REQUIRE(repeated.result->version == 1);
}
