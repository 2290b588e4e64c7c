#include "http_plain_service.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

// Leaves room in the frame of 8 MiB that carries the answer to the router.
constexpr std::size_t max_service_answer_bytes = 6u << 20;

} // namespace

http_plain_service::http_plain_service(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(std::move(base_url)), executor_(executor),
      post_(std::move(post))
{
}

void http_plain_service::call(
    dispatch_call const& call, std::function<void(service_answer)> done)
{
    http_request request;
    request.method = call.method;
    request.url = base_url_ + call.path;
    request.content_type = call.content_type;
    request.body = call.body;
    request.timeout = call.timeout;
    request.max_answer_bytes = max_service_answer_bytes;
    request.headers.push_back("X-Request-Id: " + call.request.value());

    http_handlers handlers;
    handlers.on_done = [post = post_, done](http_response response)
    {
        service_answer answer;
        answer.sent = response.sent;
        answer.answered = response.answered;
        answer.status = response.status;
        answer.content_type = std::move(response.content_type);
        answer.body = std::move(response.body);
        answer.detail = std::move(response.detail);
        post([done, answer] { done(answer); });
    };
    executor_.submit(std::move(request), std::move(handlers));
}

} // namespace dotterellock
