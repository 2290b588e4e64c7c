// Queues and runs the work of one incarnation of an agent: the reservation
// queue, and the runner of generations or calls. Called under the
// agent's lock.
#ifndef DOTTERELLOCK_PROCESS_AGENT_WORKER_HPP
#define DOTTERELLOCK_PROCESS_AGENT_WORKER_HPP

#include <optional>

#include <dotterellock/external_services.hpp>

#include "claims/call_runner.hpp"
#include "queueing/reservation_queue.hpp"
#include "recovery/generation_runner.hpp"
#include "runtime_services.hpp"

namespace dotterellock
{

struct agent_identity
{
    endpoint_id endpoint;
    dotterellock::incarnation incarnation = 0;
    std::uint32_t capacity = 1; // requests served at one time
};

class agent_worker : public message_handler
{
public:
    agent_worker(
        agent_identity const& identity, runtime_services runtime,
        engine& engine, policy_source const& policy);
    agent_worker(
        agent_identity const& identity, runtime_services runtime,
        plain_service& service, policy_source const& policy);

    agent_worker(agent_worker const&) = delete;
    agent_worker& operator=(agent_worker const&) = delete;

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    /// While draining, no offers are made; work in flight continues.
    void set_draining(bool draining) { queue_.set_draining(draining); }

    /// Unfinished runs and calls, and the slots held by outstanding offers.
    std::size_t open_work() const;

private:
    peer_transport& transport_;
    reservation_queue queue_;
    std::optional<generation_runner> generations_;
    std::optional<call_runner> calls_;
};

} // namespace dotterellock

#endif
