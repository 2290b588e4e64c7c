// Counters, latency histograms and the decision log. Counters may be updated
// from any thread; a counter's address is stable for the registry's lifetime.
#ifndef DOTTERELLOCK_OBSERVABILITY_HPP
#define DOTTERELLOCK_OBSERVABILITY_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <dotterellock/types.hpp>

namespace dotterellock
{

class counter
{
public:
    void add(std::uint64_t n = 1)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }
    void set(std::uint64_t n) { value_.store(n, std::memory_order_relaxed); }
    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Power-of-two buckets from 1 microsecond; constant memory, lock-free.
class latency_histogram
{
public:
    static constexpr std::size_t bucket_count = 32;

    void record(std::chrono::microseconds latency);
    std::uint64_t count() const;
    std::uint64_t bucket(std::size_t i) const;
    std::chrono::microseconds sum() const;

private:
    std::array<std::atomic<std::uint64_t>, bucket_count> buckets_{};
    std::atomic<std::uint64_t> sum_us_{0};
};

/// Owns all counters of a process and renders them as Prometheus text.
class counter_registry
{
public:
    /// Returns the counter of that name, creating it at first use.
    /// @param labels  preformatted, such as `rank="urgent"`; may be empty
    dotterellock::counter&
    counter(std::string const& name, std::string const& labels = {});

    latency_histogram&
    histogram(std::string const& name, std::string const& labels = {});

    std::string prometheus_text() const;

private:
    using series_id = std::pair<std::string, std::string>; // name, labels

    mutable std::mutex mutex_; // guards the maps, not the values
    std::map<series_id, std::unique_ptr<dotterellock::counter>> counters_;
    std::map<series_id, std::unique_ptr<latency_histogram>> histograms_;
};

/// One routing or placement decision, written as one structured log line.
struct decision
{
    std::string step; // "choose_endpoint", "resume", "place_model", ...
    request_id request;
    attempt_number attempt = 0;
    dotterellock::rank rank = rank::standard;
    organisation_id organisation;
    std::vector<std::string> candidates; // "endpoint:score"
    std::string choice;                  // empty: nothing was chosen
    std::string reason;
};

class decision_log
{
public:
    virtual ~decision_log() = default;
    virtual void record(decision const& d) = 0;
};

} // namespace dotterellock

#endif
