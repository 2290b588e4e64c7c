#include "store_standin.hpp"

#include <algorithm>
#include <utility>

#include <restinio/utils/base64.hpp>

#include "platform/json_fields.hpp"
#include "platform/protocol_names.hpp"
#include "standins/standin.hpp"

namespace dotterellock::soak
{

namespace
{

using standins::after;
using wire::json;

constexpr std::chrono::milliseconds answer_delay{4};
namespace base64 = restinio::utils::base64;

} // namespace

store_standin::store_standin(
    asio::io_context& io, random_source& random, std::size_t gateways)
    : io_(io), random_(random)
{
    for (std::size_t i = 0; i < gateways; ++i)
        servers_.push_back(std::make_unique<raw_http_server>(
            io, [this, i](auto const& c, raw_http_request const& r)
            { handle(i, c, r); }));
}

std::string store_standin::address(std::size_t gateway) const
{
    return servers_[gateway]->address();
}

void store_standin::put(
    std::string const& table, std::string const& key, std::string const& value)
{
    write(table, key, {value, 0, false}, true);
}

void store_standin::remove(std::string const& table, std::string const& key)
{
    remove_row(table, key, true);
}

void store_standin::remove_row(
    std::string const& table, std::string const& key, bool repeated)
{
    auto const found = tables_[table].find(key);
    if (found != tables_[table].end() && !found->second.deleted)
        write(table, key, {"", 0, true}, repeated);
}

void store_standin::write(
    std::string const& table, std::string const& key, row written,
    bool repeated)
{
    written.version = ++version_;
    tables_[table][key] = written;
    changes_.push_back(
        {std::chrono::steady_clock::now(), table, key, written, repeated});
    answer_polls();
}

void store_standin::restore(std::chrono::milliseconds age)
{
    auto const taken = std::chrono::steady_clock::now() - age;
    auto const first_lost = std::find_if(
        changes_.begin(), changes_.end(),
        [taken](change const& c) { return c.at > taken; });
    std::vector<change> const lost(first_lost, changes_.end());
    changes_.erase(first_lost, changes_.end());
    tables_.clear();
    version_ = 1;
    ++era_;
    for (auto const& c : changes_)
    {
        tables_[c.table][c.key] = c.after;
        version_ = c.after.version;
    }
    for (auto const& [number, poll] : std::exchange(pending_polls_, {}))
        answer(poll.connection, 410, "{}");
    for (auto const& c : lost)
    {
        if (c.repeated)
            write(c.table, c.key, c.after, true);
    }
}

void store_standin::handle(
    std::size_t gateway, std::shared_ptr<raw_http_connection> const& c,
    raw_http_request const& r)
{
    if (faults.silent)
        return;
    if (!serves(gateway))
    {
        answer(c, 503, "{}");
        return;
    }
    // The call takes effect and is answered after the delay, not on receipt.
    after(
        io_, answer_delay + faults.extra_delay,
        [this, gateway, c, r]
        {
            auto const path = r.path();
            if (path == wire::path::list_rows)
                list(c, r);
            else if (path == wire::path::row_changes)
                handle_poll(gateway, c, r);
            else if (path == wire::path::write_rows)
                handle_write(c, r);
            else
                answer(c, 404, "{}");
        });
}

void store_standin::answer(
    std::shared_ptr<raw_http_connection> const& c, unsigned status,
    std::string const& body)
{
    if (faults.silent || random_.uniform() < faults.lost_response_share)
        return; // later requests on this connection are not read
    c->send(encode_response(
        status,
        "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) +
            "\r\n",
        body));
    c->finish_request();
}

namespace
{

template<typename Row>
json encoded(std::string const& table, std::string const& key, Row const& row)
{
    json out = {
        {"table", table},
        {"part", ""},
        {"key", key},
        {"value", base64::encode(row.value)},
        {"ver", row.version}};
    if (row.deleted)
        out["isDeleted"] = true;
    return out;
}

} // namespace

void store_standin::list(
    std::shared_ptr<raw_http_connection> const& c, raw_http_request const& r)
{
    constexpr std::size_t page = 5; // rows; small enough to exercise paging
    auto const name = r.parameter("table");
    auto const& rows = tables_[name];
    json out = {{"rows", json::array()}, {"ver", version_}, {"hasMore", false}};
    for (auto at = rows.lower_bound(r.parameter("fromRev")); at != rows.end();
         ++at)
    {
        if (at->second.deleted)
            continue;
        if (out["rows"].size() == page)
        {
            out["hasMore"] = true;
            break;
        }
        out["rows"].push_back(encoded(name, at->first, at->second));
    }
    answer(c, 200, out.dump());
}

void store_standin::handle_poll(
    std::size_t gateway, std::shared_ptr<raw_http_connection> const& c,
    raw_http_request const& r)
{
    pending_poll const f{
        gateway, c, r.parameter("table"), std::stoull(r.parameter("afterRev"))};
    if (f.after < history_from_ || f.after > version_)
    {
        answer(c, 410, "{}");
        return;
    }
    if (answer_changes(f, false))
        return;
    auto const number = ++last_poll_;
    pending_polls_[number] = f;
    after(
        io_, std::chrono::milliseconds(std::stoul(r.parameter("waitMs"))),
        [this, number]
        {
            auto const found = pending_polls_.find(number);
            if (found == pending_polls_.end())
                return;
            auto const waiting = found->second;
            pending_polls_.erase(found);
            if (!serves(waiting.gateway))
                answer(waiting.connection, 503, "{}");
            else
                answer_changes(waiting, true);
        });
}

bool store_standin::answer_changes(pending_poll const& f, bool answer_if_empty)
{
    std::map<std::uint64_t, json> changes;
    for (auto const& [key, row] : tables_[f.table])
    {
        if (row.version > f.after)
            changes[row.version] = encoded(f.table, key, row);
    }
    if (changes.empty() && !answer_if_empty)
        return false;
    json out = {{"rows", json::array()}, {"ver", version_}};
    for (auto const& [version, row] : changes)
        out["rows"].push_back(row);
    answer(f.connection, 200, out.dump());
    return true;
}

void store_standin::answer_polls()
{
    for (auto at = pending_polls_.begin(); at != pending_polls_.end();)
    {
        bool const answered =
            serves(at->second.gateway) && answer_changes(at->second, false);
        at = answered ? pending_polls_.erase(at) : std::next(at);
    }
}

store_standin::row
store_standin::find(std::string const& table, std::string const& key) const
{
    auto const rows = tables_.find(table);
    if (rows == tables_.end() || rows->second.count(key) == 0)
        return {"", 0, true};
    return rows->second.at(key);
}

void store_standin::handle_write(
    std::shared_ptr<raw_http_connection> const& c, raw_http_request const& r)
{
    auto const body = json::parse(r.body);
    json found = json::array();
    bool met = true;
    for (auto const& row : body.value("expectedRev", json::array()))
    {
        auto const known = find(row.at("table"), row.at("key"));
        met = met && row.at("ver") == (known.deleted ? 0 : known.version);
        if (known.version != 0)
            found.push_back(encoded(row.at("table"), row.at("key"), known));
    }
    if (!met)
    {
        answer(c, 412, json{{"rows", found}, {"ver", version_}}.dump());
        return;
    }
    for (auto const& row : body.value("writes", json::array()))
    {
        auto const value =
            base64::try_decode(row.at("value").get<std::string>());
        write(
            row.at("table"), row.at("key"),
            {value ? *value : std::string(), 0, false}, false);
    }
    for (auto const& row : body.value("deletes", json::array()))
        remove_row(row.at("table"), row.at("key"), false);
    answer(c, 200, json{{"ver", version_}}.dump());
}

} // namespace dotterellock::soak
