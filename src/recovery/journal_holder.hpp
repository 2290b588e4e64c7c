// Holds copies of the output of generations owned by other routers, so that an
// answer survives the simultaneous failure of its router and engine. Copies of
// different owner epochs are kept separate: two routers that took over
// concurrently may have continued the answer differently.
//
// State: in memory only, one instance per router shard. Called under the
// shard's lock.
#ifndef DOTTERELLOCK_RECOVERY_JOURNAL_HOLDER_HPP
#define DOTTERELLOCK_RECOVERY_JOURNAL_HOLDER_HPP

#include <map>
#include <unordered_map>

#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

class journal_holder : public message_handler
{
public:
    journal_holder(
        clock_source& clock, timer_service& timers, peer_transport& transport,
        policy_source const& policy, counter_registry& counters);
    ~journal_holder() override;

    journal_holder(journal_holder const&) = delete;
    journal_holder& operator=(journal_holder const&) = delete;

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

    std::size_t entries() const { return journals_.size(); }

private:
    struct copy
    {
        peer_id writer;
        endpoint_id endpoint;
        attempt_number attempt = 0;
        std::vector<std::string> tokens; // from index 0
    };

    struct journal
    {
        std::map<owner_epoch, copy> copies; // of the latest epochs
        steady_time last_append{};
    };

    void on_append(peer_id const& from, journal_append const& a);
    void on_read(peer_id const& from, journal_read const& r);
    void schedule_expiry();
    void expire();

    clock_source& clock_;
    timer_service& timers_;
    peer_transport& transport_;
    policy_source const& policy_;
    counter& received_bytes_;
    counter& expired_entries_;
    counter& refused_writers_;
    std::unordered_map<request_id, journal> journals_;
    timer_id expiry_timer_ = 0;
};

} // namespace dotterellock

#endif
