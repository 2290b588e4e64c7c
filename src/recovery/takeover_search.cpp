#include "recovery/takeover_search.hpp"

#include <algorithm>

namespace dotterellock
{

// ---- journal holders ------------------------------------------------------

void takeover_search::add_journal_state(
    peer_id const& peer, journal_state const& state)
{
    if (!state.found)
        pending_holders_.erase(peer);
    if (!state.found || prefix_resolved_)
        return;
    if (state.epoch >= highest_epoch())
        endpoint_ = state.endpoint;
    copies_.push_back(state);
}

token_index takeover_search::tail_start() const
{
    return from_.next_index - static_cast<token_index>(from_.tail.size());
}

bool takeover_search::matches_tail(journal_state const& copy) const
{
    for (std::size_t i = tail_start();
         i < copy.tokens.size() && i < from_.next_index; ++i)
    {
        if (copy.tokens[i] != from_.tail[i - tail_start()])
            return false;
    }
    return true;
}

// Only a copy of the answer that this caller received may be continued. The
// copy whose epoch is in the event id is one. If it is missing, the router that
// sent the event relied on an earlier copy. Copies of different epochs may
// differ, because two routers may have taken over concurrently, so the
// beginning is then used only if all copies agree on it.
journal_state const* takeover_search::usable_copy() const
{
    journal_state const* exact = nullptr;
    journal_state const* any = nullptr;
    token_index const start = tail_start();
    for (auto const& copy : copies_)
    {
        if (copy.tokens.size() < start)
            continue;
        if (copy.epoch == from_.epoch && matches_tail(copy) &&
            (exact == nullptr || copy.tokens.size() > exact->tokens.size()))
            exact = &copy;
        if (any != nullptr &&
            !std::equal(
                copy.tokens.begin(), copy.tokens.begin() + start,
                any->tokens.begin()))
            return exact;
        any = &copy;
    }
    return exact != nullptr ? exact : any;
}

void takeover_search::resolve_prefix()
{
    prefix_resolved_ = true;
    token_index const start = tail_start();
    journal_state const* const copy = usable_copy();
    if (start > 0 && copy == nullptr)
    {
        prefix_ = known_prefix{start, from_.tail, start};
        return;
    }
    prefix_ = known_prefix{};
    prefix_.replicated_until = start;
    if (copy != nullptr)
        prefix_.tokens.assign(
            copy->tokens.begin(), copy->tokens.begin() + start);
    prefix_.tokens.insert(
        prefix_.tokens.end(), from_.tail.begin(), from_.tail.end());
    if (copy == nullptr || copy->epoch != from_.epoch || !matches_tail(*copy))
        return;
    // The router of that epoch had relayed more tokens than the caller
    // received.
    prefix_.replicated_until = static_cast<token_index>(copy->tokens.size());
    for (std::size_t i = from_.next_index; i < copy->tokens.size(); ++i)
        prefix_.tokens.push_back(copy->tokens[i]);
}

// ---- agents ---------------------------------------------------------------

void takeover_search::add_attach_result(
    peer_id const& peer, attach_result const& result)
{
    pending_agents_.erase(peer);
    // The reply to a repeated request restarts the handover.
    if (result.found)
        candidates_[peer] = candidate{result, {}, {}};
}

void takeover_search::add_message(peer_id const& peer, message const& m)
{
    auto const found = candidates_.find(peer);
    if (found == candidates_.end())
        return;
    candidate& c = found->second;
    if (auto const* batch = std::get_if<token_batch>(&m))
    {
        if (batch->attempt != c.result.attempt ||
            batch->epoch != c.result.epoch ||
            batch->first_index != c.result.first_index + c.tokens.size())
            return;
        c.tokens.insert(
            c.tokens.end(), batch->tokens.begin(), batch->tokens.end());
    }
    c.messages.push_back(m);
}

bool takeover_search::handover_complete(candidate const& c) const
{
    return c.result.first_index + c.tokens.size() >=
           std::min(c.result.next_index, prefix_.next_index());
}

bool takeover_search::agents_answered() const
{
    return pending_agents_.empty() &&
           std::all_of(
               candidates_.begin(), candidates_.end(),
               [this](auto const& entry)
               { return handover_complete(entry.second); });
}

// An attempt that lost against a hedged one has the same tokens up to the point
// where the other attempt won. Its agent still buffers the output from there
// on, because nothing after that point was acknowledged. A run whose buffered
// output matches the prefix is therefore the run that the caller received, or
// equal to it.
bool takeover_search::continues_prefix(candidate const& c) const
{
    token_index const buffered_from = c.result.first_index;
    if (!handover_complete(c) || buffered_from < prefix_.first ||
        buffered_from > prefix_.next_index())
        return false;
    if (c.result.next_index < prefix_.next_index())
        return false;
    auto const overlap =
        prefix_.tokens.begin() + (buffered_from - prefix_.first);
    return std::equal(overlap, prefix_.tokens.end(), c.tokens.begin());
}

std::optional<peer_id> takeover_search::choose_run() const
{
    std::optional<peer_id> best;
    for (auto const& [peer, c] : candidates_)
    {
        if (!continues_prefix(c))
            continue;
        if (!best || c.result.attempt > candidates_.at(*best).result.attempt)
            best = peer;
    }
    return best;
}

// ---- common ---------------------------------------------------------------

void takeover_search::on_peer_lost(peer_id const& peer)
{
    pending_holders_.erase(peer);
    pending_agents_.erase(peer);
}

owner_epoch takeover_search::highest_epoch() const
{
    owner_epoch highest = from_.epoch;
    for (auto const& copy : copies_)
        highest = std::max(highest, copy.epoch);
    for (auto const& [peer, c] : candidates_)
        highest = std::max(highest, c.result.epoch);
    return highest;
}

attempt_number takeover_search::highest_attempt() const
{
    attempt_number highest = 0;
    for (auto const& copy : copies_)
        highest = std::max(highest, copy.attempt);
    for (auto const& [peer, c] : candidates_)
        highest = std::max(highest, c.result.attempt);
    return highest;
}

} // namespace dotterellock
