#include "agent_process.hpp"

#include <atomic>
#include <iostream>
#include <memory>
#include <utility>

#include "agent_controller.hpp"
#include "asio_timer_service.hpp"
#include "clients/curl_executor.hpp"
#include "clients/http_engine.hpp"
#include "clients/http_plain_service.hpp"
#include "clients/http_stores.hpp"
#include "front/http_frontend.hpp"
#include "pipeline/monitoring_handler.hpp"
#include "process_log.hpp"
#include "process_runner.hpp"
#include "shard_executor.hpp"
#include "system_runtime.hpp"
#include "unavailable_services.hpp"
#include "wire/tcp_peer_transport.hpp"

namespace dotterellock
{

namespace
{

// The controller runs under one lock; the second thread serves the other
// connections while the first runs the controller.
constexpr unsigned io_threads = 2;

class agent_process
{
public:
    explicit agent_process(agent_settings const& settings);
    ~agent_process()
    {
        transport_.stop();
        front_.reset(); // before the objects its handler refers to
    }

    agent_process(agent_process const&) = delete;
    agent_process& operator=(agent_process const&) = delete;

    void run();

private:
    void make_controller();
    void start_operator_pages();

    agent_settings const settings_;
    counter_registry counters_;
    monotonic_clock clock_;
    system_random random_;
    log4cplus_decision_log log_;
    process_runner runner_;
    shard_executor executor_;
    asio_timer_service timers_;
    curl_executor curl_; // its thread posts to executor_
    tcp_peer_transport transport_;
    std::unique_ptr<engine> engine_;
    std::unique_ptr<plain_service> service_;
    std::unique_ptr<table_service> store_;
    std::unique_ptr<agent_controller> controller_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<monitoring_handler> pages_;
    std::unique_ptr<http_frontend> front_;
};

agent_process::agent_process(agent_settings const& settings)
    : settings_(settings), runner_(io_threads),
      executor_(runner_.io(), &log_exception), timers_(executor_),
      curl_(counters_, std::size_t(settings.answer_memory_mb) << 20),
      transport_(
          runner_.io(),
          transport_settings(settings.self(), settings.peer_listen),
          [this](peer_id const& from, message m)
          {
              executor_.post([this, from, m = std::move(m)]
                             { controller_->on_message(from, m); });
          },
          [this](peer_id const& peer) {
              executor_.post([this, peer]
                             { controller_->on_disconnected(peer); });
          },
          counters_)
{
    executor_.run([this] { make_controller(); });
}

void agent_process::make_controller()
{
    for (auto const& r : settings_.routers)
        transport_.set_address(r.info.router, r.address);
    auto const poster = executor_.poster();
    agent_backend backend;
    if (!settings_.engine_url.empty())
    {
        engine_ =
            std::make_unique<http_engine>(settings_.engine_url, curl_, poster);
        backend.engine = engine_.get();
    }
    else
    {
        service_ = std::make_unique<http_plain_service>(
            settings_.service_url, curl_, poster);
        backend.service = service_.get();
    }
    if (settings_.table_service_url.empty())
        store_ = std::make_unique<unavailable_table_service>(poster);
    else
        store_ = std::make_unique<http_table_service>(
            settings_.table_service_url, curl_, poster);
    std::string const& advertised = settings_.peer_address;
    controller_ = std::make_unique<agent_controller>(
        settings_, advertised.empty() ? transport_.listening_on() : advertised,
        runtime_services{clock_, timers_, random_, transport_, log_, counters_},
        *store_, backend,
        [this]
        {
            log_event(log_level::warn, "superseded", {});
            runner_.stop();
        });
}

void agent_process::start_operator_pages()
{
    constexpr std::size_t max_body_bytes = 1024; // pages take no body
    if (settings_.http_listen.empty())
        return;
    pages_ = std::make_unique<monitoring_handler>(
        [this] { return std::string(stopping_ ? "shutting down" : ""); },
        counters_);
    front_ = std::make_unique<http_frontend>(
        runner_.io(),
        http_frontend_settings{settings_.http_listen, max_body_bytes}, *pages_);
}

void agent_process::run()
{
    transport_.start();
    start_operator_pages();
    executor_.post([this] { controller_->start(); });
    std::vector<log_field> at = {{"peer", transport_.listening_on()}};
    if (front_)
        at.insert(at.begin(), {"http", front_->listening_on()});
    std::cout << format_event(false, "listening", at) << std::endl;
    log_event(log_level::info, "started", {{"self", settings_.self().value()}});
    runner_.run(
        [this]
        {
            stopping_ = true;
            executor_.post([this] { controller_->begin_shutdown(); });
        },
        [this]
        { return executor_.run([this] { return controller_->finished(); }); });
}

} // namespace

void run_agent(agent_settings const& settings)
{
    start_logging(settings.log);
    agent_process process(settings);
    process.run();
}

} // namespace dotterellock
