// MessagePack encoding of evidence about crashes for UDP datagrams.
#ifndef DOTTERELLOCK_RELAY_CRASH_EVIDENCE_CODEC_HPP
#define DOTTERELLOCK_RELAY_CRASH_EVIDENCE_CODEC_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <dotterellock/types.hpp>

#include "gateway/prompt_quarantine.hpp"

namespace dotterellock
{

// Fits a datagram that common links carry without fragmentation.
constexpr std::size_t max_crash_evidence_bytes = 1400;

/// Evidence of one gateway, as sent to its peers.
struct shared_evidence
{
    host_id gateway;
    crash_evidence evidence;
};

/// Encodes evidence; drops parts from the end until it fits the size limit.
std::string
encode_crash_evidence(host_id const& gateway, crash_evidence const& evidence);

/// Whether a datagram carries evidence and not a load share.
bool is_crash_evidence(std::string_view bytes);

/// Throws error(protocol_error) if the datagram is malformed.
shared_evidence decode_crash_evidence(std::string_view bytes);

} // namespace dotterellock

#endif
