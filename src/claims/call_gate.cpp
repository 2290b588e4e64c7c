#include "claims/call_gate.hpp"

namespace dotterellock
{

namespace
{

// Fixed cost of one kept result: hash node, queue entry, strings' headers.
constexpr std::size_t record_overhead_bytes = 400;

} // namespace

call_gate::call_gate(
    incarnation self, clock_source& clock, timer_service& timers,
    peer_transport& transport, plain_service& service, permit_issuer& permits,
    policy_source const& policy, counter_registry& counters)
    : self_(self), clock_(clock), timers_(timers), transport_(transport),
      service_(service), permits_(permits), policy_(policy),
      decisions_(self, max_decisions),
      runs_(counters.counter("calls_passed_on_total")),
      refused_(counters.counter("calls_refused_total")),
      queries_(counters.counter("call_queries_total"))
{
}

call_gate::~call_gate()
{
    timers_.cancel(forget_timer_);
}

void call_gate::on_message(peer_id const& from, message const& m)
{
    if (auto const* call = std::get_if<dispatch_call>(&m))
        dispatch(from, *call);
    else if (auto const* asked = std::get_if<query_call>(&m))
        query(from, *asked);
}

// A call that was passed on goes on without its router; the result waits here
// for the router that asks next.
void call_gate::on_disconnected(peer_id const&) {}

std::size_t call_gate::running_calls() const
{
    return running_;
}

std::size_t call_gate::memory_bytes() const
{
    return finished_bytes_ + decisions_.memory_bytes();
}

// ---- dispatch -------------------------------------------------------------

void call_gate::dispatch(peer_id const& from, dispatch_call const& call)
{
    if (call.incarnation != self_)
    {
        // A copy of this message may have reached the earlier incarnation, so
        // "not run" cannot be said here.
        refused_.add();
        reply(
            from, result_for(
                      call.request, call.attempt, call_outcome::unknown,
                      "dispatched to an earlier incarnation"));
        return;
    }
    if (call.repeatable)
        dispatch_repeatable(from, call);
    else
        dispatch_once(from, call);
}

void call_gate::dispatch_once(peer_id const& from, dispatch_call const& call)
{
    auto const found = records_.find(call.request);
    if (found != records_.end() &&
        found->second.result.outcome == call_outcome::running)
    {
        found->second.listeners.insert(from);
        return;
    }
    if (decisions_.was_passed_on(call.request) ||
        decisions_.was_closed(call.request))
    {
        refused_.add();
        reply(from, known(call.request, call.attempt));
        return;
    }
    auto const refused = permits_.redeem(
        call.permit, call.request, call.attempt, call.incarnation);
    if (refused)
    {
        refused_.add();
        if (decisions_.complete())
            decisions_.remember_closed(call.request);
        auto result = known(call.request, call.attempt);
        result.detail = std::string("permit refused: ") + to_string(*refused);
        reply(from, result);
        return;
    }
    decisions_.remember_passed_on(call.request);
    pass_on(from, call);
}

void call_gate::pass_on(peer_id const& from, dispatch_call const& call)
{
    record& r = records_[call.request];
    r.result =
        result_for(call.request, call.attempt, call_outcome::running, "");
    r.listeners.insert(from);
    ++running_;
    runs_.add();
    service_.call(
        call, guard_.wrap([this, request = call.request,
                           permit = call.permit](service_answer const& answer)
                          { finish(request, permit, answer); }));
}

void call_gate::finish(
    request_id const& request, permit_id permit, service_answer const& answer)
{
    --running_;
    permits_.release(permit, 1);
    record& r = records_[request];
    r.result.detail = answer.detail;
    if (!answer.sent)
        r.result.outcome = call_outcome::not_run;
    else if (!answer.answered)
        r.result.outcome = call_outcome::unknown;
    else
    {
        r.result.outcome = call_outcome::done;
        r.result.status = answer.status;
        r.result.content_type = answer.content_type;
        r.result.body = answer.body;
    }
    r.bytes = record_overhead_bytes + 2 * request.value().size() +
              r.result.body.size() + r.result.content_type.size() +
              r.result.detail.size();
    finished_bytes_ += r.bytes;
    auto const expiry = clock_.now() + policy_.current().call.result_kept_for;
    finished_.emplace_back(expiry, request);
    auto const listeners = std::exchange(r.listeners, {});
    for (auto const& peer : listeners)
        reply(peer, r.result);
    forget_results();
}

// A repeatable call leaves no memory behind; while it runs, copies of its
// message are recognised.
void call_gate::dispatch_repeatable(
    peer_id const& from, dispatch_call const& call)
{
    attempt_key const key{call.request, call.attempt};
    if (running_repeatable_.count(key) != 0)
        return;
    auto const refused = permits_.redeem(
        call.permit, call.request, call.attempt, call.incarnation);
    if (refused)
    {
        refused_.add();
        reply(
            from, result_for(
                      call.request, call.attempt, call_outcome::not_run,
                      std::string("permit refused: ") + to_string(*refused)));
        return;
    }
    running_repeatable_.insert(key);
    ++running_;
    runs_.add();
    service_.call(
        call, guard_.wrap(
                  [this, from, key,
                   permit = call.permit](service_answer const& answer)
                  {
                      --running_;
                      permits_.release(permit, 1);
                      running_repeatable_.erase(key);
                      auto result = result_for(
                          key.first, key.second,
                          !answer.sent      ? call_outcome::not_run
                          : answer.answered ? call_outcome::done
                                            : call_outcome::unknown,
                          answer.detail);
                      result.status = answer.status;
                      result.content_type = answer.content_type;
                      result.body = answer.body;
                      reply(from, result);
                  }));
}

// ---- questions ------------------------------------------------------------

void call_gate::query(peer_id const& from, query_call const& query)
{
    queries_.add();
    if (query.incarnation != self_)
    {
        reply(
            from, result_for(
                      query.request, query.attempt, call_outcome::unknown,
                      "the agent restarted after the dispatch"));
        return;
    }
    if (running_repeatable_.count({query.request, query.attempt}) != 0)
    {
        reply(
            from, result_for(
                      query.request, query.attempt, call_outcome::running, ""));
        return;
    }
    bool const never_seen = !decisions_.was_passed_on(query.request) &&
                            !decisions_.was_closed(query.request);
    if (query.close_if_not_run && never_seen && decisions_.complete())
        decisions_.remember_closed(query.request);
    auto const found = records_.find(query.request);
    if (found != records_.end() &&
        found->second.result.outcome == call_outcome::running)
        found->second.listeners.insert(from);
    reply(from, known(query.request, query.attempt));
}

call_result
call_gate::known(request_id const& request, attempt_number attempt) const
{
    auto const found = records_.find(request);
    if (found != records_.end())
    {
        if (found->second.result.attempt == attempt)
            return found->second.result;
        return result_for(
            request, attempt, call_outcome::unknown,
            "dispatched under another attempt");
    }
    // Passed on comes first: should two digests collide, "unknown" is safe.
    if (decisions_.was_passed_on(request))
    {
        return result_for(
            request, attempt, call_outcome::unknown,
            "passed on; the result is no longer kept");
    }
    if (decisions_.was_closed(request))
    {
        return result_for(
            request, attempt, call_outcome::not_run,
            "closed before it was passed on");
    }
    return result_for(request, attempt, call_outcome::unknown, "not seen");
}

// ---- memory ---------------------------------------------------------------

void call_gate::forget_results()
{
    while (!finished_.empty() && (finished_.front().first <= clock_.now() ||
                                  finished_bytes_ > max_result_bytes))
    {
        auto const found = records_.find(finished_.front().second);
        finished_bytes_ -= found->second.bytes;
        records_.erase(found);
        finished_.pop_front();
    }
    if (forget_timer_ != 0 || finished_.empty())
        return;
    forget_timer_ = timers_.schedule(
        finished_.front().first - clock_.now(),
        [this]
        {
            forget_timer_ = 0;
            forget_results();
        });
}

// ---- answers --------------------------------------------------------------

call_result call_gate::result_for(
    request_id const& request, attempt_number attempt, call_outcome outcome,
    std::string detail) const
{
    call_result result;
    result.request = request;
    result.attempt = attempt;
    result.incarnation = self_;
    result.outcome = outcome;
    result.detail = std::move(detail);
    return result;
}

void call_gate::reply(peer_id const& to, call_result const& result)
{
    transport_.send(to, result);
}

} // namespace dotterellock
