// The platform's store as the explorer's gateway reads it.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_STORE_MODEL_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_STORE_MODEL_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "gateway/table_watcher.hpp"
#include "manual_scheduler.hpp"

namespace dotterellock::testing::explorer
{

using std::chrono::milliseconds;

enum class store_mode
{
    works,
    refuses,
    holds // calls end by their time limit
};

struct store_state
{
    asio::io_context& io;
    manual_scheduler& scheduler;
    store_mode mode = store_mode::works;
    std::uint64_t revision = 1;
    bool tells_time = false; // answers carry the store's clock
};

/// One table. Commits are answered to the call that waits for them.
class store_table : public row_reader
{
public:
    explicit store_table(store_state& state) : state_(state) {}

    void commit(std::string const& key, std::string const& value);
    void remove(std::string const& key);

    /// The store works again: calls are answered.
    void answer_waiting();

    void list(std::string const& table, std::string const& from, handler done)
        override;
    void changes(
        std::string const& table, std::uint64_t after, milliseconds wait,
        handler done) override;

private:
    struct call
    {
        handler done;
        std::uint64_t after = 0;
        bool listing = false;
    };

    void put(store_row row);
    void start(call c, milliseconds limit);
    void answer();
    row_read_result rows_after(call const& c) const;

    store_state& state_;
    std::map<std::string, store_row> rows_;
    std::unique_ptr<call> waiting_;
    timer_id timer_ = 0;
};

} // namespace dotterellock::testing::explorer

#endif
