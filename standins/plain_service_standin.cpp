#include "plain_service_standin.hpp"

#include <nlohmann/json.hpp>

namespace dotterellock::standins
{

using nlohmann::json;

void plain_service_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    if (call.path == "/admin/fault")
    {
        handle_fault(call.body, *reply);
        return;
    }
    if (call.path == "/admin/runs")
    {
        reply->send_json(200, json{{"runs", runs_}}.dump());
        return;
    }
    if (down_)
    {
        reply->send_json(503, R"({"error":"service is down"})");
        return;
    }
    unsigned const run = ++runs_[call.request_id];
    if (lose_answers_)
    {
        unanswered_.push_back(std::move(reply));
        return;
    }
    json const answer = {
        {"path", call.path},
        {"request", call.request_id},
        {"run", run},
        {"received_bytes", call.body.size()}};
    after(
        context_, delay_,
        [reply = std::move(reply), body = answer.dump()]
        { reply->send_json(200, body); });
}

void plain_service_standin::handle_fault(
    std::string const& body, http_reply& reply)
{
    json const fault = json::parse(body, nullptr, false);
    if (!fault.is_object())
    {
        reply.send_json(400, R"({"error":"expected a JSON object"})");
        return;
    }
    down_ = fault.value("down", down_);
    lose_answers_ = fault.value("lose_answers", lose_answers_);
    delay_ = milliseconds(fault.value("delay_ms", delay_.count()));
    reply.send_json(200, "{}");
}

} // namespace dotterellock::standins
