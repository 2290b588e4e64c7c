#include "configuration_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using action = std::function<void(configuration_fixture&)>;

/// Outcome of the apply while the fault lasts. A process that hangs cannot be
/// distinguished from one that serves behind a partition, so the operator waits
/// for it.
enum class expected_outcome
{
    accepted,
    waiting,
    either
};

/// A fault during the dissemination of version 2. `before` runs before the
/// apply, `during` some time after the write, and `after` ends the fault.
struct dissemination_case
{
    char const* name;
    action before;
    action during;
    action after;
    expected_outcome expected_during_fault;
};

void no_action(configuration_fixture&) {}

bool is_configuration(message const& m)
{
    return std::holds_alternative<configuration_digest>(m) ||
           std::holds_alternative<configuration_push>(m);
}

/// Treats each configuration message as `pick` chooses from its sequence
/// number, so that losses and delays are irregular but reproducible.
action set_message_faults(
    std::function<fake_network::delivery_plan(unsigned)> pick,
    bool documents_only = false)
{
    return [pick, documents_only](configuration_fixture& f)
    {
        auto const number = std::make_shared<unsigned>(0);
        f.network.set_delivery_rule(
            [=](peer_id const&, peer_id const&, message const& m)
            {
                auto const* push = std::get_if<configuration_push>(&m);
                bool const document =
                    push != nullptr && !push->document.empty();
                bool const applies =
                    documents_only ? document : is_configuration(m);
                return applies ? pick((*number)++)
                               : fake_network::delivery_plan{};
            });
    };
}

void clear_message_faults(configuration_fixture& f)
{
    f.network.set_delivery_rule({});
}

action each_process(
    std::vector<std::size_t> ids,
    void (configuration_fixture::*what)(std::size_t))
{
    return [ids, what](configuration_fixture& f)
    {
        for (std::size_t const i : ids)
            (f.*what)(i);
    };
}

action in_sequence(action first, action second)
{
    return [first, second](configuration_fixture& f)
    {
        first(f);
        second(f);
    };
}

action set_table_mode(store_mode how)
{
    return [how](configuration_fixture& f) { f.table.current = how; };
}

action store_faults_at(std::vector<std::size_t> ids, store_mode how)
{
    return [ids, how](configuration_fixture& f)
    {
        for (std::size_t const i : ids)
            f.fleet[i]->process.set_store_fault(how);
    };
}

action run_for(seconds time)
{
    return [time](configuration_fixture& f) { f.run(time); };
}

using delivery_plan = fake_network::delivery_plan;

std::vector<dissemination_case> const& dissemination_cases()
{
    // Hashed, since strict alternation would lose the same message of a
    // periodic exchange each time.
    auto const hash = [](unsigned n) { return n * 2654435761u >> 16; };
    auto const drop_half = [hash](unsigned n) {
        return delivery_plan{hash(n) % 2, {}};
    };
    auto const drop_most = [hash](unsigned n) {
        return delivery_plan{hash(n) % 5 == 0 ? 1u : 0u, {}};
    };
    auto const duplicate = [](unsigned) { return delivery_plan{3, {}}; };
    auto const delay = [](unsigned) {
        return delivery_plan{1, milliseconds(700)};
    };
    auto const reorder = [hash](unsigned n) {
        return delivery_plan{1, milliseconds(hash(n) % 400)};
    };
    auto const kill = &configuration_fixture::kill;
    auto const pause = &configuration_fixture::pause;
    auto const resume = &configuration_fixture::resume;
    auto const start = &configuration_fixture::start;
    static std::vector<dissemination_case> const rows = {
        {"none", no_action, no_action, no_action, expected_outcome::accepted},
        {"half of the messages lost", set_message_faults(drop_half), no_action,
         clear_message_faults, expected_outcome::accepted},
        {"most messages lost", set_message_faults(drop_most), no_action,
         clear_message_faults, expected_outcome::accepted},
        {"all documents lost",
         set_message_faults(
             [](unsigned) {
                 return delivery_plan{0, {}};
             },
             true),
         no_action, clear_message_faults, expected_outcome::accepted},
        {"messages duplicated", set_message_faults(duplicate), no_action,
         clear_message_faults, expected_outcome::accepted},
        {"messages delayed", set_message_faults(delay), no_action,
         clear_message_faults, expected_outcome::accepted},
        {"messages reordered", set_message_faults(reorder), no_action,
         clear_message_faults, expected_outcome::accepted},
        {"node dies", no_action, each_process({4}, kill), no_action,
         expected_outcome::accepted},
        {"zone dies", no_action, each_process({3, 4, 5}, kill), no_action,
         expected_outcome::accepted},
        {"two of a zone die", each_process({0, 1}, kill), no_action, no_action,
         expected_outcome::accepted},
        {"node restarts", no_action, each_process({4}, kill),
         each_process({4}, start), expected_outcome::accepted},
        {"zone restarts at once", no_action,
         in_sequence(
             each_process({3, 4, 5}, kill), each_process({3, 4, 5}, start)),
         no_action, expected_outcome::accepted},
        {"node restarts twice", each_process({4}, kill),
         in_sequence(each_process({4}, start), each_process({4}, kill)),
         each_process({4}, start), expected_outcome::accepted},
        {"node pauses for long", each_process({4}, pause), no_action,
         each_process({4}, resume), expected_outcome::waiting},
        {"zone pauses for long", each_process({3, 4, 5}, pause), no_action,
         each_process({3, 4, 5}, resume), expected_outcome::waiting},
        {"node pauses after it has the version", no_action,
         each_process({7}, pause), each_process({7}, resume),
         expected_outcome::either},
        {"node pauses 3 s", each_process({4}, pause),
         in_sequence(run_for(seconds(3)), each_process({4}, resume)), no_action,
         expected_outcome::accepted},
        {"node pauses twice", each_process({4}, pause),
         in_sequence(
             in_sequence(run_for(seconds(3)), each_process({4}, resume)),
             in_sequence(run_for(seconds(1)), each_process({4}, pause))),
         each_process({4}, resume), expected_outcome::either},
        {"region partition", &configuration_fixture::partition_remote_region,
         no_action, &configuration_fixture::heal, expected_outcome::waiting},
        {"store down after the write", no_action,
         set_table_mode(store_mode::down), set_table_mode(store_mode::normal),
         expected_outcome::waiting},
        {"store silent after the write", no_action,
         set_table_mode(store_mode::silent), set_table_mode(store_mode::normal),
         expected_outcome::waiting},
        {"reports lose their answers", no_action,
         store_faults_at(
             {0, 1, 2, 3, 4, 5, 6, 7, 8}, store_mode::loses_answers),
         store_faults_at({0, 1, 2, 3, 4, 5, 6, 7, 8}, store_mode::normal),
         expected_outcome::waiting},
        {"reports are written late",
         store_faults_at({0, 1, 2}, store_mode::applies_late), no_action,
         store_faults_at({0, 1, 2}, store_mode::normal),
         expected_outcome::accepted},
        {"a zone cannot reach the store",
         store_faults_at({0, 1, 2}, store_mode::silent), no_action,
         store_faults_at({0, 1, 2}, store_mode::normal),
         expected_outcome::waiting},
        {"node joins during an outage", each_process({4}, kill),
         in_sequence(
             set_table_mode(store_mode::down), each_process({4}, start)),
         set_table_mode(store_mode::normal), expected_outcome::waiting},
        {"zone joins during an outage", each_process({3, 4, 5}, kill),
         in_sequence(
             set_table_mode(store_mode::silent),
             each_process({3, 4, 5}, start)),
         set_table_mode(store_mode::normal), expected_outcome::waiting},
        {"zone joins during an outage and message loss",
         each_process({3, 4, 5}, kill),
         in_sequence(
             in_sequence(
                 set_table_mode(store_mode::down),
                 set_message_faults(drop_half)),
             each_process({3, 4, 5}, start)),
         in_sequence(set_table_mode(store_mode::normal), clear_message_faults),
         expected_outcome::waiting},
        {"node pauses during an outage", each_process({4}, pause),
         in_sequence(set_table_mode(store_mode::down), run_for(seconds(60))),
         in_sequence(
             each_process({4}, resume), set_table_mode(store_mode::normal)),
         expected_outcome::waiting},
        {"store slow",
         [](configuration_fixture& f) { f.table.delay = milliseconds(900); },
         no_action,
         [](configuration_fixture& f) { f.table.delay = milliseconds(2); },
         expected_outcome::accepted},
    };
    return rows;
}

} // namespace

// Guards against a version that is accepted while some ready process uses an
// older one, is reverted, or never arrives after a fault.
TEST_CASE("a version is disseminated despite each fault")
{
    auto const index =
        GENERATE(range(std::size_t{0}, dissemination_cases().size()));
    auto const seed = GENERATE(1u, 2u, 3u);
    dissemination_case const& row = dissemination_cases()[index];
    // After 150 ms some processes have the version and others do not.
    auto const fault_delay = GENERATE(milliseconds(0), milliseconds(150));
    if (row.expected_during_fault == expected_outcome::waiting &&
        fault_delay.count() != 0)
        return; // the version may be accepted before the fault begins
    CAPTURE(row.name, seed, fault_delay.count());
    configuration_fixture f(seed * 1000);
    operator_run& first = f.apply(100, std::nullopt);
    REQUIRE(f.finish(first));
    row.before(f);
    operator_run& second = f.apply(200, 1, seconds(600));
    REQUIRE(f.scheduler.run_until(
        [&second] { return second.process.calls() >= 4; }, seconds(30)));
    f.scheduler.advance(milliseconds(3) + f.table.delay + fault_delay);
    row.during(f);
    if (row.expected_during_fault == expected_outcome::accepted)
    {
        REQUIRE(f.finish(second));
        REQUIRE(second.result->outcome == apply_outcome::accepted);
    }
    else
    {
        f.run(seconds(60)); // longer than registration_timeout
        bool const waits = !second.result;
        REQUIRE(
            (waits || row.expected_during_fault == expected_outcome::either));
    }
    row.after(f);
    REQUIRE(f.finish(second));
    REQUIRE(second.result->outcome == apply_outcome::accepted);
    REQUIRE(f.run_until([&f] { return f.all_at_version(2); }, seconds(8)));
    f.run(seconds(5));
    REQUIRE(f.all_at_version(2));
}

// Guards against a fleet that stops working in a store outage: running
// processes keep their version, and starting processes get the highest one from
// their peers.
TEST_CASE("processes that start in an outage are ready at the highest version")
{
    configuration_fixture f;
    operator_run& first = f.apply(100, std::nullopt);
    REQUIRE(f.finish(first));
    f.table.current = store_mode::silent;
    f.kill(0);
    f.start(0);
    REQUIRE_FALSE(f.fleet[0]->node.ready());
    REQUIRE(f.run_until([&f] { return f.all_at_version(1); }, seconds(3)));
    // Without peers a process stays not ready; it must not use the built-in
    // defaults.
    for (std::size_t i = 0; i < f.fleet.size(); ++i)
        f.kill(i);
    f.start(0);
    f.start(1);
    f.run(seconds(30));
    REQUIRE_FALSE(f.fleet[0]->node.ready());
    f.table.current = store_mode::normal;
    REQUIRE(f.run_until([&f] { return f.all_at_version(1); }, seconds(5)));
}

// Guards against a process that is ready between the end of a pause and the
// refresh, also when answers and messages from before the pause arrive first.
TEST_CASE("a paused process is not ready until it has refreshed")
{
    auto const outage = GENERATE(false, true);
    configuration_fixture f;
    operator_run& first = f.apply(100, std::nullopt);
    REQUIRE(f.finish(first));
    f.pause(4);
    f.run(seconds(60));
    operator_run& second = f.apply(200, 1);
    REQUIRE(f.finish(second));
    if (outage)
        f.table.current = store_mode::down;
    REQUIRE_FALSE(f.fleet[4]->node.ready());
    f.resume(4);
    bool const stale =
        f.fleet[4]->node.ready() && f.fleet[4]->node.version() < 2;
    REQUIRE_FALSE(stale);
    REQUIRE(f.run_until([&f] { return f.all_at_version(2); }, seconds(3)));
}

// Guards against a version that is reported as in force before the process
// confirms it, and against an invalid document that replaces a policy.
TEST_CASE("a version is in force once confirmed; invalid documents are ignored")
{
    configuration_fixture f;
    std::function<void()> in_force;
    f.fleet[4]->node.set_on_change(
        [&in_force](auto version, auto const&, std::function<void()> done)
        {
            if (version == 1)
                in_force = std::move(done);
            else
                done();
        });
    operator_run& first = f.apply(100, std::nullopt);
    f.run(seconds(20));
    REQUIRE_FALSE(first.result);
    REQUIRE(in_force);
    in_force();
    REQUIRE(f.finish(first));
    f.fleet[0]->node.on_message(
        peer_id("a1"), configuration_push{9, "defaults: 5"});
    REQUIRE(f.fleet[0]->node.version() == 1);
    REQUIRE(f.fleet[0]->node.current().queue.quantum_tokens == 100);
    operator_run& second = f.apply(200, 1);
    REQUIRE(f.finish(second));
    REQUIRE(f.all_at_version(2));
    // A delayed document must not restore version 1.
    f.fleet[0]->node.on_message(
        peer_id("a1"), configuration_push{1, document_with(100)});
    REQUIRE(f.fleet[0]->node.version() == 2);
    REQUIRE(f.fleet[0]->node.current().queue.quantum_tokens == 200);
}

// Guards against a process that starts in a store outage and uses the first
// version it receives although another zone has a later one.
TEST_CASE(
    "a process that starts in an outage gets the highest version of all zones")
{
    configuration_fixture f;
    operator_run& first = f.apply(100, std::nullopt);
    REQUIRE(f.finish(first));
    auto const cut_zone_b = [&f](std::size_t begin)
    {
        for (std::size_t b = begin; b < 6; ++b)
        {
            f.fleet[b]->process.set_store_fault(store_mode::silent);
            for (std::size_t other : {0, 1, 2, 6, 7, 8})
                f.network.partition(
                    f.process_infos[b].agent, f.process_infos[other].agent);
        }
    };
    cut_zone_b(3);
    f.apply(200, 1);
    f.run(seconds(5));
    REQUIRE(f.fleet[4]->node.version() == 1);
    f.table.current = store_mode::down;
    f.kill(3);
    f.network.heal();
    cut_zone_b(4);
    f.start(3);
    REQUIRE(f.run_until([&f] { return f.fleet[3]->node.ready(); }, seconds(5)));
    REQUIRE(f.fleet[3]->node.version() == 2);
}

// Guards against an exception that stays in force in a running process after
// its expiry.
TEST_CASE("an exception ends at its expiry")
{
    configuration_fixture f;
    std::string const text =
        "defaults: {queue: {quantum_tokens: 1}}\nexceptions:\n"
        "  - {name: n, reason: r, owner: o, scope: {zone: a}, expires: "
        "1970-01-01T01:02:00Z, settings: {queue: {quantum_tokens: 2}}}\n";
    operator_run run(f.scheduler, f.table, f.objects, f.hosts, f.parser, 5);
    run.op.apply(
        {text, "o", std::nullopt}, {}, [&](apply_result r) { run.result = r; });
    REQUIRE(f.finish(run));
    REQUIRE(f.fleet[0]->node.current().queue.quantum_tokens == 2);
    REQUIRE(f.fleet[3]->node.current().queue.quantum_tokens == 1);
    f.run(seconds(120));
    REQUIRE(f.fleet[0]->node.current().queue.quantum_tokens == 1);
}

// Guards against reports that cost one write per process: a change in a fleet
// of nine costs a few writes of each collector.
TEST_CASE("reports are collected per zone")
{
    configuration_fixture f;
    f.run(seconds(60));
    unsigned const before = f.table.commits;
    f.run(seconds(30));
    unsigned const idle = f.table.commits - before;
    REQUIRE(idle <= 9 * 3 + 6 * 4); // heartbeats and collectors' rows
    operator_run& first = f.apply(100, std::nullopt);
    REQUIRE(f.finish(first));
    unsigned const spent = f.table.commits - before - idle;
    REQUIRE(spent <= 6 * 4 + 9 + 1);
}
