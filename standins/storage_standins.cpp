// Index
//   table_service_standin, object_store_standin, weight_store_standin,
//   fleet_view_standin
#include "storage_standins.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace dotterellock::standins
{

namespace
{

using nlohmann::json;

constexpr char const* object_root = "/v1/objects/";

json row_json(
    std::string const& key, std::string const& value, std::uint64_t version)
{
    return {{"key", key}, {"value", value}, {"version", version}};
}

std::string error_body(std::string const& reason)
{
    return json{{"error", reason}}.dump();
}

} // namespace

// ---- table service --------------------------------------------------------

table_service_standin::table_service_standin(
    asio::io_context& context, std::uint32_t writes_per_second,
    std::uint32_t reads_per_second)
    : context_(context)
{
    writes_.limit = writes_per_second;
    reads_.limit = reads_per_second;
}

bool table_service_standin::rate_window::try_acquire(std::uint32_t n)
{
    auto const now = std::chrono::steady_clock::now();
    if (now - start >= std::chrono::seconds(1))
    {
        start = now;
        used = 0;
    }
    if (used + n > limit)
        return false;
    used += n;
    return true;
}

void table_service_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    try
    {
        if (call.path == "/admin/fault")
            handle_fault(call.body, *reply);
        else if (call.path == "/admin/stats")
            report_stats(*reply);
        else if (down_)
            reply->send_json(503, error_body("table service is down"));
        else if (silent_)
            unanswered_.push_back(std::move(reply));
        else if (call.path == "/v1/commit")
            commit(call.body, reply);
        else if (call.path == "/v1/read")
            read(call.body, *reply);
        else if (call.path == "/v1/scan")
            scan(call.body, *reply);
        else
            reply->send_json(404, error_body("unknown path"));
    }
    catch (json::exception const& e)
    {
        reply->send_json(400, error_body(e.what()));
    }
}

void table_service_standin::commit(
    std::string const& body, std::shared_ptr<http_reply> const& reply)
{
    json const parsed = json::parse(body);
    auto const n = static_cast<std::uint32_t>(parsed.at("writes").size());
    if (!writes_.try_acquire(1))
    {
        ++refused_;
        reply->send_json(503, error_body("write rate exceeded"));
        return;
    }
    ++total_commits_;
    total_writes_ += n;
    if (apply_late_.count() > 0)
    {
        unanswered_.push_back(reply);
        after(context_, apply_late_, [this, body] { apply(body); });
        return;
    }
    if (lose_answers_)
    {
        apply(body);
        unanswered_.push_back(reply);
        return;
    }
    after(
        context_, delay_,
        [this, body, reply]
        {
            auto const [status, answer] = apply(body);
            reply->send_json(status, answer);
        });
}

std::pair<int, std::string>
table_service_standin::apply(std::string const& body)
{
    json const parsed = json::parse(body);
    json const& writes = parsed.at("writes");
    json conflicts = json::array();
    for (auto const& w : writes)
    {
        auto const key = w.at("key").get<std::string>();
        auto const& present = rows_[key];
        json const& expected = w.at("expected");
        if (!expected.is_null() &&
            expected.get<std::uint64_t>() != present.version)
            conflicts.push_back(row_json(key, present.value, present.version));
    }
    if (!conflicts.empty())
        return {409, json{{"conflicts", std::move(conflicts)}}.dump()};
    std::vector<std::uint64_t> versions;
    for (auto const& w : writes)
    {
        auto& target = rows_[w.at("key").get<std::string>()];
        json const& value = w.at("value");
        bool const deletes = value.is_null();
        target.value = deletes ? "" : value.get<std::string>();
        target.version = deletes ? 0 : ++last_version_;
        versions.push_back(target.version);
    }
    return {200, json{{"versions", versions}}.dump()};
}

void table_service_standin::read(std::string const& body, http_reply& reply)
{
    json const parsed = json::parse(body);
    if (!reads_.try_acquire(1))
    {
        ++refused_;
        reply.send_json(503, error_body("read rate exceeded"));
        return;
    }
    json rows = json::array();
    for (auto const& key : parsed.at("keys"))
    {
        auto const name = key.get<std::string>();
        auto const& present = rows_[name];
        rows.push_back(row_json(name, present.value, present.version));
        ++total_reads_;
    }
    reply.send_json(200, json{{"rows", std::move(rows)}}.dump());
}

void table_service_standin::scan(std::string const& body, http_reply& reply)
{
    auto const prefix = json::parse(body).at("prefix").get<std::string>();
    if (!reads_.try_acquire(1))
    {
        ++refused_;
        reply.send_json(503, error_body("read rate exceeded"));
        return;
    }
    ++total_reads_;
    json rows = json::array();
    for (auto i = rows_.lower_bound(prefix);
         i != rows_.end() && i->first.compare(0, prefix.size(), prefix) == 0;
         ++i)
    {
        if (i->second.version != 0)
            rows.push_back(
                row_json(i->first, i->second.value, i->second.version));
    }
    reply.send_json(200, json{{"rows", std::move(rows)}}.dump());
}

void table_service_standin::handle_fault(
    std::string const& body, http_reply& reply)
{
    json const fault = json::parse(body);
    down_ = fault.value("down", down_);
    silent_ = fault.value("silent", silent_);
    lose_answers_ = fault.value("lose_answers", lose_answers_);
    delay_ = milliseconds(fault.value("delay_ms", delay_.count()));
    apply_late_ =
        milliseconds(fault.value("apply_late_ms", apply_late_.count()));
    reply.send_json(200, "{}");
}

void table_service_standin::report_stats(http_reply& reply)
{
    json const stats = {
        {"commits", total_commits_},
        {"writes", total_writes_},
        {"reads", total_reads_},
        {"refused", refused_},
        {"rows", rows_.size()}};
    reply.send_json(200, stats.dump());
}

// ---- object store ---------------------------------------------------------

void object_store_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    if (call.path == "/admin/fault")
    {
        json const fault = json::parse(call.body, nullptr, false);
        down_ = fault.is_object() && fault.value("down", down_);
        reply->send_json(200, "{}");
        return;
    }
    if (down_)
    {
        reply->send_json(503, error_body("object store is down"));
        return;
    }
    if (call.path.rfind(object_root, 0) != 0)
    {
        reply->send_json(404, error_body("unknown path"));
        return;
    }
    std::string const key = call.path.substr(std::string(object_root).size());
    if (call.method == "PUT")
    {
        objects_[key] = call.body;
        reply->send_json(200, "{}");
        return;
    }
    auto const found = objects_.find(key);
    if (found == objects_.end())
        reply->send_json(404, error_body("no such object"));
    else
        reply->send(200, "application/octet-stream", found->second);
}

// ---- weight store and fleet view ------------------------------------------

void weight_store_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    if (call.path == "/v1/weights/describe")
        reply->send_json(200, json{{"size", weight_bytes_}}.dump());
    else
        reply->send_json(404, error_body("unknown path"));
}

void fleet_view_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    if (call.path == "/v1/hosts")
    {
        reply->send_json(200, hosts_);
        return;
    }
    if (call.path != "/admin/hosts" || !json::accept(call.body))
    {
        reply->send_json(400, error_body("expected JSON for /admin/hosts"));
        return;
    }
    after(context_, lag_, [this, list = call.body] { hosts_ = list; });
    reply->send_json(200, "{}");
}

} // namespace dotterellock::standins
