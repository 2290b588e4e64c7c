// Takeover of generations by generation_relay after their router failed.
#include "recovery/generation_relay.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

/// Queries the journal holders. The previous router chose them without counting
/// itself, so this router queries one more peer, and itself.
void generation_relay::begin_search(generation& g, resume_point const& from)
{
    takeovers_.add();
    recovery_policy const& policy = policy_.current().recovery;
    g.search = std::make_unique<takeover_search>(from);
    g.search_deadline = clock_.now() + policy.check_timeout;
    auto peers = journals_.holders(
        g.request.request, std::size_t{policy.journal_holders} + 1);
    if (std::find(peers.begin(), peers.end(), self_) == peers.end())
        peers.push_back(self_);
    for (auto const& peer : peers)
    {
        g.search->expect_holder(peer);
        transport_.send(peer, journal_read{g.request.request});
    }
}

/// Asks every agent that may run the generation to hand the run over.
void generation_relay::request_handover(generation& g)
{
    recovery_policy const& policy = policy_.current().recovery;
    g.search->resolve_prefix();
    g.search_deadline = clock_.now() + policy.check_timeout;
    std::set<peer_id> agents;
    for (auto const& endpoint : endpoints_.serving(g.request.model))
        agents.insert(endpoint.agent);
    if (auto const endpoint = endpoints_.find(g.search->endpoint()))
        agents.insert(endpoint->agent);
    for (auto const& agent : agents)
    {
        g.search->expect_agent(agent);
        transport_.send(agent, attach{g.request.request, 0, 0, true});
    }
}

void generation_relay::advance_search(generation& g)
{
    bool const due = clock_.now() >= g.search_deadline;
    if (!g.search->prefix_resolved())
    {
        if (!due && !g.search->holders_answered())
            return;
        request_handover(g);
    }
    if (g.search->agents_answered())
    {
        finish_search(g);
        return;
    }
    if (clock_.now() < g.search_deadline)
        return;
    if (g.attach_repeated)
    {
        finish_search(g);
        return;
    }
    // The connections to agents that did not answer may be broken.
    g.attach_repeated = true;
    g.search_deadline = clock_.now() + policy_.current().recovery.check_timeout;
    for (auto const& agent : g.search->unanswered_agents())
    {
        transport_.reconnect(agent);
        transport_.send(agent, attach{g.request.request, 0, 0, true});
    }
}

/// Handles messages that belong to a search; returns true if consumed.
bool generation_relay::handle_search_message(
    peer_id const& from, message const& m)
{
    bool const relevant = std::holds_alternative<journal_state>(m) ||
                          std::holds_alternative<attach_result>(m) ||
                          std::holds_alternative<token_batch>(m) ||
                          std::holds_alternative<generation_finished>(m) ||
                          std::holds_alternative<generation_failed>(m);
    if (!relevant)
        return false;
    auto const g = find(*request_of(m));
    if (!g || !g->search)
        return std::holds_alternative<journal_state>(m);
    if (auto const* state = std::get_if<journal_state>(&m))
        g->search->add_journal_state(from, *state);
    else if (auto const* result = std::get_if<attach_result>(&m))
        g->search->add_attach_result(from, *result);
    else
        g->search->add_message(from, m);
    advance_search(*g);
    return true;
}

void generation_relay::finish_search(generation& g)
{
    auto const search = std::move(g.search);
    g.search.reset();
    known_prefix const& prefix = search->prefix();
    g.first_index = prefix.first;
    g.tokens = prefix.tokens;
    g.journal.set_inherited(prefix.replicated_until);
    g.delivered = search->from().next_index;
    g.sent_to_caller = g.delivered;
    g.last_attempt = search->highest_attempt();
    g.epoch = next_epoch_after(search->highest_epoch());
    g.dispatch_epoch = g.epoch;
    g.caller_epoch = search->from().epoch;
    g.caller_prefix_end = search->from().next_index;
    g.endpoint = search->endpoint();
    g.first_token = clock_.now();
    g.last_token = clock_.now();
    auto const chosen = search->choose_run();
    for (auto const& [agent, c] : search->candidates())
    {
        if (agent != chosen)
            transport_.send(
                agent,
                cancel{g.request.request, c.result.attempt, c.result.epoch});
    }
    if (chosen)
    {
        record_decision(g, "takeover", "run at " + chosen->value());
        adopt_run(g, *chosen, search->candidates().at(*chosen));
    }
    deliver(g);
    if (!chosen)
        ensure_attempt(g, "no agent has the run to take over");
}

void generation_relay::adopt_run(
    generation& g, peer_id const& agent, takeover_search::candidate const& c)
{
    steady_time const now = clock_.now();
    attempt a;
    a.number = c.result.attempt;
    a.epoch = c.result.epoch;
    a.state = attempt_state::running;
    a.target.agent = agent;
    a.produced = c.result.next_index > 0;
    a.last_token = now;
    a.acknowledged = c.result.first_index;
    for (auto const& endpoint : endpoints_.serving(g.request.model))
    {
        if (endpoint.agent == agent)
            a.target.endpoint = endpoint.endpoint;
    }
    links_[agent].last_received = now;
    g.attempts.push_back(std::move(a));
    for (auto const& m : c.messages)
        on_message(agent, m);
}

/// Adds a random increment, so that routers that take over the same request
/// concurrently use different epochs and an event id or a journal copy
/// identifies its writer.
owner_epoch generation_relay::next_epoch_after(owner_epoch highest)
{
    constexpr std::uint64_t increment_range = std::uint64_t{1} << 32;
    return highest + 1 + random_.below(increment_range);
}

} // namespace dotterellock
