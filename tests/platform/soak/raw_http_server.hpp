// An HTTP server that leaves the response bytes to its handler, which can send
// them late, in parts, malformed or not at all.
#ifndef DOTTERELLOCK_TESTS_SOAK_RAW_HTTP_SERVER_HPP
#define DOTTERELLOCK_TESTS_SOAK_RAW_HTTP_SERVER_HPP

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <asio/ip/tcp.hpp>

#include "http/message_parser.hpp"

namespace dotterellock::soak
{

class raw_http_connection;

struct raw_http_request
{
    message_head head;
    std::string body;

    std::string path() const;                        // without query
    std::string parameter(std::string const&) const; // of the query, or empty
    std::string header(std::string_view name) const; // or empty
};

using raw_http_handler = std::function<void(
    std::shared_ptr<raw_http_connection>, raw_http_request const&)>;

class raw_http_connection
    : public std::enable_shared_from_this<raw_http_connection>,
      private message_sink
{
public:
    raw_http_connection(
        asio::ip::tcp::socket socket, raw_http_handler const& handler);

    void read();
    void send(std::string bytes);
    void end();   // closes once all output is sent
    void reset(); // discards unsent output

    /// Allows the next request on this connection to be parsed.
    void finish_request();

    /// Sets a callback that runs once if the peer disconnects or the connection
    /// is reset.
    void on_disconnect(std::function<void()> callback)
    {
        on_disconnect_ = std::move(callback);
    }
    bool open() const { return open_; }

private:
    void parse_input();
    void write();
    void handle_disconnect();

    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;

    asio::ip::tcp::socket socket_;
    raw_http_handler const& handler_;
    message_parser parser_;
    raw_http_request request_;
    std::string input_;
    std::string output_;
    std::string writing_;
    std::function<void()> on_disconnect_;
    std::array<char, 8192> buffer_;
    bool handling_request_ = false;
    bool close_when_sent_ = false;
    bool open_ = true;
};

class raw_http_server
{
public:
    raw_http_server(asio::io_context& io, raw_http_handler handler);

    /// Resets all current and new connections. Keeps listening so that no other
    /// process can take the port.
    void stop();
    void start() { stopped_ = false; }

    void reset_connections();
    std::string address() const;

private:
    void accept();

    raw_http_handler const handler_;
    asio::ip::tcp::acceptor acceptor_;
    bool stopped_ = false;
    std::set<std::shared_ptr<raw_http_connection>> connections_;
};

/// Encodes text as one chunk of a chunked body.
std::string encode_chunk(std::string const& text);

std::string encode_response(
    unsigned status, std::string const& headers, std::string const& body);

} // namespace dotterellock::soak

#endif
