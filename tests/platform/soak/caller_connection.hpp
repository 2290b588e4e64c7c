// A caller's connection to a gateway: it pipelines requests, sends them in
// pieces and reads slowly.
#ifndef DOTTERELLOCK_TESTS_SOAK_CALLER_CONNECTION_HPP
#define DOTTERELLOCK_TESTS_SOAK_CALLER_CONNECTION_HPP

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "http/message_parser.hpp"
#include "relay/http_connection.hpp"

namespace dotterellock::soak
{

class caller_connection
    : public std::enable_shared_from_this<caller_connection>,
      private message_sink
{
public:
    explicit caller_connection(asio::io_context& io);

    /// Sends a request, behind those that are still open.
    /// @param pieces   sent with a pause between them
    /// @param written  called with the last byte
    /// @param handler  outlives the exchange
    void send(
        asio::ip::tcp::endpoint const& peer, std::vector<std::string> pieces,
        std::chrono::milliseconds pause, std::function<void()> written,
        response_handler& handler);

    /// Closes the connection; all open requests fail.
    void abandon() { fail(connection_failure::closed); }

    bool reusable() const { return reusable_ && open_ && handlers_.empty(); }

    std::chrono::milliseconds read_pause{0}; // between reads

private:
    struct piece
    {
        std::string bytes;
        std::chrono::milliseconds pause_before;
        std::function<void()> written;
    };

    void write();
    void read();
    void parse(std::string_view bytes);
    void fail(connection_failure failure);

    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;
    void on_complete() override;

    asio::io_context& io_;
    asio::ip::tcp::socket socket_;
    message_parser parser_;
    std::deque<response_handler*> handlers_; // of open requests, oldest first
    std::deque<piece> unsent_;
    std::array<char, 16384> buffer_;
    bool connecting_ = false;
    bool connected_ = false;
    bool writing_ = false;
    bool reusable_ = true;
    bool open_ = true;
};

} // namespace dotterellock::soak

#endif
