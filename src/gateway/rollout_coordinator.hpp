// Decides, for one gateway, which software version of a service an attempt
// uses, judges candidates and determines what is written about an order.
//
// Designed for orders given while the service is under load, with gateways that
// see a part of the traffic each and may be cut off from the store or from each
// other: the exposure of a candidate is bounded by each gateway's own share.
// Designed for 360 gateways, 100 services with one order each, 500 requests per
// second of a service and updates four times a second.
#ifndef DOTTERELLOCK_GATEWAY_ROLLOUT_COORDINATOR_HPP
#define DOTTERELLOCK_GATEWAY_ROLLOUT_COORDINATOR_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "event_log.hpp"
#include "rollout.hpp"
#include "version_comparison.hpp"

namespace dotterellock
{

/// Endpoints of one version of a service.
struct version_endpoints
{
    std::size_t ready = 0;
    std::uint32_t requests = 0; // of this gateway in progress there
};

using endpoints_by_version = std::map<std::string, version_endpoints>;

/// Outcome of one attempt that reached an endpoint.
struct version_answer
{
    std::string route;
    std::string version;
    bool failed = false; // an error answer of the endpoint
    bool connection_lost = false;
    duration latency{}; // to the first event, or of the whole call
};

// A loss of connections in a zone outage, and a refusal for lack of room, are
// not to be reported as answers. Latencies of both versions must mean the same:
// a prompt's processing that a cache saves the current version, or the way to
// another region, makes a good candidate look slow.

/// What gateways tell each other about one order.
struct rollout_evidence
{
    rollout_status status;
    version_counts counts; // of the sending gateway, since the order began
    std::uint32_t requests_in_progress_at_old = 0;

    /// Since the order's beginning; empty if the sender does not know it.
    std::optional<std::chrono::milliseconds> elapsed;
};

class rollout_coordinator
{
public:
    rollout_coordinator(rollout_settings const& settings, event_log& log);
    ~rollout_coordinator();

    rollout_coordinator(rollout_coordinator const&) = delete;
    rollout_coordinator& operator=(rollout_coordinator const&) = delete;

    void set_settings(rollout_settings const& settings);

    /// To be set before the first order: a gateway that takes itself for the
    /// whole fleet spends all of the slack and waits for no peer.
    void set_fleet_size(std::size_t gateways);

    // From the store ---------------------------------------------------------

    /// An order as read from the store.
    /// @return whether it is a new one
    bool on_order(rollout_order const& order, steady_time now);

    /// The order's row was removed, or cannot be read any more.
    void on_order_withdrawn(service_name const& service, steady_time now);

    /// The status row of a service as found in the store.
    /// @param revision  of the row; 0: there is none
    void on_status_row(
        service_name const& service,
        std::optional<rollout_status> const& status, std::uint64_t revision,
        steady_time now);

    // From requests ----------------------------------------------------------

    /// Versions that a new attempt may use. Counts nothing.
    version_choice choose(
        service_name const& service, endpoints_by_version const& endpoints,
        steady_time now) const;

    /// Whether streams that a version began may go on there. Only a version
    /// that was rolled back gets none of them.
    bool
    may_continue(service_name const& service, std::string const& version) const;

    /// Whether endpoints of this version may be used at all for what has not
    /// begun.
    bool allowed(
        service_name const& service, std::string const& version,
        endpoints_by_version const& endpoints, steady_time now) const;

    void on_request(service_name const& service, steady_time now);

    /// An attempt is sent to an endpoint of this version.
    void on_attempt(
        service_name const& service, std::string const& version,
        steady_time now);

    void on_answer(
        service_name const& service, version_answer const& answer,
        steady_time now);

    // From peers -------------------------------------------------------------

    void on_evidence(
        host_id const& gateway, rollout_evidence const& evidence,
        steady_time now);

    /// What to send to peers; empty while no order runs.
    std::vector<rollout_evidence> evidence(steady_time now) const;

    /// Whether there is news, such as a verdict, that peers need at once.
    /// Resets it.
    bool take_urgent();

    // To the store -----------------------------------------------------------

    struct pending_write
    {
        rollout_status status;
        std::uint64_t expected_revision = 0; // of the status row; 0: none
    };

    /// The status to write now, if this gateway is due to write one.
    /// @param rank  position of this gateway in the order of those that may
    ///              write for the service; 0 is first
    std::optional<pending_write>
    due_write(service_name const& service, std::size_t rank, steady_time now);

    /// Services whose status row must be read before anything is written.
    std::vector<service_name> unread_status() const;

    /// Evaluates phases and verdicts; called several times a second.
    /// @param endpoints  ready endpoints by service and version
    void update(
        std::map<service_name, endpoints_by_version> const& endpoints,
        steady_time now);

    /// Services with an order that has not ended.
    std::vector<service_name> running() const;

    // For metrics ------------------------------------------------------------

    struct summary
    {
        service_name service;
        std::string version;
        std::uint64_t requests = 0;
        std::uint64_t bad_answers = 0;
    };

    std::vector<summary> summaries() const;

private:
    struct order_progress;

    order_progress& progress_of(service_name const& service);
    order_progress const* find(service_name const& service) const;
    void update_service(
        service_name const& service, order_progress& p,
        endpoints_by_version const& endpoints, steady_time now);
    void merge(
        order_progress& p, rollout_status const& status, std::string const& why,
        steady_time now);
    void
    end(order_progress& p, rollout_state state, std::string const& why,
        steady_time now);
    void record(
        event_level level, char const* event, rollout_status const& status,
        std::string const& why);

    std::map<service_name, std::unique_ptr<order_progress>> orders_;
    rollout_settings settings_;
    event_log& log_;
    std::size_t fleet_size_ = 1;
    bool urgent_ = false;
};

} // namespace dotterellock

#endif
