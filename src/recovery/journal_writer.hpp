// Replicates the output of one generation to the routers that hold its
// journal, and tracks how much of it they have confirmed.
//
// State: in memory only, part of a generation in generation_relay; same lock.
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

/// The data to replicate; `tokens` is the answer from index 0.
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

    /// Sends each holder the tokens it lacks; called every journal interval.
    void replicate(
        journal_source const& source, recovery_policy const& policy,
        steady_time now);

    void on_appended(peer_id const& holder, token_index next_index);
    void on_holder_lost(peer_id const& holder);

    /// Copies made by an earlier owner exist below this index.
    void set_inherited(token_index confirmed);

    /// At least one holder has confirmed all tokens below this index.
    token_index confirmed() const;
    bool has_holders() const { return !holders_.empty(); }

private:
    struct holder
    {
        token_index sent = 0;
        token_index confirmed = 0;
        steady_time last_progress{}; // `confirmed` changed, or all confirmed
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
