// HTTP server of the stand-ins, based on RESTinio. All handlers run on the one
// thread that runs the io_context, so that stand-ins need no locks.
#ifndef DOTTERELLOCK_STANDINS_HTTP_SERVER_HPP
#define DOTTERELLOCK_STANDINS_HTTP_SERVER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

namespace dotterellock::standins
{

struct http_call
{
    std::string method;
    std::string path; // without query
    std::map<std::string, std::string> query;
    std::string request_id; // X-Request-Id
    std::string body;
};

/// The response to one call. Destroying it without sending leaves the caller
/// waiting, as when a response is lost.
class http_reply
{
public:
    virtual ~http_reply() = default;
    virtual void
    send(int status, std::string content_type, std::string body) = 0;

    // Streamed response: begin_stream(), any number of write(), end().
    virtual void begin_stream(std::string content_type) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void end() = 0;
    virtual bool closed() const = 0; // a write failed: the caller disconnected

    void send_json(int status, std::string body)
    {
        send(status, "application/json", std::move(body));
    }
};

using http_handler =
    std::function<void(http_call const&, std::shared_ptr<http_reply>)>;

class http_server
{
public:
    /// Starts listening. Port 0 selects a free port.
    http_server(
        asio::io_context& context, std::string const& address,
        std::uint16_t port, http_handler handler);
    ~http_server();

    std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace dotterellock::standins

#endif
