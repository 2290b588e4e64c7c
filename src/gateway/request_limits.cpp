#include "request_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

/// Permits of one question: what a gateway may need within a round trip.
std::uint32_t permits_to_ask(double per_second)
{
    constexpr double question_time_s = 0.05;
    return std::uint32_t(
        std::clamp(std::ceil(per_second * question_time_s), 1.0, 64.0));
}

} // namespace

bool request_limits::observe(
    endpoint_state& endpoint, request_limit_observation const& said,
    steady_time now)
{
    bool const changed = endpoint.request_limit.observe(said);
    auto const& id = endpoint.record().id;
    if (endpoint.request_limit.limit())
    {
        auto const added = entries_.try_emplace(id);
        if (added.second)
            added.first->second.saved_at = now; // nothing is saved yet
        added.first->second.ended.reset();
    }
    else if (changed)
        entries_[id].ended = now;
    return changed;
}

void request_limits::ask(
    endpoint_state& endpoint, std::uint32_t rank, steady_time now)
{
    auto const& id = endpoint.record().id;
    auto const found = entries_.find(id);
    auto const limit = endpoint.request_limit.limit();
    if (found == entries_.end() || !limit || found->second.awaits_reply ||
        endpoint.request_limit.permits(now) > 0)
        return;
    auto const granter = granter_of(id, now);
    if (!granter)
    {
        deny(endpoint, now);
        return;
    }
    auto& e = found->second;
    e.number = ++last_number_;
    e.asked = now;
    e.granter = *granter;
    e.awaits_reply = true;
    ++totals_.questions;
    auto const permits = permits_to_ask(*limit);
    if (*granter == self_)
    {
        e.questions.push_back({self_, e.number, permits, rank, now});
        return;
    }
    network_.send(
        *granter,
        {false, id, e.number, permits, rank, statement_of(endpoint, now)});
}

std::size_t request_limits::asked(service_name const& service) const
{
    return std::size_t(std::count_if(
        entries_.begin(), entries_.end(),
        [&](auto const& e)
        {
            auto const endpoint = endpoints_.find(e.first);
            return e.second.awaits_reply && endpoint &&
                   endpoint->record().service == service;
        }));
}

std::size_t
request_limits::expected(service_name const& service, steady_time now) const
{
    return std::size_t(std::count_if(
        entries_.begin(), entries_.end(),
        [&](auto const& e)
        {
            auto const endpoint = endpoints_.find(e.first);
            return endpoint && endpoint->record().service == service &&
                   (e.second.awaits_reply ||
                    endpoint->request_limit.permits(now) > 0);
        }));
}

bool request_limits::on_message(
    host_id const& from, limit_message const& message, steady_time now)
{
    auto const endpoint = endpoints_.find(message.endpoint);
    if (endpoint && message.said)
        observe(
            *endpoint,
            {message.said->per_second, now - message.said->age - passing_time},
            now);
    if (message.reply)
        return on_reply(from, message, now);
    on_question(from, message, now);
    return false;
}

/// A question to this gateway although another one is first makes it ask that
/// one: if it is gone, this gateway takes its place.
void request_limits::on_question(
    host_id const& from, limit_message const& message, steady_time now)
{
    question const q{
        from, message.number, std::max(message.permits, 1u), message.rank, now};
    auto const endpoint = endpoints_.find(message.endpoint);
    auto const found = entries_.find(message.endpoint);
    bool const limited =
        endpoint && found != entries_.end() && endpoint->request_limit.limit();
    bool const granting =
        limited && !stopped_ && granter_of(message.endpoint, now) == self_;
    if (granting)
    {
        auto& questions = found->second.questions;
        questions.erase(
            std::remove_if(
                questions.begin(), questions.end(),
                [&from](question const& other) { return other.from == from; }),
            questions.end());
        questions.push_back(q);
        serve(found->second, *endpoint, now);
        return;
    }
    network_.send(
        from, {true, message.endpoint, message.number, 0, 0,
               endpoint ? statement_of(*endpoint, now) : std::nullopt});
    if (limited && !stopped_)
        ask(*endpoint, message.rank, now);
}

bool request_limits::on_reply(
    host_id const& from, limit_message const& message, steady_time now)
{
    silences_.erase(from);
    auto const found = entries_.find(message.endpoint);
    auto const endpoint = endpoints_.find(message.endpoint);
    if (found == entries_.end() || !endpoint)
        return false;
    auto& e = found->second;
    if (!e.awaits_reply || e.number != message.number || e.granter != from)
        return false;
    e.awaits_reply = false;
    auto const until = e.asked + permit_validity;
    if (message.permits == 0 || now >= until)
    {
        deny(*endpoint, now);
        return false;
    }
    endpoint->request_limit.set_permits(message.permits, until);
    return true;
}

void request_limits::poll(steady_time now)
{
    for (auto i = entries_.begin(); i != entries_.end();)
    {
        auto const endpoint = endpoints_.find(i->first);
        auto const& ended = i->second.ended;
        if (!endpoint || (ended && now - *ended >= end_told_for))
        {
            i = entries_.erase(i);
            continue;
        }
        check_reply(i->second, *endpoint, now);
        serve(i->second, *endpoint, now);
        ++i;
    }
}

void request_limits::serve(entry& e, endpoint_state& endpoint, steady_time now)
{
    if (e.questions.empty())
        return;
    refill(e, endpoint, now);
    while (!e.questions.empty() &&
           now - e.questions.front().arrived >= max_wait)
    {
        auto const q = e.questions.front();
        e.questions.pop_front();
        reply(e, endpoint, q, 0, now);
    }
    while (!stopped_ && e.saved >= 1 && !e.questions.empty())
    {
        auto const next = std::min_element(
            e.questions.begin(), e.questions.end(),
            [](question const& a, question const& b)
            { return a.rank < b.rank; });
        auto const q = *next;
        e.questions.erase(next);
        double const permits = std::min(double(q.permits), std::floor(e.saved));
        e.saved -= permits;
        totals_.granted += std::uint64_t(permits);
        reply(e, endpoint, q, std::uint32_t(permits), now);
    }
}

void request_limits::reply(
    entry& e, endpoint_state& endpoint, question const& q,
    std::uint32_t permits, steady_time now)
{
    if (q.from != self_)
    {
        network_.send(
            q.from, {true, endpoint.record().id, q.number, permits, 0,
                     statement_of(endpoint, now)});
        return;
    }
    e.awaits_reply = false;
    if (permits > 0)
        endpoint.request_limit.set_permits(permits, e.asked + permit_validity);
    else
        deny(endpoint, now);
}

void request_limits::check_reply(
    entry& e, endpoint_state& endpoint, steady_time now)
{
    if (!e.awaits_reply || now - e.asked < reply_timeout)
        return;
    e.awaits_reply = false;
    deny(endpoint, now);
    ++totals_.unanswered;
    auto& s = silences_[e.granter];
    if (++s.unanswered >= max_unanswered)
        s.until = now + silence_time;
}

void request_limits::deny(endpoint_state& endpoint, steady_time now)
{
    double const rate =
        std::max(endpoint.request_limit.limit().value_or(0), min_rate);
    std::chrono::duration<double> const between_permits(1 / rate);
    endpoint.request_limit.deny(
        now + std::clamp<duration>(
                  std::chrono::duration_cast<duration>(between_permits),
                  min_denial, max_denial));
}

/// Saves up a quarter of a second, or one request.
void request_limits::refill(
    entry& e, endpoint_state const& endpoint, steady_time now)
{
    auto const limit = endpoint.request_limit.limit().value_or(0);
    double const rate = std::max(limit, min_rate);
    std::chrono::duration<double> const passed = now - e.saved_at;
    e.saved =
        std::min(e.saved + rate * passed.count(), std::max(1.0, rate / 4));
    e.saved_at = now;
}

std::optional<host_id>
request_limits::granter_of(endpoint_id const& endpoint, steady_time now) const
{
    for (auto const& granter : network_.granters(endpoint))
    {
        if (granter.heard || !silent(granter.host, now))
            return granter.host;
    }
    return std::nullopt;
}

bool request_limits::silent(host_id const& host, steady_time now) const
{
    auto const found = silences_.find(host);
    return found != silences_.end() && now < found->second.until;
}

std::optional<load_share::shared_limit>
request_limits::statement_of(endpoint_state const& endpoint, steady_time now)
{
    auto const& said = endpoint.request_limit.observation();
    if (!said)
        return std::nullopt;
    constexpr std::chrono::hours longest{24}; // fits into 32 bits of ms
    return load_share::shared_limit{
        endpoint.record().id, said->per_second,
        std::min<milliseconds>(
            std::chrono::ceil<milliseconds>(now - said->at), longest)};
}

std::vector<load_share::shared_limit>
request_limits::statements(steady_time now)
{
    std::vector<load_share::shared_limit> stated;
    auto next = entries_.upper_bound(last_stated_);
    for (auto left = entries_.size();
         left > 0 && stated.size() < max_statements; --left, ++next)
    {
        if (next == entries_.end())
            next = entries_.begin();
        last_stated_ = next->first;
        auto const endpoint = endpoints_.find(next->first);
        if (endpoint)
        {
            if (auto const said = statement_of(*endpoint, now))
                stated.push_back(*said);
        }
    }
    return stated;
}

std::size_t request_limits::limited() const
{
    return std::size_t(std::count_if(
        entries_.begin(), entries_.end(),
        [](auto const& e) { return !e.second.ended; }));
}

} // namespace dotterellock
