#include "store_model.hpp"

#include <algorithm>

namespace dotterellock::testing::explorer
{

namespace
{

// The client's limit for a call, beyond the wait that it asked for.
constexpr milliseconds call_limit{800};

} // namespace

void store_table::commit(std::string const& key, std::string const& value)
{
    store_row row;
    row.key = key;
    row.value = value;
    put(std::move(row));
}

void store_table::remove(std::string const& key)
{
    store_row row;
    row.key = key;
    row.deleted = true;
    put(std::move(row));
}

void store_table::put(store_row row)
{
    row.revision = ++state_.revision;
    rows_[row.key] = row;
    answer_waiting();
}

void store_table::answer_waiting()
{
    if (!waiting_ || state_.mode != store_mode::works)
        return;
    if (waiting_->listing || !rows_after(*waiting_).rows.empty())
        answer();
}

void store_table::answer()
{
    state_.scheduler.cancel(timer_);
    auto const c = std::move(waiting_);
    row_read_result result;
    if (state_.mode == store_mode::works)
        result = rows_after(*c);
    else if (state_.mode == store_mode::refuses)
        result.status = row_read_status::refused;
    asio::post(
        state_.io,
        [done = c->done, result = std::move(result)] { done(result); });
}

row_read_result store_table::rows_after(call const& c) const
{
    row_read_result result;
    result.status = row_read_status::ok;
    result.revision = state_.revision;
    if (state_.tells_time)
        result.store_time = std::chrono::duration_cast<milliseconds>(
            state_.scheduler.now().time_since_epoch());
    for (auto const& [key, row] : rows_)
    {
        if (c.listing ? !row.deleted : row.revision > c.after)
            result.rows.push_back(row);
    }
    if (!c.listing)
        std::sort(
            result.rows.begin(), result.rows.end(),
            [](store_row const& a, store_row const& b)
            { return a.revision < b.revision; });
    return result;
}

void store_table::list(std::string const&, std::string const&, handler done)
{
    start({std::move(done), 0, true}, milliseconds(0));
}

void store_table::changes(
    std::string const&, std::uint64_t after, milliseconds wait, handler done)
{
    start({std::move(done), after, false}, wait);
}

void store_table::start(call c, milliseconds limit)
{
    waiting_ = std::make_unique<call>(std::move(c));
    bool const at_once = state_.mode == store_mode::refuses ||
                         (state_.mode == store_mode::works &&
                          (waiting_->listing || limit == limit.zero() ||
                           !rows_after(*waiting_).rows.empty()));
    if (at_once)
    {
        answer();
        return;
    }
    if (state_.mode == store_mode::holds)
        limit += call_limit;
    timer_ = state_.scheduler.schedule(
        limit,
        [this]
        {
            if (waiting_)
                answer();
        });
}

} // namespace dotterellock::testing::explorer
