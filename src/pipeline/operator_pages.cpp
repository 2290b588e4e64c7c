#include "operator_pages.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;

http_output plain_text(int status, std::string text)
{
    return {status, "text/plain; version=0.0.4", {}, std::move(text)};
}

} // namespace

operator_pages::operator_pages(
    std::function<std::string()> not_ready_reason,
    counter_registry const& counters)
    : not_ready_reason_(std::move(not_ready_reason)), counters_(counters)
{
}

bool operator_pages::answer(http_input const& input, response_sink& sink) const
{
    if (input.path == "/healthz")
    {
        sink.respond(plain_text(ok, "ok\n"));
        return true;
    }
    if (input.path == "/readyz")
    {
        std::string const reason = not_ready_reason_();
        sink.respond(
            reason.empty() ? plain_text(ok, "ready\n")
                           : plain_text(unavailable, reason + "\n"));
        return true;
    }
    if (input.path == "/metrics")
    {
        sink.respond(plain_text(ok, counters_.prometheus_text()));
        return true;
    }
    return false;
}

std::shared_ptr<exchange> operator_pages::handle(
    http_input input, std::shared_ptr<response_sink> const& sink)
{
    if (!answer(input, *sink))
        sink->respond(plain_text(not_found, "unknown path\n"));
    return nullptr;
}

} // namespace dotterellock
