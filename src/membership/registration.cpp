#include "membership/registration.hpp"

#include <utility>

#include "configuration/random_id.hpp"
#include "configuration/wall_time_text.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds heartbeat_interval{15};
constexpr seconds retry_interval{5}; // after a write without effect
// Interval, a read that times out and its repetition stay within the 3 s in
// which a draining endpoint must stop taking work.
constexpr milliseconds desired_interval{2000};
constexpr milliseconds desired_timeout{500};
constexpr milliseconds write_timeout{2000};
constexpr milliseconds pause_limit{3000}; // a missed poll and some load
constexpr milliseconds provisional_after{1000};
constexpr seconds fresh_time{10};
constexpr seconds rival_silence{40}; // two and a half heartbeats
// Several changes of progress go into one write.
constexpr milliseconds change_delay{500};
constexpr double jitter = 0.1; // shortens; spreads what started together

constexpr unsigned random_bits = 22;

incarnation first_incarnation(wall_time now, random_source& random)
{
    auto const ms =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    auto const high = static_cast<std::uint64_t>(ms.count()) << random_bits;
    return high | random.below(std::uint64_t{1} << random_bits);
}

} // namespace

registration::registration(
    endpoint_info self, clock_source& clock, timer_service& timers,
    random_source& random, table_service& store, counter_registry& counters)
    : clock_(clock), timers_(timers), random_(random), store_(store),
      key_(registration_key(self)),
      registrations_(counters.counter("membership_registrations_total")),
      heartbeats_(counters.counter("membership_heartbeats_total")),
      store_failures_(counters.counter("membership_store_failures_total")),
      pauses_(counters.counter("membership_pauses_total"))
{
    record_.info = std::move(self);
    record_.run = random_id(random);
    record_.incarnation = first_incarnation(clock.wall_now(), random);
}

registration::~registration()
{
    cancel_timers();
}

void registration::cancel_timers()
{
    timers_.cancel(poll_timer_);
    timers_.cancel(write_timer_);
    timers_.cancel(provisional_timer_);
}

void registration::set_on_incarnation(std::function<void(incarnation)> callback)
{
    on_incarnation_ = std::move(callback);
}

void registration::set_on_drain(std::function<void(bool)> callback)
{
    on_drain_ = std::move(callback);
}

void registration::set_on_superseded(std::function<void()> callback)
{
    on_superseded_ = std::move(callback);
}

void registration::watch(std::vector<std::string> keys, rows_handler handler)
{
    watched_ = std::move(keys);
    on_rows_ = std::move(handler);
}

void registration::start()
{
    started_at_ = clock_.now();
    last_seen_ = started_at_;
    provisional_timer_ =
        timers_.schedule(provisional_after, [this] { serve_provisionally(); });
    if (polls_desired())
        poll_tick();
    read_own_row();
}

void registration::stop(std::function<void()> done)
{
    on_stopped_ = std::move(done);
    record_.left = true;
    record_.draining = true;
    changed_ = true;
    schedule_write(duration{});
}

bool registration::may_offer() const
{
    bool const stalled =
        polls_desired() && clock_.now() - last_seen_ > pause_limit;
    return !drain_ && !superseded() && desired_known_ && !stalled;
}

void registration::set_models(std::vector<model_ref> models)
{
    record_.info.models = std::move(models);
    changed_ = true;
    schedule_write(change_delay);
}

void registration::set_progress(bool draining, std::uint64_t in_flight)
{
    bool const flipped = draining != record_.draining;
    bool const emptied = draining && in_flight == 0 && record_.in_flight != 0;
    record_.draining = draining;
    record_.in_flight = in_flight;
    if (!flipped && !emptied)
        return;
    progressed_ = true;
    schedule_write(change_delay);
}

duration registration::jittered(duration interval)
{
    double const factor = 1 - jitter * random_.uniform();
    return std::chrono::duration_cast<duration>(interval * factor);
}

// ---- desired state --------------------------------------------------------

/// Operators drain endpoints; a router has none, and 360 of them would cost
/// 190 reads a second.
bool registration::polls_desired() const
{
    return !record_.info.endpoint.empty() || !watched_.empty();
}

void registration::poll_tick()
{
    poll_timer_ =
        timers_.schedule(jittered(desired_interval), [this] { poll_tick(); });
    notice_pause();
    read_desired();
}

void registration::notice_pause()
{
    duration const gap = clock_.now() - last_seen_;
    last_seen_ = clock_.now();
    // Without the poll only the heartbeat keeps time.
    duration const usual = polls_desired() ? duration{} : heartbeat_interval;
    if (gap <= usual + pause_limit)
        return;
    pauses_.add();
    paused_once_ = true;
    desired_known_ = !polls_desired();
    // Another run may have registered meanwhile.
    if (state_ == state::confirmed)
        state_ = state::provisional;
    row_.reset();
    schedule_write(duration{});
}

void registration::read_desired()
{
    if (superseded())
        return;
    std::vector<std::string> keys{desired_key(record_.info)};
    keys.insert(keys.end(), watched_.begin(), watched_.end());
    steady_time const asked_at = clock_.now();
    unsigned const number = ++reads_begun_;
    auto on_rows = [this, asked_at, number](read_result const& result)
    {
        // An answer that was overtaken by a later question, for example
        // during a pause, may be old.
        if (number == reads_begun_)
            on_desired(result, asked_at);
    };
    store_.read(keys, desired_timeout, guard_.wrap(std::move(on_rows)));
}

void registration::on_desired(read_result const& result, steady_time asked_at)
{
    // The store answers within the timeout; a later answer sat in a paused
    // process.
    bool const current = clock_.now() - asked_at <= 2 * desired_timeout;
    if (superseded() || !current)
        return;
    desired_known_ = true;
    bool const answered = result.status == store_status::ok &&
                          result.rows.size() == watched_.size() + 1;
    bool const first_failure = !answered && std::exchange(read_ok_, answered);
    read_ok_ = answered;
    if (!answered)
    {
        store_failures_.add();
        // The last known state stands in an outage.
        if (first_failure)
            read_desired();
        return;
    }
    auto const desired = decode_desired_drain(result.rows.front().value);
    set_drain(desired && desired->drain);
    if (on_rows_)
        on_rows_({result.rows.begin() + 1, result.rows.end()}, asked_at);
}

void registration::set_drain(bool drain)
{
    if (drain == drain_)
        return;
    drain_ = drain;
    if (on_drain_)
        on_drain_(drain);
}

// ---- own row --------------------------------------------------------------

void registration::schedule_write(duration delay)
{
    timers_.cancel(write_timer_);
    write_timer_ = timers_.schedule(delay, [this] { write_tick(); });
}

void registration::write_tick()
{
    notice_pause();
    if (write_pending_ || superseded())
        return;
    if (row_)
        write_row();
    else
        read_own_row();
}

void registration::read_own_row()
{
    write_pending_ = true;
    auto on_row = [this](read_result const& result)
    {
        write_pending_ = false;
        on_own_row(result);
    };
    store_.read({key_}, write_timeout, guard_.wrap(on_row));
}

void registration::on_own_row(read_result const& result)
{
    if (result.status != store_status::ok || result.rows.size() != 1)
    {
        retry_later();
        return;
    }
    row const& present = result.rows.front();
    auto const found = decode_registration_record(present.value);
    row_ = present.version;
    if (found && found->run == record_.run)
    {
        confirm();
        beat_later();
        return;
    }
    if (found && (registered_ || has_live_rival(present, *found)))
    {
        supersede();
        return;
    }
    if (rival_row_ != 0 && clock_.now() - rival_since_ < rival_silence)
    {
        row_.reset();
        schedule_write(retry_interval);
        return;
    }
    if (found && found->incarnation >= record_.incarnation)
        record_.incarnation = found->incarnation + 1;
    changed_ = true;
    write_row();
}

/// A run that could not register at its start, or was paused before it did,
/// may find a row of a run that started later. Whether that one still runs
/// shows in its heartbeats. At its start a run takes the row at once.
bool registration::has_live_rival(
    row const& present, registration_record const& found)
{
    bool const fresh =
        !paused_once_ && clock_.now() - started_at_ <= fresh_time;
    bool const later = found.incarnation > record_.incarnation && !found.left;
    if (fresh || !later)
        return false;
    bool const refreshed = rival_row_ != 0 && rival_row_ != present.version;
    if (rival_row_ == 0)
        rival_since_ = clock_.now();
    rival_row_ = present.version;
    return refreshed;
}

void registration::write_row()
{
    write_pending_ = true;
    bool const changed = std::exchange(changed_, false);
    progressed_ = false;
    ++record_.beat;
    record_.refreshed_at = format_wall_time(clock_.wall_now());
    std::vector<row_write> writes{{key_, encode(record_), row_}};
    if (changed)
        writes.push_back({membership_changed_key, record_.run, std::nullopt});
    auto on_commit = [this, changed](commit_result const& result)
    {
        write_pending_ = false;
        if (result.status != store_status::ok)
            changed_ = changed_ || changed;
        on_written(result);
    };
    store_.commit(std::move(writes), write_timeout, guard_.wrap(on_commit));
}

void registration::on_written(commit_result const& result)
{
    switch (result.status)
    {
    case store_status::ok:
        row_ = result.versions.front();
        heartbeats_.add();
        confirm();
        beat_later();
        break;
    case store_status::unavailable:
        retry_later();
        break;
    case store_status::unknown:
        store_failures_.add();
        row_.reset(); // read back whether it took effect
        schedule_write(duration{});
        break;
    case store_status::conflict:
        row_.reset(); // another run, or an earlier write that was in doubt
        schedule_write(duration{});
        break;
    }
}

/// Sooner when there is something to show; not at all after the last write.
void registration::beat_later()
{
    if (record_.left && !changed_)
    {
        finish_stop();
        return;
    }
    bool const soon = changed_ || progressed_;
    schedule_write(
        soon ? duration{change_delay} : jittered(heartbeat_interval));
}

/// The store is down: a planned stop does not wait for it.
void registration::retry_later()
{
    store_failures_.add();
    if (record_.left)
        finish_stop();
    else
        schedule_write(retry_interval);
}

void registration::finish_stop()
{
    cancel_timers();
    if (on_stopped_)
        on_stopped_();
}

void registration::serve_provisionally()
{
    if (state_ != state::starting)
        return;
    state_ = state::provisional;
    announce_incarnation();
}

void registration::confirm()
{
    if (!registered_)
        registrations_.add();
    registered_ = true;
    state_ = state::confirmed;
    announce_incarnation();
}

void registration::announce_incarnation()
{
    if (announced_ == record_.incarnation)
        return;
    announced_ = record_.incarnation;
    if (on_incarnation_)
        on_incarnation_(announced_);
}

void registration::supersede()
{
    state_ = state::superseded;
    cancel_timers();
    set_drain(true);
    if (on_superseded_)
        on_superseded_();
}

} // namespace dotterellock
