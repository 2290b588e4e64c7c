// MessagePack form of what an endpoint said of its request limit.
#ifndef DOTTERELLOCK_RELAY_SHARED_LIMIT_CODEC_HPP
#define DOTTERELLOCK_RELAY_SHARED_LIMIT_CODEC_HPP

#include <nlohmann/json.hpp>

#include "gateway/peer_loads.hpp"

namespace dotterellock
{

/// [endpoint, requests a second or null, age in ms]
nlohmann::json encode_shared_limit(load_share::shared_limit const& limit);

/// Throws error(protocol_error) or json::exception for other values.
load_share::shared_limit decode_shared_limit(nlohmann::json const& item);

} // namespace dotterellock

#endif
