// Work in progress of the other gateways at each endpoint, from the load shares
// that gateways exchange. A share that is too old is ignored.
//
// Designed for gateways that send prompts to the same endpoints and would
// otherwise see each other's work only in the next load report.
#ifndef DOTTERELLOCK_GATEWAY_PEER_LOADS_HPP
#define DOTTERELLOCK_GATEWAY_PEER_LOADS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "endpoint_state.hpp"

namespace dotterellock
{

/// Work of one gateway, as sent to its peers.
struct load_share
{
    struct endpoint_load
    {
        endpoint_id endpoint;
        endpoint_state::workload load;

        // Time per event of the gateway's streams there; 0: not known.
        std::chrono::microseconds pace{0};
    };

    /// What an endpoint reported to this gateway, which asks it for its zone.
    struct shared_report
    {
        endpoint_id endpoint;
        endpoint_report report; // without its runs
        std::chrono::milliseconds age{0};
    };

    /// What an endpoint said of its request limit, to any gateway.
    struct shared_limit
    {
        endpoint_id endpoint;
        std::optional<double> per_second; // empty: it has none any more
        std::chrono::milliseconds age{0};
    };

    host_id gateway;
    std::uint64_t incarnation = 0; // changes with each restart
    std::uint64_t sequence = 0; // increases with each share of an incarnation
    std::vector<endpoint_load> loads;
    std::vector<endpoint_id> failed; // endpoints that failed recently
    std::vector<shared_report> reports;
    std::vector<shared_limit> limits;
    zone_id zone; // of the gateway, if its copies of the tables are current
    std::uint64_t configuration_revision = 0; // in force there; 0: not known
    std::uint32_t link_mbps = 0;              // of its host; 0: not known
};

class peer_loads
{
public:
    // Several send intervals, so that a lost share has no effect. Short, as the
    // work of a gateway that crashed ends with it.
    static constexpr std::chrono::milliseconds validity{800};

    /// Adds or replaces a gateway's share. Returns false if it is not newer
    /// than the last one.
    bool put(load_share const& share, steady_time now);

    /// Removes shares that are too old; called several times a second.
    void expire(steady_time now);

    endpoint_state::workload load_at(endpoint_id const& endpoint) const;

    /// When the oldest share that counts at each endpoint was received, by
    /// endpoint.
    std::unordered_map<std::string, steady_time> oldest_shares() const;

    std::size_t gateway_count() const { return shares_.size(); }

private:
    struct received_share
    {
        load_share share;
        steady_time received{};

        // Its datagrams may still arrive.
        std::uint64_t previous_incarnation = 0;
    };

    void add(load_share const& share);
    void subtract(load_share const& share);

    std::unordered_map<std::string, received_share> shares_; // by gateway
    std::unordered_map<std::string, endpoint_state::workload> sums_;
};

} // namespace dotterellock

#endif
