// Client of one streamed generation, on its own thread; used by the demo,
// benchmarks and process tests. After a lost connection it resumes the stream
// at the next router with the last event id. Collects the text and timings.
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
    std::string error_code; // empty: no error
    bool finished = false;
    unsigned reconnects = 0;
    std::chrono::milliseconds first_token{0};
    std::chrono::milliseconds longest_gap{0}; // between events with tokens
};

class streaming_caller
{
public:
    /// Sends the request immediately, on a new thread.
    explicit streaming_caller(caller_request request);
    ~streaming_caller(); // abandons the stream
    streaming_caller(streaming_caller const&) = delete;
    streaming_caller& operator=(streaming_caller const&) = delete;

    /// False if fewer tokens arrived within the limit.
    bool wait_for_tokens(std::size_t count, std::chrono::milliseconds limit);

    /// False if the answer did not end within the limit.
    bool wait(std::chrono::milliseconds limit);

    caller_result result() const;

    /// Aborts the current connection, as a network failure would; the caller
    /// then reconnects.
    void cut_connection() { cut_requested_ = true; }

private:
    using clock = std::chrono::steady_clock;

    void run();
    bool connect_once(std::string const& url); // true: answer ended
    void on_bytes(std::string_view bytes);
    void on_event(sse_event const& event);
    static std::size_t
    receive(char* data, std::size_t size, std::size_t count, void* self);
    static int progress(void* self, long long, long long, long long, long long);

    caller_request const request_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> cut_requested_{false};

    mutable std::mutex mutex_; // guards everything below
    std::condition_variable changed_;
    caller_result result_;
    std::size_t tokens_ = 0;
    std::string last_event_id_;
    std::string error_body_; // bytes received before the first token
    sse_parser parser_;
    clock::time_point sent_;
    clock::time_point last_event_;
    bool answer_ended_ = false;

    std::thread thread_; // last member: run() uses all others
};

} // namespace dotterellock::load

#endif
