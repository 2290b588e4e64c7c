// Load shares as datagrams, in MessagePack.
#ifndef DOTTERELLOCK_RELAY_LOAD_SHARE_CODEC_HPP
#define DOTTERELLOCK_RELAY_LOAD_SHARE_CODEC_HPP

#include <string>
#include <string_view>

#include "gateway/peer_loads.hpp"

namespace dotterellock
{

// Fits a datagram that is not fragmented on the usual links.
constexpr std::size_t max_load_share_bytes = 1400;

/// Leaves out the last loads when there are more than fit.
std::string encode_load_share(load_share share);

/// Throws error(protocol_error).
load_share decode_load_share(std::string_view bytes);

} // namespace dotterellock

#endif
