#include <catch2/catch.hpp>

#include <map>

#include "fake_network.hpp"
#include "properties.hpp"
#include "queueing/reservation_queue.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

namespace
{

/// A router that only writes down what it receives.
struct recording_router : message_handler
{
    void on_message(peer_id const&, message const& m) override
    {
        if (auto const* o = std::get_if<offer>(&m))
            offers.push_back(*o);
        else if (auto const* r = std::get_if<reserve_refused>(&m))
            refusals.push_back(*r);
        else if (auto const* l = std::get_if<load_report>(&m))
            reports.push_back(*l);
    }
    void on_disconnected(peer_id const&) override {}

    std::vector<offer> offers;
    std::vector<reserve_refused> refusals;
    std::vector<load_report> reports;
};

struct agent_under_test
{
    explicit agent_under_test(std::uint32_t capacity)
        : queue(
              endpoint_id("e"), 7, capacity, scheduler, scheduler,
              network.transport_of(peer_id("agent")), policy, log, counters)
    {
        network.set_delay(duration{});
        network.attach(peer_id("agent"), queue);
        network.attach(router, answers);
    }

    void
    ask(std::string const& id, rank r = rank::standard,
        milliseconds budget = {}, std::uint32_t tokens = 100)
    {
        reserve asked;
        asked.request = request_id(id);
        asked.attempt = 1;
        asked.organisation = organisation_id("org");
        asked.rank = r;
        asked.estimated_tokens = tokens;
        asked.waiting_budget = budget;
        queue.on_message(router, asked);
        settle();
    }

    void give_up(std::string const& id)
    {
        queue.on_message(router, withdraw{request_id(id), 1});
        settle();
    }

    bool redeem(offer const& o)
    {
        return !queue.redeem(o.permit, o.request, o.attempt, o.incarnation);
    }

    void settle() { scheduler.advance(duration{}); }

    manual_scheduler scheduler;
    fake_network network{scheduler};
    fixed_policy policy;
    recording_decision_log log;
    counter_registry counters;
    peer_id router{"router"};
    recording_router answers;
    reservation_queue queue;
};

} // namespace

// Guards against a permit that admits work twice, late, for another request or
// from before a restart.
TEST_CASE("a permit is redeemed once, in time and by its owner")
{
    using result = std::optional<error_code>;
    struct row
    {
        std::string name;
        milliseconds delay;
        std::string request;
        attempt_number attempt;
        incarnation run;
        permit_id offset; // from the offered permit
        result expected;
    };
    result const ok;
    result const expired = error_code::permit_expired;
    result const stale = error_code::stale_incarnation;
    auto const r = GENERATE_COPY(
        row{"in time", milliseconds(0), "r", 1, 7, 0, ok},
        row{"last moment", milliseconds(499), "r", 1, 7, 0, ok},
        row{"too late", milliseconds(500), "r", 1, 7, 0, expired},
        row{"other request", milliseconds(0), "x", 1, 7, 0, expired},
        row{"other attempt", milliseconds(0), "r", 2, 7, 0, expired},
        row{"unknown permit", milliseconds(0), "r", 1, 7, 1, expired},
        row{"before a restart", milliseconds(0), "r", 1, 6, 0, stale});
    bool const paused = GENERATE(false, true); // timers have not run
    INFO(r.name << (paused ? ", agent paused" : ""));
    agent_under_test t(1);
    t.ask("r");
    REQUIRE(t.answers.offers.size() == 1);
    auto const permit = t.answers.offers[0].permit;
    if (paused)
        t.scheduler.jump(r.delay);
    else
        t.scheduler.advance(r.delay);
    auto const redeem = [&]
    {
        return t.queue.redeem(
            permit + r.offset, request_id(r.request), r.attempt, r.run);
    };
    CHECK(redeem() == r.expected);
    CHECK(redeem().has_value()); // never twice
    if (!r.expected)
        t.queue.release(permit, 100);
    t.queue.release(permit, 100); // repeated release changes nothing
    t.scheduler.advance(seconds(1));
    CHECK(t.queue.slots_free() == 1);
    CHECK(t.queue.idle());
}

// Guards against reservations that wait for ever, without a refusal or beyond
// the bound of the queue.
TEST_CASE("a reservation that cannot be served is refused with advice")
{
    agent_under_test t(1);
    t.policy.settings.queue.max_reservations = 3;
    t.ask("running");
    REQUIRE(t.redeem(t.answers.offers.at(0)));
    SECTION("the waiting budget has passed")
    {
        t.ask("r", rank::standard, milliseconds(300));
        t.scheduler.advance(milliseconds(299));
        CHECK(t.answers.refusals.empty());
        t.scheduler.advance(milliseconds(1));
        REQUIRE(t.answers.refusals.size() == 1);
        CHECK(t.answers.refusals[0].reason == error_code::overloaded);
        CHECK(t.answers.refusals[0].retry_after > milliseconds(0));
    }
    SECTION("the queue is full")
    {
        for (auto const* id : {"a", "b", "c", "d"})
            t.ask(id);
        REQUIRE(t.answers.refusals.size() == 1);
        CHECK(t.answers.refusals[0].request == request_id("d"));
        CHECK(t.answers.refusals[0].retry_after > milliseconds(0));
    }
    SECTION("the agent drains")
    {
        t.ask("waiting");
        t.queue.set_draining(true);
        t.ask("later");
        t.settle();
        REQUIRE(t.answers.refusals.size() == 2);
        for (auto const& r : t.answers.refusals)
            CHECK(r.reason == error_code::endpoint_draining);
        t.queue.release(t.answers.offers[0].permit, 10);
        CHECK(t.answers.offers.size() == 1);
        CHECK(t.queue.idle());
        t.queue.set_draining(false);
        t.ask("after return");
        t.scheduler.advance(milliseconds(20)); // the offer may be delayed
        CHECK(t.answers.offers.size() == 2);
    }
    SECTION("its router is lost")
    {
        t.ask("a");
        t.queue.on_disconnected(t.router);
        t.queue.release(t.answers.offers[0].permit, 10);
        t.settle();
        CHECK(t.answers.offers.size() == 1);
        CHECK(t.queue.idle());
    }
}

// Guards against work that begins just too late for its target, and against a
// target that starts anew with each reservation of the same request.
TEST_CASE("work counts as overdue a prefill before its target")
{
    auto const [budget, waits, first] =
        GENERATE(table<milliseconds, milliseconds, std::string>({
            {milliseconds(5000), milliseconds(999), "a"}, // 1500 less 500
            {milliseconds(5000), milliseconds(1000), "b"},
            {milliseconds(4500), milliseconds(499), "a"}, // router waited 500
            {milliseconds(4500), milliseconds(500), "b"},
        }));
    agent_under_test t(1);
    t.ask("running");
    REQUIRE(t.redeem(t.answers.offers.at(0)));
    t.ask("a", rank::urgent, budget);
    t.scheduler.advance(waits);
    t.ask("b", rank::urgent, milliseconds(5000));
    t.queue.release(t.answers.offers[0].permit, 10);
    t.settle();
    CHECK(t.answers.offers.back().request == request_id(first));
}

// A router must not refuse work for an endpoint that has returned, until the
// next periodic report; seen once as no_endpoint in the process test of a
// drain, whose waiting limit equals the interval of the reports.
TEST_CASE("a change of draining is reported at once")
{
    agent_under_test t(1);
    t.ask("known router");
    for (bool const draining : {true, false})
    {
        t.answers.reports.clear();
        t.queue.set_draining(draining);
        t.settle();
        REQUIRE(t.answers.reports.size() == 1);
        CHECK(t.answers.reports[0].draining == draining);
        t.queue.set_draining(draining); // no change
        t.settle();
        CHECK(t.answers.reports.size() == 1);
    }
}

// Guards against reports that stop, lack figures, or go on to routers that
// have been gone for long.
TEST_CASE("load reports go once a second to routers seen in the last 10 s")
{
    agent_under_test t(2);
    for (auto const* id : {"a", "b", "c"})
        t.ask(id, rank::background, milliseconds{}, 300);
    t.redeem(t.answers.offers.at(0));
    t.scheduler.advance(seconds(5));
    REQUIRE(t.answers.reports.size() == 5);
    auto const& report = t.answers.reports[0];
    CHECK(report.incarnation == 7);
    CHECK(report.capacity == 2);
    CHECK(report.running == 2);
    t.queue.release(1, 300); // 300 tokens in 5 s
    CHECK(t.queue.report().tokens_per_second_per_stream == 0);
    t.queue.observe_token_rate(30);
    CHECK(t.queue.report().tokens_per_second_per_stream == Approx(30));
    t.ask("d");
    REQUIRE(t.redeem(t.answers.offers.back()));
    CHECK(t.queue.report().tokens_per_second == Approx(60));
    t.scheduler.advance(seconds(20));
    CHECK(t.answers.reports.size() == 15); // last seen after 5 s
}

// Guards against two agents with room of which the one that is busy with
// prefill offers first, and against a delay that costs a slot or a permit.
TEST_CASE("an offer is delayed for each work that has just started")
{
    auto const [started, delay] = GENERATE(
        table<unsigned, int>({{0, 0}, {1, 5}, {3, 15}, {4, 20}, {6, 20}}));
    agent_under_test t(10);
    for (unsigned i = 0; i < started; ++i)
    {
        t.ask("r" + std::to_string(i));
        t.scheduler.advance(milliseconds(20));
        REQUIRE(t.redeem(t.answers.offers.at(i)));
    }
    t.ask("next");
    CHECK((t.answers.offers.size() == started) == (delay > 0));
    t.ask("next"); // a repetition does not hurry it
    t.scheduler.advance(milliseconds(delay - 1));
    CHECK((t.answers.offers.size() == started) == (delay > 0));
    t.scheduler.advance(milliseconds(1));
    CHECK(t.answers.offers.back().request == request_id("next"));
    CHECK(t.redeem(t.answers.offers.back()));
    t.ask("withdrawn while delayed");
    t.give_up("withdrawn while delayed");
    auto const offers = t.answers.offers.size();
    t.ask("drained while delayed");
    t.queue.set_draining(true);
    t.scheduler.advance(seconds(1));
    CHECK(t.answers.offers.size() == offers);
    CHECK(t.queue.slots_in_use() == started + 1);
}

// Guards against suspension that costs more than it gains, touches a floor,
// equal ranks or plain calls, or asks twice for the same slot.
TEST_CASE("lower-rank work is suspended when the gain exceeds the cost")
{
    struct row
    {
        std::string name;
        rank running;
        rank waiting;
        std::uint32_t running_tokens;
        std::uint32_t waiting_tokens;
        unsigned count; // of running works
        std::size_t suspended;
    };
    auto const r = GENERATE(
        row{"urgent over background", rank::background, rank::urgent, 100, 100,
            2, 1},
        row{"urgent over standard", rank::standard, rank::urgent, 100, 100, 2,
            1},
        row{"equal rank", rank::urgent, rank::urgent, 100, 100, 2, 0},
        row{"more urgent runs", rank::urgent, rank::standard, 100, 100, 2, 0},
        row{"waits for 200 times the tokens", rank::background, rank::urgent,
            100, 20000, 2, 0},
        row{"the last one of a floor", rank::background, rank::urgent, 100, 100,
            1, 0});
    INFO(r.name);
    agent_under_test t(r.count);
    std::vector<permit_id> asked;
    t.queue.set_preemption([&](permit_id p) { asked.push_back(p); });
    for (unsigned i = 0; i < r.count; ++i)
    {
        t.ask(
            "run" + std::to_string(i), r.running, milliseconds{},
            r.running_tokens);
        t.scheduler.advance(milliseconds(20)); // the offer may be delayed
        REQUIRE(t.redeem(t.answers.offers.at(i)));
    }
    t.ask("waits", r.waiting, milliseconds{}, r.waiting_tokens);
    CHECK(asked.empty()); // other reservations get a chance first
    t.scheduler.advance(seconds(10));
    CHECK(asked.size() == r.suspended);
    if (asked.empty())
        return;
    t.queue.release(asked[0], 50);
    t.settle();
    CHECK(t.answers.offers.back().request == request_id("waits"));
}

// Guards against a slot that is lost or counted twice after any sequence of
// messages, expiry, redemption, release, drain, disconnect and clock jumps.
TEST_CASE("slots in use plus free equal the capacity after any sequence")
{
    bool const ok = rc::check(
        [](std::vector<std::uint16_t> const& steps)
        {
            agent_under_test t(3);
            t.policy.settings.queue.max_reservations = 5;
            std::map<permit_id, unsigned> redeemed;
            std::vector<permit_id> running;
            t.queue.set_preemption([&](permit_id) {});
            for (auto const step : steps)
            {
                unsigned const x = step / 16;
                auto const id = std::to_string(x % 9);
                auto& offers = t.answers.offers;
                switch (step % 12)
                {
                case 0:
                case 1:
                case 2:
                    t.ask(id, all_ranks[x % 3], milliseconds(x % 800));
                    break;
                case 3:
                    t.give_up(id);
                    break;
                case 4:
                case 5:
                case 6:
                    if (offers.empty())
                        break;
                    if (auto const& o =
                            offers[offers.size() - 1 - x % 3 % offers.size()];
                        t.redeem(o))
                    {
                        RC_ASSERT(++redeemed[o.permit] == 1u);
                        running.push_back(o.permit);
                    }
                    break;
                case 7:
                case 8:
                    if (running.empty())
                        break;
                    t.queue.release(running.back(), x);
                    if (x % 2 == 0) // a repeated release changes nothing
                        t.queue.release(running.back(), x);
                    running.pop_back();
                    break;
                case 9:
                    t.scheduler.advance(milliseconds(x % 700));
                    break;
                case 10:
                    t.scheduler.jump(milliseconds(x % 3000));
                    t.queue.on_disconnected(t.router);
                    break;
                default:
                    t.queue.set_draining(x % 2 == 0);
                }
                RC_ASSERT(t.queue.slots_in_use() + t.queue.slots_free() == 3u);
                RC_ASSERT(t.queue.slots_in_use() <= 3u);
                RC_ASSERT(running.size() <= t.queue.slots_in_use());
            }
            for (auto const p : running)
                t.queue.release(p, 1);
            t.queue.set_draining(true);
            t.scheduler.advance(seconds(2));
            RC_ASSERT(t.queue.slots_free() == 3u);
            RC_ASSERT(t.queue.idle());
        });
    REQUIRE(ok);
}
