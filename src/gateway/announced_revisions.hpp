// Revisions of a table's newest row that other gateways announced, and since
// when a gateway knows that its own copy is behind. One whose sources are slow
// or silent asks those that are ahead.
#ifndef DOTTERELLOCK_GATEWAY_ANNOUNCED_REVISIONS_HPP
#define DOTTERELLOCK_GATEWAY_ANNOUNCED_REVISIONS_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

class announced_revisions
{
public:
    // In which a change arrives where sources are well.
    static constexpr std::chrono::milliseconds arrival_time{300};

    void record(host_id const& gateway, std::uint64_t revision, steady_time now)
    {
        auto& known = by_gateway_[gateway];
        if (revision <= known)
            return;
        known = revision;
        first_heard_.try_emplace(revision, now);
        if (first_heard_.size() > max_revisions)
            first_heard_.erase(first_heard_.begin());
    }

    /// Whether the gateway announced a later revision.
    bool ahead(host_id const& gateway, std::uint64_t revision) const
    {
        auto const found = by_gateway_.find(gateway);
        return found != by_gateway_.end() && found->second > revision;
    }

    /// Whether a copy as of `revision` lacks a change that should have arrived.
    bool overdue(std::uint64_t revision, steady_time now) const
    {
        auto const next = first_heard_.upper_bound(revision);
        return next != first_heard_.end() && now - next->second >= arrival_time;
    }

    /// Forgets gateways that are gone.
    void keep_only(std::vector<host_id> const& gateways)
    {
        for (auto at = by_gateway_.begin(); at != by_gateway_.end();)
        {
            bool const known =
                std::find(gateways.begin(), gateways.end(), at->first) !=
                gateways.end();
            at = known ? std::next(at) : by_gateway_.erase(at);
        }
    }

private:
    static constexpr std::size_t max_revisions = 64;

    std::map<host_id, std::uint64_t> by_gateway_;
    std::map<std::uint64_t, steady_time> first_heard_; // by revision
};

} // namespace dotterellock

#endif
