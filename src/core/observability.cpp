#include <dotterellock/observability.hpp>

#include <algorithm>

namespace dotterellock
{

namespace
{

constexpr char const* name_prefix = "dotterellock_";

std::string series_name(std::string const& name, std::string const& labels)
{
    return name_prefix + (labels.empty() ? name : name + "{" + labels + "}");
}

std::string bucket_series_name(
    std::string const& name, std::string const& labels,
    std::string const& bound)
{
    std::string const separator = labels.empty() ? "" : ",";
    return name_prefix + name + "_bucket{" + labels + separator + "le=\"" +
           bound + "\"}";
}

} // namespace

void latency_histogram::record(std::chrono::microseconds latency)
{
    auto const us =
        static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    std::size_t i = 0;
    while (i + 1 < bucket_count && (std::uint64_t{1} << i) < us)
        ++i;
    buckets_[i].fetch_add(1, std::memory_order_relaxed);
    sum_us_.fetch_add(us, std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const
{
    std::uint64_t total = 0;
    for (auto const& b : buckets_)
        total += b.load(std::memory_order_relaxed);
    return total;
}

std::uint64_t latency_histogram::bucket(std::size_t i) const
{
    return buckets_[i].load(std::memory_order_relaxed);
}

std::chrono::microseconds latency_histogram::sum() const
{
    return std::chrono::microseconds(sum_us_.load(std::memory_order_relaxed));
}

dotterellock::counter&
counter_registry::counter(std::string const& name, std::string const& labels)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& slot = counters_[{name, labels}];
    if (!slot)
        slot = std::make_unique<dotterellock::counter>();
    return *slot;
}

latency_histogram&
counter_registry::histogram(std::string const& name, std::string const& labels)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& slot = histograms_[{name, labels}];
    if (!slot)
        slot = std::make_unique<latency_histogram>();
    return *slot;
}

std::string counter_registry::prometheus_text() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::string text;
    for (auto const& [id, value] : counters_)
    {
        text += series_name(id.first, id.second) + " " +
                std::to_string(value->value()) + "\n";
    }
    for (auto const& [id, value] : histograms_)
    {
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < latency_histogram::bucket_count; ++i)
        {
            std::uint64_t const n = value->bucket(i);
            cumulative += n;
            bool const last = i + 1 == latency_histogram::bucket_count;
            if (n == 0 && !last)
                continue;
            std::string const bound =
                last ? "+Inf" : std::to_string(1e-6 * double(1ull << i));
            text += bucket_series_name(id.first, id.second, bound) + " " +
                    std::to_string(cumulative) + "\n";
        }
        text += series_name(id.first + "_sum", id.second) + " " +
                std::to_string(1e-6 * double(value->sum().count())) + "\n";
        text += series_name(id.first + "_count", id.second) + " " +
                std::to_string(cumulative) + "\n";
    }
    return text;
}

} // namespace dotterellock
