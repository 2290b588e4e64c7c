// The top-level object of an agent, used under one lock. It owns the worker
// that queues and runs work, and handles registration, draining, configuration
// and model placement on the engine. The worker is created once the
// incarnation is known, and replaced if registration raises the incarnation.
#ifndef DOTTERELLOCK_PROCESS_AGENT_CONTROLLER_HPP
#define DOTTERELLOCK_PROCESS_AGENT_CONTROLLER_HPP

#include <functional>
#include <memory>
#include <optional>

#include "agent_worker.hpp"
#include "configuration/configuration_node.hpp"
#include "membership/registration.hpp"
#include "placement/placement_executor.hpp"
#include "program_settings.hpp"
#include "settings/fleet_document.hpp"

namespace dotterellock
{

/// The engine or plain service behind the endpoint; exactly one is set.
struct agent_backend
{
    dotterellock::engine* engine = nullptr;
    dotterellock::plain_service* service = nullptr;
};

class agent_controller : public message_handler
{
public:
    /// @param address     "ip:port" at which routers reach the agent
    /// @param superseded  called when a newer process has registered as the
    ///                    same endpoint
    agent_controller(
        agent_settings const& settings, std::string const& address,
        runtime_services runtime, table_service& store, agent_backend backend,
        std::function<void()> superseded);
    ~agent_controller() override;

    agent_controller(agent_controller const&) = delete;
    agent_controller& operator=(agent_controller const&) = delete;

    void start();

    /// Stops accepting work; marks the registration as left once the work in
    /// flight has ended.
    void begin_shutdown();
    bool finished() const { return finished_; }

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    bool draining() const;
    std::size_t open_work() const { return worker_ ? worker_->open_work() : 0; }

private:
    void make_registration(std::string const& address);
    void make_placement(engine& engine);
    void make_worker(incarnation run);
    void tick();
    void deregister();
    policy_source const& policy() const;

    agent_settings const settings_;
    runtime_services const runtime_;
    table_service& store_;
    agent_backend const backend_;
    std::function<void()> const superseded_;
    yaml_configuration_parser const parser_;
    published_policy policy_;
    std::optional<configuration_node> configuration_;
    std::optional<registration> registration_;
    std::optional<placement_executor> placement_;
    std::unique_ptr<agent_worker> worker_;

    bool stopping_ = false;
    unsigned idle_ticks_ = 0;    // consecutive ticks without open work
    bool deregistering_ = false; // marking the registration row as left
    bool finished_ = false;
    bool placement_draining_ = false;
    std::function<void()> on_placement_drained_;
    timer_id tick_timer_ = 0;
    timer_id deregistration_timer_ = 0;
};

} // namespace dotterellock

#endif
