#include "recovery/generation_relay.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

// Limits the size of event ids when no journal holder confirms copies. If the
// router and both holders then fail, the answer cannot continue and the caller
// receives an error.
constexpr token_index max_tail_tokens = 256;

} // namespace

generation_relay::generation_relay(
    peer_id self, clock_source& clock, timer_service& timers,
    random_source& random, peer_transport& transport, dispatcher& dispatcher,
    endpoint_lookup const& endpoints, journal_placement const& journals,
    policy_source const& policy, decision_log& log, counter_registry& counters)
    : self_(std::move(self)), clock_(clock), timers_(timers), random_(random),
      transport_(transport), dispatcher_(dispatcher), endpoints_(endpoints),
      journals_(journals), policy_(policy), log_(log),
      relayed_tokens_(counters.counter("relay_tokens_total")),
      dropped_messages_(counters.counter("relay_dropped_messages_total")),
      started_attempts_(counters.counter("relay_attempts_total")),
      hedged_attempts_(counters.counter("relay_hedged_attempts_total")),
      takeovers_(counters.counter("relay_takeovers_total")),
      attach_checks_(counters.counter("relay_attach_checks_total")),
      lost_ownerships_(counters.counter("relay_lost_ownership_total")),
      own_pauses_(counters.counter("relay_own_pauses_total")),
      journal_bytes_(counters.counter("relay_journal_bytes_total")),
      resume_latency_(counters.histogram("relay_resume_latency_seconds"))
{
}

generation_relay::~generation_relay()
{
    timers_.cancel(tick_timer_);
    for (auto const& [request, g] : generations_)
    {
        for (auto const& a : g->attempts)
        {
            if (a.state == attempt_state::placing)
                dispatcher_.withdraw(request, a.number);
        }
    }
}

// ---- callers --------------------------------------------------------------

void generation_relay::start(
    generation_request request, std::shared_ptr<generation_listener> listener)
{
    // A known idempotency key requests its answer again.
    if (find(request.request))
    {
        resume(std::move(request), resume_point{}, std::move(listener));
        return;
    }
    auto const g = create(std::move(request), std::move(listener));
    start_attempt(*g);
}

void generation_relay::resume(
    generation_request request, resume_point const& from,
    std::shared_ptr<generation_listener> listener)
{
    if (auto const g = find(request.request))
    {
        if (refuse_reused_key(*g, request, listener))
            return;
        if (!g->search && matches_known_tokens(*g, from))
        {
            reattach_caller(*g, from.next_index, std::move(listener));
            return;
        }
        // Another router has served the caller in the meantime, so this state
        // is out of date.
        erase(*g);
    }
    auto const g = create(std::move(request), std::move(listener));
    begin_search(*g, from);
}

void generation_relay::detach(
    request_id const& request, generation_listener const& listener)
{
    auto const g = find(request);
    if (!g || g->listener.get() != &listener)
        return;
    g->listener.reset();
    g->idle_since = clock_.now();
}

void generation_relay::caller_progress(
    request_id const& request, token_index next_index)
{
    auto const g = find(request);
    if (!g)
        return;
    g->sent_to_caller =
        std::max(g->sent_to_caller, std::min(next_index, g->delivered));
    if (g->delivered < g->next_index() || g->suspended)
        schedule_delivery(*g);
}

std::size_t generation_relay::open_generations() const
{
    return static_cast<std::size_t>(std::count_if(
        generations_.begin(), generations_.end(),
        [](auto const& entry) { return entry.second->listener != nullptr; }));
}

generation_relay::generation_ptr
generation_relay::find(request_id const& request) const
{
    auto const found = generations_.find(request);
    return found == generations_.end() ? nullptr : found->second;
}

generation_relay::generation_ptr generation_relay::create(
    generation_request request, std::shared_ptr<generation_listener> listener)
{
    request_id const id = request.request;
    auto g = std::make_shared<generation>(
        std::move(request),
        journal_writer(transport_, journals_, journal_bytes_));
    g->listener = std::move(listener);
    g->epoch = next_epoch_after(0);
    g->last_token = clock_.now();
    generations_[id] = g;
    ensure_fast_tick();
    return g;
}

bool generation_relay::refuse_reused_key(
    generation const& g, generation_request const& request,
    std::shared_ptr<generation_listener> const& listener)
{
    if (g.request.prompt == request.prompt &&
        g.request.model.name == request.model.name)
        return false;
    timers_.schedule(
        duration{},
        [listener]
        {
            listener->on_error(error(
                error_code::key_reused, "start", "",
                "the key belongs to a request with another prompt or model"));
        });
    return true;
}

/// Whether the caller has the same tokens as this router. Tokens of another
/// epoch may differ: after the caller moved to another router, both routers
/// may have continued the answer with attempts of their own.
bool generation_relay::matches_known_tokens(
    generation const& g, resume_point const& from)
{
    if (from.next_index > g.next_index() || from.next_index < g.first_index)
        return false;
    if (from.epoch == g.epoch)
        return true;
    token_index const common =
        from.epoch == g.caller_epoch ? g.caller_prefix_end : 0;
    if (from.next_index <= common)
        return true;
    auto const tail = static_cast<token_index>(from.tail.size());
    token_index const start = from.next_index - tail;
    if (start > common || start < g.first_index)
        return false;
    return std::equal(
        from.tail.begin(), from.tail.end(),
        g.tokens.begin() + (start - g.first_index));
}

/// Replays the tokens that the caller lacks over its new connection.
void generation_relay::reattach_caller(
    generation& g, token_index next_index,
    std::shared_ptr<generation_listener> listener)
{
    g.listener = std::move(listener);
    g.ended = false;
    if (g.search)
        return;
    g.delivered = next_index;
    g.sent_to_caller = next_index;
    schedule_delivery(g);
}

// ---- delivery -------------------------------------------------------------

/// Delivers from a timer, so that a listener is never called back from within
/// its own call.
void generation_relay::schedule_delivery(generation& g)
{
    if (g.delivery_scheduled)
        return;
    g.delivery_scheduled = true;
    std::weak_ptr<generation> const weak = find(g.request.request);
    timers_.schedule(
        duration{},
        [this, weak]
        {
            auto const alive = weak.lock();
            if (!alive)
                return;
            alive->delivery_scheduled = false;
            deliver(*alive);
        });
}

void generation_relay::deliver(generation& g)
{
    if (!g.listener || g.ended || g.search)
        return;
    std::uint32_t const window = policy_.current().recovery.max_unsent_tokens;
    token_index const end = std::min(g.next_index(), g.sent_to_caller + window);
    if (g.delivered < end)
        deliver_tokens(g, end);
    bool const drained = g.delivered == g.next_index();
    if (g.finished && drained && g.listener)
    {
        g.ended = true;
        g.idle_since = clock_.now();
        auto const listener = std::move(g.listener);
        g.listener.reset();
        listener->on_finished(*g.finished, g.next_index());
        return;
    }
    if (g.suspended && g.next_index() - g.sent_to_caller <= window / 2)
    {
        g.suspended = false;
        ensure_attempt(g, "the caller has caught up");
    }
}

void generation_relay::deliver_tokens(generation& g, token_index end)
{
    token_index const first = g.delivered;
    std::vector<std::string> const tokens(
        g.tokens.begin() + (first - g.first_index),
        g.tokens.begin() + (end - g.first_index));
    g.delivered = end;
    relayed_tokens_.add(tokens.size());
    // Keeps the listener alive: it may detach itself during the call.
    auto const listener = g.listener;
    listener->on_tokens(first, tokens, event_id(g, end));
}

token_index
generation_relay::tail_start(generation const& g, token_index end) const
{
    token_index const oldest = end - std::min(end, max_tail_tokens);
    token_index const start = std::max(g.journal.confirmed(), oldest);
    return std::clamp(start, g.first_index, end);
}

std::string
generation_relay::event_id(generation const& g, token_index end) const
{
    token_index const start = tail_start(g, end);
    resume_point point;
    point.epoch = g.epoch;
    point.next_index = end;
    point.tail.assign(
        g.tokens.begin() + (start - g.first_index),
        g.tokens.begin() + (end - g.first_index));
    return encode_event_id(point);
}

// ---- completion -----------------------------------------------------------

void generation_relay::finish(
    generation& g, finish_reason reason, attempt_number by_attempt)
{
    cancel_all_but(g, by_attempt);
    g.finished = reason;
    g.idle_since = clock_.now();
    if (by_attempt != 0)
        end_attempt(g, by_attempt, true);
    deliver(g);
}

void generation_relay::fail(generation& g, error const& e)
{
    auto const listener = std::move(g.listener);
    g.listener.reset();
    g.ended = true;
    record_decision(g, "generation_failed", e.what());
    save_to_own_journal(g);
    erase(g);
    if (listener)
        listener->on_error(e);
}

/// Copies the tokens to the journal holder of this router, because the other
/// holders may have failed by the time the caller reconnects.
void generation_relay::save_to_own_journal(generation const& g)
{
    if (g.first_index > 0 || g.tokens.empty())
        return;
    transport_.send(
        self_, journal_append{
                   g.request.request, g.epoch, g.endpoint, g.last_attempt, 0,
                   g.tokens, g.finished.has_value()});
}

/// Removes the generation. The calling function must hold a reference to it.
void generation_relay::erase(generation& g)
{
    cancel_all_but(g, 0);
    generations_.erase(request_id(g.request.request));
}

void generation_relay::record_decision(
    generation const& g, char const* step, std::string const& reason)
{
    decision d;
    d.step = step;
    d.request = g.request.request;
    d.attempt = g.last_attempt;
    d.rank = g.request.rank;
    d.organisation = g.request.organisation;
    d.choice = g.endpoint.value();
    d.reason = reason;
    log_.record(d);
}

} // namespace dotterellock
