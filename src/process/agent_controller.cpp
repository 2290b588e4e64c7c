#include "agent_controller.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

// Well below the 3 s within which a drain must take effect.
constexpr milliseconds tick_interval{100};

// The last tokens are sent when their run ends. Idle ticks to wait before
// shutdown, so that these tokens are transmitted before the process exits.
constexpr unsigned flush_ticks = 3;

// An unavailable store must not keep the process from exiting.
constexpr milliseconds deregistration_timeout{2000};

/// Incarnation of an agent that does not register. It increases with every
/// start as long as the host's clock does not go back; random low bits
/// distinguish two starts within one millisecond.
incarnation unregistered_incarnation(clock_source& clock, random_source& random)
{
    constexpr unsigned random_bits = 20;
    auto const since_1970 = std::chrono::duration_cast<milliseconds>(
        clock.wall_now().time_since_epoch());
    return static_cast<incarnation>(since_1970.count()) << random_bits |
           random.below(1u << random_bits);
}

std::vector<configuration_peer>
configuration_peers_of(std::vector<router_entry> const& routers)
{
    std::vector<configuration_peer> peers;
    peers.reserve(routers.size());
    for (auto const& r : routers)
        peers.push_back({r.info.router, r.info.zone});
    return peers;
}

} // namespace

agent_controller::agent_controller(
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
            configuration_peers_of(settings.routers), runtime.counters);
    }
    if (!settings.table_service_url.empty())
        make_registration(address);
}

agent_controller::~agent_controller()
{
    runtime_.timers.cancel(tick_timer_);
    runtime_.timers.cancel(deregistration_timer_);
}

void agent_controller::make_registration(std::string const& address)
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
                                      { make_worker(run); });
    registration_->set_on_superseded(superseded_);
    if (backend_.engine != nullptr)
        make_placement(*backend_.engine);
}

void agent_controller::make_placement(engine& engine)
{
    placement_hooks hooks;
    hooks.drain = [this](std::function<void()> drained)
    {
        placement_draining_ = true;
        on_placement_drained_ = std::move(drained);
    };
    hooks.resume = [this]
    {
        placement_draining_ = false;
        on_placement_drained_ = nullptr;
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

void agent_controller::make_worker(incarnation run)
{
    log_event(
        log_level::info, "incarnation", {{"incarnation", std::to_string(run)}});
    agent_identity const identity{settings_.endpoint, run, settings_.capacity};
    worker_.reset(); // ends its timers and runs before the new ones begin
    worker_ = backend_.engine != nullptr
                  ? std::make_unique<agent_worker>(
                        identity, runtime_, *backend_.engine, policy())
                  : std::make_unique<agent_worker>(
                        identity, runtime_, *backend_.service, policy());
    worker_->set_draining(draining());
}

policy_source const& agent_controller::policy() const
{
    if (configuration_)
        return *configuration_;
    return policy_;
}

void agent_controller::start()
{
    if (configuration_)
        configuration_->start();
    if (registration_)
        registration_->start();
    else
        make_worker(unregistered_incarnation(runtime_.clock, runtime_.random));
    tick();
}

bool agent_controller::draining() const
{
    bool const may_offer = !registration_ || registration_->may_offer();
    bool const configured = !configuration_ || configuration_->ready();
    return stopping_ || placement_draining_ || !may_offer || !configured;
}

void agent_controller::tick()
{
    tick_timer_ = runtime_.timers.schedule(tick_interval, [this] { tick(); });
    if (worker_)
        worker_->set_draining(draining());
    std::size_t const open = open_work();
    if (registration_)
        registration_->set_drain_progress(draining(), open);
    idle_ticks_ = open == 0 ? idle_ticks_ + 1 : 0;
    if (open != 0)
        return;
    if (on_placement_drained_)
        std::exchange(on_placement_drained_, nullptr)();
    if (stopping_ && !deregistering_ && idle_ticks_ >= flush_ticks)
        deregister();
}

void agent_controller::begin_shutdown()
{
    stopping_ = true;
    if (worker_)
        worker_->set_draining(true);
}

void agent_controller::deregister()
{
    deregistering_ = true;
    if (!registration_)
    {
        finished_ = true;
        return;
    }
    deregistration_timer_ = runtime_.timers.schedule(
        deregistration_timeout, [this] { finished_ = true; });
    registration_->stop([this] { finished_ = true; });
}

void agent_controller::on_message(peer_id const& from, message const& m)
{
    if (configuration_)
        configuration_->on_message(from, m);
    if (worker_)
        worker_->on_message(from, m);
}

void agent_controller::on_disconnected(peer_id const& peer)
{
    if (configuration_)
        configuration_->on_disconnected(peer);
    if (worker_)
        worker_->on_disconnected(peer);
}

} // namespace dotterellock
