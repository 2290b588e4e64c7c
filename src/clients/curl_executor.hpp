// Runs HTTP transfers with libcurl's multi interface on one thread of its own.
// Submitting and aborting is allowed from any thread. Handlers run on the
// executor's thread, so clients hand their results to a post_function, which
// runs them under the mutex of the object graph that asked.
#ifndef DOTTERELLOCK_CLIENTS_CURL_EXECUTOR_HPP
#define DOTTERELLOCK_CLIENTS_CURL_EXECUTOR_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <dotterellock/observability.hpp>

namespace dotterellock
{

/// Runs a function later under the mutex of the object graph that owns it.
using post_function = std::function<void(std::function<void()>)>;

struct http_request
{
    std::string method = "GET";
    std::string url;
    std::string content_type;
    std::string body;
    std::vector<std::string> headers;     // "Name: value"
    std::chrono::milliseconds timeout{0}; // whole transfer; 0: none
    std::chrono::milliseconds connect_timeout{1000};

    /// libcurl repeats a request by itself when a reused connection turns out
    /// to be closed. Requests that must not be repeated need a connection of
    /// their own.
    bool fresh_connection = false;
};

struct http_response
{
    bool sent = false;     // false: the server certainly never saw it
    bool answered = false; // a complete answer arrived
    int status = 0;
    std::string content_type;
    std::string body; // empty when on_data took it
    std::string detail;
};

struct http_handlers
{
    std::function<void(std::string_view)> on_data; // optional; for streams
    std::function<void(http_response)> on_done;
};

class curl_executor
{
public:
    using transfer_id = std::uint64_t;

    explicit curl_executor(counter_registry& counters);
    ~curl_executor(); // aborts every transfer; no handler runs afterwards
    curl_executor(curl_executor const&) = delete;
    curl_executor& operator=(curl_executor const&) = delete;

    transfer_id submit(http_request request, http_handlers handlers);

    /// Ends the transfer without calling on_done. A handler that already runs
    /// on the executor's thread may still finish.
    void abort(transfer_id id);

private:
    struct transfer;

    void run();
    void apply_requests();
    void finish_completed();
    void remove_transfer(transfer_id id);
    static http_response make_response(transfer& t, int curl_code);

    counter& transfers_started_;
    counter& transfers_failed_;

    std::mutex mutex_; // guards the four members below
    std::vector<std::unique_ptr<transfer>> submissions_;
    std::vector<transfer_id> abort_requests_;
    transfer_id last_id_ = 0;
    bool stopping_ = false;

    void* multi_;
    std::map<transfer_id, std::unique_ptr<transfer>> active_; // thread only
    std::thread thread_;                                      // last member
};

} // namespace dotterellock

#endif
