// Index
//   fields      : validated access to the JSON body
//   generations : completions and chat completions
//   calls       : service, operation and path from the URL
#include "parse.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

using nlohmann::json;

constexpr char const* step = "parse";
constexpr double max_temperature = 2;
constexpr std::size_t max_name_length = 200;
constexpr std::size_t max_path_length = 2000;

[[noreturn]] void reject(std::string const& detail)
{
    throw error(error_code::invalid_argument, step, "", detail);
}

// ---- fields ---------------------------------------------------------------

json parse_body(std::string const& body, parse_limits const& limits)
{
    auto const check_depth = [&](int depth, json::parse_event_t, json&)
    {
        if (depth > static_cast<int>(limits.max_json_depth))
            reject("body is nested too deeply");
        return true;
    };
    try
    {
        json const parsed = json::parse(body, check_depth);
        if (!parsed.is_object())
            reject("body is no JSON object");
        return parsed;
    }
    catch (json::exception const& e)
    {
        reject(std::string("body is no JSON: ") + e.what());
    }
}

/// nullptr when the field is absent or null.
json const* find_field(json const& object, char const* name)
{
    auto const found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string
string_field(json const& object, char const* name, std::size_t max_length)
{
    json const* const value = find_field(object, name);
    if (value == nullptr)
        return {};
    if (!value->is_string() ||
        value->get_ref<std::string const&>().size() > max_length)
    {
        reject(
            std::string(name) + " must be a string of at most " +
            std::to_string(max_length) + " bytes");
    }
    return value->get<std::string>();
}

bool bool_field(json const& object, char const* name)
{
    json const* const value = find_field(object, name);
    if (value != nullptr && !value->is_boolean())
        reject(std::string(name) + " must be true or false");
    return value != nullptr && value->get<bool>();
}

std::uint32_t parse_max_tokens(json const& body, parse_limits const& limits)
{
    json const* value = find_field(body, "max_tokens");
    if (value == nullptr)
        value = find_field(body, "max_completion_tokens");
    if (value == nullptr)
        return limits.default_max_tokens;
    bool const valid = value->is_number_unsigned() &&
                       value->get<std::uint64_t>() >= 1 &&
                       value->get<std::uint64_t>() <= limits.max_tokens_limit;
    if (!valid)
    {
        reject(
            "max_tokens must be an integer from 1 to " +
            std::to_string(limits.max_tokens_limit));
    }
    return value->get<std::uint32_t>();
}

double parse_temperature(json const& body)
{
    json const* const value = find_field(body, "temperature");
    if (value == nullptr)
        return 1;
    if (!value->is_number() || !(value->get<double>() >= 0) ||
        !(value->get<double>() <= max_temperature))
        reject("temperature must be a number from 0 to 2");
    return value->get<double>();
}

/// Rejects fields that change the output, because ignoring them would return
/// something other than what the caller asked for.
void reject_unsupported_fields(json const& body)
{
    for (char const* name :
         {"stop", "tools", "functions", "logit_bias", "suffix", "top_p",
          "frequency_penalty", "presence_penalty", "response_format"})
    {
        if (find_field(body, name) != nullptr)
            reject(std::string(name) + " is not supported");
    }
    for (char const* name : {"n", "best_of"})
    {
        json const* const value = find_field(body, name);
        if (value != nullptr && *value != 1)
            reject(std::string(name) + " must be 1");
    }
    for (char const* name : {"echo", "logprobs"})
    {
        json const* const value = find_field(body, name);
        if (value != nullptr && *value != false)
            reject(std::string(name) + " is not supported");
    }
}

// ---- generations ----------------------------------------------------------

/// "name[:adapter][@version]"
model_ref parse_model(std::string const& label)
{
    model_ref model;
    std::string rest = label;
    auto const at = rest.find('@');
    if (at != std::string::npos)
    {
        model.version = rest.substr(at + 1);
        rest.resize(at);
    }
    auto const colon = rest.find(':');
    if (colon != std::string::npos)
    {
        model.adapter = rest.substr(colon + 1);
        rest.resize(colon);
    }
    model.name = rest;
    bool const has_empty_part =
        (at != std::string::npos && model.version.empty()) ||
        (colon != std::string::npos && model.adapter.empty());
    if (model.name.empty() || has_empty_part)
        reject("model must be name[:adapter][@version]");
    return model;
}

std::string completion_prompt(json const& body, std::size_t max_bytes)
{
    json const* value = find_field(body, "prompt");
    if (value != nullptr && value->is_array() && value->size() == 1)
        value = &value->front();
    if (value == nullptr || !value->is_string())
        reject("prompt must be a string");
    if (value->get_ref<std::string const&>().size() > max_bytes)
        reject("prompt is too long");
    return value->get<std::string>();
}

/// Formats each message as "role: content" followed by a line break. Engines
/// that need another chat template apply it to this prompt.
std::string chat_prompt(json const& body, std::size_t max_bytes)
{
    json const* const messages = find_field(body, "messages");
    if (messages == nullptr || !messages->is_array() || messages->empty())
        reject("messages must be a list that is not empty");
    std::string prompt;
    for (json const& m : *messages)
    {
        if (!m.is_object())
            reject("messages must hold objects");
        std::string const role = string_field(m, "role", max_name_length);
        if (role.empty() || find_field(m, "content") == nullptr)
            reject("a message needs role and content");
        prompt += role + ": " + string_field(m, "content", max_bytes) + "\n";
    }
    return prompt + "assistant:";
}

// ---- calls ----------------------------------------------------------------

/// True for a path that HTTP clients and servers downstream may normalise, so
/// that an operation other than the classified one could run.
bool is_ambiguous_path(std::string const& path)
{
    std::string const bounded = "/" + path + "/";
    for (char const* part : {"//", "/./", "/../", "%2e", "%2E", "%2f", "%2F"})
    {
        if (bounded.find(part) != std::string::npos)
            return true;
    }
    return std::any_of(
        path.begin(), path.end(),
        [](char c) { return c <= ' ' || c >= 127 || c == '\\'; });
}

void parse_call(request_context& context, std::string const& rest)
{
    auto const slash = rest.find('/');
    std::string const service = rest.substr(0, slash);
    if (slash == std::string::npos || slash + 1 == rest.size() ||
        service.empty() || service.size() > max_name_length)
        reject("path must be /v1/services/<name>/<operation>");
    if (rest.size() > max_path_length || is_ambiguous_path(rest))
        reject("path is too long or not in its plain form");
    context.kind = work_kind::call;
    call_request& call = context.call;
    call.service = service_name(service);
    call.operation = rest.substr(slash + 1);
    call.method = context.http_request.method;
    call.path = rest.substr(slash);
    if (!context.http_request.query.empty())
        call.path += "?" + context.http_request.query;
    call.content_type = context.http_request.header("content-type");
    call.body = context.http_request.body;
}

std::optional<rank> parse_optional_rank(std::string const& name)
{
    if (name.empty())
        return std::nullopt;
    return rank_from_string(name);
}

} // namespace

void parse_filter::apply(request_context& context)
{
    server_request const& request = context.http_request;
    if (request.body.size() > limits_.max_body_bytes)
    {
        throw error(
            error_code::payload_too_large, step, "",
            "body exceeds " + std::to_string(limits_.max_body_bytes) +
                " bytes");
    }
    context.requested_rank = parse_optional_rank(request.header("x-rank"));
    std::string const services = "/v1/services/";
    if (request.path.compare(0, services.size(), services) == 0)
    {
        parse_call(context, request.path.substr(services.size()));
        return;
    }
    context.chat = request.path == "/v1/chat/completions";
    if (!context.chat && request.path != "/v1/completions")
        reject("no such path: " + request.path.substr(0, max_name_length));
    if (request.method != "POST")
        reject("method must be POST");
    parse_generation(context);
}

void parse_filter::parse_generation(request_context& context) const
{
    context.kind = work_kind::generation;
    json const body = parse_body(context.http_request.body, limits_);
    reject_unsupported_fields(body);
    generation_request& g = context.generation;
    g.model = parse_model(string_field(body, "model", max_name_length));
    for (auto const& [name, target] :
         {std::pair{"adapter", &g.model.adapter},
          std::pair{"version", &g.model.version}})
    {
        std::string const value = string_field(body, name, max_name_length);
        if (!value.empty())
            *target = value;
    }
    g.prompt = context.chat ? chat_prompt(body, limits_.max_body_bytes)
                            : completion_prompt(body, limits_.max_body_bytes);
    g.sampling.max_tokens = parse_max_tokens(body, limits_);
    g.sampling.temperature = parse_temperature(body);
    if (json const* const seed = find_field(body, "seed"))
    {
        if (!seed->is_number_integer())
            reject("seed must be an integer");
        g.sampling.seed = seed->get<std::uint64_t>();
        context.has_caller_seed = true;
    }
    context.stream = bool_field(body, "stream");
    if (!context.requested_rank)
        context.requested_rank =
            parse_optional_rank(string_field(body, "rank", max_name_length));
}

} // namespace dotterellock
