// Sends the arrivals of a plan at their times, follows every answer to its
// end, reconnects to the next router with the last event id after a lost
// connection, and compares each answer with the text the engine stand-ins
// give. One mutex guards all state; handlers run on the HTTP client's thread.
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
    struct session // one request and its answer
    {
        std::size_t number = 0;
        arrival planned;
        std::size_t router = 0; // index of the present one
        steady_time sent;
        steady_time last_event;
        bool has_tokens = false;
        bool finished = false;
        double longest_gap_ms = 0;
        std::string text;
        std::string last_event_id;
        std::string error_code; // of an error event or body
        sse_parser parser;
        std::string error_body;
    };

    void send_due(steady_time now);
    void open(std::size_t number);
    void connect(session& s);
    void on_bytes(std::size_t number, std::string_view bytes);
    void on_event(session& s, sse_event const& event);
    void on_closed(std::size_t number, http_response const& response);
    void note_text(session& s, std::string const& text);
    void conclude(session& s);
    steady_time next_due(steady_time now) const;

    experiment experiment_;
    clock_source& clock_;
    curl_executor& executor_;
    std::vector<arrival> plan_;
    steady_time start_;

    std::mutex mutex_; // guards everything below
    std::condition_variable changed_;
    std::size_t next_arrival_ = 0;
    std::map<std::size_t, std::unique_ptr<session>> open_;
    std::multimap<steady_time, std::size_t> reconnects_;
    load_result result_;
};

} // namespace dotterellock::load

#endif
