// HTTP requests and responses of the server side, independent of the HTTP
// library. Value types, and one interface that the HTTP front end implements.
#ifndef DOTTERELLOCK_PIPELINE_SERVER_HTTP_TYPES_HPP
#define DOTTERELLOCK_PIPELINE_SERVER_HTTP_TYPES_HPP

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dotterellock
{

struct server_request
{
    std::string method;
    std::string path;                           // not percent-decoded
    std::string query;                          // without '?'
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    /// Empty when the header is absent.
    std::string const& header(std::string const& name) const
    {
        static std::string const none;
        auto const found = headers.find(name);
        return found == headers.end() ? none : found->second;
    }
};

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct server_response
{
    int status = 200;
    std::string content_type;
    http_headers headers;
    std::string body;
};

/// Receives one response: either one respond(), or begin_stream() followed by
/// any number of write() and one end(). Never blocks. May be used from any
/// thread, by one call at a time.
class response_sink
{
public:
    virtual ~response_sink() = default;
    virtual void respond(server_response output) = 0;
    virtual void begin_stream(http_headers headers) = 0;

    /// @param written  called once the bytes have been sent to the caller, on
    ///                 an I/O thread and never from within this call; not
    ///                 called when the connection fails. May be empty.
    virtual void write(std::string bytes, std::function<void()> written) = 0;
    virtual void end() = 0;
};

} // namespace dotterellock

#endif
