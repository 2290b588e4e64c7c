#include "canary_traffic.hpp"

#include <algorithm>

#include <xxhash.h>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Bursts per order: enough for a version that turns bad in the middle.
constexpr int bursts = 8;

constexpr milliseconds min_burst_interval{1000}; // a few calls at least
constexpr milliseconds max_burst_interval{8000}; // delays the first evidence

// Load of the candidate's endpoint in a burst, relative to a current one's.
constexpr double burst_load = 1.25;

// Part of the time that is open to bursts, relative to what the share fills.
// The rest is for the slack.
constexpr double burst_time = 2;

// Part of the order after which the slack is spent without regard to the load
// of the candidate's endpoint, as traffic is too low for bursts.
constexpr int slack_time_divisor = 8;

// Uniform in [0, 1). Spreads the canary requests over the routes, whose order
// may be periodic.
double scattered(std::uint64_t number)
{
    return double(XXH64(&number, sizeof number, 0) >> 11) * 0x1.0p-53;
}

// Candidate endpoints that the share alone keeps as busy as current ones.
double busy_endpoints(double share, std::size_t current_endpoints)
{
    return share / (1 - share) * double(current_endpoints);
}

} // namespace

bool canary_traffic::due(std::size_t current_endpoints, duration elapsed) const
{
    double const allowed = limits_.share * double(requests_) + limits_.slack;
    if (double(exposed_ + 1) > allowed)
        return false;
    if (current_endpoints == 0 ||
        busy_endpoints(limits_.share, current_endpoints) >= 1)
        return double(exposed_ + 1) + scattered(exposed_) <= allowed;

    // The share does not keep one endpoint busy. It is saved up and spent in
    // bursts, as a version may be bad under load only.
    double const density =
        std::min(1.0, burst_load / double(current_endpoints + 1));
    bool const spread = scattered(requests_) < density;
    if (double(exposed_ + 1) <= limits_.slack)
        return spread || elapsed >= limits_.length / slack_time_divisor;
    duration const interval = std::clamp(
        limits_.length / bursts, min_burst_interval, max_burst_interval);
    double const position =
        double((elapsed % interval).count()) / double(interval.count());
    return spread && position >= 1 - burst_time * limits_.share / density;
}

std::size_t canary_traffic::endpoints(std::size_t current_endpoints) const
{
    return std::max<std::size_t>(
        1, std::size_t(busy_endpoints(limits_.share, current_endpoints)));
}

} // namespace dotterellock
