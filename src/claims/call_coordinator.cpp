// Index
//   submission : calls, waiters, deadlines
//   placing    : placement, refusal, reading the claim row
//   claiming   : claim writes, conflicts, adopted claims
//   running    : dispatch, results, retries of repeatable calls
//   querying   : queries to the agent
//   closing    : rows closed as not_run, rows completed with a result
//   replies    : replies to the callers
#include "claims/call_coordinator.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

constexpr milliseconds min_timeout{1};
constexpr milliseconds initial_store_retry_delay{100};
constexpr milliseconds initial_placement_retry_delay{50};
constexpr milliseconds max_retry_delay{5000};
// After these writes have failed, the result is available only from the agent.
constexpr unsigned max_result_write_attempts = 6;
constexpr milliseconds resubmit_delay{1000};

call_reply make_reply(
    call_outcome outcome, error_code code, std::string detail,
    milliseconds retry_after = milliseconds{0})
{
    call_reply reply;
    reply.outcome = outcome;
    reply.code = code;
    reply.status = http_status(code);
    reply.detail = std::string(to_string(code)) + ": " + std::move(detail);
    reply.retry_after = retry_after;
    return reply;
}

/// This submission dispatched nothing and holds no claim, so the key may be
/// submitted again. The outcome is not `not_run`, because without the claim row
/// an earlier submission of the key may have run.
call_reply refused_reply(
    error_code code, std::string detail,
    milliseconds retry_after = milliseconds{0})
{
    return make_reply(
        call_outcome::refused, code, std::move(detail),
        retry_after.count() > 0 ? retry_after : resubmit_delay);
}

call_reply not_run_reply(std::string detail)
{
    return make_reply(
        call_outcome::not_run, error_code::not_run, std::move(detail));
}

call_reply unknown_reply(std::string detail)
{
    return make_reply(
        call_outcome::unknown, error_code::outcome_unknown, std::move(detail),
        resubmit_delay);
}

call_reply key_reused_reply()
{
    return make_reply(
        call_outcome::refused, error_code::key_reused,
        "the key belongs to a call with another body");
}

template<typename Result>
call_reply done_reply(Result const& result)
{
    call_reply reply;
    reply.outcome = call_outcome::done;
    reply.status = result.status;
    reply.content_type = result.content_type;
    reply.body = result.body;
    reply.detail = result.detail;
    return reply;
}

row const* find_row(std::vector<row> const& rows, std::string const& key)
{
    auto const found = std::find_if(
        rows.begin(), rows.end(), [&](row const& r) { return r.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

call_coordinator::call_coordinator(
    peer_id self, clock_source& clock, timer_service& timers,
    random_source& random, peer_transport& transport, dispatcher& dispatch,
    endpoint_lookup const& endpoints, table_service& store,
    policy_source const& policy, decision_log& log, counter_registry& counters)
    : self_(std::move(self)), clock_(clock), timers_(timers), random_(random),
      transport_(transport), dispatcher_(dispatch), endpoints_(endpoints),
      store_(store), policy_(policy), log_(log),
      done_total_(counters.counter("calls_total", "outcome=\"done\"")),
      not_run_total_(counters.counter("calls_total", "outcome=\"not_run\"")),
      refused_total_(counters.counter("calls_total", "outcome=\"refused\"")),
      unknown_total_(counters.counter("calls_total", "outcome=\"unknown\"")),
      retries_total_(counters.counter("call_retries_total")),
      queries_total_(counters.counter("call_queries_sent_total")),
      conflicts_total_(counters.counter("claim_conflicts_total")),
      claim_seconds_(counters.histogram("claim_seconds"))
{
}

call_coordinator::~call_coordinator()
{
    for (auto& [request, c] : calls_)
    {
        stop_timer(c);
        for (auto const& w : c.waiters)
            timers_.cancel(w.deadline_timer);
    }
}

// ---- submission -----------------------------------------------------------

void call_coordinator::call(
    call_request request, std::function<void(call_reply)> done)
{
    auto const hash = hash_call(request);
    if (request.timeout < min_timeout)
        request.timeout = policy_.current().call.default_timeout;

    auto const [found, inserted] = calls_.try_emplace(request.request);
    open_call& c = found->second;
    if (!inserted && c.body_hash != hash)
    {
        reply_later(std::move(done), key_reused_reply());
        return;
    }
    c.request.timeout = request.timeout;
    if (!inserted)
    {
        add_waiter(c, std::move(done));
        return;
    }
    c.request = std::move(request);
    c.body_hash = hash;
    // Random, so that concurrent or successive submissions of one key at
    // several routers never mistake another's offers, claims or results for
    // their own.
    c.attempt = static_cast<attempt_number>(random_.below(1u << 30)) + 1;
    add_waiter(c, std::move(done));

    if (!c.request.repeatable && unresolved_.count(c.request.request) != 0)
        read_claim_row(c, std::nullopt);
    else
        request_placement(c);
}

void call_coordinator::add_waiter(
    open_call& c, std::function<void(call_reply)> done)
{
    waiter w;
    w.id = ++last_waiter_id_;
    w.done = std::move(done);
    w.deadline_timer = timers_.schedule(
        c.request.timeout, [this, request = c.request.request, id = w.id]
        { on_deadline(request, id); });
    c.waiters.push_back(std::move(w));
    c.deadline = std::max(c.deadline, clock_.now() + c.request.timeout);
}

void call_coordinator::on_deadline(
    request_id const& request, std::uint64_t waiter_id)
{
    auto const found = calls_.find(request);
    if (found == calls_.end())
        return;
    open_call& c = found->second;
    auto const at = std::find_if(
        c.waiters.begin(), c.waiters.end(),
        [&](waiter const& w) { return w.id == waiter_id; });
    if (at == c.waiters.end())
        return;
    waiter const w = std::move(*at);
    c.waiters.erase(at);
    reply_on_deadline(c, w);
}

void call_coordinator::reply_on_deadline(open_call& c, waiter const& w)
{
    auto reply = unknown_reply("no outcome within the caller's timeout");
    bool const last_waiter = c.waiters.empty();
    bool const searching =
        c.phase == call_phase::placing || c.phase == call_phase::reading_row;
    bool const unresolved = unresolved_.count(c.request.request) != 0;
    if (last_waiter && searching && !c.dispatched && !unresolved)
    {
        reply = refused_reply(
            error_code::deadline_exceeded, "no place within the timeout");
    }
    if (c.phase == call_phase::closing && c.agent_reported_not_run)
        reply = not_run_reply(c.claim.detail);

    // A claim whose row is being written or closed is in doubt. It is completed
    // even without callers.
    if (last_waiter && c.phase != call_phase::claiming &&
        c.phase != call_phase::closing)
    {
        if (c.phase == call_phase::placing)
            dispatcher_.withdraw(c.request.request, c.attempt);
        if (c.phase == call_phase::running || c.phase == call_phase::querying)
            remember_unresolved(c);
        c.waiters.push_back(w);
        finish(c, reply);
        return;
    }
    count_reply(reply);
    w.done(reply);
}

std::size_t call_coordinator::open_calls() const
{
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(),
        [](auto const& entry) { return !entry.second.waiters.empty(); }));
}

// ---- placing --------------------------------------------------------------

void call_coordinator::request_placement(open_call& c)
{
    begin_step(c, call_phase::placing);
    if (c.attempt_count++ > 0)
        ++c.attempt;
    auto const& policy = policy_.current();
    place_request place;
    place.request = c.request.request;
    place.attempt = c.attempt;
    place.organisation = c.request.organisation;
    place.rank = c.request.rank;
    place.kind = work_kind::call;
    place.service = c.request.service;
    place.payload_bytes = c.request.body.size();
    place.excluded = c.excluded;
    place.waiting_limit = std::min<duration>(
        remaining_time(c),
        policy.ranks[index_of(c.request.rank)].waiting_limit);
    place.is_retry = c.attempt_count > 1;
    dispatcher_.place(
        std::move(place),
        bind_to_step(
            c, [this](open_call& at, placement const& p) { on_placed(at, p); }),
        bind_to_step(
            c, [this](open_call& at, error const& e)
            { on_placement_refused(at, e); }));
}

void call_coordinator::on_placed(open_call& c, placement const& p)
{
    c.current_placement = p;
    c.holds_placement = true;
    if (c.request.repeatable)
        dispatch(c);
    else
        write_claim(c);
}

void call_coordinator::on_placement_refused(open_call& c, error const& e)
{
    if (!c.request.repeatable)
    {
        // Without a placement this submission cannot run, but the row may
        // hold the outcome of an earlier submission of the key.
        read_claim_row(c, e);
        return;
    }
    if (!c.excluded.empty() &&
        remaining_time(c) > initial_placement_retry_delay)
    {
        c.excluded.clear();
        begin_step(c, call_phase::placing);
        start_timer(
            c, backoff(initial_placement_retry_delay, 0),
            &call_coordinator::request_placement);
        return;
    }
    finish(
        c, c.dispatched ? make_reply(
                              call_outcome::unknown, e.code(), e.detail(),
                              e.retry_after())
                        : refused_reply(e.code(), e.detail(), e.retry_after()));
}

/// @param refusal  why placement was refused; empty if none was requested yet
void call_coordinator::read_claim_row(
    open_call& c, std::optional<error> const& refusal)
{
    begin_step(c, call_phase::reading_row);
    store_.read(
        {claim_key(c.request.request)}, store_timeout(c),
        bind_to_step(
            c, [this, refusal](open_call& at, read_result const& result)
            { on_claim_row_read(at, refusal, result); }));
}

void call_coordinator::on_claim_row_read(
    open_call& c, std::optional<error> const& refusal,
    read_result const& result)
{
    auto const* present = find_row(result.rows, claim_key(c.request.request));
    bool const readable = result.status == store_status::ok && present;
    if (readable && present->version != 0)
    {
        adopt_claim(c, *present);
        return;
    }
    auto const remembered = unresolved_.find(c.request.request);
    if (!readable && remembered != unresolved_.end())
    {
        adopt_claim(c, remembered->second.claim, remembered->second.version);
        return;
    }
    if (refusal)
    {
        finish(
            c, refused_reply(
                   refusal->code(), refusal->detail(), refusal->retry_after()));
    }
    else
        request_placement(c);
}

/// Notifies the dispatcher that the current attempt has ended.
void call_coordinator::release_placement(open_call& c, bool ok)
{
    if (!c.holds_placement)
        return;
    c.holds_placement = false;
    dispatcher_.finished(c.request.request, c.attempt, ok);
}

// ---- claiming -------------------------------------------------------------

void call_coordinator::write_claim(open_call& c)
{
    begin_step(c, call_phase::claiming);
    c.claim = claim_row{};
    c.claim.request = c.request.request;
    c.claim.attempt = c.attempt;
    c.claim.router = self_;
    c.claim.endpoint = c.current_placement.endpoint;
    c.claim.agent = c.current_placement.agent;
    c.claim.incarnation = c.current_placement.incarnation;
    c.claim.body_hash = c.body_hash;
    c.version = 0;
    auto const started = clock_.now();
    store_.commit(
        {row_write{
            claim_key(c.request.request), encode_claim(c.claim),
            row_version{0}}},
        store_timeout(c),
        bind_to_step(
            c,
            [this, started](open_call& at, commit_result const& result)
            {
                claim_seconds_.record(
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        clock_.now() - started));
                on_claim_commit_result(at, result);
            }));
}

void call_coordinator::on_claim_commit_result(
    open_call& c, commit_result const& result)
{
    switch (result.status)
    {
    case store_status::ok:
        c.version = result.versions.at(0);
        if (c.waiters.empty())
            start_closing(c, false, "the caller's timeout passed first");
        else
            dispatch(c);
        return;
    case store_status::conflict:
    {
        conflicts_total_.add();
        auto const* present =
            find_row(result.conflicts, claim_key(c.request.request));
        if (present)
            adopt_claim(c, *present);
        else
            start_closing(c, false, "conflict without the present row");
        return;
    }
    case store_status::unavailable:
        release_placement(c, true);
        finish(
            c, refused_reply(
                   error_code::store_unavailable, "the claim was not written"));
        return;
    case store_status::unknown:
        // The write may still be applied later, so the row is closed and the
        // call is never dispatched.
        start_closing(c, false, "the claim write had no answer");
        return;
    }
}

/// The key already has a row, which decides the reply to this submission.
void call_coordinator::adopt_claim(open_call& c, row const& present)
{
    auto const claim = decode_claim(present.value);
    if (claim)
        adopt_claim(c, *claim, present.version);
    else
    {
        release_placement(c, true);
        finish(c, unknown_reply("the claim row is not readable"));
    }
}

void call_coordinator::adopt_claim(
    open_call& c, claim_row const& claim, row_version version)
{
    bool const own = c.phase == call_phase::claiming && is_own_claim(c, claim);
    if (own && claim.state == claim_state::claimed)
    {
        // The store client retried a write that had been applied.
        on_claim_commit_result(
            c, commit_result{store_status::ok, {}, {version}});
        return;
    }
    release_placement(c, true);
    if (claim.body_hash != c.body_hash)
    {
        finish(c, key_reused_reply());
        return;
    }
    c.claim = claim;
    c.version = version;
    log_decision(c, "adopt_claim", "the key has a row");
    if (claim.state == claim_state::not_run)
        finish(c, not_run_reply(claim.detail));
    else if (claim.state == claim_state::done && claim.result_kept)
        finish(c, done_reply(claim));
    else if (c.waiters.empty())
        finish(c, unknown_reply("nobody waits"));
    else
        start_querying(c);
}

bool call_coordinator::is_own_claim(
    open_call const& c, claim_row const& present) const
{
    return present.attempt == c.claim.attempt &&
           present.router == c.claim.router;
}

// ---- running --------------------------------------------------------------

void call_coordinator::dispatch(open_call& c)
{
    begin_step(c, call_phase::running);
    c.dispatched = true;
    c.retry_count = 0;
    c.query_unanswered = false;
    dispatch_call m;
    m.request = c.request.request;
    m.attempt = c.attempt;
    m.permit = c.current_placement.permit;
    m.incarnation = c.current_placement.incarnation;
    m.organisation = c.request.organisation;
    m.service = c.request.service;
    m.operation = c.request.operation;
    m.method = c.request.method;
    m.path = c.request.path;
    m.content_type = c.request.content_type;
    m.body = c.request.body;
    m.repeatable = c.request.repeatable;
    m.timeout = std::max(
        min_timeout,
        std::chrono::duration_cast<milliseconds>(remaining_time(c)));
    log_decision(c, "dispatch_call", c.attempt_count > 1 ? "retry" : "placed");
    transport_.send(c.current_placement.agent, std::move(m));
    schedule_query(c, policy_.current().recovery.silent_after);
}

void call_coordinator::on_message(peer_id const&, message const& m)
{
    auto const* result = std::get_if<call_result>(&m);
    if (!result)
        return;
    auto const found = calls_.find(result->request);
    if (found == calls_.end())
        return;
    open_call& c = found->second;
    if (c.request.repeatable)
        on_repeatable_result(c, *result);
    else if (c.phase == call_phase::running || c.phase == call_phase::querying)
        on_result(c, *result);
}

void call_coordinator::on_result(open_call& c, call_result const& result)
{
    if (result.attempt != c.claim.attempt)
        return;
    if (result.incarnation != c.claim.incarnation)
    {
        finish_unknown(c, "the agent restarted: " + result.detail);
        return;
    }
    switch (result.outcome)
    {
    case call_outcome::done:
        complete_call(c, result);
        return;
    case call_outcome::not_run:
        start_closing(c, true, result.detail);
        return;
    case call_outcome::running:
        c.query_unanswered = false;
        c.retry_count = 0;
        schedule_query(c, policy_.current().recovery.silent_after);
        return;
    case call_outcome::unknown:
        if (c.phase == call_phase::querying && !c.close_requested)
            // Queried again once the permit has expired.
            c.query_unanswered = false;
        else
            finish_unknown(c, result.detail);
        return;
    case call_outcome::refused:
        return; // never sent by agents
    }
}

void call_coordinator::on_repeatable_result(
    open_call& c, call_result const& result)
{
    // A late result of an earlier attempt of this submission is accepted too.
    attempt_number const first = c.attempt - (c.attempt_count - 1);
    bool const of_this_submission =
        result.attempt >= first && result.attempt <= c.attempt;
    if (of_this_submission && result.outcome == call_outcome::done)
    {
        if (c.phase == call_phase::placing)
            dispatcher_.withdraw(c.request.request, c.attempt);
        release_placement(c, true);
        finish(c, done_reply(result));
        return;
    }
    if (result.attempt != c.attempt || c.phase != call_phase::running)
        return;
    if (result.outcome == call_outcome::running)
    {
        c.query_unanswered = false;
        c.retry_count = 0;
        schedule_query(c, policy_.current().recovery.silent_after);
    }
    else
        retry(c, result.detail);
}

/// Abandons the current attempt. For repeatable calls only.
void call_coordinator::retry(open_call& c, std::string const& reason)
{
    log_decision(c, "retry_call", reason);
    release_placement(c, false);
    c.excluded.insert(c.current_placement.endpoint);
    if (c.attempt_count >= policy_.current().retry.max_attempts ||
        remaining_time(c) <= min_timeout)
    {
        finish(c, unknown_reply(reason));
        return;
    }
    retries_total_.add();
    request_placement(c);
}

void call_coordinator::complete_call(open_call& c, call_result const& result)
{
    if (c.claim.state == claim_state::claimed)
    {
        c.claim.state = claim_state::done;
        c.claim.status = result.status;
        c.claim.content_type = result.content_type;
        c.claim.result_kept = result.body.size() <= max_row_result_bytes;
        if (c.claim.result_kept)
            c.claim.body = result.body;
        c.claim.detail = result.detail;
        write_result_row(c.claim, c.version, 0);
    }
    release_placement(c, true);
    finish(c, done_reply(result));
}

void call_coordinator::finish_unknown(open_call& c, std::string const& detail)
{
    release_placement(c, false);
    remember_unresolved(c);
    bool const ran = c.claim.state == claim_state::done;
    finish(
        c,
        unknown_reply(
            ran ? "the call ran with status " + std::to_string(c.claim.status) +
                      "; its result is no longer kept"
                : detail));
}

// ---- querying -------------------------------------------------------------

void call_coordinator::start_querying(open_call& c)
{
    begin_step(c, call_phase::querying);
    c.retry_count = 0;
    c.query_unanswered = false;
    c.close_requested = false;
    // The router that wrote the claim may be about to dispatch. After this time
    // its permit has expired, so closing the call cannot prevent a valid run.
    c.close_not_before = clock_.now() + policy_.current().queue.offer_validity;
    send_query(c);
}

void call_coordinator::send_query(open_call& c)
{
    auto const& recovery = policy_.current().recovery;
    auto const agent = current_agent(c);
    if (c.request.repeatable && c.retry_count > 1 && c.query_unanswered)
    {
        retry(c, "no answer from the agent");
        return;
    }
    if (c.query_unanswered)
        transport_.reconnect(agent);
    query_call q;
    q.request = c.request.request;
    q.attempt = c.request.repeatable ? c.attempt : c.claim.attempt;
    q.incarnation = c.request.repeatable ? c.current_placement.incarnation
                                         : c.claim.incarnation;
    q.close_if_not_run =
        c.phase == call_phase::running || clock_.now() >= c.close_not_before;
    c.close_requested = c.close_requested || q.close_if_not_run;
    c.query_unanswered = true;
    queries_total_.add();
    transport_.send(agent, q);
    auto delay = backoff(recovery.check_timeout, c.retry_count++);
    if (c.phase == call_phase::querying && !c.close_requested)
        delay = std::min(delay, c.close_not_before - clock_.now());
    schedule_query(c, std::max<duration>(delay, min_timeout));
}

void call_coordinator::schedule_query(open_call& c, duration delay)
{
    start_timer(c, delay, &call_coordinator::send_query);
}

void call_coordinator::on_disconnected(peer_id const& peer)
{
    std::vector<request_id> affected;
    for (auto const& [request, c] : calls_)
    {
        bool const awaits_agent =
            c.phase == call_phase::running || c.phase == call_phase::querying;
        if (awaits_agent && current_agent(c) == peer)
            affected.push_back(request);
    }
    for (auto const& request : affected)
    {
        auto const found = calls_.find(request);
        if (found == calls_.end())
            continue;
        open_call& c = found->second;
        if (c.request.repeatable)
            retry(c, "connection lost");
        else
            schedule_query(
                c, std::min<duration>(
                       policy_.current().recovery.check_timeout,
                       remaining_time(c)));
    }
}

/// The agent that currently serves the claim's endpoint. Its address may have
/// changed since the claim was written, and a new incarnation replies at once
/// that the outcome is unknown.
peer_id call_coordinator::current_agent(open_call const& c) const
{
    if (c.request.repeatable)
        return c.current_placement.agent;
    auto const info = endpoints_.find(c.claim.endpoint);
    return info && !info->agent.empty() ? info->agent : c.claim.agent;
}

// ---- closing --------------------------------------------------------------

void call_coordinator::start_closing(
    open_call& c, bool agent_reported_not_run, std::string detail)
{
    release_placement(c, agent_reported_not_run ? false : true);
    begin_step(c, call_phase::closing);
    c.agent_reported_not_run = agent_reported_not_run;
    c.retry_count = 0;
    c.retry_until = clock_.now() + policy_.current().call.result_kept_for;
    c.claim.state = claim_state::not_run;
    c.claim.detail = std::move(detail);
    write_closed_row(c);
}

/// Replaces the claim by a closed row. If the claim write has not been applied
/// yet, the closed row makes its condition fail, so it never will be.
void call_coordinator::write_closed_row(open_call& c)
{
    store_.commit(
        {row_write{
            claim_key(c.request.request), encode_claim(c.claim), c.version}},
        policy_.current().call.store_timeout,
        bind_to_step(
            c, [this](open_call& at, commit_result const& result)
            { on_close_commit_result(at, result); }));
}

void call_coordinator::on_close_commit_result(
    open_call& c, commit_result const& result)
{
    if (result.status == store_status::ok)
    {
        finish(c, not_run_reply(c.claim.detail));
        return;
    }
    if (result.status == store_status::conflict)
    {
        auto const* present =
            find_row(result.conflicts, claim_key(c.request.request));
        auto const claim =
            present ? decode_claim(present->value) : std::nullopt;
        if (claim && is_own_claim(c, *claim) &&
            claim->state == claim_state::claimed)
        {
            c.version = present->version;
            write_closed_row(c);
            return;
        }
        if (present && present->version != 0)
        {
            adopt_claim(c, *present);
            return;
        }
        c.version = 0;
    }
    if (c.agent_reported_not_run)
        reply_to_waiters(c, not_run_reply(c.claim.detail));
    if (c.waiters.empty() && clock_.now() >= c.retry_until)
    {
        finish(c, unknown_reply(c.claim.detail));
        return;
    }
    start_timer(
        c, backoff(initial_store_retry_delay, c.retry_count++),
        &call_coordinator::write_closed_row);
}

/// Stores the result in the row, in the background. Until then it is available
/// from the agent.
void call_coordinator::write_result_row(
    claim_row const& claim, row_version at, unsigned retry_count)
{
    store_.commit(
        {row_write{claim_key(claim.request), encode_claim(claim), at}},
        policy_.current().call.store_timeout,
        guard_.wrap(
            [this, claim, at, retry_count](commit_result const& result)
            {
                bool const settled = result.status == store_status::ok ||
                                     result.status == store_status::conflict;
                if (settled || retry_count + 1 >= max_result_write_attempts)
                    return;
                timers_.schedule(
                    backoff(initial_store_retry_delay, retry_count),
                    guard_.wrap(
                        [this, claim, at, retry_count]
                        { write_result_row(claim, at, retry_count + 1); }));
            }));
}

// ---- replies --------------------------------------------------------------

/// Ends the call. `c` is destroyed.
void call_coordinator::finish(open_call& c, call_reply const& reply)
{
    stop_timer(c);
    auto const waiters = std::exchange(c.waiters, {});
    if (reply.outcome != call_outcome::unknown)
        unresolved_.erase(c.request.request);
    calls_.erase(request_id(c.request.request));
    for (auto const& w : waiters)
    {
        timers_.cancel(w.deadline_timer);
        count_reply(reply);
        w.done(reply);
    }
}

/// Replies to all waiting callers while the call continues.
void call_coordinator::reply_to_waiters(open_call& c, call_reply const& reply)
{
    for (auto const& w : std::exchange(c.waiters, {}))
    {
        timers_.cancel(w.deadline_timer);
        count_reply(reply);
        // Deferred, because the callback may submit this key again.
        reply_later(w.done, reply);
    }
}

void call_coordinator::reply_later(
    std::function<void(call_reply)> done, call_reply const& reply)
{
    timers_.schedule(
        duration{},
        guard_.wrap([done = std::move(done), reply] { done(reply); }));
}

void call_coordinator::count_reply(call_reply const& reply)
{
    switch (reply.outcome)
    {
    case call_outcome::done:
        done_total_.add();
        return;
    case call_outcome::not_run:
        not_run_total_.add();
        return;
    case call_outcome::refused:
        refused_total_.add();
        return;
    case call_outcome::unknown:
    case call_outcome::running:
        unknown_total_.add();
        return;
    }
}

void call_coordinator::remember_unresolved(open_call const& c)
{
    if (c.request.repeatable)
        return;
    if (unresolved_.count(c.request.request) == 0)
        unresolved_order_.push_back(c.request.request);
    unresolved_[c.request.request] = unresolved_claim{c.claim, c.version};
    while (unresolved_order_.size() > max_unresolved_claims)
    {
        unresolved_.erase(unresolved_order_.front());
        unresolved_order_.pop_front();
    }
}

// ---- helpers --------------------------------------------------------------

void call_coordinator::begin_step(open_call& c, call_phase next)
{
    stop_timer(c);
    c.phase = next;
    c.step_id = ++last_step_id_;
}

void call_coordinator::start_timer(
    open_call& c, duration delay, void (call_coordinator::*action)(open_call&))
{
    stop_timer(c);
    c.step_timer = timers_.schedule(
        delay, bind_to_step(
                   c, [this, action](open_call& at) { (this->*action)(at); }));
}

void call_coordinator::stop_timer(open_call& c)
{
    timers_.cancel(std::exchange(c.step_timer, timer_id{0}));
}

duration call_coordinator::remaining_time(open_call const& c) const
{
    return std::max<duration>(c.deadline - clock_.now(), duration{});
}

duration call_coordinator::store_timeout(open_call const& c) const
{
    return std::clamp<duration>(
        remaining_time(c), min_timeout, policy_.current().call.store_timeout);
}

/// Exponential backoff: doubles with each retry up to max_retry_delay; half of
/// the delay is random.
duration call_coordinator::backoff(duration first, std::uint32_t retry_count)
{
    duration const full = std::min<duration>(
        first * (1 << std::min(retry_count, 6u)), max_retry_delay);
    double const share = 0.5 + 0.5 * random_.uniform();
    return std::chrono::duration_cast<duration>(full * share);
}

void call_coordinator::log_decision(
    open_call const& c, char const* step, std::string reason)
{
    decision d;
    d.step = step;
    d.request = c.request.request;
    d.attempt = c.attempt;
    d.rank = c.request.rank;
    d.organisation = c.request.organisation;
    d.choice = c.request.repeatable ? c.current_placement.endpoint.value()
                                    : c.claim.endpoint.value();
    d.reason = std::move(reason);
    log_.record(d);
}

} // namespace dotterellock
