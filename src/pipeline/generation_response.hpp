// Writes one generation's answer to its caller, as a stream of server-sent
// events or as one JSON body. One per HTTP request; owned by the request's
// exchange and by the relay; called under the lock of the request's shard,
// except where noted.
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

/// Runs a function later under the lock of one shard; from any thread.
using shard_poster = std::function<void(std::function<void()>)>;

class generation_response
    : public generation_listener,
      public std::enable_shared_from_this<generation_response>
{
public:
    /// A stream on which nothing flows gets a comment line this often, so that
    /// proxies and callers do not take it for dead.
    static constexpr milliseconds keep_alive_interval{5000};

    generation_response(
        request_context const& context, std::shared_ptr<response_sink> sink,
        generation_service& service, timer_service& timers, wall_time created,
        shard_poster post);

    /// Starts the keep-alive timer of a stream.
    void start();

    void on_tokens(
        token_index first, std::vector<std::string> const& tokens,
        std::string const& event_id) override;
    void on_finished(finish_reason reason, token_index total) override;
    void on_error(error const& e) override;

    /// The caller's connection ended; nothing is written afterwards.
    void caller_gone();

private:
    std::string chunk(std::string const& text, char const* reason) const;
    std::string whole(char const* reason, token_index total) const;
    std::string head() const; // JSON common to all bodies
    void begin_stream();
    void write(std::string bytes, token_index next);
    void on_written(token_index next); // on an I/O thread
    void report_progress();
    void arm_keep_alive();
    void on_keep_alive();
    void close();
    http_headers headers() const;

    std::shared_ptr<response_sink> const sink_;
    generation_service& service_;
    timer_service& timers_;
    shard_poster const post_;
    request_id const request_;
    std::string const key_;
    std::string const model_;          // as callers are told
    std::string const chosen_version_; // empty: named by the caller
    bool const chat_;
    bool const stream_;
    std::int64_t const created_; // seconds since 1970

    bool begun_ = false;
    bool closed_ = false;
    bool quiet_ = true; // nothing was written since the last timer
    timer_id keep_alive_ = 0;
    std::string text_; // of a whole answer so far
    std::atomic<token_index> written_{0};
    std::atomic<bool> report_posted_{false};
};

} // namespace dotterellock

#endif
