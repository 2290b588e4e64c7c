// A router's list of endpoints, from the registration rows, and of the hosts
// that the platform is about to remove, from its fleet view, which lags behind.
// It lists the endpoints that exist, healthy or not; health comes from load
// reports within a second. There is one per process, with soft state only. Not
// thread-safe: the owner serialises all calls with its lock.
//
// Store load, for 360 routers and 600 endpoints: each router reads one small
// row every 5 s, which is 72 reads/s. It scans the registrations (about 150 kB)
// only after that row changed, at most every 20 s, or else every 10 minutes. At
// 500 changes a day that is 0.9 kB/s per router, compared with 30 kB/s for a
// scan every 5 s.
#ifndef DOTTERELLOCK_MEMBERSHIP_MEMBERSHIP_VIEW_HPP
#define DOTTERELLOCK_MEMBERSHIP_MEMBERSHIP_VIEW_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "store/callback_guard.hpp"

namespace dotterellock
{

class membership_view
{
public:
    membership_view(
        clock_source& clock, timer_service& timers, random_source& random,
        table_service& store, dotterellock::fleet_view& fleet,
        counter_registry& counters);
    ~membership_view();
    membership_view(membership_view const&) = delete;
    membership_view& operator=(membership_view const&) = delete;

    void start();

    /// Called with the whole list after each change. Endpoints on leaving hosts
    /// stay in the list, since their work in flight continues.
    void
    set_on_change(std::function<void(std::vector<endpoint_info>)> callback);

    /// Called with all leaving hosts after each change. Their endpoints must
    /// get no new work.
    void set_on_leaving(std::function<void(std::set<host_id>)> callback);

    std::vector<endpoint_info> const& endpoints() const { return endpoints_; }
    std::set<host_id> const& leaving() const { return leaving_; }

private:
    struct observed_row
    {
        row_version version = 0;
        steady_time since; // last change; restarts after a store failure
        endpoint_info info;
    };

    void on_timer();
    void read_change_marker();
    void on_change_marker(read_result const& result);
    void scan();
    void on_scan(read_result const& result);
    void on_failure();
    void publish();
    void check_hosts();
    void on_hosts(fleet_result const& result);

    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    table_service& store_;
    dotterellock::fleet_view& fleet_;
    std::function<void(std::vector<endpoint_info>)> on_change_;
    std::function<void(std::set<host_id>)> on_leaving_;

    std::map<std::string, observed_row> rows_;
    std::vector<endpoint_info> endpoints_;
    std::string published_text_; // encoded endpoints_, to detect changes
    std::set<host_id> leaving_;

    std::optional<row_version> scanned_version_;
    row_version marker_version_ = 0;
    steady_time scanned_at_;
    bool ages_valid_ = false; // false after a store failure
    bool read_pending_ = false;
    bool hosts_pending_ = false;
    timer_id timer_ = 0;

    counter& scans_;
    counter& store_failures_;
    counter& expired_rows_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
