// MessagePack encoding of messages about request limits for UDP datagrams.
#ifndef DOTTERELLOCK_RELAY_LIMIT_MESSAGE_CODEC_HPP
#define DOTTERELLOCK_RELAY_LIMIT_MESSAGE_CODEC_HPP

#include <string>
#include <string_view>

#include "gateway/request_limits.hpp"

namespace dotterellock
{

/// A message and the gateway that sent it.
struct shared_limit_message
{
    host_id gateway;
    limit_message message;
};

std::string
encode_limit_message(host_id const& gateway, limit_message const& message);

/// Whether a datagram carries such a message.
bool is_limit_message(std::string_view bytes);

/// Throws error(protocol_error) if the datagram is malformed.
shared_limit_message decode_limit_message(std::string_view bytes);

} // namespace dotterellock

#endif
