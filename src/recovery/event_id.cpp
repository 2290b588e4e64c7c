// Encodes and decodes SSE event ids: "<epoch>.<next index>.<tail>".
#include <dotterellock/generation.hpp>

#include <charconv>

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

constexpr char base64url_alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

[[noreturn]] void throw_malformed(std::string const& id)
{
    throw error(
        error_code::invalid_argument, "parse_event_id", "",
        "malformed event id: " + id.substr(0, 64));
}

void append_base64url(std::string& out, std::string const& bytes)
{
    std::uint32_t bits = 0;
    int count = 0;
    for (unsigned char const c : bytes)
    {
        bits = (bits << 8) | c;
        count += 8;
        while (count >= 6)
        {
            count -= 6;
            out += base64url_alphabet[(bits >> count) & 63];
        }
    }
    if (count > 0)
        out += base64url_alphabet[(bits << (6 - count)) & 63];
}

int base64url_value(char c)
{
    if (c >= 'A' && c <= 'Z')
        return c - 'A';
    if (c >= 'a' && c <= 'z')
        return c - 'a' + 26;
    if (c >= '0' && c <= '9')
        return c - '0' + 52;
    if (c == '-')
        return 62;
    return c == '_' ? 63 : -1;
}

std::string decode_base64url(std::string const& id, std::size_t begin)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (std::size_t i = begin; i < id.size(); ++i)
    {
        int const value = base64url_value(id[i]);
        if (value < 0)
            throw_malformed(id);
        bits = (bits << 6) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            bytes += static_cast<char>((bits >> count) & 0xff);
        }
    }
    return bytes;
}

bool needs_no_escape(std::string const& token)
{
    for (unsigned char const c : token)
    {
        if (c < 0x20 || c >= 0x7f || c == '"' || c == '\\')
            return false;
    }
    return true;
}

// Engines may split a character across two tokens. Such a token is not valid
// UTF-8 and is encoded as an array of bytes instead of a string.
std::string to_json(std::string const& token)
{
    if (needs_no_escape(token))
        return '"' + token + '"';
    try
    {
        return nlohmann::json(token).dump();
    }
    catch (nlohmann::json::type_error const&)
    {
        return nlohmann::json(
                   std::vector<std::uint8_t>(token.begin(), token.end()))
            .dump();
    }
}

std::string token_from_json(nlohmann::json const& element)
{
    if (element.is_string())
        return element.get<std::string>();
    std::string token;
    for (unsigned const byte : element.get<std::vector<unsigned>>())
    {
        if (byte > 0xff)
            throw error(
                error_code::invalid_argument, "parse_event_id", "",
                "token byte is out of range");
        token += static_cast<char>(byte);
    }
    return token;
}

template<typename Number>
std::size_t
parse_number(std::string const& id, std::size_t begin, Number& value)
{
    char const* const end = id.data() + id.size();
    auto const result = std::from_chars(id.data() + begin, end, value);
    if (result.ec != std::errc{} || result.ptr == end || *result.ptr != '.')
        throw_malformed(id);
    return static_cast<std::size_t>(result.ptr - id.data()) + 1;
}

} // namespace

std::string encode_event_id(resume_point const& point)
{
    std::string json = "[";
    for (auto const& token : point.tail)
    {
        if (json.size() > 1)
            json += ',';
        json += to_json(token);
    }
    json += ']';
    std::string id = std::to_string(point.epoch) + '.' +
                     std::to_string(point.next_index) + '.';
    append_base64url(id, json);
    return id;
}

resume_point decode_event_id(std::string const& id)
{
    resume_point point;
    std::size_t const index = parse_number(id, 0, point.epoch);
    std::size_t const tail = parse_number(id, index, point.next_index);
    auto const json =
        nlohmann::json::parse(decode_base64url(id, tail), nullptr, false);
    if (!json.is_array() || json.size() > point.next_index)
        throw_malformed(id);
    try
    {
        for (auto const& element : json)
            point.tail.push_back(token_from_json(element));
    }
    catch (nlohmann::json::exception const&)
    {
        throw_malformed(id);
    }
    return point;
}

} // namespace dotterellock
