#include <catch2/catch.hpp>

#include "gateway/suspected_crashes.hpp"
#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

std::shared_ptr<endpoint_state> make_endpoint(char const* id)
{
    endpoint_record record;
    record.id = endpoint_id(id);
    return std::make_shared<endpoint_state>(std::move(record));
}

} // namespace

// A crash on a reused connection was taken for a connection closed while idle,
// by the time alone.
TEST_CASE("what is seen of the endpoint decides a suspicion", "[quarantine]")
{
    enum class sight
    {
        dead,
        dead_elsewhere, // another endpoint
        alive,
        alive_before, // a check that began before the connection ended
        leaving,
        replaced
    };
    struct row
    {
        char const* what;
        std::vector<sight> seen;
        bool crash;
        bool undecided; // a check is still necessary
    };
    auto const r = GENERATE(
        row{"nothing", {}, false, true},
        row{"dead", {sight::dead}, true, false},
        row{"another one dead", {sight::dead_elsewhere}, false, true},
        row{"alive", {sight::alive}, false, false},
        row{"alive before", {sight::alive_before}, false, true},
        row{"alive before, then dead",
            {sight::alive_before, sight::dead},
            true,
            false},
        row{"alive, then dead", {sight::alive, sight::dead}, false, false},
        row{"leaving, then dead", {sight::leaving, sight::dead}, false, true},
        row{"another incarnation", {sight::replaced}, true, false},
        row{"back at once, registered later",
            {sight::alive, sight::replaced},
            true,
            false},
        row{"crashed once", {sight::dead, sight::replaced}, true, false});
    CAPTURE(r.what);
    auto const endpoint = make_endpoint("e1");
    auto const other = make_endpoint("e2");
    suspected_crashes suspicions;
    suspicions.add({request_id("r1"), endpoint, {1, 2}, at(1000)});
    suspected_crashes::crash_list crashes;
    for (auto const s : r.seen)
    {
        suspected_crashes::crash_list found;
        if (s == sight::dead)
            found = suspicions.confirm(*endpoint);
        if (s == sight::dead_elsewhere)
            found = suspicions.confirm(*other);
        if (s == sight::alive)
            suspicions.record_alive(*endpoint, at(1000));
        if (s == sight::alive_before)
            suspicions.record_alive(*endpoint, at(999));
        if (s == sight::leaving)
            endpoint->set_leaving(at(1500));
        if (s == sight::replaced)
            found = suspicions.confirm_replaced(
                [&](endpoint_state const& x) { return &x == endpoint.get(); });
        crashes.insert(crashes.end(), found.begin(), found.end());
    }
    REQUIRE(crashes.size() == (r.crash ? 1 : 0));
    REQUIRE(suspicions.undecided().size() == (r.undecided ? 1 : 0));
    if (r.crash)
    {
        REQUIRE(crashes[0].request.value() == "r1");
        REQUIRE(crashes[0].parts == prompt_part_keys{1, 2});
        REQUIRE(crashes[0].at == at(1000)); // not when it was recognised
    }
}

// Guards against checks and memory without bound.
TEST_CASE("suspicions expire and are bounded", "[quarantine]")
{
    auto const endpoint = make_endpoint("e1");
    suspected_crashes suspicions;
    for (int i = 0; i < 1000; ++i)
        suspicions.add({request_id("r1"), endpoint, {1}, at(1000)});
    REQUIRE(suspicions.undecided().size() == 1);
    suspicions.remove_expired(at(10999));
    REQUIRE(suspicions.undecided().size() == 1);
    suspicions.remove_expired(at(11000));
    REQUIRE(suspicions.undecided().empty());
    REQUIRE(suspicions.confirm(*endpoint).empty());
    for (int i = 0; i < 1000; ++i)
        suspicions.add({request_id("r1"), endpoint, {1}, at(20000)});
    REQUIRE(
        suspicions.confirm(*endpoint).size() ==
        suspected_crashes::max_suspicions);
}

// A sound stream that began after the loss must count, however late the loss
// is recognised.
TEST_CASE("a crash recognised late keeps its time", "[quarantine]")
{
    prompt_quarantine q;
    for (int const t : {0, 2000, 4000})
        q.record_crash(
            endpoint_id("e" + std::to_string(t)), {1, 2}, at(t), at(t + 900));
    REQUIRE(
        q.quarantined_for({1, 2}, at(4900)) ==
        duration(std::chrono::milliseconds(299100)));
    q.record_proof({1}, at(4500), at(5500));
    REQUIRE(q.quarantined_for({2}, at(5500)));
    REQUIRE_FALSE(q.quarantined_for({1}, at(5500)));
}
