// Speeds of endpoints as learned from streams, and what is chosen by them.
// Index: measurement; estimate; choice; load.
#include <catch2/catch.hpp>

#include <cstdint>
#include <random>
#include <vector>

#include "gateway/event_pace.hpp"
#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

// Measurement ----------------------------------------------------------------

// Guards against an endpoint that counts as many times faster than it is, as
// its events were held up and came together.
TEST_CASE("a window of events gives the time per event", "[pace]")
{
    struct row
    {
        char const* name;
        std::vector<int> arrivals;    // ms, of one event each
        std::optional<int> last_pace; // ms; none: no window counts
    };
    std::vector<int> regular;
    for (int i = 0; i < 20; ++i)
        regular.push_back(30 * i);
    auto const r = GENERATE_COPY(
        row{"nothing", {}, std::nullopt}, row{"one event", {0}, std::nullopt},
        row{"less than a window",
            {0, 30, 60, 90, 120, 150, 180, 210},
            std::nullopt},
        row{"two windows", regular, 30},
        row{"together", {0, 0, 0, 1, 1, 1, 1, 1, 1, 1}, std::nullopt},
        row{"after a pause", {0, 800, 800, 800, 800, 800, 800, 800, 800}, 100});
    CAPTURE(r.name);
    event_pace_meter meter;
    std::optional<int> last;
    for (auto const ms : r.arrivals)
    {
        if (auto const pace = meter.record(1, at(ms)))
            last = int(std::chrono::duration_cast<milliseconds>(*pace).count());
    }
    REQUIRE(last == r.last_pace);
    REQUIRE_FALSE(meter.record(0, at(100000)));
}

// Estimate -------------------------------------------------------------------

// Guards against speeds that tell the load of an endpoint instead: three of
// four windows may lie beside the processing of prompts.
TEST_CASE("the estimate follows the undisturbed windows", "[pace]")
{
    struct row
    {
        char const* name;
        int pace;               // ms
        double disturbed_share; // of the windows, four times longer
        double held_up_share;   // of the windows, ten times shorter
    };
    auto const r = GENERATE(
        row{"idle", 14, 0, 0}, row{"busy", 14, 0.5, 0}, row{"slow", 30, 0.2, 0},
        row{"held up", 30, 0.2, 0.05});
    CAPTURE(r.name);
    std::mt19937 random(7);
    std::uniform_real_distribution<double> uniform;
    event_pace pace;
    double worst = 0;
    double best = 1e9;
    for (int i = 0; i < 400; ++i)
    {
        double const u = uniform(random);
        double const factor = u < r.disturbed_share                     ? 4
                              : u < r.disturbed_share + r.held_up_share ? 0.1
                                                                        : 1;
        auto const sample =
            std::chrono::microseconds(std::int64_t(1000 * r.pace * factor));
        pace.record(sample, at(i));
        auto const value = pace.value(at(i));
        double const ratio =
            std::chrono::duration<double, std::milli>(*value).count() / r.pace;
        if (i < 100)
            continue;
        worst = std::max(worst, ratio);
        best = std::min(best, ratio);
    }
    CHECK(worst < 1.6);
    CHECK(best > 1 / 1.6);
}

// Guards against an endpoint that is avoided, or preferred, by what it did long
// ago, and against what others saw replacing what is seen here.
TEST_CASE("estimates age and own ones go first", "[pace]")
{
    struct row
    {
        char const* name;
        std::optional<int> own_at;  // s; of 20 ms
        std::optional<int> peer_at; // s; of 50 ms
        std::optional<int> value;   // ms, at 40 s
    };
    auto const r = GENERATE(
        row{"none", std::nullopt, std::nullopt, std::nullopt},
        row{"own", 36, std::nullopt, 20},
        row{"of a peer", std::nullopt, 36, 50}, row{"both", 36, 36, 20},
        row{"own is older", 34, 36, 50}, row{"own, old", 11, std::nullopt, 20},
        row{"both outdated", 9, 9, std::nullopt});
    CAPTURE(r.name);
    event_pace pace;
    if (r.own_at)
        pace.record(milliseconds(20), at(*r.own_at * 1000));
    if (r.peer_at)
        pace.record_peer(milliseconds(50), at(*r.peer_at * 1000));
    auto const value = pace.value(at(40000));
    REQUIRE(value.has_value() == r.value.has_value());
    if (value)
        REQUIRE(*value == milliseconds(*r.value));
}

// Choice ---------------------------------------------------------------------

// Guards against answers that take twice as long as they would at a faster
// endpoint, and against a fast endpoint that is overrun as it is fast.
TEST_CASE("prompts go where they end first", "[pace][selection]")
{
    struct row
    {
        char const* name;
        int pace_of_one;           // ms; the others have 30
        std::uint32_t runs_at_one; // the others have 1
        char const* zone_of_one;   // of the gateway: a1 in region a
        bool chosen;
    };
    auto const r = GENERATE(
        row{"faster", 14, 1, "a1", true}, row{"busier", 14, 3, "a1", true},
        row{"too busy", 14, 4, "a1", false}, row{"slower", 90, 0, "a1", false},
        row{"hardly faster", 20, 2, "a1", false},
        row{"hardly slower", 40, 0, "a1", true},
        row{"other zone", 14, 1, "a2", true},
        row{"other region", 14, 1, "b1", false});
    CAPTURE(r.name);
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads peers;
    endpoint_selector selection(table, zones, peers, test_location());
    std::vector<endpoint_reservation> runs;
    for (int i = 0; i < 5; ++i)
    {
        auto const id = "e" + std::to_string(i);
        table.put(endpoint(id, i == 0 ? r.zone_of_one : "a1"), at(0));
        auto const e = table.find(endpoint_id(id));
        e->pace.record(milliseconds(i == 0 ? r.pace_of_one : 30), at(0));
        for (std::uint32_t n = 0; n < (i == 0 ? r.runs_at_one : 1); ++n)
            runs.emplace_back(e, endpoint_state::workload{1, 100, 0});
    }
    auto spec = engine();
    spec.slots = 128;
    for (int i = 0; i < 10; ++i)
    {
        auto const chosen =
            selection.choose(prompt(std::to_string(i)), &spec, at(100));
        REQUIRE((chosen->record().id.value() == "e0") == r.chosen);
    }
}

// Load -----------------------------------------------------------------------

namespace
{

/// Mean time of an answer, in prompts' processing at speed 1. A quarter of the
/// endpoints is 2.2 times faster. Each prompt is processed alone, delays the
/// streams beside it, and its answer takes four times as long.
double mean_answer_time(int per_second, bool speeds_known)
{
    constexpr int endpoints = 40;
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads peers;
    endpoint_selector selection(table, zones, peers, test_location());
    auto const speed = [](int i) { return i % 4 == 0 ? 0.55 : 1.2; };
    for (int i = 0; i < endpoints; ++i)
        table.put(endpoint("e" + std::to_string(i), "a1"), at(0));
    struct run
    {
        int endpoint;
        double prompt_left; // s of this endpoint
        double answer_left;
        double taken = 0;
        endpoint_reservation reservation;
    };
    std::vector<run> runs;
    std::mt19937 random(11);
    constexpr double step = 0.01;
    std::bernoulli_distribution arrives(per_second * step);
    double sum = 0;
    int ended = 0;
    auto spec = engine();
    spec.slots = 128;
    for (int now = 0; now < 60000; now += 10)
    {
        if (speeds_known)
            for (int i = 0; i < endpoints; ++i)
                table.find(endpoint_id("e" + std::to_string(i)))
                    ->pace.record(
                        std::chrono::microseconds(int(25000 * speed(i))),
                        at(now));
        std::vector<bool> prompts(endpoints);
        for (auto const& r : runs)
            prompts[std::size_t(r.endpoint)] =
                prompts[std::size_t(r.endpoint)] || r.prompt_left > 0;
        for (auto& r : runs)
        {
            r.taken += step;
            if (r.prompt_left > 0)
            {
                r.prompt_left -= step;
                if (r.prompt_left <= 0)
                    r.reservation.prefill_done();
            }
            else // a stream is several times slower beside a prompt
                r.answer_left -=
                    prompts[std::size_t(r.endpoint)] ? step / 5 : step;
        }
        for (auto i = runs.begin(); i != runs.end();)
        {
            bool const done = i->answer_left <= 0;
            sum += done ? i->taken : 0;
            ended += done ? 1 : 0;
            i = done ? runs.erase(i) : std::next(i);
        }
        if (!arrives(random))
            continue;
        auto const w = prompt(std::to_string(now));
        auto const chosen = selection.choose(w, &spec, at(now));
        if (!chosen)
            continue;
        int const number = std::stoi(chosen->record().id.value().substr(1));
        runs.push_back(
            {number, speed(number), 4 * speed(number), 0,
             endpoint_reservation(
                 chosen, {1, w.memory_tokens(), w.prompt_tokens})});
    }
    return sum / ended;
}

} // namespace

// Guards against load that is even in streams but not in time: as many on the
// slow endpoints as on the fast ones.
TEST_CASE("answers end sooner where speeds are known", "[pace][selection]")
{
    struct row
    {
        int per_second;
        double most; // of the time without speeds
    };
    // The fast endpoints alone process 18 prompts a second. Above half of that,
    // the slow ones are needed as well.
    auto const r = GENERATE(
        row{2, 0.85}, row{5, 0.85}, row{9, 0.85}, row{18, 1}, row{25, 1});
    CAPTURE(r.per_second);
    double const unknown = mean_answer_time(r.per_second, false);
    double const known = mean_answer_time(r.per_second, true);
    CAPTURE(unknown, known);
    CHECK(known <= r.most * unknown);
}
