#include "identify.hpp"

#include <algorithm>

#include <xxhash.h>

namespace dotterellock
{

namespace
{

constexpr char const* step = "identify";
constexpr std::size_t max_key_length = 200;
constexpr std::size_t max_organisation_length = 64;
constexpr char version_separator = '~';
constexpr char const hex_digits[] = "0123456789abcdef";

/// Takes the same time wherever the strings differ, to resist timing attacks.
bool equal_in_constant_time(std::string const& a, std::string const& b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        difference |= static_cast<unsigned char>(a[i] ^ b[i]);
    return difference == 0;
}

std::string api_key_of(server_request const& request)
{
    std::string const& value = request.header("authorization");
    std::string const scheme = "Bearer ";
    if (value.compare(0, scheme.size(), scheme) == 0)
        return value.substr(scheme.size());
    return request.header("x-api-key");
}

std::string generate_key(random_source& random)
{
    std::string key = "auto-";
    for (int word = 0; word < 2; ++word)
    {
        std::uint64_t bits = random.next();
        for (int i = 0; i < 16; ++i, bits >>= 4)
            key += hex_digits[bits & 15];
    }
    return key;
}

bool is_valid_key(std::string const& key)
{
    return key.size() <= max_key_length &&
           std::all_of(
               key.begin(), key.end(),
               [](char c) { return c > ' ' && c < 127; });
}

// The version is sent as hexadecimal, because an event id must not contain line
// breaks or the separator.
std::string hex_encode(std::string const& bytes)
{
    std::string text;
    for (char const c : bytes)
    {
        auto const byte = static_cast<unsigned char>(c);
        text += hex_digits[byte >> 4];
        text += hex_digits[byte & 15];
    }
    return text;
}

std::optional<std::string> hex_decode(std::string const& text)
{
    std::string bytes;
    auto const digits = std::string(hex_digits);
    if (text.size() % 2 != 0)
        return std::nullopt;
    for (std::size_t i = 0; i < text.size(); i += 2)
    {
        auto const high = digits.find(text[i]);
        auto const low = digits.find(text[i + 1]);
        if (high == std::string::npos || low == std::string::npos)
            return std::nullopt;
        bytes += static_cast<char>(high << 4 | low);
    }
    return bytes;
}

void parse_resume_point(request_context& context)
{
    std::string id = context.http_request.header("last-event-id");
    if (id.empty() || context.kind != work_kind::generation)
        return;
    if (!context.has_caller_key)
    {
        throw error(
            error_code::invalid_argument, step, "",
            "Last-Event-ID needs the Idempotency-Key of its request");
    }
    auto const separator = id.find(version_separator);
    if (separator != std::string::npos)
    {
        auto const version = hex_decode(id.substr(0, separator));
        auto& wanted = context.generation.model.version;
        if (!version || (!wanted.empty() && wanted != *version))
        {
            throw error(
                error_code::invalid_argument, step, "",
                "Last-Event-ID is of another model version");
        }
        wanted = *version;
        context.router_chose_version = true;
        id.erase(0, separator + 1);
    }
    context.resume = decode_event_id(id);
}

} // namespace

bool is_valid_organisation_name(std::string const& name)
{
    auto const allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    return !name.empty() && name.size() <= max_organisation_length &&
           std::all_of(name.begin(), name.end(), allowed);
}

std::string
event_id_with_version(std::string const& version, std::string const& event_id)
{
    return hex_encode(version) + version_separator + event_id;
}

identify_filter::identify_filter(
    identify_settings settings, random_source& random)
    : settings_(std::move(settings)), random_(random), hash_seed_(random.next())
{
    for (std::size_t i = 0; i < settings_.organisations.size(); ++i)
    {
        auto const& entry = settings_.organisations[i];
        index_by_name_[entry.organisation.value()] = i;
        if (!entry.api_key.empty())
            index_by_api_key_hash_[hash_api_key(entry.api_key)] = i;
    }
}

void identify_filter::apply(request_context& context)
{
    organisation_entry const& entry = organisation_of(context.http_request);
    context.organisation = entry.organisation;
    context.configured_rank = entry.rank;
    assign_request_id(context);
    parse_resume_point(context);
}

organisation_entry const&
identify_filter::organisation_of(server_request const& request) const
{
    std::string const& name =
        settings_.organisation_header.empty()
            ? std::string{}
            : request.header(settings_.organisation_header);
    if (!name.empty())
    {
        auto const found = index_by_name_.find(name);
        if (found != index_by_name_.end())
            return settings_.organisations[found->second];
    }
    std::string const key = api_key_of(request);
    auto const found = index_by_api_key_hash_.find(hash_api_key(key));
    if (!key.empty() && found != index_by_api_key_hash_.end())
    {
        auto const& entry = settings_.organisations[found->second];
        if (equal_in_constant_time(entry.api_key, key))
            return entry;
    }
    throw error(
        error_code::unauthorised, step, "",
        "no known organisation in the request");
}

void identify_filter::assign_request_id(request_context& context)
{
    context.idempotency_key = context.http_request.header("idempotency-key");
    context.has_caller_key = !context.idempotency_key.empty();
    if (!is_valid_key(context.idempotency_key))
    {
        throw error(
            error_code::invalid_argument, step, "",
            "Idempotency-Key must be printable ASCII without spaces, " +
                std::to_string(max_key_length) + " characters at most");
    }
    if (!context.has_caller_key)
        context.idempotency_key = generate_key(random_);
    request_id const id(
        context.organisation.value() + "/" + context.idempotency_key);
    if (context.kind == work_kind::call)
    {
        context.call.request = id;
        context.call.organisation = context.organisation;
        return;
    }
    context.generation.request = id;
    context.generation.organisation = context.organisation;
    // Derived from the request id, so that every router uses the same seed for
    // a repeated request.
    if (!context.has_caller_seed)
    {
        context.generation.sampling.seed =
            XXH3_64bits(id.value().data(), id.value().size());
    }
}

std::uint64_t identify_filter::hash_api_key(std::string const& api_key) const
{
    return XXH3_64bits_withSeed(api_key.data(), api_key.size(), hash_seed_);
}

} // namespace dotterellock
