// Makes one call at a time over a persistent connection. Every call ends, also
// when the connection hangs or the response does not end: see transfer_watch.
#ifndef DOTTERELLOCK_RELAY_HTTP_CALLER_HPP
#define DOTTERELLOCK_RELAY_HTTP_CALLER_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "gateway/transfer_watch.hpp"
#include "http_connection.hpp"

namespace dotterellock
{

struct http_reply
{
    unsigned status = 0; // 0: no complete response
    header_list headers;
    std::string body;
    std::string failure;      // why there is none
    std::size_t received = 0; // bytes of the body, also without a response
};

class http_caller : private response_handler
{
public:
    using handler = std::function<void(http_reply)>;

    /// @param max_body_bytes  a longer response is a fault and is cut off
    /// @param use  whose responses these are
    http_caller(
        asio::io_context& io, clock_source const& clock, memory_budget& memory,
        memory_use use, std::size_t max_body_bytes);
    ~http_caller() override;

    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /// Gives up a call that is not done; its handler is not called.
    /// @param timeout  until the response begins
    void call(
        asio::ip::tcp::endpoint const& peer, std::string request,
        std::chrono::milliseconds timeout, handler done);

    bool busy() const { return done_ != nullptr; }

    /// Size of the response's body in bytes, once its head has come; 0 before.
    std::size_t receiving() const
    {
        return busy() ? std::max(expected_, reply_.received) : 0;
    }

    /// Gives up the current call; its handler is not called.
    void cancel();

private:
    void on_response_head(message_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_complete() override;
    void on_failure(connection_failure failure) override;
    void check_time_later();
    void fail(char const* why);
    void finish_without_response(char const* why);
    void finish();

    asio::io_context& io_;
    clock_source const& clock_;
    memory_budget& memory_;
    memory_use const use_;
    memory_account account_; // of the body
    std::size_t const max_body_bytes_;
    asio::steady_timer timer_;
    transfer_watch watch_;
    asio::ip::tcp::endpoint peer_;
    std::shared_ptr<http_connection> connection_;
    handler done_;
    http_reply reply_;
    std::size_t expected_ = 0;      // bytes of the body, as its head tells
    std::uint64_t call_number_ = 0; // tells timers of earlier calls apart
};

} // namespace dotterellock

#endif
