// One load experiment: classes of arrivals read from YAML, and the seeded plan
// of every arrival made from them. Plain values; no thread of their own.
#ifndef DOTTERELLOCK_LOAD_EXPERIMENT_HPP
#define DOTTERELLOCK_LOAD_EXPERIMENT_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <dotterellock/types.hpp>

namespace dotterellock::load
{

using std::chrono::milliseconds;

/// Requests of one kind, open loop: arrivals do not wait for answers.
struct arrival_class
{
    std::string name;
    std::string api_key;
    dotterellock::rank rank = rank::standard;
    double requests_per_second = 1;
    std::uint32_t burst = 1; // arrivals at one instant
    milliseconds starts{0};
    milliseconds ends{0}; // 0: with the experiment
    std::uint32_t prompt_bytes = 400;
    std::uint32_t shared_prefix_bytes = 0;
    std::uint32_t prefixes = 1;       // distinct shared prefixes
    std::uint32_t output_tokens = 50; // smallest
    double tail_exponent = 0;         // Pareto tail of the output; 0: constant
    std::uint32_t max_output_tokens = 2000;
    milliseconds first_token_target{1500};
};

struct experiment
{
    std::uint64_t seed = 1;
    milliseconds duration{10000};
    milliseconds answer_timeout{60000}; // after the last arrival
    milliseconds reconnect_delay{100};
    std::uint32_t max_open = 2000;    // arrivals above it are counted, not sent
    std::vector<std::string> routers; // base URLs
    model_ref model;
    std::vector<arrival_class> classes;
};

/// Throws error(invalid_argument) that names file, line and key.
experiment parse_experiment(std::string const& text, std::string const& file);

struct arrival
{
    milliseconds at{0};
    std::size_t class_index = 0;
    std::string prompt;
    std::uint32_t output_tokens = 0;
};

/// All arrivals in time order; the same seed gives the same plan.
std::vector<arrival> make_plan(experiment const& e);

} // namespace dotterellock::load

#endif
