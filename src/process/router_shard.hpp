// One router shard: processes parsed requests and exchanges messages with
// agents and other routers. Called under the shard's lock; shares no mutable
// state with other shards.
#ifndef DOTTERELLOCK_PROCESS_ROUTER_SHARD_HPP
#define DOTTERELLOCK_PROCESS_ROUTER_SHARD_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <dotterellock/configuration.hpp>
#include <dotterellock/external_services.hpp>

#include "agent_subscriptions.hpp"
#include "choice/cross_region_budget.hpp"
#include "choice/endpoint_directory.hpp"
#include "choice/late_binding_dispatcher.hpp"
#include "choice/rendezvous_journal_placement.hpp"
#include "claims/call_coordinator.hpp"
#include "pipeline/admit.hpp"
#include "pipeline/classify.hpp"
#include "queueing/admission.hpp"
#include "queueing/retry_budget.hpp"
#include "recovery/generation_relay.hpp"
#include "recovery/journal_holder.hpp"
#include "runtime_services.hpp"
#include "store/store_client.hpp"

namespace dotterellock
{

struct shard_position
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

/// The shards of one router share the connection to an agent. The sequence
/// numbers of their pings are interleaved, so that each pong is dispatched to
/// the shard that sent the ping.
class shard_transport : public peer_transport
{
public:
    shard_transport(peer_transport& transport, shard_position position)
        : transport_(transport), position_(position)
    {
    }

    void send(peer_id const& to, message m) override
    {
        if (auto* const p = std::get_if<ping>(&m))
            p->sequence = p->sequence * position_.count + position_.index;
        transport_.send(to, std::move(m));
    }

    void reconnect(peer_id const& to) override { transport_.reconnect(to); }

private:
    peer_transport& transport_;
    shard_position position_;
};

/// Chooses the version served by most endpoints; ties go to the greatest name.
class endpoint_catalogue : public model_catalogue
{
public:
    void set_endpoints(std::vector<endpoint_info> const& endpoints);
    std::string default_version(
        std::string const& name, std::string const& adapter) const override;

private:
    using model_name = std::pair<std::string, std::string>; // name, adapter

    std::map<model_name, std::map<std::string, std::size_t>> versions_;
};

class router_shard : public message_handler
{
public:
    /// @param routers  all routers of the fleet, for the placement of journal
    ///                 copies and the shares of fleet-wide budgets
    router_shard(
        peer_id const& self, node_location const& location,
        shard_position position, std::vector<router_info> const& routers,
        runtime_services runtime, table_service& store_backend,
        policy_source const& policy);

    router_shard(router_shard const&) = delete;
    router_shard& operator=(router_shard const&) = delete;

    void set_endpoints(std::vector<endpoint_info> const& endpoints);

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    generation_service& generations() { return relay_; }
    call_service& calls() { return coordinator_; }

    /// The filters that run inside the shard, in order of execution.
    std::vector<filter*> filters() { return {&classify_, &admit_}; }

    /// Called on only one shard of a router.
    /// @param silent  notifies all shards of a replaced connection
    void start_subscriptions(std::function<void(peer_id const&)> silent);

    /// Number of generations and calls whose callers are waiting.
    std::size_t open_work() const;

private:
    shard_position const position_;
    shard_transport transport_;
    endpoint_catalogue catalogue_;
    endpoint_directory directory_;
    cross_region_budget cross_region_budget_;
    retry_budget retry_budget_;
    late_binding_dispatcher dispatcher_;
    rendezvous_journal_placement journal_placement_;
    generation_relay relay_;
    journal_holder journal_holder_;
    store_client store_;
    call_coordinator coordinator_;
    token_bucket_admission admission_;
    classify_filter classify_;
    admit_filter admit_;
    runtime_services const runtime_;
    std::optional<agent_subscriptions> subscriptions_;
};

/// The shard that handles a message from a peer; empty: every shard.
std::optional<std::uint32_t>
destination_shard(message const& m, std::uint32_t shards);

} // namespace dotterellock

#endif
