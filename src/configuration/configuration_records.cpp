#include "configuration/configuration_records.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

using nlohmann::json;

std::string dump(json const& value)
{
    // Ids and names come from settings; replace invalid UTF-8 instead of
    // throwing.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_json(version_record const& r)
{
    return {
        {"version", r.version},
        {"attempt", r.attempt},
        {"author", r.author},
        {"recorded_at", r.recorded_at},
        {"object", r.object}};
}

version_record record_from(json const& value)
{
    version_record r;
    value.at("version").get_to(r.version);
    value.at("attempt").get_to(r.attempt);
    value.at("author").get_to(r.author);
    value.at("recorded_at").get_to(r.recorded_at);
    value.at("object").get_to(r.object);
    return r;
}

std::string padded(configuration_version version)
{
    char text[32];
    std::snprintf(
        text, sizeof(text), "%012llu",
        static_cast<unsigned long long>(version));
    return text;
}

} // namespace

std::string document_key(configuration_version version)
{
    return "config/document/" + padded(version);
}

std::string in_force_key(zone_id const& zone, peer_id const& collector)
{
    return in_force_prefix + zone.value() + "/" + collector.value();
}

std::string
history_key(configuration_version version, std::string const& attempt)
{
    return "config/history/" + padded(version) + "-" + attempt;
}

std::string encode(version_record const& record)
{
    return dump(to_json(record));
}

std::optional<version_record> decode_version_record(std::string const& text)
{
    try
    {
        return record_from(json::parse(text));
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

// Grouped by version, since nearly all nodes of a zone have the same one.
std::string encode(in_force_report const& report)
{
    json versions = json::object();
    for (auto const& [peer, version] : report.nodes)
        versions[std::to_string(version)].push_back(peer.value());
    return dump({{"versions", versions}});
}

std::optional<in_force_report> decode_in_force_report(std::string const& text)
{
    try
    {
        in_force_report report;
        json const value = json::parse(text);
        for (auto const& [version, peers] : value.at("versions").items())
        {
            for (auto const& peer : peers)
                report.nodes[peer_id(peer.get<std::string>())] =
                    std::stoull(version);
        }
        return report;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

// One line of JSON, then the document verbatim: the operator's text is never
// re-encoded.
std::string encode(history_entry const& entry)
{
    json header = to_json(entry.record);
    header["previous"] = entry.previous;
    return dump(header) + "\n" + entry.document;
}

std::optional<history_entry> decode_history_entry(std::string const& text)
{
    std::size_t const end = text.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    try
    {
        history_entry entry;
        json const header = json::parse(text.substr(0, end));
        entry.record = record_from(header);
        header.at("previous").get_to(entry.previous);
        entry.document = text.substr(end + 1);
        return entry;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace dotterellock
