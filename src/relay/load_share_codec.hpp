// MessagePack encoding of load shares for UDP datagrams.
#ifndef DOTTERELLOCK_RELAY_LOAD_SHARE_CODEC_HPP
#define DOTTERELLOCK_RELAY_LOAD_SHARE_CODEC_HPP

#include <string>
#include <string_view>

#include "gateway/peer_loads.hpp"

namespace dotterellock
{

// Fits a datagram that common links carry without fragmentation.
constexpr std::size_t max_load_share_bytes = 1400;

/// Encodes a share; drops items from the ends of its lists until it fits the
/// size limit.
std::string encode_load_share(load_share share);

/// Throws error(protocol_error) if the datagram is malformed.
load_share decode_load_share(std::string_view bytes);

} // namespace dotterellock

#endif
