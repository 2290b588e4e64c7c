// What callers, endpoints and the operator of one soak saw, each on the same
// clock. The checker reads nothing else.
#ifndef DOTTERELLOCK_TESTS_SOAK_HISTORY_HPP
#define DOTTERELLOCK_TESTS_SOAK_HISTORY_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/runtime.hpp>

namespace dotterellock::soak
{

using std::chrono::milliseconds;

enum class request_kind
{
    idempotent,
    at_most_once,
    resumable_stream
};

/// One request of a caller. A caller that tries again sends another one.
struct caller_attempt
{
    std::string id;
    request_kind kind{};
    std::string path;
    std::string key;
    std::size_t gateway = 0;
    unsigned process = 0; // number of the gateway's process, from 1
    steady_time sent{};
    milliseconds deadline{0};
    std::uint32_t max_attempts = 1;
    std::optional<std::uint64_t> last_event; // from an earlier attempt

    std::optional<steady_time> ended;
    bool left = false;     // the caller closed the connection
    unsigned status = 0;   // 0: no answer began
    std::string seal;      // the endpoint's signature
    bool complete = false; // as the answer's framing tells
    std::string body;      // of an answer that is no stream
    std::vector<std::uint64_t> events;
    std::string problem; // bytes that cannot belong to the answer
};

/// One arrival of a request at an endpoint.
struct endpoint_run
{
    std::string id; // of the caller's attempt
    std::string endpoint;
    std::string service;
    steady_time arrived{};
    std::optional<steady_time> ended;
    bool ran = false;          // false: the endpoint proved that it did not
    unsigned status = 0;       // of its answer; 0: none
    bool answered = false;     // the whole answer was written
    std::uint64_t version = 0; // of the configuration that admitted it
    milliseconds time_left{0};
    std::optional<std::uint64_t> last_event;
    std::string seal;
    std::string difference; // from what the caller sent
};

/// A fault in force. The scope is "store", "gateway:N", "caller-link:N",
/// "store-link:N", "endpoint:NAME" or "endpoint-link:NAME".
struct fault_interval
{
    std::string scope;
    steady_time from{};
    steady_time to{};
    std::string kind;
};

struct endpoint_departure
{
    std::string endpoint;
    steady_time acknowledged{}; // by the store
};

/// One accepted configuration.
struct configuration_change
{
    std::uint64_t version = 0;
    steady_time acknowledged{};
    std::set<std::string> keys;
};

/// One process of a gateway.
struct process_record
{
    std::size_t gateway = 0;
    unsigned process = 0;
    steady_time started{};
    std::optional<steady_time> stop_asked;
    std::optional<steady_time> killed;
    std::optional<steady_time> ended;
    int exit_status = 0;
};

struct history
{
    std::deque<caller_attempt> attempts;
    std::deque<endpoint_run> runs;
    std::vector<fault_interval> fault_intervals;
    std::vector<endpoint_departure> departures;
    std::vector<configuration_change> configurations;
    std::vector<process_record> processes;

    // Bounds of the deployment that the gateways were told ----------------

    milliseconds stable_window{2500}; // after a fault, before bounds hold
    milliseconds key_withdrawal_bound{3000};
    milliseconds configuration_bound{2500};
    milliseconds drain_bound{2500};
    milliseconds shutdown_grace{4000};
    milliseconds longest_link_delay{150};
    double retry_ratio = 0.1;
    double retry_allowance = 15;
    milliseconds retry_window{10000};
    std::map<std::string, milliseconds> route_timeouts; // by first segment
    std::optional<steady_time> faults_over;
    milliseconds recovery{6000};
};

// What an endpoint answers, so that both sides can tell whose bytes they see.
std::string expected_body(std::string const& path, std::string const& seal);
std::uint64_t event_count(std::string const& path);
std::string event_text(std::string const& path, std::uint64_t number);
std::string first_segment(std::string const& path);

} // namespace dotterellock::soak

#endif
