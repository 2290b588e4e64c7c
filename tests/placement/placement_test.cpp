#include "placement_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

std::vector<model_plan> plans_for(std::string const& version = "1")
{
    return {{{"a", "", version}, {}, 1, ""}, {{"b", "", version}, {}, 1, ""}};
}

std::vector<store_mode> const faults = {
    store_mode::down, store_mode::silent, store_mode::loses_answers,
    store_mode::applies_late};

using action = std::function<void(placement_fixture&)>;

/// A fault that starts when the first change of placement reaches a step;
/// `recover` ends it 40 s later.
struct fault_case
{
    char const* name;
    action inject;
    action recover;
};

void pause_holder(placement_fixture& fixture)
{
    if (placement_test_planner* const h = fixture.holder())
    {
        h->running = false;
        h->process.pause();
    }
}

void resume_planners(placement_fixture& fixture)
{
    for (auto const& p : fixture.planners)
    {
        if (p->running)
            continue;
        p->running = true;
        p->process.resume();
    }
}

action for_each_agent(std::function<void(placement_test_agent&)> what)
{
    return [what](placement_fixture& fixture)
    {
        for (auto const& a : fixture.agents)
            what(*a);
    };
}

action set_store_mode(store_mode how)
{
    return [how](placement_fixture& fixture) { fixture.table.current = how; };
}

void restart_agents(placement_fixture& fixture)
{
    for (std::size_t i = 0; i < fixture.agents.size(); ++i)
        fixture.start_agent(i);
}

/// Resumes the replaced agents, which were only paused.
void resume_replaced_agents(placement_fixture& fixture)
{
    for (auto const& a : fixture.replaced_agents)
        a->process.resume();
}

void no_action(placement_fixture&) {}

action in_sequence(action first, action second)
{
    return [first, second](placement_fixture& fixture)
    {
        first(fixture);
        second(fixture);
    };
}

std::vector<fault_case> const& fault_cases()
{
    auto const pause =
        for_each_agent([](placement_test_agent& a) { a.process.pause(); });
    auto const resume =
        for_each_agent([](placement_test_agent& a) { a.process.resume(); });
    static std::vector<fault_case> const rows = {
        {"none", no_action, no_action},
        {"holder is paused and resumes", pause_holder, resume_planners},
        {"holder dies", pause_holder, no_action},
        {"holder is paused twice", pause_holder,
         in_sequence(resume_planners, pause_holder)},
        {"agents are paused and resume", pause, resume},
        {"agents restart", restart_agents, no_action},
        {"agents restart, the replaced ones resume", restart_agents,
         resume_replaced_agents},
        {"holder and agents are paused and resume",
         in_sequence(pause_holder, pause),
         in_sequence(resume_planners, resume)},
        {"agents resume before the holder", in_sequence(pause_holder, pause),
         in_sequence(resume, resume_planners)},
        {"store down", set_store_mode(store_mode::down),
         set_store_mode(store_mode::normal)},
        {"store does not answer", set_store_mode(store_mode::silent),
         set_store_mode(store_mode::normal)},
        {"store loses responses", set_store_mode(store_mode::loses_answers),
         set_store_mode(store_mode::normal)},
        {"store applies writes late", set_store_mode(store_mode::applies_late),
         set_store_mode(store_mode::normal)},
        {"store slow",
         [](placement_fixture& fixture)
         { fixture.table.delay = milliseconds(800); },
         [](placement_fixture& fixture)
         { fixture.table.delay = milliseconds(2); }},
        {"holder is paused during a store outage",
         in_sequence(pause_holder, set_store_mode(store_mode::silent)),
         in_sequence(set_store_mode(store_mode::normal), resume_planners)},
        {"holder cannot reach the store",
         [](placement_fixture& fixture)
         {
             if (placement_test_planner* const h = fixture.holder())
                 h->process.set_store_fault(store_mode::silent);
         },
         [](placement_fixture& fixture)
         {
             for (auto const& p : fixture.planners)
                 p->process.set_store_fault(store_mode::normal);
         }},
        {"agents cannot reach the store",
         for_each_agent([](placement_test_agent& a)
                        { a.process.set_store_fault(store_mode::silent); }),
         for_each_agent([](placement_test_agent& a)
                        { a.process.set_store_fault(store_mode::normal); })},
        {"engine rejects an order",
         [](placement_fixture& fixture)
         {
             for (auto const& e : fixture.engines)
                 e->fail_orders = 1;
         },
         no_action},
        {"engine rejects two orders, holder dies",
         in_sequence(
             [](placement_fixture& fixture)
             {
                 for (auto const& e : fixture.engines)
                     e->fail_orders = 2;
             },
             pause_holder),
         no_action},
    };
    return rows;
}

/// Whether the first change of placement has reached the step.
bool reached(placement_fixture& fixture, std::string const& step)
{
    if (step == "lease")
        return fixture.holder() != nullptr;
    for (std::size_t i = 0; i < fixture.agents.size(); ++i)
    {
        auto const key = placement_key(fixture.infos[i].endpoint);
        bool const ordered = fixture.table.row_at(key).version != 0;
        if (step == "order" && ordered)
            return true;
        if (step == "drain" && fixture.agents[i]->draining)
            return true;
        if (step == "unload" && fixture.engines[i]->order_count == 1)
            return true;
        if (step == "load" && fixture.engines[i]->order_count == 2)
            return true;
    }
    return false;
}

} // namespace

// Guards against an order with an old token that takes effect, two holders,
// work that is interrupted by an unload, and a change that never completes, for
// each fault at each step.
TEST_CASE("a placement change completes despite any fault at any step")
{
    auto const step = GENERATE(
        as<std::string>{}, "lease", "order", "drain", "unload", "load");
    auto const index = GENERATE(range(std::size_t{0}, fault_cases().size()));
    auto const fencing =
        GENERATE(engine_fencing::ignores_tokens, engine_fencing::checks_tokens);
    fault_case const& row = fault_cases()[index];
    CAPTURE(step, row.name, static_cast<int>(fencing));
    placement_fixture fixture("aaa-", fencing);
    for (auto const& e : fixture.engines)
        e->has_work = true;
    fixture.engines[3]->has_work = false; // serves nothing
    fixture.set_plans(plans_for("2"), {{"a", 3}, {"b", 1}});
    REQUIRE(
        fixture.run_until([&] { return reached(fixture, step); }, minutes(5)));
    row.inject(fixture);
    fixture.run(seconds(40));
    for (auto const& p : fixture.planners)
    {
        bool const expired = p->running || !p->own_lease.held();
        REQUIRE(expired);
    }
    row.recover(fixture);
    REQUIRE(fixture.run_until(
        [&fixture]
        {
            return fixture.serving_count("a", "2") == 3 &&
                   fixture.serving_count("b", "2") == 1;
        },
        minutes(15)));
    unsigned const order_count = fixture.order_count();
    fixture.run(minutes(2));
    REQUIRE(fixture.order_count() == order_count);
    for (auto const& a : fixture.agents)
        REQUIRE_FALSE(a->draining);
}

// Guards against the same failures when any single store call of the holder or
// an agent fails, or several in a row.
TEST_CASE("a placement change completes despite a fault of any store call")
{
    auto const call = GENERATE(range(std::size_t{0}, std::size_t{12}));
    auto const times = GENERATE(1u, 4u);
    auto const mode = GENERATE(from_range(faults));
    auto const at_agent = GENERATE(false, true);
    CAPTURE(call, times, static_cast<int>(mode), at_agent);
    placement_fixture fixture("a-");
    fixture.set_plans(plans_for("1"), {{"a", 1}, {"b", 1}});
    simulated_process& process =
        at_agent ? fixture.agents[1]->process : fixture.planners[0]->process;
    process.fail_calls(process.calls() + call, times, mode);
    REQUIRE(fixture.run_until(
        [&fixture] { return fixture.serving_count("b") == 1; }, minutes(4)));
    REQUIRE(fixture.order_count() == 1);
}

// Guards against carrying out an order of an earlier holder, an order with a
// token that no process holds, or an order from rows that were read too long
// ago.
TEST_CASE("the executor follows only a recent order of the current holder")
{
    auto const [order_token, lease_token, age, pause, follows] =
        GENERATE(table<fencing_token, fencing_token, int, bool, bool>({
            {2, 2, 0, false, true},
            {1, 2, 0, false, false},
            {3, 2, 0, false, false},
            {2, 2, 1500, false, false},
            {2, 2, 0, true, false}, // the holder changes during a pause
        }));
    CAPTURE(order_token, lease_token, age, pause);
    manual_scheduler scheduler;
    fake_table_service table(scheduler);
    simulated_process process(scheduler, table);
    order_checking_engine engine(scheduler, table, true);
    counter_registry counters;
    placement_executor executor(
        endpoint_id("e"), engine_fencing::checks_tokens, {}, engine, scheduler,
        process, process, {{}, [] {}, [](auto const&) {}}, counters);
    auto const put = [&](fencing_token order, fencing_token lease)
    {
        lease_record record;
        record.token = lease;
        table.commit(
            {{executor.watched_keys()[0],
              encode(placement_order{order, {{"m", "", "1"}}, ""}),
              {}},
             {executor.watched_keys()[1], encode(record), {}}},
            {}, [](auto const&) {});
        scheduler.advance(milliseconds(5));
    };
    put(order_token, lease_token);
    std::vector<row> const rows = {
        table.row_at(executor.watched_keys()[0]),
        table.row_at(executor.watched_keys()[1])};
    executor.on_rows(rows, scheduler.now() - milliseconds(age));
    if (pause)
    {
        process.pause(); // while the read before the order is in flight
        scheduler.advance(seconds(2));
        put(order_token, lease_token + 1);
        process.resume();
    }
    scheduler.advance(seconds(20));
    REQUIRE(engine.order_count == (follows ? 1 : 0));
}

// Guards against an order that is sent while an order with an earlier token may
// still be in transit to an engine that ignores tokens.
TEST_CASE("the first order waits for the end of the earlier holder's term")
{
    auto const fencing =
        GENERATE(engine_fencing::ignores_tokens, engine_fencing::checks_tokens);
    placement_fixture fixture("a-", fencing);
    fixture.set_plans(plans_for(), {{"a", 1}, {"b", 1}});
    REQUIRE(fixture.run_until(
        [&fixture] { return fixture.holder() != nullptr; }, minutes(1)));
    steady_time const begin = fixture.scheduler.now();
    REQUIRE(fixture.run_until(
        [&fixture] { return fixture.order_count() == 1; }, minutes(2)));
    bool const waited = fixture.scheduler.now() - begin >= seconds(15);
    REQUIRE(waited == (fencing == engine_fencing::ignores_tokens));
}

// Guards against a rollout that changes too many endpoints at once or loads
// weights faster than the configured byte rate.
TEST_CASE("a rollout respects the share of endpoints and the byte rate")
{
    auto const share = GENERATE(0.1, 0.25, 0.5);
    placement_settings settings;
    settings.limits.max_changing_share = share;
    settings.load_bytes_per_second = 100;
    placement_fixture fixture(
        "aaaaaaaa", engine_fencing::ignores_tokens, settings);
    fixture.weights.size = 3000; // 30 s each
    fixture.set_plans({{{"a", "", "2"}, {}, 1, ""}}, {{"a", 8}});
    steady_time const begin = fixture.scheduler.now();
    REQUIRE(fixture.run_until(
        [&fixture] { return fixture.serving_count("a", "2") == 8; },
        minutes(30)));
    REQUIRE(fixture.scheduler.now() - begin >= 7 * seconds(30));
    REQUIRE(fixture.max_changing_count <= std::max<std::size_t>(1, share * 8));
    REQUIRE(fixture.max_changing_count >= 1);
}

// Guards against endpoints that move back and forth with each change of demand,
// and against a shift that leaves a model below its minimum.
TEST_CASE("an endpoint moves only after demand was sustained")
{
    auto const [demand_b, period, shifted] =
        GENERATE(table<double, unsigned, std::size_t>({
            {3.0, 0, 3},  // constant: two endpoints move, one at a time
            {2.0, 0, 2},  // one endpoint moves; the rest of the surplus stays
            {1.5, 0, 1},  // inside the dead band
            {3.0, 30, 1}, // alternates within the hold time
            {9.0, 0, 3},  // exceeds the fleet: a keeps what it needs
        }));
    CAPTURE(demand_b, period);
    placement_fixture fixture("aaaab");
    model_demand const high = {{"a", 2}, {"b", demand_b}};
    model_demand const low = {{"a", 4}, {"b", 1}};
    for (unsigned round = 0; round < 40; ++round)
    {
        bool const flip = period != 0 && round % 2 == 1;
        fixture.set_plans(plans_for(), flip ? low : high);
        fixture.run(seconds(30));
    }
    REQUIRE(fixture.serving_count("b") == shifted);
    REQUIRE(fixture.serving_count("a") == 5 - shifted);
}

// Guards against placing models on endpoints that an operator drained, against
// rows of lost endpoints that are never removed, and against removing a row
// while its endpoint only cannot reach the store.
TEST_CASE("drained endpoints get no model and rows of lost ones are removed")
{
    placement_fixture fixture("a--");
    desired_drain d;
    d.drain = true;
    fixture.table.commit(
        {{desired_key(endpoint_id("e1")), encode(d), {}}}, {},
        [](auto const&) {});
    fixture.set_plans(plans_for(), {{"a", 1}, {"b", 1}});
    REQUIRE(fixture.run_until(
        [&fixture] { return fixture.serving_count("b") == 1; }, minutes(3)));
    REQUIRE(fixture.agents[1]->executor.loaded().empty());
    fixture.agents[2]->process.pause();
    fixture.run(minutes(15));
    REQUIRE(fixture.table.row_at("endpoint/e2").version != 0);
    fixture.fleet.result.hosts.pop_back();
    fixture.run(minutes(15));
    REQUIRE(fixture.table.row_at("endpoint/e2").version == 0);
}

// Exhaustive within bounds: every sequence of four out of nine events, 6 s
// apart, with two planners, a store and an agent whose engine ignores tokens.
// The engine and run() check the invariants. Guards against sequences of events
// that the other tests do not cover.
TEST_CASE("every short sequence of pauses, restarts and store faults is safe")
{
    using event = action;
    std::vector<event> const events = {
        no_action,
        pause_holder,
        resume_planners,
        set_store_mode(store_mode::loses_answers),
        set_store_mode(store_mode::applies_late),
        set_store_mode(store_mode::normal),
        [](placement_fixture& fixture) { fixture.agents[0]->process.pause(); },
        [](placement_fixture& fixture) { fixture.start_agent(0); },
        [](placement_fixture& fixture)
        {
            fixture.agents[0]->process.resume();
            resume_replaced_agents(fixture);
        },
    };
    constexpr std::size_t depth = 4;
    std::size_t sequences = 1;
    for (std::size_t i = 0; i < depth; ++i)
        sequences *= events.size();
    for (std::size_t n = 0; n < sequences; ++n)
    {
        placement_fixture fixture("a");
        fixture.step_interval =
            milliseconds(500); // a third of the lease's margin
        fixture.set_plans({{{"a", "", "2"}, {}, 1, ""}}, {{"a", 1}});
        // By now the lease is held and the first order is about to be written.
        fixture.run(seconds(14));
        std::size_t rest = n;
        for (std::size_t i = 0; i < depth; ++i, rest /= events.size())
        {
            events[rest % events.size()](fixture);
            fixture.run(seconds(6));
        }
        fixture.table.current = store_mode::normal;
        resume_planners(fixture);
        resume_replaced_agents(fixture);
        fixture.agents[0]->process.resume();
        CAPTURE(n);
        REQUIRE(fixture.run_until(
            [&fixture] { return fixture.serving_count("a", "2") == 1; },
            minutes(5)));
    }
}
