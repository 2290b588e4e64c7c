#include "connection_pool.hpp"

#include <algorithm>
#include <charconv>

#include <asio/ip/address.hpp>

namespace dotterellock
{

std::optional<asio::ip::tcp::endpoint> parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    // make_address_v4() ignores what follows a NUL byte.
    if (colon == std::string::npos ||
        text.find_first_not_of("0123456789.:") != std::string::npos)
        return std::nullopt;
    asio::error_code e;
    auto const ip = asio::ip::make_address_v4(text.substr(0, colon), e);
    unsigned short port = 0;
    auto const begin = text.data() + colon + 1;
    auto const end = text.data() + text.size();
    auto const r = std::from_chars(begin, end, port);
    if (e || r.ec != std::errc{} || r.ptr != end || port == 0)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, port);
}

std::string connection_pool::pool_key(endpoint_record const& endpoint)
{
    return endpoint.address + ' ' + endpoint.id.value() + ' ' +
           std::to_string(endpoint.incarnation_start);
}

bool connection_pool::is_usable(
    idle_connection const& idle, bool require_recent) const
{
    auto const age = clock_.now() - idle.connection->last_used();
    auto const allowed = require_recent ? idle.max_idle / 2 : idle.max_idle;
    return idle.connection->reusable() && age < allowed;
}

std::shared_ptr<http_connection> connection_pool::acquire(
    endpoint_record const& endpoint, bool require_recent,
    std::string_view request)
{
    auto connection = take_idle(endpoint, require_recent, request);
    if (!connection)
        connection = create();
    connection->record_request(request);
    return connection;
}

std::shared_ptr<http_connection> connection_pool::take_idle(
    endpoint_record const& endpoint, bool require_recent,
    std::string_view request)
{
    auto const found = idle_.find(pool_key(endpoint));
    if (found == idle_.end())
        return nullptr;
    auto& list = found->second;
    for (auto i = list.rbegin(); i != list.rend(); ++i)
    {
        if (!is_usable(*i, require_recent) || i->connection->carried(request))
            continue;
        auto connection = std::move(i->connection);
        list.erase(std::next(i).base());
        return connection;
    }
    return nullptr;
}

std::shared_ptr<http_connection> connection_pool::create()
{
    ++connections_created_;
    return std::make_shared<http_connection>(
        io_, clock_, memory_, memory_use::endpoints);
}

void connection_pool::release(
    endpoint_record const& endpoint,
    std::shared_ptr<http_connection> connection,
    std::optional<std::chrono::milliseconds> idle_timeout)
{
    if (!connection->reusable())
    {
        connection->abandon();
        return;
    }
    auto const allowed = idle_timeout && *idle_timeout > idle_timeout_margin * 2
                             ? *idle_timeout - idle_timeout_margin
                             : default_idle_timeout;
    auto const k = pool_key(endpoint);
    auto const raw = connection.get();
    connection->set_idle_closed_handler(
        [this, k, raw]
        {
            auto const found = idle_.find(k);
            if (found == idle_.end())
                return;
            auto& list = found->second;
            list.erase(
                std::remove_if(
                    list.begin(), list.end(),
                    [raw](idle_connection const& i)
                    { return i.connection.get() == raw; }),
                list.end());
        });
    idle_[k].push_back({std::move(connection), allowed});
}

void connection_pool::close_idle(endpoint_record const& endpoint)
{
    auto const found = idle_.find(pool_key(endpoint));
    if (found == idle_.end())
        return;
    auto const list = std::move(found->second);
    idle_.erase(found);
    for (auto const& idle : list)
        idle.connection->abandon();
}

void connection_pool::close_expired()
{
    std::vector<idle_connection> expired;
    for (auto i = idle_.begin(); i != idle_.end();)
    {
        auto& list = i->second;
        auto const kept = std::stable_partition(
            list.begin(), list.end(),
            [this](idle_connection const& idle)
            { return is_usable(idle, false); });
        std::move(kept, list.end(), std::back_inserter(expired));
        list.erase(kept, list.end());
        i = list.empty() ? idle_.erase(i) : std::next(i);
    }
    for (auto const& idle : expired)
        idle.connection->abandon();
}

} // namespace dotterellock
