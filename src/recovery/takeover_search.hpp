// Collects what journal holders and agents know of a generation whose router
// is gone, and decides from which tokens the answer continues and which run,
// if any, may continue it. Pure decision: the relay sends and receives.
//
// State: soft, part of a generation in generation_relay; same lock.
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

/// The tokens that the caller has or that its last router had sent to it.
struct known_prefix
{
    token_index first = 0; // 0 unless the copies of the beginning are lost
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
    /// A run that an agent handed over.
    struct candidate
    {
        attach_result result;
        std::vector<message> messages;   // that followed, in order
        std::vector<std::string> tokens; // from result.first_index
    };

    explicit takeover_search(resume_point from) : from_(std::move(from)) {}

    // ---- journal holders --------------------------------------------------
    void expect_holder(peer_id const& peer) { pending_holders_.insert(peer); }
    /// A holder sends each copy it has, then one state without a copy.
    void add_journal_state(peer_id const& peer, journal_state const& state);
    bool holders_answered() const { return pending_holders_.empty(); }
    endpoint_id const& endpoint() const { return endpoint_; }

    /// Decides the prefix; later journal states are ignored.
    void resolve_prefix();
    bool prefix_resolved() const { return prefix_resolved_; }
    known_prefix const& prefix() const { return prefix_; }

    // ---- agents -----------------------------------------------------------
    void expect_agent(peer_id const& peer) { pending_agents_.insert(peer); }
    void add_attach_result(peer_id const& peer, attach_result const& result);

    /// Takes a message that belongs to a candidate's hand-over.
    void add_message(peer_id const& peer, message const& m);
    bool agents_answered() const;
    std::set<peer_id> const& unanswered_agents() const
    {
        return pending_agents_;
    }

    /// The run that continues the prefix, or none.
    std::optional<peer_id> choose_run() const;
    std::map<peer_id, candidate> const& candidates() const
    {
        return candidates_;
    }

    // ---- both -------------------------------------------------------------
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
    std::set<peer_id> pending_holders_; // still to answer
    std::set<peer_id> pending_agents_;  // still to answer
    std::vector<journal_state> copies_;
    endpoint_id endpoint_; // that ran the last known attempt
    bool prefix_resolved_ = false;
    known_prefix prefix_;
    std::map<peer_id, candidate> candidates_;
};

} // namespace dotterellock

#endif
