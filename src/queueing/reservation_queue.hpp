// The agent's queue of reservations. It offers a slot to the reserving router
// when there is room, and issues and checks the permits under which work runs.
// One per agent, called under the agent's lock. All state is soft and belongs
// to one incarnation of the agent.
//
// A reservation is queued, offered or running. Offered and running ones hold
// one slot each; a slot is free again when the offer expires or is withdrawn,
// or when the work is released.
#ifndef DOTTERELLOCK_QUEUEING_RESERVATION_QUEUE_HPP
#define DOTTERELLOCK_QUEUEING_RESERVATION_QUEUE_HPP

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include <dotterellock/admission.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>

#include "fair_queue.hpp"

namespace dotterellock
{

/// Asks the runner to suspend running work. The runner calls release() for the
/// permit, at once or later, or ignores the request.
using suspend_callback = std::function<void(permit_id permit)>;

class reservation_queue : public permit_issuer, public message_handler
{
public:
    reservation_queue(
        endpoint_id self, dotterellock::incarnation own_incarnation,
        std::uint32_t capacity, clock_source& clock, timer_service& timers,
        peer_transport& transport, policy_source const& policy,
        decision_log& log, counter_registry& counters);
    ~reservation_queue() override;
    reservation_queue(reservation_queue const&) = delete;
    reservation_queue& operator=(reservation_queue const&) = delete;

    std::optional<error_code> redeem(
        permit_id permit, request_id const& request, attempt_number attempt,
        dotterellock::incarnation issued_by) override;
    void release(permit_id permit, std::uint32_t tokens) override;

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    /// While draining nothing is offered and waiting reservations are refused.
    /// Offers made before stay valid until they expire.
    void set_draining(bool draining);

    /// Enables suspension of lower-rank generations; empty disables it.
    void set_suspend_callback(suspend_callback suspend);

    /// The runner's measurement of one decoding stream, in tokens per second.
    /// Without any, reports carry no pace and routers look for no stragglers
    /// by pace.
    void observe_token_rate(double tokens_per_second) override;

    load_report report() const;
    bool idle() const { return reservations_.empty(); }
    std::uint32_t slots_in_use() const { return offered_count_ + running(); }
    std::uint32_t slots_free() const { return capacity_ - slots_in_use(); }

private:
    enum class phase : std::uint8_t
    {
        queued,
        offered,
        running
    };

    struct reservation
    {
        peer_id router;
        reserve reserve_message;
        phase state = phase::queued;
        steady_time phase_start; // of the present phase
        steady_time deadline;    // of waiting or of the offer
        served_entry served;     // from offered on
        bool suspending = false;
        timer_id offer_timer = 0; // delays the offer
    };

    std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(running_permits_.size());
    }

    using reservation_key = std::tuple<peer_id, request_id, attempt_number>;
    using reservation_map = std::map<permit_id, reservation>;

    void on_reserve(peer_id const& from, reserve const& reserve_message);
    steady_time latest_start(reserve const& reserve_message) const;
    void on_withdraw(peer_id const& from, withdraw const& w);
    void offer_slots();
    void send_offer(permit_id permit, reservation const& r);
    void delay_offer(permit_id permit, reservation& r);
    void refuse(
        peer_id const& to, request_id const& request, attempt_number attempt,
        error_code reason);
    void refuse_and_remove(permit_id permit, error_code reason);
    void remove_reservation(reservation_map::iterator it);
    void consider_preemption();
    void suspend_victim_for(queue_entry const& waiting);
    reservation_map::iterator preemption_victim(queue_entry const& waiting);
    void set_deadline(permit_id permit, reservation& r, steady_time at);
    void clear_deadline(permit_id permit, reservation const& r);
    void process_deadlines();
    void arm_deadline_timer();
    void send_reports();
    milliseconds retry_after() const;
    double tokens_per_second() const;

    endpoint_id self_;
    dotterellock::incarnation incarnation_;
    std::uint32_t capacity_;
    clock_source& clock_;
    timer_service& timers_;
    peer_transport& transport_;
    policy_source const& policy_;
    decision_log& log_;
    counter& offers_total_;
    counter& offers_expired_total_;
    counter& refused_total_;
    counter& permits_rejected_total_;
    counter& suspensions_total_;

    fair_queue queue_;
    reservation_map reservations_;
    std::map<reservation_key, permit_id> permits_by_key_;
    std::set<permit_id> running_permits_;
    std::deque<steady_time> recent_starts_; // within the prefill time
    std::set<std::pair<steady_time, permit_id>> deadlines_;
    std::unordered_map<peer_id, steady_time> routers_; // last message of each
    permit_id last_permit_ = 0;
    std::uint32_t offered_count_ = 0;
    std::uint32_t suspending_count_ = 0;
    bool draining_ = false;
    double stream_tokens_per_second_ = 0; // mean of observations; 0: none yet
    double completed_tokens_ = 0;         // decaying sums over completed work
    double completed_seconds_ = 0;        // of its run time
    suspend_callback suspend_;
    timer_id deadline_timer_ = 0;
    timer_id report_timer_ = 0;
    timer_id preemption_timer_ = 0;
};

} // namespace dotterellock

#endif
