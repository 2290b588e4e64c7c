#include <catch2/catch.hpp>

#include "fake_external_services.hpp"
#include "fake_network.hpp"
#include "recovery/generation_runner.hpp"
#include "recovery_simulation.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// Records what the runner sends; the tests act as routers r1 and r2.
struct runner_fixture
{
    struct recorder : peer_transport
    {
        void send(peer_id const& to, message m) override
        {
            sent.emplace_back(to.value(), std::move(m));
        }
        void reconnect(peer_id const&) override {}
        std::vector<std::pair<std::string, message>> sent;
    };

    dispatch_generation work(attempt_number attempt, owner_epoch epoch)
    {
        dispatch_generation d;
        d.request = id;
        d.attempt = attempt;
        d.epoch = epoch;
        d.permit = permits.issue();
        d.incarnation = 7;
        d.model = {"m", "", "v1"};
        d.prompt = "p";
        return d;
    }

    void from(char const* router, message m)
    {
        runner.on_message(peer_id(router), m);
    }

    template<typename Message>
    std::vector<Message> sent_to(std::string const& router) const
    {
        std::vector<Message> result;
        for (auto const& [to, m] : transport.sent)
        {
            if (auto const* found = std::get_if<Message>(&m))
            {
                if (to == router)
                    result.push_back(*found);
            }
        }
        return result;
    }

    std::vector<error_code> failures(std::string const& router) const
    {
        std::vector<error_code> codes;
        for (auto const& m : sent_to<generation_failed>(router))
            codes.push_back(m.code);
        return codes;
    }

    request_id id{"o/c"};
    manual_scheduler scheduler;
    recorder transport;
    fake_permit_issuer permits;
    fake_engine engine{scheduler, 40};
    fixed_policy policy;
    counter_registry counters;
    generation_runner runner{7,      scheduler, scheduler, transport,
                             engine, permits,   policy,    counters};
};

using codes = std::vector<error_code>;

struct dispatch_row
{
    char const* name;
    std::function<void(runner_fixture&)> act;
    unsigned starts;
    codes refused; // to r2
};

} // namespace

// Guards against running an attempt twice and against accepting dispatches from
// routers that do not own the generation.
TEST_CASE(
    "Generation runner starts only permitted dispatches", "[recovery][runner]")
{
    std::vector<dispatch_row> const rows = {
        {"first dispatch",
         [](runner_fixture& f) { f.from("r2", f.work(1, 1)); },
         1,
         {}},
        {"repeated dispatch",
         [](runner_fixture& f)
         {
             auto const d = f.work(1, 1);
             f.from("r2", d);
             f.from("r2", d);
         },
         1,
         {}},
        {"dispatch repeated after the run was cancelled",
         [](runner_fixture& f)
         {
             auto const d = f.work(1, 1);
             f.from("r2", d);
             f.from("r2", cancel{f.id, 1, 1});
             f.from("r2", d);
         },
         1,
         {}},
        {"cancel overtakes the dispatch",
         [](runner_fixture& f)
         {
             f.from("r2", cancel{f.id, 1, 1});
             f.from("r2", f.work(1, 1));
         },
         0,
         {}},
        {"unknown permit",
         [](runner_fixture& f)
         {
             auto d = f.work(1, 1);
             d.permit += 100;
             f.from("r2", d);
         },
         0,
         {error_code::permit_expired}},
        {"dispatch for an earlier incarnation",
         [](runner_fixture& f)
         {
             auto d = f.work(1, 1);
             d.incarnation = 6;
             f.from("r2", d);
         },
         0,
         {error_code::stale_incarnation}},
        {"earlier epoch",
         [](runner_fixture& f)
         {
             f.from("r1", f.work(1, 5));
             f.from("r2", f.work(2, 4));
         },
         1,
         {error_code::stale_epoch}},
        {"earlier attempt of the same owner",
         [](runner_fixture& f)
         {
             f.from("r2", f.work(3, 1));
             f.from("r2", f.work(2, 1));
         },
         1,
         {error_code::stale_epoch}},
        {"later attempt of the same owner",
         [](runner_fixture& f)
         {
             f.from("r2", f.work(1, 1));
             f.from("r2", f.work(2, 1));
         },
         2,
         {}},
        {"later epoch of another router",
         [](runner_fixture& f)
         {
             f.from("r2", f.work(1, 1));
             f.from("r1", f.work(1, 2));
         },
         2,
         {error_code::stale_epoch}}};
    for (auto const& row : rows)
    {
        DYNAMIC_SECTION(row.name)
        {
            runner_fixture f;
            row.act(f);
            CHECK(f.engine.starts == row.starts);
            CHECK(f.failures("r2") == row.refused);
            CHECK(f.permits.held.size() == f.engine.running());
        }
    }
}

// Guards against messages of a previous owner that affect the run of its
// successor, and against a takeover request that arrives twice.
TEST_CASE(
    "Generation runner accepts messages of the current owner only",
    "[recovery][runner]")
{
    runner_fixture f;
    f.from("r1", f.work(1, 1));
    f.scheduler.advance(milliseconds(400));
    f.from("r2", attach{f.id, 0, 3, true});
    f.from("r2", attach{f.id, 0, 3, true});
    auto const results = f.sent_to<attach_result>("r2");
    REQUIRE(results.size() == 2);
    CHECK(results[0].epoch == 2);
    CHECK(results[1].epoch == 2);
    CHECK(f.failures("r1") == codes{error_code::stale_epoch});
    CHECK(f.sent_to<token_batch>("r2").front().first_index == 3);

    auto const buffered = f.runner.buffered_tokens();
    f.from("r1", acknowledge{f.id, 1, 1, 5});
    f.from("r1", cancel{f.id, 1, 1});
    f.from("r1", attach{f.id, 1, 0, false});
    CHECK(f.runner.buffered_tokens() == buffered);
    CHECK(f.engine.running() == 1);
    CHECK(f.failures("r1").size() == 3);

    f.from("r2", acknowledge{f.id, 1, 2, 5});
    CHECK(f.runner.buffered_tokens() == buffered - 5);
    f.from("r2", attach{f.id, 2, 0, false});
    CHECK(f.sent_to<attach_result>("r2").back().first_index == 5);
    f.from("r2", cancel{f.id, 1, 2});
    CHECK(f.engine.running() == 0);
    CHECK(f.permits.held.empty());
}

// Guards against counting prefill as slow decoding, and against missing decode
// rates, which would hide stragglers from the routers.
TEST_CASE("Generation runner reports the decode rate", "[recovery][runner]")
{
    runner_fixture f;
    f.engine.prefill_time = std::chrono::seconds(5);
    f.engine.token_time = milliseconds(20);
    f.from("r1", f.work(1, 1));
    f.scheduler.advance(std::chrono::seconds(5) + milliseconds(590));
    REQUIRE(f.permits.paces.size() == 1);
    REQUIRE(f.permits.paces[0] == Approx(50));
}

// Guards against runs that outlive the grace period, against dropping output
// too early, and against an agent that appears to have failed during prefill.
TEST_CASE(
    "Generation runner keeps runs for the grace period", "[recovery][runner]")
{
    runner_fixture f;
    f.engine.prefill_time = std::chrono::hours(1);
    f.from("r1", f.work(1, 1));
    f.scheduler.advance(std::chrono::seconds(10));
    f.from("r1", ping{4});
    CHECK(f.sent_to<pong>("r1").back().sequence == 4);
    f.scheduler.advance(std::chrono::seconds(29));
    CHECK(f.engine.running() == 1);
    // Between five and ten heartbeats per second, plus the reply to the ping.
    CHECK(f.sent_to<pong>("r1").size() >= 39 * 5);
    CHECK(f.sent_to<pong>("r1").size() <= 39 * 10 + 2);
    f.scheduler.advance(std::chrono::seconds(2));
    CHECK(f.engine.running() == 0);
    CHECK(f.permits.held.empty());

    runner_fixture finished;
    finished.from("r1", finished.work(1, 1));
    finished.scheduler.advance(std::chrono::seconds(25));
    CHECK(finished.permits.held.empty());
    finished.from("r2", attach{finished.id, 0, 39, true});
    finished.scheduler.advance(milliseconds(1));
    CHECK(finished.sent_to<token_batch>("r2").size() == 1);
    CHECK(finished.sent_to<generation_finished>("r2").size() == 1);
    finished.scheduler.advance(std::chrono::seconds(31));
    CHECK(finished.runner.buffered_tokens() == 0);
}

// Guards against one message per token of a fast engine, and against unbounded
// growth of the output buffer.
TEST_CASE(
    "Generation runner batches and bounds its output", "[recovery][runner]")
{
    struct burst_engine : engine
    {
        engine_run_id
        start(dispatch_generation const&, engine_events e) override
        {
            events = std::move(e);
            return 1;
        }
        void cancel(engine_run_id) override { ++cancelled; }
        void order(
            engine_order const&,
            std::function<void(std::optional<error>)>) override
        {
        }
        engine_events events;
        unsigned cancelled = 0;
    };
    runner_fixture f;
    burst_engine burst;
    generation_runner runner(
        7, f.scheduler, f.scheduler, f.transport, burst, f.permits, f.policy,
        f.counters);
    f.policy.settings.recovery.max_unsent_tokens = 10;
    runner.on_message(peer_id("r1"), f.work(1, 1));
    for (int i = 0; i < 40; ++i)
        burst.events.on_tokens({"t"});
    f.scheduler.advance(milliseconds(1));
    CHECK(f.sent_to<token_batch>("r1").size() == 1);
    burst.events.on_tokens({"t"});
    f.scheduler.advance(milliseconds(1));
    CHECK(burst.cancelled == 1);
    CHECK(f.failures("r1") == codes{error_code::overloaded});
    CHECK(f.permits.held.empty());
}
