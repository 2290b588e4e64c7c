#include "status_service.hpp"

#include <utility>

#include "http/reason_phrase.hpp"
#include "placement_query_codec.hpp"

namespace dotterellock
{

status_service::status_service(
    asio::io_context& io, clock_source const& clock, memory_budget& memory,
    std::string const& address, status_source source)
    : session_listener(io, clock, memory, address), source_(std::move(source))
{
}

void status_service::on_request(
    std::shared_ptr<client_session> session, client_request message)
{
    std::string_view const target = message.head.target;
    auto const path = target.substr(0, target.find('?'));
    if (path == placement_query_path)
    {
        explain(*session, message.head);
        return;
    }
    if (path == "/metrics")
    {
        session->respond(
            200, "OK", {{"Content-Type", "text/plain; version=0.0.4"}},
            source_.metrics());
        return;
    }
    bool const ready = source_.ready();
    session->respond(
        ready ? 200 : 503, ready ? "OK" : "Service Unavailable",
        {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n");
}

void status_service::explain(client_session& session, message_head const& head)
{
    status_page page{404, {{"Content-Type", "application/json"}}, {}};
    if (!source_.explain)
        page.body = "{\"error\":\"not_found\"}\n";
    else if (head.method != "GET")
    {
        page.status = 405;
        page.headers.emplace_back("Allow", "GET");
        page.body = "{\"error\":\"method_not_allowed\"}\n";
    }
    else
        page = source_.explain(head.target);
    session.respond(
        page.status, reason_phrase(page.status), page.headers, page.body);
}

} // namespace dotterellock
