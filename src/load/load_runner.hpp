// Sends the requests of a plan at their scheduled times and reads every answer
// to its end. After a lost connection it resumes the stream at the next router
// with the last event id. Compares each answer with the text that the engine
// stand-ins generate. One mutex guards all state; the HTTP handlers run on the
// client's thread.
#ifndef DOTTERELLOCK_LOAD_LOAD_RUNNER_HPP
#define DOTTERELLOCK_LOAD_LOAD_RUNNER_HPP

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "../clients/curl_executor.hpp"
#include "../clients/sse_parser.hpp"
#include "experiment.hpp"
#include "load_report.hpp"

namespace dotterellock::load
{

class load_runner
{
public:
    load_runner(experiment e, clock_source& clock, curl_executor& executor);

    /// Blocks until every answer ended or the experiment's timeout passed.
    load_result run();

private:
    struct open_request // one request and its answer so far
    {
        std::size_t number = 0;
        arrival planned;
        std::size_t router = 0; // index of the router in use
        steady_time sent;
        steady_time last_event;
        bool has_tokens = false;
        bool finished = false;
        double longest_gap_ms = 0;
        std::string text;
        std::string last_event_id;
        std::string error_code; // from an error event or error body
        sse_parser parser;
        std::string error_body;
    };

    void process_due(steady_time now);
    void start_request(std::size_t number);
    void send_attempt(open_request& r);
    void on_bytes(std::size_t number, std::string_view bytes);
    void on_event(open_request& r, sse_event const& event);
    void on_response_end(std::size_t number, http_response const& response);
    void record_text(open_request& r, std::string const& text);
    void record_outcome(open_request& r);
    steady_time next_due_time(steady_time now) const;

    experiment experiment_;
    clock_source& clock_;
    curl_executor& executor_;
    std::vector<arrival> plan_;
    steady_time start_;

    std::mutex mutex_; // guards everything below
    std::condition_variable changed_;
    std::size_t next_arrival_ = 0;
    std::map<std::size_t, std::unique_ptr<open_request>> open_requests_;
    std::multimap<steady_time, std::size_t> reconnects_;
    load_result result_;
};

} // namespace dotterellock::load

#endif
