// HTTP client of the plain service next to an agent. Calls that must not be
// repeated use a new connection, since libcurl retries a request by itself when
// a reused connection turns out to be closed.
#ifndef DOTTERELLOCK_CLIENTS_HTTP_PLAIN_SERVICE_HPP
#define DOTTERELLOCK_CLIENTS_HTTP_PLAIN_SERVICE_HPP

#include <dotterellock/external_services.hpp>

#include "curl_executor.hpp"

namespace dotterellock
{

class http_plain_service : public plain_service
{
public:
    http_plain_service(
        std::string base_url, curl_executor& executor, post_function post);

    void call(
        dispatch_call const& call,
        std::function<void(service_answer)> done) override;

private:
    std::string base_url_;
    curl_executor& executor_;
    post_function post_;
};

} // namespace dotterellock

#endif
