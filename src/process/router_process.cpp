#include "router_process.hpp"

#include <iostream>
#include <memory>
#include <utility>

#include "asio_timer_service.hpp"
#include "front/http_front.hpp"
#include "message_distribution.hpp"
#include "pipeline/request_path.hpp"
#include "platform/curl_executor.hpp"
#include "platform/http_stores.hpp"
#include "process_frame.hpp"
#include "process_log.hpp"
#include "router_shard.hpp"
#include "shard_executor.hpp"
#include "system_runtime.hpp"
#include "unavailable_store.hpp"
#include "wire/tcp_peer_transport.hpp"

namespace dotterellock
{

namespace
{

// Agents forget a router they have not heard from for several seconds.
constexpr milliseconds subscription_interval{1000};

/// Bodies somewhat above the limit still get an answer that says so; RESTinio
/// closes the connection on larger ones.
constexpr std::size_t body_headroom = 2;

/// Lock and timers of one shard; outlives the shard's object graph and the
/// threads that post to it.
struct shard_runtime
{
    explicit shard_runtime(asio::io_context& io)
        : executor(io, &log_fault), timers(executor)
    {
    }

    shard_executor executor;
    asio_timer_service timers;
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
    void set_addresses();
    std::vector<message_distribution::target> targets();
    std::vector<request_shard> request_shards();
    void subscribe();
    void begin_shutdown();

    router_settings const settings_;
    counter_registry counters_;
    monotonic_clock clock_;
    system_random random_;
    log4cplus_decision_log log_;
    fixed_policy_source policy_;
    process_frame frame_;
    std::vector<std::unique_ptr<shard_runtime>> runtimes_;
    curl_executor curl_; // its thread posts to the runtimes
    tcp_peer_transport transport_;
    std::vector<std::unique_ptr<table_service>> stores_;
    std::vector<std::unique_ptr<router_shard>> shards_;
    std::unique_ptr<message_distribution> distribution_;
    parse_filter parse_;
    identify_filter identify_;
    std::unique_ptr<request_path> path_;
    std::unique_ptr<http_front> front_;
};

router_process::router_process(router_settings const& settings)
    : settings_(settings), policy_(settings.policy.value_or(policy_settings{})),
      frame_(settings.threads), curl_(counters_),
      transport_(
          frame_.io(),
          transport_settings(settings.self(), settings.peer_listen),
          [this](peer_id const& from, message m)
          { distribution_->deliver(from, std::move(m)); },
          [this](peer_id const& peer) { distribution_->disconnected(peer); },
          counters_),
      parse_(settings.limits), identify_(settings.identify, random_)
{
    make_shards();
    distribution_ = std::make_unique<message_distribution>(targets(), clock_);
    set_addresses();
    path_ = std::make_unique<request_path>(
        std::vector<filter*>{&parse_, &identify_}, request_shards(), counters_);
    front_ = std::make_unique<http_front>(
        frame_.io(),
        http_front_settings{
            settings_.http_listen,
            settings_.limits.max_body_bytes * body_headroom},
        *path_);
}

router_process::~router_process()
{
    transport_.stop();
    // Before the graphs that its handlers refer to.
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
        return std::make_unique<unavailable_store>(executor.poster());
    return std::make_unique<http_table_service>(
        settings_.table_service_url, curl_, executor.poster());
}

void router_process::make_shards()
{
    for (std::uint32_t i = 0; i < settings_.shards; ++i)
    {
        runtimes_.push_back(std::make_unique<shard_runtime>(frame_.io()));
        shard_runtime& r = *runtimes_.back();
        stores_.push_back(make_store(r.executor));
        r.executor.run(
            [&]
            {
                shards_.push_back(std::make_unique<router_shard>(
                    settings_.self(), settings_.location,
                    shard_position{i, settings_.shards}, routers(),
                    runtime_services{
                        clock_, r.timers, random_, transport_, log_, counters_},
                    *stores_.back(), policy_));
                shards_.back()->set_endpoints(settings_.endpoints);
            });
    }
}

void router_process::set_addresses()
{
    for (auto const& e : settings_.endpoints)
        transport_.set_address(e.agent, e.address);
    for (auto const& r : settings_.routers)
    {
        if (r.info.router != settings_.self())
            transport_.set_address(r.info.router, r.address);
    }
}

std::vector<message_distribution::target> router_process::targets()
{
    std::vector<message_distribution::target> targets;
    for (std::size_t i = 0; i < shards_.size(); ++i)
        targets.push_back({runtimes_[i]->executor.poster(), *shards_[i]});
    return targets;
}

std::vector<request_shard> router_process::request_shards()
{
    std::vector<request_shard> shards;
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        shard_runtime& r = *runtimes_[i];
        shards.push_back(
            {r.executor.poster(), clock_, r.timers, shards_[i]->filters(),
             shards_[i]->generations(), shards_[i]->calls()});
    }
    return shards;
}

/// Runs under the lock of the first shard.
void router_process::subscribe()
{
    for (auto const& agent : shards_.front()->subscribed_agents())
        transport_.send(agent, ping{0});
    runtimes_.front()->timers.schedule(
        subscription_interval, [this] { subscribe(); });
}

void router_process::run()
{
    transport_.start();
    runtimes_.front()->executor.post([this] { subscribe(); });
    path_->set_ready(true);
    std::vector<log_field> const at = {
        {"http", front_->listening_on()}, {"peer", transport_.listening_on()}};
    std::cout << format_event(false, "listening", at) << std::endl;
    log_event(log_level::info, "started", {{"self", settings_.self().value()}});
    frame_.run(
        [this] { begin_shutdown(); },
        [this] { return front_->open_requests() == 0; });
}

void router_process::begin_shutdown()
{
    path_->begin_shutdown();
    front_->stop_accepting();
}

} // namespace

void run_router(router_settings const& settings)
{
    start_logging(settings.log);
    router_process process(settings);
    process.run();
}

} // namespace dotterellock
