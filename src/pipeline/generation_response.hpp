// Writes the output of one generation to its caller, as a stream of server-sent
// events or as one JSON body. One instance per HTTP request; owned by the
// relay and referenced by the http_exchange of the request. Called under the
// lock of the request's shard, except where noted.
#ifndef DOTTERELLOCK_PIPELINE_GENERATION_RESPONSE_HPP
#define DOTTERELLOCK_PIPELINE_GENERATION_RESPONSE_HPP

#include <atomic>
#include <functional>
#include <memory>

#include <dotterellock/generation.hpp>
#include <dotterellock/runtime.hpp>

#include "filter.hpp"

namespace dotterellock
{

/// Queues a function to run under the lock of one shard. Thread-safe.
using shard_post_function = std::function<void(std::function<void()>)>;

class generation_response
    : public generation_listener,
      public std::enable_shared_from_this<generation_response>
{
public:
    /// An idle stream gets a comment line at this interval, so that proxies
    /// and callers do not close it as dead.
    static constexpr milliseconds keep_alive_interval{5000};

    generation_response(
        request_context const& context, std::shared_ptr<response_sink> sink,
        generation_service& service, timer_service& timers, wall_time created,
        shard_post_function post);

    /// Starts the keep-alive timer of a stream.
    void start_keep_alive();

    void on_tokens(
        token_index first, std::vector<std::string> const& tokens,
        std::string const& event_id) override;
    void on_finished(finish_reason reason, token_index total) override;
    void on_error(error const& e) override;

    /// The connection of the caller ended. Nothing is written afterwards.
    void on_caller_disconnected();

private:
    std::string chunk_json(std::string const& text, char const* reason) const;
    std::string completion_json(char const* reason, token_index total) const;
    std::string json_prefix() const; // fields common to all bodies
    void begin_stream();
    void write(std::string bytes, token_index next);
    void on_written(token_index next); // on an I/O thread
    void report_progress();
    void schedule_keep_alive();
    void on_keep_alive();
    void close();
    http_headers headers() const;

    std::shared_ptr<response_sink> const sink_;
    generation_service& service_;
    timer_service& timers_;
    shard_post_function const post_;
    request_id const request_;
    std::string const idempotency_key_;
    std::string const model_;                 // as shown to callers
    std::string const router_chosen_version_; // empty: caller named it
    bool const is_chat_;
    bool const is_stream_;
    std::int64_t const created_; // seconds since 1970

    bool stream_started_ = false;
    bool closed_ = false;
    bool idle_ = true; // nothing written since the last timer
    timer_id keep_alive_ = 0;
    std::string buffered_text_; // tokens so far of a non-streamed response
    std::atomic<token_index> next_unwritten_{0};
    std::atomic<bool> progress_report_pending_{false};
};

} // namespace dotterellock

#endif
