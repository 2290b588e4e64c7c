// Endpoints as known to one router shard: the models and services they serve,
// their last load report plus the work placed since, stragglers and prefix
// cache contents. The view lags behind, so agents decide whether to accept
// work. Called under the shard's lock. Nothing is persisted; the state is
// rebuilt from the endpoint list and from reports.
#ifndef DOTTERELLOCK_CHOICE_ENDPOINT_DIRECTORY_HPP
#define DOTTERELLOCK_CHOICE_ENDPOINT_DIRECTORY_HPP

#include <map>
#include <unordered_map>

#include <dotterellock/configuration.hpp>
#include <dotterellock/dispatch.hpp>
#include <dotterellock/policy.hpp>

#include "prefix_hints.hpp"
#include "queueing/admission.hpp"

namespace dotterellock
{

/// An endpoint that may take the work, with its score and what it is based on.
struct scored_endpoint
{
    endpoint_info const* info = nullptr; // valid until the next set_endpoints()
    double score = 0; // estimated tokens of work ahead; lower is better
    double cached_prefix_fraction = 0; // of the prompt, estimated; 0 to 1
    bool has_load_report = false;
    bool has_free_slot = false; // according to the last report and later work
    bool other_region = false;
    bool is_probe = false; // suspended endpoint that is due for a trial request
};

class endpoint_directory : public endpoint_lookup, public wait_estimator
{
public:
    endpoint_directory(clock_source& clock, policy_source const& policy);

    /// Sets the identity and location of this router. They determine the
    /// subsets and the distance penalties.
    void set_local_router(peer_id router, node_location location);

    void set_endpoints(std::vector<endpoint_info> endpoints);

    /// Returns true when the agent has restarted and lost its reservations.
    bool on_load_report(load_report const& report);
    void on_prefix_hint(prefix_hint const& hint);

    /// Avoids the endpoint until its next load report, but for two report
    /// intervals at most: an agent reports only to routers that contact it, so
    /// an avoided one may never report again.
    void mark_unresponsive(endpoint_id const& endpoint);

    /// Records a reservation sent to the endpoint. Agents report to routers
    /// that contact them, so an agent that does not report within two report
    /// intervals afterwards is treated as unresponsive.
    void on_reservation_sent(endpoint_id const& endpoint);

    /// Adds the work to the endpoint's load until its next load report.
    void on_work_placed(endpoint_id const& endpoint, place_request const& work);
    void on_work_finished(endpoint_id const& endpoint, bool ok);
    void on_probe_placed(endpoint_id const& endpoint);

    /// Usable endpoints of the subset for the work, best first; those in other
    /// regions come last. Falls back to all endpoints that serve the work when
    /// the subset has no usable one in this region, and then to unresponsive
    /// and suspended ones.
    std::vector<scored_endpoint> candidates(place_request const& work) const;

    /// True when any endpoint serves the work, whether usable or not.
    bool serves_work(place_request const& work) const;

    std::optional<endpoint_id> endpoint_of(peer_id const& agent) const;

    /// Agents of all subsets; this router needs their load reports.
    std::set<peer_id> subset_agents() const;

    std::vector<endpoint_info> serving(model_ref const& model) const override;
    std::vector<endpoint_info>
    offering(service_name const& service) const override;
    std::optional<endpoint_info>
    find(endpoint_id const& endpoint) const override;
    duration estimated_wait(model_ref const& model, rank r) const override;

private:
    struct state
    {
        endpoint_info info;
        std::optional<load_report> report;
        std::uint32_t placed = 0;        // requests since the report
        std::uint64_t placed_tokens = 0; // since the report
        std::uint32_t consecutive_failures = 0;
        bool suspended = false;           // straggler or failing
        steady_time first_reservation_at; // since the report
        steady_time unresponsive_until;   // or until a load report arrives
        std::uint32_t probe_requests_left = 0;
        steady_time next_probe_at;
        prefix_hints hints;
    };

    /// Endpoints of one model or service, as positions in states_.
    struct endpoint_group
    {
        std::vector<std::size_t> all;
        std::vector<std::size_t> subset;
    };

    using model_groups = std::map<model_ref, endpoint_group>;
    using service_groups = std::map<service_name, endpoint_group>;

    state* find_state(endpoint_id const& endpoint);
    endpoint_group const* find_group(place_request const& work) const;
    void select_subset(std::string const& key, endpoint_group& g) const;
    bool is_draining(state const& s) const;
    bool is_usable(state const& s) const;
    bool is_probe_due(state const& s) const;
    scored_endpoint score(state const& s, place_request const& work) const;
    std::vector<scored_endpoint> score_all(
        std::vector<std::size_t> const& positions, place_request const& work,
        bool include_unhealthy) const;
    duration estimated_wait_at(state const& s, rank r) const;
    void update_suspension(state& s);
    void suspend(state& s);
    void rebuild_groups();

    clock_source& clock_;
    policy_source const& policy_;
    peer_id router_;
    node_location location_;
    std::vector<state> states_;
    std::unordered_map<endpoint_id, std::size_t> position_by_endpoint_;
    std::unordered_map<peer_id, std::size_t> position_by_agent_;
    model_groups models_;
    service_groups services_;
};

} // namespace dotterellock

#endif
