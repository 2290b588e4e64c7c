// Queue under overload: prompts beyond the capacity of all endpoints. Simulates
// arrivals and completions on a fake clock and checks the outcome for clients.
#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "gateway/request_queue.hpp"
#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

struct fixed_policy : policy_source
{
    policy_settings settings;
    policy_settings const& current() const override { return settings; }
};

queued_request entry(
    std::uint64_t id, std::uint32_t rank, int now, int max_wait = 2000,
    std::string const& organisation = "acme")
{
    queued_request e;
    e.id = id;
    e.organisation = organisation_id(organisation);
    e.rank = rank;
    e.tokens = 8000;
    e.target_start = at(now + max_wait);
    e.start_deadline = e.target_start;
    return e;
}

} // namespace

TEST_CASE("the most urgent request starts first", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    REQUIRE_FALSE(queue.enqueue(entry(1, 2, 0), at(0)));
    REQUIRE_FALSE(queue.enqueue(entry(2, 1, 0), at(0)));
    REQUIRE_FALSE(queue.enqueue(entry(3, 0, 0), at(0)));
    REQUIRE(queue.pop(at(10))->id == 3);
    REQUIRE(queue.pop(at(10))->id == 2);
    REQUIRE(queue.pop(at(10))->id == 1);
    REQUIRE_FALSE(queue.pop(at(10)));
}

// A begun answer that waited for an endpoint was demoted, evicted or refused,
// which ended it midway.
TEST_CASE("a begun answer keeps its place", "[request_queue]")
{
    fixed_policy policy;
    policy.settings.queue.max_reservations = 12;
    request_queue queue(policy);
    auto begun = entry(1, 0, 0, 1000);
    begun.begun = true;
    SECTION("when it is overdue")
    {
        REQUIRE_FALSE(queue.enqueue(begun, at(0)));
        REQUIRE_FALSE(queue.enqueue(entry(2, 0, 0, 60000, "other"), at(0)));
        REQUIRE_FALSE(queue.enqueue(entry(3, 0, 0, 60000), at(0)));
        REQUIRE(queue.pop(at(1500))->id == 1);
    }
    SECTION("when it arrives overdue")
    {
        REQUIRE_FALSE(queue.enqueue(begun, at(1500)));
        REQUIRE_FALSE(queue.enqueue(entry(2, 0, 0, 60000), at(1500)));
        REQUIRE(queue.pop(at(1500))->id == 1);
    }
    SECTION("when no start is expected in time")
    {
        for (std::uint64_t id = 2; id < 8; ++id)
            REQUIRE_FALSE(queue.enqueue(entry(id, 0, 0, 60000), at(0)));
        for (int i = 0; i < 4; ++i)
            REQUIRE(queue.pop(at(800 + 900 * i)));
        REQUIRE(queue.enqueue(entry(8, 0, 3500, 1000), at(3500)));
        begun.start_deadline = at(4500);
        REQUIRE_FALSE(queue.enqueue(begun, at(3500)));
    }
    SECTION("when no endpoint can start it in time")
    {
        REQUIRE_FALSE(queue.enqueue(begun, at(0)));
        REQUIRE_FALSE(queue.enqueue(entry(2, 0, 0, 1000), at(0)));
        REQUIRE_FALSE(begun.too_late_at(at(5000)));
        auto const expired = queue.remove_expired(at(5000));
        REQUIRE(expired.size() == 1);
        REQUIRE(expired[0].id == 2);
        REQUIRE(queue.pop(at(10))->id == 1);
    }
    SECTION("behind a full queue")
    {
        auto const rank = GENERATE(0u, 1u, 2u);
        CAPTURE(rank);
        begun.rank = rank;
        for (std::uint64_t id = 2; id < 14; ++id)
            REQUIRE_FALSE(queue.enqueue(entry(id, rank, 0, 60000), at(0)));
        REQUIRE_FALSE(queue.enqueue(begun, at(0)));
        std::set<std::uint64_t> refused;
        for (std::uint64_t id = 20; id < 60; ++id)
        {
            auto const refusal =
                queue.enqueue(entry(id, 0, 0, 60000, "other"), at(0));
            REQUIRE(refusal);
            refused.insert(refusal->id);
        }
        REQUIRE(refused.count(1) == 0);
        REQUIRE(queue.size() == 13);
    }
    SECTION("in a queue of begun answers")
    {
        for (std::uint64_t id = 1; id <= 30; ++id)
        {
            begun.id = id;
            REQUIRE_FALSE(queue.enqueue(begun, at(0)));
        }
        for (std::uint64_t id = 31; id <= 42; ++id)
            REQUIRE_FALSE(queue.enqueue(entry(id, 0, 0, 1000), at(0)));
        REQUIRE(queue.enqueue(entry(43, 0, 0, 1000), at(0))->id == 43);
        // The others become overdue meanwhile; none is lost by that.
        std::set<std::uint64_t> started;
        while (auto const next = queue.pop(at(2000)))
            started.insert(next->id);
        REQUIRE(started.size() == 42);
    }
}

// A request that cannot start in time is refused on arrival instead of at its
// deadline, with the time after which the queue is expected to be shorter.
TEST_CASE(
    "a request that would wait too long is refused at once", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::uint64_t id = 0;
    for (int i = 0; i < 5; ++i)
        REQUIRE_FALSE(queue.enqueue(entry(++id, 0, 0, 60000), at(0)));
    for (int second = 1; second <= 3; ++second)
        queue.pop(at(second * 1000)); // one starts per second
    auto const refusal = queue.enqueue(entry(++id, 0, 3000, 2000), at(3000));
    REQUIRE(refusal);
    REQUIRE(refusal->id == id);
    REQUIRE(refusal->retry_after == milliseconds(3000));
    REQUIRE_FALSE(queue.enqueue(entry(++id, 0, 3000, 4000), at(3000)));
}

// Guards against refusals while endpoints are idle, when the start rate stems
// from a period with very few requests.
TEST_CASE("an outdated start rate causes no refusals", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::uint64_t id = 0;
    for (int now = 0; now < 20000; now += 4000)
    {
        REQUIRE_FALSE(queue.enqueue(entry(++id, 0, now), at(now)));
        REQUIRE(queue.pop(at(now)));
    }
    for (int i = 0; i < 10; ++i)
        REQUIRE_FALSE(queue.enqueue(entry(++id, 0, 20000), at(20000)));
}

TEST_CASE("a request past its start deadline is refused", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    REQUIRE_FALSE(queue.enqueue(entry(1, 0, 0, 500), at(0)));
    REQUIRE_FALSE(queue.enqueue(entry(2, 0, 0, 900), at(0)));
    REQUIRE(queue.remove_expired(at(499)).empty());
    auto const expired = queue.remove_expired(at(500));
    REQUIRE(expired.size() == 1);
    REQUIRE(expired[0].id == 1);
    REQUIRE(queue.size() == 1);
}

// In a flood of urgent requests some miss their target in any case; they must
// not delay the next rank beyond its target as well.
TEST_CASE("an overdue request is demoted by one rank", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    auto overdue = entry(1, 0, 0);
    overdue.target_start = at(500);
    overdue.start_deadline = at(9000);
    REQUIRE_FALSE(queue.enqueue(overdue, at(0)));
    REQUIRE_FALSE(queue.enqueue(entry(2, 1, 0), at(0)));
    auto const urgent = entry(3, 0, 100);
    SECTION("before its target, the most urgent starts first")
    {
        REQUIRE(queue.pop(at(499))->id == 1);
    }
    SECTION("overdue, it competes in the next rank")
    {
        REQUIRE_FALSE(queue.enqueue(urgent, at(100)));
        REQUIRE(queue.pop(at(600))->id == 3);
        REQUIRE(queue.pop(at(600))->id == 2);
        REQUIRE(queue.pop(at(600))->id == 1);
    }
    SECTION("a requeued request keeps its times")
    {
        auto const taken = queue.pop(at(100));
        queue.requeue(*taken, at(100));
        REQUIRE(queue.pop(at(200))->id == 1);
    }
}

// A flood of low-rank requests at three times the capacity, beside urgent ones.
TEST_CASE("urgent requests start in time during a flood", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::map<std::uint64_t, std::pair<std::uint32_t, int>> waiting;
    std::map<std::uint32_t, int> submitted;
    std::map<std::uint32_t, int> started;
    int max_urgent_wait = 0;
    std::uint64_t id = 0;
    for (int now = 0; now < 20000; now += 100)
    {
        // Ten requests start per second; four urgent and thirty other ones
        // arrive.
        for (int n = 0; n < 3 + (now % 500 < 200 ? 1 : 0); ++n)
        {
            std::uint32_t const rank = n == 3 ? 0 : 2;
            ++submitted[rank];
            waiting[++id] = {rank, now};
            if (auto const refusal =
                    queue.enqueue(entry(id, rank, now), at(now)))
                waiting.erase(refusal->id);
        }
        for (auto const& expired : queue.remove_expired(at(now)))
            waiting.erase(expired.id);
        if (auto const next = queue.pop(at(now)))
        {
            auto const [rank, since] = waiting.at(next->id);
            ++started[rank];
            if (rank == 0)
                max_urgent_wait = std::max(max_urgent_wait, now - since);
            waiting.erase(next->id);
        }
    }
    REQUIRE(started[0] >= submitted[0] * 95 / 100);
    REQUIRE(max_urgent_wait <= 1000);
    REQUIRE(started[2] > 100); // the remaining capacity
}

// One organisation sends fifty times as many requests as the other.
TEST_CASE(
    "a small organisation is served beside a large one", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::map<std::uint64_t, std::string> waiting;
    std::map<std::string, int> submitted;
    std::map<std::string, int> started;
    std::uint64_t id = 0;
    for (int now = 0; now < 20000; now += 100)
    {
        for (int n = 0; n < 5; ++n)
        {
            bool const small = n == 0 && now % 1000 == 0;
            std::string const name = small ? "small" : "large";
            ++submitted[name];
            waiting[++id] = name;
            if (auto const refusal =
                    queue.enqueue(entry(id, 1, now, 2000, name), at(now)))
                waiting.erase(refusal->id);
        }
        for (auto const& expired : queue.remove_expired(at(now)))
            waiting.erase(expired.id);
        if (auto const next = queue.pop(at(now)))
        {
            ++started[waiting.at(next->id)];
            waiting.erase(next->id);
        }
    }
    REQUIRE(started["small"] >= submitted["small"] * 9 / 10);
}

// What found no room lost its turn to later requests of its organisation.
TEST_CASE("what found no room stays before later ones", "[request_queue]")
{
    bool const begun = GENERATE(false, true);
    CAPTURE(begun);
    fixed_policy const policy;
    request_queue queue(policy);
    auto const now = steady_time() + std::chrono::hours(1);
    for (queue_entry_id id : {1, 2, 3})
    {
        queued_request entry;
        entry.id = id;
        entry.organisation = organisation_id("acme");
        entry.target_start = now + std::chrono::seconds(1);
        entry.start_deadline = now + std::chrono::seconds(9);
        entry.begun = begun;
        REQUIRE_FALSE(queue.enqueue(entry, now));
    }
    for (int round = 0; round < 3; ++round)
    {
        auto const next = queue.pop(now);
        REQUIRE(next);
        REQUIRE(next->id == 1);
        queue.requeue(*next, now);
    }
}
