// Tracks which endpoints still cache the prompts of callers that may reconnect.
//
// Designed for the loss of all gateways in the middle of answers. Callers
// reconnect within a second, and a prompt sent to the endpoint that processed
// it before needs no second prefill.
#ifndef DOTTERELLOCK_GATEWAY_PROMPT_CACHE_INDEX_HPP
#define DOTTERELLOCK_GATEWAY_PROMPT_CACHE_INDEX_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "endpoint_state.hpp"

namespace dotterellock
{

/// One part of a prompt that an endpoint caches.
struct cached_part
{
    std::string part;
    std::uint64_t tokens = 0;
};

class prompt_cache_index
{
public:
    // Endpoints evict entries that were not used for some seconds.
    static constexpr std::chrono::milliseconds validity{10000};

    // Parts shared by many prompts are short; only long parts are indexed.
    static constexpr std::uint64_t min_tokens = 1000;

    void
    put(endpoint_id const& endpoint, std::vector<cached_part> const& parts,
        steady_time now)
    {
        for (auto const& cached : parts)
        {
            if (cached.tokens < min_tokens)
                continue;
            auto& entry = entries_[cached.part];
            if (entry.tokens <= cached.tokens ||
                now - entry.last_reported > validity)
                entry = {endpoint, cached.tokens, now};
        }
    }

    /// Returns the endpoint that caches most of the part, or an empty id.
    endpoint_id best_endpoint(std::string const& part, steady_time now) const
    {
        auto const found = entries_.find(part);
        return found == entries_.end() ||
                       now - found->second.last_reported > validity
                   ? endpoint_id{}
                   : found->second.endpoint;
    }

    void remove_expired(steady_time now)
    {
        for (auto i = entries_.begin(); i != entries_.end();)
        {
            bool const old = now - i->second.last_reported > validity;
            i = old ? entries_.erase(i) : std::next(i);
        }
    }

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        endpoint_id endpoint;
        std::uint64_t tokens = 0;
        steady_time last_reported{};
    };

    std::unordered_map<std::string, entry> entries_;
};

} // namespace dotterellock

#endif
