#include "standby_copies.hpp"

#include <utility>

#include <dotterellock/error.hpp>

#include "exchange.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Copying begins with the first event and goes on several times a second;
// before that there is nothing to go on from.
constexpr milliseconds copy_exists_after{150};

// A copy made on demand expires, however often it is brought up to date. The
// next one is made this long before.
constexpr milliseconds renewal_margin{700};
constexpr milliseconds retry_interval{500};
constexpr milliseconds call_timeout{400};

} // namespace

void standby_copies::begin(
    endpoint_ptr source, endpoint_requirements work, engine_spec const* engine,
    steady_time now)
{
    reset();
    next_call_ = now;
    source_ = std::move(source);
    work_ = std::move(work);
    engine_.reset();
    if (engine == nullptr)
        return;
    engine_ = *engine;
    copy_ = choose(now);
}

std::optional<standby_copies::resume_point> standby_copies::resume_at(
    std::optional<steady_time> stream_began, steady_time now) const
{
    bool const copied = stream_began && now - *stream_began > copy_exists_after;
    if (!copy_ || !copied || copy_->lost(now))
        return std::nullopt;
    // A copy made on demand is named by the endpoint that made it.
    return resume_point{
        copy_->standby,
        copy_->name
            ? memory_copy{source_->record().address, *copy_->name}
            : memory_copy{copy_->standby->record().address, run_.value()}};
}

std::optional<standby_copies::memory_replica>
standby_copies::choose(steady_time now) const
{
    auto work = work_;
    if (copy_)
        work.excluded.insert(copy_->standby->record().id.value());
    auto standby =
        host_.selection().choose_standby(work, *engine_, *source_, now);
    if (!standby)
        return std::nullopt;
    memory_replica made;
    made.reservation =
        endpoint_reservation(standby, {0, work_.memory_tokens(), 0});
    made.standby = std::move(standby);
    made.began = now;
    return made;
}

void standby_copies::renew(steady_time now)
{
    if (!engine_ || next_ || now < next_call_)
        return;
    bool const needed =
        !copy_ || copy_->lost(now) ||
        (copy_->name &&
         now - copy_->began > engine_->copy_lifetime - renewal_margin);
    if (!needed)
        return;
    next_call_ = now + retry_interval;
    next_ = choose(now);
    if (!next_)
        return;
    host_.call(
        source_->record(), call_timeout,
        host_.dialect().copy_request(run_, next_->standby->record().address),
        false,
        [weak = weak_from_this(), source = source_](endpoint_reply const& reply)
        {
            if (auto const self = weak.lock())
                self->copied(*source, reply);
        });
}

void standby_copies::copied(
    endpoint_state const& source, endpoint_reply const& reply)
{
    if (source_.get() != &source || !next_)
        return; // of an earlier attempt
    auto made = std::exchange(next_, std::nullopt);
    try
    {
        if (reply.status == 200)
            made->name = host_.dialect().read_copy(reply.body);
    }
    catch (error const& e)
    {
        host_.log().record(
            event_level::warn, "copy_unreadable",
            {{"request", run_.value()}, {"detail", e.detail()}});
    }
    host_.log().record(
        made->name ? event_level::info : event_level::warn, "standby_renewed",
        {{"request", run_.value()},
         {"endpoint", source_->record().id.value()},
         {"standby", made->standby->record().id.value()},
         {"status", std::to_string(reply.status)},
         {"copy", made->name.value_or("-")}});
    if (!made->name)
        return;
    free();
    copy_ = std::move(made);
}

void standby_copies::free()
{
    if (!copy_ || !copy_->name)
        return;
    // It would expire by itself; until then it takes memory.
    host_.call(
        source_->record(), call_timeout,
        host_.dialect().free_copy_request(*copy_->name), false,
        [](endpoint_reply const&) {});
}

void standby_copies::reset()
{
    copy_.reset();
    next_.reset();
}

} // namespace dotterellock
