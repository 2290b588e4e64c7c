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

/// Takes the same time wherever the texts differ.
bool same_secret(std::string const& a, std::string const& b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        difference |= static_cast<unsigned char>(a[i] ^ b[i]);
    return difference == 0;
}

std::string bearer_key(http_input const& input)
{
    std::string const& value = input.header("authorization");
    std::string const scheme = "Bearer ";
    if (value.compare(0, scheme.size(), scheme) == 0)
        return value.substr(scheme.size());
    return input.header("x-api-key");
}

std::string random_key(random_source& random)
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

bool valid_key(std::string const& key)
{
    return key.size() <= max_key_length &&
           std::all_of(
               key.begin(), key.end(),
               [](char c) { return c > ' ' && c < 127; });
}

// The version travels as hexadecimal, since event ids must not hold line
// breaks or the separator.
std::string to_hex(std::string const& bytes)
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

std::optional<std::string> from_hex(std::string const& text)
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

void read_resume_point(request_context& context)
{
    std::string id = context.input.header("last-event-id");
    if (id.empty() || context.kind != work_kind::generation)
        return;
    if (!context.key_given)
    {
        throw error(
            error_code::invalid_argument, step, "",
            "Last-Event-ID needs the Idempotency-Key of its request");
    }
    auto const separator = id.find(version_separator);
    if (separator != std::string::npos)
    {
        auto const version = from_hex(id.substr(0, separator));
        auto& wanted = context.generation.model.version;
        if (!version || (!wanted.empty() && wanted != *version))
        {
            throw error(
                error_code::invalid_argument, step, "",
                "Last-Event-ID is of another model version");
        }
        wanted = *version;
        context.version_chosen = true;
        id.erase(0, separator + 1);
    }
    context.resume = decode_event_id(id);
}

} // namespace

bool valid_organisation(std::string const& name)
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
    return to_hex(version) + version_separator + event_id;
}

identify_filter::identify_filter(
    identify_settings settings, random_source& random)
    : settings_(std::move(settings)), random_(random),
      digest_seed_(random.next())
{
    for (std::size_t i = 0; i < settings_.organisations.size(); ++i)
    {
        auto const& entry = settings_.organisations[i];
        by_name_[entry.organisation.value()] = i;
        if (!entry.api_key.empty())
            by_key_digest_[digest(entry.api_key)] = i;
    }
}

void identify_filter::apply(request_context& context)
{
    organisation_entry const& entry = organisation_of(context.input);
    context.organisation = entry.organisation;
    context.settings_rank = entry.rank;
    set_key(context);
    read_resume_point(context);
}

organisation_entry const&
identify_filter::organisation_of(http_input const& input) const
{
    std::string const& name = settings_.organisation_header.empty()
                                  ? std::string{}
                                  : input.header(settings_.organisation_header);
    if (!name.empty())
    {
        auto const found = by_name_.find(name);
        if (found != by_name_.end())
            return settings_.organisations[found->second];
    }
    std::string const key = bearer_key(input);
    auto const found = by_key_digest_.find(digest(key));
    if (!key.empty() && found != by_key_digest_.end())
    {
        auto const& entry = settings_.organisations[found->second];
        if (same_secret(entry.api_key, key))
            return entry;
    }
    throw error(
        error_code::unauthorised, step, "",
        "no known organisation in the request");
}

void identify_filter::set_key(request_context& context)
{
    context.key = context.input.header("idempotency-key");
    context.key_given = !context.key.empty();
    if (!valid_key(context.key))
    {
        throw error(
            error_code::invalid_argument, step, "",
            "Idempotency-Key must be printable ASCII without spaces, " +
                std::to_string(max_key_length) + " characters at most");
    }
    if (!context.key_given)
        context.key = random_key(random_);
    request_id const id(context.organisation.value() + "/" + context.key);
    if (context.kind == work_kind::call)
    {
        context.call.request = id;
        context.call.organisation = context.organisation;
        return;
    }
    context.generation.request = id;
    context.generation.organisation = context.organisation;
    // Every router must derive the same seed for a repeated request.
    if (!context.seed_given)
    {
        context.generation.sampling.seed =
            XXH3_64bits(id.value().data(), id.value().size());
    }
}

std::uint64_t identify_filter::digest(std::string const& api_key) const
{
    return XXH3_64bits_withSeed(api_key.data(), api_key.size(), digest_seed_);
}

} // namespace dotterellock
