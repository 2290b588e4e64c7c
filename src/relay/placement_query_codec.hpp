// Reads the target of a GET /where request and writes the explanation as JSON.
#ifndef DOTTERELLOCK_RELAY_PLACEMENT_QUERY_CODEC_HPP
#define DOTTERELLOCK_RELAY_PLACEMENT_QUERY_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "gateway/placement_explanation.hpp"

namespace dotterellock
{

constexpr char placement_query_path[] = "/where";

// Names of services, endpoints and prompt parts are shorter; paths may be long.
constexpr std::size_t max_query_name_bytes = 200;
constexpr std::size_t max_query_path_bytes = 2000;

// As many as a gateway examines of a request's prompt.
constexpr std::size_t max_query_parts = 64;

// Far above any prompt; sums of two stay within 64 bits.
constexpr std::uint64_t max_query_tokens = 1000000000;

// The longest time that the configuration may give a request.
constexpr std::uint64_t max_query_deadline_ms = 86400000;

// A response with short names has about 12 KiB. Longer names leave out
// candidates.
constexpr std::size_t max_explanation_bytes = 32u << 10;

/// @param target  of the request, with its query
std::variant<placement_query, query_fault>
parse_placement_query(std::string_view target);

/// At most max_explanation_bytes.
std::string format_explanation(placement_explanation const& explanation);

/// Names the parameter and what is wrong with it. Does not repeat its value,
/// which may be a key that was given by mistake.
std::string format_query_fault(query_fault const& fault);

} // namespace dotterellock

#endif
