// How callers and endpoints spell what a relay needs to know of requests and
// answers. An adapter translates; it decides nothing.
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

/// What the head of a caller's request says.
struct request_metadata
{
    request_id id;
    std::string key;                                   // empty: none was sent
    std::optional<std::chrono::milliseconds> deadline; // time it will wait
    std::optional<std::uint64_t> last_event; // the last event that it received
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; // at most
    std::string last_prompt_part;    // belongs to this request or its session
};

/// What the head of an endpoint's answer says.
struct response_metadata
{
    std::optional<request_id> id;
    bool sealed = false;  // signed by the endpoint
    bool not_run = false; // the endpoint proves that it did not run it
    std::optional<std::chrono::milliseconds> idle_timeout;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Where a copy of a run's memory lies.
struct memory_copy
{
    std::string address; // of the endpoint that keeps it
    std::string run;     // names the run there
};

/// What the gateway tells an endpoint beside the caller's request.
struct forwarding_metadata
{
    request_id id;
    std::chrono::milliseconds time_left{0};
    endpoint_id expected;         // any other incarnation refuses
    organisation_id organisation; // empty: none
    std::optional<std::uint32_t> rank;
    std::optional<std::uint64_t> last_event;
    std::optional<std::string> standby; // address that receives a copy
    std::optional<memory_copy> copy;    // to go on from
};

class protocol_codec
{
public:
    virtual ~protocol_codec() = default;

    /// Throws error(invalid_argument) for values that cannot be read.
    virtual request_metadata read_request(message_head const& head) const = 0;

    virtual response_metadata read_response(message_head const& head) const = 0;

    /// Whether a caller's header goes on to the endpoint as it is. False for
    /// those that the gateway sets itself or keeps to itself.
    virtual bool forwarded(std::string_view header) const = 0;

    /// The request that asks an endpoint for its report.
    virtual std::string report_request() const = 0;

    /// Throws error(protocol_error) for a report that cannot be read.
    virtual endpoint_report read_report(std::string const& body) const = 0;

    /// The request that asks an endpoint which parts of prompts it caches.
    virtual std::string cache_list_request() const = 0;

    /// Throws error(protocol_error) for a list that cannot be read.
    virtual std::vector<cached_part>
    read_cache_list(std::string const& body) const = 0;

    /// The request that copies a run's memory from the endpoint that runs it
    /// to the one at `address`.
    virtual std::string
    copy_request(request_id const& run, std::string const& address) const = 0;

    /// The name of the copy. Throws error(protocol_error).
    virtual std::string read_copy_name(std::string const& body) const = 0;

    /// The request that frees a copy, at the endpoint that made it.
    virtual std::string free_copy_request(std::string const& copy) const = 0;

    /// Appends header lines to the head of a request.
    virtual void append_headers(
        forwarding_metadata const& metadata, std::string& head) const = 0;

    /// What an answer of the gateway's own says of its request.
    virtual header_list local_response_headers(request_id const& id) const = 0;
};

} // namespace dotterellock

#endif
