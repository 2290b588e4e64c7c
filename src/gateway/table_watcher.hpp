// Follows one table of the platform's store: a full listing, then changes by
// long polling. If the store no longer has the history, it lists again. The
// store client limits the duration of calls; this class decides what to request
// and when.
#ifndef DOTTERELLOCK_GATEWAY_TABLE_WATCHER_HPP
#define DOTTERELLOCK_GATEWAY_TABLE_WATCHER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "event_log.hpp"
#include "store_clock.hpp"
#include "value_delta.hpp"

namespace dotterellock
{

/// How a gateway passes on changes of large rows.
enum class large_row_form
{
    whole,
    updates, // as differences where they are kept
    only_updates
};

/// Changes of a large row, as the difference to a revision that the reader has.
struct row_update
{
    std::string key;
    std::uint64_t base = 0;     // revision of the row that is changed
    std::uint64_t revision = 0; // of the row after the last step
    std::vector<value_delta> steps;
};

struct store_row
{
    std::string key;
    std::string value;          // decoded bytes
    std::uint64_t revision = 0; // see store_revision.hpp
    bool deleted = false;
};

enum class row_read_status
{
    ok,
    history_lost, // the requested revision is no longer available
    refused,      // not executed; may be retried
    failed        // no answer, or an unreadable one
};

struct row_read_result
{
    row_read_status status = row_read_status::failed;
    std::vector<store_row> rows;
    std::vector<row_update>
        updates;                // of a gateway, for one that asked for them
    std::uint64_t revision = 0; // of the whole store at the time of the answer

    // Rows that were made and deleted since the requested revision may be
    // missing.
    bool changes_skipped = false;
    bool more = false; // the listing has further pages
    std::optional<std::chrono::milliseconds> store_time; // store's steady clock

    // Set if another gateway answered from its copy: when that was proven to be
    // complete, counted from the sending of this call.
    std::optional<std::chrono::milliseconds> proven_after_sending;
    std::vector<host_id> via; // gateways that passed it on, the nearest first
    std::string detail;       // reason of a failure
    std::size_t received_bytes = 0; // also of an answer that broke off
};

/// Read access to the platform's store. One call at a time.
class row_reader
{
public:
    using handler = std::function<void(row_read_result)>;

    virtual ~row_reader() = default;

    /// @param from  first key; empty for all
    virtual void
    list(std::string const& table, std::string const& from, handler done) = 0;

    /// Reads changes after a revision. Answers at once if there are any,
    /// otherwise after `wait`.
    virtual void changes(
        std::string const& table, std::uint64_t after,
        std::chrono::milliseconds wait, handler done) = 0;

    /// Size of the current call's answer, once its head has come; 0 before.
    virtual std::size_t receiving() const { return 0; }

    /// Gives up the current call; its handler is not called.
    virtual void cancel() {}
};

/// When the changes in an answer may have been made.
struct change_period
{
    steady_time not_before{}; // the copy was complete then
    bool interrupted = false; // calls to the store failed since
};

/// What the rows received so far amount to.
struct copy_state
{
    steady_time proven{};       // complete as of then
    std::uint64_t revision = 0; // and as of this revision

    // Rows that were made and deleted since the previous state may not have
    // come at all.
    bool changes_skipped = false;

    // Gateways that passed the proof on, the nearest first.
    std::vector<host_id> via{};
};

/// Receives the contents of a table.
class table_listener
{
public:
    virtual ~table_listener() = default;
    virtual void on_listing(
        std::vector<store_row> const& rows, change_period const& period) = 0;
    virtual void
    on_change(store_row const& row, change_period const& period) = 0;

    /// Called after the rows of each answer.
    virtual void on_current(copy_state const& state) = 0;
};

struct table_watch_settings
{
    std::chrono::milliseconds poll_wait{1400};       // of one call for changes
    std::chrono::milliseconds change_batch_delay{0}; // collects further changes
    std::chrono::milliseconds min_retry_delay{50};   // doubles per failure
    std::chrono::milliseconds max_retry_delay{400};
};

class table_watcher
{
public:
    table_watcher(
        std::string table, table_watch_settings const& settings,
        row_reader& store, table_listener& listener, clock_source const& clock,
        random_source& random, event_log& log);

    table_watcher(table_watcher const&) = delete;
    table_watcher& operator=(table_watcher const&) = delete;

    /// Makes the next call when it is due; called many times a second.
    void poll();

    /// Sets the longest wait of the next calls for changes.
    void set_poll_wait(std::chrono::milliseconds wait)
    {
        settings_.poll_wait = wait;
    }

    bool listed() const { return listed_; }
    std::optional<steady_time> current_as_of() const { return current_as_of_; }
    bool connected() const { return consecutive_failures_ == 0 && listed_; }

private:
    void request_listing();
    void request_changes();
    template<typename Call>
    void start_call(Call const& call, row_reader::handler done);
    template<typename Work>
    void notify(std::string const& what, Work const& work);
    void on_listing_page(steady_time sent, row_read_result answer);
    void on_changes(steady_time sent, row_read_result const& answer);
    change_period period_since_proof(steady_time proven) const;
    void on_proven(
        steady_time proven, bool changes_skipped,
        std::vector<host_id> const& via);
    steady_time proof_of(steady_time sent, row_read_result const& answer);
    void on_success();
    void on_failure(row_read_result const& answer);

    std::string const table_;
    table_watch_settings settings_;
    row_reader& store_;
    table_listener& listener_;
    clock_source const& clock_;
    random_source& random_;
    event_log& log_;

    bool call_pending_ = false;
    std::uint64_t call_number_ = 0; // tells answers to given up calls apart
    bool listed_ = false; // complete listing received; following changes
    bool was_listed_ = false;
    std::uint64_t revision_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    steady_time next_call_{};
    std::vector<store_row> listed_rows_;
    std::uint64_t first_page_revision_ = 0;
    steady_time first_page_time_{}; // not produced before
    store_clock store_clock_;
    bool answered_by_store_ = true; // the last call; else by another gateway
    std::optional<steady_time> current_as_of_; // last proof of completeness
    std::vector<host_id> proven_via_;          // see copy_state
    bool interrupted_ = false;                 // a call failed since then
};

} // namespace dotterellock

#endif
