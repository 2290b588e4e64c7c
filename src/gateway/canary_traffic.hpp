// How much of one gateway's traffic a candidate version receives before the
// shift, and when. Each gateway spends only what its own requests allow, so the
// sum over the gateways holds without any exchange.
//
// Designed for gateways with less than one request per second as well as for
// 500 per second; constant memory.
#ifndef DOTTERELLOCK_GATEWAY_CANARY_TRAFFIC_HPP
#define DOTTERELLOCK_GATEWAY_CANARY_TRAFFIC_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class canary_traffic
{
public:
    struct limits
    {
        double share = 0; // of the gateway's requests since the order
        double slack = 0; // requests beyond, this gateway's part
        std::chrono::milliseconds length{0}; // of the order
    };

    canary_traffic() = default;
    explicit canary_traffic(limits const& limits) : limits_(limits) {}

    void on_request() { ++requests_; }
    void on_exposed() { ++exposed_; }
    void set_slack(double slack) { limits_.slack = slack; }

    std::uint64_t exposed() const { return exposed_; }

    /// Whether the next attempt goes to the candidate.
    /// @param current_endpoints  ready ones of the current version
    bool due(std::size_t current_endpoints, duration elapsed) const;

    /// Number of candidate endpoints that gives each at least the load of a
    /// current one.
    std::size_t endpoints(std::size_t current_endpoints) const;

private:
    limits limits_;
    std::uint64_t requests_ = 0;
    std::uint64_t exposed_ = 0;
};

} // namespace dotterellock

#endif
