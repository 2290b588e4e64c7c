// Index: construction and dispatch; attempts; the endpoint's answer; the
// answer to the caller; time; the end.
#include "exchange.hpp"

#include <algorithm>
#include <utility>

#include <dotterellock/error.hpp>

#include "http/reason_phrase.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

milliseconds to_ms(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d);
}

std::string ms_text(duration d)
{
    return std::to_string(to_ms(d).count());
}

std::string seconds_text(milliseconds ms)
{
    auto const tenths = (ms.count() + 99) / 100;
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

/// 408, 421, 429 and 503 promise that a request did not run.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

char const* to_string(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::served:
        return "served";
    case attempt_outcome::failed_answer:
        return "failed_answer";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::misdirected:
        return "misdirected";
    case attempt_outcome::unreachable:
        return "unreachable";
    case attempt_outcome::lost:
        return "lost";
    case attempt_outcome::silent:
        return "silent";
    }
    return "unknown";
}

// Another gateway serves by then.
constexpr milliseconds retry_elsewhere{1000};

// Events that an endpoint has made while none came: more than the network
// delays.
constexpr std::uint64_t unheard_events = 5;

} // namespace

// Construction and dispatch --------------------------------------------------

relay_exchange::relay_exchange(
    std::uint64_t number, std::shared_ptr<client_session> session,
    admitted_request request, exchange_host& host)
    : number_(number), session_(std::move(session)),
      request_(std::move(request)), host_(host),
      copies_(std::make_shared<standby_copies>(host, request_.terms.id))
{
    auto const& terms = request_.terms;
    auto const& route = *request_.route;
    work_.service = request_.service;
    work_.affinity_key = terms.last_prompt_part.empty()
                             ? terms.id.value()
                             : terms.last_prompt_part;
    work_.prompt_tokens = terms.prompt_tokens;
    work_.output_tokens = terms.output_tokens;
    last_event_ = terms.last_event;
    auto const wait = terms.deadline.value_or(route.timeout);
    timeout_first_ = route.timeout < wait;
    deadline_ = request_.message.received + std::min(wait, route.timeout);
}

engine_spec const* relay_exchange::engine() const
{
    auto const* const service = request_.table->service(request_.service);
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

void relay_exchange::watch_caller()
{
    auto const weak = weak_from_this();
    session_->on_caller_gone(
        [weak]
        {
            if (auto const self = weak.lock())
                self->caller_gone();
        });
}

void relay_exchange::start(endpoint_id const& cached_at)
{
    if (state_ != state::fresh)
        return; // its caller left while the caches were listed
    work_.cached_endpoint = cached_at;
    host_.budget(request_.service).request_started(host_.clock().now());
    attempt_next();
}

bool relay_exchange::try_dispatch()
{
    if (state_ != state::waiting)
        return true;
    auto endpoint =
        host_.selection().choose(work_, engine(), host_.clock().now());
    if (!endpoint)
        return false;
    attempt(std::move(endpoint), std::nullopt);
    return true;
}

// Attempts -------------------------------------------------------------------

void relay_exchange::attempt_next()
{
    auto const now = host_.clock().now();
    // A run whose memory was copied goes on from the copy.
    if (auto const at = copies_->resume_at(stream_began_, now))
    {
        attempt(at->standby, at->copy);
        return;
    }
    copies_->reset();
    work_.resuming = answer_begun_;
    if (auto const* const spec = request_.table->service(request_.service))
        work_.connection_limit = host_.connection_share(*spec);
    if (auto endpoint = host_.selection().choose(work_, engine(), now))
    {
        attempt(std::move(endpoint), std::nullopt);
        return;
    }
    if (!work_.excluded.empty())
    {
        // Every other endpoint failed it too; one of them may be back.
        work_.excluded.clear();
        if (auto endpoint = host_.selection().choose(work_, engine(), now))
        {
            attempt(std::move(endpoint), std::nullopt);
            return;
        }
    }
    state_ = state::waiting;
    if (!host_.wait_for_room(shared_from_this()) && state_ == state::waiting)
        refuse("no_room", milliseconds(1000));
}

void relay_exchange::attempt(
    endpoint_ptr endpoint, std::optional<memory_copy> const& copy)
{
    auto const now = host_.clock().now();
    auto const* const spec = engine();
    state_ = state::attempting;
    endpoint_ = std::move(endpoint);
    used_copy_ = copy.has_value();
    alone_ = endpoint_->load.prefill_tokens == 0;
    reservation_ = endpoint_reservation(
        endpoint_, {1, spec != nullptr ? work_.memory_tokens() : 0,
                    spec != nullptr && !copy ? work_.prompt_tokens : 0});
    bool const copies =
        spec != nullptr && spec->standby_copies && request_.route->resumable;
    copies_->begin(endpoint_, work_, copies ? spec : nullptr, now);
    auto const standby = copies_->standby();
    if (spec != nullptr)
        host_.work_changed();
    sent_ = progress_ = now;
    stream_began_.reset();
    confirmed_at_.reset();
    head_.reset();
    held_.clear();
    events_ = {};
    attempt_streams_ = false;

    auto const& record = endpoint_->record();
    auto const address = parse_address(record.address);
    if (!address)
    {
        attempt_failed(attempt_outcome::unreachable, "bad_address");
        return;
    }
    host_.log().record(
        event_level::info, "dispatch",
        {{"request", request_.terms.id.value()},
         {"service", record.service.value()},
         {"endpoint", record.id.value()},
         {"zone", record.zone.value()},
         {"load", std::to_string(endpoint_->load.requests)},
         {"prefill", std::to_string(endpoint_->load.prefill_tokens)},
         {"standby", standby ? standby->record().id.value() : "-"},
         {"copy", used_copy_ ? "1" : "0"},
         {"prompt", std::to_string(work_.prompt_tokens)},
         {"after_event", last_event_ ? std::to_string(*last_event_) : "-"},
         {"runs", std::to_string(history_.runs)},
         {"left_ms", ms_text(deadline_ - now)}});
    bool const fresh = !request_.route->repeatable();
    connection_ = host_.pool().acquire(record, fresh);
    reused_connection_ = connection_->connected();
    connection_->send(
        *address, forwarded_request(record, copy), *this,
        request_.message.head.method == "HEAD");
}

std::string relay_exchange::forwarded_request(
    endpoint_record const& endpoint,
    std::optional<memory_copy> const& copy) const
{
    auto const& message = request_.message;
    std::string text =
        message.head.method + ' ' + message.head.target + " HTTP/1.1\r\n";
    for (auto const& [name, value] : message.head.headers)
    {
        if (host_.dialect().forwarded(name) &&
            !is_hop_by_hop(message.head.headers, name))
            text.append(name).append(": ").append(value).append("\r\n");
    }
    forward_terms terms;
    terms.id = request_.terms.id;
    terms.time_left =
        std::max(to_ms(deadline_ - host_.clock().now()), milliseconds(1));
    terms.expected = endpoint.id;
    terms.organisation = request_.organisation;
    if (request_.route->engine_prompt)
        terms.rank = request_.rank;
    terms.last_event = last_event_;
    if (auto const standby = copies_->standby())
        terms.standby = standby->record().address;
    terms.copy = copy;
    host_.dialect().write_terms(terms, text);
    bool const has_body =
        !message.body.empty() ||
        find_header(message.head.headers, "content-length") != nullptr ||
        find_header(message.head.headers, "transfer-encoding") != nullptr;
    if (has_body)
        text +=
            "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    text += "\r\n";
    text += message.body;
    return text;
}

void relay_exchange::release_attempt()
{
    if (connection_)
    {
        connection_->abandon();
        connection_.reset();
    }
    reservation_.release();
}

void relay_exchange::attempt_failed(attempt_outcome outcome, char const* reason)
{
    auto const now = host_.clock().now();
    auto const failed = endpoint_;
    release_attempt();
    attempt_policy::record(history_, outcome);
    trail_ += (trail_.empty() ? "" : ",") + failed->record().id.value() + ':' +
              reason;
    host_.log().record(
        event_level::warn, "attempt_failed",
        {{"request", request_.terms.id.value()},
         {"endpoint", failed->record().id.value()},
         {"zone", failed->record().zone.value()},
         {"outcome", to_string(outcome)},
         {"reason", reason},
         {"after_ms", ms_text(now - sent_)},
         {"events", std::to_string(events_sent_)},
         {"copy", used_copy_ ? "1" : "0"}});
    host_.count_failed_attempt(reason);
    // An idle connection may end as it is used; that is no sign of a fault.
    bool const stale =
        reused_connection_ && !head_ && outcome == attempt_outcome::lost;
    bool const no_copy = used_copy_ && outcome == attempt_outcome::refused;
    if (!stale && !no_copy)
        host_.report_outcome(failed, outcome);
    if (state_ == state::done)
        return; // the report ended this request as well
    if (!no_copy && !stale)
        work_.excluded.insert(failed->record().id.value());

    bool const time_left = deadline_ - now > min_time_left;
    bool const arrived = history_.runs + history_.refusals > 0;
    bool const budget =
        !arrived || host_.budget(request_.service).try_spend(now);
    auto const verdict = attempt_policy::decide(
        *request_.route, history_, outcome, time_left, budget);
    switch (verdict)
    {
    case attempt_decision::retry:
        attempt_next();
        break;
    case attempt_decision::forward_failure:
        complete_whole();
        break;
    case attempt_decision::reply_not_run:
        refuse(reason, answer_.retry_after.value_or(milliseconds(300)));
        break;
    case attempt_decision::reply_unknown:
        fail(502, reason);
        break;
    }
}

// The endpoint's answer ------------------------------------------------------

void relay_exchange::on_connected()
{
    endpoint_->record_activity(host_.clock().now());
}

void relay_exchange::on_answer_head(message_head head)
{
    auto const now = host_.clock().now();
    endpoint_->record_activity(now);
    answer_ = host_.dialect().read_answer(head);
    if (answer_.id && *answer_.id != request_.terms.id)
    {
        host_.log().record(
            event_level::warn, "foreign_answer",
            {{"request", request_.terms.id.value()},
             {"endpoint", endpoint_->record().id.value()},
             {"answers", answer_.id->value()}});
        connection_->skip_answer();
        return;
    }
    auto const* const type = find_header(head.headers, "content-type");
    attempt_streams_ = streaming() && head.status == 200 && answer_.sealed &&
                       type != nullptr &&
                       type->rfind("text/event-stream", 0) == 0;
    head_ = std::move(head);
}

void relay_exchange::on_answer_body(std::string_view bytes)
{
    auto const self = shared_from_this();
    endpoint_->record_activity(host_.clock().now());
    if (attempt_streams_)
    {
        events_.append(bytes);
        take_events();
        if (state_ == state::attempting && events_.overflowed())
            attempt_failed(attempt_outcome::lost, "oversized_event");
        return;
    }
    if (passing_)
    {
        session_->stream(bytes);
        return;
    }
    held_.append(bytes);
    if (held_.size() <= max_held_bytes)
        return;
    if (answer_begun_ || !answer_.sealed)
    {
        attempt_failed(attempt_outcome::lost, "oversized_answer");
        return;
    }
    begin_answer();
    passing_ = true;
    session_->stream(held_);
    held_.clear();
}

void relay_exchange::take_events()
{
    auto const now = host_.clock().now();
    bool any = false;
    std::string out;
    while (auto const event = events_.next())
    {
        // An endpoint that goes on repeats nothing, but one that was asked
        // without a position may.
        if (event->id && last_event_ && *event->id <= *last_event_)
            continue;
        if (event->id)
            last_event_ = *event->id;
        out += event->bytes;
        ++events_sent_;
        any = true;
    }
    progress_ = now;
    if (!any)
        return;
    if (!stream_began_)
    {
        stream_began_ = now;
        host_.work_changed();
    }
    if (!answer_begun_)
    {
        reservation_.prefill_done();
        if (alone_ && history_.runs == 0 && !request_.terms.last_event)
            host_.estimate(request_.service)
                .record(work_.prompt_tokens, now - sent_);
        begin_answer();
    }
    else
    {
        reservation_.prefill_done();
        longest_gap_ = std::max(longest_gap_, now - last_sent_);
    }
    last_sent_ = now;
    session_->stream(out);
    if (session_->unsent_bytes() > max_unsent_bytes)
    {
        session_->abort();
        caller_gone();
    }
}

void relay_exchange::on_answer_complete()
{
    auto const self = shared_from_this();
    auto const now = host_.clock().now();
    auto const& record = endpoint_->record();
    host_.pool().release(record, std::move(connection_), answer_.idle_timeout);
    connection_.reset();
    auto const status = head_->status;
    if (attempt_streams_)
    {
        complete_stream();
        return;
    }
    if (passing_)
    {
        host_.report_outcome(endpoint_, attempt_outcome::served);
        session_->end_stream();
        finish("served", status, {});
        return;
    }
    if (status == 421)
    {
        attempt_failed(attempt_outcome::misdirected, "misdirected");
        return;
    }
    if (answer_.not_run)
    {
        attempt_failed(attempt_outcome::refused, "refused");
        return;
    }
    bool const success = status >= 200 && status < 400;
    if ((success && !answer_.sealed) || answer_begun_)
    {
        attempt_failed(attempt_outcome::lost, "unsealed");
        return;
    }
    if (status >= 500)
    {
        attempt_failed(attempt_outcome::failed_answer, "endpoint_error");
        return;
    }
    endpoint_->record_latency(
        std::chrono::duration_cast<std::chrono::microseconds>(now - sent_));
    host_.report_outcome(endpoint_, attempt_outcome::served);
    complete_whole();
}

void relay_exchange::on_failure(connection_failure failure)
{
    auto const self = shared_from_this();
    auto const outcome = failure == connection_failure::not_connected
                             ? attempt_outcome::unreachable
                             : attempt_outcome::lost;
    if (passing_)
    {
        host_.report_outcome(endpoint_, outcome);
        session_->abort();
        finish("broken", 0, dotterellock::to_string(failure));
        return;
    }
    attempt_failed(outcome, dotterellock::to_string(failure));
}

// The answer to the caller ---------------------------------------------------

header_list relay_exchange::answer_headers() const
{
    header_list headers;
    for (auto const& [name, value] : head_->headers)
    {
        if (!is_hop_by_hop(head_->headers, name))
            headers.emplace_back(name, value);
    }
    return headers;
}

void relay_exchange::begin_answer()
{
    answer_begun_ = true;
    first_byte_ = host_.clock().now();
    last_sent_ = *first_byte_;
    session_->begin_stream(head_->status, head_->reason, answer_headers());
}

void relay_exchange::complete_whole()
{
    auto const status = head_->status;
    first_byte_ = host_.clock().now();
    // An endpoint's status that promises "not run" without its proof would be
    // a promise that nobody made.
    if (promises_not_run(status) || !answer_.sealed)
    {
        fail(502, "endpoint_error");
        return;
    }
    session_->answer(status, head_->reason, answer_headers(), held_);
    finish(status < 400 ? "served" : "failed", status, {});
}

void relay_exchange::complete_stream()
{
    if (events_.partial_bytes() > 0)
    {
        attempt_failed(attempt_outcome::lost, "cut_event");
        return;
    }
    host_.report_outcome(endpoint_, attempt_outcome::served);
    host_.stream_took(
        request_.service, host_.clock().now() - request_.message.received);
    if (!answer_begun_)
        begin_answer();
    session_->end_stream();
    copies_->free();
    finish("served", head_->status, {});
}

// Time -----------------------------------------------------------------------

void relay_exchange::check(steady_time now, bool paused)
{
    auto const self = shared_from_this();
    if (state_ == state::done)
        return;
    if (now >= deadline_)
    {
        if (state_ == state::waiting && history_.runs == 0)
            refuse("deadline", milliseconds(1000));
        else
            fail(504, timeout_first_ ? "route_timeout" : "deadline");
        return;
    }
    if (state_ != state::attempting)
        return;
    if (paused)
    {
        progress_ = now;
        return;
    }
    if (!connection_->connected())
    {
        // Opening packets are dropped by a host without power or with a full
        // queue; a repeat of the packet comes only after a second.
        constexpr milliseconds connect_timeout{200};
        if (now - sent_ > connect_timeout)
            attempt_failed(attempt_outcome::unreachable, "connect_timeout");
        return;
    }
    if (stream_began_)
        copies_->renew(now);
    auto const& route = *request_.route;
    bool const may_repeat =
        route.repeatable() && history_.runs + 1 < route.max_attempts;
    if (!may_repeat)
        return; // silence is no reason to end the only attempt
    if (engine() == nullptr)
    {
        auto const timeout =
            liveness_policy::call_timeout(route, endpoint_->latency());
        if (!streaming() && now - sent_ > timeout)
            attempt_failed(attempt_outcome::silent, "no_answer");
        return;
    }
    attempt_progress p;
    p.engine_prompt = true;
    p.stream_started = progress_ > sent_;
    p.since_sent = now - sent_;
    p.since_progress = now - progress_;
    p.since_activity = now - std::max(endpoint_->last_activity(), sent_);
    p.expected_first_event =
        host_.estimate(request_.service)
            .expected(
                std::max(endpoint_->load.prefill_tokens, work_.prompt_tokens));
    if (confirmed_at_)
        p.since_confirmed = now - *confirmed_at_;
    switch (liveness_policy::evaluate(route, p))
    {
    case liveness_decision::wait:
        break;
    case liveness_decision::check:
        host_.check_endpoint(endpoint_);
        break;
    case liveness_decision::give_up:
        attempt_failed(attempt_outcome::silent, "silent");
        break;
    }
}

void relay_exchange::endpoint_dead(
    endpoint_state const& endpoint, steady_time checked)
{
    if (state_ != state::attempting || endpoint_.get() != &endpoint ||
        progress_ > checked || !request_.route->repeatable())
        return;
    auto const self = shared_from_this();
    attempt_failed(attempt_outcome::lost, "endpoint_dead");
}

void relay_exchange::endpoint_reported(
    endpoint_state const& endpoint, endpoint_report const& report,
    steady_time checked)
{
    if (state_ != state::attempting || endpoint_.get() != &endpoint)
        return;
    // A report names the runs that have been admitted; others may wait. A run
    // that has made events which never came is lost to this connection.
    auto const run = report.runs.find(request_.terms.id.value());
    bool const unheard = run != report.runs.end() && !stream_began_ &&
                         run->second.events >= unheard_events;
    bool const known = run != report.runs.end() || report.waiting > 0;
    if (known && !unheard && checked >= sent_)
        confirmed_at_ = host_.clock().now();
    else
        confirmed_at_.reset();
}

// The end --------------------------------------------------------------------

void relay_exchange::refuse(char const* reason, milliseconds retry_after)
{
    // A refusal promises that nothing ran.
    if (answer_begun_ || history_.runs > 0)
    {
        fail(502, reason);
        return;
    }
    auto headers = host_.dialect().own_answer_headers(request_.terms.id);
    headers.emplace_back("Content-Type", "application/json");
    headers.emplace_back("Retry-After", seconds_text(retry_after));
    session_->answer(
        503, reason_phrase(503), headers,
        std::string("{\"error\":\"not_run\",\"reason\":\"") + reason + "\"}\n");
    finish("refused", 503, reason);
}

void relay_exchange::end_by_shutdown()
{
    // What was sent to an endpoint may have run there.
    if (state_ == state::attempting)
        fail(502, "grace_over");
    else if (state_ != state::done)
        refuse("grace_over", retry_elsewhere);
}

void relay_exchange::fail(unsigned status, char const* reason)
{
    release_attempt();
    if (answer_begun_)
    {
        session_->abort();
        finish("broken", 0, reason);
        return;
    }
    auto headers = host_.dialect().own_answer_headers(request_.terms.id);
    headers.emplace_back("Content-Type", "application/json");
    session_->answer(
        status, reason_phrase(status), headers,
        std::string("{\"error\":\"") + reason + "\"}\n");
    finish("failed", status, reason);
}

void relay_exchange::caller_gone()
{
    if (state_ == state::done)
        return;
    auto const self = shared_from_this();
    release_attempt();
    finish("caller_gone", 0, {});
}

void relay_exchange::finish(
    char const* outcome, unsigned status, std::string const& reason)
{
    auto const self = shared_from_this();
    auto const now = host_.clock().now();
    state_ = state::done;
    session_->on_caller_gone(nullptr);
    release_attempt();
    copies_->reset();
    host_.log().record(
        std::string_view(outcome) == "served" ? event_level::info
                                              : event_level::warn,
        "request",
        {{"request", request_.terms.id.value()},
         {"route", request_.route->name},
         {"organisation", request_.organisation.value()},
         {"rank", std::to_string(request_.rank)},
         {"outcome", outcome},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"endpoint", endpoint_ ? endpoint_->record().id.value() : "-"},
         {"failed_attempts", trail_.empty() ? "-" : trail_},
         {"events", std::to_string(events_sent_)},
         {"first_ms", first_byte_
                          ? ms_text(*first_byte_ - request_.message.received)
                          : "-"},
         {"gap_ms", ms_text(longest_gap_)},
         {"took_ms", ms_text(now - request_.message.received)},
         {"configuration", std::to_string(request_.table->version())}});
    request_result result;
    result.outcome = outcome;
    result.status = status;
    result.reason = reason;
    if (first_byte_)
        result.first_byte = *first_byte_ - request_.message.received;
    result.took = now - request_.message.received;
    host_.count_request(*this, result);
    host_.finished(self);
    host_.room_freed(request_.service);
}

} // namespace dotterellock
