// Reads one table from the platform's store or from the copies of other
// gateways, in the order of a table_source_selector. A source that fails is
// replaced within the same call, so that its user notices nothing.
#ifndef DOTTERELLOCK_RELAY_SHARED_ROW_READER_HPP
#define DOTTERELLOCK_RELAY_SHARED_ROW_READER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/observability.hpp>

#include "gateway/event_log.hpp"
#include "gateway/table_source_selector.hpp"
#include "gateway/table_watcher.hpp"

namespace dotterellock
{

/// Calls to the copies of other gateways. One call at a time.
class peer_table_reader
{
public:
    virtual ~peer_table_reader() = default;

    /// Like row_reader::changes(), answered by the gateway at `address`.
    virtual void changes(
        std::string const& address, std::string const& table,
        std::uint64_t after, std::chrono::milliseconds wait,
        row_reader::handler done) = 0;

    /// As those of row_reader.
    virtual std::size_t receiving() const { return 0; }
    virtual void cancel() {}
};

class shared_row_reader : public row_reader
{
public:
    // Answers from this size on are logged. The gateways of a region do not all
    // load rows from this size on over its link.
    static constexpr std::size_t large_answer_bytes = 64u << 10;

    /// @param max_peer_wait  longest wait of a call to another gateway; short
    ///                       ones keep the copy nearly as recent as theirs
    shared_row_reader(
        row_reader& store, peer_table_reader& peers,
        std::chrono::milliseconds max_peer_wait,
        table_source_selector& selector, clock_source const& clock,
        event_log& log, counter_registry& counters);

    shared_row_reader(shared_row_reader const&) = delete;
    shared_row_reader& operator=(shared_row_reader const&) = delete;

    /// Always from the store: copies of others may be behind.
    void list(std::string const& table, std::string const& from, handler done)
        override;

    /// Gives up a call that is not done.
    void changes(
        std::string const& table, std::uint64_t after,
        std::chrono::milliseconds wait, handler done) override;

    std::size_t receiving() const override
    {
        return std::max(store_.receiving(), peers_.receiving());
    }
    void cancel() override;

    /// Turns from a source that sends a large answer to the region's readers of
    /// large rows; called many times a second.
    void poll();

    /// What answered last: "store", a gateway, or "-" before the first answer.
    std::string last_source() const;

    /// Calls that the store itself got.
    std::uint64_t store_calls() const { return store_calls_; }

private:
    struct pending_call
    {
        std::string table;
        std::uint64_t after = 0;
        std::chrono::milliseconds wait{0};
        handler done;
        std::vector<table_source> sources;
        std::size_t next = 0;      // of sources
        bool history_lost = false; // at another gateway
        steady_time sent{};        // to the last source
    };

    void try_next_source();
    void note_row_sizes(std::vector<store_row> const& rows);
    void on_answer(table_source const& source, row_read_result answer);
    void note_source(table_source const& source, row_read_result const& answer);
    void
    note_large_answer(std::string const& source, row_read_result const& answer);

    row_reader& store_;
    peer_table_reader& peers_;
    std::chrono::milliseconds const max_peer_wait_;
    table_source_selector& selector_;
    clock_source const& clock_;
    event_log& log_;
    counter_registry& counters_;
    pending_call call_;
    std::uint64_t call_number_ = 0; // tells answers to given up calls apart
    std::optional<std::string> large_row_; // key of a large row in the table
    std::optional<host_id> last_source_;   // empty host: the store
    std::uint64_t store_calls_ = 0;
};

} // namespace dotterellock

#endif
