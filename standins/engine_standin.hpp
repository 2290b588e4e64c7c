// Simulates an inference engine: continuous batching in steps, prefill before
// the first token, a bounded prefix cache, request priorities, delayed load
// reports, delayed and incomplete cache events, and orders with or without a
// check of the fencing token.
//
// POST /v1/completions           streams one token per chunk
// POST /v1/orders                load, unload, set_role
// GET  /v1/load                  the load `load_lag` ago
// GET  /v1/cache_events?after=N  delayed by `event_lag`, with gaps
// POST /admin/fault              {"paused":bool,"slow_factor":x,"silent":bool}
// GET  /admin/stats
#ifndef DOTTERELLOCK_STANDINS_ENGINE_STANDIN_HPP
#define DOTTERELLOCK_STANDINS_ENGINE_STANDIN_HPP

#include <cstdint>
#include <deque>
#include <list>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "expected_answer.hpp"
#include "standin.hpp"

namespace dotterellock::standins
{

struct engine_settings
{
    std::string model = "m";
    std::string version = "1";
    milliseconds step{20};                 // time for one token of every stream
    std::uint32_t max_running = 64;        // streams per batch
    std::uint32_t prefill_per_step = 2048; // prompt tokens per stream
    std::uint32_t answer_tokens = 200;     // unless max_tokens is lower
    std::uint32_t cache_blocks = 4096;
    bool checks_fencing_token = true;
    milliseconds event_lag{500};
    std::uint32_t event_gap = 10; // every n-th cache event is dropped; 0: none
    milliseconds load_lag{1000};
};

class engine_standin : public standin
{
public:
    engine_standin(asio::io_context& context, engine_settings settings);

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

private:
    using clock = std::chrono::steady_clock;

    struct stream
    {
        std::shared_ptr<http_reply> reply;
        expected_answer answer;
        std::uint32_t next = 0;
        std::uint32_t end = 0;
        bool ends_by_length = false;
        std::uint32_t prefill_left = 0; // prompt tokens
        unsigned priority = 0;
    };

    struct cache_event
    {
        std::uint64_t sequence;
        std::uint64_t block;
        bool added;
        clock::time_point at;
    };

    struct load_sample
    {
        clock::time_point at;
        std::size_t running;
        std::size_t waiting;
    };

    void start_completion(
        std::string const& body, std::shared_ptr<http_reply> const& reply);
    void handle_order(std::string const& body, http_reply& reply);
    void handle_fault(std::string const& body, http_reply& reply);
    void report_load(http_reply& reply);
    void report_cache_events(http_call const& call, http_reply& reply);
    void report_stats(http_reply& reply);

    void schedule_step();
    void step();
    bool advance(stream& s); // false when the stream has ended
    void admit_waiting();
    std::uint32_t uncached_tokens(std::string const& prompt);
    void touch_block(std::uint64_t block);
    void record_cache_event(std::uint64_t block, bool added);

    asio::io_context& context_;
    engine_settings settings_;

    std::list<stream> running_;
    std::deque<stream> waiting_;
    bool step_scheduled_ = false;

    std::list<std::uint64_t> cache_order_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cache_;
    std::deque<cache_event> events_;
    std::uint64_t last_event_ = 0;
    std::deque<load_sample> load_samples_;
    std::set<std::string> loaded_; // "model@version"
    std::uint64_t highest_token_ = 0;

    bool paused_ = false;
    bool silent_ = false;
    double slow_factor_ = 1;

    std::uint64_t runs_ = 0;
    std::uint64_t tokens_produced_ = 0;
    std::uint64_t prefill_tokens_ = 0;
    std::uint64_t cached_tokens_ = 0;
    std::uint64_t stale_orders_refused_ = 0;
};

} // namespace dotterellock::standins

#endif
