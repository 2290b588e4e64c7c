// One short request to an endpoint besides the callers' own, bounded in time.
#ifndef DOTTERELLOCK_RELAY_ENDPOINT_CALL_HPP
#define DOTTERELLOCK_RELAY_ENDPOINT_CALL_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "connection_pool.hpp"

namespace dotterellock
{

struct endpoint_reply
{
    bool accepted = false; // the endpoint took the connection
    unsigned status = 0;   // 0: no whole answer
    std::string body;
};

class endpoint_call : private response_handler
{
public:
    using handler = std::function<void(endpoint_reply)>;

    /// @param done  called once, unless cancel() comes first
    endpoint_call(
        connection_pool& pool, endpoint_record const& endpoint,
        std::chrono::milliseconds timeout, handler done);
    ~endpoint_call() override { cancel(); }

    endpoint_call(endpoint_call const&) = delete;
    endpoint_call& operator=(endpoint_call const&) = delete;

    /// @param probe  over a new connection, as one that has fallen silent
    ///               would prove nothing
    void start(std::string request, steady_time now, bool probe);

    void cancel();

    /// Ends the call when its time is over.
    /// @param paused  the process stood still; that time does not count
    void check_timeouts(steady_time now, bool paused);

    bool done() const { return done_ == nullptr; }
    steady_time began() const { return began_; }

private:
    // Answers to such calls are small; a longer one is a fault.
    static constexpr std::size_t max_body_bytes = 1u << 20;

    void on_connected() override { reply_.accepted = true; }
    void on_response_head(message_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_complete() override;
    void on_failure(connection_failure failure) override;
    void complete();

    connection_pool& pool_;
    endpoint_record const endpoint_;
    std::chrono::milliseconds const timeout_;
    handler done_;
    steady_time began_{};
    std::shared_ptr<http_connection> connection_;
    endpoint_reply reply_;
    unsigned response_status_ = 0;
};

} // namespace dotterellock

#endif
