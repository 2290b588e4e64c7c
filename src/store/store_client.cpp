#include "store/store_client.hpp"

namespace dotterellock
{

store_client::store_client(
    table_service& backend, clock_source&, timer_service&, random_source&,
    store_settings, counter_registry&)
    : backend_(backend)
{
}

store_client::~store_client() = default;

void store_client::commit(
    std::vector<row_write> writes, duration timeout,
    std::function<void(commit_result)> done)
{
    backend_.commit(std::move(writes), timeout, std::move(done));
}

void store_client::read(
    std::vector<std::string> keys, duration timeout,
    std::function<void(read_result)> done)
{
    backend_.read(std::move(keys), timeout, std::move(done));
}

void store_client::scan(
    std::string prefix, duration timeout, std::function<void(read_result)> done)
{
    backend_.scan(std::move(prefix), timeout, std::move(done));
}

} // namespace dotterellock
