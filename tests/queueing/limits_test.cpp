// Tests of admission control, the retry budget and the link budget.
#include <catch2/catch.hpp>

#include "choice/cross_region_budget.hpp"
#include "manual_scheduler.hpp"
#include "queueing/admission.hpp"
#include "queueing/retry_budget.hpp"
#include "rapidcheck_seed.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

namespace
{

class fixed_wait : public wait_estimator
{
public:
    duration estimated_wait(model_ref const&, rank r) const override
    {
        return waits[index_of(r)];
    }

    std::array<duration, rank_count> waits{};
};

struct admission_under_test
{
    manual_scheduler scheduler;
    fixed_policy policy;
    fixed_wait waits;
    counter_registry counters;
    token_bucket_admission admission{scheduler, policy, waits, counters};

    std::optional<error>
    admit(std::string const& organisation, rank r = rank::standard)
    {
        try
        {
            admission.admit(organisation_id(organisation), r, {"m", "", "1"});
            return std::nullopt;
        }
        catch (error const& e)
        {
            return e;
        }
    }
};

} // namespace

// Guards against an organisation that exceeds its rate, and against a
// retry_after after which the request would be refused again.
TEST_CASE("an organisation is limited to its rate and burst")
{
    admission_under_test t;
    t.policy.settings.organisation.requests_per_second = 2;
    t.policy.settings.organisation.burst_requests = 5;
    for (int i = 0; i < 5; ++i)
        REQUIRE_FALSE(t.admit("a"));
    auto const refused = t.admit("a");
    REQUIRE(refused);
    CHECK(refused->code() == error_code::rate_limited);
    CHECK_FALSE(t.admit("b"));
    t.scheduler.advance(refused->retry_after());
    CHECK_FALSE(t.admit("a"));
    t.policy.settings.organisation.requests_per_second = 0; // unlimited
    for (int i = 0; i < 50; ++i)
        CHECK_FALSE(t.admit("a"));
}

// Guards against queueing work that cannot start within its rank's waiting
// limit, and against refusing one rank because another rank has to wait.
TEST_CASE("work that would wait too long is refused early")
{
    auto const [wait, refused] = GENERATE(table<milliseconds, bool>({
        {milliseconds(0), false},
        {milliseconds(20000), false}, // exactly the limit of `standard`
        {milliseconds(20001), true},
        {milliseconds(3600000), true},
    }));
    admission_under_test t;
    t.waits.waits[index_of(rank::standard)] = wait;
    auto const e = t.admit("a");
    REQUIRE(e.has_value() == refused);
    CHECK_FALSE(t.admit("a", rank::urgent));
    if (!refused)
        return;
    CHECK(e->code() == error_code::overloaded);
    CHECK(e->retry_after() >= milliseconds(100));
    CHECK(e->retry_after() <= seconds(30));
}

// Guards against memory that grows with the number of organisation names.
TEST_CASE("admission tracks a bounded number of organisations")
{
    admission_under_test t;
    for (int i = 0; i < 20000; ++i)
        t.admit("org" + std::to_string(i));
    CHECK(t.admission.tracked_organisations() <= 8192);
    CHECK(t.admission.tracked_organisations() >= 5200);
}

// Guards against a retry storm after the loss of a zone, and against a budget
// that refuses the few retries of a router under low load.
TEST_CASE("retries are limited to a share of first attempts plus a constant")
{
    struct row
    {
        std::string name;
        unsigned first_per_second;
        unsigned quiet_seconds; // before the storm
        double most;            // retries in 10 s of storm
        double least;
    };
    // 10 s of the constant rate of 5/s plus the credit that the decay with a
    // time constant of 10 s retains.
    auto const r = GENERATE(
        row{"idle router", 0, 0, 60, 25},
        row{"busy router", 1000, 0, 50 + 1000 + 60, 600},
        row{"credit of an idle hour is bounded", 0, 3600, 110, 25},
        row{"a busy hour accumulates 10 s of credit", 1000, 3600, 1100 + 1060,
            900});
    INFO(r.name);
    manual_scheduler scheduler;
    fixed_policy policy;
    retry_budget budget(scheduler, policy);
    auto const second = [&](bool storm)
    {
        unsigned granted = 0;
        for (int tick = 0; tick < 10; ++tick)
        {
            scheduler.advance(milliseconds(100));
            for (unsigned i = 0; i < r.first_per_second / 10; ++i)
                budget.on_first_attempt(rank::standard);
            while (storm && budget.try_retry(rank::standard))
                ++granted;
        }
        return granted;
    };
    for (unsigned i = 0; i < r.quiet_seconds; ++i)
        second(false);
    unsigned granted = 0;
    for (int i = 0; i < 10; ++i)
        granted += second(true);
    CHECK(granted <= r.most);
    CHECK(granted >= r.least);
    CHECK(budget.try_retry(rank::urgent)); // ranks have their own budgets
}

// Guards against sending more bytes over the billed link than the budget
// allows, in any time span and after any sequence of taking and returning.
TEST_CASE("the link budget is never exceeded")
{
    bool const ok = rc::check(
        [](std::vector<std::pair<std::uint16_t, std::uint32_t>> const& steps)
        {
            manual_scheduler scheduler;
            fixed_policy policy;
            cross_region_budget link(scheduler, policy, 0.01);
            double const rate = 1e4; // 1e6 B/s times the share
            double const burst = link.available();
            steady_time const start = scheduler.now();
            double sent = 0;
            for (auto const& [wait, raw] : steps)
            {
                // Idle time accumulates no more than one burst.
                scheduler.advance(milliseconds(wait % 1000) * (wait % 40));
                RC_ASSERT(link.try_consume(0));
                RC_ASSERT(link.available() <= burst);
                byte_count const bytes = raw % 200000;
                if (!link.try_consume(bytes))
                    continue;
                if (wait % 3 == 0)
                    link.refund(bytes);
                else
                    sent += static_cast<double>(bytes);
                std::chrono::duration<double> const passed =
                    scheduler.now() - start;
                RC_ASSERT(sent <= burst + passed.count() * rate + 1);
                RC_ASSERT(link.available() >= 0);
            }
        });
    REQUIRE(ok);
}

// Guards against a fleet in which each shard of each router admits an
// organisation's full rate.
TEST_CASE("a shard admits its share of an organisation's rate")
{
    auto const [sharers, admitted] =
        GENERATE(table<int, int>({{1, 100}, {4, 25}, {10, 10}, {100, 5}}));
    manual_scheduler scheduler;
    fixed_policy policy;
    policy.settings.organisation.requests_per_second = 50;
    policy.settings.organisation.burst_requests = 100;
    struct no_wait : wait_estimator
    {
        duration estimated_wait(model_ref const&, rank) const override
        {
            return {};
        }
    } const waits;
    counter_registry counters;
    token_bucket_admission admission(
        scheduler, policy, waits, counters, 1.0 / sharers);
    organisation_id const organisation("o");
    auto const admits = [&]
    {
        int count = 0;
        try
        {
            while (count < 1000)
            {
                admission.admit(organisation, rank::standard, {});
                ++count;
            }
        }
        catch (error const& e)
        {
            REQUIRE(e.code() == error_code::rate_limited);
        }
        return count;
    };
    REQUIRE(admits() == admitted);
    scheduler.advance(std::chrono::seconds(sharers));
    REQUIRE(std::abs(admits() - std::min(50, admitted)) <= 1);
}
