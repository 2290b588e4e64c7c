// Expected time of an answer from its first event to its end, learned from the
// answers of a service.
//
// Designed for services whose answers differ much in length: by the average
// alone, a short answer that has to wait for a moment is refused as if it could
// not end by its deadline.
#ifndef DOTTERELLOCK_GATEWAY_GENERATION_ESTIMATE_HPP
#define DOTTERELLOCK_GATEWAY_GENERATION_ESTIMATE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class generation_estimate
{
public:
    // Moving averages over about the last 20 answers.
    static constexpr int samples = 20;

    /// @param max_tokens  limit of the answer's length; 0: not known
    void record(std::uint64_t max_tokens, duration took)
    {
        if (!std::exchange(known_, true))
        {
            duration_ = took;
            tokens_ = double(max_tokens);
        }
        duration_ += (took - duration_) / samples;
        tokens_ += (double(max_tokens) - tokens_) / samples;
    }

    /// Nothing before the first answer. An answer whose limit is above the
    /// average counts as an average one, as it may be shorter than its limit.
    std::optional<duration> expected(std::uint64_t max_tokens) const
    {
        if (!known_)
            return std::nullopt;
        if (max_tokens == 0 || double(max_tokens) >= tokens_)
            return duration_;
        return std::chrono::duration_cast<duration>(
            duration_ * (double(max_tokens) / tokens_));
    }

private:
    bool known_ = false;
    duration duration_{};
    double tokens_ = 0; // limits
};

} // namespace dotterellock

#endif
