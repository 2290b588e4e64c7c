#include "agent_graph.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

// Well below the 3 s in which a drain must take effect.
constexpr milliseconds tick_interval{100};

// The last tokens are sent when their run ends; they have this many ticks to
// leave before the process does.
constexpr unsigned flush_ticks = 3;

// A process that ends does not wait for a store that is down.
constexpr milliseconds leave_timeout{2000};

/// For agents that do not register: rises with each start as long as the
/// host's clock does not go back; the low bits keep two starts within one
/// millisecond apart.
incarnation incarnation_at_start(clock_source& clock, random_source& random)
{
    constexpr unsigned random_bits = 20;
    auto const since_1970 = std::chrono::duration_cast<milliseconds>(
        clock.wall_now().time_since_epoch());
    return static_cast<incarnation>(since_1970.count()) << random_bits |
           random.below(1u << random_bits);
}

std::vector<configuration_peer>
peers_of(std::vector<router_entry> const& routers)
{
    std::vector<configuration_peer> peers;
    peers.reserve(routers.size());
    for (auto const& r : routers)
        peers.push_back({r.info.router, r.info.zone});
    return peers;
}

} // namespace

agent_graph::agent_graph(
    agent_settings const& settings, std::string const& address,
    runtime_services runtime, table_service& store, agent_backend backend,
    std::function<void()> superseded)
    : settings_(settings), runtime_(runtime), store_(store), backend_(backend),
      superseded_(std::move(superseded)),
      policy_(settings.policy.value_or(policy_settings{}))
{
    if (settings.follows_fleet_document())
    {
        configuration_.emplace(
            settings.self(), settings.location, runtime.clock, runtime.timers,
            runtime.random, runtime.transport, store, parser_,
            peers_of(settings.routers), runtime.counters);
    }
    if (!settings.table_service_url.empty())
        make_registration(address);
}

agent_graph::~agent_graph()
{
    runtime_.timers.cancel(tick_timer_);
    runtime_.timers.cancel(leave_timer_);
}

void agent_graph::make_registration(std::string const& address)
{
    endpoint_info info;
    info.endpoint = settings_.endpoint;
    info.agent = settings_.self();
    info.host = settings_.location.host;
    info.zone = settings_.location.zone;
    info.region = settings_.location.region;
    info.address = address;
    info.models = settings_.models;
    info.services = settings_.services;
    registration_.emplace(
        std::move(info), runtime_.clock, runtime_.timers, runtime_.random,
        store_, runtime_.counters);
    registration_->set_on_incarnation([this](incarnation run)
                                      { make_node(run); });
    registration_->set_on_superseded(superseded_);
    if (backend_.engine != nullptr)
        make_placement(*backend_.engine);
}

void agent_graph::make_placement(engine& engine)
{
    placement_hooks hooks;
    hooks.drain = [this](std::function<void()> drained)
    {
        placement_drain_ = true;
        placement_drained_ = std::move(drained);
    };
    hooks.resume = [this]
    {
        placement_drain_ = false;
        placement_drained_ = nullptr;
    };
    hooks.models_changed = [this](std::vector<model_ref> const& models)
    { registration_->set_models(models); };
    placement_.emplace(
        settings_.endpoint,
        settings_.engine_checks_fencing_token ? engine_fencing::checks_tokens
                                              : engine_fencing::ignores_tokens,
        settings_.models, engine, runtime_.clock, runtime_.timers, store_,
        std::move(hooks), runtime_.counters);
    registration_->watch(
        placement_->watched_keys(),
        [this](std::vector<row> const& rows, steady_time asked_at)
        { placement_->on_rows(rows, asked_at); });
}

void agent_graph::make_node(incarnation run)
{
    log_event(
        log_level::info, "incarnation", {{"incarnation", std::to_string(run)}});
    agent_identity const identity{settings_.endpoint, run, settings_.capacity};
    node_.reset(); // its timers and runs end before those of the new one begin
    node_ = backend_.engine != nullptr
                ? std::make_unique<agent_node>(
                      identity, runtime_, *backend_.engine, policy())
                : std::make_unique<agent_node>(
                      identity, runtime_, *backend_.service, policy());
    node_->set_draining(draining());
}

policy_source const& agent_graph::policy() const
{
    if (configuration_)
        return *configuration_;
    return policy_;
}

void agent_graph::start()
{
    if (configuration_)
        configuration_->start();
    if (registration_)
        registration_->start();
    else
        make_node(incarnation_at_start(runtime_.clock, runtime_.random));
    tick();
}

bool agent_graph::draining() const
{
    bool const may_offer = !registration_ || registration_->may_offer();
    bool const configured = !configuration_ || configuration_->ready();
    return stopping_ || placement_drain_ || !may_offer || !configured;
}

void agent_graph::tick()
{
    tick_timer_ = runtime_.timers.schedule(tick_interval, [this] { tick(); });
    if (node_)
        node_->set_draining(draining());
    std::size_t const open = open_work();
    if (registration_)
        registration_->set_drain_progress(draining(), open);
    idle_ticks_ = open == 0 ? idle_ticks_ + 1 : 0;
    if (open != 0)
        return;
    if (placement_drained_)
        std::exchange(placement_drained_, nullptr)();
    if (stopping_ && !leaving_ && idle_ticks_ >= flush_ticks)
        end_registration();
}

void agent_graph::begin_shutdown()
{
    stopping_ = true;
    if (node_)
        node_->set_draining(true);
}

void agent_graph::end_registration()
{
    leaving_ = true;
    if (!registration_)
    {
        finished_ = true;
        return;
    }
    leave_timer_ =
        runtime_.timers.schedule(leave_timeout, [this] { finished_ = true; });
    registration_->stop([this] { finished_ = true; });
}

void agent_graph::on_message(peer_id const& from, message const& m)
{
    if (configuration_)
        configuration_->on_message(from, m);
    if (node_)
        node_->on_message(from, m);
}

void agent_graph::on_disconnected(peer_id const& peer)
{
    if (configuration_)
        configuration_->on_disconnected(peer);
    if (node_)
        node_->on_disconnected(peer);
}

} // namespace dotterellock
