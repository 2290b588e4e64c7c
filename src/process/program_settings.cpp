// Index
//   readers : one function per group of keys
//   writers : the same groups, for --print-effective
#include "program_settings.hpp"

#include <set>

#include <yaml-cpp/yaml.h>

#include "settings/fleet_document.hpp"
#include "settings/yaml_reader.hpp"

namespace dotterellock
{

namespace
{

constexpr std::uint32_t max_shards = 64;
constexpr std::uint32_t max_threads = 256;
constexpr std::uint32_t max_capacity = 100000;
constexpr std::size_t max_body_limit = 6u << 20; // leaves room in 8 MiB frames

// An answer may hold a quarter of the budget, so the smallest one has room for
// a scan of the table service.
constexpr std::uint32_t min_answer_memory_mb = 128;
constexpr std::uint32_t max_answer_memory_mb = 65536;

// ---- readers --------------------------------------------------------------

template<typename Id>
Id required_id(yaml_reader& reader, char const* key)
{
    std::string text;
    reader.required(key, text, 200u);
    if (text.empty() || text.find_first_of("/ \t") != std::string::npos)
    {
        reader.fail(
            key, "is not a valid name", "text without spaces and slashes");
    }
    return Id(text);
}

template<typename Id>
Id optional_id(yaml_reader& reader, char const* key)
{
    std::string text;
    reader.optional(key, text, 200u);
    return Id(text);
}

void check_address(
    yaml_reader const& reader, char const* key, std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
        reader.fail(key, "'" + text + "' is not an address", "ip:port");
}

std::string required_address(yaml_reader& reader, char const* key)
{
    std::string text;
    reader.required(key, text, 100u);
    check_address(reader, key, text);
    return text;
}

std::string optional_url(yaml_reader& reader, char const* key)
{
    std::string text;
    reader.optional(key, text, 1000u);
    if (!text.empty() && text.compare(0, 7, "http://") != 0)
        reader.fail(key, "'" + text + "' is not a URL", "http://ip:port");
    while (!text.empty() && text.back() == '/')
        text.pop_back();
    return text;
}

node_location read_location(yaml_reader& reader)
{
    node_location at;
    at.host = required_id<host_id>(reader, "host");
    at.zone = required_id<zone_id>(reader, "zone");
    at.region = required_id<region_id>(reader, "region");
    return at;
}

log_settings read_log(yaml_reader& root)
{
    log_settings log;
    auto reader = root.child("log");
    if (!reader)
        return log;
    reader->choice<bool>("format", log.json, {{"text", false}, {"json", true}});
    reader->choice<log_level>(
        "level", log.level,
        {{"debug", log_level::debug},
         {"info", log_level::info},
         {"warn", log_level::warn},
         {"error", log_level::error}});
    reader->optional("decisions", log.decisions);
    reader->finish();
    return log;
}

std::vector<model_ref> read_models(yaml_reader& reader)
{
    std::vector<model_ref> models;
    for (auto& one : reader.children("models"))
    {
        model_ref model;
        one.required("name", model.name, 200u);
        one.optional("adapter", model.adapter, 200u);
        one.required("version", model.version, 200u);
        one.finish();
        models.push_back(std::move(model));
    }
    return models;
}

std::vector<service_name> read_services(yaml_reader& reader)
{
    std::vector<std::string> names;
    reader.optional("services", names);
    std::vector<service_name> services;
    services.reserve(names.size());
    for (auto const& name : names)
        services.emplace_back(name);
    return services;
}

std::vector<router_entry> read_routers(yaml_reader& root)
{
    std::vector<router_entry> routers;
    for (auto& one : root.children("routers"))
    {
        router_entry entry;
        auto const id = required_id<router_id>(one, "router");
        entry.info.router = peer_id("router/" + id.value());
        entry.address = required_address(one, "address");
        entry.info.zone = required_id<zone_id>(one, "zone");
        entry.info.region = required_id<region_id>(one, "region");
        one.finish();
        routers.push_back(std::move(entry));
    }
    return routers;
}

std::vector<endpoint_info> read_endpoints(yaml_reader& root)
{
    std::vector<endpoint_info> endpoints;
    std::set<std::string> names;
    for (auto& one : root.children("endpoints"))
    {
        endpoint_info info;
        info.endpoint = required_id<endpoint_id>(one, "endpoint");
        if (!names.insert(info.endpoint.value()).second)
            one.fail("endpoint", "is a duplicate", "a unique name");
        info.agent = peer_id("agent/" + info.endpoint.value());
        info.address = required_address(one, "address");
        info.host = required_id<host_id>(one, "host");
        info.zone = required_id<zone_id>(one, "zone");
        info.region = required_id<region_id>(one, "region");
        info.models = read_models(one);
        info.services = read_services(one);
        if (info.models.empty() == info.services.empty())
        {
            one.fail(
                "models",
                "models and services are both present or both missing",
                "exactly one of the two");
        }
        one.finish();
        endpoints.push_back(std::move(info));
    }
    return endpoints;
}

std::vector<organisation_entry> read_organisations(yaml_reader& root)
{
    std::vector<organisation_entry> organisations;
    std::set<std::string> keys;
    for (auto& one : root.children("organisations"))
    {
        organisation_entry entry;
        entry.organisation = required_id<organisation_id>(one, "organisation");
        if (!is_valid_organisation_name(entry.organisation.value()))
        {
            one.fail(
                "organisation", "is not a valid name",
                "letters, digits and ._-");
        }
        one.optional("api_key", entry.api_key, 500u);
        if (!entry.api_key.empty() && !keys.insert(entry.api_key).second)
            one.fail("api_key", "is a duplicate", "a unique key");
        if (one.contains("rank"))
        {
            rank r = rank::standard;
            one.choice<rank>(
                "rank", r,
                {{"urgent", rank::urgent},
                 {"standard", rank::standard},
                 {"background", rank::background}});
            entry.rank = r;
        }
        one.finish();
        organisations.push_back(std::move(entry));
    }
    return organisations;
}

std::optional<policy_settings> read_policy(yaml_reader& root)
{
    auto const reader = root.child("policy");
    if (!reader)
        return std::nullopt;
    return read_inline_policy(*reader);
}

std::string optional_address(yaml_reader& reader, char const* key)
{
    std::string text;
    reader.optional(key, text, 100u);
    if (!text.empty())
        check_address(reader, key, text);
    return text;
}

void read_answer_memory(yaml_reader& reader, std::uint32_t& megabytes)
{
    reader.optional(
        "answer_memory_mb", megabytes, min_answer_memory_mb,
        max_answer_memory_mb);
}

// ---- writers --------------------------------------------------------------

void write_location(YAML::Emitter& out, node_location const& at)
{
    out << YAML::Key << "host" << YAML::Value << at.host.value();
    out << YAML::Key << "zone" << YAML::Value << at.zone.value();
    out << YAML::Key << "region" << YAML::Value << at.region.value();
}

template<typename T>
void write(YAML::Emitter& out, char const* key, T const& value)
{
    out << YAML::Key << key << YAML::Value << value;
}

/// Omits the key if the value is empty.
void write(YAML::Emitter& out, char const* key, std::string const& value)
{
    if (!value.empty())
        out << YAML::Key << key << YAML::Value << value;
}

void write_log(YAML::Emitter& out, log_settings const& log)
{
    static char const* const levels[] = {"debug", "info", "warn", "error"};
    out << YAML::Key << "log" << YAML::Value << YAML::Flow << YAML::BeginMap;
    write(out, "format", log.json ? "json" : "text");
    write(out, "level", levels[static_cast<int>(log.level)]);
    write(out, "decisions", log.decisions);
    out << YAML::EndMap;
}

void write_served(
    YAML::Emitter& out, std::vector<model_ref> const& models,
    std::vector<service_name> const& services)
{
    if (!models.empty())
    {
        out << YAML::Key << "models" << YAML::Value << YAML::BeginSeq;
        for (auto const& m : models)
        {
            out << YAML::Flow << YAML::BeginMap;
            write(out, "name", m.name);
            if (!m.adapter.empty())
                write(out, "adapter", m.adapter);
            write(out, "version", m.version);
            out << YAML::EndMap;
        }
        out << YAML::EndSeq;
    }
    if (services.empty())
        return;
    out << YAML::Key << "services" << YAML::Value << YAML::Flow
        << YAML::BeginSeq;
    for (auto const& s : services)
        out << s.value();
    out << YAML::EndSeq;
}

void write_routers(YAML::Emitter& out, std::vector<router_entry> const& routers)
{
    out << YAML::Key << "routers" << YAML::Value << YAML::BeginSeq;
    for (auto const& r : routers)
    {
        out << YAML::BeginMap;
        write(out, "router", r.info.router.value().substr(7));
        write(out, "address", r.address);
        write(out, "zone", r.info.zone.value());
        write(out, "region", r.info.region.value());
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void write_endpoints(YAML::Emitter& out, router_settings const& s)
{
    out << YAML::Key << "endpoints" << YAML::Value << YAML::BeginSeq;
    for (auto const& e : s.endpoints)
    {
        out << YAML::BeginMap;
        write(out, "endpoint", e.endpoint.value());
        write(out, "address", e.address);
        write_location(out, {e.region, e.zone, e.host});
        write_served(out, e.models, e.services);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void write_organisations(YAML::Emitter& out, router_settings const& s)
{
    out << YAML::Key << "organisations" << YAML::Value << YAML::BeginSeq;
    for (auto const& o : s.identify.organisations)
    {
        out << YAML::BeginMap;
        write(out, "organisation", o.organisation.value());
        if (!o.api_key.empty())
            write(out, "api_key", "(set)");
        if (o.rank)
            write(out, "rank", to_string(*o.rank));
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void write_policy_comment(YAML::Emitter& out, char const* source)
{
    out << YAML::Newline << YAML::Comment(std::string("policy: ") + source);
}

} // namespace

router_settings
read_router_settings(std::string const& text, std::string const& file)
{
    router_settings s;
    auto root = yaml_reader::parse(text, file);
    s.router = required_id<router_id>(root, "router");
    s.location = read_location(root);
    s.http_listen = required_address(root, "http_listen");
    s.peer_listen = required_address(root, "peer_listen");
    root.optional("shards", s.shards, 1u, max_shards);
    root.optional("threads", s.threads, 1u, max_threads);
    s.table_service_url = optional_url(root, "table_service_url");
    s.fleet_view_url = optional_url(root, "fleet_view_url");
    s.peer_address = optional_address(root, "peer_address");
    s.routers = read_routers(root);
    s.endpoints = read_endpoints(root);
    s.identify.organisations = read_organisations(root);
    root.optional("organisation_header", s.identify.organisation_header, 100u);
    for (char& c : s.identify.organisation_header)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    root.optional<std::size_t>(
        "max_body_bytes", s.limits.max_body_bytes, 1024, max_body_limit);
    root.optional(
        "default_max_tokens", s.limits.default_max_tokens, 1u,
        s.limits.max_tokens_limit);
    read_answer_memory(root, s.answer_memory_mb);
    s.policy = read_policy(root);
    if (!s.policy && s.table_service_url.empty())
    {
        root.fail(
            "policy", "policy and table_service_url are both missing",
            "a policy, or the table service that stores the fleet document");
    }
    s.log = read_log(root);
    root.finish();
    return s;
}

agent_settings
read_agent_settings(std::string const& text, std::string const& file)
{
    agent_settings s;
    auto root = yaml_reader::parse(text, file);
    s.endpoint = required_id<endpoint_id>(root, "endpoint");
    s.location = read_location(root);
    s.peer_listen = required_address(root, "peer_listen");
    s.http_listen = optional_address(root, "http_listen");
    root.required("capacity", s.capacity, 1u, max_capacity);
    s.engine_url = optional_url(root, "engine_url");
    s.service_url = optional_url(root, "service_url");
    if (s.engine_url.empty() == s.service_url.empty())
    {
        root.fail(
            "engine_url",
            "engine_url and service_url are both present or both missing",
            "exactly one of the two");
    }
    // No default is safe: see the design page, section 1.4.
    if (!s.engine_url.empty())
    {
        root.required(
            "engine_checks_fencing_token", s.engine_checks_fencing_token);
    }
    s.models = read_models(root);
    s.services = read_services(root);
    if (s.models.empty() != s.engine_url.empty() ||
        s.services.empty() != s.service_url.empty())
    {
        root.fail(
            "models", "models or services do not match the URL",
            "models with engine_url, services with service_url");
    }
    read_answer_memory(root, s.answer_memory_mb);
    s.table_service_url = optional_url(root, "table_service_url");
    s.peer_address = optional_address(root, "peer_address");
    s.routers = read_routers(root);
    s.policy = read_policy(root);
    s.log = read_log(root);
    root.finish();
    return s;
}

std::string effective_text(router_settings const& s)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    write(out, "router", s.router.value());
    write_location(out, s.location);
    write(out, "http_listen", s.http_listen);
    write(out, "peer_listen", s.peer_listen);
    write(out, "shards", s.shards);
    write(out, "threads", s.threads);
    write(out, "table_service_url", s.table_service_url);
    write(out, "fleet_view_url", s.fleet_view_url);
    write(out, "peer_address", s.peer_address);
    write_routers(out, s.routers);
    write_endpoints(out, s);
    write_organisations(out, s);
    write(out, "organisation_header", s.identify.organisation_header);
    write(out, "max_body_bytes", s.limits.max_body_bytes);
    write(out, "default_max_tokens", s.limits.default_max_tokens);
    write(out, "answer_memory_mb", s.answer_memory_mb);
    write_log(out, s.log);
    out << YAML::EndMap;
    write_policy_comment(
        out, s.policy ? "inline, from this file" : "from the fleet document");
    return out.c_str() + std::string("\n");
}

std::string effective_text(agent_settings const& s)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    write(out, "endpoint", s.endpoint.value());
    write_location(out, s.location);
    write(out, "peer_listen", s.peer_listen);
    write(out, "http_listen", s.http_listen);
    write(out, "capacity", s.capacity);
    if (!s.engine_url.empty())
    {
        write(out, "engine_url", s.engine_url);
        write(
            out, "engine_checks_fencing_token", s.engine_checks_fencing_token);
    }
    else
    {
        write(out, "service_url", s.service_url);
    }
    write_served(out, s.models, s.services);
    write(out, "answer_memory_mb", s.answer_memory_mb);
    write(out, "table_service_url", s.table_service_url);
    write(out, "peer_address", s.peer_address);
    write_routers(out, s.routers);
    write_log(out, s.log);
    out << YAML::EndMap;
    write_policy_comment(
        out, s.policy                     ? "inline, from this file"
             : s.follows_fleet_document() ? "from the fleet document"
                                          : "built-in defaults");
    return out.c_str() + std::string("\n");
}

} // namespace dotterellock
