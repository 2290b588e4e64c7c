// What the other gateways told about an order: their counts and whether they
// are heard.
//
// Designed for 360 gateways that report every 250 ms, and for gateways that
// restart during the order.
#ifndef DOTTERELLOCK_GATEWAY_ROLLOUT_PEERS_HPP
#define DOTTERELLOCK_GATEWAY_ROLLOUT_PEERS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "version_comparison.hpp"

namespace dotterellock
{

class rollout_peers
{
public:
    struct report
    {
        version_counts counts;
        std::uint32_t requests_in_progress_at_old = 0;
        std::optional<std::chrono::milliseconds> elapsed;
    };

    // Ten reports. With it, a gateway that was cut off stops within half of
    // the usual bound of 5 s after a verdict.
    static constexpr std::chrono::milliseconds report_validity{2500};

    void on_report(host_id const& gateway, report const& r, steady_time now);

    /// Number of gateways that were heard lately.
    std::size_t heard(steady_time now) const;

    /// Adds the counts of all gateways, including those before a restart.
    void add_counts(version_counts& sum) const;

    /// Whether this many gateways lately reported that they are past the given
    /// time of the order and have no request at old endpoints.
    bool all_left_old(
        std::size_t gateways, std::chrono::milliseconds past,
        steady_time now) const;

private:
    struct peer
    {
        report last;
        steady_time heard{};
        steady_time counted{}; // when `last` was taken
    };

    std::map<host_id, peer> peers_;
    version_counts before_restarts_;
};

} // namespace dotterellock

#endif
