// Per-process control of a router, beside its shards: registers the process,
// maintains the fleet configuration and follows the set of endpoints. One
// object graph with its own lock; called under that lock.
#ifndef DOTTERELLOCK_PROCESS_ROUTER_CONTROL_HPP
#define DOTTERELLOCK_PROCESS_ROUTER_CONTROL_HPP

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "configuration/configuration_node.hpp"
#include "membership/membership_view.hpp"
#include "membership/registration.hpp"
#include "program_settings.hpp"
#include "runtime_services.hpp"
#include "settings/fleet_document.hpp"

namespace dotterellock
{

/// Callbacks that pass changes on to the shards. Both return at once.
struct control_hooks
{
    /// Calls `in_force` under the control lock once every shard uses the
    /// policy.
    std::function<void(
        std::shared_ptr<policy_settings const> policy,
        std::function<void()> in_force)>
        publish_policy;
    std::function<void(std::vector<endpoint_info> const&)> publish_endpoints;
};

class router_control : public message_handler
{
public:
    /// @param address  "ip:port" at which other processes reach this process
    router_control(
        router_settings const& settings, std::string const& address,
        runtime_services runtime, table_service& store, fleet_view& fleet,
        control_hooks hooks);

    router_control(router_control const&) = delete;
    router_control& operator=(router_control const&) = delete;

    void start();

    /// False while the current configuration is not confirmed.
    bool ready() const { return !configuration_ || configuration_->ready(); }

    /// Marks the registration of this process as left.
    void stop(std::function<void()> done);

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

private:
    void set_endpoints(std::vector<endpoint_info> const& endpoints);

    router_settings const& settings_;
    control_hooks const hooks_;
    yaml_configuration_parser const parser_;
    std::optional<registration> registration_;
    std::optional<configuration_node> configuration_; // unless in the settings
    std::optional<membership_view> membership_;       // unless in the settings
};

/// The processes with which configuration is exchanged.
std::vector<configuration_peer> configuration_peers(
    std::vector<router_entry> const& routers,
    std::vector<endpoint_info> const& endpoints);

} // namespace dotterellock

#endif
