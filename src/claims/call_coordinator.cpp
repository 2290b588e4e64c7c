// Index
//   submission : call, join, deadlines
//   placing    : place, refusal
//   claiming   : claim row, conflict
//   running    : dispatch, results, retries of idempotent calls
//   asking     : queries to the agent
//   closing    : rows closed as not_run, rows completed with a result
//   replies    : to the callers
#include "claims/call_coordinator.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

constexpr milliseconds min_timeout{1};
constexpr milliseconds first_store_retry{100};
constexpr milliseconds first_place_retry{50};
constexpr milliseconds max_backoff{5000};
constexpr unsigned max_result_writes = 6; // then the agent's memory serves
constexpr milliseconds resubmit_after{1000};

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

/// Nothing was sent and no claim is held; the key may be submitted again. It
/// is not `not_run`: without its row nobody can tell whether an earlier
/// submission of the key ran.
call_reply refused_reply(
    error_code code, std::string detail,
    milliseconds retry_after = milliseconds{0})
{
    return make_reply(
        call_outcome::refused, code, std::move(detail),
        retry_after.count() > 0 ? retry_after : resubmit_after);
}

call_reply closed_reply(std::string detail)
{
    return make_reply(
        call_outcome::not_run, error_code::not_run, std::move(detail));
}

call_reply unknown_reply(std::string detail)
{
    return make_reply(
        call_outcome::unknown, error_code::outcome_unknown, std::move(detail),
        resubmit_after);
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

row const* row_of(std::vector<row> const& rows, std::string const& key)
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
            timers_.cancel(w.deadline);
    }
}

// ---- submission -----------------------------------------------------------

void call_coordinator::call(
    call_request request, std::function<void(call_reply)> done)
{
    auto const hash = hash_call(request);
    if (request.timeout < min_timeout)
        request.timeout = policy_.current().call.default_timeout;

    auto const [found, fresh] = calls_.try_emplace(request.request);
    open_call& c = found->second;
    if (!fresh && c.body_hash != hash)
    {
        reply_later(std::move(done), key_reused_reply());
        return;
    }
    c.request.timeout = request.timeout;
    if (!fresh)
    {
        join(c, std::move(done));
        return;
    }
    c.request = std::move(request);
    c.body_hash = hash;
    // Random, so that submissions of one key at several routers, or one after
    // the other, never take each other's offers, claims or results for theirs.
    c.attempt = static_cast<attempt_number>(random_.below(1u << 30)) + 1;
    join(c, std::move(done));

    if (!c.request.repeatable && unresolved_.count(c.request.request) != 0)
        check_row(c, std::nullopt);
    else
        place(c);
}

void call_coordinator::join(open_call& c, std::function<void(call_reply)> done)
{
    waiter w;
    w.id = ++last_waiter_;
    w.done = std::move(done);
    w.deadline = timers_.schedule(
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
    after_deadline(c, w);
}

void call_coordinator::after_deadline(open_call& c, waiter const& w)
{
    auto reply = unknown_reply("no outcome within the caller's timeout");
    bool const last = c.waiters.empty();
    bool const searching =
        c.now_in == phase::placing || c.now_in == phase::checking;
    bool const in_doubt = unresolved_.count(c.request.request) != 0;
    if (last && searching && !c.sent && !in_doubt)
    {
        reply = refused_reply(
            error_code::deadline_exceeded, "no place within the timeout");
    }
    if (c.now_in == phase::closing && c.agent_stated)
        reply = closed_reply(c.claim.detail);

    // A claim in doubt is seen to its end without callers.
    if (last && c.now_in != phase::claiming && c.now_in != phase::closing)
    {
        if (c.now_in == phase::placing)
            dispatcher_.withdraw(c.request.request, c.attempt);
        if (c.now_in == phase::running || c.now_in == phase::asking)
            remember_unresolved(c);
        c.waiters.push_back(w);
        finish(c, reply);
        return;
    }
    count(reply);
    w.done(reply);
}

std::size_t call_coordinator::open_calls() const
{
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(),
        [](auto const& entry) { return !entry.second.waiters.empty(); }));
}

// ---- placing --------------------------------------------------------------

void call_coordinator::place(open_call& c)
{
    begin_step(c, phase::placing);
    if (c.attempts++ > 0)
        ++c.attempt;
    auto const& policy = policy_.current();
    place_request wanted;
    wanted.request = c.request.request;
    wanted.attempt = c.attempt;
    wanted.organisation = c.request.organisation;
    wanted.rank = c.request.rank;
    wanted.kind = work_kind::call;
    wanted.service = c.request.service;
    wanted.payload_bytes = c.request.body.size();
    wanted.excluded = c.excluded;
    wanted.waiting_limit = std::min<duration>(
        remaining(c), policy.ranks[index_of(c.request.rank)].waiting_limit);
    wanted.is_retry = c.attempts > 1;
    dispatcher_.place(
        std::move(wanted),
        bind(
            c, [this](open_call& at, placement const& p) { on_placed(at, p); }),
        bind(c, [this](open_call& at, error const& e) { on_refused(at, e); }));
}

void call_coordinator::on_placed(open_call& c, placement const& p)
{
    c.place = p;
    c.placed = true;
    if (c.request.repeatable)
        dispatch(c);
    else
        write_claim(c);
}

void call_coordinator::on_refused(open_call& c, error const& e)
{
    if (!c.request.repeatable)
    {
        // Without a place nothing new can run, but the key may be an old one
        // whose outcome the row knows.
        check_row(c, e);
        return;
    }
    if (!c.excluded.empty() && remaining(c) > first_place_retry)
    {
        c.excluded.clear();
        begin_step(c, phase::placing);
        start_timer(c, backoff(first_place_retry, 0), &call_coordinator::place);
        return;
    }
    finish(
        c, c.sent ? make_reply(
                        call_outcome::unknown, e.code(), e.detail(),
                        e.retry_after())
                  : refused_reply(e.code(), e.detail(), e.retry_after()));
}

/// @param refusal  why there is no place; empty when none was sought yet
void call_coordinator::check_row(
    open_call& c, std::optional<error> const& refusal)
{
    begin_step(c, phase::checking);
    store_.read(
        {claim_key(c.request.request)}, store_timeout(c),
        bind(
            c, [this, refusal](open_call& at, read_result const& result)
            { on_checked(at, refusal, result); }));
}

void call_coordinator::on_checked(
    open_call& c, std::optional<error> const& refusal,
    read_result const& result)
{
    auto const* present = row_of(result.rows, claim_key(c.request.request));
    bool const readable = result.status == store_status::ok && present;
    if (readable && present->version != 0)
    {
        adopt(c, *present);
        return;
    }
    auto const known = unresolved_.find(c.request.request);
    if (!readable && known != unresolved_.end())
    {
        adopt(c, known->second.claim, known->second.version);
        return;
    }
    if (refusal)
    {
        finish(
            c, refused_reply(
                   refusal->code(), refusal->detail(), refusal->retry_after()));
    }
    else
        place(c);
}

/// Tells the dispatcher that the present attempt has ended.
void call_coordinator::leave_place(open_call& c, bool ok)
{
    if (!c.placed)
        return;
    c.placed = false;
    dispatcher_.finished(c.request.request, c.attempt, ok);
}

// ---- claiming -------------------------------------------------------------

void call_coordinator::write_claim(open_call& c)
{
    begin_step(c, phase::claiming);
    c.claim = claim_row{};
    c.claim.request = c.request.request;
    c.claim.attempt = c.attempt;
    c.claim.router = self_;
    c.claim.endpoint = c.place.endpoint;
    c.claim.agent = c.place.agent;
    c.claim.incarnation = c.place.incarnation;
    c.claim.body_hash = c.body_hash;
    c.version = 0;
    auto const begun = clock_.now();
    store_.commit(
        {row_write{
            claim_key(c.request.request), encode_claim(c.claim),
            row_version{0}}},
        store_timeout(c),
        bind(
            c,
            [this, begun](open_call& at, commit_result const& result)
            {
                claim_seconds_.record(
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        clock_.now() - begun));
                on_claim_answer(at, result);
            }));
}

void call_coordinator::on_claim_answer(
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
            row_of(result.conflicts, claim_key(c.request.request));
        if (present)
            adopt(c, *present);
        else
            start_closing(c, false, "conflict without the present row");
        return;
    }
    case store_status::unavailable:
        leave_place(c, true);
        finish(
            c, refused_reply(
                   error_code::store_unavailable, "the claim was not written"));
        return;
    case store_status::unknown:
        // The write may still be applied, so it is closed, never dispatched.
        start_closing(c, false, "the claim write had no answer");
        return;
    }
}

/// The key has a row: it decides what this submission is told.
void call_coordinator::adopt(open_call& c, row const& present)
{
    auto const claim = decode_claim(present.value);
    if (claim)
        adopt(c, *claim, present.version);
    else
    {
        leave_place(c, true);
        finish(c, unknown_reply("the claim row is not readable"));
    }
}

void call_coordinator::adopt(
    open_call& c, claim_row const& claim, row_version version)
{
    bool const own = c.now_in == phase::claiming && is_own(c, claim);
    if (own && claim.state == claim_state::claimed)
    {
        // A retry of the store client met its own earlier write.
        on_claim_answer(c, commit_result{store_status::ok, {}, {version}});
        return;
    }
    leave_place(c, true);
    if (claim.body_hash != c.body_hash)
    {
        finish(c, key_reused_reply());
        return;
    }
    c.claim = claim;
    c.version = version;
    log(c, "adopt_claim", "the key has a row");
    if (claim.state == claim_state::not_run)
        finish(c, closed_reply(claim.detail));
    else if (claim.state == claim_state::done && claim.result_kept)
        finish(c, done_reply(claim));
    else if (c.waiters.empty())
        finish(c, unknown_reply("nobody waits"));
    else
        ask(c);
}

bool call_coordinator::is_own(
    open_call const& c, claim_row const& present) const
{
    return present.attempt == c.claim.attempt &&
           present.router == c.claim.router;
}

// ---- running --------------------------------------------------------------

void call_coordinator::dispatch(open_call& c)
{
    begin_step(c, phase::running);
    c.sent = true;
    c.tries = 0;
    c.unanswered = false;
    dispatch_call m;
    m.request = c.request.request;
    m.attempt = c.attempt;
    m.permit = c.place.permit;
    m.incarnation = c.place.incarnation;
    m.organisation = c.request.organisation;
    m.service = c.request.service;
    m.operation = c.request.operation;
    m.method = c.request.method;
    m.path = c.request.path;
    m.content_type = c.request.content_type;
    m.body = c.request.body;
    m.repeatable = c.request.repeatable;
    m.timeout = std::max(
        min_timeout, std::chrono::duration_cast<milliseconds>(remaining(c)));
    log(c, "dispatch_call", c.attempts > 1 ? "retry" : "placed");
    transport_.send(c.place.agent, std::move(m));
    arm_probe(c, policy_.current().recovery.silent_after);
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
    else if (c.now_in == phase::running || c.now_in == phase::asking)
        on_result(c, *result);
}

void call_coordinator::on_result(open_call& c, call_result const& result)
{
    if (result.attempt != c.claim.attempt)
        return;
    if (result.incarnation != c.claim.incarnation)
    {
        outcome_unknown(c, "the agent restarted: " + result.detail);
        return;
    }
    switch (result.outcome)
    {
    case call_outcome::done:
        complete(c, result);
        return;
    case call_outcome::not_run:
        start_closing(c, true, result.detail);
        return;
    case call_outcome::running:
        c.unanswered = false;
        c.tries = 0;
        arm_probe(c, policy_.current().recovery.silent_after);
        return;
    case call_outcome::unknown:
        if (c.now_in == phase::asking && !c.close_asked)
            c.unanswered = false; // asked again once the permit has expired
        else
            outcome_unknown(c, result.detail);
        return;
    case call_outcome::refused:
        return; // agents do not send it
    }
}

void call_coordinator::on_repeatable_result(
    open_call& c, call_result const& result)
{
    // A late answer of an earlier attempt of this submission is as good.
    attempt_number const first = c.attempt - (c.attempts - 1);
    bool const of_this = result.attempt >= first && result.attempt <= c.attempt;
    if (of_this && result.outcome == call_outcome::done)
    {
        if (c.now_in == phase::placing)
            dispatcher_.withdraw(c.request.request, c.attempt);
        leave_place(c, true);
        finish(c, done_reply(result));
        return;
    }
    if (result.attempt != c.attempt || c.now_in != phase::running)
        return;
    if (result.outcome == call_outcome::running)
    {
        c.unanswered = false;
        c.tries = 0;
        arm_probe(c, policy_.current().recovery.silent_after);
    }
    else
        retry(c, result.detail);
}

/// Repeatable calls only: the present attempt is given up.
void call_coordinator::retry(open_call& c, std::string const& reason)
{
    log(c, "retry_call", reason);
    leave_place(c, false);
    c.excluded.insert(c.place.endpoint);
    if (c.attempts >= policy_.current().retry.max_attempts ||
        remaining(c) <= min_timeout)
    {
        finish(c, unknown_reply(reason));
        return;
    }
    retries_total_.add();
    place(c);
}

void call_coordinator::complete(open_call& c, call_result const& result)
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
        store_result(c.claim, c.version, 0);
    }
    leave_place(c, true);
    finish(c, done_reply(result));
}

void call_coordinator::outcome_unknown(open_call& c, std::string const& detail)
{
    leave_place(c, false);
    remember_unresolved(c);
    bool const ran = c.claim.state == claim_state::done;
    finish(
        c,
        unknown_reply(
            ran ? "the call ran with status " + std::to_string(c.claim.status) +
                      "; its result is no longer kept"
                : detail));
}

// ---- asking ---------------------------------------------------------------

void call_coordinator::ask(open_call& c)
{
    begin_step(c, phase::asking);
    c.tries = 0;
    c.unanswered = false;
    c.close_asked = false;
    // The claim's router may be about to dispatch; from then on its permit has
    // expired and closing takes nothing away from it.
    c.close_from = clock_.now() + policy_.current().queue.offer_validity;
    probe(c);
}

void call_coordinator::probe(open_call& c)
{
    auto const& recovery = policy_.current().recovery;
    auto const agent = agent_of(c);
    if (c.request.repeatable && c.tries > 1 && c.unanswered)
    {
        retry(c, "no answer from the agent");
        return;
    }
    if (c.unanswered)
        transport_.reconnect(agent);
    query_call q;
    q.request = c.request.request;
    q.attempt = c.request.repeatable ? c.attempt : c.claim.attempt;
    q.incarnation =
        c.request.repeatable ? c.place.incarnation : c.claim.incarnation;
    q.close_if_not_run =
        c.now_in == phase::running || clock_.now() >= c.close_from;
    c.close_asked = c.close_asked || q.close_if_not_run;
    c.unanswered = true;
    queries_total_.add();
    transport_.send(agent, q);
    auto delay = backoff(recovery.check_timeout, c.tries++);
    if (c.now_in == phase::asking && !c.close_asked)
        delay = std::min(delay, c.close_from - clock_.now());
    arm_probe(c, std::max<duration>(delay, min_timeout));
}

void call_coordinator::arm_probe(open_call& c, duration delay)
{
    start_timer(c, delay, &call_coordinator::probe);
}

void call_coordinator::on_disconnected(peer_id const& peer)
{
    std::vector<request_id> affected;
    for (auto const& [request, c] : calls_)
    {
        bool const waits =
            c.now_in == phase::running || c.now_in == phase::asking;
        if (waits && agent_of(c) == peer)
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
            arm_probe(
                c, std::min<duration>(
                       policy_.current().recovery.check_timeout, remaining(c)));
    }
}

/// The agent beside the endpoint today: it may have another address than when
/// the claim was made, and a new incarnation says at once that it cannot tell.
peer_id call_coordinator::agent_of(open_call const& c) const
{
    if (c.request.repeatable)
        return c.place.agent;
    auto const info = endpoints_.find(c.claim.endpoint);
    return info && !info->agent.empty() ? info->agent : c.claim.agent;
}

// ---- closing --------------------------------------------------------------

void call_coordinator::start_closing(
    open_call& c, bool agent_stated, std::string detail)
{
    leave_place(c, agent_stated ? false : true);
    begin_step(c, phase::closing);
    c.agent_stated = agent_stated;
    c.tries = 0;
    c.given_up_at = clock_.now() + policy_.current().call.result_kept_for;
    c.claim.state = claim_state::not_run;
    c.claim.detail = std::move(detail);
    write_closed(c);
}

/// Writes the closed row over the claim, or in its place when the claim write
/// has not been applied: then it never can be.
void call_coordinator::write_closed(open_call& c)
{
    store_.commit(
        {row_write{
            claim_key(c.request.request), encode_claim(c.claim), c.version}},
        policy_.current().call.store_timeout,
        bind(
            c, [this](open_call& at, commit_result const& result)
            { on_closed_answer(at, result); }));
}

void call_coordinator::on_closed_answer(
    open_call& c, commit_result const& result)
{
    if (result.status == store_status::ok)
    {
        finish(c, closed_reply(c.claim.detail));
        return;
    }
    if (result.status == store_status::conflict)
    {
        auto const* present =
            row_of(result.conflicts, claim_key(c.request.request));
        auto const claim =
            present ? decode_claim(present->value) : std::nullopt;
        if (claim && is_own(c, *claim) && claim->state == claim_state::claimed)
        {
            c.version = present->version;
            write_closed(c);
            return;
        }
        if (present && present->version != 0)
        {
            adopt(c, *present);
            return;
        }
        c.version = 0;
    }
    if (c.agent_stated)
        reply_all(c, closed_reply(c.claim.detail));
    if (c.waiters.empty() && clock_.now() >= c.given_up_at)
    {
        finish(c, unknown_reply(c.claim.detail));
        return;
    }
    start_timer(
        c, backoff(first_store_retry, c.tries++),
        &call_coordinator::write_closed);
}

/// Completes the row in the background; until then the agent has the result.
void call_coordinator::store_result(
    claim_row const& claim, row_version at, unsigned tries)
{
    store_.commit(
        {row_write{claim_key(claim.request), encode_claim(claim), at}},
        policy_.current().call.store_timeout,
        guard_.wrap(
            [this, claim, at, tries](commit_result const& result)
            {
                bool const settled = result.status == store_status::ok ||
                                     result.status == store_status::conflict;
                if (settled || tries + 1 >= max_result_writes)
                    return;
                timers_.schedule(
                    backoff(first_store_retry, tries),
                    guard_.wrap([this, claim, at, tries]
                                { store_result(claim, at, tries + 1); }));
            }));
}

// ---- replies --------------------------------------------------------------

/// Ends the call; `c` is gone afterwards.
void call_coordinator::finish(open_call& c, call_reply const& reply)
{
    stop_timer(c);
    auto const waiters = std::exchange(c.waiters, {});
    if (reply.outcome != call_outcome::unknown)
        unresolved_.erase(c.request.request);
    calls_.erase(request_id(c.request.request));
    for (auto const& w : waiters)
    {
        timers_.cancel(w.deadline);
        count(reply);
        w.done(reply);
    }
}

/// Answers the callers of a call that goes on without them.
void call_coordinator::reply_all(open_call& c, call_reply const& reply)
{
    for (auto const& w : std::exchange(c.waiters, {}))
    {
        timers_.cancel(w.deadline);
        count(reply);
        // Later, since a callback may submit this key again.
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

void call_coordinator::count(call_reply const& reply)
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
    unresolved_[c.request.request] = unresolved{c.claim, c.version};
    while (unresolved_order_.size() > max_unresolved_claims)
    {
        unresolved_.erase(unresolved_order_.front());
        unresolved_order_.pop_front();
    }
}

// ---- helpers --------------------------------------------------------------

void call_coordinator::begin_step(open_call& c, phase next)
{
    stop_timer(c);
    c.now_in = next;
    c.step = ++last_step_;
}

void call_coordinator::start_timer(
    open_call& c, duration delay, void (call_coordinator::*action)(open_call&))
{
    stop_timer(c);
    c.timer = timers_.schedule(
        delay, bind(c, [this, action](open_call& at) { (this->*action)(at); }));
}

void call_coordinator::stop_timer(open_call& c)
{
    timers_.cancel(std::exchange(c.timer, timer_id{0}));
}

duration call_coordinator::remaining(open_call const& c) const
{
    return std::max<duration>(c.deadline - clock_.now(), duration{});
}

duration call_coordinator::store_timeout(open_call const& c) const
{
    return std::clamp<duration>(
        remaining(c), min_timeout, policy_.current().call.store_timeout);
}

/// Doubles with each try; half of the delay is random.
duration call_coordinator::backoff(duration first, std::uint32_t tries)
{
    duration const full =
        std::min<duration>(first * (1 << std::min(tries, 6u)), max_backoff);
    double const share = 0.5 + 0.5 * random_.uniform();
    return std::chrono::duration_cast<duration>(full * share);
}

void call_coordinator::log(
    open_call const& c, char const* step, std::string reason)
{
    decision d;
    d.step = step;
    d.request = c.request.request;
    d.attempt = c.attempt;
    d.rank = c.request.rank;
    d.organisation = c.request.organisation;
    d.choice = c.request.repeatable ? c.place.endpoint.value()
                                    : c.claim.endpoint.value();
    d.reason = std::move(reason);
    log_.record(d);
}

} // namespace dotterellock
