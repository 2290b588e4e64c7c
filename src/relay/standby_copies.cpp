#include "standby_copies.hpp"

#include <utility>

#include <dotterellock/error.hpp>

#include "relay_exchange.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// The endpoint starts to replicate with the first event, several times a
// second; before that there is no copy to resume from.
constexpr milliseconds first_copy_delay{150};

// A copy made on demand expires even if it is kept up to date. Its replacement
// is made this long before.
constexpr milliseconds renewal_margin{700};
constexpr milliseconds retry_interval{500};
constexpr milliseconds call_timeout{400};

// A copy is answered when it is complete, and waits for others on both links
// after a zone was lost. One that is given up would still take memory there.
constexpr milliseconds copy_timeout{2000};

} // namespace

void standby_copies::begin(
    endpoint_ptr source, endpoint_requirements work, engine_spec const* engine,
    steady_time now)
{
    reset();
    next_call_at_ = now;
    source_ = std::move(source);
    work_ = std::move(work);
    work_.stream_version = source_->record().version;
    engine_.reset();
    if (engine == nullptr)
        return;
    engine_ = *engine;
    copy_ = choose_standby(now);
}

std::optional<standby_copies::resume_point> standby_copies::find_resume_point(
    std::optional<steady_time> stream_began, steady_time now) const
{
    bool const copied = stream_began && now - *stream_began > first_copy_delay;
    auto const* const rollouts = context_.rollouts();
    if (!copy_ || !copied || copy_->lost(now) ||
        !copy_->standby->request_limit.allows(now) ||
        !work_.allows(copy_->standby->record()) ||
        (rollouts && !rollouts->may_resume_at(copy_->standby->record())))
        return std::nullopt;
    // A copy made on demand is identified by its name at the endpoint that
    // made it.
    return resume_point{
        copy_->standby,
        copy_->name
            ? memory_copy{source_->record().address, *copy_->name}
            : memory_copy{copy_->standby->record().address, run_.value()}};
}

/// A copy at an endpoint whose version gets no new work any more is replaced.
bool standby_copies::well_placed(
    memory_replica const& copy, steady_time now) const
{
    auto const* const rollouts = context_.rollouts();
    return !copy.lost(now) && work_.allows(copy.standby->record()) &&
           (rollouts == nullptr ||
            rollouts->may_resume_at(copy.standby->record()));
}

std::optional<standby_copies::memory_replica>
standby_copies::choose_standby(steady_time now) const
{
    auto work = work_;
    work.capacity_short = context_.requests_waiting(work_.service);
    if (copy_)
        work.excluded.insert(copy_->standby->record().id.value());
    if (auto const* const rollouts = context_.rollouts())
        rollouts->bar_from_stream(work, now);
    auto standby =
        context_.selection().choose_standby(work, *engine_, *source_, now);
    if (!standby)
        return std::nullopt;
    memory_replica made;
    made.reservation =
        endpoint_reservation(standby, {0, work_.memory_tokens(), 0});
    made.standby = std::move(standby);
    made.began = now;
    return made;
}

void standby_copies::renew_if_needed(steady_time now)
{
    if (!engine_ || pending_copy_ || now < next_call_at_ ||
        !source_->accepts_requests(now))
        return;
    bool const needed =
        !copy_ || !well_placed(*copy_, now) ||
        (copy_->name &&
         now - copy_->began > engine_->copy_lifetime - renewal_margin);
    if (!needed)
        return;
    next_call_at_ = now + retry_interval;
    pending_copy_ = choose_standby(now);
    if (!pending_copy_)
        return;
    context_.call(
        source_, copy_timeout,
        context_.protocol().copy_request(
            run_, pending_copy_->standby->record().address),
        // On a reused connection, a late answer to the call for another run
        // would name the memory of that run.
        true,
        [weak = weak_from_this(), source = source_](endpoint_reply const& reply)
        {
            if (auto const self = weak.lock())
                self->on_copy_made(*source, reply);
        });
}

void standby_copies::on_copy_made(
    endpoint_state const& source, endpoint_reply const& reply)
{
    if (source_.get() != &source || !pending_copy_)
        return; // reply to a call of an earlier attempt
    auto made = std::exchange(pending_copy_, std::nullopt);
    try
    {
        if (reply.status == 200)
            made->name = context_.protocol().read_copy_name(reply.body);
    }
    catch (error const& e)
    {
        context_.log().record(
            event_level::warn, "copy_unreadable",
            {{"request", run_.value()}, {"detail", e.detail()}});
    }
    context_.log().record(
        made->name ? event_level::info : event_level::warn, "standby_renewed",
        {{"request", run_.value()},
         {"endpoint", source_->record().id.value()},
         {"standby", made->standby->record().id.value()},
         {"status", std::to_string(reply.status)},
         {"copy", made->name.value_or("-")}});
    if (!made->name)
        return;
    free_copy();
    copy_ = std::move(made);
}

void standby_copies::free_copy()
{
    if (!copy_ || !copy_->name)
        return;
    // The copy would expire later anyway, but holds memory until then.
    context_.call(
        source_, call_timeout,
        context_.protocol().free_copy_request(*copy_->name), false,
        [](endpoint_reply const&) {});
}

void standby_copies::reset()
{
    copy_.reset();
    pending_copy_.reset();
}

} // namespace dotterellock
