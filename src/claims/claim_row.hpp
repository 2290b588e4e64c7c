// The claim row of a non-repeatable call as the table service stores it.
// Values only.
#ifndef DOTTERELLOCK_CLAIMS_CLAIM_ROW_HPP
#define DOTTERELLOCK_CLAIMS_CLAIM_ROW_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <dotterellock/call.hpp>

namespace dotterellock
{

enum class claim_state : std::uint8_t
{
    claimed, // may be dispatched by the router that wrote it, once
    done,    // ran
    not_run  // closed: did not run and never will
};

struct claim_row
{
    request_id request;
    attempt_number attempt = 0; // random; with the router says whose claim
    peer_id router;             // that wrote it
    endpoint_id endpoint;
    peer_id agent;
    dotterellock::incarnation incarnation = 0;
    std::uint64_t body_hash = 0; // of the caller's request
    claim_state state = claim_state::claimed;
    bool result_kept = false; // false for done: the agent may still have it
    int status = 0;
    std::string content_type;
    std::string body;
    std::string detail;
};

std::string claim_key(request_id const& request);
std::string encode_claim(claim_row const& claim);

/// Empty when the text is not a claim row.
std::optional<claim_row> decode_claim(std::string const& text);

/// Hash of everything that makes two calls with one key the same call.
std::uint64_t hash_call(call_request const& request);

} // namespace dotterellock

#endif
