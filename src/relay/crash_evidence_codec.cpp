#include "crash_evidence_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "bounded_json.hpp"

namespace dotterellock
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t format_version = 1;

// An empty load share of a gateway without a name, [1, "", 0, 0, [], [], ""],
// followed by an empty list of reports and the evidence. Gateways of an earlier
// build decode it as a share and drop it without a log line, as no gateway of
// that name is registered.
constexpr std::string_view prefix{"\x99\x01\xa0\x00\x00\x90\x90\xa0\x90", 9};

[[noreturn]] void throw_malformed(char const* detail)
{
    throw error(error_code::protocol_error, "decode", "", detail);
}

/// Ages and rests have 32 bits, so that no calculation with them overflows.
std::uint32_t to_number(milliseconds time)
{
    constexpr std::int64_t max = std::numeric_limits<std::uint32_t>::max();
    return std::uint32_t(
        std::clamp<std::int64_t>(std::int64_t(time.count()), 0, max));
}

json to_json(std::optional<milliseconds> const& time)
{
    return time ? json(to_number(*time)) : json();
}

json to_json(crash_evidence::part const& part)
{
    json incidents = json::array();
    for (auto const& incident : part.incidents)
        incidents.push_back(
            json::array({incident.endpoint, to_number(incident.age)}));
    json item = json::array(
        {part.key, std::move(incidents), to_json(part.proven_age),
         to_json(part.quarantined_for), part.quarantines});
    if (part.position)
        item.push_back(*part.position);
    return item;
}

std::string to_msgpack(json const& value)
{
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

template<typename Number>
Number number(json const& value)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw_malformed("number in the crash evidence is out of range");
    return value.get<Number>();
}

milliseconds time(json const& value)
{
    return milliseconds(number<std::uint32_t>(value));
}

std::optional<milliseconds> optional_time(json const& value)
{
    return value.is_null() ? std::nullopt : std::make_optional(time(value));
}

json const& list(json const& value)
{
    if (!value.is_array())
        throw_malformed("list in the crash evidence is missing");
    return value;
}

/// Elements beyond the known ones are those of later builds.
crash_evidence::part decode_part(json const& item)
{
    crash_evidence::part part;
    part.key = number<std::uint64_t>(item.at(0));
    for (auto const& incident : list(item.at(1)))
        part.incidents.push_back(
            {number<std::uint64_t>(incident.at(0)), time(incident.at(1))});
    part.proven_age = optional_time(item.at(2));
    part.quarantined_for = optional_time(item.at(3));
    part.quarantines = number<std::uint32_t>(item.at(4));
    // Gateways of an earlier build send none.
    bool const has_position = item.size() > 5 && item[5].is_number_unsigned() &&
                              item[5].get<std::uint64_t>() <=
                                  std::numeric_limits<std::uint8_t>::max();
    if (has_position)
        part.position = item[5].get<std::uint8_t>();
    return part;
}

} // namespace

std::string
encode_crash_evidence(host_id const& gateway, crash_evidence const& evidence)
{
    auto const envelope = [&gateway](json parts)
    {
        return std::string(prefix) +
               to_msgpack(json::array(
                   {format_version, gateway.value(), std::move(parts)}));
    };
    // Proofs first: a gateway that refuses a sound part cannot prove it itself.
    auto ordered = evidence.parts;
    std::stable_partition(
        ordered.begin(), ordered.end(),
        [](crash_evidence::part const& p)
        { return p.incidents.empty() && p.proven_age; });
    // The header of a longer list takes two more bytes.
    std::size_t size = envelope(json::array()).size() + 2;
    json parts = json::array();
    for (auto const& part : ordered)
    {
        auto item = to_json(part);
        size += to_msgpack(item).size();
        if (size > max_crash_evidence_bytes)
            break;
        parts.push_back(std::move(item));
    }
    return envelope(std::move(parts));
}

bool is_crash_evidence(std::string_view bytes)
{
    return bytes.substr(0, prefix.size()) == prefix;
}

shared_evidence decode_crash_evidence(std::string_view bytes)
{
    if (!is_crash_evidence(bytes))
        throw_malformed("datagram carries no crash evidence");
    bytes.remove_prefix(prefix.size());
    try
    {
        auto const a = parse_message_pack(bytes, "the crash evidence");
        if (number<std::uint32_t>(a.at(0)) != format_version)
            throw_malformed("unsupported crash evidence format version");
        shared_evidence shared;
        shared.gateway = host_id(a.at(1).get<std::string>());
        for (auto const& item : list(a.at(2)))
            shared.evidence.parts.push_back(decode_part(item));
        return shared;
    }
    catch (json::exception const& e)
    {
        throw error(error_code::protocol_error, "decode", "", e.what());
    }
}

} // namespace dotterellock
