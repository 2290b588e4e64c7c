// Collects what journal holders and agents know about a generation whose
// router failed. Decides from which tokens the answer continues and which run,
// if any, may continue it. Does no I/O: the relay sends and receives.
//
// State: in memory only, part of a generation in generation_relay; same lock.
#ifndef DOTTERELLOCK_RECOVERY_TAKEOVER_SEARCH_HPP
#define DOTTERELLOCK_RECOVERY_TAKEOVER_SEARCH_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/generation.hpp>

namespace dotterellock
{

/// The tokens that the caller has received or its last router had relayed.
struct known_prefix
{
    token_index first = 0; // not 0 if no copy of the beginning is left
    std::vector<std::string> tokens;
    token_index replicated_until = 0; // copies exist below this index

    token_index next_index() const
    {
        return first + static_cast<token_index>(tokens.size());
    }
};

class takeover_search
{
public:
    /// A run that an agent has handed over.
    struct candidate
    {
        attach_result result;
        std::vector<message> messages;   // after `result`, in order
        std::vector<std::string> tokens; // from result.first_index
    };

    explicit takeover_search(resume_point from) : from_(std::move(from)) {}

    // ---- journal holders --------------------------------------------------
    void expect_holder(peer_id const& peer) { pending_holders_.insert(peer); }
    /// A holder sends each of its copies, then one state with `found` unset.
    void add_journal_state(peer_id const& peer, journal_state const& state);
    bool holders_answered() const { return pending_holders_.empty(); }
    endpoint_id const& endpoint() const { return endpoint_; }

    /// Determines the prefix; later journal states are ignored.
    void resolve_prefix();
    bool prefix_resolved() const { return prefix_resolved_; }
    known_prefix const& prefix() const { return prefix_; }

    // ---- agents -----------------------------------------------------------
    void expect_agent(peer_id const& peer) { pending_agents_.insert(peer); }
    void add_attach_result(peer_id const& peer, attach_result const& result);

    /// Adds a message that belongs to a candidate's handover.
    void add_message(peer_id const& peer, message const& m);
    bool agents_answered() const;
    std::set<peer_id> const& unanswered_agents() const
    {
        return pending_agents_;
    }

    /// The agent whose run continues the prefix, if any.
    std::optional<peer_id> choose_run() const;
    std::map<peer_id, candidate> const& candidates() const
    {
        return candidates_;
    }

    // ---- common -----------------------------------------------------------
    void on_peer_lost(peer_id const& peer);
    resume_point const& from() const { return from_; }
    owner_epoch highest_epoch() const;
    attempt_number highest_attempt() const;

private:
    token_index tail_start() const;
    bool matches_tail(journal_state const& copy) const;
    journal_state const* usable_copy() const;
    bool handover_complete(candidate const& c) const;
    bool continues_prefix(candidate const& c) const;

    resume_point from_;
    std::set<peer_id> pending_holders_;
    std::set<peer_id> pending_agents_;
    std::vector<journal_state> copies_;
    endpoint_id endpoint_; // of the last known attempt
    bool prefix_resolved_ = false;
    known_prefix prefix_;
    std::map<peer_id, candidate> candidates_;
};

} // namespace dotterellock

#endif
