// Records configuration versions and tracks their rollout, for the operators'
// command-line tool. Single-threaded; one operation at a time.
//
// Recording. The history entry is first put into the object store under a key
// unique to the attempt. Then one transaction adds the document and replaces
// `config/current`, on condition that the row is still the one the operator's
// document is based on. Each entry names its predecessor, so the history is
// complete for every version that `config/current` names. After a lost answer
// the row is read back: the row, or the history starting at it, names the
// attempt that wrote it.
//
// A version is accepted once every live process has it or a later one in force.
// A registered process counts as live until it deregisters, or until three
// conditions hold: no zone collector hears from it, its row has not changed for
// `registration_timeout` on this tool's clock, and the fleet view no longer
// lists its host. Silence alone is not enough: processes of a region that is
// partitioned from the store keep serving. A process that starts during a store
// outage takes its version from registered processes, so it does not lag
// behind the processes that count.
#ifndef DOTTERELLOCK_CONFIGURATION_CONFIGURATION_OPERATOR_HPP
#define DOTTERELLOCK_CONFIGURATION_CONFIGURATION_OPERATOR_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/configuration.hpp>
#include <dotterellock/external_services.hpp>
#include <dotterellock/runtime.hpp>

#include "configuration/configuration_records.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

/// Two and a half heartbeat intervals of a registration.
constexpr std::chrono::seconds registration_timeout{40};

enum class apply_outcome
{
    accepted,     // in force in every live process
    recorded,     // recorded; the caller did not wait for the rollout
    not_accepted, // recorded; not in force everywhere within the limit
    superseded,   // recorded, then replaced by a later version
    conflict,     // not recorded: the document is based on another version
    unavailable,  // not recorded: no answer from the store
    unknown       // may be recorded, now or later
};

char const* to_string(apply_outcome outcome);

struct apply_request
{
    std::string document;
    std::string author;
    /// Version that the document is based on; empty: no version is recorded.
    std::optional<configuration_version> base;
    bool wait = true;
    duration time_limit = std::chrono::seconds(90);
};

struct node_version
{
    peer_id peer;
    configuration_version in_force = 0; // 0: none or not reported
};

struct rollout_status
{
    std::size_t live = 0;
    std::size_t in_force = 0;
    std::vector<node_version> missing;
    bool accepted() const { return missing.empty(); }
};

struct apply_result
{
    apply_outcome outcome = apply_outcome::unavailable;
    configuration_version version = 0; // recorded, or current on conflict
    std::string diff;                  // on conflict: from current to requested
    std::string detail;
    rollout_status fleet;
};

/// `problem` is empty on success.
struct configuration_status
{
    std::string problem;
    std::optional<version_record> record; // empty: no version is recorded
    std::string document;
    rollout_status fleet;
};

struct history_result
{
    std::string problem;
    std::vector<history_entry> entries; // latest first
};

class configuration_operator
{
public:
    configuration_operator(
        clock_source& clock, timer_service& timers, random_source& random,
        table_service& store, object_store& objects,
        dotterellock::fleet_view& fleet, configuration_parser const& parser);
    ~configuration_operator();
    configuration_operator(configuration_operator const&) = delete;
    configuration_operator& operator=(configuration_operator const&) = delete;

    /// Throws error(invalid_argument) for a document that does not parse.
    /// @param progress  called with each new status while waiting
    void apply(
        apply_request request,
        std::function<void(rollout_status const&)> progress,
        std::function<void(apply_result)> done);

    /// Current version, its document and the processes that lack it. A single
    /// snapshot: a dead process is listed as missing until its registration
    /// is removed.
    void status(std::function<void(configuration_status)> const& done);

    /// Entries from the current version back, at most `limit`.
    void
    history(std::size_t limit, std::function<void(history_result)> const& done);

private:
    struct row_observation
    {
        row_version version = 0;
        steady_time since;
    };

    using rows = std::vector<row>;

    /// Data for one rollout status, read in this order. A process that
    /// registers in the meantime can be left out: it starts with the store's
    /// current version.
    struct fleet_snapshot
    {
        configuration_version version = 0;
        bool complete = true;                   // all reads were answered
        std::optional<std::set<host_id>> hosts; // empty: view did not answer
        rows endpoints;
        rows nodes;
        rows reports;
        std::function<void(bool complete, rollout_status)> done;
    };

    // Steps of apply, in order.
    void read_base();
    void on_base(row const& current);
    void read_base_document();
    void compare_base();
    void put_history();
    void commit();
    void on_commit(commit_result const& result);
    void read_back();
    void on_read_back(row const& current);
    void find_attempt_in_history(
        std::string const& key, version_record const& latest);
    void on_recorded();
    void poll_rollout();
    void on_rollout_status(bool complete, rollout_status const& status);
    void finish(apply_outcome outcome, std::string detail);
    bool deadline_passed() const;
    void retry_later(void (configuration_operator::*step)());

    void read_rollout_status(
        configuration_version version,
        std::function<void(bool complete, rollout_status)> done);
    void scan_into(
        std::shared_ptr<fleet_snapshot> const& snapshot,
        std::string const& prefix, rows fleet_snapshot::*target,
        std::function<void()> const& next);
    rollout_status evaluate_rollout(fleet_snapshot const& snapshot);
    std::map<peer_id, configuration_version>
    reported_versions(fleet_snapshot const& snapshot, std::set<peer_id>& live);
    bool
    is_dead(row const& r, host_id const& host, fleet_snapshot const& snapshot);
    bool unchanged_for(row const& r, duration span);
    void remove_stale_reports(rows const& reports);
    void read_history_from(
        std::string const& key, std::size_t limit,
        std::shared_ptr<history_result> const& result,
        std::function<void(history_result)> const& done);

    void read_row(
        std::string const& key,
        std::function<void(std::optional<row>)> const& done);
    void scan(
        std::string const& prefix, std::function<void(bool, rows)> const& done);

    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    table_service& store_;
    object_store& objects_;
    dotterellock::fleet_view& fleet_;
    configuration_parser const& parser_;

    apply_request request_;
    std::function<void(rollout_status const&)> progress_;
    std::function<void(apply_result)> done_;
    apply_result result_;
    steady_time deadline_;
    version_record base_record_; // version 0: no version is recorded
    row_version base_row_version_ = 0;
    std::string base_document_;
    version_record own_record_;
    bool commit_in_doubt_ = false; // a commit was not answered
    std::map<std::string, row_observation> observed_rows_;
    timer_id timer_ = 0;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
