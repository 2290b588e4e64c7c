// Fakes that discard what they are told.
#ifndef DOTTERELLOCK_TESTS_SILENT_LISTENERS_HPP
#define DOTTERELLOCK_TESTS_SILENT_LISTENERS_HPP

#include <vector>

#include "gateway/event_log.hpp"
#include "gateway/table_watcher.hpp"

namespace dotterellock::testing
{

struct silent_log : event_log
{
    void
    record(event_level, char const*, std::vector<event_field> const&) override
    {
    }
};

struct silent_table_listener : table_listener
{
    void
    on_listing(std::vector<store_row> const&, change_period const&) override
    {
    }
    void on_change(store_row const&, change_period const&) override {}
    void on_current(copy_state const&) override {}
};

} // namespace dotterellock::testing

#endif
