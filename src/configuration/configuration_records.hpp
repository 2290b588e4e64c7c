// Keys and encoding of the configuration rows and history objects. Decoding
// returns nothing if the text is damaged or has another format.
//
//   config/current               version_record of the latest version
//   config/document/<version>    YAML text; the previous one is kept too
//   config/in_force/<zone>/<peer> in_force_report of a zone collector
//   config/history/<version>-<attempt>  object: history_entry
// The document has its own row, so that pollers read about 150 bytes twice per
// second and the document only after a change.
#ifndef DOTTERELLOCK_CONFIGURATION_CONFIGURATION_RECORDS_HPP
#define DOTTERELLOCK_CONFIGURATION_CONFIGURATION_RECORDS_HPP

#include <map>
#include <optional>
#include <string>

#include <dotterellock/configuration.hpp>

namespace dotterellock
{

constexpr char const* current_configuration_key = "config/current";
constexpr char const* in_force_prefix = "config/in_force/";

std::string document_key(configuration_version version);
std::string in_force_key(zone_id const& zone, peer_id const& collector);
std::string
history_key(configuration_version version, std::string const& attempt);

struct version_record
{
    configuration_version version = 0;
    std::string attempt; // unique; identifies a write whose answer was lost
    std::string author;
    std::string recorded_at; // UTC, for display
    std::string object;      // key of its history entry
};

std::string encode(version_record const& record);
std::optional<version_record> decode_version_record(std::string const& text);

/// Versions in force in one zone, as received by its collector.
struct in_force_report
{
    std::map<peer_id, configuration_version> nodes;
};

std::string encode(in_force_report const& report);
std::optional<in_force_report> decode_in_force_report(std::string const& text);

/// Entries form a linked list from the latest to the first, since the object
/// store cannot list keys.
struct history_entry
{
    version_record record;
    std::string previous; // key of the preceding entry; empty for the first
    std::string document;
};

std::string encode(history_entry const& entry);
std::optional<history_entry> decode_history_entry(std::string const& text);

} // namespace dotterellock

#endif
