#include "ctl/status_reader.hpp"

#include <utility>

namespace dotterellock
{

namespace
{

std::string without_final_slash(std::string url)
{
    if (!url.empty() && url.back() == '/')
        url.pop_back();
    return url;
}

} // namespace

http_status_reader::http_status_reader(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(without_final_slash(std::move(base_url))), executor_(executor),
      post_(std::move(post))
{
}

void http_status_reader::read(
    std::string target, std::function<void(status_answer)> done)
{
    http_request request;
    request.url = base_url_ + std::move(target);
    request.timeout = timeout;
    http_handlers handlers;
    handlers.on_done =
        [post = post_, done = std::move(done)](http_response const& response)
    {
        status_answer answer;
        answer.status = response.answered ? response.status : 0;
        answer.body = response.body;
        answer.detail = response.detail;
        post([done, answer = std::move(answer)] { done(answer); });
    };
    executor_.submit(std::move(request), std::move(handlers));
}

} // namespace dotterellock
