// Parsing of JSON and MessagePack from outside this process with bounded depth
// and size. Parsing, copying and printing recurse once per level of nesting in
// nlohmann::json or its readers, so deep input would exhaust the stack.
#ifndef DOTTERELLOCK_RELAY_BOUNDED_JSON_HPP
#define DOTTERELLOCK_RELAY_BOUNDED_JSON_HPP

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace dotterellock
{

// The messages and rows in use have up to seven levels.
constexpr std::size_t max_json_depth = 32;

// A value takes one byte of input and up to 50 bytes of memory.
constexpr std::size_t max_json_values = 1u << 18;

// Both parse exactly one value and throw error(protocol_error) for other input,
// for too many levels or values, and for an object with a field twice.
// `description` names the input in the message.

nlohmann::json parse_json(std::string_view text, char const* description);
nlohmann::json
parse_message_pack(std::string_view bytes, char const* description);

} // namespace dotterellock

#endif
