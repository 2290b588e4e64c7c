// Results of a load experiment, and their output as JSON and as a
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

/// Stores all samples; percentiles are exact, not estimated.
class sample_set
{
public:
    void add(double value) { values_.push_back(value); }
    std::size_t size() const { return values_.size(); }

    /// The nearest-rank percentile; 0 for an empty set.
    /// @param quantile  0 to 1
    double percentile(double quantile) const;
    std::vector<double> sorted() const;

private:
    std::vector<double> values_;
};

struct class_result
{
    std::uint64_t planned = 0;
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;   // ended with exactly the expected text
    std::uint64_t wrong = 0;      // ended with another text
    std::uint64_t unfinished = 0; // not ended at the experiment's timeout
    std::uint64_t skipped = 0;    // not sent: max_open requests were open
    std::uint64_t reconnects = 0;
    std::uint64_t within_target = 0; // first token within its target time
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> refused; // by error code
    sample_set first_token_ms;
    sample_set token_gap_ms;   // between consecutive events of an answer
    sample_set longest_gap_ms; // one value per answer
    std::vector<std::uint64_t> tokens_per_second; // index: second of the run
};

struct load_result
{
    double seconds = 0;
    std::vector<class_result> classes; // same order as experiment::classes

    bool all_answers_correct() const;
};

std::string to_json(experiment const& e, load_result const& r);
std::string to_html(experiment const& e, load_result const& r);

} // namespace dotterellock::load

#endif
