// Maps errors and call outcomes to HTTP responses. Pure functions.
#ifndef DOTTERELLOCK_PIPELINE_ERROR_RESPONSE_HPP
#define DOTTERELLOCK_PIPELINE_ERROR_RESPONSE_HPP

#include <dotterellock/call.hpp>
#include <dotterellock/error.hpp>

#include "server_http_types.hpp"

namespace dotterellock
{

/// {"error":{"code","message","step","peer"}}
std::string error_json(error const& e);

/// Uses the HTTP status of the error code, and adds Retry-After when the error
/// carries a retry delay.
server_response error_response(error const& e);

/// done: the response of the service. not_run: 503. refused: the status of the
/// error code, such as 503 store_unavailable or 422 key_reused. unknown: 504
/// with Retry-After.
server_response call_response(call_reply reply);

/// Returns `text` as a quoted and escaped JSON string; invalid UTF-8 is
/// replaced.
std::string json_string(std::string const& text);

} // namespace dotterellock

#endif
