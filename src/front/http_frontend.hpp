// The HTTP server of a process, and the only code that uses RESTinio. Runs on
// the threads of the io_context and owns the open connections.
#ifndef DOTTERELLOCK_FRONT_HTTP_FRONTEND_HPP
#define DOTTERELLOCK_FRONT_HTTP_FRONTEND_HPP

#include <cstddef>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "pipeline/monitoring_handler.hpp"

namespace dotterellock
{

struct http_frontend_settings
{
    std::string listen_address; // "ip:port"; port 0: any free port
    std::size_t max_body_bytes = 0;
};

class http_frontend
{
public:
    /// Starts to listen, or throws error(invalid_argument, "listen"). The
    /// threads of the io_context must end before this object is destroyed.
    http_frontend(
        asio::io_context& io, http_frontend_settings const& settings,
        http_request_handler& handler);
    ~http_frontend();

    std::string listening_on() const;

    /// Refuses new connections; open connections stay open.
    void stop_accepting();

    /// Number of requests whose response is not complete.
    std::size_t open_requests() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace dotterellock

#endif
