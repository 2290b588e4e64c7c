// /healthz, /readyz and /metrics: what operators and the platform's balancer
// ask of every process. Safe on any thread.
#ifndef DOTTERELLOCK_PIPELINE_MONITORING_HANDLER_HPP
#define DOTTERELLOCK_PIPELINE_MONITORING_HANDLER_HPP

#include <functional>
#include <memory>
#include <string>

#include <dotterellock/observability.hpp>

#include "server_http_types.hpp"

namespace dotterellock
{

/// One HTTP request under way, as the HTTP front sees it.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// The connection ended before the response did; any thread.
    virtual void on_caller_disconnected() = 0;
};

/// What the HTTP front calls for each request.
class http_request_handler
{
public:
    virtual ~http_request_handler() = default;

    /// Never blocks and never throws; answers through the sink.
    virtual std::shared_ptr<http_exchange> handle(
        server_request request, std::shared_ptr<response_sink> const& sink) = 0;
};

class monitoring_handler : public http_request_handler
{
public:
    /// @param not_ready_reason  empty while the process is ready
    monitoring_handler(
        std::function<std::string()> not_ready_reason,
        counter_registry const& counters);

    /// False when the path is none of the three.
    bool try_handle(server_request const& request, response_sink& sink) const;

    /// Answers every other path with 404, for processes without callers.
    std::shared_ptr<http_exchange> handle(
        server_request request,
        std::shared_ptr<response_sink> const& sink) override;

private:
    std::function<std::string()> const not_ready_reason_;
    counter_registry const& counters_;
};

} // namespace dotterellock

#endif
