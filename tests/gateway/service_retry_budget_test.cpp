#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/service_retry_budget.hpp"
#include "gateway_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr int window_ms = 10000;
constexpr int day_ms = 60000;

/// Requests a second of one gateway, as a factor of its usual load.
struct load_change
{
    int from_ms;
    int until_ms;
    double factor;
};

/// Events of the fleet in milliseconds, ascending.
using event_times = std::vector<int>;

std::size_t count(event_times const& times, int after, int until)
{
    return std::size_t(
        std::upper_bound(times.begin(), times.end(), until) -
        std::upper_bound(times.begin(), times.end(), after));
}

/// The largest excess of retries over what the fleet may spend in any window,
/// by the requests of the window, the one before or half a window before.
double largest_excess(
    event_times const& requests, event_times const& retries,
    service_retry_budget_settings const& s)
{
    double excess = -s.allowance;
    for (auto const first : retries)
    {
        auto const begin = first - 1;
        std::size_t most = 0;
        for (auto const shift : {0, window_ms / 2, window_ms})
            most = std::max(
                most,
                count(requests, begin - shift, begin - shift + window_ms));
        auto const spent = count(retries, begin, begin + window_ms);
        excess = std::max(
            excess, double(spent) - s.ratio * double(most) - s.allowance);
    }
    return excess;
}

} // namespace

// Guards against windows with more retries than the fleet may spend: gateways
// that counted the requests of a burst in the window before the retries, and
// those of different zones that count different windows.
TEST_CASE(
    "the fleet's retries stay within the budget in every window", "[budget]")
{
    struct row
    {
        char const* name;
        std::vector<load_change> changes;      // of all gateways
        std::vector<load_change> odd_changes;  // of every second gateway only
        std::vector<std::pair<int, int>> full; // endpoints refuse everything
    };
    auto const r = GENERATE(
        row{"steady load, always refused", {}, {}, {{0, day_ms}}},
        row{"refused from the middle of a burst",
            {{18000, 26400, 3}, {30000, 34000, 5}, {34000, day_ms, 0}},
            {},
            {{20000, 24400}, {30000, 36000}}},
        row{"refused at the end of a burst",
            {{10000, 20000, 6}},
            {},
            {{19000, 32000}}},
        row{"traffic ends", {{20000, day_ms, 0}}, {}, {{18000, 40000}}},
        row{"load moves to other gateways",
            {},
            {{0, 15000, 6}, {15000, day_ms, 0.1}},
            {{12000, 30000}}},
        row{"pulses",
            {{5000, 7000, 8}, {14000, 16000, 8}, {25000, 27000, 8}},
            {{9000, 12000, 8}, {20000, 23000, 8}},
            {{6000, 40000}}});
    auto const seed = GENERATE(1u, 2u, 3u);
    CAPTURE(r.name, seed);
    constexpr std::size_t gateways = 21;
    constexpr double usual_per_ms = 0.140 / gateways;
    constexpr int attempts = 5;
    constexpr int attempt_ms = 20;

    service_retry_budget_settings s;
    std::vector<service_retry_budget> fleet(gateways, service_retry_budget(s));
    for (auto& budget : fleet)
        budget.set_fleet_size(gateways, at(0));
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    event_times requests;
    event_times retries;
    // Retries that are due, by time, of each gateway.
    std::vector<std::vector<std::vector<int>>> due(
        gateways, std::vector<std::vector<int>>(day_ms + 1));
    auto const active = [](auto const& changes, int ms, double& factor)
    {
        for (auto const& c : changes)
        {
            if (ms >= c.from_ms && ms < c.until_ms)
                factor *= c.factor;
        }
    };
    auto const refused = [&r](int ms)
    {
        return std::any_of(
            r.full.begin(), r.full.end(),
            [ms](auto const& span)
            { return ms >= span.first && ms < span.second; });
    };
    for (int ms = 0; ms < day_ms; ++ms)
    {
        for (std::size_t g = 0; g < gateways; ++g)
        {
            double factor = 1;
            active(r.changes, ms, factor);
            if (g % 2 == 1)
                active(r.odd_changes, ms, factor);
            auto const next = std::min(ms + attempt_ms, day_ms);
            if (draw(random) < usual_per_ms * factor)
            {
                fleet[g].request_started(at(ms));
                requests.push_back(ms);
                if (refused(ms))
                    due[g][next].push_back(1);
            }
            for (int const made : due[g][ms])
            {
                if (made >= attempts || !fleet[g].try_spend(at(ms)))
                    continue;
                retries.push_back(ms);
                if (refused(ms))
                    due[g][next].push_back(made + 1);
            }
        }
    }
    REQUIRE(retries.size() > 100);
    REQUIRE(largest_excess(requests, retries, s) <= 0);
}

// Guards against a budget so tight that the loss of many endpoints at once
// leaves begun answers without their second attempt.
TEST_CASE("retries after a quiet time may come at once", "[budget]")
{
    service_retry_budget_settings s;
    s.allowance = 0;
    s.fleet_size = 1;
    service_retry_budget budget(s);
    constexpr int requests = 200; // in a window
    for (int n = 0; n < 2 * requests; ++n)
        budget.request_started(at(n * window_ms / requests));
    int spent = 0;
    while (budget.try_spend(at(2 * window_ms)))
        ++spent;
    // A steady load allows at least half of a window's retries in one moment.
    REQUIRE(spent >= int(s.ratio * requests / 2));
}
