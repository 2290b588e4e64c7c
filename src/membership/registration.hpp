// Registers a process in the table service, determines its incarnation, sends
// heartbeats and polls the state that operators request for the endpoint. There
// is one per process. Not thread-safe: the owner serialises all calls with its
// lock.
//
// Incarnation: 42 bits of wall-clock milliseconds at the start of the run, then
// 22 random bits; raised to one above the registered predecessor if that is
// higher. A run that cannot reach the store uses this number provisionally to
// serve generations and idempotent calls. It normally keeps the number when it
// registers later, so that no work is invalidated. The random bits make numbers
// unique (two runs started in the same millisecond collide once in four
// million). Numbers rise strictly because of the conditional write, not because
// of the clock.
//
// Store load, for 960 processes: a heartbeat every 15 s is 64 writes/s. 600
// agents that poll their desired state every 2 s are 300 reads/s; this keeps
// the start of a drain within its limit of 3 s.
//
// Of two runs for one endpoint the later one wins. The earlier one finds its
// row replaced and stops (set_on_superseded).
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
    /// @param read_started_at  start of the read; the rows are no older
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

    /// Marks the row as left, for a planned shutdown. Calls `done` once that is
    /// written or the store turns out to be unavailable.
    void stop(std::function<void()> done);

    /// Called with the initial number, and again if registration raised it.
    void set_on_incarnation(std::function<void(incarnation)> callback);

    /// Called when the requested drain state changes, and with true when this
    /// run is superseded.
    void set_on_drain(std::function<void(bool)> callback);
    void set_on_superseded(std::function<void()> callback);

    /// Reads these rows in the same read as the desired state.
    void watch(std::vector<std::string> keys, rows_handler handler);

    incarnation current_incarnation() const { return record_.incarnation; }
    bool confirmed() const { return state_ == state::confirmed; }
    bool superseded() const { return state_ == state::superseded; }
    endpoint_info const& info() const { return record_.info; }

    /// Whether the agent may offer to take work. False while a drain is
    /// requested, once superseded, and after a pause of the process until the
    /// desired state was read again or the read failed.
    bool may_offer() const;

    /// Changes the row, which is written after a short delay. Routers read the
    /// models from it, operators the progress of a drain.
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
    std::optional<row_version> row_version_; // own row, if known
    bool write_pending_ = false;
    row_version competitor_row_version_ = 0; // row of a run that started later
    steady_time competitor_since_;
    steady_time started_at_;
    bool was_paused_ = false;
    bool registered_ = false;       // this run was written to the row
    bool info_changed_ = false;     // not yet written; routers rescan
    bool progress_changed_ = false; // not yet written; for operators
    incarnation announced_ = 0;
    bool drain_wanted_ = false;
    bool desired_state_known_ = true; // false after a pause until read
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
