// The heaviest load: prompts beyond what all endpoints hold. Plays arrivals
// and ends on a fake clock and checks what callers get.
#include <catch2/catch.hpp>

#include <map>

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
    std::uint64_t id, std::uint32_t rank, int now, int patience = 2000,
    std::string const& organisation = "acme")
{
    queued_request e;
    e.id = id;
    e.organisation = organisation_id(organisation);
    e.rank = rank;
    e.tokens = 8000;
    e.target_start = at(now + patience);
    e.start_deadline = e.target_start;
    return e;
}

} // namespace

TEST_CASE("the most urgent request goes first", "[request_queue]")
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

// A request that cannot begin in time is refused when it comes, not when its
// time is over, with a time after which the line is shorter.
TEST_CASE(
    "a request that would wait too long is refused at once", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::uint64_t id = 0;
    for (int i = 0; i < 5; ++i)
        REQUIRE_FALSE(queue.enqueue(entry(++id, 0, 0, 60000), at(0)));
    for (int second = 1; second <= 3; ++second)
        queue.pop(at(second * 1000)); // one begins a second
    auto const refusal = queue.enqueue(entry(++id, 0, 3000, 2000), at(3000));
    REQUIRE(refusal);
    REQUIRE(refusal->id == id);
    REQUIRE(refusal->retry_after == milliseconds(3000));
    REQUIRE_FALSE(queue.enqueue(entry(++id, 0, 3000, 4000), at(3000)));
}

// Guards against refusals beside idle endpoints, when the rate is that of a
// time at which hardly any requests came.
TEST_CASE("an old rate refuses nobody", "[request_queue]")
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

TEST_CASE("a request whose time to begin is over is refused", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    REQUIRE_FALSE(queue.enqueue(entry(1, 0, 0, 500), at(0)));
    REQUIRE_FALSE(queue.enqueue(entry(2, 0, 0, 900), at(0)));
    REQUIRE(queue.remove_expired(at(499)).empty());
    auto const late = queue.remove_expired(at(500));
    REQUIRE(late.size() == 1);
    REQUIRE(late[0].id == 1);
    REQUIRE(queue.size() == 1);
}

// In a flood of urgent work some of it is late whatever is done; it must not
// make the next rank late as well.
TEST_CASE("what is late by now yields to the next rank", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    auto late = entry(1, 0, 0);
    late.target_start = at(500);
    late.start_deadline = at(9000);
    REQUIRE_FALSE(queue.enqueue(late, at(0)));
    REQUIRE_FALSE(queue.enqueue(entry(2, 1, 0), at(0)));
    auto const urgent = entry(3, 0, 100);
    SECTION("in time, the most urgent goes first")
    {
        REQUIRE(queue.pop(at(499))->id == 1);
    }
    SECTION("overdue, it waits its turn among the next rank")
    {
        REQUIRE_FALSE(queue.enqueue(urgent, at(100)));
        REQUIRE(queue.pop(at(600))->id == 3);
        REQUIRE(queue.pop(at(600))->id == 2);
        REQUIRE(queue.pop(at(600))->id == 1);
    }
    SECTION("a request that found no room keeps its times")
    {
        auto const taken = queue.pop(at(100));
        queue.requeue(*taken, at(100));
        REQUIRE(queue.pop(at(200))->id == 1);
    }
}

// A flood of general questions, three times what begins, beside urgent ones.
TEST_CASE("urgent work begins in time beside a flood", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::map<std::uint64_t, std::pair<std::uint32_t, int>> open;
    std::map<std::uint32_t, int> asked;
    std::map<std::uint32_t, int> begun;
    int slowest_urgent = 0;
    std::uint64_t id = 0;
    for (int now = 0; now < 20000; now += 100)
    {
        // Ten begin a second; four urgent ones and thirty others arrive.
        for (int n = 0; n < 3 + (now % 500 < 200 ? 1 : 0); ++n)
        {
            std::uint32_t const rank = n == 3 ? 0 : 2;
            ++asked[rank];
            open[++id] = {rank, now};
            if (auto const refusal =
                    queue.enqueue(entry(id, rank, now), at(now)))
                open.erase(refusal->id);
        }
        for (auto const& late : queue.remove_expired(at(now)))
            open.erase(late.id);
        if (auto const next = queue.pop(at(now)))
        {
            auto const [rank, since] = open.at(next->id);
            ++begun[rank];
            if (rank == 0)
                slowest_urgent = std::max(slowest_urgent, now - since);
            open.erase(next->id);
        }
    }
    REQUIRE(begun[0] >= asked[0] * 95 / 100);
    REQUIRE(slowest_urgent <= 1000);
    REQUIRE(begun[2] > 100); // what is left of the capacity
}

// One organisation asks fifty times more than the other.
TEST_CASE(
    "a small organisation is served beside a large one", "[request_queue]")
{
    fixed_policy const policy;
    request_queue queue(policy);
    std::map<std::uint64_t, std::string> open;
    std::map<std::string, int> asked;
    std::map<std::string, int> begun;
    std::uint64_t id = 0;
    for (int now = 0; now < 20000; now += 100)
    {
        for (int n = 0; n < 5; ++n)
        {
            bool const small = n == 0 && now % 1000 == 0;
            std::string const who = small ? "small" : "large";
            ++asked[who];
            open[++id] = who;
            if (auto const refusal =
                    queue.enqueue(entry(id, 1, now, 2000, who), at(now)))
                open.erase(refusal->id);
        }
        for (auto const& late : queue.remove_expired(at(now)))
            open.erase(late.id);
        if (auto const next = queue.pop(at(now)))
        {
            ++begun[open.at(next->id)];
            open.erase(next->id);
        }
    }
    REQUIRE(begun["small"] >= asked["small"] * 9 / 10);
}
