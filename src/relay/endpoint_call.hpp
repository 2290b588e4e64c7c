// A short request that the gateway itself sends to an endpoint, with a timeout.
#ifndef DOTTERELLOCK_RELAY_ENDPOINT_CALL_HPP
#define DOTTERELLOCK_RELAY_ENDPOINT_CALL_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "connection_pool.hpp"
#include "protocol_codec.hpp"

namespace dotterellock
{

struct endpoint_reply
{
    bool accepted = false; // the endpoint accepted the connection
    unsigned status = 0;   // 0: no complete response
    std::string body;
};

class endpoint_call : private response_handler
{
public:
    using handler = std::function<void(endpoint_reply)>;
    using head_handler = std::function<void(message_head const&)>;

    /// @param on_head  receives the head of the answer
    /// @param done     called once, unless cancel() comes first
    endpoint_call(
        connection_pool& pool, protocol_codec const& protocol,
        clock_source const& clock, memory_budget& memory,
        std::shared_ptr<endpoint_state const> endpoint,
        std::chrono::milliseconds timeout, head_handler on_head, handler done);
    ~endpoint_call() override { cancel(); }

    endpoint_call(endpoint_call const&) = delete;
    endpoint_call& operator=(endpoint_call const&) = delete;

    /// Sends the request, unless the endpoint accepts none by then.
    /// @param probe  opens a new connection, as silence on an existing one
    ///               proves nothing
    void start(std::string request, steady_time now, bool probe);

    void cancel();

    /// Ends the call on timeout.
    /// @param paused  the process was suspended, so the timeout starts again
    void check_timeouts(steady_time now, bool paused);

    bool done() const { return done_ == nullptr; }
    steady_time began() const { return began_; }

private:
    // Responses to such calls are small; a longer one is a fault and is cut
    // off.
    static constexpr std::size_t max_body_bytes = 1u << 20;

    void on_connected() override;
    void on_response_head(message_head head) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_complete() override;
    void on_failure(connection_failure failure) override;
    void complete();

    connection_pool& pool_;
    protocol_codec const& protocol_;
    clock_source const& clock_;
    std::shared_ptr<endpoint_state const> const endpoint_;
    endpoint_record const record_; // when the call was made
    std::chrono::milliseconds const timeout_;
    head_handler const on_head_;
    handler done_;
    steady_time began_{};
    std::shared_ptr<http_connection> connection_;
    endpoint_reply reply_;
    memory_account account_; // of the body
    bool reused_connection_ = false;
    unsigned response_status_ = 0;
};

} // namespace dotterellock

#endif
