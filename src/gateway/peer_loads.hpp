// What the other gateway_count have under way at each endpoint, from the shares
// that they send each other. A share that is too old counts for nothing.
//
// Load: prompts that several gateway_count send to the same endpoints, each of
// them blind to the others' work until a report shows it.
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

/// One gateway's work, as it sends it to the others.
struct load_share
{
    struct endpoint_load
    {
        endpoint_id endpoint;
        endpoint_state::workload load;
    };

    host_id gateway;
    std::uint64_t incarnation = 0; // another number after each restart
    std::uint64_t sequence = 0;    // rises with each share of an incarnation
    std::vector<endpoint_load> loads;
    std::vector<endpoint_id> failed; // within the last moment
};

class peer_loads
{
public:
    // Several intervals at which shares are sent, so that one that is lost
    // changes nothing; short, as work of a gateway that died ends with it.
    static constexpr std::chrono::milliseconds validity{800};

    /// Takes a share into account. False when it is older than the last one.
    bool put(load_share const& share, steady_time now);

    /// Forgets shares that are too old; called several times a second.
    void expire(steady_time now);

    endpoint_state::workload load_at(endpoint_id const& endpoint) const;

    std::size_t gateway_count() const { return shares_.size(); }

private:
    struct received_share
    {
        load_share share;
        steady_time received{};
        std::uint64_t previous_incarnation =
            0; // incarnation; its datagrams may be late
    };

    void add(load_share const& share);
    void subtract(load_share const& share);

    std::unordered_map<std::string, received_share> shares_; // by gateway
    std::unordered_map<std::string, endpoint_state::workload> sums_;
};

} // namespace dotterellock

#endif
