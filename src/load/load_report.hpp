// Results of a load experiment and their rendering as JSON and as one
// self-contained HTML page with plots.
#ifndef DOTTERELLOCK_LOAD_LOAD_REPORT_HPP
#define DOTTERELLOCK_LOAD_LOAD_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace dotterellock::load
{

/// Collects samples and answers percentile questions exactly.
class sample_set
{
public:
    void add(double value) { values_.push_back(value); }
    std::size_t size() const { return values_.size(); }

    /// @param share  0 to 1; 0 for an empty set
    double percentile(double share) const;
    std::vector<double> sorted() const;

private:
    std::vector<double> values_;
};

struct class_result
{
    std::uint64_t planned = 0;
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;   // whole and equal to the expected text
    std::uint64_t wrong = 0;      // ended, but differs from the expected text
    std::uint64_t unfinished = 0; // no end until the experiment's timeout
    std::uint64_t skipped = 0;    // more than max_open were open
    std::uint64_t reconnects = 0;
    std::uint64_t within_target = 0; // first token in time
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> refused; // by error code
    sample_set first_token_ms;
    sample_set token_gap_ms;   // between events of one answer
    sample_set longest_gap_ms; // one value an answer
    std::vector<std::uint64_t> tokens_per_second; // by second of the run
};

struct load_result
{
    double seconds = 0;
    std::vector<class_result> classes; // in the order of the experiment

    bool all_answers_right() const;
};

std::string to_json(experiment const& e, load_result const& r);
std::string to_html(experiment const& e, load_result const& r);

} // namespace dotterellock::load

#endif
