#include "recovery/journal_writer.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Keeps an append message well below the frame limit of 8 MiB.
constexpr token_index max_append_tokens = 8192;

// A holder that confirms nothing for this many journal intervals has failed or
// its connection is broken. All unconfirmed tokens are then sent again over a
// new connection, and another holder may replace it.
constexpr int max_unconfirmed_intervals = 4;

} // namespace

journal_writer::journal_writer(
    peer_transport& transport, journal_placement const& placement,
    counter& bytes)
    : transport_(transport), placement_(placement), sent_bytes_(bytes)
{
}

void journal_writer::replicate(
    journal_source const& source, recovery_policy const& policy,
    steady_time now)
{
    auto const next = static_cast<token_index>(source.tokens.size());
    if (holders_outdated_)
        choose_holders(source, policy.journal_holders);
    for (auto& [peer, h] : holders_)
    {
        if (h.confirmed == h.sent || h.last_progress == steady_time{})
            h.last_progress = now;
        if (now - h.last_progress >=
            max_unconfirmed_intervals * policy.journal_interval)
        {
            h.sent = h.confirmed;
            h.last_progress = now;
            h.end_sent = false;
            holders_outdated_ = true;
            transport_.reconnect(peer);
        }
        bool const end = source.finished && !h.end_sent;
        bool const idle = now - h.last_append >= policy.grace_period / 3;
        if (h.sent < next || end || idle)
        {
            h.last_append = now;
            append(peer, h, source);
        }
    }
}

void journal_writer::choose_holders(
    journal_source const& source, std::size_t count)
{
    holders_outdated_ = false;
    auto const chosen = placement_.holders(source.request, count);
    std::map<peer_id, holder> holders;
    for (auto const& peer : chosen)
        holders[peer] = holders_[peer];
    for (auto const& [peer, h] : holders_)
    {
        if (holders.count(peer) == 0)
            inherited_ = std::max(inherited_, h.confirmed);
    }
    holders_ = std::move(holders);
}

void journal_writer::append(
    peer_id const& peer, holder& h, journal_source const& source)
{
    auto const next = static_cast<token_index>(source.tokens.size());
    do
    {
        token_index const end = std::min(next, h.sent + max_append_tokens);
        journal_append a{
            source.request,
            source.epoch,
            source.endpoint,
            source.attempt,
            h.sent,
            {},
            source.finished && end == next};
        a.tokens.assign(
            source.tokens.begin() + h.sent, source.tokens.begin() + end);
        for (auto const& token : a.tokens)
            sent_bytes_.add(token.size());
        h.sent = end;
        h.end_sent = a.finished;
        transport_.send(peer, std::move(a));
    } while (h.sent < next);
}

void journal_writer::on_appended(peer_id const& peer, token_index next_index)
{
    auto const found = holders_.find(peer);
    if (found == holders_.end())
        return;
    holder& h = found->second;
    // A restarted holder has fewer tokens than it confirmed before.
    if (next_index < h.confirmed)
        h.sent = next_index;
    if (next_index != h.confirmed)
        h.last_progress = steady_time{};
    h.confirmed = next_index;
    h.sent = std::max(h.sent, next_index);
}

void journal_writer::on_holder_lost(peer_id const& peer)
{
    auto const found = holders_.find(peer);
    if (found == holders_.end())
        return;
    found->second.sent = found->second.confirmed;
    found->second.end_sent = false;
    holders_outdated_ = true;
}

void journal_writer::set_inherited(token_index confirmed)
{
    inherited_ = confirmed;
}

token_index journal_writer::confirmed() const
{
    token_index most = inherited_;
    for (auto const& [peer, h] : holders_)
        most = std::max(most, h.confirmed);
    return most;
}

} // namespace dotterellock
