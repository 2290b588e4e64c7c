// One caller of one generation on a thread of its own, for demo and process
// tests: reads the stream, reconnects to the next router with the last event
// id after a lost connection, and keeps what arrived.
#ifndef DOTTERELLOCK_LOAD_STREAMING_CALLER_HPP
#define DOTTERELLOCK_LOAD_STREAMING_CALLER_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "../clients/sse_parser.hpp"

namespace dotterellock::load
{

struct caller_request
{
    std::vector<std::string> routers; // base URLs, tried in turn
    std::string api_key;
    std::string idempotency_key;
    std::string model; // "name@version"
    std::string prompt;
    unsigned max_tokens = 0;
};

struct caller_result
{
    std::string text;
    std::string error_code; // empty: none
    bool finished = false;
    unsigned reconnects = 0;
    std::chrono::milliseconds first_token{0};
    std::chrono::milliseconds longest_gap{0}; // between events with tokens
};

class streaming_caller
{
public:
    /// Starts at once.
    explicit streaming_caller(caller_request request);
    ~streaming_caller(); // abandons the stream
    streaming_caller(streaming_caller const&) = delete;
    streaming_caller& operator=(streaming_caller const&) = delete;

    /// False when fewer tokens came within the limit.
    bool wait_for_tokens(std::size_t count, std::chrono::milliseconds limit);

    /// False when the answer did not end within the limit.
    bool wait(std::chrono::milliseconds limit);

    caller_result result() const;

    /// Cuts the present connection, as a failing network would; the caller
    /// then reconnects.
    void cut_connection() { cut_ = true; }

private:
    using clock = std::chrono::steady_clock;

    void run();
    bool connect_once(std::string const& url); // true: the answer has ended
    void on_bytes(std::string_view bytes);
    void on_event(sse_event const& event);
    static std::size_t
    receive(char* data, std::size_t size, std::size_t count, void* self);
    static int progress(void* self, long long, long long, long long, long long);

    caller_request const request_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> cut_{false};

    mutable std::mutex mutex_; // guards everything below
    std::condition_variable changed_;
    caller_result result_;
    std::size_t tokens_ = 0;
    std::string last_event_id_;
    std::string raw_body_; // of a refusal
    sse_parser parser_;
    clock::time_point sent_;
    clock::time_point last_event_;
    bool ended_ = false;

    std::thread thread_; // last member: uses all others
};

} // namespace dotterellock::load

#endif
