// How a gateway keeps the request limits of endpoints.
#include "gateway.hpp"

#include <algorithm>
#include <tuple>

namespace dotterellock
{

namespace
{

// A question takes a round trip; requests that wait look for endpoints more
// often.
constexpr std::chrono::milliseconds min_ask_interval{40};

// Questions at once; further ones follow after the interval.
constexpr std::size_t max_asked_at_once = 4;

// The first ones may have just been lost.
constexpr std::size_t max_granters = 4;

} // namespace

class gateway::peer_limit_network : public limit_network
{
public:
    explicit peer_limit_network(gateway& owner) : owner_(owner) {}

    std::vector<granter> granters(endpoint_id const& endpoint) const override
    {
        if (!owner_.peer_load_sync_)
            return {{host_id(owner_.settings_.host), true}};
        return owner_.peer_load_sync_->first_alive_for(
            endpoint.value(), max_granters, owner_.env_.clock.now());
    }

    void send(host_id const& to, limit_message const& message) override
    {
        if (owner_.peer_load_sync_)
            owner_.peer_load_sync_->send_limit_message(to, message);
    }

private:
    gateway& owner_;
};

std::unique_ptr<limit_network> gateway::make_limit_network()
{
    return std::make_unique<peer_limit_network>(*this);
}

void gateway::observe_request_limit(
    endpoint_state& endpoint, request_limit_observation const& said)
{
    auto const now = env_.clock.now();
    if (!limits_.observe(endpoint, said, now))
        return;
    env_.log.record(
        event_level::info, "endpoint_limit",
        {{"endpoint", endpoint.record().id.value()},
         {"service", endpoint.record().service.value()},
         {"per_second",
          said.per_second ? std::to_string(*said.per_second) : "-"}});
    if (peer_load_sync_)
        peer_load_sync_->request_send();
    on_capacity_freed(endpoint.record().service);
}

void gateway::ask_for_permits(
    endpoint_requirements const& work, engine_spec const* engine,
    std::uint32_t rank, bool waiting)
{
    // A short call that found an endpoint asks for the next one. Prompts are
    // too rare for that, and a permit that is not used is lost for others.
    if (limits_.limited() == 0 || (!waiting && engine != nullptr))
        return;
    auto const now = env_.clock.now();
    auto& asked = permits_asked_[work.service];
    if (now - asked < min_ask_interval)
        return;
    asked = now;
    auto const queue = request_queues_.find(work.service);
    auto const needed = std::max<std::size_t>(
        queue == request_queues_.end() ? 0 : queue->second->size(), 1);
    // A prompt needs the permit of the endpoint that is best for it.
    auto const expected = engine == nullptr
                              ? limits_.expected(work.service, now)
                              : limits_.asked(work.service);
    if (expected >= needed)
        return;
    auto missing = selection_.lacking_permits(work, engine, now);
    auto const count =
        std::min({needed - expected, max_asked_at_once, missing.size()});
    if (engine == nullptr)
        move_nearest_first(missing, count);
    for (std::size_t i = 0; i < count; ++i)
        limits_.ask(*missing[i], rank, now);
}

/// Among equally near ones any, as other gateways ask at the same time.
void gateway::move_nearest_first(
    std::vector<endpoint_ptr>& endpoints, std::size_t count)
{
    std::vector<std::tuple<topology::distance, std::uint64_t, endpoint_ptr>>
        order;
    order.reserve(endpoints.size());
    for (auto const& endpoint : endpoints)
        order.emplace_back(
            selection_.location().distance_to(endpoint->record().zone),
            env_.random.next(), endpoint);
    std::partial_sort(
        order.begin(), order.begin() + std::ptrdiff_t(count), order.end());
    for (std::size_t i = 0; i < count; ++i)
        endpoints[i] = std::get<endpoint_ptr>(order[i]);
}

} // namespace dotterellock
