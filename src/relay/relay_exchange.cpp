// Index: construction and dispatch; attempts; response from the endpoint;
// response to the caller; timeouts; prompts that crash endpoints; versions;
// completion.
#include "relay_exchange.hpp"

#include <algorithm>
#include <utility>

#include <dotterellock/error.hpp>

#include "http/reason_phrase.hpp"
#include "string_growth.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// A version that left the list is rarely back sooner.
constexpr milliseconds version_gone_retry_after{5000};

milliseconds to_ms(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d);
}

std::string milliseconds_text(duration d)
{
    return std::to_string(to_ms(d).count());
}

std::string seconds_text(milliseconds ms)
{
    auto const tenths = (ms.count() + 99) / 100;
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
}

/// 408, 421, 429 and 503 guarantee that a request did not run.
bool guarantees_not_run(unsigned status)
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

// By then another gateway serves the caller.
constexpr milliseconds shutdown_retry_after{1000};

// An endpoint that reports this many events of a run while none arrived: more
// than the network may delay.
constexpr std::uint64_t min_undelivered_events = 5;

} // namespace

// Construction and dispatch --------------------------------------------------

relay_exchange::relay_exchange(
    std::uint64_t number, std::shared_ptr<client_session> session,
    admitted_request request, exchange_context& context)
    : number_(number), session_(std::move(session)),
      request_(std::move(request)), request_body_(std::make_shared<std::string>(
                                        std::move(request_.message.body))),
      context_(context), standby_copies_(std::make_shared<standby_copies>(
                             context, request_.metadata.id)),
      account_(context.memory(), memory_use::endpoints)
{
    auto const& metadata = request_.metadata;
    auto const& route = *request_.route;
    work_.service = request_.service;
    work_.affinity_key = metadata.last_prompt_part.empty()
                             ? metadata.id.value()
                             : metadata.last_prompt_part;
    work_.prompt_tokens = metadata.prompt_tokens;
    work_.output_tokens = metadata.output_tokens;
    last_event_id_ = metadata.last_event_id;
    auto const wait = metadata.deadline.value_or(route.timeout);
    route_timeout_first_ = route.timeout < wait;
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
    session_->set_disconnect_handler(
        [weak]
        {
            if (auto const self = weak.lock())
                self->on_caller_disconnected();
        });
}

void relay_exchange::start(endpoint_id const& cached_at)
{
    if (state_ != state::created)
        return; // its caller disconnected during the cache lookup
    work_.cached_endpoint = cached_at;
    context_.budget(request_.service).request_started(context_.clock().now());
    if (auto* const rollouts = context_.rollouts())
        rollouts->on_request(request_.service, context_.clock().now());
    start_next_attempt();
}

bool relay_exchange::try_leave_queue()
{
    if (state_ != state::waiting || refuse_if_quarantined() ||
        refuse_if_stopping() || end_if_version_gone())
        return true;
    auto endpoint = choose_for_attempt(context_.clock().now());
    if (!endpoint)
        return false;
    start_attempt(std::move(endpoint), std::nullopt);
    return true;
}

// Attempts -------------------------------------------------------------------

/// Asks for the versions that may serve now, as they change during a rollout.
endpoint_ptr relay_exchange::choose_endpoint(
    endpoint_requirements& work, steady_time now) const
{
    auto const* const rollouts = context_.rollouts();
    if (rollouts == nullptr)
        return context_.selection().choose(work, engine(), now);
    if (work.stream_version)
    {
        rollouts->bar_from_stream(work, now);
        return context_.selection().choose(work, engine(), now);
    }
    rollouts->choose_versions(work, now);
    auto endpoint = context_.selection().choose(work, engine(), now);
    if (!endpoint && rollouts->choose_other_versions(work, now))
        endpoint = context_.selection().choose(work, engine(), now);
    return endpoint;
}

void relay_exchange::start_next_attempt()
{
    if (refuse_if_quarantined() || refuse_if_stopping() ||
        end_if_version_gone())
        return;
    auto const now = context_.clock().now();
    // Resumes a run from the copy of its memory, if there is one.
    if (auto const at =
            standby_copies_->find_resume_point(stream_began_at_, now))
    {
        start_attempt(at->standby, at->copy);
        return;
    }
    standby_copies_->reset();
    work_.resuming = response_begun_;
    if (auto const* const spec = request_.table->service(request_.service))
        work_.connection_limit = context_.connection_share(*spec);
    if (behind_others())
    {
        wait_for_capacity();
        return;
    }
    if (auto endpoint = choose_for_attempt(now))
    {
        start_attempt(std::move(endpoint), std::nullopt);
        return;
    }
    if (!work_.excluded.empty())
    {
        // No other endpoint is left; one that failed may have recovered.
        work_.excluded.clear();
        if (auto endpoint = choose_for_attempt(now))
        {
            start_attempt(std::move(endpoint), std::nullopt);
            return;
        }
    }
    wait_for_capacity();
}

endpoint_ptr relay_exchange::choose_for_attempt(steady_time now)
{
    work_.unseen_choices =
        context_.unseen_choices(request_.service, work_.resuming);
    work_.capacity_short = context_.requests_waiting(request_.service);
    auto endpoint = choose_endpoint(work_, now);
    context_.ask_for_permits(work_, engine(), request_.rank, !endpoint);
    return endpoint;
}

/// A new request would overtake those that wait, whatever its rank. One that
/// was sent to an endpoint had its turn.
bool relay_exchange::behind_others() const
{
    bool const tried =
        history_.runs + history_.refusals + history_.failed_connections > 0;
    return !tried && work_.waits_its_turn() &&
           context_.requests_waiting(request_.service);
}

void relay_exchange::wait_for_capacity()
{
    // Endpoints that failed may have recovered by then, and are avoided while
    // they are suspended.
    work_.excluded.clear();
    discard_next_connection();
    release_reserved_retry();
    state_ = state::waiting;
    if (!context_.wait_for_capacity(shared_from_this()) &&
        state_ == state::waiting)
        refuse("no_room", milliseconds(1000));
}

void relay_exchange::start_attempt(
    endpoint_ptr endpoint, std::optional<memory_copy> const& copy)
{
    auto const now = context_.clock().now();
    auto const* const spec = engine();
    state_ = state::attempting;
    endpoint_ = std::move(endpoint);
    endpoint_->request_limit.spend(now);
    resumed_from_copy_ = copy.has_value();
    sole_prefill_ = endpoint_->load.prefill_tokens == 0;
    reservation_ = endpoint_reservation(
        endpoint_, {1, spec != nullptr ? work_.memory_tokens() : 0,
                    spec != nullptr && !copy ? work_.prompt_tokens : 0});
    bool const copies =
        spec != nullptr && spec->standby_copies && request_.route->resumable;
    standby_copies_->begin(endpoint_, work_, copies ? spec : nullptr, now);
    auto const standby = standby_copies_->standby();
    if (spec != nullptr)
    {
        context_.on_prompt_started(request_.service);
        context_.on_load_changed();
    }
    sent_at_ = connected_at_ = last_progress_ = now;
    next_suspicion_ = now;
    suspicion_logged_ = false;
    stream_began_at_.reset();
    first_content_at_.reset();
    proof_reported_ = false;
    answer_reported_ = false;
    crash_reported_ = false;
    confirmed_at_.reset();
    response_head_.reset();
    response_metadata_ = {};
    shrink(buffered_body_, 0);
    events_ = {};
    account_.hold(0);
    events_in_attempt_ = 0;
    pace_meter_ = {};
    bytes_without_content_ = 0;
    attempt_is_stream_ = false;
    boundary_ = {};
    body_received_ = false;
    events_held_since_.reset();
    completion_held_ = false;
    if (records_stream() && !response_begun_)
        context_.streams()->on_attempt(
            request_.service, request_.metadata.id, endpoint_->record().version,
            deadline_, now);

    auto const& record = endpoint_->record();
    auto const address = parse_address(record.address);
    if (!address)
    {
        on_attempt_failed(attempt_outcome::unreachable, "bad_address");
        return;
    }
    std::vector<event_field> fields{
        {"request", request_.metadata.id.value()},
        {"service", record.service.value()},
        {"endpoint", record.id.value()},
        {"zone", record.zone.value()},
        {"load", std::to_string(endpoint_->load.requests)},
        {"prefill", std::to_string(endpoint_->load.prefill_tokens)},
        {"standby", standby ? standby->record().id.value() : "-"},
        {"copy", resumed_from_copy_ ? "1" : "0"},
        {"prompt", std::to_string(work_.prompt_tokens)},
        {"after_event", last_event_id_ ? std::to_string(*last_event_id_) : "-"},
        {"runs", std::to_string(history_.runs)},
        {"left_ms", milliseconds_text(deadline_ - now)}};
    if (auto const pace = endpoint_->pace.value(now))
        fields.emplace_back(
            "pace_us",
            std::to_string(
                std::chrono::duration_cast<std::chrono::microseconds>(*pace)
                    .count()));
    if (auto* const rollouts = context_.rollouts())
    {
        fields.emplace_back(
            "version", record.version.empty() ? "-" : record.version);
        rollouts->on_attempt(record, now);
    }
    else if (records_stream() && !record.version.empty())
        fields.emplace_back("stream_version", record.version);
    context_.log().record(event_level::info, "dispatch", fields);
    auto const& id = request_.metadata.id.value();
    bool const head_only = request_.message.head.method == "HEAD";
    if (next_connection_ && next_connection_->endpoint == endpoint_ &&
        next_connection_->connection->reusable())
    {
        connection_ = std::move(next_connection_->connection);
        next_connection_.reset();
        connection_->record_request(id);
        reused_connection_ = false;
    }
    else
    {
        discard_next_connection();
        connection_ = head_only
                          ? context_.pool().create()
                          : context_.pool().acquire(
                                record, !request_.route->repeatable(), id);
        reused_connection_ = connection_->connected();
    }
    attempt_connection_ = {
        connection_->local_port(), connection_->requests_sent()};
    connection_->send(
        *address, build_forwarded_request(record, copy), *this, head_only);
}

outgoing_request relay_exchange::build_forwarded_request(
    endpoint_record const& endpoint,
    std::optional<memory_copy> const& copy) const
{
    auto const& message = request_.message;
    std::string text =
        message.head.method + ' ' + message.head.target + " HTTP/1.1\r\n";
    for (auto const& [name, value] : message.head.headers)
    {
        if (context_.protocol().forwards_header(name) &&
            !is_hop_by_hop(message.head.headers, name))
            text.append(name).append(": ").append(value).append("\r\n");
    }
    forwarding_metadata metadata;
    metadata.id = request_.metadata.id;
    metadata.time_left =
        std::max(to_ms(deadline_ - context_.clock().now()), milliseconds(1));
    metadata.expected_endpoint = endpoint.id;
    metadata.organisation = request_.organisation;
    if (request_.route->engine_prompt)
        metadata.rank = request_.rank;
    metadata.last_event_id = last_event_id_;
    if (auto const standby = standby_copies_->standby())
        metadata.standby = standby->record().address;
    metadata.copy = copy;
    context_.protocol().append_headers(metadata, text);
    bool const has_body =
        !request_body_->empty() ||
        find_header(message.head.headers, "content-length") != nullptr ||
        find_header(message.head.headers, "transfer-encoding") != nullptr;
    if (has_body)
        text +=
            "Content-Length: " + std::to_string(request_body_->size()) + "\r\n";
    text += "\r\n";
    return {std::move(text), request_body_};
}

void relay_exchange::release_attempt_resources()
{
    if (connection_)
    {
        connection_->abandon();
        connection_.reset();
    }
    reservation_.release();
}

void relay_exchange::on_attempt_failed(
    attempt_outcome outcome, char const* reason)
{
    auto const now = context_.clock().now();
    auto const failed = endpoint_;
    release_attempt_resources();
    attempt_policy::record(history_, outcome);
    failed_attempts_ += (failed_attempts_.empty() ? "" : ",") +
                        failed->record().id.value() + ':' + reason;
    context_.log().record(
        event_level::warn, "attempt_failed",
        {{"request", request_.metadata.id.value()},
         {"endpoint", failed->record().id.value()},
         {"zone", failed->record().zone.value()},
         {"outcome", to_string(outcome)},
         {"reason", reason},
         {"after_ms", milliseconds_text(now - sent_at_)},
         {"events", std::to_string(events_sent_)},
         {"bytes", std::to_string(bytes_sent_)},
         {"connection", std::to_string(attempt_connection_.port)},
         {"carried", std::to_string(attempt_connection_.carried)},
         {"copy", resumed_from_copy_ ? "1" : "0"}});
    context_.count_failed_attempt(reason);
    if (response_begun_)
        context_.on_answer_lost(request_.service);
    bool const stale =
        outcome == attempt_outcome::lost && closed_while_reused(now);
    bool const no_copy =
        resumed_from_copy_ && outcome == attempt_outcome::refused;
    if (!stale && !no_copy)
    {
        context_.report_outcome(failed, outcome);
        report_version_failure(outcome);
    }
    if (state_ == state::done)
        return; // report_outcome() ended this request as well
    if (!no_copy && !stale)
        work_.excluded.insert(failed->record().id.value());

    bool const time_left = deadline_ - now > min_time_left;
    bool const budget = may_repeat(outcome);
    auto const verdict = attempt_policy::decide(
        *request_.route, history_, outcome, time_left, budget,
        received_by_caller());
    bool const continues = verdict == attempt_decision::retry ||
                           verdict == attempt_decision::retry_later ||
                           verdict == attempt_decision::await_budget;
    if (!continues)
        context_.log().record(
            event_level::warn, "no_further_attempt",
            {{"request", request_.metadata.id.value()},
             {"runs", std::to_string(history_.runs)},
             {"max_attempts", std::to_string(request_.route->max_attempts)},
             {"refusals", std::to_string(history_.refusals)},
             {"left_ms", milliseconds_text(deadline_ - now)},
             {"budget", budget ? "1" : "0"},
             {"begun", response_begun_ ? "1" : "0"}});
    switch (verdict)
    {
    case attempt_decision::retry:
        start_next_attempt();
        break;
    case attempt_decision::retry_later:
        standby_copies_->reset();
        work_.resuming = response_begun_;
        wait_for_capacity();
        break;
    case attempt_decision::await_budget:
        discard_next_connection();
        state_ = state::awaiting_budget;
        break;
    case attempt_decision::forward_failure:
        send_whole_response();
        break;
    case attempt_decision::reply_not_run:
        refuse(
            reason, response_metadata_.retry_after.value_or(milliseconds(300)));
        break;
    case attempt_decision::reply_unknown:
    case attempt_decision::break_off:
        fail(502, reason);
        break;
    }
}

/// Whether the retry budget allows another attempt. It counts arrivals beyond
/// the first, so what a stream spent for an attempt that did not connect serves
/// the next one. Short calls pay for each attempt: they have little time, and
/// more repeats only add to the load of a service in trouble.
bool relay_exchange::may_repeat(attempt_outcome outcome)
{
    bool const arrived = history_.runs + history_.refusals > 0;
    bool const paid =
        repeat_paid_ && streaming() && outcome == attempt_outcome::unreachable;
    if (!arrived || paid)
        return true;
    release_reserved_retry();
    repeat_paid_ =
        context_.budget(request_.service).try_spend(context_.clock().now());
    return repeat_paid_;
}

/// A begun answer waits until its deadline, which ends it in check_progress().
void relay_exchange::await_budget(steady_time now)
{
    repeat_paid_ = context_.budget(request_.service).try_spend(now);
    if (repeat_paid_)
        start_next_attempt();
}

/// Holds a retry back for the case that the next endpoint refuses the request.
void relay_exchange::reserve_retry(steady_time now)
{
    auto& budget = context_.budget(request_.service);
    if (state_ != state::attempting || !response_begun_ || retry_reserved_ ||
        !budget.available(now))
        return;
    budget.reserve();
    retry_reserved_ = true;
}

void relay_exchange::release_reserved_retry()
{
    if (std::exchange(retry_reserved_, false))
        context_.budget(request_.service).release_reserved();
}

received_part relay_exchange::received_by_caller() const
{
    if (!response_begun_)
        return received_part::nothing;
    return passing_through_ || !position_known_
               ? received_part::fixed_bytes
               : received_part::resumable_events;
}

/// The endpoint at which another attempt could start now, or null.
endpoint_ptr relay_exchange::next_endpoint(steady_time now)
{
    auto const& route = *request_.route;
    auto const needed = attempt_policy::retries_to_give_up(
        received_by_caller(), now - last_progress_, route.event_gap_target);
    std::size_t const held = retry_reserved_ ? 1 : 0;
    if (!attempt_policy::may_follow(received_by_caller()) ||
        !route.repeatable() || history_.runs + 1 >= route.max_attempts ||
        deadline_ - now <= min_time_left || quarantined() ||
        !context_.budget(request_.service).available(now, needed - held))
        return nullptr;
    if (auto const at =
            standby_copies_->find_resume_point(stream_began_at_, now))
        return at->standby;
    auto work = work_;
    work.resuming = response_begun_;
    work.unseen_choices = 0; // it may wait for room once it has left
    work.excluded.insert(endpoint_->record().id.value());
    auto const next = choose_endpoint(work, now);
    bool const in_order = next && !next->suspended(now) && !next->leaving();
    return in_order ? next : nullptr;
}

/// Fails an attempt whose endpoint only appears to be lost, but not before
/// another endpoint has accepted a connection: until then the first one may
/// still deliver the answer.
void relay_exchange::give_up_attempt(
    attempt_outcome outcome, char const* reason)
{
    auto const now = context_.clock().now();
    if (now < next_suspicion_)
        return;
    if (auto next = next_endpoint(now))
    {
        bool const chosen =
            next_connection_ && next_connection_->endpoint == next;
        if (chosen && next_connection_->connection->reusable())
        {
            on_attempt_failed(outcome, reason);
            reserve_retry(now);
        }
        else if (!chosen)
            connect_to_next(std::move(next), outcome, reason);
        else if (now - next_connection_->began > connect_timeout)
        {
            discard_next_connection();
            context_.report_outcome(next, attempt_outcome::unreachable);
        }
        return;
    }
    discard_next_connection();
    next_suspicion_ = now + suspicion_interval;
    if (std::exchange(suspicion_logged_, true))
        return;
    context_.log().record(
        event_level::warn, "attempt_suspect",
        {{"request", request_.metadata.id.value()},
         {"endpoint", endpoint_->record().id.value()},
         {"reason", reason},
         {"runs", std::to_string(history_.runs)},
         {"left_ms", milliseconds_text(deadline_ - now)},
         {"budget",
          context_.budget(request_.service).available(now) ? "1" : "0"}});
}

void relay_exchange::connect_to_next(
    endpoint_ptr next, attempt_outcome outcome, char const* reason)
{
    discard_next_connection();
    auto const address = parse_address(next->record().address);
    if (!address)
    {
        context_.report_outcome(next, attempt_outcome::unreachable);
        return;
    }
    auto const pending = std::make_shared<next_connection>();
    pending->endpoint = std::move(next);
    pending->connection = context_.pool().create();
    pending->began = context_.clock().now();
    pending->last_progress = last_progress_;
    next_connection_ = pending;
    pending->connection->connect(
        *address,
        [weak = weak_from_this(), pending, outcome, reason](bool accepted)
        {
            auto const self = weak.lock();
            if (!self || self->next_connection_ != pending)
                return;
            if (!accepted)
            {
                self->discard_next_connection();
                self->context_.report_outcome(
                    pending->endpoint, attempt_outcome::unreachable);
            }
            else if (
                self->state_ != state::attempting ||
                self->last_progress_ > pending->last_progress)
                self->discard_next_connection();
            else
                self->give_up_attempt(outcome, reason);
        });
}

void relay_exchange::discard_next_connection()
{
    if (auto const unused = std::exchange(next_connection_, nullptr))
        unused->connection->abandon();
}

// Response from the endpoint -------------------------------------------------

void relay_exchange::on_connected()
{
    auto const now = context_.clock().now();
    endpoint_->record_activity(now);
    connected_at_ = now;
    attempt_connection_.port = connection_->local_port();
    bool const stopping = !context_.may_pass_on(*this);
    if (endpoint_->accepts_requests(now) && !stopping)
        return;
    // The endpoint left or asked for a pause, or a planned stop began, while
    // the connection was made. Nothing was sent.
    auto const self = shared_from_this();
    release_attempt_resources();
    if (!stopping || !refuse_if_stopping())
        start_next_attempt();
}

void relay_exchange::on_response_head(message_head head)
{
    auto const now = context_.clock().now();
    endpoint_->record_activity(now);
    auto metadata = context_.protocol().read_response(head);
    // A response without an id on a reused connection may be a late copy of an
    // earlier one.
    bool const foreign =
        metadata.id ? *metadata.id != request_.metadata.id : reused_connection_;
    if (foreign)
    {
        context_.log().record(
            event_level::warn, "foreign_answer",
            {{"request", request_.metadata.id.value()},
             {"endpoint", endpoint_->record().id.value()},
             {"status", std::to_string(head.status)},
             {"connection", std::to_string(attempt_connection_.port)},
             {"carried", std::to_string(attempt_connection_.carried)},
             {"answers", metadata.id ? metadata.id->value() : "-"}});
        connection_->skip_response();
        return;
    }
    context_.record_announcements(endpoint_, head.status, metadata);
    response_metadata_ = std::move(metadata);
    if (!response_metadata_.not_run)
        release_reserved_retry();
    auto const* const type = find_header(head.headers, "content-type");
    attempt_is_stream_ = streaming() && head.status == 200 &&
                         response_metadata_.sealed && type != nullptr &&
                         type->rfind("text/event-stream", 0) == 0;
    if (!attempt_is_stream_)
        last_progress_ = now;
    response_head_ = std::move(head);
}

void relay_exchange::on_response_body(std::string_view bytes)
{
    auto const self = shared_from_this();
    auto const now = context_.clock().now();
    endpoint_->record_activity(now);
    body_received_ = true;
    if (contains_other_answer(bytes))
    {
        on_attempt_failed(attempt_outcome::lost, "answer_in_body");
        return;
    }
    if (attempt_is_stream_)
    {
        events_.append(bytes);
        relay_events();
        if (state_ != state::attempting)
            return;
        bool const allowed = account_.may_grow(held_bytes());
        account_.hold(held_bytes());
        if (!allowed || events_.overflowed())
            on_attempt_failed(attempt_outcome::lost, "oversized_event");
        else if (bytes_without_content_ > max_bytes_without_content)
            on_attempt_failed(attempt_outcome::lost, "no_content");
        return;
    }
    last_progress_ = now;
    if (passing_through_)
    {
        account_.hold(held_bytes());
        pass_through(bytes);
        return;
    }
    auto const capacity = capacity_after(buffered_body_, bytes.size());
    bool const allowed = account_.may_hold(capacity);
    append_tight(buffered_body_, bytes);
    account_.hold(held_bytes());
    if (allowed && buffered_body_.size() <= max_buffered_bytes)
        return;
    if (response_begun_ || !response_metadata_.sealed ||
        response_metadata_.not_run ||
        guarantees_not_run(response_head_->status))
    {
        on_attempt_failed(attempt_outcome::lost, "oversized_answer");
        return;
    }
    begin_response();
    passing_through_ = true;
    pass_through(std::exchange(buffered_body_, {}));
    account_.hold(held_bytes());
}

/// Sends a part of the answer. Reads no more from the endpoint while the caller
/// is behind.
void relay_exchange::pass_through(std::string_view bytes)
{
    bytes_sent_ += bytes.size();
    session_->write_stream(bytes);
    if (!session_->output_full())
        return;
    connection_->pause_reading();
    session_->set_drained_handler(
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (self && self->connection_)
                self->connection_->resume_reading();
        });
}

void relay_exchange::relay_events()
{
    if (awaits_record())
    {
        hold_events();
        return;
    }
    auto const now = context_.clock().now();
    bool progress = false;
    auto const events_before = events_in_attempt_;
    std::string out;
    while (auto const event = events_.next())
    {
        // An endpoint that resumes after an event repeats none, but one that
        // was given no position may repeat events that the caller has.
        if (event->id && last_event_id_ && *event->id <= *last_event_id_)
            continue;
        if (event->id)
            last_event_id_ = *event->id;
        out += event->bytes;
        ++events_sent_;
        ++events_in_attempt_;
        if (event->id)
            position_known_ = true;
        else if (event->has_content)
            position_known_ = false;
        bytes_without_content_ =
            event->has_content ? 0
                               : bytes_without_content_ + event->bytes.size();
        progress = progress || event->has_content;
    }
    if (auto const pace =
            pace_meter_.record(events_in_attempt_ - events_before, now))
        endpoint_->pace.record(*pace, now);
    if (out.empty())
        return;
    // Parts of an event and comments are no progress: a stalled endpoint may
    // still send them.
    if (progress)
    {
        last_progress_ = now;
        confirmed_at_.reset();
        if (!first_content_at_)
            first_content_at_ = now;
        if (now - *first_content_at_ >= prompt_quarantine::proving_time)
            report_proof();
    }
    if (!stream_began_at_)
    {
        stream_began_at_ = now;
        report_version_answer(false);
        context_.on_load_changed();
        context_.on_capacity_freed(request_.service); // its prefill has ended
    }
    if (!response_begun_)
    {
        reservation_.prefill_done();
        if (sole_prefill_ && history_.runs == 0 &&
            !request_.metadata.last_event_id)
            context_.estimate(request_.service)
                .record(work_.prompt_tokens, now - sent_at_);
        begin_response();
    }
    else
    {
        reservation_.prefill_done();
        longest_gap_ = std::max(longest_gap_, now - last_sent_at_);
    }
    last_sent_at_ = now;
    pass_through(out);
}

void relay_exchange::on_response_complete()
{
    auto const self = shared_from_this();
    auto const now = context_.clock().now();
    auto const& record = endpoint_->record();
    auto const status = response_head_->status;
    if (attempt_is_stream_ && events_held_since_)
    {
        completion_held_ = true;
        return;
    }
    note_surplus();
    if (boundary_.ends_in_head())
    {
        on_attempt_failed(attempt_outcome::lost, "answer_in_body");
        return;
    }
    if (!whole_by_framing())
    {
        on_attempt_failed(attempt_outcome::lost, "bytes_behind_answer");
        return;
    }
    // A late copy of an answer without an id would pass for any other such one.
    if (response_metadata_.id)
        context_.pool().release(
            record, std::move(connection_), response_metadata_.idle_timeout);
    else
        connection_->abandon();
    connection_.reset();
    if (attempt_is_stream_)
    {
        complete_stream();
        return;
    }
    if (passing_through_)
    {
        if (status < 400)
            report_proof();
        report_version_answer(status >= 500);
        context_.report_outcome(endpoint_, attempt_outcome::served);
        session_->end_stream();
        finish("served", status, {});
        return;
    }
    if (status == 421)
    {
        on_attempt_failed(attempt_outcome::misdirected, "misdirected");
        return;
    }
    if (response_metadata_.not_run)
    {
        on_attempt_failed(attempt_outcome::refused, "refused");
        return;
    }
    bool const success = status >= 200 && status < 400;
    if ((success && !response_metadata_.sealed) || response_begun_)
    {
        on_attempt_failed(attempt_outcome::lost, "unsealed");
        return;
    }
    if (status >= 500)
    {
        on_attempt_failed(attempt_outcome::failed_answer, "endpoint_error");
        return;
    }
    endpoint_->record_latency(
        std::chrono::duration_cast<std::chrono::microseconds>(now - sent_at_));
    report_version_answer(false);
    context_.report_outcome(endpoint_, attempt_outcome::served);
    if (success)
        report_proof();
    send_whole_response();
}

/// What waits of the current answer.
std::size_t relay_exchange::held_bytes() const
{
    return buffered_body_.capacity() + events_.held_bytes() +
           boundary_.held_bytes();
}

/// Whether the body holds the head of another answer, by its seal or by an id
/// that this connection carried: the first answer stopped, and a copy or a late
/// one followed.
bool relay_exchange::contains_other_answer(std::string_view bytes)
{
    boundary_.append(bytes);
    while (auto const head = boundary_.next_head())
    {
        auto const answer = context_.protocol().read_response(*head);
        if (answer.sealed ||
            (answer.id && connection_->carried(answer.id->value())))
            return true;
    }
    return false;
}

/// A length proves nothing when more bytes follow at once: they may be the rest
/// of an answer whose beginning filled the length. Chunks and bodiless answers
/// end by themselves.
bool relay_exchange::whole_by_framing() const
{
    auto const& surplus = connection_->surplus();
    bool const by_length =
        body_received_ &&
        find_header(response_head_->headers, "content-length") != nullptr;
    return surplus.count == 0 || !by_length ||
           boundary_.whole_before(surplus.begin);
}

/// Logs bytes that followed the answer at once.
void relay_exchange::note_surplus()
{
    auto const& surplus = connection_->surplus();
    if (surplus.count == 0)
        return;
    context_.log().record(
        event_level::warn, "bytes_behind_answer",
        {{"request", request_.metadata.id.value()},
         {"endpoint", endpoint_->record().id.value()},
         {"connection", std::to_string(attempt_connection_.port)},
         {"carried", std::to_string(attempt_connection_.carried)},
         {"bytes", std::to_string(surplus.count)}});
}

void relay_exchange::on_failure(connection_failure failure)
{
    auto const self = shared_from_this();
    auto const outcome = failure == connection_failure::not_connected
                             ? attempt_outcome::unreachable
                             : attempt_outcome::lost;
    bool const stale = closed_while_reused(context_.clock().now());
    if (failure == connection_failure::closed ||
        failure == connection_failure::reset)
        report_crash(stale);
    if (passing_through_)
    {
        report_version_loss();
        context_.report_outcome(endpoint_, outcome);
        session_->abort();
        finish("broken", 0, dotterellock::to_string(failure));
        return;
    }
    on_attempt_failed(outcome, dotterellock::to_string(failure));
}

// Response to the caller -----------------------------------------------------

/// How the caller's response ends, for the log.
char const* relay_exchange::framing() const
{
    if (response_begun_)
        return "chunks";
    return first_byte_at_ ? "length" : "-";
}

header_list relay_exchange::response_headers() const
{
    header_list headers;
    for (auto const& [name, value] : response_head_->headers)
    {
        if (context_.protocol().forwards_response_header(name) &&
            !is_hop_by_hop(response_head_->headers, name))
            headers.emplace_back(name, value);
    }
    return headers;
}

void relay_exchange::begin_response()
{
    response_begun_ = true;
    if (attempt_is_stream_)
        work_.stream_version = endpoint_->record().version;
    first_byte_at_ = context_.clock().now();
    last_sent_at_ = *first_byte_at_;
    session_->begin_stream(
        response_head_->status, response_head_->reason, response_headers());
}

void relay_exchange::send_whole_response()
{
    auto const status = response_head_->status;
    first_byte_at_ = context_.clock().now();
    // A status that guarantees "not run" is forwarded only with the endpoint's
    // proof, which this response lacks.
    if (guarantees_not_run(status) || !response_metadata_.sealed)
    {
        fail(502, "endpoint_error");
        return;
    }
    bytes_sent_ += buffered_body_.size();
    session_->respond(
        status, response_head_->reason, response_headers(), buffered_body_);
    finish(status < 400 ? "served" : "failed", status, {});
}

void relay_exchange::complete_stream()
{
    if (events_.in_event())
    {
        on_attempt_failed(attempt_outcome::lost, "cut_event");
        return;
    }
    context_.report_outcome(endpoint_, attempt_outcome::served);
    report_version_answer(false);
    if (first_content_at_)
        report_proof();
    auto const now = context_.clock().now();
    context_.record_stream_duration(
        request_.service, work_.output_tokens, now - request_.message.received,
        now - first_byte_at_.value_or(now));
    if (!response_begun_)
        begin_response();
    session_->end_stream();
    standby_copies_->free_copy();
    finish("served", response_head_->status, {});
}

// Timeouts -------------------------------------------------------------------

void relay_exchange::check_progress(steady_time now, bool paused)
{
    auto const self = shared_from_this();
    if (state_ == state::done)
        return;
    if (now >= deadline_)
    {
        if (state_ == state::waiting && history_.runs == 0)
            refuse("deadline", milliseconds(1000));
        else
        {
            if (state_ == state::attempting)
                report_version_silence(now);
            fail(504, route_timeout_first_ ? "route_timeout" : "deadline");
        }
        return;
    }
    bool const queued =
        state_ == state::waiting || state_ == state::awaiting_budget;
    if (queued && (refuse_if_quarantined() || end_if_version_gone()))
        return;
    if (state_ == state::awaiting_budget)
    {
        await_budget(now);
        return;
    }
    on_stream_recorded();
    if (state_ != state::attempting)
        return;
    if (paused)
    {
        last_progress_ = now;
        return;
    }
    if (!connection_->connected())
    {
        if (now - sent_at_ > connect_timeout)
            on_attempt_failed(attempt_outcome::unreachable, "connect_timeout");
        return;
    }
    if (now - sent_at_ > refusal_wait)
        release_reserved_retry();
    if (stream_began_at_)
        standby_copies_->renew_if_needed(now);
    if (connection_->reading_paused())
    {
        // The caller is behind, so nothing is read from the endpoint.
        last_progress_ = now;
        return;
    }
    auto const& route = *request_.route;
    bool const may_repeat =
        route.repeatable() && history_.runs + 1 < route.max_attempts;
    if (!may_repeat)
        return; // silence does not end an attempt that cannot be retried
    if (engine() == nullptr)
    {
        auto const timeout =
            liveness_policy::call_timeout(route, endpoint_->latency());
        if (!streaming() && now - last_progress_ > timeout)
            give_up_attempt(attempt_outcome::silent, "no_answer");
        return;
    }
    attempt_progress p;
    p.engine_prompt = true;
    p.stream_started = last_progress_ > sent_at_;
    p.since_sent = now - sent_at_;
    p.since_progress = now - last_progress_;
    p.since_activity = now - std::max(endpoint_->last_activity(), sent_at_);
    p.expected_first_event =
        context_.estimate(request_.service)
            .expected(
                std::max(endpoint_->load.prefill_tokens, work_.prompt_tokens));
    if (confirmed_at_)
        p.since_confirmed = now - *confirmed_at_;
    p.copy_available =
        standby_copies_->find_resume_point(stream_began_at_, now).has_value();
    switch (liveness_policy::evaluate(route, p))
    {
    case liveness_decision::wait:
        break;
    case liveness_decision::check:
        context_.check_endpoint(endpoint_);
        break;
    case liveness_decision::abandon:
        give_up_attempt(attempt_outcome::silent, "silent");
        break;
    }
}

void relay_exchange::on_endpoint_dead(
    endpoint_state const& endpoint, steady_time checked)
{
    if (state_ != state::attempting || endpoint_.get() != &endpoint ||
        last_progress_ > checked || !request_.route->repeatable() ||
        connection_->reading_paused())
        return;
    auto const self = shared_from_this();
    report_crash(false);
    // The endpoint was sent the request, so this attempt counts as a run.
    if (quarantined())
        on_attempt_failed(attempt_outcome::lost, "endpoint_dead");
    else
        give_up_attempt(attempt_outcome::lost, "endpoint_dead");
}

void relay_exchange::on_endpoint_report(
    endpoint_state const& endpoint, endpoint_report const& report,
    steady_time checked)
{
    if (state_ != state::attempting || endpoint_.get() != &endpoint)
        return;
    // A report lists admitted runs only; this run may be among the waiting
    // ones. A run whose events did not arrive is lost to this connection.
    auto const run = report.runs.find(request_.metadata.id.value());
    auto const received =
        std::max(events_in_attempt_, last_event_id_.value_or(0));
    bool const undelivered =
        run != report.runs.end() &&
        run->second.events >= received + min_undelivered_events;
    bool const known = run != report.runs.end() || report.waiting > 0;
    if (known && !undelivered && checked >= sent_at_)
        confirmed_at_ = context_.clock().now();
    else
        confirmed_at_.reset();
}

// Prompts that crash endpoints ----------------------------------------------

bool relay_exchange::quarantined() const
{
    return context_.prompt_crashes()
        .quarantined_for(request_.shared_parts, context_.clock().now())
        .has_value();
}

bool relay_exchange::refuse_if_quarantined()
{
    auto const rest = context_.prompt_crashes().quarantined_for(
        request_.shared_parts, context_.clock().now());
    if (!rest)
        return false;
    context_.prompt_crashes().count_refusal();
    refuse(quarantined_prompt, *rest);
    return true;
}

void relay_exchange::report_crash(bool suspected)
{
    auto const now = context_.clock().now();
    bool const lasted =
        first_content_at_ &&
        now - *first_content_at_ >= prompt_quarantine::proving_time;
    if (lasted || !connection_ || !connection_->connected() ||
        std::exchange(crash_reported_, true))
        return;
    if (suspected)
        context_.prompt_crashes().suspect_crash(
            {request_.metadata.id, endpoint_, request_.shared_parts, now});
    else
        context_.prompt_crashes().record_crash(
            request_.metadata.id, endpoint_->record().id, request_.shared_parts,
            now, now);
}

void relay_exchange::report_proof()
{
    if (std::exchange(proof_reported_, true))
        return;
    auto const now = context_.clock().now();
    context_.prompt_crashes().record_proof(
        request_.shared_parts, first_content_at_.value_or(now), now);
}

// Versions -------------------------------------------------------------------

version_answer relay_exchange::make_version_answer() const
{
    version_answer answer;
    answer.route = request_.route->name;
    answer.latency = context_.clock().now() - connected_at_;
    return answer;
}

/// Reports an answer once an attempt: a stream's with its first event.
void relay_exchange::report_version_answer(bool failed)
{
    if (context_.rollouts() == nullptr || std::exchange(answer_reported_, true))
        return;
    // A run that resumes from a copy, or whose prompt is cached, answers early
    // whatever its version.
    bool const cached = endpoint_->record().id == work_.cached_endpoint;
    if ((resumed_from_copy_ || cached) && !failed)
        return;
    auto answer = make_version_answer();
    answer.failed = failed;
    context_.report_answer(endpoint_, answer);
}

void relay_exchange::report_version_loss()
{
    if (context_.rollouts() == nullptr)
        return;
    auto answer = make_version_answer();
    answer.connection_lost = true;
    context_.report_answer(endpoint_, answer);
}

/// Silence is slowness only if the endpoint showed signs of life in the second
/// half of the attempt; otherwise it may have been lost.
void relay_exchange::report_version_silence(steady_time now)
{
    if (answer_reported_)
        return;
    bool const alive =
        endpoint_->last_activity() > sent_at_ + (now - sent_at_) / 2;
    // Most of the attempts that a deadline cuts short say nothing.
    bool const long_enough =
        now - sent_at_ >= (deadline_ - request_.message.received) / 2;
    if (now >= deadline_ && !long_enough)
        return;
    if (alive)
        report_version_answer(false);
    else
        report_version_loss();
}

void relay_exchange::report_version_failure(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::failed_answer:
        report_version_answer(true);
        break;
    case attempt_outcome::silent:
        report_version_silence(context_.clock().now());
        break;
    case attempt_outcome::unreachable:
    case attempt_outcome::lost:
        report_version_loss();
        break;
    case attempt_outcome::served:
    case attempt_outcome::refused:
    case attempt_outcome::misdirected:
        break; // nothing ran, or it was reported
    }
}

/// Whether the version of this request's stream has to be known elsewhere. One
/// that takes a stream up is known by the request that began it.
bool relay_exchange::records_stream() const
{
    return streaming() && request_.route->resumable &&
           !request_.metadata.last_event_id && context_.streams() != nullptr;
}

bool relay_exchange::awaits_record() const
{
    return records_stream() && !response_begun_ &&
           !context_.streams()->may_begin(
               request_.service, request_.metadata.id, context_.clock().now());
}

void relay_exchange::hold_events()
{
    connection_->pause_reading();
    if (!events_held_since_)
        events_held_since_ = context_.clock().now();
}

void relay_exchange::on_stream_recorded()
{
    if (state_ != state::attempting || !events_held_since_ || awaits_record())
        return;
    auto const self = shared_from_this();
    auto const held = context_.clock().now() - *events_held_since_;
    events_held_since_.reset();
    context_.log().record(
        event_level::info, "first_event_held",
        {{"request", request_.metadata.id.value()},
         {"version", endpoint_->record().version},
         {"held_ms", milliseconds_text(held)}});
    relay_events();
    if (state_ != state::attempting)
        return;
    if (completion_held_)
        on_response_complete();
    else
        connection_->resume_reading();
}

void relay_exchange::take_up_at(std::string const& version)
{
    work_.stream_version = version;
}

bool relay_exchange::end_if_version_gone()
{
    if (!work_.stream_version)
        return false;
    auto work = work_;
    auto const now = context_.clock().now();
    if (auto const* const rollouts = context_.rollouts())
        rollouts->bar_from_stream(work, now);
    if (context_.selection().version_served(work, now))
        return false;
    context_.log().record(
        event_level::warn, "stream_version_gone",
        {{"request", request_.metadata.id.value()},
         {"service", request_.service.value()},
         {"version", *work_.stream_version},
         {"after_event",
          last_event_id_ ? std::to_string(*last_event_id_) : "-"}});
    refuse("stream_version_gone", version_gone_retry_after);
    return true;
}

// Completion -----------------------------------------------------------------

void relay_exchange::refuse(char const* reason, milliseconds retry_after)
{
    // A refusal guarantees that nothing ran.
    if (response_begun_ || history_.runs > 0)
    {
        fail(502, reason);
        return;
    }
    auto headers =
        context_.protocol().local_response_headers(request_.metadata.id);
    headers.emplace_back("Content-Type", "application/json");
    headers.emplace_back("Retry-After", seconds_text(retry_after));
    session_->respond(
        503, reason_phrase(503), headers,
        std::string("{\"error\":\"not_run\",\"reason\":\"") + reason + "\"}\n");
    finish("refused", 503, reason);
}

bool relay_exchange::refuse_if_stopping()
{
    if (context_.may_pass_on(*this))
        return false;
    refuse("shutting_down", shutdown_retry_after);
    return true;
}

void relay_exchange::on_shutdown_began()
{
    if (state_ == state::waiting)
        refuse_if_stopping();
}

void relay_exchange::end_for_shutdown()
{
    // A request that was sent to an endpoint may have run there.
    if (state_ == state::attempting)
        fail(502, "grace_over");
    else if (state_ != state::done)
        refuse("grace_over", shutdown_retry_after);
}

void relay_exchange::fail(unsigned status, char const* reason)
{
    release_attempt_resources();
    if (response_begun_)
    {
        session_->abort();
        finish("broken", 0, reason);
        return;
    }
    auto headers =
        context_.protocol().local_response_headers(request_.metadata.id);
    headers.emplace_back("Content-Type", "application/json");
    session_->respond(
        status, reason_phrase(status), headers,
        std::string("{\"error\":\"") + reason + "\"}\n");
    finish("failed", status, reason);
}

void relay_exchange::on_caller_disconnected()
{
    if (state_ == state::done)
        return;
    auto const self = shared_from_this();
    release_attempt_resources();
    finish("caller_gone", 0, {});
}

void relay_exchange::finish(
    char const* outcome, unsigned status, std::string const& reason)
{
    auto const self = shared_from_this();
    auto const now = context_.clock().now();
    state_ = state::done;
    session_->set_disconnect_handler(nullptr);
    release_attempt_resources();
    discard_next_connection();
    release_reserved_retry();
    standby_copies_->reset();
    context_.log().record(
        std::string_view(outcome) == "served" ? event_level::info
                                              : event_level::warn,
        "request",
        {{"request", request_.metadata.id.value()},
         {"route", request_.route->name},
         {"organisation", request_.organisation.value()},
         {"rank", std::to_string(request_.rank)},
         {"outcome", outcome},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"endpoint", endpoint_ ? endpoint_->record().id.value() : "-"},
         {"failed_attempts", failed_attempts_.empty() ? "-" : failed_attempts_},
         {"events", std::to_string(events_sent_)},
         {"bytes", std::to_string(bytes_sent_)},
         {"framing", framing()},
         {"connection", std::to_string(attempt_connection_.port)},
         {"carried", std::to_string(attempt_connection_.carried)},
         {"first_ms",
          first_byte_at_
              ? milliseconds_text(*first_byte_at_ - request_.message.received)
              : "-"},
         {"gap_ms", milliseconds_text(longest_gap_)},
         {"took_ms", milliseconds_text(now - request_.message.received)},
         {"configuration", std::to_string(request_.table->version())}});
    request_result result;
    result.outcome = outcome;
    result.status = status;
    result.reason = reason;
    if (first_byte_at_)
        result.first_byte = *first_byte_at_ - request_.message.received;
    result.took = now - request_.message.received;
    context_.count_request(*this, result);
    context_.on_exchange_finished(self);
    context_.on_capacity_freed(request_.service);
}

} // namespace dotterellock
