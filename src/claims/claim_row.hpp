// The claim row of a non-repeatable call and its encoding in the table service.
// A router writes the row before it dispatches the call, so that only one
// router does.
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
    claimed, // the router that wrote it may dispatch the call once
    done,    // the call ran
    not_run  // closed: the call did not run and never will
};

struct claim_row
{
    request_id request;
    // Random. Together with the router it identifies a claim.
    attempt_number attempt = 0;
    peer_id router; // the router that wrote the row
    endpoint_id endpoint;
    peer_id agent;
    dotterellock::incarnation incarnation = 0;
    std::uint64_t body_hash = 0; // see hash_call
    claim_state state = claim_state::claimed;
    bool result_kept = false; // if false and done, the agent may have it
    int status = 0;
    std::string content_type;
    std::string body;
    std::string detail;
};

std::string claim_key(request_id const& request);
std::string encode_claim(claim_row const& claim);

/// Returns nullopt if the text is not a valid claim row.
std::optional<claim_row> decode_claim(std::string const& text);

/// Hash of the fields that must be equal in two calls with the same key.
std::uint64_t hash_call(call_request const& request);

} // namespace dotterellock

#endif
