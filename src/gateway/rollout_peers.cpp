#include "rollout_peers.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Datagrams are not reordered over a longer time, so lower counts after it come
// from a gateway that restarted.
constexpr milliseconds max_reordering{1000};

} // namespace

void rollout_peers::on_report(
    host_id const& gateway, report const& r, steady_time now)
{
    auto& known = peers_[gateway];
    known.heard = now;
    if (r.counts.total() < known.last.counts.total())
    {
        if (now - known.counted <= max_reordering)
            return;
        before_restarts_.add(known.last.counts);
    }
    known.last = r;
    known.counted = now;
}

std::size_t rollout_peers::heard(steady_time now) const
{
    return std::size_t(std::count_if(
        peers_.begin(), peers_.end(),
        [&](auto const& p)
        { return now - p.second.heard <= report_validity; }));
}

void rollout_peers::add_counts(version_counts& sum) const
{
    sum.add(before_restarts_);
    for (auto const& [gateway, p] : peers_)
        sum.add(p.last.counts);
}

bool rollout_peers::all_left_old(
    std::size_t gateways, milliseconds past, steady_time now) const
{
    std::size_t left = 0;
    for (auto const& [gateway, p] : peers_)
    {
        if (now - p.heard > report_validity)
            continue;
        if (p.last.requests_in_progress_at_old > 0)
            return false;
        left += p.last.elapsed && *p.last.elapsed >= past ? 1 : 0;
    }
    return left >= gateways;
}

} // namespace dotterellock
