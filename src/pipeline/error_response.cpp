#include "error_response.hpp"

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

constexpr milliseconds default_retry_after{1000};

std::string whole_seconds(milliseconds delay)
{
    return std::to_string((delay.count() + 999) / 1000);
}

} // namespace

std::string json_string(std::string const& text)
{
    return nlohmann::json(text).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string error_json(error const& e)
{
    return R"({"error":{"code":)" + json_string(to_string(e.code())) +
           R"(,"message":)" + json_string(e.detail()) + R"(,"step":)" +
           json_string(e.step()) + R"(,"peer":)" + json_string(e.peer()) + "}}";
}

server_response error_response(error const& e)
{
    server_response output;
    output.status = http_status(e.code());
    output.content_type = "application/json";
    output.body = error_json(e);
    if (e.retry_after() > milliseconds{0})
        output.headers.emplace_back(
            "Retry-After", whole_seconds(e.retry_after()));
    return output;
}

server_response call_response(call_reply reply)
{
    switch (reply.outcome)
    {
    case call_outcome::done:
        return {
            reply.status,
            std::move(reply.content_type),
            {},
            std::move(reply.body)};
    case call_outcome::not_run:
    case call_outcome::refused:
        return error_response(
            error(reply.code, "call", "", reply.detail, reply.retry_after));
    case call_outcome::unknown:
    case call_outcome::running:
        break;
    }
    milliseconds const retry_after = reply.retry_after > milliseconds{0}
                                         ? reply.retry_after
                                         : default_retry_after;
    return error_response(error(
        error_code::outcome_unknown, "call", "", reply.detail, retry_after));
}

} // namespace dotterellock
