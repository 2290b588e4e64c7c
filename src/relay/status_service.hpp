// HTTP service for the load balancer's readiness check, for metrics and for
// questions about the placement of requests.
#ifndef DOTTERELLOCK_RELAY_STATUS_SERVICE_HPP
#define DOTTERELLOCK_RELAY_STATUS_SERVICE_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

#include "session_listener.hpp"

namespace dotterellock
{

struct status_page
{
    unsigned status = 200;
    header_list headers;
    std::string body;
};

/// Supplies the values that the service reports.
struct status_source
{
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<bool()> stopping;

    /// Explains a placement, by the target of the request. Null: the service
    /// does not.
    std::function<status_page(std::string_view target)> explain;
};

class status_service : public session_listener
{
public:
    status_service(
        asio::io_context& io, clock_source const& clock, memory_budget& memory,
        std::string const& address, status_source source);

private:
    void on_request(
        std::shared_ptr<client_session> session,
        client_request message) override;
    bool close_after_response(client_session const&) const override
    {
        return source_.stopping();
    }

    void explain(client_session& session, message_head const& head);

    status_source const source_;
};

} // namespace dotterellock

#endif
