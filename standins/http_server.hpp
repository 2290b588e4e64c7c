// A small HTTP server for the stand-ins over RESTinio. Everything runs on the
// one thread that runs the io_context, so stand-ins need no locks.
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

/// The answer to one call. Dropping it unanswered leaves the caller waiting,
/// like an answer lost on its way.
class http_reply
{
public:
    virtual ~http_reply() = default;
    virtual void
    send(int status, std::string content_type, std::string body) = 0;

    // A stream: begin, any number of writes, end.
    virtual void begin_stream(std::string content_type) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void end() = 0;
    virtual bool closed() const = 0; // a write failed: the caller is gone

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
    /// Starts to listen; port 0 lets the system choose one.
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
