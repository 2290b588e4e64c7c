#include "control_world.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using action = std::function<void(control_world&)>;

/// What the operator learns while the fault lasts. A process that hangs cannot
/// be told from one that serves behind a partition, so it is waited for.
enum class verdict
{
    accepted,
    waits,
    either
};

/// A fault while version 2 spreads: `before` the apply, `during` (some time
/// after the write) and `after` the fault is over.
struct spread_row
{
    char const* name;
    action before;
    action during;
    action after;
    verdict while_it_lasts;
};

void nothing(control_world&) {}

bool is_configuration(message const& m)
{
    return std::holds_alternative<configuration_digest>(m) ||
           std::holds_alternative<configuration_push>(m);
}

/// Messages of the configuration meet the treatment that the call number
/// picks, so that losses and delays are spread but reproducible.
action disturb(
    std::function<fake_network::treatment(unsigned)> pick,
    bool documents_only = false)
{
    return [pick, documents_only](control_world& w)
    {
        auto const number = std::make_shared<unsigned>(0);
        w.network.set_rule(
            [=](peer_id const&, peer_id const&, message const& m)
            {
                auto const* push = std::get_if<configuration_push>(&m);
                bool const document =
                    push != nullptr && !push->document.empty();
                bool const applies =
                    documents_only ? document : is_configuration(m);
                return applies ? pick((*number)++) : fake_network::treatment{};
            });
    };
}

void undisturb(control_world& w)
{
    w.network.set_rule({});
}

action
on(std::vector<std::size_t> ids, void (control_world::*what)(std::size_t))
{
    return [ids, what](control_world& w)
    {
        for (std::size_t const i : ids)
            (w.*what)(i);
    };
}

action both(action first, action second)
{
    return [first, second](control_world& w)
    {
        first(w);
        second(w);
    };
}

action store(store_mode how)
{
    return [how](control_world& w) { w.table.current = how; };
}

action links(std::vector<std::size_t> ids, store_mode how)
{
    return [ids, how](control_world& w)
    {
        for (std::size_t const i : ids)
            w.fleet[i]->process.set_link(how);
    };
}

action span(seconds time)
{
    return [time](control_world& w) { w.run(time); };
}

using treatment = fake_network::treatment;

std::vector<spread_row> const& spread_rows()
{
    // Hashed, since a plain alternation loses the same message of a periodic
    // exchange every time.
    auto const chance = [](unsigned n) { return n * 2654435761u >> 16; };
    auto const lose = [chance](unsigned n) {
        return treatment{chance(n) % 2, {}};
    };
    auto const lose_most = [chance](unsigned n) {
        return treatment{chance(n) % 5 == 0 ? 1u : 0u, {}};
    };
    auto const repeat = [](unsigned) { return treatment{3, {}}; };
    auto const late = [](unsigned) { return treatment{1, milliseconds(700)}; };
    auto const cross = [chance](unsigned n) {
        return treatment{1, milliseconds(chance(n) % 400)};
    };
    auto const kill = &control_world::kill;
    auto const pause = &control_world::pause;
    auto const resume = &control_world::resume;
    auto const start = &control_world::start;
    static std::vector<spread_row> const rows = {
        {"none", nothing, nothing, nothing, verdict::accepted},
        {"half of the messages lost", disturb(lose), nothing, undisturb,
         verdict::accepted},
        {"most messages lost", disturb(lose_most), nothing, undisturb,
         verdict::accepted},
        {"all documents lost",
         disturb(
             [](unsigned) {
                 return treatment{0, {}};
             },
             true),
         nothing, undisturb, verdict::accepted},
        {"messages repeated", disturb(repeat), nothing, undisturb,
         verdict::accepted},
        {"messages late", disturb(late), nothing, undisturb, verdict::accepted},
        {"messages crossed", disturb(cross), nothing, undisturb,
         verdict::accepted},
        {"node dies", nothing, on({4}, kill), nothing, verdict::accepted},
        {"zone dies", nothing, on({3, 4, 5}, kill), nothing, verdict::accepted},
        {"two of a zone die", on({0, 1}, kill), nothing, nothing,
         verdict::accepted},
        {"node restarts", nothing, on({4}, kill), on({4}, start),
         verdict::accepted},
        {"zone restarts at once", nothing,
         both(on({3, 4, 5}, kill), on({3, 4, 5}, start)), nothing,
         verdict::accepted},
        {"node restarts twice", on({4}, kill),
         both(on({4}, start), on({4}, kill)), on({4}, start),
         verdict::accepted},
        {"node pauses long", on({4}, pause), nothing, on({4}, resume),
         verdict::waits},
        {"zone pauses long", on({3, 4, 5}, pause), nothing,
         on({3, 4, 5}, resume), verdict::waits},
        {"node pauses after it has it", nothing, on({7}, pause),
         on({7}, resume), verdict::either},
        {"node pauses 3 s", on({4}, pause),
         both(span(seconds(3)), on({4}, resume)), nothing, verdict::accepted},
        {"node pauses twice", on({4}, pause),
         both(
             both(span(seconds(3)), on({4}, resume)),
             both(span(seconds(1)), on({4}, pause))),
         on({4}, resume), verdict::either},
        {"region partition", &control_world::cut_far_region, nothing,
         &control_world::heal, verdict::waits},
        {"store down after the write", nothing, store(store_mode::down),
         store(store_mode::normal), verdict::waits},
        {"store silent after the write", nothing, store(store_mode::silent),
         store(store_mode::normal), verdict::waits},
        {"reports lose their answers", nothing,
         links({0, 1, 2, 3, 4, 5, 6, 7, 8}, store_mode::loses_answers),
         links({0, 1, 2, 3, 4, 5, 6, 7, 8}, store_mode::normal),
         verdict::waits},
        {"reports take effect late", links({0, 1, 2}, store_mode::applies_late),
         nothing, links({0, 1, 2}, store_mode::normal), verdict::accepted},
        {"a zone cannot reach the store", links({0, 1, 2}, store_mode::silent),
         nothing, links({0, 1, 2}, store_mode::normal), verdict::waits},
        {"node joins during an outage", on({4}, kill),
         both(store(store_mode::down), on({4}, start)),
         store(store_mode::normal), verdict::waits},
        {"zone joins during an outage", on({3, 4, 5}, kill),
         both(store(store_mode::silent), on({3, 4, 5}, start)),
         store(store_mode::normal), verdict::waits},
        {"zone joins during an outage and message loss", on({3, 4, 5}, kill),
         both(
             both(store(store_mode::down), disturb(lose)),
             on({3, 4, 5}, start)),
         both(store(store_mode::normal), undisturb), verdict::waits},
        {"node pauses over an outage", on({4}, pause),
         both(store(store_mode::down), span(seconds(60))),
         both(on({4}, resume), store(store_mode::normal)), verdict::waits},
        {"store slow",
         [](control_world& w) { w.table.delay = milliseconds(900); }, nothing,
         [](control_world& w) { w.table.delay = milliseconds(2); },
         verdict::accepted},
    };
    return rows;
}

} // namespace

// Guards against a version that is accepted while some process decides under
// an older one, that goes back, or that never arrives after a fault.
TEST_CASE("a version spreads through each fault")
{
    auto const index = GENERATE(range(std::size_t{0}, spread_rows().size()));
    auto const seed = GENERATE(1u, 2u, 3u);
    spread_row const& row = spread_rows()[index];
    // Late enough for some processes to have the version and some not.
    auto const progress = GENERATE(milliseconds(0), milliseconds(150));
    if (row.while_it_lasts == verdict::waits && progress.count() != 0)
        return; // it could be accepted before the fault begins
    CAPTURE(row.name, seed, progress.count());
    control_world w(seed * 1000);
    operator_run& first = w.apply(100, std::nullopt);
    REQUIRE(w.finish(first));
    row.before(w);
    operator_run& second = w.apply(200, 1, seconds(600));
    REQUIRE(w.scheduler.run_until(
        [&second] { return second.process.calls() >= 4; }, seconds(30)));
    w.scheduler.advance(milliseconds(3) + w.table.delay + progress);
    row.during(w);
    if (row.while_it_lasts == verdict::accepted)
    {
        REQUIRE(w.finish(second));
        REQUIRE(second.result->outcome == apply_outcome::accepted);
    }
    else
    {
        w.run(seconds(60)); // longer than a silent process counts as live
        bool const waits = !second.result;
        REQUIRE((waits || row.while_it_lasts == verdict::either));
    }
    row.after(w);
    REQUIRE(w.finish(second));
    REQUIRE(second.result->outcome == apply_outcome::accepted);
    REQUIRE(w.run_until([&w] { return w.everywhere(2); }, seconds(8)));
    w.run(seconds(5));
    REQUIRE(w.everywhere(2));
}

// Guards against a fleet that stands still in an outage: who runs keeps its
// version, and who starts gets the highest from its peers.
TEST_CASE("processes that start in an outage are ready at the highest version")
{
    control_world w;
    operator_run& first = w.apply(100, std::nullopt);
    REQUIRE(w.finish(first));
    w.table.current = store_mode::silent;
    w.kill(0);
    w.start(0);
    REQUIRE_FALSE(w.fleet[0]->node.ready());
    REQUIRE(w.run_until([&w] { return w.everywhere(1); }, seconds(3)));
    // Nobody is left to ask: not ready rather than under built-in defaults.
    for (std::size_t i = 0; i < w.fleet.size(); ++i)
        w.kill(i);
    w.start(0);
    w.start(1);
    w.run(seconds(30));
    REQUIRE_FALSE(w.fleet[0]->node.ready());
    w.table.current = store_mode::normal;
    REQUIRE(w.run_until([&w] { return w.everywhere(1); }, seconds(5)));
}

// Guards against decisions between the end of a pause and the refresh, also
// when stale answers and messages from before the pause arrive first.
TEST_CASE("a process that was paused is not ready until it has refreshed")
{
    auto const outage = GENERATE(false, true);
    control_world w;
    operator_run& first = w.apply(100, std::nullopt);
    REQUIRE(w.finish(first));
    w.pause(4);
    w.run(seconds(60));
    operator_run& second = w.apply(200, 1);
    REQUIRE(w.finish(second));
    if (outage)
        w.table.current = store_mode::down;
    REQUIRE_FALSE(w.fleet[4]->node.ready());
    w.resume(4);
    bool const stale =
        w.fleet[4]->node.ready() && w.fleet[4]->node.version() < 2;
    REQUIRE_FALSE(stale);
    REQUIRE(w.run_until([&w] { return w.everywhere(2); }, seconds(3)));
}

// Guards against a version that counts as in force before every part of the
// process uses it, and against a policy that a bad document replaces.
TEST_CASE("in force waits for the process; a bad document changes nothing")
{
    control_world w;
    std::function<void()> in_force;
    w.fleet[4]->node.set_on_change(
        [&in_force](auto version, auto const&, std::function<void()> done)
        {
            if (version == 1)
                in_force = std::move(done);
            else
                done();
        });
    operator_run& first = w.apply(100, std::nullopt);
    w.run(seconds(20));
    REQUIRE_FALSE(first.result);
    REQUIRE(in_force);
    in_force();
    REQUIRE(w.finish(first));
    w.fleet[0]->node.on_message(
        peer_id("a1"), configuration_push{9, "defaults: 5"});
    REQUIRE(w.fleet[0]->node.version() == 1);
    REQUIRE(w.fleet[0]->node.current().queue.quantum_tokens == 100);
    operator_run& second = w.apply(200, 1);
    REQUIRE(w.finish(second));
    REQUIRE(w.everywhere(2));
    // A document that was held up somewhere does not bring version 1 back.
    w.fleet[0]->node.on_message(
        peer_id("a1"), configuration_push{1, document_with(100)});
    REQUIRE(w.fleet[0]->node.version() == 2);
    REQUIRE(w.fleet[0]->node.current().queue.quantum_tokens == 200);
}

// Guards against a process that starts in an outage and takes the first
// version it hears, while another zone has a later one.
TEST_CASE("a process that starts in an outage takes the highest of all zones")
{
    control_world w;
    operator_run& first = w.apply(100, std::nullopt);
    REQUIRE(w.finish(first));
    auto const cut_zone_b = [&w](std::size_t begin)
    {
        for (std::size_t b = begin; b < 6; ++b)
        {
            w.fleet[b]->process.set_link(store_mode::silent);
            for (std::size_t other : {0, 1, 2, 6, 7, 8})
                w.network.partition(w.infos[b].agent, w.infos[other].agent);
        }
    };
    cut_zone_b(3);
    w.apply(200, 1);
    w.run(seconds(5));
    REQUIRE(w.fleet[4]->node.version() == 1);
    w.table.current = store_mode::down;
    w.kill(3);
    w.network.heal();
    cut_zone_b(4);
    w.start(3);
    REQUIRE(w.run_until([&w] { return w.fleet[3]->node.ready(); }, seconds(5)));
    REQUIRE(w.fleet[3]->node.version() == 2);
}

// Guards against an exception that outlives its expiry in a running process.
TEST_CASE("an exception ends when its expiry passes")
{
    control_world w;
    std::string const text =
        "defaults: {queue: {quantum_tokens: 1}}\nexceptions:\n"
        "  - {name: n, reason: r, owner: o, scope: {zone: a}, expires: "
        "1970-01-01T01:02:00Z, settings: {queue: {quantum_tokens: 2}}}\n";
    operator_run run(w.scheduler, w.table, w.objects, w.hosts, w.parser, 5);
    run.op.apply(
        {text, "o", std::nullopt}, {}, [&](apply_result r) { run.result = r; });
    REQUIRE(w.finish(run));
    REQUIRE(w.fleet[0]->node.current().queue.quantum_tokens == 2);
    REQUIRE(w.fleet[3]->node.current().queue.quantum_tokens == 1);
    w.run(seconds(120));
    REQUIRE(w.fleet[0]->node.current().queue.quantum_tokens == 1);
}

// Guards against reports that cost a write a process: a change in a fleet of
// nine costs a few writes of each collector.
TEST_CASE("reports are collected by zone")
{
    control_world w;
    w.run(seconds(60));
    unsigned const before = w.table.commits;
    w.run(seconds(30));
    unsigned const idle = w.table.commits - before;
    REQUIRE(idle <= 9 * 3 + 6 * 4); // heartbeats and collectors' rows
    operator_run& first = w.apply(100, std::nullopt);
    REQUIRE(w.finish(first));
    unsigned const spent = w.table.commits - before - idle;
    REQUIRE(spent <= 6 * 4 + 9 + 1);
}
