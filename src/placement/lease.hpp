// A lease stored in the table service. At most one process holds it at a time,
// and each acquisition gets a fencing token above all earlier ones. There is
// one object per process and lease. Not thread-safe: the owner serialises all
// calls with its lock.
//
// The row `lease/<name>` stores the holder, its run id, the fencing token and
// the term. Clocks of different hosts are never compared. A contender acquires
// the lease once its own monotonic clock has advanced by a whole term without
// a change of the row version. The holder counts its term from before it sent
// the write that renewed the lease, minus a margin for clock drift.
//
// Store load: the holder writes every third of a term; each contender reads
// once per term, which is 24 reads/s for 360 routers and a term of 15 s.
#ifndef DOTTERELLOCK_PLACEMENT_LEASE_HPP
#define DOTTERELLOCK_PLACEMENT_LEASE_HPP

#include <functional>
#include <optional>
#include <string>

#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "store/callback_guard.hpp"

namespace dotterellock
{

struct lease_record
{
    peer_id holder;     // empty if the lease was released
    std::string run_id; // unique per lease object
    fencing_token token = 0;
    std::chrono::milliseconds term{0};
    std::uint64_t renewal_count = 0; // incremented by each write of the holder
};

std::string lease_key(std::string const& name);
std::string encode(lease_record const& record);
std::optional<lease_record> decode_lease_record(std::string const& text);

class lease
{
public:
    lease(
        peer_id self, std::string const& name, clock_source& clock,
        timer_service& timers, random_source& random, table_service& store,
        duration term, counter_registry& counters);
    ~lease();
    lease(lease const&) = delete;
    lease& operator=(lease const&) = delete;

    void start();

    /// Releases the lease so that another process can acquire it at once.
    void stop();

    /// True while no other process can have acquired the lease. After a pause
    /// of the process it is false until a renewal succeeds. Check it right
    /// before each operation that needs the lease.
    bool held() const;

    /// Time for which held() stays true without a renewal; zero if not held.
    duration remaining() const;

    /// Fencing token; 0 while the lease is not held.
    fencing_token token() const { return held() ? record_.token : 0; }

    void set_on_change(std::function<void(bool held)> callback);

private:
    struct lease_write
    {
        std::uint64_t renewal_count = 0;
        steady_time sent_at;
    };

    void on_timer();
    void schedule_timer(duration delay);
    void read_row();
    void on_row(read_result const& result, steady_time read_started_at);
    void on_own_row(row const& present, lease_record const& found);
    void on_other_row(
        row const& present, lease_record const& found,
        steady_time read_started_at);
    void write(row_version expected);
    void on_written(commit_result const& result, lease_write const& written);
    void extend(row_version version, steady_time sent_at);
    void mark_lost();
    void report_change();
    bool paused() const;
    void record_activity();

    peer_id self_;
    std::string key_;
    std::string run_id_;
    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    table_service& store_;
    duration term_;
    std::function<void(bool)> on_change_;

    lease_record record_;   // own, as last written
    bool owns_row_ = false; // this object wrote the current row
    steady_time held_until_;
    std::optional<row_version> own_row_version_; // if known; else read first
    // The oldest write without a response; it may still take effect.
    std::optional<lease_write> unconfirmed_write_;

    // Row of another holder and when it was first seen with this version.
    row_version other_row_version_ = 0;
    std::optional<steady_time> other_row_since_;

    bool request_pending_ = false;
    bool stopping_ = false;
    bool reported_held_ = false;
    steady_time last_active_at_;
    timer_id timer_ = 0;

    counter& acquired_;
    counter& lost_;
    counter& pauses_;
    counter& store_failures_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
