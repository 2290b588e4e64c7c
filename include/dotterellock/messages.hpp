// Messages between routers and agents. Value types, encoded by src/wire.
//
// Index
//   reservations  : reserve, withdraw, offer, reserve_refused
//   generations   : dispatch_generation ... generation_failed, attach
//   plain calls   : dispatch_call, query_call, call_result
//   liveness      : ping, pong, load_report, prefix_hint
//   journal       : journal_append ... journal_state
//   configuration : configuration_digest, configuration_push
#ifndef DOTTERELLOCK_MESSAGES_HPP
#define DOTTERELLOCK_MESSAGES_HPP

#include <array>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include <dotterellock/error.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

using std::chrono::milliseconds;

// ---- reservations ---------------------------------------------------------

enum class work_kind : std::uint8_t
{
    generation,
    call
};

/// Router to agent: adds a small placeholder for the work to the agent's queue.
struct reserve
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    organisation_id organisation;
    dotterellock::rank rank = rank::standard;
    work_kind kind = work_kind::generation;
    model_ref model;                    // generations
    service_name service;               // calls
    std::uint32_t estimated_tokens = 0; // prompt + expected output; calls: 1
    milliseconds waiting_budget{0}; // agent drops it afterwards; 0: no limit
};

/// Router to agent: the reservation is no longer needed.
struct withdraw
{
    request_id request;
    attempt_number attempt = 0;
};

/// Agent to router: capacity is free; the router dispatches or withdraws.
struct offer
{
    request_id request;
    attempt_number attempt = 0;
    permit_id permit = 0;
    dotterellock::incarnation incarnation = 0;
    milliseconds valid_for{0}; // since it was sent, by the agent's clock
};

struct reserve_refused
{
    request_id request;
    attempt_number attempt = 0;
    error_code reason = error_code::overloaded;
    milliseconds retry_after{0};
};

// ---- generations ----------------------------------------------------------

enum class finish_reason : std::uint8_t
{
    stop,  // the model ended its answer
    length // max_tokens was reached
};

struct sampling
{
    std::uint32_t max_tokens = 0; // of the whole answer, all attempts
    double temperature = 0;
    std::uint64_t seed = 0;
};

/// Router to agent: runs one attempt under a permit.
struct dispatch_generation
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    permit_id permit = 0;
    dotterellock::incarnation incarnation = 0;
    organisation_id organisation;
    dotterellock::rank rank = rank::standard;
    model_ref model;
    std::string prompt;
    std::vector<std::string> resume_tokens; // tokens the caller already has
    dotterellock::sampling sampling;

    /// Index of the first token this attempt produces.
    token_index first_index() const
    {
        return static_cast<token_index>(resume_tokens.size());
    }
};

/// Router to agent: tokens below next_index no longer need to be buffered.
struct acknowledge
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    token_index next_index = 0;
};

struct cancel
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
};

/// Router to agent: requests the buffered tokens from next_index on.
struct attach
{
    request_id request;
    owner_epoch epoch = 0; // owner's epoch; ignored for a takeover
    token_index next_index = 0;
    bool takeover = false; // requests a new, higher epoch
};

/// Agent to router. Buffered tokens follow as token_batch messages.
struct attach_result
{
    request_id request;
    bool found = false;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;       // the epoch that now owns the generation
    token_index first_index = 0; // lowest index still buffered
    token_index next_index = 0;  // next index the engine will produce
};

struct token_batch
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    token_index first_index = 0;
    std::vector<std::string> tokens;
};

struct generation_finished
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    token_index next_index = 0; // total number of tokens in the answer
    finish_reason reason = finish_reason::stop;
};

struct generation_failed
{
    request_id request;
    attempt_number attempt = 0;
    owner_epoch epoch = 0;
    error_code code = error_code::engine_failed;
    std::string step;
    std::string detail;
    bool retryable = true; // another endpoint may succeed
};

// ---- plain calls ----------------------------------------------------------

struct dispatch_call
{
    request_id request;
    attempt_number attempt = 0;
    permit_id permit = 0;
    dotterellock::incarnation incarnation = 0;
    organisation_id organisation;
    service_name service;
    std::string operation;
    std::string method; // "GET", "POST", ...
    std::string path;   // below the service root, begins with '/'
    std::string content_type;
    std::string body;
    bool repeatable = false;
    milliseconds timeout{0}; // for the service's answer
};

/// Router to agent: asks for the outcome of a call. With close_if_not_run the
/// agent also guarantees that a call it has not run will never be run.
struct query_call
{
    request_id request;
    attempt_number attempt = 0;
    dotterellock::incarnation incarnation = 0;
    bool close_if_not_run = false;
};

enum class call_outcome : std::uint8_t
{
    done,    // completed; the answer is included
    not_run, // did not run and never will
    unknown, // may have run
    running, // passed to the service, no answer yet
    refused  // only in replies: this submission was not accepted, which says
             // nothing about earlier ones with the same key
};

struct call_result
{
    request_id request;
    attempt_number attempt = 0;
    dotterellock::incarnation incarnation = 0;
    call_outcome outcome = call_outcome::unknown;
    int status = 0; // HTTP status of the service; 0 when there is none
    std::string content_type;
    std::string body;
    std::string detail;
};

// ---- liveness -------------------------------------------------------------

struct ping
{
    std::uint64_t sequence = 0;
};

struct pong
{
    std::uint64_t sequence = 0;
};

/// Agent to its subscribed routers, periodically; also serves as heartbeat.
struct load_report
{
    endpoint_id endpoint;
    dotterellock::incarnation incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t capacity = 0;
    std::array<std::uint32_t, rank_count> waiting{};
    std::uint64_t waiting_tokens = 0;
    double tokens_per_second = 0;            // sum over all streams
    double tokens_per_second_per_stream = 0; // for straggler detection
    bool draining = false;
};

/// Agent to routers: prompt blocks the engine may have cached. Only a hint:
/// it may be late and incomplete.
struct prefix_hint
{
    endpoint_id endpoint;
    std::vector<std::uint64_t> added; // chained block hashes
    std::vector<std::uint64_t> removed;
};

// ---- journal: router to router --------------------------------------------

struct journal_append
{
    request_id request;
    owner_epoch epoch = 0;
    endpoint_id endpoint; // that runs the current attempt
    attempt_number attempt = 0;
    token_index first_index = 0;
    std::vector<std::string> tokens;
    bool finished = false;
};

struct journal_appended
{
    request_id request;
    owner_epoch epoch = 0;
    token_index next_index = 0; // holder has every token below this
};

struct journal_read
{
    request_id request;
};

struct journal_state
{
    request_id request;
    bool found = false;
    owner_epoch epoch = 0;
    endpoint_id endpoint;
    attempt_number attempt = 0;
    std::vector<std::string> tokens; // from index 0
};

// ---- configuration: between any two processes -----------------------------

struct configuration_digest
{
    std::uint64_t version = 0;
};

struct configuration_push
{
    std::uint64_t version = 0;
    std::string document; // YAML text as applied
};

using message = std::variant<
    reserve, withdraw, offer, reserve_refused, dispatch_generation, acknowledge,
    cancel, attach, attach_result, token_batch, generation_finished,
    generation_failed, dispatch_call, query_call, call_result, ping, pong,
    load_report, prefix_hint, journal_append, journal_appended, journal_read,
    journal_state, configuration_digest, configuration_push>;

/// Returns the id of the request that a message belongs to, or nullptr if there
/// is none. A router uses it to find the shard.
request_id const* request_of(message const& m);

/// Returns the name of the message type, for logs.
char const* kind_of(message const& m);

} // namespace dotterellock

#endif
