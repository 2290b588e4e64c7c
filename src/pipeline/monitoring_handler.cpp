#include "monitoring_handler.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;

server_response plain_text(int status, std::string text)
{
    return {status, "text/plain; version=0.0.4", {}, std::move(text)};
}

} // namespace

monitoring_handler::monitoring_handler(
    std::function<std::string()> not_ready_reason,
    counter_registry const& counters)
    : not_ready_reason_(std::move(not_ready_reason)), counters_(counters)
{
}

bool monitoring_handler::try_handle(
    server_request const& request, response_sink& sink) const
{
    if (request.path == "/healthz")
    {
        sink.respond(plain_text(ok, "ok\n"));
        return true;
    }
    if (request.path == "/readyz")
    {
        std::string const reason = not_ready_reason_();
        sink.respond(
            reason.empty() ? plain_text(ok, "ready\n")
                           : plain_text(unavailable, reason + "\n"));
        return true;
    }
    if (request.path == "/metrics")
    {
        sink.respond(plain_text(ok, counters_.prometheus_text()));
        return true;
    }
    return false;
}

std::shared_ptr<http_exchange> monitoring_handler::handle(
    server_request request, std::shared_ptr<response_sink> const& sink)
{
    if (!try_handle(request, *sink))
        sink->respond(plain_text(not_found, "unknown path\n"));
    return nullptr;
}

} // namespace dotterellock
