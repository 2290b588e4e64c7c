// Index
//   fields      : checked access to the JSON body
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

[[noreturn]] void refuse(std::string const& detail)
{
    throw error(error_code::invalid_argument, step, "", detail);
}

// ---- fields ---------------------------------------------------------------

json parse_body(std::string const& body, parse_limits const& limits)
{
    auto const check_depth = [&](int depth, json::parse_event_t, json&)
    {
        if (depth > static_cast<int>(limits.max_json_depth))
            refuse("body is nested too deeply");
        return true;
    };
    try
    {
        json const parsed = json::parse(body, check_depth);
        if (!parsed.is_object())
            refuse("body is no JSON object");
        return parsed;
    }
    catch (json::exception const& e)
    {
        refuse(std::string("body is no JSON: ") + e.what());
    }
}

/// nullptr when the field is absent or null.
json const* field(json const& object, char const* name)
{
    auto const found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string text(json const& object, char const* name, std::size_t max_length)
{
    json const* const value = field(object, name);
    if (value == nullptr)
        return {};
    if (!value->is_string() ||
        value->get_ref<std::string const&>().size() > max_length)
    {
        refuse(
            std::string(name) + " must be a string of at most " +
            std::to_string(max_length) + " bytes");
    }
    return value->get<std::string>();
}

bool flag(json const& object, char const* name)
{
    json const* const value = field(object, name);
    if (value != nullptr && !value->is_boolean())
        refuse(std::string(name) + " must be true or false");
    return value != nullptr && value->get<bool>();
}

std::uint32_t max_tokens(json const& body, parse_limits const& limits)
{
    json const* value = field(body, "max_tokens");
    if (value == nullptr)
        value = field(body, "max_completion_tokens");
    if (value == nullptr)
        return limits.default_max_tokens;
    bool const valid = value->is_number_unsigned() &&
                       value->get<std::uint64_t>() >= 1 &&
                       value->get<std::uint64_t>() <= limits.max_max_tokens;
    if (!valid)
    {
        refuse(
            "max_tokens must be an integer from 1 to " +
            std::to_string(limits.max_max_tokens));
    }
    return value->get<std::uint32_t>();
}

double temperature(json const& body)
{
    json const* const value = field(body, "temperature");
    if (value == nullptr)
        return 1;
    if (!value->is_number() || !(value->get<double>() >= 0) ||
        !(value->get<double>() <= max_temperature))
        refuse("temperature must be a number from 0 to 2");
    return value->get<double>();
}

/// Ignoring these would give another answer than the caller asked for.
void refuse_unsupported(json const& body)
{
    for (char const* name :
         {"stop", "tools", "functions", "logit_bias", "suffix", "top_p",
          "frequency_penalty", "presence_penalty", "response_format"})
    {
        if (field(body, name) != nullptr)
            refuse(std::string(name) + " is not supported");
    }
    for (char const* name : {"n", "best_of"})
    {
        json const* const value = field(body, name);
        if (value != nullptr && *value != 1)
            refuse(std::string(name) + " must be 1");
    }
    for (char const* name : {"echo", "logprobs"})
    {
        json const* const value = field(body, name);
        if (value != nullptr && *value != false)
            refuse(std::string(name) + " is not supported");
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
    bool const dangling = (at != std::string::npos && model.version.empty()) ||
                          (colon != std::string::npos && model.adapter.empty());
    if (model.name.empty() || dangling)
        refuse("model must be name[:adapter][@version]");
    return model;
}

std::string prompt_of(json const& body, std::size_t max_bytes)
{
    json const* value = field(body, "prompt");
    if (value != nullptr && value->is_array() && value->size() == 1)
        value = &value->front();
    if (value == nullptr || !value->is_string())
        refuse("prompt must be a string");
    if (value->get_ref<std::string const&>().size() > max_bytes)
        refuse("prompt is too long");
    return value->get<std::string>();
}

/// Each message as "role: content" on its own lines; engines that need another
/// template apply it to their prompt.
std::string chat_prompt(json const& body, std::size_t max_bytes)
{
    json const* const messages = field(body, "messages");
    if (messages == nullptr || !messages->is_array() || messages->empty())
        refuse("messages must be a list that is not empty");
    std::string prompt;
    for (json const& m : *messages)
    {
        if (!m.is_object())
            refuse("messages must hold objects");
        std::string const role = text(m, "role", max_name_length);
        if (role.empty() || field(m, "content") == nullptr)
            refuse("a message needs role and content");
        prompt += role + ": " + text(m, "content", max_bytes) + "\n";
    }
    return prompt + "assistant:";
}

// ---- calls ----------------------------------------------------------------

/// Servers and clients on the way shorten such paths, so that another
/// operation than the one that was classified could run.
bool ambiguous(std::string const& path)
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
        refuse("path must be /v1/services/<name>/<operation>");
    if (rest.size() > max_path_length || ambiguous(rest))
        refuse("path is too long or not in its plain form");
    context.kind = work_kind::call;
    call_request& call = context.call;
    call.service = service_name(service);
    call.operation = rest.substr(slash + 1);
    call.method = context.input.method;
    call.path = rest.substr(slash);
    if (!context.input.query.empty())
        call.path += "?" + context.input.query;
    call.content_type = context.input.header("content-type");
    call.body = context.input.body;
}

std::optional<rank> rank_named(std::string const& name)
{
    if (name.empty())
        return std::nullopt;
    return rank_from_string(name);
}

} // namespace

void parse_filter::apply(request_context& context)
{
    http_input const& input = context.input;
    if (input.body.size() > limits_.max_body_bytes)
    {
        throw error(
            error_code::payload_too_large, step, "",
            "body exceeds " + std::to_string(limits_.max_body_bytes) +
                " bytes");
    }
    context.requested_rank = rank_named(input.header("x-rank"));
    std::string const services = "/v1/services/";
    if (input.path.compare(0, services.size(), services) == 0)
    {
        parse_call(context, input.path.substr(services.size()));
        return;
    }
    context.chat = input.path == "/v1/chat/completions";
    if (!context.chat && input.path != "/v1/completions")
        refuse("no such path: " + input.path.substr(0, max_name_length));
    if (input.method != "POST")
        refuse("method must be POST");
    parse_generation(context);
}

void parse_filter::parse_generation(request_context& context) const
{
    context.kind = work_kind::generation;
    json const body = parse_body(context.input.body, limits_);
    refuse_unsupported(body);
    generation_request& g = context.generation;
    g.model = parse_model(text(body, "model", max_name_length));
    for (auto const& [name, target] :
         {std::pair{"adapter", &g.model.adapter},
          std::pair{"version", &g.model.version}})
    {
        std::string const value = text(body, name, max_name_length);
        if (!value.empty())
            *target = value;
    }
    g.prompt = context.chat ? chat_prompt(body, limits_.max_body_bytes)
                            : prompt_of(body, limits_.max_body_bytes);
    g.sampling.max_tokens = max_tokens(body, limits_);
    g.sampling.temperature = temperature(body);
    if (json const* const seed = field(body, "seed"))
    {
        if (!seed->is_number_integer())
            refuse("seed must be an integer");
        g.sampling.seed = seed->get<std::uint64_t>();
        context.seed_given = true;
    }
    context.stream = flag(body, "stream");
    if (!context.requested_rank)
        context.requested_rank =
            rank_named(text(body, "rank", max_name_length));
}

} // namespace dotterellock
