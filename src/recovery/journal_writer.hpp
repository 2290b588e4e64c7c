// Copies one generation's output to the routers that hold its journal, and
// knows how much of it they have confirmed.
//
// State: soft, part of a generation in generation_relay; same lock.
#ifndef DOTTERELLOCK_RECOVERY_JOURNAL_WRITER_HPP
#define DOTTERELLOCK_RECOVERY_JOURNAL_WRITER_HPP

#include <map>
#include <string>
#include <vector>

#include <dotterellock/dispatch.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// What there is to copy; `tokens` is the answer from index 0.
struct journal_source
{
    request_id const& request;
    owner_epoch epoch;
    endpoint_id endpoint;
    attempt_number attempt;
    std::vector<std::string> const& tokens;
    bool finished;
};

class journal_writer
{
public:
    journal_writer(
        peer_transport& transport, journal_placement const& placement,
        counter& bytes);

    /// Sends each holder what it lacks; called every journal interval.
    void replicate(
        journal_source const& source, recovery_policy const& policy,
        steady_time now);

    void on_appended(peer_id const& holder, token_index next_index);
    void on_holder_lost(peer_id const& holder);

    /// Copies below this index exist already, made by an earlier owner.
    void set_inherited(token_index confirmed);

    /// Some holder has confirmed every token below this index.
    token_index confirmed() const;
    bool has_holders() const { return !holders_.empty(); }

private:
    struct holder
    {
        token_index sent = 0;
        token_index confirmed = 0;
        steady_time last_progress{}; // of `confirmed`, or nothing was missing
        steady_time last_append{};
        bool end_sent = false;
    };

    void choose_holders(journal_source const& source, std::size_t count);
    void append(peer_id const& peer, holder& h, journal_source const& source);

    peer_transport& transport_;
    journal_placement const& placement_;
    counter& sent_bytes_;
    token_index inherited_ = 0;
    bool holders_outdated_ = true;
    std::map<peer_id, holder> holders_;
};

} // namespace dotterellock

#endif
