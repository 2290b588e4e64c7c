// Encodes messages as Thrift compact structs. No state that outlives a call
// apart from reused buffers; usable from any thread.
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
constexpr std::size_t frame_header_bytes = 4; // big-endian length of the body
constexpr std::int32_t max_container_items = 1 << 18; // tokens, hashes

/// First frame of a connection in each direction: names the sender.
struct hello
{
    peer_id peer;
    std::string software_version; // for logs only
};

/// Body of one frame. Throws error(payload_too_large, "encode") when the
/// receiver would refuse it.
std::string encode(message const& m);
std::string encode(hello const& h);

/// Appends header and body of a frame to `out`.
void append_frame(std::string& out, message const& m);
void append_frame(std::string& out, hello const& h);

/// Throws error(protocol_error, "decode") for anything but a well-formed body
/// of this version.
message decode(std::string_view body);
hello decode_hello(std::string_view body);

/// Length of the body that a frame header announces; throws
/// error(protocol_error, "read_frame") above max_frame_bytes.
std::size_t body_length(char const* header);

} // namespace dotterellock

#endif
