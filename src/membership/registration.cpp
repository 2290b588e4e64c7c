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
// After a store failure, or while the row belongs to a competing run.
constexpr seconds retry_interval{5};
// One interval, a read that times out and its retry fit into the 3 s within
// which a draining endpoint has to stop taking work.
constexpr milliseconds desired_poll_interval{2000};
constexpr milliseconds desired_read_timeout{500};
constexpr milliseconds write_timeout{2000};
constexpr milliseconds pause_threshold{3000}; // a missed poll plus load delays
constexpr milliseconds provisional_delay{1000};
constexpr seconds startup_window{10};
constexpr seconds competitor_timeout{40}; // 2.5 heartbeats
// Combines several changes into one write.
constexpr milliseconds write_delay{500};
// Shortens intervals at random to spread processes that started together.
constexpr double jitter_fraction = 0.1;

constexpr unsigned incarnation_random_bits = 22;

incarnation initial_incarnation(wall_time now, random_source& random)
{
    auto const ms =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    auto const high = static_cast<std::uint64_t>(ms.count())
                      << incarnation_random_bits;
    return high | random.below(std::uint64_t{1} << incarnation_random_bits);
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
    record_.run_id = random_id(random);
    record_.incarnation = initial_incarnation(clock.wall_now(), random);
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
    watched_keys_ = std::move(keys);
    on_watched_rows_ = std::move(handler);
}

void registration::start()
{
    started_at_ = clock_.now();
    last_active_at_ = started_at_;
    provisional_timer_ =
        timers_.schedule(provisional_delay, [this] { become_provisional(); });
    if (polls_desired_state())
        poll_tick();
    read_own_row();
}

void registration::stop(std::function<void()> done)
{
    on_stopped_ = std::move(done);
    record_.left = true;
    record_.draining = true;
    info_changed_ = true;
    schedule_write(duration{});
}

bool registration::may_offer() const
{
    bool const stalled = polls_desired_state() &&
                         clock_.now() - last_active_at_ > pause_threshold;
    return !drain_wanted_ && !superseded() && desired_state_known_ && !stalled;
}

void registration::set_models(std::vector<model_ref> models)
{
    record_.info.models = std::move(models);
    info_changed_ = true;
    schedule_write(write_delay);
}

void registration::set_drain_progress(bool draining, std::uint64_t in_flight)
{
    bool const flipped = draining != record_.draining;
    bool const emptied = draining && in_flight == 0 && record_.in_flight != 0;
    record_.draining = draining;
    record_.in_flight = in_flight;
    if (!flipped && !emptied)
        return;
    progress_changed_ = true;
    schedule_write(write_delay);
}

duration registration::jittered(duration interval)
{
    double const factor = 1 - jitter_fraction * random_.uniform();
    return std::chrono::duration_cast<duration>(interval * factor);
}

// ---- desired state --------------------------------------------------------

/// Routers have no endpoint that operators could drain, and polling by 360 of
/// them would cost 190 reads/s.
bool registration::polls_desired_state() const
{
    return !record_.info.endpoint.empty() || !watched_keys_.empty();
}

void registration::poll_tick()
{
    poll_timer_ = timers_.schedule(
        jittered(desired_poll_interval), [this] { poll_tick(); });
    detect_pause();
    read_desired_state();
}

void registration::detect_pause()
{
    duration const gap = clock_.now() - last_active_at_;
    last_active_at_ = clock_.now();
    // Without polling only the heartbeat timer shows a pause.
    duration const usual =
        polls_desired_state() ? duration{} : heartbeat_interval;
    if (gap <= usual + pause_threshold)
        return;
    pauses_.add();
    was_paused_ = true;
    desired_state_known_ = !polls_desired_state();
    // Another run may have registered during the pause.
    if (state_ == state::confirmed)
        state_ = state::provisional;
    row_version_.reset();
    schedule_write(duration{});
}

void registration::read_desired_state()
{
    if (superseded())
        return;
    std::vector<std::string> keys{desired_key(record_.info)};
    keys.insert(keys.end(), watched_keys_.begin(), watched_keys_.end());
    steady_time const read_started_at = clock_.now();
    unsigned const number = ++last_read_number_;
    auto on_rows = [this, read_started_at, number](read_result const& result)
    {
        // Ignore the response of any but the latest read, since it may be
        // stale, for example after a pause.
        if (number == last_read_number_)
            on_desired_state(result, read_started_at);
    };
    store_.read(keys, desired_read_timeout, guard_.wrap(std::move(on_rows)));
}

void registration::on_desired_state(
    read_result const& result, steady_time read_started_at)
{
    // The store answers within the timeout; a later response was delayed by a
    // pause of this process.
    bool const current =
        clock_.now() - read_started_at <= 2 * desired_read_timeout;
    if (superseded() || !current)
        return;
    desired_state_known_ = true;
    bool const answered = result.status == store_status::ok &&
                          result.rows.size() == watched_keys_.size() + 1;
    bool const first_failure =
        !answered && std::exchange(last_read_ok_, answered);
    last_read_ok_ = answered;
    if (!answered)
    {
        store_failures_.add();
        // The last known state stays valid during a store outage.
        if (first_failure)
            read_desired_state();
        return;
    }
    auto const desired = decode_desired_drain(result.rows.front().value);
    set_drain(desired && desired->drain);
    if (on_watched_rows_)
        on_watched_rows_(
            {result.rows.begin() + 1, result.rows.end()}, read_started_at);
}

void registration::set_drain(bool drain)
{
    if (drain == drain_wanted_)
        return;
    drain_wanted_ = drain;
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
    detect_pause();
    if (write_pending_ || superseded())
        return;
    if (row_version_)
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
        schedule_retry();
        return;
    }
    row const& present = result.rows.front();
    auto const found = decode_registration_record(present.value);
    row_version_ = present.version;
    if (found && found->run_id == record_.run_id)
    {
        confirm();
        schedule_next_write();
        return;
    }
    if (found && (registered_ || has_live_competitor(present, *found)))
    {
        mark_superseded();
        return;
    }
    if (competitor_row_version_ != 0 &&
        clock_.now() - competitor_since_ < competitor_timeout)
    {
        row_version_.reset();
        schedule_write(retry_interval);
        return;
    }
    if (found && found->incarnation >= record_.incarnation)
        record_.incarnation = found->incarnation + 1;
    info_changed_ = true;
    write_row();
}

/// Whether the row belongs to a run that started later and still sends
/// heartbeats. A run finds such a row if it could not register at its start or
/// was paused before it did. A run that has just started takes the row at once.
bool registration::has_live_competitor(
    row const& present, registration_record const& found)
{
    bool const fresh =
        !was_paused_ && clock_.now() - started_at_ <= startup_window;
    bool const later = found.incarnation > record_.incarnation && !found.left;
    if (fresh || !later)
        return false;
    bool const refreshed = competitor_row_version_ != 0 &&
                           competitor_row_version_ != present.version;
    if (competitor_row_version_ == 0)
        competitor_since_ = clock_.now();
    competitor_row_version_ = present.version;
    return refreshed;
}

void registration::write_row()
{
    write_pending_ = true;
    bool const changed = std::exchange(info_changed_, false);
    progress_changed_ = false;
    ++record_.heartbeat_count;
    record_.refreshed_at = format_wall_time(clock_.wall_now());
    std::vector<row_write> writes{{key_, encode(record_), row_version_}};
    if (changed)
        writes.push_back(
            {membership_changed_key, record_.run_id, std::nullopt});
    auto on_commit = [this, changed](commit_result const& result)
    {
        write_pending_ = false;
        if (result.status != store_status::ok)
            info_changed_ = info_changed_ || changed;
        on_written(result);
    };
    store_.commit(std::move(writes), write_timeout, guard_.wrap(on_commit));
}

void registration::on_written(commit_result const& result)
{
    switch (result.status)
    {
    case store_status::ok:
        row_version_ = result.versions.front();
        heartbeats_.add();
        confirm();
        schedule_next_write();
        break;
    case store_status::unavailable:
        schedule_retry();
        break;
    case store_status::unknown:
        store_failures_.add();
        row_version_.reset(); // read whether the write took effect
        schedule_write(duration{});
        break;
    case store_status::conflict:
        // Written by another run, or by an earlier write without a response.
        row_version_.reset();
        schedule_write(duration{});
        break;
    }
}

/// Sooner if changes are not yet written; never after the final write.
void registration::schedule_next_write()
{
    if (record_.left && !info_changed_)
    {
        finish_stop();
        return;
    }
    bool const soon = info_changed_ || progress_changed_;
    schedule_write(soon ? duration{write_delay} : jittered(heartbeat_interval));
}

/// A planned shutdown does not wait for an unavailable store.
void registration::schedule_retry()
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

void registration::become_provisional()
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

void registration::mark_superseded()
{
    state_ = state::superseded;
    cancel_timers();
    set_drain(true);
    if (on_superseded_)
        on_superseded_();
}

} // namespace dotterellock
