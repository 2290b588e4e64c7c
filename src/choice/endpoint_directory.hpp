// What one router shard knows of endpoints: who serves what, the last load
// report corrected by the work sent since, stragglers, prefix hints. A lagging
// view; the agents decide. Called under the shard's lock; all state is soft.
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

/// An endpoint that may take the work, with the reasons for its score.
struct scored_endpoint
{
    endpoint_info const* info = nullptr; // valid until set_endpoints
    double score = 0; // in tokens of work ahead; lower is better
    double cached_prefix_fraction = 0; // of the prompt
    bool has_load_report = false;      // a load report is known
    bool has_free_slot = false;        // a free slot, as far as is known
    bool other_region = false;
    bool is_probe = false; // set aside as a straggler; one try is due
};

class endpoint_directory : public endpoint_lookup, public wait_estimator
{
public:
    endpoint_directory(clock_source& clock, policy_source const& policy);

    /// Where the router stands; decides subsets and distances.
    void set_local_router(peer_id router, node_location location);

    void set_endpoints(std::vector<endpoint_info> endpoints);

    /// True when the agent has restarted, so that it knows no reservation.
    bool on_load_report(load_report const& report);
    void on_prefix_hint(prefix_hint const& hint);

    /// Sets the endpoint aside until its next load report, for two report
    /// intervals at most: an agent reports only to routers it hears from.
    void mark_unresponsive(endpoint_id const& endpoint);

    /// A reservation was sent there. Agents report to routers they hear from,
    /// so that one which does not report within two intervals is set aside.
    void on_reservation_sent(endpoint_id const& endpoint);

    /// Work was placed there; counts until the next load report.
    void on_work_placed(endpoint_id const& endpoint, place_request const& work);
    void on_work_finished(endpoint_id const& endpoint, bool ok);
    void on_probe_placed(endpoint_id const& endpoint);

    /// Usable endpoints of the work's subset, best first. Endpoints in other
    /// regions come last. Falls back to all that serve the work when the
    /// subset has no usable one near, and to silent ones and stragglers when
    /// there is no other.
    std::vector<scored_endpoint> candidates(place_request const& work) const;

    /// True when some endpoint serves the work, usable or not.
    bool serves_work(place_request const& work) const;

    std::optional<endpoint_id> endpoint_of(peer_id const& agent) const;

    /// Agents of all subsets, whose load reports this router needs.
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
        std::uint32_t placed = 0;               // since the report
        std::uint64_t placed_tokens = 0;        // since the report
        std::uint32_t consecutive_failures = 0; // in a row
        bool suspended = false;                 // straggler or failing
        steady_time first_reservation_at; // first reservation since the report
        steady_time unresponsive_until;   // an earlier load report ends it
        std::uint32_t probe_requests_left = 0;
        steady_time next_probe_at;
        prefix_hints hints;
    };

    /// Endpoints of one model or service; positions in states_.
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
