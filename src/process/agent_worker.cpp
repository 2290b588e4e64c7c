#include "agent_worker.hpp"

namespace dotterellock
{

agent_worker::agent_worker(
    agent_identity const& identity, runtime_services r, engine& engine,
    policy_source const& policy)
    : transport_(r.transport),
      queue_(
          identity.endpoint, identity.incarnation, identity.capacity, r.clock,
          r.timers, r.transport, policy, r.log, r.counters)
{
    generations_.emplace(
        identity.incarnation, r.clock, r.timers, r.transport, engine, queue_,
        policy, r.counters);
}

agent_worker::agent_worker(
    agent_identity const& identity, runtime_services r, plain_service& service,
    policy_source const& policy)
    : transport_(r.transport),
      queue_(
          identity.endpoint, identity.incarnation, identity.capacity, r.clock,
          r.timers, r.transport, policy, r.log, r.counters)
{
    calls_.emplace(
        identity.incarnation, r.clock, r.timers, r.transport, service, queue_,
        policy, r.counters);
}

void agent_worker::on_message(peer_id const& from, message const& m)
{
    queue_.on_message(from, m);
    if (generations_)
        generations_->on_message(from, m);
    if (!calls_)
        return;
    calls_->on_message(from, m);
    if (auto const* const p = std::get_if<ping>(&m))
        transport_.send(from, pong{p->sequence});
}

void agent_worker::on_disconnected(peer_id const& peer)
{
    queue_.on_disconnected(peer);
    if (generations_)
        generations_->on_disconnected(peer);
    if (calls_)
        calls_->on_disconnected(peer);
}

std::size_t agent_worker::open_work() const
{
    return queue_.slots_in_use() +
           (generations_ ? generations_->active_runs() : 0) +
           (calls_ ? calls_->running_calls() : 0);
}

} // namespace dotterellock
