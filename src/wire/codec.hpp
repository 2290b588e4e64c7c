// Encodes messages as Thrift structs in the compact protocol. Thread-safe: the
// only state that outlives a call are reused buffers, kept for each thread.
#ifndef DOTTERELLOCK_WIRE_CODEC_HPP
#define DOTTERELLOCK_WIRE_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <dotterellock/messages.hpp>

namespace dotterellock
{

constexpr std::int16_t wire_version = 1;
constexpr std::size_t max_frame_bytes = 8u << 20;
constexpr std::size_t frame_header_bytes = 4;         // body length, big-endian
constexpr std::int32_t max_container_items = 1 << 18; // tokens, hashes

/// Identifies the sender; the first frame in each direction of a connection.
struct hello
{
    peer_id peer;
    std::string software_version; // for logs only
};

/// Returns the body of one frame. Throws error(payload_too_large, "encode")
/// when it exceeds max_frame_bytes, which the receiver would reject.
std::string encode(message const& m);
std::string encode(hello const& h);

/// Appends a frame, header and body, to `out`. Throws like encode.
void append_frame(std::string& out, message const& m);
void append_frame(std::string& out, hello const& h);

/// Parse the body of a frame. Throw error(protocol_error, "decode") unless it
/// is well-formed and of wire_version.
message decode(std::string_view body);
hello decode_hello(std::string_view body);

/// Returns the body length that a frame header announces. Throws
/// error(protocol_error, "read_frame") when it exceeds max_frame_bytes.
std::size_t body_length(char const* header);

} // namespace dotterellock

#endif
