// Benchmark results, printed by every program as one JSON document
// {"records":[...]} with name, unit, value and baseline of each result.
// scripts/merge-records combines these documents.
#ifndef DOTTERELLOCK_BENCH_RECORDS_HPP
#define DOTTERELLOCK_BENCH_RECORDS_HPP

#include <iostream>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace dotterellock::bench
{

class record_list
{
public:
    /// @param baseline  result of the variant compared with; empty if none
    void
    add(std::string const& name, std::string const& unit, double value,
        std::optional<double> baseline = std::nullopt)
    {
        records_.push_back(
            {{"name", name},
             {"unit", unit},
             {"value", value},
             {"baseline",
              baseline ? nlohmann::json(*baseline) : nlohmann::json()}});
    }

    void append(record_list const& other)
    {
        records_.insert(
            records_.end(), other.records_.begin(), other.records_.end());
    }

    void print() const
    {
        std::cout << nlohmann::json{{"records", records_}}.dump(1) << '\n';
    }

private:
    nlohmann::json records_ = nlohmann::json::array();
};

} // namespace dotterellock::bench

#endif
