#include "limit_message_codec.hpp"

#include <cstdint>
#include <limits>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "bounded_json.hpp"
#include "shared_limit_codec.hpp"

namespace dotterellock
{

namespace
{

using json = nlohmann::json;

constexpr std::uint32_t format_version = 1;

// An empty load share of a gateway without a name, [1, "", 0, 0, [], [], ""],
// followed by an empty list of reports, null in the places of evidence about
// crashes and about rollouts, and the message. Gateways of an earlier build
// decode it as a share and drop it without a log line.
constexpr std::string_view prefix{
    "\x9b\x01\xa0\x00\x00\x90\x90\xa0\x90\xc0\xc0", 11};

[[noreturn]] void throw_malformed(char const* detail)
{
    throw error(error_code::protocol_error, "decode", "", detail);
}

template<typename Number>
Number number(json const& value)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw_malformed("number in the limit message is out of range");
    return value.get<Number>();
}

} // namespace

std::string
encode_limit_message(host_id const& gateway, limit_message const& message)
{
    std::string bytes(prefix);
    json::to_msgpack(
        json::array(
            {format_version, gateway.value(), message.reply,
             message.endpoint.value(), message.number, message.permits,
             message.rank,
             message.said ? encode_shared_limit(*message.said) : json()}),
        bytes);
    return bytes;
}

bool is_limit_message(std::string_view bytes)
{
    return bytes.substr(0, prefix.size()) == prefix;
}

shared_limit_message decode_limit_message(std::string_view bytes)
{
    if (!is_limit_message(bytes))
        throw_malformed("datagram carries no limit message");
    bytes.remove_prefix(prefix.size());
    try
    {
        auto const a = parse_message_pack(bytes, "the limit message");
        if (number<std::uint32_t>(a.at(0)) != format_version)
            throw_malformed("unsupported limit message format version");
        shared_limit_message shared;
        shared.gateway = host_id(a.at(1).get<std::string>());
        auto& m = shared.message;
        m.reply = a.at(2).get<bool>();
        m.endpoint = endpoint_id(a.at(3).get<std::string>());
        m.number = number<std::uint64_t>(a.at(4));
        m.permits = number<std::uint32_t>(a.at(5));
        m.rank = number<std::uint32_t>(a.at(6));
        if (!a.at(7).is_null())
            m.said = decode_shared_limit(a.at(7));
        return shared;
    }
    catch (json::exception const& e)
    {
        throw_malformed(e.what());
    }
}

} // namespace dotterellock
