// Runs the store, endpoints, operator, gateways and callers of one soak and
// injects faults into them.
#ifndef DOTTERELLOCK_TESTS_SOAK_SOAK_ENVIRONMENT_HPP
#define DOTTERELLOCK_TESTS_SOAK_SOAK_ENVIRONMENT_HPP

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "callers.hpp"
#include "endpoint_standin.hpp"
#include "fault_plan.hpp"
#include "gateway_fleet.hpp"
#include "process/system_runtime.hpp"
#include "store_standin.hpp"

namespace dotterellock::soak
{

struct soak_settings
{
    std::size_t gateways = 3;
    std::size_t engines = 6;
    std::size_t plain_endpoints = 4;
    double requests_per_second = 60;
    milliseconds faults_for{20000};
};

class soak_environment
{
public:
    soak_environment(
        soak_settings settings, gateway_program program, random_source& random);
    ~soak_environment();

    /// Injects the planned faults, ends them all, continues with fault-free
    /// traffic and stops all gateways.
    void run(std::vector<planned_fault> const& plan);

    history const& recorded_history() const { return history_; }

    /// How often the event loop of the soak itself stalled.
    std::size_t stalls() const { return stalls_; }

private:
    // Each returns a function that ends the fault, or null.
    using undo = std::function<void()>;
    undo inject(planned_fault const& f);
    undo inject_gateway_fault(std::size_t i, planned_fault const& f);
    undo
    inject_link_fault(standins::link_standin& link, std::string const& fault);
    undo inject_store_fault(std::string const& fault, planned_fault const& f);
    undo inject_endpoint_fault(std::size_t i, planned_fault const& f);
    undo change_load(std::string const& fault);

    void record_fault(
        std::string const& scope, char const* kind, milliseconds length);
    void apply_configuration(bool vary_fields = false);
    undo list_odd_entries();
    void order_rollout(bool bad, milliseconds length);
    void watch_rollout();
    void complete_rollout();
    void withdraw_candidates();
    void register_endpoint(std::size_t i, bool draining);
    void replace_endpoint(std::size_t i, bool same_id);
    void start_departure(
        std::size_t i, std::string const& kind, milliseconds length);
    void when_store_available(std::function<void()> f);
    void run_for(milliseconds time);
    bool run_until(std::function<bool()> const& done, milliseconds limit);
    void restart_after_exit(std::size_t i);
    void record_stall(steady_time before);

    soak_settings const settings_;
    random_source& random_;
    asio::io_context io_{1};
    monotonic_clock const clock_;
    history history_;
    sent_requests sent_;
    store_standin store_;
    endpoint_standin::directory directory_;
    std::vector<std::unique_ptr<endpoint_standin>> endpoints_;
    std::vector<bool> departing_;

    /// Endpoints of the ordered version, each beside the one that it replaces.
    struct candidate
    {
        std::size_t index = 0; // of the endpoint
        std::unique_ptr<endpoint_standin> endpoint;
    };
    std::vector<candidate> candidates_; // of the running order
    std::vector<std::unique_ptr<endpoint_standin>> retired_;
    bool rollout_running_ = false;
    std::uint64_t last_software_ = 1;
    gateway_fleet gateways_;
    callers callers_;
    std::uint64_t version_ = 0;
    std::uint64_t last_endpoint_ = 0;
    std::deque<std::string> rotating_keys_; // oldest first
    std::vector<int> pauses_; // active pauses by gateway; may overlap
    std::size_t stalls_ = 0;
    bool stopping_ = false;
};

} // namespace dotterellock::soak

#endif
