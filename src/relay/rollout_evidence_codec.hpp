// MessagePack encoding of evidence about rollouts for UDP datagrams.
#ifndef DOTTERELLOCK_RELAY_ROLLOUT_EVIDENCE_CODEC_HPP
#define DOTTERELLOCK_RELAY_ROLLOUT_EVIDENCE_CODEC_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <dotterellock/types.hpp>

#include "gateway/rollout_coordinator.hpp"

namespace dotterellock
{

// Fits a datagram that common links carry without fragmentation.
constexpr std::size_t max_rollout_evidence_bytes = 1400;

/// Evidence of one gateway, as sent to its peers.
struct shared_rollout_evidence
{
    host_id gateway;
    std::vector<rollout_evidence> evidence; // of different services
};

/// Encodes evidence within the size limit. Routes that do not fit are sent as
/// one route without a name, so that the sums stay complete; services that do
/// not fit are left out, from the end.
std::string encode_rollout_evidence(
    host_id const& gateway, std::vector<rollout_evidence> const& evidence);

/// Whether a datagram carries such evidence.
bool is_rollout_evidence(std::string_view bytes);

/// Throws error(protocol_error) if the datagram is malformed.
shared_rollout_evidence decode_rollout_evidence(std::string_view bytes);

} // namespace dotterellock

#endif
