#include "peer_loads.hpp"

#include <algorithm>

namespace dotterellock
{

bool peer_loads::put(load_share const& share, steady_time now)
{
    auto& known = shares_[share.gateway.value()];
    if (share.incarnation == known.share.incarnation)
    {
        if (share.sequence <= known.share.sequence)
            return false;
    }
    else if (share.incarnation == known.previous_incarnation)
        return false;
    else
        known.previous_incarnation = known.share.incarnation;
    subtract(known.share);
    known.share = share;
    known.received = now;
    add(known.share);
    return true;
}

void peer_loads::expire(steady_time now)
{
    for (auto& [gateway, known] : shares_)
    {
        if (now - known.received <= validity)
            continue;
        known.previous_incarnation = 0; // its work has ended
        if (known.share.loads.empty())
            continue;
        subtract(known.share);
        known.share.loads.clear(); // its sequence number is kept
    }
}

endpoint_state::workload peer_loads::load_at(endpoint_id const& endpoint) const
{
    auto const found = sums_.find(endpoint.value());
    return found == sums_.end() ? endpoint_state::workload{} : found->second;
}

std::unordered_map<std::string, steady_time> peer_loads::oldest_shares() const
{
    std::unordered_map<std::string, steady_time> oldest;
    for (auto const& [gateway, known] : shares_)
    {
        for (auto const& load : known.share.loads)
        {
            auto& at = oldest.try_emplace(load.endpoint.value(), known.received)
                           .first->second;
            at = std::min(at, known.received);
        }
    }
    return oldest;
}

void peer_loads::add(load_share const& share)
{
    for (auto const& [endpoint, load, pace] : share.loads)
    {
        auto& sum = sums_[endpoint.value()];
        sum.requests += load.requests;
        sum.memory_tokens += load.memory_tokens;
        sum.prefill_tokens += load.prefill_tokens;
    }
}

void peer_loads::subtract(load_share const& share)
{
    for (auto const& [endpoint, load, pace] : share.loads)
    {
        auto const found = sums_.find(endpoint.value());
        auto& sum = found->second;
        sum.requests -= load.requests;
        sum.memory_tokens -= load.memory_tokens;
        sum.prefill_tokens -= load.prefill_tokens;
        if (sum.requests == 0 && sum.memory_tokens == 0 &&
            sum.prefill_tokens == 0)
            sums_.erase(found);
    }
}

} // namespace dotterellock
