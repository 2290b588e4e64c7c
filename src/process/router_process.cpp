#include "router_process.hpp"

#include <atomic>
#include <iostream>
#include <memory>
#include <utility>

#include "asio_timer_service.hpp"
#include "clients/curl_executor.hpp"
#include "clients/http_stores.hpp"
#include "front/http_frontend.hpp"
#include "message_dispatcher.hpp"
#include "pipeline/request_pipeline.hpp"
#include "process_log.hpp"
#include "process_runner.hpp"
#include "router_control.hpp"
#include "router_shard.hpp"
#include "shard_executor.hpp"
#include "system_runtime.hpp"
#include "unavailable_services.hpp"
#include "wire/tcp_peer_transport.hpp"

namespace dotterellock
{

namespace
{

// Readiness survives a late timer, but not a pause of the process during which
// the fleet may have adopted another configuration.
constexpr milliseconds readiness_interval{100};
constexpr milliseconds readiness_validity{1500};

// An unavailable store must not keep the process from exiting.
constexpr milliseconds deregistration_timeout{2000};

/// Limit of the HTTP server relative to the limit of requests. Bodies between
/// the two get an error response; RESTinio closes the connection on larger
/// ones.
constexpr std::size_t body_limit_factor = 2;

/// Executor and timers of one object graph; outlives the graph and the threads
/// that post to it.
struct shard_runtime
{
    explicit shard_runtime(asio::io_context& io)
        : executor(io, &log_exception), timers(executor)
    {
    }

    shard_executor executor;
    asio_timer_service timers;
};

/// A shard and the objects it uses; accessed under the lock of its runtime.
struct shard_graph
{
    explicit shard_graph(policy_settings const& p) : policy(p) {}

    published_policy policy;
    std::unique_ptr<table_service> store;
    std::unique_ptr<router_shard> shard;
};

class router_process
{
public:
    explicit router_process(router_settings const& settings);
    ~router_process();

    router_process(router_process const&) = delete;
    router_process& operator=(router_process const&) = delete;

    void run();

private:
    std::vector<router_info> routers() const;
    std::unique_ptr<table_service> make_store(shard_executor& executor);
    void make_shards();
    void make_control();
    void set_addresses(std::vector<endpoint_info> const& endpoints);
    std::vector<message_dispatcher::target> targets();
    std::vector<request_shard> request_shards();
    void publish_policy(
        std::shared_ptr<policy_settings const> const& policy,
        std::function<void()> in_force);
    void publish_endpoints(std::vector<endpoint_info> const& endpoints);
    void renew_readiness();
    void begin_shutdown();

    router_settings const settings_;
    counter_registry counters_;
    monotonic_clock clock_;
    system_random random_;
    log4cplus_decision_log log_;
    process_runner runner_;
    std::vector<std::unique_ptr<shard_runtime>> runtimes_;
    shard_runtime control_runtime_;
    curl_executor curl_; // its thread posts to the executors
    tcp_peer_transport transport_;
    std::vector<std::unique_ptr<shard_graph>> shards_;
    std::unique_ptr<table_service> control_store_;
    std::unique_ptr<fleet_view> fleet_;
    std::unique_ptr<router_control> control_;
    std::unique_ptr<message_dispatcher> dispatcher_;
    parse_filter parse_;
    identify_filter identify_;
    std::unique_ptr<request_pipeline> request_path_;
    std::unique_ptr<http_frontend> front_;

    /// The registration is marked as left, or the attempt timed out.
    std::atomic<bool> deregistered_{false};
};

router_process::router_process(router_settings const& settings)
    : settings_(settings), runner_(settings.threads),
      control_runtime_(runner_.io()),
      curl_(counters_, std::size_t(settings.answer_memory_mb) << 20),
      transport_(
          runner_.io(),
          transport_settings(settings.self(), settings.peer_listen),
          [this](peer_id const& from, message m)
          { dispatcher_->deliver(from, std::move(m)); },
          [this](peer_id const& peer) { dispatcher_->disconnected(peer); },
          counters_),
      parse_(settings.limits), identify_(settings.identify, random_)
{
    make_shards();
    make_control();
    dispatcher_ = std::make_unique<message_dispatcher>(
        targets(),
        message_dispatcher::target{
            control_runtime_.executor.poster(), *control_},
        clock_);
    for (auto const& r : settings_.routers)
    {
        if (r.info.router != settings_.self())
            transport_.set_address(r.info.router, r.address);
    }
    set_addresses(settings_.endpoints);
    request_path_ = std::make_unique<request_pipeline>(
        std::vector<filter*>{&parse_, &identify_}, request_shards(), counters_);
    front_ = std::make_unique<http_frontend>(
        runner_.io(),
        http_frontend_settings{
            settings_.http_listen,
            settings_.limits.max_body_bytes * body_limit_factor},
        *request_path_);
}

router_process::~router_process()
{
    transport_.stop();
    // Destroyed before the graphs that its handlers refer to.
    front_.reset();
}

std::vector<router_info> router_process::routers() const
{
    std::vector<router_info> infos;
    for (auto const& r : settings_.routers)
        infos.push_back(r.info);
    return infos;
}

std::unique_ptr<table_service>
router_process::make_store(shard_executor& executor)
{
    if (settings_.table_service_url.empty())
        return std::make_unique<unavailable_table_service>(executor.poster());
    return std::make_unique<http_table_service>(
        settings_.table_service_url, curl_, executor.poster());
}

void router_process::make_shards()
{
    for (std::uint32_t i = 0; i < settings_.shards; ++i)
    {
        runtimes_.push_back(std::make_unique<shard_runtime>(runner_.io()));
        shard_runtime& r = *runtimes_.back();
        auto graph = std::make_unique<shard_graph>(
            settings_.policy.value_or(policy_settings{}));
        graph->store = make_store(r.executor);
        r.executor.run(
            [&]
            {
                graph->shard = std::make_unique<router_shard>(
                    settings_.self(), settings_.location,
                    shard_position{i, settings_.shards}, routers(),
                    runtime_services{
                        clock_, r.timers, random_, transport_, log_, counters_},
                    *graph->store, graph->policy);
                graph->shard->set_endpoints(settings_.endpoints);
            });
        shards_.push_back(std::move(graph));
    }
}

void router_process::make_control()
{
    shard_runtime& r = control_runtime_;
    control_store_ = make_store(r.executor);
    if (settings_.fleet_view_url.empty())
        fleet_ = std::make_unique<unavailable_fleet_view>(r.executor.poster());
    else
        fleet_ = std::make_unique<http_fleet_view>(
            settings_.fleet_view_url, curl_, r.executor.poster());
    control_hooks hooks;
    hooks.publish_policy = [this](auto const& policy, auto in_force)
    { publish_policy(policy, std::move(in_force)); };
    hooks.publish_endpoints = [this](auto const& endpoints)
    { publish_endpoints(endpoints); };
    std::string const& advertised = settings_.peer_address;
    r.executor.run(
        [&]
        {
            control_ = std::make_unique<router_control>(
                settings_,
                advertised.empty() ? transport_.listening_on() : advertised,
                runtime_services{
                    clock_, r.timers, random_, transport_, log_, counters_},
                *control_store_, *fleet_, std::move(hooks));
        });
}

void router_process::set_addresses(std::vector<endpoint_info> const& endpoints)
{
    for (auto const& e : endpoints)
        transport_.set_address(e.agent, e.address);
}

std::vector<message_dispatcher::target> router_process::targets()
{
    std::vector<message_dispatcher::target> targets;
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        targets.push_back(
            {runtimes_[i]->executor.poster(), *shards_[i]->shard});
    }
    return targets;
}

std::vector<request_shard> router_process::request_shards()
{
    std::vector<request_shard> shards;
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        shard_runtime& r = *runtimes_[i];
        shards.push_back(
            {r.executor.poster(), clock_, r.timers,
             shards_[i]->shard->filters(), shards_[i]->shard->generations(),
             shards_[i]->shard->calls()});
    }
    return shards;
}

void router_process::publish_policy(
    std::shared_ptr<policy_settings const> const& policy,
    std::function<void()> in_force)
{
    auto const left =
        std::make_shared<std::atomic<std::size_t>>(shards_.size());
    auto const done =
        std::make_shared<std::function<void()>>(std::move(in_force));
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        runtimes_[i]->executor.post(
            [this, i, policy, left, done]
            {
                shards_[i]->policy.publish(policy);
                if (--*left == 0)
                    control_runtime_.executor.post([done] { (*done)(); });
            });
    }
}

void router_process::publish_endpoints(
    std::vector<endpoint_info> const& endpoints)
{
    set_addresses(endpoints);
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        runtimes_[i]->executor.post(
            [this, i, endpoints]
            { shards_[i]->shard->set_endpoints(endpoints); });
    }
}

/// Runs under the control lock.
void router_process::renew_readiness()
{
    if (control_->ready())
        request_path_->set_ready_until(clock_.now() + readiness_validity);
    control_runtime_.timers.schedule(
        readiness_interval, [this] { renew_readiness(); });
}

void router_process::run()
{
    transport_.start();
    runtimes_.front()->executor.post(
        [this]
        {
            shards_.front()->shard->start_subscriptions(
                [this](peer_id const& agent)
                { dispatcher_->disconnected(agent); });
        });
    control_runtime_.executor.post(
        [this]
        {
            control_->start();
            renew_readiness();
        });
    std::vector<log_field> const at = {
        {"http", front_->listening_on()}, {"peer", transport_.listening_on()}};
    std::cout << format_event(false, "listening", at) << std::endl;
    log_event(log_level::info, "started", {{"self", settings_.self().value()}});
    runner_.run(
        [this] { begin_shutdown(); },
        [this] { return front_->open_requests() == 0 && deregistered_; });
}

void router_process::begin_shutdown()
{
    request_path_->begin_shutdown();
    front_->stop_accepting();
    control_runtime_.executor.post(
        [this]
        {
            control_runtime_.timers.schedule(
                deregistration_timeout, [this] { deregistered_ = true; });
            control_->stop([this] { deregistered_ = true; });
        });
}

} // namespace

void run_router(router_settings const& settings)
{
    start_logging(settings.log);
    router_process process(settings);
    process.run();
}

} // namespace dotterellock
