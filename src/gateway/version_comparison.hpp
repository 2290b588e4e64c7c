// Compares the answers of a candidate version with those of the current one,
// by route and in sum. The test may be evaluated after each answer: its false
// alarm rate holds at any time, not for one sample size.
//
// Designed for up to 100 routes and 500 answers per second of a service, with a
// tenth of them from the candidate.
#ifndef DOTTERELLOCK_GATEWAY_VERSION_COMPARISON_HPP
#define DOTTERELLOCK_GATEWAY_VERSION_COMPARISON_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// Cumulative counts of answers.
struct answer_counts
{
    // Half octaves from 4 ms to 16 s; mostly zeros, so that a datagram holds
    // the counts of at least eight routes.
    static constexpr std::size_t latency_steps = 24;

    std::uint64_t answers = 0; // without lost connections
    std::uint64_t failed = 0;
    std::uint64_t slow = 0; // set by `count_slow`, not exchanged
    std::uint64_t lost = 0; // connections
    std::array<std::uint32_t, latency_steps> latencies{}; // of good answers

    void add(answer_counts const& other);
    void subtract(answer_counts const& other);
    void add_latency(duration latency);
    std::uint64_t timed() const; // number of latencies
};

/// Counts of one gateway or of the fleet, by route.
struct version_counts
{
    std::map<std::string, answer_counts> current;
    std::map<std::string, answer_counts> candidate;

    void add(version_counts const& other);

    /// What was counted after `earlier`.
    version_counts since(version_counts const& earlier) const;

    /// All answers and lost connections.
    std::uint64_t total() const;
};

/// Sets `slow` of all counts by the median of the current version on the same
/// route.
void count_slow(version_counts& counts);

enum class version_verdict
{
    undecided,
    bad
};

/// For the decision at the end of an order. Completing a bad version and
/// rolling back a good one are as bad, so less evidence decides than during the
/// order, when waiting is possible.
constexpr double final_alpha_share = 40;

/// @param reason       receives which route and measure decided
/// @param alpha_share  of the false alarm rate, for one of several tests
version_verdict compare_versions(
    version_counts const& counts, std::string* reason, double alpha_share = 1);

} // namespace dotterellock

#endif
