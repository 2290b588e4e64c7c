// Connects the decisions about rollouts with the rest of a gateway: orders and
// status rows of the platform's store, the versions of endpoints, requests and
// their answers, and the evidence of other gateways.
//
// Designed for gateways that often have no order: without one it makes no call,
// sends no datagram and does no periodic work.
#ifndef DOTTERELLOCK_RELAY_ROLLOUT_CONTROL_HPP
#define DOTTERELLOCK_RELAY_ROLLOUT_CONTROL_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "gateway/endpoint_selector.hpp"
#include "gateway/event_log.hpp"
#include "gateway/rollout_coordinator.hpp"
#include "peer_load_sync.hpp"

namespace dotterellock
{

class row_codec;

class rollout_control
{
public:
    /// What the gateway knows.
    struct surroundings
    {
        std::function<bool(service_name const&)> names_service;
        std::function<std::size_t()> fleet_size;

        /// Position of this gateway among those that may write for a service.
        std::function<std::size_t(service_name const&)> rank;

        /// Peers need the evidence at once, and waiting requests may start.
        std::function<void()> on_news;
    };

    /// @param store  one call at a time; used by nothing else
    rollout_control(
        rollout_settings const& settings, row_codec const& codec,
        row_writer& store, endpoint_table const& endpoints,
        clock_source const& clock, event_log& log, surroundings gateway);

    rollout_control(rollout_control const&) = delete;
    rollout_control& operator=(rollout_control const&) = delete;

    void set_settings(rollout_settings const& settings)
    {
        coordinator_.set_settings(settings);
    }

    // Tables -----------------------------------------------------------------

    /// All rows of the table of orders; others than orders are ignored.
    void on_order_listing(
        std::vector<store_row> const& rows, steady_time not_before);

    /// One changed row of that table.
    void on_order_row(store_row const& row, steady_time not_before)
    {
        apply_row(row, not_before);
    }

    /// Orders whose service it names now take effect.
    void on_configuration();

    void on_endpoints_changed() { versions_.clear(); }

    // Requests ---------------------------------------------------------------

    /// Sets the versions that a new attempt may use.
    void choose_versions(endpoint_requirements& work, steady_time now) const;

    /// Sets the versions that may be used instead if those have no room.
    /// @return whether there are any
    bool
    choose_other_versions(endpoint_requirements& work, steady_time now) const;

    /// Sets the versions for what is no new attempt, such as a standby copy.
    /// Never those of canary traffic.
    void
    choose_standby_versions(endpoint_requirements& work, steady_time now) const;

    /// Sets the versions at which a begun stream may not go on.
    void bar_from_stream(endpoint_requirements& work, steady_time now) const;

    /// Whether a run may continue at this endpoint from a copy.
    bool may_resume_at(endpoint_record const& endpoint) const;

    void on_request(service_name const& service, steady_time now);

    /// An attempt is sent to the endpoint.
    void on_attempt(endpoint_record const& endpoint, steady_time now);

    /// The answer's version is set here.
    void on_answer(
        endpoint_record const& endpoint, version_answer answer,
        steady_time now);

    // Peers ------------------------------------------------------------------

    std::vector<rollout_evidence> evidence() const
    {
        return coordinator_.evidence(clock_.now());
    }

    void on_evidence(host_id const& gateway, rollout_evidence const& evidence);

    /// Evaluates orders and calls the store; called many times a second.
    void poll(steady_time now);

    void publish(counter_registry& counters) const;

private:
    enum class phase
    {
        none,
        canary,
        shift,
        completed,
        rolled_back
    };

    struct known_order
    {
        std::uint64_t revision = 0; // of the row
        phase reached = phase::none;
        std::uint64_t requests = 0; // for the service, since the order
        bool given = false;         // to the coordinator

        // The restored store does not list the order, which may be written
        // again.
        std::optional<steady_time> missing_since;

        // Until a configuration names its service.
        std::optional<rollout_order> held;
    };

    struct known_versions
    {
        steady_time at{};
        endpoints_by_version endpoints;
    };

    void apply_row(store_row const& row, std::optional<steady_time> not_before);
    void give(known_order& known, rollout_order const& order);
    void withdraw(service_name const& service);
    void withdraw_missing(steady_time now);
    void on_unreadable(
        store_row const& row, service_name const& service,
        std::string const& detail);
    endpoints_by_version const&
    versions_of(service_name const& service, steady_time now) const;
    version_choice
    standby_choice(service_name const& service, steady_time now) const;
    void set_versions(
        endpoint_requirements& work, version_choice choice,
        steady_time now) const;
    bool has_order(service_name const& service) const;
    void take_news();
    void update(steady_time now);
    void note_phase(rollout_evidence const& evidence, steady_time now);
    static char const* to_string(phase p);
    void call_store(steady_time now);
    void read_status(service_name const& service);
    void write_status(rollout_coordinator::pending_write const& write);
    void on_written(
        rollout_status const& status,
        row_writer::conditional_result const& result);
    void on_status_found(
        service_name const& service, std::optional<store_row> const& row);
    void on_store_failure(service_name const& service, std::string const& why);
    void on_store_answer() { store_failing_ = false; }

    row_codec const& codec_;
    row_writer& store_;
    endpoint_table const& endpoints_;
    clock_source const& clock_;
    event_log& log_;
    surroundings const gateway_;
    rollout_coordinator coordinator_;
    std::map<service_name, known_order> orders_;
    std::map<std::string, std::uint64_t> verdicts_; // by labels
    mutable std::map<service_name, known_versions> versions_;
    bool listed_ = false; // the orders, once
    steady_time updated_{};
    bool calling_ = false; // the store
    bool store_failing_ = false;
    steady_time next_call_{};
};

} // namespace dotterellock

#endif
