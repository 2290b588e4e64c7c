// Runs HTTP transfers with libcurl's multi interface on a thread of its own.
// submit and abort are thread-safe. Handlers run on the executor's thread, so
// clients pass their results to a post_function, which runs them under the
// mutex of the object graph that made the request.
//
// An answer that exceeds the limit of its request, or its share of the budget
// of all answers, ends as one that did not arrive.
#ifndef DOTTERELLOCK_CLIENTS_CURL_EXECUTOR_HPP
#define DOTTERELLOCK_CLIENTS_CURL_EXECUTOR_HPP

#include <atomic>
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

#include "gateway/memory_budget.hpp"

namespace dotterellock
{

/// Schedules a function to run under the mutex of the object graph that owns
/// the client.
using post_function = std::function<void(std::function<void()>)>;

constexpr std::size_t default_max_answer_bytes = 1u << 20;
constexpr std::size_t max_answer_head_bytes = 64u << 10; // with trailers
constexpr std::size_t default_answer_budget_bytes = 256u << 20;

struct http_request
{
    std::string method = "GET";
    std::string url;
    std::string content_type;
    std::string body;
    std::vector<std::string> headers;     // "Name: value"
    std::chrono::milliseconds timeout{0}; // whole transfer; 0: no limit
    std::chrono::milliseconds connect_timeout{1000};

    /// Limit of the body; with on_data, of what waits for the receiver.
    std::size_t max_answer_bytes = default_max_answer_bytes;

    /// Uses a connection that carried earlier requests. Only for a server that
    /// is trusted to send each answer once: a late copy of an earlier answer
    /// would be taken for the answer to this request, and libcurl repeats a
    /// request by itself when a reused connection ends without an answer.
    bool reuse_connection = false;
};

struct http_response
{
    bool sent = false;     // false: the server cannot have received it
    bool answered = false; // a complete response arrived, within its limits
    int status = 0;
    std::string content_type;
    std::string body; // empty when on_data is set
    std::string detail;
};

/// What the receiver of a stream holds.
struct held_stream_bytes
{
    std::size_t incomplete = 0; // of an event that has not ended
    std::size_t posted = 0;     // passed to the owner and not yet handled
};

struct http_handlers
{
    /// Receives the body in pieces, for streams; optional.
    std::function<void(std::string_view)> on_data;

    /// With on_data, optional. While too much is posted, nothing is read until
    /// nothing is posted any more and curl_executor::wake is called.
    std::function<held_stream_bytes()> held;
    std::function<void(http_response)> on_done;
};

class curl_executor
{
public:
    using transfer_id = std::uint64_t;

    /// @param answer_budget_bytes  bound on what all answers hold together
    explicit curl_executor(
        counter_registry& counters,
        std::size_t answer_budget_bytes = default_answer_budget_bytes);
    ~curl_executor(); // aborts all transfers; no handler runs afterwards
    curl_executor(curl_executor const&) = delete;
    curl_executor& operator=(curl_executor const&) = delete;

    transfer_id submit(http_request request, http_handlers handlers);

    /// Ends the transfer without calling on_done. A handler already running on
    /// the executor's thread may still finish.
    void abort(transfer_id id);

    /// Looks again at the streams that are not read because of what is posted.
    void wake();

private:
    struct transfer;

    void run();
    void apply_requests();
    void resume_paused();
    void finish_completed();
    void remove_transfer(transfer_id id);
    static http_response make_response(transfer& t, int curl_code);

    counter& transfers_started_;
    counter& transfers_failed_;
    counter& answers_over_limit_;
    counter& pauses_;
    counter& held_bytes_;

    std::mutex mutex_; // guards the four members below
    std::vector<std::unique_ptr<transfer>> submissions_;
    std::vector<transfer_id> abort_requests_;
    transfer_id last_id_ = 0;
    bool stopping_ = false;

    std::atomic<bool> woken_{false};
    void* multi_;
    memory_budget budget_; // thread_ only, as is active_
    std::map<transfer_id, std::unique_ptr<transfer>> active_;
    std::thread thread_; // last member: it uses the others
};

} // namespace dotterellock

#endif
