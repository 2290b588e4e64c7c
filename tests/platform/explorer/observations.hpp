// What callers and endpoints of a schedule saw, and what its operator did. The
// checks judge a gateway by this alone.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_OBSERVATIONS_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_OBSERVATIONS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/runtime.hpp>

#include "http_text.hpp"
#include "schedule.hpp"

namespace dotterellock::testing::explorer
{

using std::chrono::milliseconds;

struct caller_request
{
    std::string id;
    route_kind route = route_kind::safe;
    std::string target;
    std::string body;
    std::string key;
    milliseconds deadline{0};
    std::size_t connection = 0;
    std::size_t end = 0; // offset of its end in the connection's output

    std::optional<steady_time> began;          // first byte sent
    std::optional<steady_time> whole;          // last byte sent
    std::optional<steady_time> began_readable; // as the process was running
    std::optional<steady_time> whole_readable; // as before
    bool told_of_close = false;       // sent after an answer named the close
    std::optional<steady_time> begun; // answer's head
    std::optional<steady_time> ended; // answer whole
    received_message answer;          // so far

    bool sent_unread = false;        // its caller did not read then
    bool limited_by_reading = false; // its caller paused meanwhile
};

struct caller_connection
{
    std::vector<std::size_t> requests;
    std::optional<steady_time> left;   // closed, half-closed or reset
    std::optional<steady_time> closed; // by the gateway
    std::string surplus;               // bytes that answer no request
};

/// A request as one endpoint received it.
struct endpoint_run
{
    std::string id;
    std::uint32_t endpoint = 0;
    received_message request;
    steady_time began{};
    std::optional<steady_time> whole;

    std::string tag; // of its answer; the seal
    unsigned status = 0;
    std::string body;    // of its answer
    bool sealed = false; //
    bool proves_not_run = false;
    bool answered = false; // an answer was chosen
    bool streaming = false;
    event_form events = event_form::with_ids;
    std::uint64_t first_event = 1;
    std::uint64_t next_event = 1;
    bool ends_within_event = false;
    bool end_looks_whole = false; // it has no length, and was closed in order
    bool ended_in_order = false;  // its answer was sent whole
    std::optional<steady_time> sent;      // when
    std::optional<steady_time> dropped;   // by the endpoint
    std::optional<steady_time> cut;       // by the gateway, before `sent`
    std::optional<steady_time> last_byte; // sent
    bool faulty = false; // its answer, or its end, was not in order
};

struct key_change
{
    steady_time at{};
    bool valid = true;
};

struct row_change
{
    steady_time at{};
    std::uint32_t endpoint = 0;
    row_form form = row_form::ready;
};

struct interval
{
    steady_time from{};
    steady_time to{};
};

struct observations
{
    std::vector<caller_request> requests;
    std::vector<caller_connection> connections;
    std::vector<endpoint_run> runs;

    std::map<std::string, std::vector<key_change>> keys;
    std::vector<key_change> safe_routes; // whether it exists
    std::vector<row_change> rows;
    std::vector<interval> store_faults;
    std::vector<interval> jumps;
    std::uint32_t max_attempts = 0;   // of all versions
    bool refused_connections = false; // some endpoint did
    bool small_body_limit = false;    // in some version
    bool short_idle_limit = false;    // in some version
    bool service_removed = false;     // in some version

    steady_time began{};
    std::optional<steady_time> stopped;
    std::optional<steady_time> finished;
    steady_time ended{};
    std::vector<std::string> errors; // exceptions, and lines that tell of one
    std::size_t calm_from = 0; // requests from here on are sent without faults
};

struct violation
{
    std::string rule;
    std::string detail;
};

} // namespace dotterellock::testing::explorer

#endif
