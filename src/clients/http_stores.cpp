#include "http_stores.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "percent_encoding.hpp"

namespace dotterellock
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

// A scan returns all rows of a prefix in one answer.
constexpr std::size_t max_table_answer_bytes = 32u << 20;
constexpr std::size_t max_object_bytes = 64u << 20;
constexpr std::size_t max_put_answer_bytes = 64u << 10;
constexpr std::size_t max_weights_answer_bytes = 64u << 10;
constexpr std::size_t max_fleet_answer_bytes = 8u << 20;

constexpr char const* json_content_type = "application/json";

milliseconds to_transfer_timeout(duration d)
{
    // A timeout below 1 ms must not become 0, which means no limit.
    return std::max(
        milliseconds(1), std::chrono::duration_cast<milliseconds>(d));
}

http_request json_post(
    std::string url, std::string body, duration timeout,
    std::size_t max_answer_bytes)
{
    http_request request;
    request.method = "POST";
    request.url = std::move(url);
    request.content_type = json_content_type;
    request.body = std::move(body);
    request.timeout = to_transfer_timeout(timeout);
    request.max_answer_bytes = max_answer_bytes;
    return request;
}

row parse_row(json const& j)
{
    return row{
        j.at("key").get<std::string>(), j.at("value").get<std::string>(),
        j.at("version").get<row_version>()};
}

std::vector<row> parse_rows(json const& list)
{
    std::vector<row> rows;
    for (auto const& j : list)
        rows.push_back(parse_row(j));
    return rows;
}

json to_json(row_write const& w)
{
    json j = {{"key", w.key}, {"value", nullptr}, {"expected", nullptr}};
    if (w.value)
        j["value"] = *w.value;
    if (w.expected)
        j["expected"] = *w.expected;
    return j;
}

commit_result parse_commit(http_response const& response)
{
    commit_result result;
    if (!response.sent || (response.answered && response.status == 503))
    {
        result.status = store_status::unavailable;
        return result;
    }
    if (!response.answered)
        return result;
    json const body = json::parse(response.body);
    if (response.status == 200)
    {
        result.status = store_status::ok;
        result.versions = body.at("versions").get<std::vector<row_version>>();
    }
    else if (response.status == 409)
    {
        result.status = store_status::conflict;
        result.conflicts = parse_rows(body.at("conflicts"));
    }
    return result;
}

read_result parse_read(http_response const& response)
{
    if (!response.answered || response.status != 200)
        return {store_status::unavailable, {}};
    return {
        store_status::ok, parse_rows(json::parse(response.body).at("rows"))};
}

fleet_result parse_fleet(http_response const& response)
{
    if (!response.answered || response.status != 200)
        return {store_status::unavailable, {}};
    fleet_result result{store_status::ok, {}};
    json const body = json::parse(response.body);
    for (auto const& j : body.at("hosts"))
    {
        host_entry entry;
        entry.host = host_id(j.at("host").get<std::string>());
        entry.zone = zone_id(j.at("zone").get<std::string>());
        entry.region = region_id(j.at("region").get<std::string>());
        entry.state = j.at("state").get<std::string>() == "leaving"
                          ? host_state::leaving
                          : host_state::live;
        result.hosts.push_back(std::move(entry));
    }
    return result;
}

weight_info parse_weights(http_response const& response)
{
    if (!response.answered || response.status != 200)
        return {};
    return {true, json::parse(response.body).at("size").get<byte_count>()};
}

object_result parse_object(http_response response)
{
    object_result result;
    if (!response.sent)
        result.status = store_status::unavailable;
    if (!response.answered)
        return result;
    if (response.status == 200 || response.status == 404)
    {
        result.status = store_status::ok;
        result.found = response.status == 200;
        result.body = std::move(response.body);
    }
    else
    {
        result.status = store_status::unavailable;
    }
    return result;
}

/// Parses the response on the executor's thread and posts the result to the
/// owner. A body that cannot be parsed is treated as a missing response.
template<typename Result, typename Parse>
http_handlers
make_handlers(post_function post, std::function<void(Result)> done, Parse parse)
{
    http_handlers handlers;
    handlers.on_done = [post = std::move(post), done = std::move(done),
                        parse](http_response response)
    {
        Result result;
        try
        {
            result = parse(std::move(response));
        }
        catch (json::exception const&)
        {
            result = Result{};
        }
        post([done, result = std::move(result)] { done(result); });
    };
    return handlers;
}

} // namespace

// ---- table service --------------------------------------------------------

http_table_service::http_table_service(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(std::move(base_url)), executor_(executor),
      post_(std::move(post))
{
}

void http_table_service::commit(
    std::vector<row_write> writes, duration timeout,
    std::function<void(commit_result)> done)
{
    json list = json::array();
    for (auto const& w : writes)
        list.push_back(to_json(w));
    json const body = {{"writes", std::move(list)}};
    auto request = json_post(
        base_url_ + "/v1/commit", body.dump(), timeout, max_table_answer_bytes);
    executor_.submit(
        std::move(request),
        make_handlers<commit_result>(
            post_, std::move(done),
            [](http_response const& r) { return parse_commit(r); }));
}

void http_table_service::read(
    std::vector<std::string> keys, duration timeout,
    std::function<void(read_result)> done)
{
    json const body = {{"keys", std::move(keys)}};
    read_rows("/v1/read", body.dump(), timeout, std::move(done));
}

void http_table_service::scan(
    std::string prefix, duration timeout, std::function<void(read_result)> done)
{
    json const body = {{"prefix", std::move(prefix)}};
    read_rows("/v1/scan", body.dump(), timeout, std::move(done));
}

void http_table_service::read_rows(
    std::string const& path, std::string body, duration timeout,
    std::function<void(read_result)> done)
{
    executor_.submit(
        json_post(
            base_url_ + path, std::move(body), timeout, max_table_answer_bytes),
        make_handlers<read_result>(
            post_, std::move(done),
            [](http_response const& r) { return parse_read(r); }));
}

// ---- object store ---------------------------------------------------------

http_object_store::http_object_store(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(std::move(base_url)), executor_(executor),
      post_(std::move(post))
{
}

void http_object_store::put(
    std::string key, std::string body, duration timeout,
    std::function<void(object_result)> done)
{
    http_request request;
    request.method = "PUT";
    request.url = base_url_ + "/v1/objects/" + percent_encode(key);
    request.content_type = "application/octet-stream";
    request.body = std::move(body);
    request.timeout = to_transfer_timeout(timeout);
    request.max_answer_bytes = max_put_answer_bytes;
    executor_.submit(
        std::move(request),
        make_handlers<object_result>(
            post_, std::move(done),
            [](http_response r) { return parse_object(std::move(r)); }));
}

void http_object_store::fetch(
    std::string key, duration timeout, std::function<void(object_result)> done)
{
    http_request request;
    request.url = base_url_ + "/v1/objects/" + percent_encode(key);
    request.timeout = to_transfer_timeout(timeout);
    request.max_answer_bytes = max_object_bytes;
    executor_.submit(
        std::move(request),
        make_handlers<object_result>(
            post_, std::move(done),
            [](http_response r) { return parse_object(std::move(r)); }));
}

// ---- weight store and fleet view ------------------------------------------

http_weight_store::http_weight_store(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(std::move(base_url)), executor_(executor),
      post_(std::move(post))
{
}

void http_weight_store::describe(
    model_ref const& model, duration timeout,
    std::function<void(weight_info)> done)
{
    json const body = {
        {"name", model.name},
        {"adapter", model.adapter},
        {"version", model.version}};
    executor_.submit(
        json_post(
            base_url_ + "/v1/weights/describe", body.dump(), timeout,
            max_weights_answer_bytes),
        make_handlers<weight_info>(
            post_, std::move(done),
            [](http_response const& r) { return parse_weights(r); }));
}

http_fleet_view::http_fleet_view(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(std::move(base_url)), executor_(executor),
      post_(std::move(post))
{
}

void http_fleet_view::hosts(
    duration timeout, std::function<void(fleet_result)> done)
{
    http_request request;
    request.url = base_url_ + "/v1/hosts";
    request.timeout = to_transfer_timeout(timeout);
    request.max_answer_bytes = max_fleet_answer_bytes;
    executor_.submit(
        std::move(request),
        make_handlers<fleet_result>(
            post_, std::move(done),
            [](http_response const& r) { return parse_fleet(r); }));
}

} // namespace dotterellock
