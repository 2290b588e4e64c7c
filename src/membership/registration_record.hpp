// Row formats and keys of the membership rows.
//
//   endpoint/<id>                 registration of an agent
//   node/<peer>                   registration of a router, which has no
//                                 endpoint id
//   desired/<id or peer>          drain state requested by an operator
//   membership/changed            rewritten on each change of a registration
#ifndef DOTTERELLOCK_MEMBERSHIP_REGISTRATION_RECORD_HPP
#define DOTTERELLOCK_MEMBERSHIP_REGISTRATION_RECORD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <dotterellock/types.hpp>

namespace dotterellock
{

constexpr char const* endpoint_prefix = "endpoint/";
constexpr char const* node_prefix = "node/";

/// Routers poll this one row and scan the registrations only after it changed.
/// Heartbeats do not write it.
constexpr char const* membership_changed_key = "membership/changed";

struct registration_record
{
    dotterellock::incarnation incarnation = 0;
    std::string run_id; // unique per run of a process
    endpoint_info info;
    std::uint64_t heartbeat_count = 0; // incremented by each write
    std::string refreshed_at;          // UTC, for display
    bool left = false;                 // shut down as planned
    bool draining = false;
    std::uint64_t in_flight = 0;
};

std::string registration_key(endpoint_info const& info);
std::string encode(registration_record const& record);
std::optional<registration_record>
decode_registration_record(std::string const& text);

/// Drain state that an operator requests for an endpoint.
struct desired_drain
{
    bool drain = false;
    std::string attempt; // unique; finds the own write after a lost response
    std::string author;
    std::string reason;
    std::string requested_at; // UTC, for display
};

std::string desired_key(endpoint_id const& endpoint);
std::string desired_key(endpoint_info const& info);
std::string encode(desired_drain const& desired);
std::optional<desired_drain> decode_desired_drain(std::string const& text);

} // namespace dotterellock

#endif
