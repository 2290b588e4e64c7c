#include "recovery/generation_runner.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

// Keeps a batch far below the frame limit of 8 MiB.
constexpr token_index max_batch_tokens = 1024;

// Engines report tokens of about four bytes of text.
constexpr std::size_t bytes_per_token = 4;

// An owner that acknowledges nothing for this many slow-caller windows is not
// coming back for the output.
constexpr std::size_t max_buffered_windows = 4;

// Long against one step of an engine, short against a generation.
constexpr std::chrono::duration<double> pace_window{0.5};

} // namespace

generation_runner::generation_runner(
    incarnation self, clock_source& clock, timer_service& timers,
    peer_transport& transport, engine& engine, permit_issuer& permits,
    policy_source const& policy, counter_registry& counters)
    : self_(self), clock_(clock), timers_(timers), transport_(transport),
      engine_(engine), permits_(permits), policy_(policy),
      started_runs_(counters.counter("gate_runs_started_total")),
      duplicate_dispatches_(
          counters.counter("gate_duplicate_dispatches_total")),
      stale_messages_(counters.counter("gate_stale_messages_total")),
      takeovers_(counters.counter("gate_takeovers_total")),
      ownerless_runs_(counters.counter("gate_runs_without_owner_total"))
{
}

generation_runner::~generation_runner()
{
    timers_.cancel(tick_timer_);
    for (auto& [request, r] : runs_)
    {
        timers_.cancel(r.flush_timer);
        if (r.engine_run != 0)
            engine_.cancel(r.engine_run);
    }
}

void generation_runner::on_message(peer_id const& from, message const& m)
{
    auto const link = links_.find(from);
    if (link != links_.end())
        link->second.last_received = clock_.now();

    if (auto const* d = std::get_if<dispatch_generation>(&m))
        on_dispatch(from, *d);
    else if (auto const* a = std::get_if<acknowledge>(&m))
        on_acknowledge(from, *a);
    else if (auto const* c = std::get_if<cancel>(&m))
        on_cancel(from, *c);
    else if (auto const* t = std::get_if<attach>(&m))
        on_attach(from, *t);
    else if (auto const* p = std::get_if<ping>(&m))
        send(from, pong{p->sequence});
}

// The owner may only have changed connections; the grace period runs from its
// last message.
void generation_runner::on_disconnected(peer_id const&) {}

std::size_t generation_runner::active_runs() const
{
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(),
        [](auto const& entry) { return entry.second.engine_run != 0; }));
}

std::size_t generation_runner::buffered_tokens() const
{
    std::size_t sum = 0;
    for (auto const& [request, r] : runs_)
        sum += r.buffer.size();
    return sum;
}

bool generation_runner::owned_by(
    run const& r, peer_id const& from, owner_epoch epoch)
{
    return r.owner == from && r.epoch == epoch;
}

// ---- messages of routers --------------------------------------------------

void generation_runner::on_dispatch(
    peer_id const& from, dispatch_generation const& d)
{
    if (d.incarnation != self_)
    {
        send_refusal(
            from, d.request, d.attempt, d.epoch, error_code::stale_incarnation,
            true);
        return;
    }
    bool const was_cancelled =
        cancelled_attempts_.count({d.request, from, d.epoch, d.attempt}) != 0;
    if (redeemed_permits_.count(d.permit) != 0 || was_cancelled)
    {
        duplicate_dispatches_.add();
        return;
    }
    run* const present = find(d.request);
    if (present != nullptr && !supersedes(from, d, *present))
    {
        stale_messages_.add();
        send_refusal(
            from, d.request, d.attempt, d.epoch, error_code::stale_epoch,
            false);
        return;
    }
    if (auto const reason =
            permits_.redeem(d.permit, d.request, d.attempt, d.incarnation))
    {
        send_refusal(from, d.request, d.attempt, d.epoch, *reason, true);
        return;
    }
    if (present != nullptr)
    {
        if (present->owner != from)
            notify_replaced_owner(*present);
        remove_run(d.request);
    }
    start_run(from, d);
}

// Among dispatches of one epoch by different routers the later wins; this only
// happens when a caller submits a request again without an event id.
bool generation_runner::supersedes(
    peer_id const& from, dispatch_generation const& d, run const& r)
{
    if (d.epoch != r.epoch)
        return d.epoch > r.epoch;
    return r.owner != from || d.attempt > r.dispatch.attempt;
}

void generation_runner::start_run(
    peer_id const& from, dispatch_generation const& d)
{
    started_runs_.add();
    redeemed_permits_.insert(d.permit);
    redemption_times_.emplace_back(clock_.now(), d.permit);
    run& r = runs_[d.request];
    r.serial = ++last_serial_;
    r.dispatch = d;
    r.owner = from;
    r.epoch = d.epoch;
    r.first_index = d.first_index();
    r.next_unsent = r.first_index;
    links_.try_emplace(from, router_link{clock_.now(), clock_.now()});
    schedule_tick();
    r.engine_run = engine_.start(d, make_engine_events(d.request, r.serial));
}

void generation_runner::on_acknowledge(
    peer_id const& from, acknowledge const& a)
{
    run* const r = find(a.request);
    if (r == nullptr)
        return;
    if (!owned_by(*r, from, a.epoch) || a.attempt != r->dispatch.attempt)
    {
        stale_messages_.add();
        send_refusal(
            from, a.request, a.attempt, a.epoch, error_code::stale_epoch,
            false);
        return;
    }
    token_index const until = std::min(a.next_index, r->next_unsent);
    while (r->first_index < until)
    {
        r->buffer.pop_front();
        ++r->first_index;
    }
    if (r->ended() && a.next_index >= r->next_index())
        remove_run(a.request);
}

void generation_runner::on_cancel(peer_id const& from, cancel const& c)
{
    cancelled_attempts_[{c.request, from, c.epoch, c.attempt}] = clock_.now();
    schedule_tick();
    run* const r = find(c.request);
    if (r == nullptr)
        return;
    if (owned_by(*r, from, c.epoch) && r->dispatch.attempt == c.attempt)
        remove_run(c.request);
    else
        stale_messages_.add();
}

void generation_runner::on_attach(peer_id const& from, attach const& a)
{
    run* const r = find(a.request);
    if (r == nullptr)
    {
        send(from, attach_result{a.request, false, 0, a.epoch, 0, 0});
        return;
    }
    // A takeover that arrives twice must not raise the epoch twice: the router
    // would hold the first answer and be refused.
    if (a.takeover && r->owner != from)
    {
        notify_replaced_owner(*r);
        takeovers_.add();
        r->owner = from;
        ++r->epoch;
        links_.try_emplace(from, router_link{clock_.now(), clock_.now()});
    }
    else if (!a.takeover && !owned_by(*r, from, a.epoch))
    {
        stale_messages_.add();
        send_refusal(
            from, a.request, 0, a.epoch, error_code::stale_epoch, false);
        return;
    }
    send(
        from, attach_result{
                  a.request, true, r->dispatch.attempt, r->epoch,
                  r->first_index, r->next_index()});
    r->next_unsent = std::clamp(a.next_index, r->first_index, r->next_index());
    r->end_sent = false;
    flush(*r);
}

// ---- engine events --------------------------------------------------------

engine_events generation_runner::make_engine_events(
    request_id const& request, std::uint64_t serial)
{
    engine_events events;
    events.on_tokens = [this, request, serial](std::vector<std::string> tokens)
    {
        if (run* const r = find(request, serial))
            on_tokens(*r, std::move(tokens));
    };
    events.on_finished = [this, request, serial](finish_reason reason)
    {
        if (run* const r = find(request, serial))
        {
            r->finished = reason;
            on_ended(*r);
        }
    };
    events.on_failed = [this, request, serial](error const& e)
    {
        if (run* const r = find(request, serial))
        {
            r->failed =
                generation_failed{request,  r->dispatch.attempt, 0,   e.code(),
                                  e.step(), e.detail(),          true};
            on_ended(*r);
        }
    };
    return events;
}

generation_runner::run* generation_runner::find(request_id const& request)
{
    auto const found = runs_.find(request);
    return found == runs_.end() ? nullptr : &found->second;
}

generation_runner::run*
generation_runner::find(request_id const& request, std::uint64_t serial)
{
    run* const r = find(request);
    return r != nullptr && r->serial == serial && !r->ended() ? r : nullptr;
}

/// Counts from one batch of tokens to another, so that neither prefill nor the
/// wait for the first token is taken for a slow stream.
void generation_runner::measure_pace(run& r, std::size_t tokens)
{
    steady_time const now = clock_.now();
    if (r.pace_since == steady_time{})
    {
        r.pace_since = now;
        return;
    }
    r.pace_tokens += static_cast<std::uint32_t>(tokens);
    std::chrono::duration<double> const elapsed = now - r.pace_since;
    if (elapsed < pace_window)
        return;
    permits_.observe_token_rate(r.pace_tokens / elapsed.count());
    r.pace_since = now;
    r.pace_tokens = 0;
}

void generation_runner::on_tokens(run& r, std::vector<std::string> tokens)
{
    measure_pace(r, tokens.size());
    for (auto& token : tokens)
        r.buffer.push_back(std::move(token));
    std::size_t const limit =
        max_buffered_windows * policy_.current().recovery.max_unsent_tokens;
    if (r.buffer.size() > limit)
    {
        stop_engine(r);
        r.failed = generation_failed{
            r.dispatch.request,
            r.dispatch.attempt,
            0,
            error_code::overloaded,
            "buffer_output",
            "the owner acknowledged too little",
            true};
        on_ended(r);
        return;
    }
    schedule_flush(r);
}

void generation_runner::on_ended(run& r)
{
    r.ended_at = clock_.now();
    release_permit(r);
    schedule_flush(r);
}

// Sends in a later event, so that tokens that already wait form one batch.
void generation_runner::schedule_flush(run& r)
{
    if (r.flush_timer != 0)
        return;
    r.flush_timer = timers_.schedule(
        duration{},
        [this, request = r.dispatch.request, serial = r.serial]
        {
            run* const found = find(request);
            if (found == nullptr || found->serial != serial)
                return;
            found->flush_timer = 0;
            flush(*found);
        });
}

void generation_runner::flush(run& r)
{
    while (r.next_unsent < r.next_index())
    {
        token_index const count =
            std::min(max_batch_tokens, r.next_index() - r.next_unsent);
        auto const begin = r.buffer.begin() + (r.next_unsent - r.first_index);
        token_batch batch{
            r.dispatch.request, r.dispatch.attempt, r.epoch, r.next_unsent, {}};
        batch.tokens.assign(begin, begin + count);
        r.next_unsent += count;
        send(r.owner, std::move(batch));
    }
    if (r.ended() && !r.end_sent)
        send_end(r);
}

void generation_runner::send_end(run& r)
{
    r.end_sent = true;
    if (r.finished)
    {
        send(
            r.owner, generation_finished{
                         r.dispatch.request, r.dispatch.attempt, r.epoch,
                         r.next_index(), *r.finished});
        return;
    }
    generation_failed failed = *r.failed;
    failed.epoch = r.epoch;
    send(r.owner, std::move(failed));
}

// ---- ends -----------------------------------------------------------------

void generation_runner::stop_engine(run& r)
{
    if (r.engine_run != 0)
        engine_.cancel(r.engine_run);
}

void generation_runner::release_permit(run& r)
{
    if (r.engine_run == 0)
        return;
    r.engine_run = 0;
    std::size_t const prompt = r.dispatch.prompt.size() / bytes_per_token;
    std::size_t const output = r.next_index() - r.dispatch.first_index();
    permits_.release(
        r.dispatch.permit, static_cast<std::uint32_t>(prompt + output));
}

void generation_runner::remove_run(request_id const& request)
{
    auto const found = runs_.find(request);
    run& r = found->second;
    timers_.cancel(r.flush_timer);
    stop_engine(r);
    release_permit(r);
    runs_.erase(found);
}

/// Tells an owner that another router has taken over.
void generation_runner::notify_replaced_owner(run const& r)
{
    send_refusal(
        r.owner, r.dispatch.request, r.dispatch.attempt, r.epoch,
        error_code::stale_epoch, false);
}

void generation_runner::send_refusal(
    peer_id const& to, request_id const& request, attempt_number attempt,
    owner_epoch epoch, error_code code, bool retryable)
{
    send(
        to, generation_failed{
                request, attempt, epoch, code, "dispatch", to_string(code),
                retryable});
}

void generation_runner::send(peer_id const& to, message m)
{
    auto const link = links_.find(to);
    if (link != links_.end())
        link->second.last_sent = clock_.now();
    transport_.send(to, std::move(m));
}

// ---- heartbeats and expiry ------------------------------------------------

void generation_runner::schedule_tick()
{
    if (tick_timer_ != 0)
        return;
    last_tick_ = clock_.now();
    tick_timer_ = timers_.schedule(
        policy_.current().recovery.heartbeat_interval / 2, [this] { tick(); });
}

void generation_runner::tick()
{
    tick_timer_ = 0;
    duration const interval = policy_.current().recovery.heartbeat_interval;
    duration const passed = clock_.now() - last_tick_;
    // After a pause of this process nothing is known about the owners: time
    // in which it could not listen does not count against them.
    if (passed > 2 * interval)
    {
        for (auto& [peer, link] : links_)
            link.last_received += passed;
    }
    remove_expired();
    send_heartbeats();
    if (!runs_.empty() || !redeemed_permits_.empty() ||
        !cancelled_attempts_.empty())
        schedule_tick();
}

void generation_runner::send_heartbeats()
{
    std::set<peer_id> owners;
    for (auto const& [request, r] : runs_)
    {
        if (!r.ended())
            owners.insert(r.owner);
    }
    steady_time const due =
        clock_.now() - policy_.current().recovery.heartbeat_interval / 2;
    for (auto const& owner : owners)
    {
        if (links_.at(owner).last_sent <= due)
            send(owner, pong{});
    }
}

void generation_runner::remove_expired()
{
    steady_time const oldest =
        clock_.now() - policy_.current().recovery.grace_period;
    std::vector<request_id> expired;
    std::set<peer_id> owners;
    for (auto const& [request, r] : runs_)
    {
        steady_time const since =
            r.ended() ? r.ended_at : links_.at(r.owner).last_received;
        if (since <= oldest)
            expired.push_back(request);
        else
            owners.insert(r.owner);
    }
    for (auto const& request : expired)
    {
        ownerless_runs_.add(runs_.at(request).ended() ? 0 : 1);
        remove_run(request);
    }
    for (auto i = links_.begin(); i != links_.end();)
        i = owners.count(i->first) == 0 ? links_.erase(i) : std::next(i);
    while (!redemption_times_.empty() &&
           redemption_times_.front().first <= oldest)
    {
        redeemed_permits_.erase(redemption_times_.front().second);
        redemption_times_.pop_front();
    }
    for (auto i = cancelled_attempts_.begin(); i != cancelled_attempts_.end();)
        i = i->second <= oldest ? cancelled_attempts_.erase(i) : std::next(i);
}

} // namespace dotterellock
