#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "manual_scheduler.hpp"
#include "queueing/fair_queue.hpp"
#include "rapidcheck_seed.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

struct queue_under_test
{
    fixed_policy policy;
    fair_queue queue{policy};
    queue_entry_id last_id = 0;
    steady_time latest_start = steady_time::max();

    push_result
    push(std::string const& organisation, rank r, std::uint32_t tokens)
    {
        return queue.push(
            {++last_id, organisation_id(organisation), r, tokens,
             latest_start});
    }

    void
    push_many(unsigned n, std::string const& o, rank r, std::uint32_t tokens)
    {
        for (unsigned i = 0; i < n; ++i)
            push(o, r, tokens);
    }
};

} // namespace

// Guards against a flood of one rank that denies the others their floors, and
// against floors that take more than their share from urgent work.
TEST_CASE("each rank receives its floor while every rank has work")
{
    auto const [urgent, standard, background] =
        GENERATE(table<std::uint32_t, std::uint32_t, std::uint32_t>({
            {1000, 1000, 1000}, // equal costs
            {100, 5000, 20000}, // large low-rank work
            {20000, 100, 100},  // large urgent work
        }));
    queue_under_test t;
    std::array<std::uint32_t, rank_count> const cost = {
        urgent, standard, background};
    t.policy.settings.queue.max_reservations = 100000;
    for (auto const r : all_ranks)
        t.push_many(2000000 / cost[index_of(r)], "org", r, cost[index_of(r)]);
    std::array<double, rank_count> served{};
    double total = 0;
    while (total < 1.5e6)
    {
        auto const next = t.queue.pop({});
        served[index_of(next->entry.rank)] += next->entry.tokens;
        total += next->entry.tokens;
    }
    double const slack = 20000 / total; // one entry
    CHECK(served[1] / total == Approx(0.10).margin(slack));
    CHECK(served[2] / total == Approx(0.05).margin(slack));
}

// Guards against an overload in which all work starts just after its target,
// and against overdue work that is never served.
TEST_CASE("overdue entries are served after those that can meet their target")
{
    queue_under_test t;
    for (int const at : {1, 2, 3, 4})
    {
        t.latest_start = steady_time{} + std::chrono::seconds(at);
        t.push("org", rank::standard, 100);
    }
    std::vector<queue_entry_id> order;
    while (auto const next =
               t.queue.pop(steady_time{} + std::chrono::seconds(2)))
        order.push_back(next->entry.id);
    CHECK(order == std::vector<queue_entry_id>{3, 4, 1, 2});
}

// Guards against an idle rank that accumulates credit and later displaces
// urgent work in one block.
TEST_CASE("an idle lower rank earns no credit")
{
    queue_under_test t;
    t.push_many(2000, "org", rank::urgent, 1000);
    for (int i = 0; i < 1000; ++i)
        t.queue.pop({});
    t.push_many(100, "org", rank::background, 1000);
    unsigned background = 0;
    for (int i = 0; i < 100; ++i)
        background += t.queue.pop({})->entry.rank == rank::background;
    REQUIRE(background <= 6); // 5 of 100 and one entry of slack
}

// Guards against an organisation's share that depends on its number of
// requests, its request size or a wrong estimate instead of its weight.
TEST_CASE("organisations of one rank are served in proportion to weight")
{
    struct row
    {
        std::string name;
        unsigned entries;     // of the large organisation
        std::uint32_t tokens; // each, estimated
        double weight;        // of the large organisation
        double actual;        // cost as a multiple of the estimate
        double share;         // of the small organisation, in actual tokens
    };
    auto const r = GENERATE(
        row{"sends more requests", 5000, 500, 1, 1, 0.5},
        row{"sends larger requests", 500, 30000, 1, 1, 0.5},
        row{"weight 3", 5000, 500, 3, 1, 0.25},
        row{"costs 4 times its estimate", 5000, 500, 1, 4, 0.5});
    INFO(r.name);
    queue_under_test t;
    t.policy.settings.organisations[organisation_id("large")].weight = r.weight;
    t.push_many(2000, "small", rank::standard, 500);
    t.push_many(r.entries, "large", rank::standard, r.tokens);
    std::map<organisation_id, double> served;
    double total = 0;
    while (total < 6e5)
    {
        auto const next = *t.queue.pop({});
        bool const large = next.entry.organisation == organisation_id("large");
        auto const actual = static_cast<std::uint32_t>(
            next.entry.tokens * (large ? r.actual : 1));
        t.queue.correct_cost(next, actual);
        served[next.entry.organisation] += actual;
        total += actual;
    }
    double const slack = 40000 / total; // one large entry and a quantum
    REQUIRE(
        served[organisation_id("small")] / total ==
        Approx(r.share).margin(slack));
}

// Guards against an organisation that avoids the charge for underestimated work
// by leaving its backlog empty between requests.
TEST_CASE("a debt persists while its organisation is idle, not its rank")
{
    bool const idle_rank = GENERATE(false, true);
    bool const withdraws = GENERATE(false, true); // while in debt
    queue_under_test t;
    t.push("underestimating", rank::standard, 1);
    auto const first = *t.queue.pop({});
    if (withdraws)
        t.push("underestimating", rank::standard, 1);
    auto const withdrawn = t.last_id;
    if (!idle_rank)
        t.push_many(40, "other", rank::standard, 1000);
    t.queue.correct_cost(first, 20000);
    if (withdraws)
        t.queue.erase(withdrawn);
    if (idle_rank)
        t.push_many(40, "other", rank::standard, 1000);
    t.push("underestimating", rank::standard, 1);
    unsigned before = 0;
    while (t.queue.pop({})->entry.organisation !=
           organisation_id("underestimating"))
        ++before;
    CHECK((before >= 10) == !idle_rank);
}

// Guards against a full queue that excludes a rank or an organisation.
TEST_CASE("a full queue evicts entries for ranks and organisations with few")
{
    struct row
    {
        std::string name;
        rank flood;
        rank incoming;
        std::string organisation;
        bool accepted;
    };
    auto const r = GENERATE(
        row{"urgent in a background flood", rank::background, rank::urgent, "b",
            true},
        row{"background in an urgent flood", rank::urgent, rank::background,
            "b", true},
        row{"small organisation, same rank", rank::standard, rank::standard,
            "b", true},
        row{"the flood itself", rank::standard, rank::standard, "a", false});
    INFO(r.name);
    queue_under_test t;
    t.policy.settings.queue.max_reservations = 60;
    t.push_many(60, "a", r.flood, 10);
    auto const result = t.push(r.organisation, r.incoming, 10);
    CHECK(result.accepted == r.accepted);
    CHECK(result.evicted.has_value() == r.accepted);
    CHECK(t.queue.size() == 60);
}

// Guards against lost or repeated entries, counts that drift, and state that
// grows without bound.
TEST_CASE("each entry is kept once and bounds hold after any sequence")
{
    bool const ok = rc::check(
        [](std::vector<std::uint16_t> const& steps)
        {
            queue_under_test t;
            t.policy.settings.queue.max_reservations = 20;
            std::set<queue_entry_id> present;
            std::vector<served_entry> served;
            std::uint64_t tokens = 0;
            std::map<queue_entry_id, std::uint32_t> cost;
            for (auto const step : steps)
            {
                std::uint16_t const x = step / 8;
                switch (step % 4)
                {
                case 0:
                case 1:
                {
                    auto const pushed = t.push(
                        std::to_string(x % 7), all_ranks[x % 3], x % 5000);
                    if (pushed.accepted)
                        present.insert(t.last_id);
                    if (pushed.evicted)
                        RC_ASSERT(present.erase(*pushed.evicted) == 1u);
                    cost[t.last_id] = x % 5000;
                    break;
                }
                case 2:
                    if (auto const next = t.queue.pop({}))
                    {
                        RC_ASSERT(present.erase(next->entry.id) == 1u);
                        served.push_back(*next);
                    }
                    break;
                default:
                    if (!served.empty() && x % 2 == 0)
                        t.queue.correct_cost(served[x % served.size()], x);
                    else if (!present.empty())
                    {
                        auto const id = *present.begin();
                        RC_ASSERT(t.queue.erase(id));
                        RC_ASSERT(!t.queue.erase(id));
                        present.erase(id);
                    }
                }
                RC_ASSERT(t.queue.size() == present.size());
                RC_ASSERT(t.queue.size() <= 20u);
                tokens = 0;
                for (auto const id : present)
                    tokens += cost[id];
                RC_ASSERT(t.queue.waiting_tokens() == tokens);
                RC_ASSERT(t.queue.tracked_organisations() <= 7u * rank_count);
            }
            while (auto const next = t.queue.pop({}))
                RC_ASSERT(present.erase(next->entry.id) == 1u);
            RC_ASSERT(present.empty());
        });
    REQUIRE(ok);
}

// Guards against unbounded memory use by the debts of idle organisations.
TEST_CASE("debts are recorded for a bounded number of organisations")
{
    queue_under_test t;
    t.push("always", rank::standard, 1u << 20);
    t.push("always", rank::standard, 1u << 20);
    for (int i = 0; i < 20000; ++i)
    {
        t.push(std::to_string(i), rank::standard, 1);
        auto const next = *t.queue.pop({});
        t.queue.correct_cost(next, 1u << 20);
    }
    REQUIRE(t.queue.tracked_organisations() <= 8192 + 2);
}
