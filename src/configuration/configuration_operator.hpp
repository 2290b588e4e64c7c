// Records configuration versions and watches them come into force, for the
// operators' tool. One operation at a time; used by the tool's only thread.
//
// Recording. First the history entry is put into the object store under a key
// that no other attempt uses. Then one transaction replaces `config/current`,
// on condition that it is the row that the operator's document is based on,
// and adds the document. The entry names its predecessor, so history is
// complete whenever the row is. An answer that was lost is resolved by reading
// back: the row, or the history from it, names the attempt that wrote it.
//
// Accepted means: every live process has the version or a later one in force.
// A registered process counts as live until it left, or until three things are
// true: no zone collector hears it, its row was seen unchanged for
// `live_limit` of this tool's own clock, and the fleet view no longer lists
// its host. Silence alone proves nothing: the processes of a region that is
// cut off from the store go on serving. A process that started without the
// store has its version from registered ones, so it lags behind none that
// counts.
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

#include "configuration/configuration_rows.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

/// Two and a half heartbeats of a registration.
constexpr std::chrono::seconds live_limit{40};

enum class apply_outcome
{
    accepted,     // in force at every live process
    recorded,     // recorded; nobody waited
    not_accepted, // recorded; the time limit passed before all had it
    superseded,   // recorded; a later version replaced it meanwhile
    conflict,     // not recorded: the document is based on another version
    unavailable,  // not recorded: the store did not answer
    unknown       // may have been recorded, also later on
};

char const* to_string(apply_outcome outcome);

struct apply_request
{
    std::string document;
    std::string author;
    /// Version that the document was made from; empty: none was recorded yet.
    std::optional<configuration_version> base;
    bool wait = true;
    duration time_limit = std::chrono::seconds(90);
};

struct node_standing
{
    peer_id peer;
    configuration_version in_force = 0; // 0: none, or unheard of
};

struct fleet_standing
{
    std::size_t live = 0;
    std::size_t in_force = 0;
    std::vector<node_standing> missing;
    bool accepted() const { return missing.empty(); }
};

struct apply_result
{
    apply_outcome outcome = apply_outcome::unavailable;
    configuration_version version = 0; // recorded, or current in a conflict
    std::string difference;            // of a conflict: current to wanted
    std::string detail;
    fleet_standing fleet;
};

/// Result of reading; `problem` is empty on success.
struct configuration_status
{
    std::string problem;
    std::optional<version_record> record; // empty: nothing recorded yet
    std::string document;
    fleet_standing fleet;
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
    /// @param progress  called with each new standing while waiting
    void apply(
        apply_request request,
        std::function<void(fleet_standing const&)> progress,
        std::function<void(apply_result)> done);

    /// Current version, its document, and who lacks it. One look: a dead
    /// process is listed as missing until its registration goes away.
    void status(std::function<void(configuration_status)> const& done);

    /// Walks back from the current version.
    void
    history(std::size_t limit, std::function<void(history_result)> const& done);

private:
    struct seen_row
    {
        row_version version = 0;
        steady_time since;
    };

    using rows = std::vector<row>;

    /// What one look reads, in this order: a process that registers during the
    /// look starts with the store's current version.
    struct picture
    {
        configuration_version version = 0;
        bool complete = true;                   // every read was answered
        std::optional<std::set<host_id>> hosts; // empty: view did not answer
        rows endpoints;
        rows nodes;
        rows reports;
        std::function<void(bool complete, fleet_standing)> done;
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
    void search_history(std::string const& key, version_record const& latest);
    void recorded();
    void wait_step();
    void on_standing(bool complete, fleet_standing const& standing);
    void finish(apply_outcome outcome, std::string detail);
    bool out_of_time() const;
    void retry(void (configuration_operator::*step)());

    void look(
        configuration_version version,
        std::function<void(bool complete, fleet_standing)> done);
    void look_at_rows(
        std::shared_ptr<picture> const& p, std::string const& prefix,
        rows picture::*target, std::function<void()> const& next);
    fleet_standing evaluate(picture const& p);
    std::map<peer_id, configuration_version>
    reported(picture const& p, std::set<peer_id>& live);
    bool dead(row const& r, host_id const& host, picture const& p);
    bool unchanged_for(row const& r, duration span);
    void remove_stale_reports(rows const& reports);
    void walk(
        std::string const& key, std::size_t limit,
        std::shared_ptr<history_result> const& result,
        std::function<void(history_result)> const& done);

    void read_one(
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
    std::function<void(fleet_standing const&)> progress_;
    std::function<void(apply_result)> done_;
    apply_result result_;
    steady_time deadline_;
    version_record base_; // version 0: nothing recorded yet
    row_version base_row_ = 0;
    std::string base_document_;
    version_record own_;
    bool in_doubt_ = false; // a commit has gone without answer
    std::map<std::string, seen_row> seen_;
    timer_id timer_ = 0;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
