// State of one service's order at one gateway.
//
// Designed for one order per service at a time and 100 services.
#ifndef DOTTERELLOCK_GATEWAY_ROLLOUT_ORDER_PROGRESS_HPP
#define DOTTERELLOCK_GATEWAY_ROLLOUT_ORDER_PROGRESS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "canary_traffic.hpp"
#include "rollout_coordinator.hpp"
#include "rollout_peers.hpp"
#include "rollout_status_row.hpp"

namespace dotterellock
{

struct rollout_coordinator::order_progress
{
    // The newest order, and the newest state known from any source, which may
    // belong to an order that this gateway has not read yet.
    std::optional<rollout_order> order;
    bool withdrawn = false; // or invalid
    rollout_status status;

    /// Begins a new order. A gateway that does not know when the order was
    /// given, as it has just started, assumes a short rest of it.
    void begin(rollout_order const& given, steady_time now);

    /// Goes on with the order under the revision that a restored store gave it.
    void restore(std::uint64_t revision);

    /// Takes the time of the order from a peer that knows it.
    void learn_elapsed(std::chrono::milliseconds elapsed, steady_time now);

    /// Whether an order is running whose state is known well enough to act.
    bool active() const;

    /// Whether the order read last is the one that `status` tells of.
    bool status_is_of_order() const;

    duration elapsed(steady_time now) const { return now - began; }

    /// The version that requests use without an order or before its shift.
    std::string current_version(endpoints_by_version const& endpoints) const;

    bool current_listed(endpoints_by_version const& endpoints) const;

    /// Notes whether endpoints of the current version exist, and what runs
    /// there.
    void
    watch_endpoints(endpoints_by_version const& endpoints, steady_time now);

    /// Whether the current version is gone for good, so that the candidate must
    /// serve.
    bool current_gone(steady_time now) const;

    /// Whether most gateways were heard lately. Otherwise a verdict, or the bad
    /// answers that lead to one, may have been missed. Any two groups of more
    /// than half of the gateways have one in common, which passes verdicts on.
    bool connected(std::size_t fleet_size, steady_time now) const;

    /// Whether this gateway would know of a verdict.
    bool may_shift(std::size_t fleet_size, steady_time now) const;

    version_choice choose(
        endpoints_by_version const& endpoints, std::size_t fleet_size,
        steady_time now) const;

    enum class step
    {
        stay,
        complete,
        roll_back // there is nothing to shift to
    };

    /// What is due by the time of the order.
    step next_step(
        endpoints_by_version const& endpoints, std::size_t fleet_size,
        steady_time now);

    /// Counts an answer. Connections that are lost together count once, as one
    /// prompt may crash an endpoint with all its requests.
    void record_answer(version_answer const& answer, steady_time now);

    /// Compares the versions by the answers since the order and by later ones.
    version_verdict judge(std::string* reason, steady_time now);

    /// As judge(), by the evidence that is enough where waiting is not
    /// possible.
    version_verdict judge_at_end(std::string* reason) const
    {
        return compare_versions(all_counts(), reason, final_alpha_share);
    }

    /// Counts of this gateway and its peers.
    version_counts all_counts() const;

    // Time of the order.
    rollout_phases phases{std::chrono::milliseconds{0}};
    steady_time began{};
    bool beginning_known = false;

    // Whether this gateway saw the order being given, or has learned since how
    // far it is. Others might have ended it.
    bool confirmed = false;

    std::optional<std::string> current;
    std::optional<std::string> before; // current before the last completion
    bool current_seen = false;         // during the order
    std::optional<steady_time> current_absent_since;

    canary_traffic canary;
    version_counts own_counts;
    std::map<std::string, steady_time> last_loss; // by version
    rollout_peers peers;
    std::uint32_t own_requests_at_old = 0;
    std::optional<steady_time> old_idle_since;

    std::vector<version_counts> earlier_counts; // at the begin of each window
    std::size_t next_window = 0;

    // The order is completed once the row shows it; until then a verdict may
    // still end it.
    bool completing = false;
    bool was_completed = false; // known from the row or a peer

    rollout_status_row row;
    bool poll_row = false;
    std::optional<steady_time> announce_until; // the end of the order, to peers
    bool warned_of_absence = false;
};

} // namespace dotterellock

#endif
