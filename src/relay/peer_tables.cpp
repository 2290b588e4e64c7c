#include "peer_tables.hpp"

#include <utility>

#include <dotterellock/error.hpp>

#include "connection_pool.hpp"
#include "gateway/isolated_work.hpp"
#include "http/reason_phrase.hpp"
#include "table_share_codec.hpp"

namespace dotterellock
{

namespace
{

void refuse(client_session& session, unsigned status, std::string const& why)
{
    session.respond(
        status, reason_phrase(status), {{"Content-Type", "text/plain"}},
        why + '\n');
}

void respond(
    client_session& session, row_read_result const& result, bool updates)
{
    switch (result.status)
    {
    case row_read_status::ok:
        session.respond(
            200, reason_phrase(200), {{"Content-Type", "application/msgpack"}},
            encode_table_answer(result, updates));
        break;
    case row_read_status::history_lost:
        refuse(session, 410, "history is lost");
        break;
    case row_read_status::refused:
    case row_read_status::failed:
        refuse(session, 503, result.detail);
        break;
    }
}

row_read_result to_result(http_reply const& reply)
{
    row_read_result result;
    result.detail = reply.failure.empty()
                        ? "status " + std::to_string(reply.status)
                        : reply.failure;
    if (reply.status == 410)
        result.status = row_read_status::history_lost;
    else if (reply.status == 503)
        result.status = row_read_status::refused;
    if (reply.status != 200)
        return result;
    run_isolated(
        [&] { result = decode_table_answer(reply.body); },
        [&](std::string const& detail) { result.detail = detail; });
    return result;
}

/// The row after an update, or nothing if it is not one of `base`.
std::optional<store_row>
updated_row(store_row const* base, row_update const& update)
{
    if (base == nullptr || base->revision != update.base)
        return std::nullopt;
    auto value = std::make_optional(base->value);
    for (auto const& step : update.steps)
    {
        value =
            apply_value_delta(*value, step, peer_table_client::max_body_bytes);
        if (!value)
            return std::nullopt;
    }
    return store_row{update.key, std::move(*value), update.revision, false};
}

} // namespace

peer_table_service::peer_table_service(
    asio::io_context& io, clock_source const& clock, memory_budget& memory,
    std::string const& address, peer_check is_peer)
    : session_listener(io, clock, memory, address), is_peer_(std::move(is_peer))
{
}

void peer_table_service::offer(std::string const& name, shared_table& table)
{
    tables_[name] = &table;
}

void peer_table_service::poll(steady_time now)
{
    for (auto const& [name, table] : tables_)
        table->poll();
    check_timeouts(now);
}

void peer_table_service::on_request(
    std::shared_ptr<client_session> session, client_request message)
{
    auto const& from = session->peer();
    auto const call = decode_table_call(message.head.target);
    auto const table = call ? tables_.find(call->table) : tables_.end();
    if (table == tables_.end())
        refuse(*session, 404, "no such table");
    else if (stopped_ || !is_peer_(from.substr(0, from.find(':'))))
        refuse(*session, 503, stopped_ ? "stopping" : "not a gateway");
    else
    {
        auto const form = decode_large_row_form(message.head);
        table->second->changes(
            call->after, call->wait,
            [session, form](row_read_result const& result)
            { respond(*session, result, form != large_row_form::whole); },
            form);
    }
}

void peer_table_client::changes(
    std::string const& address, std::string const& table, std::uint64_t after,
    std::chrono::milliseconds wait, row_reader::handler done)
{
    auto const peer = parse_address(address);
    if (!peer)
    {
        row_read_result result;
        result.detail = "malformed address " + address;
        done(std::move(result));
        return;
    }
    auto const form =
        std::exchange(needs_whole_rows_, false) ? large_row_form::whole : form_;
    caller_.call(
        *peer, encode_table_call({table, after, wait, form}, address),
        wait + answer_timeout,
        [this, done = std::move(done)](http_reply const& reply)
        {
            auto result = to_result(reply);
            result.received_bytes = reply.received;
            apply_updates(result);
            done(std::move(result));
        });
}

/// Replaces differences by the rows that they lead to.
void peer_table_client::apply_updates(row_read_result& result)
{
    for (auto const& update : std::exchange(result.updates, {}))
    {
        auto row = copy_ != nullptr
                       ? updated_row(copy_->find(update.key), update)
                       : std::nullopt;
        if (!row)
        {
            needs_whole_rows_ = true;
            row_read_result failed;
            failed.received_bytes = result.received_bytes;
            failed.detail = "a difference does not fit the copy";
            result = std::move(failed);
            return;
        }
        result.rows.push_back(std::move(*row));
    }
}

} // namespace dotterellock
