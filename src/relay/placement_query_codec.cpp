// Index: the query; the explanation.
#include "placement_query_codec.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "http/decimal.hpp"

namespace dotterellock
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

// The query ------------------------------------------------------------------

std::optional<unsigned> hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return unsigned(c - '0');
    if (c >= 'a' && c <= 'f')
        return unsigned(c - 'a' + 10);
    if (c >= 'A' && c <= 'F')
        return unsigned(c - 'A' + 10);
    return std::nullopt;
}

/// Nothing if an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        auto const high = hex_digit(text[i + 1]);
        auto const low = hex_digit(text[i + 2]);
        if (!high || !low)
            return std::nullopt;
        decoded += char(*high * 16 + *low);
        i += 2;
    }
    return decoded;
}

bool has_control_character(std::string_view text)
{
    return std::any_of(
        text.begin(), text.end(),
        [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

/// Thrown within this file only.
struct invalid_parameter
{
    query_fault fault;
};

[[noreturn]] void reject(std::string_view parameter, std::string detail)
{
    throw invalid_parameter{{std::string(parameter), std::move(detail)}};
}

std::string
text_value(std::string_view parameter, std::string value, std::size_t max_bytes)
{
    if (value.empty())
        reject(parameter, "is empty");
    if (value.size() > max_bytes)
        reject(
            parameter, "has more than " + std::to_string(max_bytes) + " bytes");
    if (has_control_character(value))
        reject(parameter, "has a control character");
    return value;
}

std::uint64_t number_value(
    std::string_view parameter, std::string_view value, std::uint64_t max)
{
    auto const number = parse_decimal(value);
    if (!number || *number > max)
        reject(
            parameter, "is no whole number from 0 to " + std::to_string(max));
    return *number;
}

std::vector<std::string>
parts_value(std::string_view parameter, std::string_view value)
{
    std::vector<std::string> parts;
    while (true)
    {
        auto const comma = value.find(',');
        parts.push_back(text_value(
            parameter, std::string(value.substr(0, comma)),
            max_query_name_bytes));
        if (parts.size() > max_query_parts)
            reject(
                parameter,
                "has more than " + std::to_string(max_query_parts) + " parts");
        if (comma == std::string_view::npos)
            return parts;
        value.remove_prefix(comma + 1);
    }
}

std::string host_value(std::string_view parameter, std::string value)
{
    auto host = text_value(parameter, std::move(value), max_query_name_bytes);
    std::transform(
        host.begin(), host.end(), host.begin(),
        [](unsigned char c) { return char(std::tolower(c)); });
    return host;
}

/// As for a request, whose query plays no part in its route.
std::string path_value(std::string_view parameter, std::string value)
{
    auto path = text_value(parameter, std::move(value), max_query_path_bytes);
    if (path.front() != '/')
        reject(parameter, "does not begin with '/'");
    return path.substr(0, path.find_first_of("?#"));
}

void apply(
    placement_query& query, std::string_view parameter, std::string value)
{
    auto const name = [&]
    { return text_value(parameter, std::move(value), max_query_name_bytes); };
    auto const tokens = [&]
    { return number_value(parameter, value, max_query_tokens); };
    if (parameter == "route")
        query.route = name();
    else if (parameter == "host")
        query.host = host_value(parameter, std::move(value));
    else if (parameter == "path")
        query.path = path_value(parameter, std::move(value));
    else if (parameter == "service")
        query.service = name();
    else if (parameter == "organisation")
        query.organisation = organisation_id(name());
    else if (parameter == "prompt_tokens")
        query.prompt_tokens = tokens();
    else if (parameter == "output_tokens")
        query.output_tokens = tokens();
    else if (parameter == "last_part")
        query.last_prompt_part = name();
    else if (parameter == "shared_parts")
        query.shared_parts = parts_value(parameter, value);
    else if (parameter == "deadline_ms")
        query.deadline =
            milliseconds(number_value(parameter, value, max_query_deadline_ms));
    else
        reject(parameter, "is unknown");
}

void check_combination(std::set<std::string> const& given)
{
    auto const has = [&given](char const* name)
    { return given.count(name) != 0; };
    if (has("route"))
    {
        for (auto const* const other : {"host", "path"})
        {
            if (has(other))
                reject(other, "is given beside route");
        }
        return;
    }
    if (!has("host"))
        reject("host", "is missing; give host and path, or route");
    if (!has("path"))
        reject("path", "is missing; give host and path, or route");
}

placement_query read_query(std::string_view target)
{
    placement_query query;
    std::set<std::string> given;
    auto const mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view()
                                               : target.substr(mark + 1);
    while (!rest.empty())
    {
        auto const pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        auto const equals = pair.find('=');
        std::string const parameter(pair.substr(0, equals));
        if (equals == std::string_view::npos)
            reject(parameter, "has no value");
        auto value = percent_decode(pair.substr(equals + 1));
        if (!value)
            reject(parameter, "has a malformed escape");
        if (!given.insert(parameter).second)
            reject(parameter, "is given twice");
        apply(query, parameter, std::move(*value));
    }
    check_combination(given);
    return query;
}

// The explanation ------------------------------------------------------------

char const* to_string(placement_outcome outcome)
{
    switch (outcome)
    {
    case placement_outcome::placed:
        return "placed";
    case placement_outcome::queued:
        return "queued";
    case placement_outcome::refused:
        break;
    }
    return "refused";
}

char const* to_string(endpoint_exclusion exclusion)
{
    switch (exclusion)
    {
    case endpoint_exclusion::none:
        break;
    case endpoint_exclusion::left:
        return "left";
    case endpoint_exclusion::paused:
        return "paused";
    case endpoint_exclusion::attempt_failed:
        return "attempt_failed";
    case endpoint_exclusion::version:
        return "version";
    case endpoint_exclusion::connections:
        return "connections";
    case endpoint_exclusion::suspended:
        return "suspended";
    case endpoint_exclusion::zone_suspect:
        return "zone_suspect";
    case endpoint_exclusion::leaving:
        return "leaving";
    case endpoint_exclusion::slots:
        return "slots";
    case endpoint_exclusion::memory:
        return "memory";
    case endpoint_exclusion::prefill:
        return "prefill";
    case endpoint_exclusion::waiting:
        return "waiting";
    case endpoint_exclusion::full:
        return "full";
    case endpoint_exclusion::limit:
        return "limit";
    }
    return "none";
}

char const* to_string(wait_cause cause)
{
    switch (cause)
    {
    case wait_cause::none:
        break;
    case wait_cause::others:
        return "others";
    case wait_cause::endpoint:
        return "endpoint";
    case wait_cause::room:
        return "room";
    case wait_cause::permit:
        return "permit";
    }
    return "none";
}

char const* to_string(topology::distance distance)
{
    switch (distance)
    {
    case topology::distance::same_zone:
        return "same_zone";
    case topology::distance::same_region:
        return "same_region";
    case topology::distance::other_region:
        break;
    }
    return "other_region";
}

char const* to_string(cache_search search)
{
    switch (search)
    {
    case cache_search::none:
        return "none";
    case cache_search::known:
        return "known";
    case cache_search::would_ask:
        break;
    }
    return "would_ask";
}

/// The configuration bounds no name.
std::string clip(std::string const& name)
{
    return name.size() <= max_query_name_bytes
               ? name
               : name.substr(0, max_query_name_bytes) + "...";
}

json to_json(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

json to_json(std::optional<duration> d)
{
    return d ? to_json(*d) : json(nullptr);
}

json to_json(endpoint_state::workload const& load)
{
    return {
        {"requests", load.requests},
        {"memory_tokens", load.memory_tokens},
        {"prefill_tokens", load.prefill_tokens}};
}

json to_json(explained_candidate const& c)
{
    auto const rounded = [](double rate)
    { return double(std::lround(rate * 1000)) / 1000; };
    json j = {
        {"endpoint", clip(c.endpoint.value())},
        {"zone", clip(c.zone.value())},
        {"distance", to_string(c.distance)},
        {"address", clip(c.address)},
        {"excluded_by", to_string(c.excluded_by)},
        {"load", to_json(c.load)},
        {"own_load", to_json(c.own_load)},
        {"report_age_ms", to_json(c.report_age)},
        {"peer_share_age_ms", to_json(c.peer_share_age)},
        {"reported_waiting", c.reported_waiting},
        {"failure_rate", rounded(c.failure_rate)},
        {"error_rate", rounded(c.error_rate)}};
    if (c.excluded_for)
        j["excluded_for_ms"] = to_json(*c.excluded_for);
    if (c.latency)
        j["latency_us"] = c.latency->count();
    if (c.event_pace)
        j["event_pace_us"] =
            std::chrono::duration_cast<std::chrono::microseconds>(*c.event_pace)
                .count();
    if (c.request_limit)
    {
        j["request_limit"] = *c.request_limit;
        j["permits"] = c.permits;
    }
    return j;
}

json to_json(placement_refusal const& r)
{
    json j = {{"status", r.status}, {"reason", r.reason}};
    if (!r.detail.empty())
        j["detail"] = r.detail;
    if (r.retry_after)
        j["retry_after_ms"] = r.retry_after->count();
    if (r.max_retry_after)
        j["max_retry_after_ms"] = r.max_retry_after->count();
    return j;
}

json request_to_json(placement_explanation const& e)
{
    json targets = json::array();
    for (auto const& target : e.targets)
        targets.push_back(
            {{"service", clip(target.service.value())},
             {"weight", target.weight}});
    return {
        {"route", clip(e.route)},
        {"kind", e.kind},
        {"service", clip(e.service.value())},
        {"targets", std::move(targets)},
        {"targets_left_out", e.targets_left_out},
        {"organisation", clip(e.organisation.value())},
        {"rank", e.rank},
        {"engine", e.engine_prompt},
        {"tie_by_request_id", e.tie_by_request_id}};
}

json queue_to_json(placement_explanation const& e)
{
    return {
        {"waiting", e.queue.waiting},
        {"ahead", e.queue.ahead},
        {"expected_wait_ms", to_json(e.queue.wait)},
        {"all_paused_for_ms", to_json(e.all_paused_for)}};
}

json to_json(placement_explanation const& e, std::size_t max_candidates)
{
    json choices = json::array();
    for (auto const& id : e.choices)
        choices.push_back(clip(id.value()));
    json candidates = json::array();
    auto const shown = std::min(e.candidates.size(), max_candidates);
    for (std::size_t i = 0; i < shown; ++i)
        candidates.push_back(to_json(e.candidates[i]));
    json counts = json::object();
    for (auto const& [exclusion, count] : e.counts)
        counts[to_string(exclusion)] = count;
    return {
        {"outcome", to_string(e.outcome)},
        {"waits_for", to_string(e.waits_for)},
        {"refusal", e.refusal ? to_json(*e.refusal) : json(nullptr)},
        {"choices", std::move(choices)},
        {"expected_start_ms", to_json(e.expected_start)},
        {"latest_start_ms", to_json(e.latest_start)},
        {"expected_first_event_ms", to_json(e.expected_first_event)},
        {"queue", queue_to_json(e)},
        {"cache",
         {{"search", to_string(e.cache.search)},
          {"endpoint", clip(e.cache.endpoint.value())}}},
        {"retry_available", e.retry_available},
        {"configuration",
         {{"version", e.configuration_version},
          {"age_ms", to_json(e.configuration_age)}}},
        {"request", request_to_json(e)},
        {"candidates", std::move(candidates)},
        {"candidates_left_out",
         e.candidates_left_out + e.candidates.size() - shown},
        {"counts", std::move(counts)}};
}

/// Names may hold any bytes.
std::string dump(json const& j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace

std::variant<placement_query, query_fault>
parse_placement_query(std::string_view target)
{
    try
    {
        return read_query(target);
    }
    catch (invalid_parameter const& e)
    {
        return e.fault;
    }
}

std::string format_explanation(placement_explanation const& explanation)
{
    auto shown = explanation.candidates.size();
    auto text = dump(to_json(explanation, shown));
    while (text.size() > max_explanation_bytes && shown > 0)
    {
        shown /= 2;
        text = dump(to_json(explanation, shown));
    }
    return text;
}

std::string format_query_fault(query_fault const& fault)
{
    return dump(
        {{"error", "bad_parameter"},
         {"parameter", clip(fault.parameter)},
         {"detail", fault.detail}});
}

} // namespace dotterellock
