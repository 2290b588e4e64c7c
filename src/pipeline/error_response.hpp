// Errors and call outcomes as callers see them over HTTP. Pure functions.
#ifndef DOTTERELLOCK_PIPELINE_ERROR_RESPONSE_HPP
#define DOTTERELLOCK_PIPELINE_ERROR_RESPONSE_HPP

#include <dotterellock/call.hpp>
#include <dotterellock/error.hpp>

#include "server_http_types.hpp"

namespace dotterellock
{

/// {"error":{"code","message","step","peer"}}
std::string error_json(error const& e);

/// Status by code, and Retry-After when the error advises one.
server_response error_response(error const& e);

/// done: the service's own answer. not_run: 503. refused: status of its code,
/// such as 503 store_unavailable or 422 key_reused. unknown: 504 with
/// Retry-After.
server_response call_response(call_reply reply);

/// Quotes and escapes; invalid UTF-8 is replaced.
std::string json_string(std::string const& text);

} // namespace dotterellock

#endif
