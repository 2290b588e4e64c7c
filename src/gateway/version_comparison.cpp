// The test is a likelihood ratio, averaged over a grid of alternatives and over
// the posterior distribution of the current version's rate. Under the
// hypothesis "not worse" the ratio is a martingale for each rate, so the
// probability that it ever reaches 1 / a is at most a (Ville's inequality);
// the average over the unknown rate makes this hold on average over rates.
#include "version_comparison.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace dotterellock
{

namespace
{

// Lower bound of the second latency step, in ms.
constexpr double first_latency_bound = 4;
constexpr double steps_per_octave = 2;

// Bounds of the false alarm rate of one measure in sum, and of one measure on
// all routes together: 2% per order, and as much for all windows that begin
// later. Measured rates are far lower; half of these missed more of the bad
// versions at low traffic.
constexpr double failure_alpha = 0.005;
constexpr double latency_alpha = 0.0025;

// An answer is slow from this multiple of the median; rounded to a bound of a
// latency step, by up to 19%. Twice slower versions lie above the first. Few
// answers of a good version lie above the second, so that it shows a version
// that is slow for a part of its answers earlier.
constexpr std::array<double, 2> slow_factors{1.5, 3};

// A median of fewer latencies is too uncertain.
constexpr std::uint64_t min_reference = 12;

// Answers of the candidate that fail beyond the current version's rate.
constexpr double failure_tolerance = 0;
constexpr std::array<double, 7> failure_excess{0.01, 0.02, 0.04, 0.08,
                                               0.16, 0.35, 0.8};

// Cold caches and other prompts make a part of a good version's answers slower.
constexpr double slow_tolerance = 0.1;
constexpr std::array<double, 4> slow_excess{0.25, 0.45, 0.65, 0.9};

// A version crashes if it loses most connections while the current one, which
// a fault of the network hits as well, does not.
constexpr std::uint64_t min_lost = 30; // more than one per gateway of a crash
constexpr double crashing_share = 0.6;
constexpr double usual_lost_share = 0.2;

// Posterior quantiles in standard deviations, with their normal weights.
constexpr std::array<double, 9> deviations{-3,   -2.25, -1.5, -0.75, 0,
                                           0.75, 1.5,   2.25, 3};

struct sample
{
    double hits = 0;
    double size = 0;
};

double log_likelihood(sample const& s, double rate)
{
    return s.hits * std::log(rate) + (s.size - s.hits) * std::log1p(-rate);
}

double log_add(double a, double b)
{
    auto const high = std::max(a, b);
    auto const low = std::min(a, b);
    if (std::isinf(low))
        return high;
    return high + std::log1p(std::exp(low - high));
}

// Logarithm of the likelihood ratio of "worse" to "not worse".
template<std::size_t N>
double log_evidence(
    sample const& current, sample const& candidate, double tolerance,
    std::array<double, N> const& excess)
{
    constexpr double least = -std::numeric_limits<double>::infinity();
    // Posterior of the rate on the scale of log odds, with half an answer of
    // each kind as prior.
    double const hits = current.hits + 0.5;
    double const misses = current.size - current.hits + 0.5;
    double const centre = std::log(hits / misses);
    double const deviation = std::sqrt(1 / hits + 1 / misses);
    double worse = least;
    double not_worse = least;
    for (auto const d : deviations)
    {
        double const odds = std::exp(centre + d * deviation);
        double const rate = odds / (1 + odds);
        double const weight = -d * d / 2;
        double const limit = rate + tolerance * (1 - rate);
        not_worse =
            log_add(not_worse, weight + log_likelihood(candidate, limit));
        for (auto const e : excess)
            worse = log_add(
                worse, weight - std::log(double(N)) +
                           log_likelihood(candidate, rate + e * (1 - rate)));
    }
    return worse - not_worse;
}

// Bound between latency steps from which on answers are slow.
std::size_t first_slow_step(answer_counts const& current, double factor)
{
    auto const timed = double(current.timed());
    double below = 0;
    std::size_t step = 0;
    while (step + 1 < current.latencies.size() &&
           below + current.latencies[step] < timed / 2)
        below += current.latencies[step++];
    double const inside = current.latencies[step];
    double const position =
        double(step) + (inside > 0 ? (timed / 2 - below) / inside : 0);
    return std::size_t(
        std::lround(position + steps_per_octave * std::log2(factor)));
}

std::uint64_t slow_answers(answer_counts const& counts, std::size_t first)
{
    std::uint64_t slow = 0;
    for (auto i = first; i < counts.latencies.size(); ++i)
        slow += counts.latencies[i];
    return slow;
}

bool loses_connections(
    answer_counts const& current, answer_counts const& candidate)
{
    auto const share = [](answer_counts const& c)
    {
        auto const all = double(c.answers + c.lost);
        return all > 0 ? double(c.lost) / all : 0;
    };
    return candidate.lost >= min_lost && share(candidate) >= crashing_share &&
           share(current) <= usual_lost_share;
}

using comparison = bool (*)(
    answer_counts const& current, answer_counts const& candidate,
    double threshold);

bool fails_more(
    answer_counts const& current, answer_counts const& candidate,
    double threshold)
{
    return candidate.failed > 0 && current.answers > 0 &&
           log_evidence(
               {double(current.failed), double(current.answers)},
               {double(candidate.failed), double(candidate.answers)},
               failure_tolerance, failure_excess) >= threshold;
}

bool is_slower(
    answer_counts const& current, answer_counts const& candidate,
    double threshold)
{
    return candidate.slow > 0 && current.timed() >= min_reference &&
           log_evidence(
               {double(current.slow), double(current.timed())},
               {double(candidate.slow), double(candidate.timed())},
               slow_tolerance, slow_excess) >= threshold;
}

void add_all(
    std::map<std::string, answer_counts>& to,
    std::map<std::string, answer_counts> const& from)
{
    for (auto const& [route, counts] : from)
        to[route].add(counts);
}

answer_counts sum_of(std::map<std::string, answer_counts> const& routes)
{
    answer_counts sum;
    for (auto const& [route, counts] : routes)
    {
        sum.add(counts);
        sum.slow += counts.slow;
    }
    return sum;
}

void mark_slow(version_counts& counts, double factor)
{
    for (auto& [route, candidate] : counts.candidate)
    {
        auto const found = counts.current.find(route);
        candidate.slow = 0;
        if (found == counts.current.end())
            continue;
        auto& current = found->second;
        current.slow = 0;
        if (current.timed() < min_reference)
            continue;
        auto const first = first_slow_step(current, factor);
        current.slow = slow_answers(current, first);
        candidate.slow = slow_answers(candidate, first);
    }
}

// Where the candidate is worse: in sum or on a route.
std::optional<std::string>
worse_where(version_counts const& counts, comparison worse, double alpha)
{
    if (worse(
            sum_of(counts.current), sum_of(counts.candidate), -std::log(alpha)))
        return "in sum";
    auto const routes = counts.candidate.size();
    if (routes < 2)
        return std::nullopt;
    for (auto const& [route, candidate] : counts.candidate)
        if (worse(
                counts.current.at(route), candidate,
                -std::log(alpha / double(routes))))
            return "on " + route;
    return std::nullopt;
}

} // namespace

void answer_counts::add(answer_counts const& other)
{
    answers += other.answers;
    failed += other.failed;
    lost += other.lost;
    for (std::size_t i = 0; i < latencies.size(); ++i)
        latencies[i] += other.latencies[i];
}

void answer_counts::subtract(answer_counts const& other)
{
    answers -= std::min(answers, other.answers);
    failed -= std::min(failed, other.failed);
    lost -= std::min(lost, other.lost);
    for (std::size_t i = 0; i < latencies.size(); ++i)
        latencies[i] -= std::min(latencies[i], other.latencies[i]);
}

void answer_counts::add_latency(duration latency)
{
    double const ms =
        std::chrono::duration<double, std::milli>(latency).count();
    double const step =
        ms < first_latency_bound
            ? 0
            : 1 + steps_per_octave * std::log2(ms / first_latency_bound);
    ++latencies[std::min(std::size_t(step), latencies.size() - 1)];
}

std::uint64_t answer_counts::timed() const
{
    std::uint64_t sum = 0;
    for (auto const n : latencies)
        sum += n;
    return sum;
}

void version_counts::add(version_counts const& other)
{
    add_all(current, other.current);
    add_all(candidate, other.candidate);
}

version_counts version_counts::since(version_counts const& earlier) const
{
    auto result = *this;
    for (auto const& [route, counts] : earlier.current)
        result.current[route].subtract(counts);
    for (auto const& [route, counts] : earlier.candidate)
        result.candidate[route].subtract(counts);
    return result;
}

std::uint64_t version_counts::total() const
{
    std::uint64_t sum = 0;
    for (auto const* routes : {&current, &candidate})
        for (auto const& [route, counts] : *routes)
            sum += counts.answers + counts.lost;
    return sum;
}

void count_slow(version_counts& counts)
{
    mark_slow(counts, slow_factors.front());
}

version_verdict compare_versions(
    version_counts const& counts, std::string* reason, double alpha_share)
{
    auto const bad = [&](char const* measure, std::string const& where)
    {
        if (reason)
            *reason = std::string(measure) + " " + where;
        return version_verdict::bad;
    };
    if (loses_connections(sum_of(counts.current), sum_of(counts.candidate)))
        return bad("lost connections", "in sum");

    // Only routes with a reference: an answer of the candidate is compared with
    // the current version's answers on the same route.
    version_counts compared;
    for (auto const& [route, candidate] : counts.candidate)
    {
        auto const found = counts.current.find(route);
        if (found == counts.current.end())
            continue;
        compared.candidate[route] = candidate;
        compared.current[route] = found->second;
    }
    if (auto const where =
            worse_where(compared, fails_more, failure_alpha * alpha_share))
        return bad("failures", *where);

    for (auto& [route, current] : compared.current)
        if (current.timed() < min_reference)
        {
            current.latencies = {};
            compared.candidate[route].latencies = {};
        }
    for (auto const factor : slow_factors)
    {
        mark_slow(compared, factor);
        if (auto const where =
                worse_where(compared, is_slower, latency_alpha * alpha_share))
            return bad("latency", *where);
    }
    return version_verdict::undecided;
}

} // namespace dotterellock
