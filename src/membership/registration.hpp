// Registers one process in the table service, which yields its incarnation,
// keeps the row fresh and reads what operators want of the endpoint. One per
// process, owns its state, called under the lock of its graph.
//
// Incarnation. 42 bits of wall-clock milliseconds at the start of the run,
// then 22 random bits, raised to one above the registered predecessor when
// that is higher. A run that cannot reach the store serves generations and
// idempotent calls under the same number (provisional) and, as a rule, keeps
// it when it registers later, so that no work is invalidated. Uniqueness rests
// on the random bits (two runs in the same millisecond collide once in four
// million); the strict rise rests on the conditional write, not on the clock.
//
// Store budget, for 960 processes: one heartbeat in 15 s is 64 writes a
// second; 600 agents that read their desired state every 2 s are 300 reads a
// second, which keeps a drain within its 3 s.
//
// Of two runs for one endpoint the later one is right; the other finds its row
// replaced and stops (set_on_superseded).
#ifndef DOTTERELLOCK_MEMBERSHIP_REGISTRATION_HPP
#define DOTTERELLOCK_MEMBERSHIP_REGISTRATION_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "membership/registration_record.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

class registration
{
public:
    /// @param asked_at  when the read began; the rows are no older than that
    using rows_handler = std::function<void(
        std::vector<row> const& rows, steady_time read_started_at)>;

    registration(
        endpoint_info self, clock_source& clock, timer_service& timers,
        random_source& random, table_service& store,
        counter_registry& counters);
    ~registration();
    registration(registration const&) = delete;
    registration& operator=(registration const&) = delete;

    void start();

    /// Marks the row as left, for a planned stop.
    void stop(std::function<void()> done);

    /// Called with the first number, and again if registering raised it.
    void set_on_incarnation(std::function<void(incarnation)> callback);

    /// Called when the wanted state changes; also with true when this run was
    /// superseded.
    void set_on_drain(std::function<void(bool)> callback);
    void set_on_superseded(std::function<void()> callback);

    /// Reads these rows together with the desired state.
    void watch(std::vector<std::string> keys, rows_handler handler);

    incarnation current_incarnation() const { return record_.incarnation; }
    bool confirmed() const { return state_ == state::confirmed; }
    bool superseded() const { return state_ == state::superseded; }
    endpoint_info const& info() const { return record_.info; }

    /// False while draining, superseded, or after a pause until the desired
    /// state was read again (or the store proved unreachable).
    bool may_offer() const;

    /// Changes what the row shows; written soon. Routers learn models and
    /// operators the progress of a drain from it.
    void set_models(std::vector<model_ref> models);
    void set_drain_progress(bool draining, std::uint64_t in_flight);

private:
    enum class state
    {
        starting,
        provisional,
        confirmed,
        superseded
    };

    bool polls_desired_state() const;
    void poll_tick();
    void detect_pause();
    void read_desired_state();
    void
    on_desired_state(read_result const& result, steady_time read_started_at);
    void set_drain(bool drain);

    void schedule_write(duration delay);
    void schedule_next_write();
    void schedule_retry();
    void finish_stop();
    void write_tick();
    void read_own_row();
    void on_own_row(read_result const& result);
    bool
    has_live_competitor(row const& present, registration_record const& found);
    void write_row();
    void on_written(commit_result const& result);
    void become_provisional();
    void confirm();
    void announce_incarnation();
    void mark_superseded();
    void cancel_timers();
    duration jittered(duration interval);

    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    table_service& store_;
    std::string key_;
    registration_record record_;
    std::function<void(incarnation)> on_incarnation_;
    std::function<void(bool)> on_drain_;
    std::function<void()> on_superseded_;
    std::function<void()> on_stopped_;
    std::vector<std::string> watched_keys_;
    rows_handler on_watched_rows_;

    state state_ = state::starting;
    std::optional<row_version> row_version_; // known version of own row
    bool write_pending_ = false;
    row_version competitor_row_version_ = 0; // of a run that started later
    steady_time competitor_since_;
    steady_time started_at_;
    bool was_paused_ = false;
    bool registered_ = false;       // this run has been in the row
    bool info_changed_ = false;     // routers must learn of it
    bool progress_changed_ = false; // operators should see it
    incarnation announced_ = 0;
    bool drain_wanted_ = false;
    bool desired_state_known_ = true; // false after a pause
    bool last_read_ok_ = false;
    unsigned last_read_number_ = 0;
    steady_time last_active_at_;
    timer_id poll_timer_ = 0;
    timer_id write_timer_ = 0;
    timer_id provisional_timer_ = 0;

    counter& registrations_;
    counter& heartbeats_;
    counter& store_failures_;
    counter& pauses_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
