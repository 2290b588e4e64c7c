// Attempts of generation_relay: placement, relaying and failure detection.
#include "recovery/generation_relay.hpp"

#include <algorithm>
#include <utility>

#include "recovery/prompt_blocks.hpp"

namespace dotterellock
{

namespace
{

// Upper bound on what polling adds to the failure detection time.
constexpr milliseconds tick_interval{25};

// When all generations have finished, only their expiry is polled.
constexpr milliseconds idle_tick_interval{1000};

// Detects connections on which the agent streams but receives nothing.
constexpr milliseconds ping_interval{1000};

// Shortest wait before a refused placement is requested again.
constexpr milliseconds min_retry_delay{250};

// A fast engine that has produced this many tokens triggers replication before
// journal_after, so that the tail in the event id stays complete.
constexpr token_index max_unreplicated_tokens = 128;

// Output this far behind the latest token is acknowledged once sent to the
// caller, even if no holder has confirmed it, so that the agent's buffer stays
// bounded.
constexpr token_index max_unconfirmed_tokens = 256;

} // namespace

// ---- placement ------------------------------------------------------------

/// Starts the next attempt unless one is in progress.
void generation_relay::ensure_attempt(generation& g, std::string const& reason)
{
    if (g.ended || g.finished || g.suspended || g.search || g.retry_at)
        return;
    bool const in_progress = std::any_of(
        g.attempts.begin(), g.attempts.end(),
        [](attempt const& a)
        { return a.state != attempt_state::presumed_lost; });
    if (in_progress)
        return;
    record_decision(g, "resume", reason);
    retry_policy const& retry = policy_.current().retry;
    if (g.failed_attempts >= retry.max_attempts)
    {
        fail(
            g, error(
                   error_code::engine_failed, "resume", g.endpoint.value(),
                   "no success after " + std::to_string(g.failed_attempts) +
                       " attempts; last: " + reason));
        return;
    }
    if (g.first_index > 0)
    {
        fail(
            g, error(
                   error_code::connection_lost, "resume", "",
                   "no copy is left of the beginning of the answer"));
        return;
    }
    if (select_version(g))
        start_attempt(g);
}

/// Ensures that an endpoint serves the model version; false when the generation
/// failed. Output of two versions is never mixed: another version is chosen
/// only while the caller has no token yet.
bool generation_relay::select_version(generation& g)
{
    model_ref const wanted = g.request.model;
    if (!endpoints_.serving(wanted).empty())
        return true;
    if (g.next_index() > 0)
    {
        fail(
            g, error(
                   error_code::model_version_gone, "resume", "",
                   "no endpoint serves " + to_string(wanted) +
                       " any more; ask again from the start"));
        return false;
    }
    model_ref const any{wanted.name, wanted.adapter, ""};
    for (auto const& endpoint : endpoints_.serving(any))
    {
        for (auto const& model : endpoint.models)
        {
            if (model.name != wanted.name || model.adapter != wanted.adapter)
                continue;
            g.request.model = model;
            record_decision(
                g, "restart", "version is gone: " + to_string(wanted));
            return true;
        }
    }
    fail(
        g, error(
               error_code::no_endpoint, "resume", "",
               "no endpoint serves " + to_string(wanted)));
    return false;
}

void generation_relay::start_attempt(generation& g)
{
    std::uint32_t const limit = g.request.sampling.max_tokens;
    if (limit != 0 && g.next_index() >= limit)
    {
        finish(g, finish_reason::length, 0);
        return;
    }
    started_attempts_.add();
    attempt a;
    a.number = ++g.last_attempt;
    a.epoch = g.dispatch_epoch;
    request_id const id = g.request.request;
    attempt_number const number = a.number;
    place_request request = make_place_request(g, a);
    g.attempts.push_back(std::move(a));
    dispatcher_.place(
        std::move(request),
        [this, id, number](placement const& p) { on_placed(id, number, p); },
        [this, id, number](error const& e) { on_refused(id, number, e); });
}

place_request
generation_relay::make_place_request(generation& g, attempt const& a)
{
    auto const serving = endpoints_.serving(g.request.model);
    bool const none_left = std::all_of(
        serving.begin(), serving.end(),
        [&g](endpoint_info const& e)
        { return g.excluded.count(e.endpoint) != 0; });
    // When every endpoint has failed before, all are tried again.
    if (none_left)
        g.excluded.clear();
    place_request request;
    request.request = g.request.request;
    request.attempt = a.number;
    request.epoch = a.epoch;
    request.organisation = g.request.organisation;
    request.rank = g.request.rank;
    request.kind = work_kind::generation;
    request.model = g.request.model;
    request.estimated_tokens =
        estimated_tokens(g.request.prompt, g.request.sampling.max_tokens);
    request.payload_bytes = g.request.prompt.size();
    request.prefix_blocks = prefix_blocks(g.request.prompt);
    request.excluded = g.excluded;
    request.waiting_limit =
        policy_.current().ranks[index_of(g.request.rank)].waiting_limit;
    request.is_retry = a.number > 1;
    return request;
}

void generation_relay::on_placed(
    request_id const& r, attempt_number number, placement const& p)
{
    auto const g = find(r);
    attempt* const a = g ? find_placing(*g, number) : nullptr;
    if (a == nullptr)
    {
        dispatcher_.finished(r, number, false);
        return;
    }
    steady_time const now = clock_.now();
    a->target = p;
    a->state = attempt_state::running;
    a->last_token = now;
    agent_link& link = links_[p.agent];
    link.last_received = std::max(link.last_received, now);
    transport_.send(
        p.agent, dispatch_generation{
                     r, number, a->epoch, p.permit, p.incarnation,
                     g->request.organisation, g->request.rank, g->request.model,
                     g->request.prompt, g->tokens, g->request.sampling});
}

void generation_relay::on_refused(
    request_id const& r, attempt_number number, error const& e)
{
    auto const g = find(r);
    if (!g || find_placing(*g, number) == nullptr)
        return;
    end_attempt(*g, number, false);
    if (g->attempts.empty() && g->next_index() == 0)
    {
        if (endpoints_.serving(g->request.model).empty())
            ensure_attempt(*g, e.what());
        else
            fail(*g, e);
        return;
    }
    // A partial answer waits for placement up to the waiting limit of its rank.
    rank_policy const& limits =
        policy_.current().ranks[index_of(g->request.rank)];
    if (clock_.now() - g->last_token >= limits.waiting_limit)
    {
        fail(*g, e);
        return;
    }
    // After every second refusal the failed endpoints are tried again.
    if (++g->refused_placements % 2 == 0)
        g->excluded.clear();
    duration const delay = std::max(e.retry_after(), min_retry_delay);
    g->retry_at = clock_.now() + delay;
}

// ---- attempts -------------------------------------------------------------

generation_relay::attempt* generation_relay::find_attempt(
    generation& g, peer_id const& from, attempt_number number,
    owner_epoch epoch)
{
    for (auto& a : g.attempts)
    {
        if (a.number == number && a.epoch == epoch && a.target.agent == from &&
            a.state != attempt_state::placing)
            return &a;
    }
    return nullptr;
}

generation_relay::attempt*
generation_relay::find_placing(generation& g, attempt_number number)
{
    for (auto& a : g.attempts)
    {
        if (a.number == number && a.state == attempt_state::placing)
            return &a;
    }
    return nullptr;
}

/// Removes an attempt that has ended at its agent or was not dispatched.
void generation_relay::end_attempt(
    generation& g, attempt_number number, bool ok)
{
    auto const found = std::find_if(
        g.attempts.begin(), g.attempts.end(),
        [number](attempt const& a) { return a.number == number; });
    if (found == g.attempts.end())
        return;
    bool const dispatched = found->state != attempt_state::placing;
    endpoint_id const endpoint = found->target.endpoint;
    g.attempts.erase(found);
    if (!dispatched)
        return;
    if (!ok)
        g.excluded.insert(endpoint);
    dispatcher_.finished(g.request.request, number, ok);
}

void generation_relay::cancel_attempt(generation& g, attempt_number number)
{
    for (auto const& a : g.attempts)
    {
        if (a.number != number)
            continue;
        if (a.state == attempt_state::placing)
            dispatcher_.withdraw(g.request.request, number);
        else
            transport_.send(
                a.target.agent, cancel{g.request.request, number, a.epoch});
        break;
    }
    end_attempt(g, number, false);
}

void generation_relay::cancel_all_but(generation& g, attempt_number number)
{
    std::vector<attempt_number> others;
    for (auto const& a : g.attempts)
    {
        if (a.number != number)
            others.push_back(a.number);
    }
    for (attempt_number const other : others)
        cancel_attempt(g, other);
}

/// Cancels the engine's work for a caller that reads too slowly.
void generation_relay::suspend(generation& g)
{
    record_decision(g, "suspend", "the caller is slower than the engine");
    g.suspended = true;
    cancel_all_but(g, 0);
    g.excluded.clear();
}

// ---- messages from agents -------------------------------------------------

void generation_relay::on_message(peer_id const& from, message const& m)
{
    auto const link = links_.find(from);
    if (link != links_.end())
        link->second.last_received = clock_.now();
    if (handle_search_message(from, m))
        return;
    if (auto const* batch = std::get_if<token_batch>(&m))
        on_tokens(from, *batch);
    else if (auto const* finished = std::get_if<generation_finished>(&m))
        on_finished(from, *finished);
    else if (auto const* failed = std::get_if<generation_failed>(&m))
        on_failed(from, *failed);
    else if (auto const* result = std::get_if<attach_result>(&m))
        on_attached(from, *result);
    else if (auto const* appended = std::get_if<journal_appended>(&m))
        on_appended(from, *appended);
    else if (auto const* p = std::get_if<pong>(&m))
        on_pong(from, *p);
}

void generation_relay::on_tokens(peer_id const& from, token_batch const& batch)
{
    auto const g = find(batch.request);
    if (!g)
    {
        dropped_messages_.add();
        return;
    }
    attempt* const a = find_attempt(*g, from, batch.attempt, batch.epoch);
    if (a == nullptr)
    {
        dropped_messages_.add();
        // Another attempt won and the cancel message was lost.
        transport_.send(
            from, cancel{batch.request, batch.attempt, batch.epoch});
        return;
    }
    if (batch.first_index > g->next_index())
    {
        start_attach_check(*g, *a, check_cause::gap);
        return;
    }
    token_index const skip = g->next_index() - batch.first_index;
    if (skip >= batch.tokens.size())
    {
        dropped_messages_.add();
        return;
    }
    accept_tokens(*g, *a, batch, skip);
}

void generation_relay::accept_tokens(
    generation& g, attempt& a, token_batch const& batch, token_index skip)
{
    steady_time const now = clock_.now();
    bool const resumed = !a.produced && g.next_index() > 0;
    if (resumed)
        resume_latency_.record(
            std::chrono::duration_cast<std::chrono::microseconds>(
                now - g.last_token));
    if (g.next_index() == 0)
        g.first_token = now;
    a.produced = true;
    a.state = attempt_state::running;
    a.pending_check.reset();
    a.last_token = now;
    g.last_token = now;
    g.endpoint = a.target.endpoint;
    g.tokens.insert(
        g.tokens.end(), batch.tokens.begin() + skip, batch.tokens.end());
    // From now on no other attempt may continue the answer.
    if (g.attempts.size() > 1)
        cancel_all_but(g, batch.attempt);
    g.retry_at.reset();
    std::uint32_t const window = policy_.current().recovery.max_unsent_tokens;
    if (g.next_index() - g.sent_to_caller > 2 * window)
        suspend(g);
    deliver(g);
}

void generation_relay::on_finished(
    peer_id const& from, generation_finished const& m)
{
    auto const g = find(m.request);
    attempt* const a = g ? find_attempt(*g, from, m.attempt, m.epoch) : nullptr;
    if (a == nullptr || m.next_index < g->next_index())
    {
        dropped_messages_.add();
        return;
    }
    if (m.next_index > g->next_index())
    {
        start_attach_check(*g, *a, check_cause::gap);
        return;
    }
    finish(*g, m.reason, m.attempt);
}

void generation_relay::on_failed(
    peer_id const& from, generation_failed const& m)
{
    auto const g = find(m.request);
    if (!g)
        return;
    if (m.code == error_code::stale_epoch)
    {
        bool const from_owned_run = std::any_of(
            g->attempts.begin(), g->attempts.end(),
            [&](attempt const& a)
            {
                return a.target.agent == from && a.epoch == m.epoch &&
                       (a.number == m.attempt || m.attempt == 0);
            });
        if (!from_owned_run)
            return;
        lost_ownerships_.add();
        fail(
            *g, error(
                    error_code::stale_epoch, m.step, from.value(),
                    "another router owns the generation"));
        return;
    }
    if (find_attempt(*g, from, m.attempt, m.epoch) == nullptr)
    {
        dropped_messages_.add();
        return;
    }
    end_attempt(*g, m.attempt, false);
    ++g->failed_attempts;
    if (!m.retryable && g->attempts.empty())
        fail(*g, error(m.code, m.step, from.value(), m.detail));
    else
        ensure_attempt(*g, m.step + ": " + m.detail);
}

void generation_relay::on_attached(peer_id const& from, attach_result const& m)
{
    auto const g = find(m.request);
    if (!g || g->finished)
        return;
    bool known = false;
    for (auto& a : g->attempts)
    {
        if (a.target.agent != from || !a.pending_check)
            continue;
        known = true;
        if (m.found && (m.attempt != a.number || m.epoch != a.epoch))
            continue;
        on_check_answered(*g, a, m);
        return;
    }
    // A handover that arrived after its takeover had been decided.
    bool const handed_over =
        m.found && !known &&
        find_attempt(*g, from, m.attempt, m.epoch) == nullptr;
    if (handed_over)
        transport_.send(from, cancel{m.request, m.attempt, m.epoch});
}

void generation_relay::on_check_answered(
    generation& g, attempt& a, attach_result const& m)
{
    bool const usable = m.found && m.first_index <= g.next_index();
    if (!usable)
    {
        ++g.failed_attempts;
        end_attempt(g, a.number, false);
        ensure_attempt(g, "the agent no longer has the run");
        return;
    }
    // Only a token ends a stall. After a silence the reply is sufficient: the
    // engine may still be processing the prompt.
    if (a.pending_check->cause == check_cause::silence)
    {
        a.pending_check.reset();
        if (a.state == attempt_state::presumed_lost && g.attempts.size() == 1)
            a.state = attempt_state::running;
    }
}

void generation_relay::on_pong(peer_id const& from, pong const& m)
{
    auto const link = links_.find(from);
    if (link != links_.end() && m.sequence == link->second.ping_sequence)
        link->second.ping_answered = true;
}

void generation_relay::on_appended(
    peer_id const& from, journal_appended const& m)
{
    auto const g = find(m.request);
    if (g && m.epoch == g->epoch)
        g->journal.on_appended(from, m.next_index);
}

// ---- failure detection ----------------------------------------------------

/// Asks the agent to resend its tokens from the next index on.
void generation_relay::start_attach_check(
    generation& g, attempt& a, check_cause cause)
{
    if (a.pending_check)
        return;
    attach_checks_.add();
    steady_time const now = clock_.now();
    a.pending_check = attach_check{now, cause};
    agent_link& link = links_[a.target.agent];
    // One reconnect serves all generations that detect the same silence.
    duration const timeout = policy_.current().recovery.check_timeout;
    bool const reconnected = now - link.last_reconnect < timeout;
    if (cause != check_cause::gap && !reconnected)
    {
        link.last_reconnect = now;
        transport_.reconnect(a.target.agent);
    }
    transport_.send(
        a.target.agent,
        attach{g.request.request, a.epoch, g.next_index(), false});
}

/// Starts a hedged attempt; the present one may still deliver first.
void generation_relay::hedge_attempt(generation& g, attempt_number number)
{
    for (auto& a : g.attempts)
    {
        if (a.number != number || a.state != attempt_state::running)
            continue;
        a.state = attempt_state::presumed_lost;
        ++g.failed_attempts;
        g.excluded.insert(a.target.endpoint);
        hedged_attempts_.add();
        std::string const reason =
            "no progress at " + a.target.endpoint.value();
        ensure_attempt(g, reason);
        return;
    }
}

void generation_relay::on_disconnected(peer_id const& peer)
{
    std::vector<generation_ptr> all;
    for (auto const& [request, g] : generations_)
        all.push_back(g);
    for (auto const& g : all)
    {
        g->journal.on_holder_lost(peer);
        if (g->search)
        {
            g->search->on_peer_lost(peer);
            advance_search(*g);
            continue;
        }
        for (auto& a : g->attempts)
        {
            if (a.target.agent != peer || a.state != attempt_state::running)
                continue;
            // The new connection failed as well, so the agent has failed.
            if (a.pending_check)
                hedge_attempt(*g, a.number);
            else
                start_attach_check(*g, a, check_cause::silence);
            break;
        }
    }
}

void generation_relay::schedule_tick()
{
    if (tick_timer_ != 0 || generations_.empty())
        return;
    bool const active = std::any_of(
        generations_.begin(), generations_.end(),
        [](auto const& entry) { return !entry.second->finished; });
    last_tick_ = clock_.now();
    tick_delay_ = active ? tick_interval : idle_tick_interval;
    tick_timer_ = timers_.schedule(tick_delay_, [this] { tick(); });
}

/// Switches from the idle to the active interval for a new generation.
void generation_relay::ensure_fast_tick()
{
    if (tick_timer_ != 0 && tick_delay_ == idle_tick_interval)
    {
        timers_.cancel(tick_timer_);
        tick_timer_ = 0;
    }
    schedule_tick();
}

void generation_relay::tick()
{
    tick_timer_ = 0;
    steady_time const now = clock_.now();
    recovery_policy const& policy = policy_.current().recovery;
    duration const passed = now - last_tick_;
    if (passed > tick_delay_ + policy.heartbeat_interval)
        discount_pause(passed);
    std::vector<generation_ptr> all;
    for (auto const& [request, g] : generations_)
        all.push_back(g);
    bool const replication_due =
        now - last_replication_ >= policy.journal_interval;
    if (replication_due)
        last_replication_ = now;
    for (auto const& g : all)
    {
        if (replication_due)
            replicate_and_acknowledge(*g);
        tick_generation(*g);
    }
    ping_agents();
    schedule_tick();
}

/// Excludes a pause of this process from all timeouts: it could not read what
/// agents sent during the pause, so their silence is no sign of a failure.
void generation_relay::discount_pause(duration passed)
{
    own_pauses_.add();
    steady_time const now = clock_.now();
    for (auto& [peer, link] : links_)
    {
        link.last_received = now;
        link.ping_sent = now;
    }
    for (auto const& [request, g] : generations_)
    {
        g->search_deadline += passed;
        for (auto& a : g->attempts)
        {
            a.last_token = now;
            if (a.pending_check)
                a.pending_check->since = now;
        }
    }
}

void generation_relay::tick_generation(generation& g)
{
    steady_time const now = clock_.now();
    bool const expired =
        !g.listener &&
        now - g.idle_since >= policy_.current().recovery.grace_period;
    if (expired)
    {
        erase(g);
        return;
    }
    if (g.search)
    {
        advance_search(g);
        return;
    }
    if (g.finished || g.ended)
        return;
    if (g.retry_at && *g.retry_at <= now)
    {
        g.retry_at.reset();
        ensure_attempt(g, "placement was refused before");
    }
    monitor_attempts(g);
}

void generation_relay::monitor_attempts(generation& g)
{
    recovery_policy const& policy = policy_.current().recovery;
    steady_time const now = clock_.now();
    for (auto& a : g.attempts)
    {
        if (a.state != attempt_state::running)
            continue;
        if (a.pending_check)
        {
            if (now - a.pending_check->since < policy.check_timeout)
                continue;
            hedge_attempt(g, a.number);
            return; // `attempts` may have changed
        }
        milliseconds const stall_timeout =
            a.produced ? policy.stalled_after : policy.prefill_stalled_after;
        bool const silent =
            now - links_[a.target.agent].last_received >= policy.silent_after;
        if (silent)
            start_attach_check(g, a, check_cause::silence);
        else if (now - a.last_token >= stall_timeout)
            start_attach_check(g, a, check_cause::stall);
    }
}

/// Detects connections that deliver the agent's stream but lose everything in
/// the other direction, including acknowledgements.
void generation_relay::ping_agents()
{
    std::set<peer_id> in_use;
    std::set<peer_id> unresponsive;
    steady_time const now = clock_.now();
    for (auto const& [request, g] : generations_)
    {
        for (auto const& a : g->attempts)
        {
            if (a.state != attempt_state::placing)
                in_use.insert(a.target.agent);
        }
    }
    for (auto i = links_.begin(); i != links_.end();)
        i = in_use.count(i->first) == 0 ? links_.erase(i) : std::next(i);
    for (auto& [peer, link] : links_)
    {
        if (now - link.ping_sent < ping_interval)
            continue;
        if (!link.ping_answered)
            unresponsive.insert(peer);
        link.ping_sent = now;
        link.ping_answered = false;
        transport_.send(peer, ping{++link.ping_sequence});
    }
    if (unresponsive.empty())
        return;
    for (auto const& [request, g] : generations_)
    {
        for (auto& a : g->attempts)
        {
            if (a.state == attempt_state::running &&
                unresponsive.count(a.target.agent) != 0)
                start_attach_check(*g, a, check_cause::silence);
        }
    }
}

// ---- replication and acknowledgements -------------------------------------

/// Copies output to the journal holders, then acknowledges to the agent the
/// tokens that have been sent to the caller and copied.
void generation_relay::replicate_and_acknowledge(generation& g)
{
    if (g.search || g.first_index > 0)
        return;
    recovery_policy const& policy = policy_.current().recovery;
    steady_time const now = clock_.now();
    token_index const next = g.next_index();
    bool const past_delay =
        next > 0 && now - g.first_token >= policy.journal_after;
    bool const backlogged =
        next - std::min(next, g.journal.confirmed()) >= max_unreplicated_tokens;
    bool const replicating = g.journal.has_holders();
    if (policy.journal_holders > 0 && (past_delay || backlogged || replicating))
    {
        attempt_number const number =
            g.attempts.empty() ? g.last_attempt : g.attempts.front().number;
        g.journal.replicate(
            journal_source{
                g.request.request, g.epoch, g.endpoint, number, g.tokens,
                g.finished.has_value()},
            policy, now);
    }
    if (g.attempts.size() != 1)
        return;
    attempt& a = g.attempts.front();
    if (a.state != attempt_state::running || !a.produced)
        return;
    token_index const bounded = next - std::min(next, max_unconfirmed_tokens);
    bool const no_holders = past_delay && !g.journal.has_holders();
    token_index const safe =
        no_holders ? next : std::max(g.journal.confirmed(), bounded);
    token_index const until = std::min(safe, g.sent_to_caller);
    if (until > a.acknowledged)
    {
        a.acknowledged = until;
        transport_.send(
            a.target.agent,
            acknowledge{g.request.request, a.number, a.epoch, until});
    }
}

} // namespace dotterellock
