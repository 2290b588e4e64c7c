// Places each attempt by late binding (Sparrow, Ousterhout et al. 2013): sends
// small reservations to several agents, takes the first offer and withdraws the
// other reservations. One per router shard, called under the shard's lock.
// Nothing is persisted: an agent drops the queued reservations of a router that
// disconnects, and its offers expire.
#ifndef DOTTERELLOCK_CHOICE_LATE_BINDING_DISPATCHER_HPP
#define DOTTERELLOCK_CHOICE_LATE_BINDING_DISPATCHER_HPP

#include <map>

#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>

#include "cross_region_budget.hpp"
#include "endpoint_directory.hpp"
#include "queueing/retry_budget.hpp"

namespace dotterellock
{

class late_binding_dispatcher : public dispatcher, public message_handler
{
public:
    late_binding_dispatcher(
        peer_id self, node_location location, endpoint_directory& directory,
        clock_source& clock, timer_service& timers, random_source& random,
        peer_transport& transport, policy_source const& policy,
        cross_region_budget& budget, retry_budget& retries, decision_log& log,
        counter_registry& counters);
    ~late_binding_dispatcher() override;
    late_binding_dispatcher(late_binding_dispatcher const&) = delete;
    late_binding_dispatcher& operator=(late_binding_dispatcher const&) = delete;

    void place(
        place_request request, std::function<void(placement)> placed,
        std::function<void(error)> refused) override;
    void withdraw(request_id const& request, attempt_number attempt) override;
    void finished(
        request_id const& request, attempt_number attempt, bool ok) override;

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    std::size_t open_search_count() const { return searches_.size(); }
    std::size_t placed_count() const { return placed_.size(); }

private:
    /// A reservation that was sent to one agent.
    struct reservation_entry
    {
        endpoint_id endpoint;
        peer_id agent;
        steady_time sent;
        byte_count cross_region_bytes = 0; // consumed from the budget
        bool is_probe = false;
    };

    struct search
    {
        place_request request;
        std::function<void(placement)> placed;
        std::function<void(error)> refused;
        std::vector<reservation_entry> reservations;
        std::map<endpoint_id, std::uint32_t> failures; // refused or lost
        steady_time deadline;
        steady_time next_extra_at;
        duration extra_interval{};
        timer_id timer = 0;
        error_code last_reason = error_code::no_endpoint; // of the last refusal
        milliseconds retry_after{0};                      // shortest received
    };

    struct placed_attempt
    {
        endpoint_id endpoint;
        peer_id agent;
        permit_id permit = 0;
    };

    using attempt_key = std::pair<request_id, attempt_number>;
    using searches = std::map<attempt_key, search>;
    using candidates = std::vector<scored_endpoint>;

    void start_search(attempt_key const& key);
    void on_offer(peer_id const& from, offer const& o);
    void on_refused(peer_id const& from, reserve_refused const& r);
    void on_load_report(load_report const& report);
    /// Removes the matching reservations and reserves elsewhere instead.
    void drop_reservations(
        std::function<bool(reservation_entry const&)> const& lost,
        error_code reason);
    void on_timer(attempt_key const& key);
    void schedule_timer(attempt_key const& key, search& s);
    void resend_reservations(search& s);

    /// Reserves at up to n more agents; false when no reservation was made.
    bool reserve_more(search& s, std::size_t n, std::string const& reason);
    bool reserve_at(search& s, scored_endpoint const& candidate);
    void reserve_probe(search& s, candidates const& all);
    candidates
    eligible_candidates(search const& s, candidates const& all) const;
    std::size_t choose_candidate(candidates const& eligible);
    static bool has_few_free_slots(candidates const& eligible);
    void send_reserve(search& s, reservation_entry& h);
    void refuse_if_unreserved(attempt_key const& key, search& s);
    void refuse(attempt_key const& key, error const& e);
    void withdraw_reservation(search const& s, reservation_entry const& h);
    void record_decision(
        char const* step, search const& s, candidates const& all,
        std::string choice, std::string reason);

    peer_id self_;
    endpoint_directory& directory_;
    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    peer_transport& transport_;
    policy_source const& policy_;
    cross_region_budget& cross_region_budget_;
    retry_budget& retries_;
    decision_log& log_;
    counter& placed_total_;
    counter& refused_total_;
    counter& extra_total_;
    counter& late_offers_total_;
    counter& cross_region_total_;
    counter& cross_region_refused_total_;
    counter& retries_refused_total_;

    searches searches_;
    std::map<attempt_key, placed_attempt> placed_;
};

} // namespace dotterellock

#endif
