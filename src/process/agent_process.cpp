#include "agent_process.hpp"

#include <iostream>
#include <memory>
#include <utility>

#include "agent_node.hpp"
#include "asio_timer_service.hpp"
#include "platform/curl_executor.hpp"
#include "platform/http_engine.hpp"
#include "platform/http_plain_service.hpp"
#include "process_frame.hpp"
#include "process_log.hpp"
#include "shard_executor.hpp"
#include "system_runtime.hpp"
#include "wire/tcp_peer_transport.hpp"

namespace dotterellock
{

namespace
{

// One graph under one lock; the second thread serves the other connections
// while the first runs it.
constexpr unsigned io_threads = 2;

/// Rises with each start as long as the clock of the host does not go back;
/// the low bits keep two starts within one millisecond apart.
incarnation incarnation_at_start(clock_source& clock, random_source& random)
{
    constexpr unsigned random_bits = 20;
    auto const since_1970 = std::chrono::duration_cast<milliseconds>(
        clock.wall_now().time_since_epoch());
    return static_cast<incarnation>(since_1970.count()) << random_bits |
           random.below(1u << random_bits);
}

class agent_process
{
public:
    explicit agent_process(agent_settings const& settings);
    ~agent_process() { transport_.stop(); }

    agent_process(agent_process const&) = delete;
    agent_process& operator=(agent_process const&) = delete;

    void run();

private:
    void make_node();
    bool finished();

    agent_settings const settings_;
    counter_registry counters_;
    monotonic_clock clock_;
    system_random random_;
    log4cplus_decision_log log_;
    fixed_policy_source policy_;
    process_frame frame_;
    shard_executor executor_;
    asio_timer_service timers_;
    curl_executor curl_; // its thread posts to the executor
    tcp_peer_transport transport_;
    std::unique_ptr<engine> engine_;
    std::unique_ptr<plain_service> service_;
    std::unique_ptr<agent_node> node_;
};

agent_process::agent_process(agent_settings const& settings)
    : settings_(settings), policy_(settings.policy.value_or(policy_settings{})),
      frame_(io_threads), executor_(frame_.io(), &log_fault),
      timers_(executor_), curl_(counters_),
      transport_(
          frame_.io(),
          transport_settings(settings.self(), settings.peer_listen),
          [this](peer_id const& from, message m)
          {
              executor_.post([this, from, m = std::move(m)]
                             { node_->on_message(from, m); });
          },
          [this](peer_id const& peer)
          { executor_.post([this, peer] { node_->on_disconnected(peer); }); },
          counters_)
{
    executor_.run([this] { make_node(); });
}

void agent_process::make_node()
{
    agent_identity const identity{
        settings_.endpoint, incarnation_at_start(clock_, random_),
        settings_.capacity};
    runtime_services const runtime{clock_,     timers_, random_,
                                   transport_, log_,    counters_};
    if (!settings_.engine_url.empty())
    {
        engine_ = std::make_unique<http_engine>(
            settings_.engine_url, curl_, executor_.poster());
        node_ =
            std::make_unique<agent_node>(identity, runtime, *engine_, policy_);
        return;
    }
    service_ = std::make_unique<http_plain_service>(
        settings_.service_url, curl_, executor_.poster());
    node_ = std::make_unique<agent_node>(identity, runtime, *service_, policy_);
}

void agent_process::run()
{
    transport_.start();
    std::vector<log_field> const at = {{"peer", transport_.listening_on()}};
    std::cout << format_event(false, "listening", at) << std::endl;
    log_event(log_level::info, "started", {{"self", settings_.self().value()}});
    frame_.run(
        [this] { executor_.post([this] { node_->begin_drain(); }); },
        [this] { return finished(); });
}

bool agent_process::finished()
{
    return executor_.run([this] { return node_->open_work() == 0; });
}

} // namespace

void run_agent(agent_settings const& settings)
{
    start_logging(settings.log);
    agent_process process(settings);
    process.run();
}

} // namespace dotterellock
