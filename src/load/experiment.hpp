// A load experiment: arrival classes read from YAML, and the plan of all
// arrivals generated from them and a seed. Plain values; no threads.
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

/// A class of requests in open loop: arrivals do not wait for earlier answers.
struct arrival_class
{
    std::string name;
    std::string api_key;
    dotterellock::rank rank = rank::standard;
    double requests_per_second = 1;
    std::uint32_t burst = 1; // arrivals at the same time
    milliseconds starts{0};
    milliseconds ends{0}; // 0: at the end of the experiment
    std::uint32_t prompt_bytes = 400;
    std::uint32_t shared_prefix_bytes = 0;
    std::uint32_t prefixes = 1;       // number of distinct shared prefixes
    std::uint32_t output_tokens = 50; // minimum
    double tail_exponent = 0; // of the Pareto-distributed output; 0: constant
    std::uint32_t max_output_tokens = 2000;
    milliseconds first_token_target{1500};
};

struct experiment
{
    std::uint64_t seed = 1;
    milliseconds duration{10000};
    milliseconds answer_timeout{60000}; // after the last arrival
    milliseconds reconnect_delay{100};
    std::uint32_t max_open = 2000;    // further arrivals are counted as skipped
    std::vector<std::string> routers; // base URLs
    model_ref model;
    std::vector<arrival_class> classes;
};

/// Throws error(invalid_argument), whose text names file, line and key.
experiment parse_experiment(std::string const& text, std::string const& file);

struct arrival
{
    milliseconds at{0};
    std::size_t class_index = 0;
    std::string prompt;
    std::uint32_t output_tokens = 0;
};

/// Generates all arrivals, sorted by time. The same seed gives the same plan.
std::vector<arrival> make_plan(experiment const& e);

} // namespace dotterellock::load

#endif
