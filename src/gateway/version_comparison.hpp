// Compares the answers of a candidate version with those of the current one,
// by route and in sum. The test may be evaluated after each answer: its false
// alarm rate holds at any time, not for one sample size.
#ifndef DOTTERELLOCK_GATEWAY_VERSION_COMPARISON_HPP
#define DOTTERELLOCK_GATEWAY_VERSION_COMPARISON_HPP

#include <cstdint>
#include <map>
#include <string>

namespace dotterellock
{

/// Cumulative counts of answers.
struct answer_counts
{
    std::uint64_t answers = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;
    std::uint64_t lost = 0; // connections
};

/// Counts of one gateway or of the fleet, by route.
struct version_counts
{
    std::map<std::string, answer_counts> current;
    std::map<std::string, answer_counts> candidate;

    void add(version_counts const& other);
};

enum class version_verdict
{
    undecided,
    bad
};

/// @param reason  receives which route and measure decided
version_verdict
compare_versions(version_counts const& counts, std::string* reason);

} // namespace dotterellock

#endif
