// Copy of one table that this gateway offers to others, so that only some of a
// fleet's gateways read the platform's store. Passes everything on to the
// listener that uses the table here.
//
// A call is answered at once with the newest row of each key that changed after
// a revision, or held until there is one. Large rows are passed on as the
// difference to the caller's copy. Each answer tells how recent the copy was
// proven to be, counted from the arrival of the call, so that delays on the way
// back make it look older, never newer.
//
// Designed for fleets of hundreds of gateways, whose reads of the store would
// otherwise grow with their number, and for configurations of a megabyte that
// change more often than a slow link carries them.
#ifndef DOTTERELLOCK_GATEWAY_SHARED_TABLE_HPP
#define DOTTERELLOCK_GATEWAY_SHARED_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "table_watcher.hpp"

namespace dotterellock
{

class shared_table : public table_listener
{
public:
    using handler = std::function<void(row_read_result)>;

    // Deleted rows that are remembered. Gateways whose copies are further
    // behind list the table again.
    static constexpr std::size_t max_history_rows = 4096;

    // Changes of smaller rows are passed on whole.
    static constexpr std::size_t min_delta_row_bytes = 16u << 10;

    // Kept of one row, as parts of its size. Callers that are further behind
    // get the row whole.
    static constexpr std::size_t kept_deltas_divisor = 4;
    static constexpr std::size_t max_kept_deltas = 64;

    static constexpr std::size_t max_held_calls = 512;

    /// @param max_age  an older copy is refused, so that the caller asks
    ///                 elsewhere in time
    /// @param max_age_receiving  as max_age, while an answer is on the way
    shared_table(
        table_listener& next, clock_source const& clock,
        std::chrono::milliseconds max_age,
        std::chrono::milliseconds max_age_receiving)
        : next_(next), clock_(clock), max_age_(max_age),
          max_age_receiving_(max_age_receiving)
    {
    }

    shared_table(
        table_listener& next, clock_source const& clock,
        std::chrono::milliseconds max_age)
        : shared_table(next, clock, max_age, max_age)
    {
    }

    shared_table(shared_table const&) = delete;
    shared_table& operator=(shared_table const&) = delete;

    /// Answers with the changes after a revision, within `wait`. The handler
    /// runs once, possibly before this returns.
    void changes(
        std::uint64_t after, std::chrono::milliseconds wait, handler done,
        large_row_form form = large_row_form::whole);

    /// The row with this key, or null if it does not exist.
    store_row const* find(std::string const& key) const;

    /// Answers the held calls whose time is over.
    void poll();

    /// Whether calls would be answered now.
    bool current(steady_time now) const
    {
        return proven_ &&
               now - *proven_ <= (receiving_ ? max_age_receiving_ : max_age_);
    }

    /// Records whether the next answer of this copy's source is on the way.
    /// Followers that were refused meanwhile would load the same large answer
    /// over the same link, and delay it.
    void set_receiving(bool receiving) { receiving_ = receiving; }

    // table_listener
    void on_listing(
        std::vector<store_row> const& rows,
        change_period const& period) override;
    void on_change(store_row const& row, change_period const& period) override;
    void on_current(copy_state const& state) override;

private:
    struct held_call
    {
        std::uint64_t after = 0;
        steady_time arrived{};
        steady_time deadline{};
        large_row_form form = large_row_form::whole;
        handler done;
    };

    /// The change of a row from one revision to the next.
    struct row_step
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        value_delta delta;
    };

    /// The newest changes of one row, without a gap. The last one is worked
    /// out when a caller asks for it.
    struct row_steps
    {
        std::deque<row_step> steps;
        std::size_t bytes = 0;
        std::optional<store_row> previous; // before the last change
    };

    /// Changes between two revisions were skipped, so a copy from between them
    /// cannot be brought up to date.
    struct history_gap
    {
        std::uint64_t after = 0;
        std::uint64_t before = 0;
    };

    static constexpr std::size_t max_gaps = 16;

    bool history_reaches(std::uint64_t after) const;
    void add_to_history(store_row const& row);
    void note_change(store_row const& from, store_row const& to);
    void add_step(row_steps& kept, store_row const& to);
    void forget_deleted();
    std::optional<row_update>
    update_of(store_row const& row, std::uint64_t after);
    void add_listing_to_history(std::uint64_t revision);
    void restart_history(std::uint64_t revision);
    void add_gap(std::uint64_t revision);
    std::optional<row_read_result>
    answer(held_call const& call, steady_time now);
    void answer_held();
    void pass_on();

    table_listener& next_;
    clock_source const& clock_;
    std::chrono::milliseconds const max_age_;
    std::chrono::milliseconds const max_age_receiving_;
    bool receiving_ = false;
    std::optional<steady_time> proven_;
    std::vector<host_id> via_;              // of proven_, see copy_state
    std::uint64_t revision_ = 0;            // of the store, as of proven_
    std::uint64_t history_start_ = 0;       // changes after it are in rows_
    std::map<std::string, store_row> rows_; // the newest; deleted ones as well
    std::set<std::pair<std::uint64_t, std::string>> changes_; // of rows_
    std::set<std::pair<std::uint64_t, std::string>> deleted_; // of rows_
    std::map<std::string, row_steps> steps_;                  // of large rows
    std::deque<history_gap> gaps_;
    std::optional<std::vector<store_row>> listing_; // until it is proven
    std::vector<std::function<void()>> to_pass_on_;
    std::vector<held_call> held_;
};

} // namespace dotterellock

#endif
