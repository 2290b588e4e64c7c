// Follows a table through another reader, and asks a gateway that announced a
// later revision when the change is overdue: the answer of the usual source may
// take seconds, as its link is slow and the answer holds a large row whole.
// Those asked pass on the difference only, and refuse if they have none.
#ifndef DOTTERELLOCK_RELAY_CATCH_UP_READER_HPP
#define DOTTERELLOCK_RELAY_CATCH_UP_READER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "gateway/announced_revisions.hpp"
#include "gateway/event_log.hpp"
#include "gateway/table_source_selector.hpp"
#include "shared_row_reader.hpp"

namespace dotterellock
{

class catch_up_reader : public row_reader
{
public:
    // Between two gateways that are asked in vain, and until one is again.
    static constexpr std::chrono::milliseconds ask_interval{100};
    static constexpr std::chrono::milliseconds retry_interval{1000};

    /// @param usual  gives up its call for changes when it gets the next one
    /// @param peers  asks for differences only
    catch_up_reader(
        row_reader& usual, peer_table_reader& peers,
        table_source_selector const& selector,
        announced_revisions const& announced, clock_source const& clock,
        event_log& log)
        : usual_(usual), peers_(peers), selector_(selector),
          announced_(announced), clock_(clock), log_(log)
    {
    }

    catch_up_reader(catch_up_reader const&) = delete;
    catch_up_reader& operator=(catch_up_reader const&) = delete;

    void list(std::string const& table, std::string const& from, handler done)
        override;

    void changes(
        std::string const& table, std::uint64_t after,
        std::chrono::milliseconds wait, handler done) override;

    std::size_t receiving() const override { return usual_.receiving(); }

    /// Asks another gateway, if need be; called many times a second.
    void poll();

private:
    table_peer const* next_peer(steady_time now) const;
    void ask(table_peer const& peer);
    void on_answer(
        std::uint64_t call, table_peer const& peer, steady_time sent,
        row_read_result answer);
    void finish(row_read_result answer);

    row_reader& usual_;
    peer_table_reader& peers_;
    table_source_selector const& selector_;
    announced_revisions const& announced_;
    clock_source const& clock_;
    event_log& log_;

    // Current call for changes
    std::uint64_t call_ = 0;
    std::string table_;
    std::uint64_t after_ = 0;
    steady_time began_{};
    handler done_;
    bool asking_ = false;
    steady_time last_asked_{};
    std::map<host_id, steady_time> asked_; // without success, at last
};

} // namespace dotterellock

#endif
