// A schedule of the explorer: plain values that are generated from a seed,
// played by a world, shrunk, and printed as a table that a test can replay.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_SCHEDULE_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_SCHEDULE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace dotterellock::testing::explorer
{

enum class action : std::uint8_t
{
    // callers; `who` is one of caller_count
    request,        // form: route + 8 * key, size: see body_bytes(), deadline
    send_rest,      // amount: bytes, 0 for all
    pause_reading,  //
    read_some,      // amount: bytes
    resume_reading, //
    leave,          // form: 0 close, 1 half-close, 2 reset

    // requests that endpoints are working on; `who` is taken modulo their
    // number
    answer,      // form: answer_form, size: bytes, amount: bytes sent at once
    send_answer, // amount: bytes, 0 for all
    events,      // form: event_form, size: their number, amount: as above
    end_stream,  // form: 0 in order, 1 within an event
    drop,        // form: 0 close, 1 reset

    // endpoints; `who` is one of endpoint_count
    listen,     // form: 0 refuses connections, 1 accepts them
    mute,       // form: 1 leaves checks unanswered, 0 answers them
    reset_idle, // resets connections without a request
    row,        // form: row_form

    // operator and store
    configure, // form: configuration_form, size: its value
    store,     // form: 0 works, 1 refuses, 2 holds calls back
    stop,      //

    // time
    advance, // amount: ms
    jump     // amount: ms without a run of the gateway
};
constexpr std::uint32_t action_count = std::uint32_t(action::jump) + 1;

enum class answer_form : std::uint8_t
{
    with_length,
    chunked,
    close_delimited,
    refused_with_proof,
    refused_with_pause, // as before, with a Retry-After of one second
    refused_without_proof,
    misdirected,
    server_error,
    not_found,
    unsealed,
    foreign, // names another request
    leaving  // with_length, announces that the endpoint leaves
};
constexpr std::uint32_t answer_form_count =
    std::uint32_t(answer_form::leaving) + 1;

enum class event_form : std::uint8_t
{
    with_ids,
    without_ids,
    alternating,    // every second event has an id
    close_delimited // with ids; the stream ends with its connection
};
constexpr std::uint32_t event_form_count =
    std::uint32_t(event_form::close_delimited) + 1;

enum class row_form : std::uint8_t
{
    ready,
    draining,
    removed,
    odd,     // not readable
    returned // another incarnation at the same address
};
constexpr std::uint32_t row_form_count = std::uint32_t(row_form::returned) + 1;

enum class configuration_form : std::uint8_t
{
    key,          // size: 0 withdraws it, 1 gives it back
    body_limit,   // size: 0 small, 1 usual
    safe_route,   // size: 0 removes it, 1 returns it
    app_service,  // as before
    attempts,     // size: maxAttempts of the repeatable routes
    idle_limit,   // size: 0 short, 1 usual
    organisations // size: 0 empties their list, 1 returns them
};
constexpr std::uint32_t configuration_form_count =
    std::uint32_t(configuration_form::organisations) + 1;

enum class route_kind : std::uint8_t
{
    safe,
    unsafe,
    stream,      // resumable
    stream_once, // not resumable
    prompt,      // of an engine, resumable
    open         // safe, without a key
};
constexpr std::uint32_t route_count = std::uint32_t(route_kind::open) + 1;

constexpr std::uint32_t caller_count = 4;
constexpr std::uint32_t endpoint_count = 4; // two of each service

struct step
{
    action what;
    std::uint32_t who = 0;
    std::uint32_t form = 0;
    std::uint32_t size = 0;
    std::uint32_t amount = 0;
};

struct schedule
{
    std::uint64_t seed = 0; // of the world's random choices and addresses
    std::vector<step> steps;
};

/// The schedule of a seed.
schedule generate(std::uint64_t seed);

/// The schedule as the rows of a table test.
std::string to_text(schedule const& s);

/// Bytes of a request's body by its size class.
std::size_t body_bytes(std::uint32_t size);

} // namespace dotterellock::testing::explorer

#endif
