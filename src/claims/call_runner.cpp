#include "claims/call_runner.hpp"

namespace dotterellock
{

namespace
{

// Estimated fixed memory per kept result: hash table node, queue entry and
// string objects.
constexpr std::size_t result_overhead_bytes = 400;

} // namespace

call_runner::call_runner(
    incarnation own_incarnation, clock_source& clock, timer_service& timers,
    peer_transport& transport, plain_service& service, permit_issuer& permits,
    policy_source const& policy, counter_registry& counters)
    : own_incarnation_(own_incarnation), clock_(clock), timers_(timers),
      transport_(transport), service_(service), permits_(permits),
      policy_(policy), decisions_(own_incarnation, max_decisions),
      forwarded_total_(counters.counter("calls_passed_on_total")),
      refused_total_(counters.counter("calls_refused_total")),
      queries_total_(counters.counter("call_queries_total"))
{
}

call_runner::~call_runner()
{
    timers_.cancel(expiry_timer_);
}

void call_runner::on_message(peer_id const& from, message const& m)
{
    if (auto const* call = std::get_if<dispatch_call>(&m))
        on_dispatch(from, *call);
    else if (auto const* query = std::get_if<query_call>(&m))
        on_query(from, *query);
}

// A forwarded call continues when its router disconnects. The result is kept
// for the next router that queries it.
void call_runner::on_disconnected(peer_id const&) {}

std::size_t call_runner::running_calls() const
{
    return running_count_;
}

std::size_t call_runner::memory_bytes() const
{
    return result_bytes_ + decisions_.memory_bytes();
}

// ---- dispatch -------------------------------------------------------------

void call_runner::on_dispatch(peer_id const& from, dispatch_call const& call)
{
    if (call.incarnation != own_incarnation_)
    {
        // The earlier incarnation may have received a copy of this message,
        // so this one cannot report not_run.
        refused_total_.add();
        send_result(
            from, result_for(
                      call.request, call.attempt, call_outcome::unknown,
                      "dispatched to an earlier incarnation"));
        return;
    }
    if (call.repeatable)
        dispatch_repeatable(from, call);
    else
        dispatch_non_repeatable(from, call);
}

void call_runner::dispatch_non_repeatable(
    peer_id const& from, dispatch_call const& call)
{
    auto const found = call_records_.find(call.request);
    if (found != call_records_.end() &&
        found->second.result.outcome == call_outcome::running)
    {
        found->second.listeners.insert(from);
        return;
    }
    if (decisions_.was_forwarded(call.request) ||
        decisions_.was_closed(call.request))
    {
        refused_total_.add();
        send_result(from, recorded_result(call.request, call.attempt));
        return;
    }
    auto const refusal = permits_.redeem(
        call.permit, call.request, call.attempt, call.incarnation);
    if (refusal)
    {
        refused_total_.add();
        if (decisions_.is_complete())
            decisions_.record_closed(call.request);
        auto result = recorded_result(call.request, call.attempt);
        result.detail = std::string("permit refused: ") + to_string(*refusal);
        send_result(from, result);
        return;
    }
    decisions_.record_forwarded(call.request);
    forward_call(from, call);
}

void call_runner::forward_call(peer_id const& from, dispatch_call const& call)
{
    call_record& r = call_records_[call.request];
    r.result =
        result_for(call.request, call.attempt, call_outcome::running, "");
    r.listeners.insert(from);
    ++running_count_;
    forwarded_total_.add();
    service_.call(
        call, guard_.wrap([this, request = call.request,
                           permit = call.permit](service_answer const& answer)
                          { finish_call(request, permit, answer); }));
}

void call_runner::finish_call(
    request_id const& request, permit_id permit, service_answer const& answer)
{
    --running_count_;
    permits_.release(permit, 1);
    call_record& r = call_records_[request];
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
    r.bytes = result_overhead_bytes + 2 * request.value().size() +
              r.result.body.size() + r.result.content_type.size() +
              r.result.detail.size();
    result_bytes_ += r.bytes;
    auto const expiry = clock_.now() + policy_.current().call.result_kept_for;
    results_by_expiry_.emplace_back(expiry, request);
    auto const listeners = std::exchange(r.listeners, {});
    for (auto const& peer : listeners)
        send_result(peer, r.result);
    expire_results();
}

// Nothing is recorded for a repeatable call after it ends. Duplicates of its
// dispatch message are ignored while it runs.
void call_runner::dispatch_repeatable(
    peer_id const& from, dispatch_call const& call)
{
    attempt_key const key{call.request, call.attempt};
    if (running_repeatable_.count(key) != 0)
        return;
    auto const refusal = permits_.redeem(
        call.permit, call.request, call.attempt, call.incarnation);
    if (refusal)
    {
        refused_total_.add();
        send_result(
            from, result_for(
                      call.request, call.attempt, call_outcome::not_run,
                      std::string("permit refused: ") + to_string(*refusal)));
        return;
    }
    running_repeatable_.insert(key);
    ++running_count_;
    forwarded_total_.add();
    service_.call(
        call, guard_.wrap(
                  [this, from, key,
                   permit = call.permit](service_answer const& answer)
                  {
                      --running_count_;
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
                      send_result(from, result);
                  }));
}

// ---- queries --------------------------------------------------------------

void call_runner::on_query(peer_id const& from, query_call const& query)
{
    queries_total_.add();
    if (query.incarnation != own_incarnation_)
    {
        send_result(
            from, result_for(
                      query.request, query.attempt, call_outcome::unknown,
                      "the agent restarted after the dispatch"));
        return;
    }
    if (running_repeatable_.count({query.request, query.attempt}) != 0)
    {
        send_result(
            from, result_for(
                      query.request, query.attempt, call_outcome::running, ""));
        return;
    }
    bool const never_seen = !decisions_.was_forwarded(query.request) &&
                            !decisions_.was_closed(query.request);
    if (query.close_if_not_run && never_seen && decisions_.is_complete())
        decisions_.record_closed(query.request);
    auto const found = call_records_.find(query.request);
    if (found != call_records_.end() &&
        found->second.result.outcome == call_outcome::running)
        found->second.listeners.insert(from);
    send_result(from, recorded_result(query.request, query.attempt));
}

call_result call_runner::recorded_result(
    request_id const& request, attempt_number attempt) const
{
    auto const found = call_records_.find(request);
    if (found != call_records_.end())
    {
        if (found->second.result.attempt == attempt)
            return found->second.result;
        return result_for(
            request, attempt, call_outcome::unknown,
            "dispatched under another attempt");
    }
    // Check for a forwarded call first: if its digest collides with that of a
    // closed call, `unknown` is the safe reply.
    if (decisions_.was_forwarded(request))
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

// ---- expiry ---------------------------------------------------------------

void call_runner::expire_results()
{
    while (!results_by_expiry_.empty() &&
           (results_by_expiry_.front().first <= clock_.now() ||
            result_bytes_ > max_result_bytes))
    {
        auto const found =
            call_records_.find(results_by_expiry_.front().second);
        result_bytes_ -= found->second.bytes;
        call_records_.erase(found);
        results_by_expiry_.pop_front();
    }
    if (expiry_timer_ != 0 || results_by_expiry_.empty())
        return;
    expiry_timer_ = timers_.schedule(
        results_by_expiry_.front().first - clock_.now(),
        [this]
        {
            expiry_timer_ = 0;
            expire_results();
        });
}

// ---- replies --------------------------------------------------------------

call_result call_runner::result_for(
    request_id const& request, attempt_number attempt, call_outcome outcome,
    std::string detail) const
{
    call_result result;
    result.request = request;
    result.attempt = attempt;
    result.incarnation = own_incarnation_;
    result.outcome = outcome;
    result.detail = std::move(detail);
    return result;
}

void call_runner::send_result(peer_id const& to, call_result const& result)
{
    transport_.send(to, result);
}

} // namespace dotterellock
