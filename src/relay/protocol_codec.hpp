// Translates between the platform's HTTP messages and the values that the
// relay works with. Implementations only translate; the relay decides.
#ifndef DOTTERELLOCK_RELAY_PROTOCOL_CODEC_HPP
#define DOTTERELLOCK_RELAY_PROTOCOL_CODEC_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <dotterellock/types.hpp>

#include "gateway/endpoint_state.hpp"
#include "gateway/prompt_cache_index.hpp"
#include "http/message_parser.hpp"

namespace dotterellock
{

/// Values from the head of a caller's request.
struct request_metadata
{
    request_id id;
    std::string api_key;                               // empty: none
    std::optional<std::chrono::milliseconds> deadline; // time it will wait
    std::optional<std::uint64_t> last_event_id;        // last one it received

    // The request that brought the first event of the stream that this one
    // takes up; empty: not known.
    request_id resumed_request;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; // upper limit
    std::string last_prompt_part;    // specific to this request or its session
    std::vector<std::string> prompt_parts; // in order, including the last one
};

/// Values from the head of an endpoint's response.
struct response_metadata
{
    std::optional<request_id> id;
    bool sealed = false;  // signed by the endpoint
    bool not_run = false; // the endpoint proves that the request did not run
    bool leaving = false; // the endpoint ends soon
    std::optional<std::chrono::milliseconds> idle_timeout;
    std::optional<std::chrono::milliseconds> retry_after;

    // Requests a second that the endpoint takes from all gateways together.
    std::optional<double> request_limit;
    bool names_limit = false; // also if it is unreadable
};

/// Location of a copy of a run's memory.
struct memory_copy
{
    std::string address; // of the endpoint that holds it
    std::string run;     // identifier of the run there
};

/// Values that the gateway adds to a request it forwards.
struct forwarding_metadata
{
    request_id id;
    std::chrono::milliseconds time_left{0};
    endpoint_id expected_endpoint; // other endpoints refuse the request
    organisation_id organisation;  // empty: none
    std::optional<std::uint32_t> rank;
    std::optional<std::uint64_t> last_event_id;
    std::optional<std::string> standby; // address to copy the run's memory to
    std::optional<memory_copy> copy;    // to resume from
};

class protocol_codec
{
public:
    virtual ~protocol_codec() = default;

    /// Throws error(invalid_argument) for invalid values.
    virtual request_metadata read_request(message_head const& head) const = 0;

    virtual response_metadata read_response(message_head const& head) const = 0;

    /// Whether a caller's header is forwarded unchanged. False for headers that
    /// the gateway sets itself or withholds from endpoints.
    virtual bool forwards_header(std::string_view header) const = 0;

    /// Whether an endpoint's header is forwarded to the caller. False for
    /// headers that only tell the gateway something.
    virtual bool forwards_response_header(std::string_view header) const = 0;

    /// Request for an endpoint's report.
    virtual std::string report_request() const = 0;

    /// Throws error(protocol_error) for a malformed report.
    virtual endpoint_report read_report(std::string const& body) const = 0;

    /// Request for the prompt parts that an endpoint caches.
    virtual std::string cache_list_request() const = 0;

    /// Throws error(protocol_error) for a malformed list.
    virtual std::vector<cached_part>
    read_cache_list(std::string const& body) const = 0;

    /// Request to copy a run's memory from the endpoint that runs it to the one
    /// at `address`.
    virtual std::string
    copy_request(request_id const& run, std::string const& address) const = 0;

    /// Name of the copy that was made. Throws error(protocol_error).
    virtual std::string read_copy_name(std::string const& body) const = 0;

    /// Request to free a copy, sent to the endpoint that made it.
    virtual std::string free_copy_request(std::string const& copy) const = 0;

    /// Appends the header lines of `metadata` to the head of a request.
    virtual void append_headers(
        forwarding_metadata const& metadata, std::string& head) const = 0;

    /// Headers of a response that the gateway itself generates.
    virtual header_list local_response_headers(request_id const& id) const = 0;
};

} // namespace dotterellock

#endif
