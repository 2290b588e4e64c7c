#include "stream_table_codec.hpp"

#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <dotterellock/error.hpp>

#include "bounded_json.hpp"

namespace dotterellock
{

namespace
{

using json = nlohmann::json;

constexpr std::uint32_t format_version = 1;

constexpr std::string_view base_prefix = "base/";
constexpr std::string_view records_prefix = "host/";

/// Names may be longer than a key.
std::string hex_hash(std::string const& text)
{
    char hex[17];
    std::snprintf(
        hex, sizeof hex, "%016llx",
        static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return hex;
}

std::string to_msgpack(json const& value)
{
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

[[noreturn]] void throw_malformed(char const* what)
{
    throw error(error_code::protocol_error, "decode", "", what);
}

json parse(std::string const& bytes)
{
    auto value = parse_message_pack(bytes, "the stream row");
    if (!value.is_array() || value.at(0) != format_version)
        throw_malformed("unsupported stream row format version");
    return value;
}

base_version decode_base(store_row const& row)
{
    auto const a = parse(row.value);
    return {
        service_name(a.at(1).get<std::string>()), a.at(2).get<std::string>(),
        row.revision};
}

stream_records decode_records(store_row const& row)
{
    auto const a = parse(row.value);
    stream_records records;
    records.service = service_name(a.at(1).get<std::string>());
    records.gateway = host_id(a.at(2).get<std::string>());
    for (auto const& item : a.at(3))
    {
        auto& streams = records.streams[item.at(0).get<std::string>()];
        for (auto const& key : item.at(1))
        {
            if (!key.is_number_unsigned())
                throw_malformed("stream row holds a number out of range");
            streams.push_back(key.get<std::uint64_t>());
        }
    }
    return records;
}

} // namespace

std::string base_version_key(service_name const& service)
{
    return std::string(base_prefix) + hex_hash(service.value());
}

std::string
stream_records_key(service_name const& service, host_id const& gateway)
{
    return std::string(records_prefix) + hex_hash(gateway.value()) + '/' +
           hex_hash(service.value());
}

std::string encode_base_version(base_version const& base)
{
    return to_msgpack(
        json::array({format_version, base.service.value(), base.version}));
}

std::string encode_stream_records(stream_records const& records)
{
    json versions = json::array();
    for (auto const& [version, streams] : records.streams)
        versions.push_back(json::array({version, streams}));
    return to_msgpack(json::array(
        {format_version, records.service.value(), records.gateway.value(),
         versions}));
}

void decode_stream_row(store_row const& row, stream_table& table)
{
    try
    {
        if (row.key.compare(0, base_prefix.size(), base_prefix) == 0)
            table.bases.push_back(decode_base(row));
        else if (row.key.compare(0, records_prefix.size(), records_prefix) == 0)
            table.records.push_back(decode_records(row));
        else
            throw_malformed("unknown stream row");
    }
    catch (json::exception const& e)
    {
        throw_malformed(e.what());
    }
}

} // namespace dotterellock
