// Index: the question; the text; the command.
#include "ctl/placement_command.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "clients/percent_encoding.hpp"
#include "relay/bounded_json.hpp"

namespace dotterellock
{

namespace
{

using nlohmann::json;

// The text -------------------------------------------------------------------

/// Names come from configurations and may hold bytes that a terminal acts on.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return text;
}

std::string text_of(json const& value)
{
    if (value.is_null())
        return "-";
    if (value.is_string())
        return value.get_ref<std::string const&>().empty()
                   ? "-"
                   : printable(value.get<std::string>());
    return value.dump();
}

std::string
joined(json const& list, std::size_t first, std::string const& otherwise)
{
    std::string text;
    for (std::size_t i = first; i < list.size(); ++i)
        text += (text.empty() ? "" : ", ") + text_of(list[i]);
    return text.empty() ? otherwise : text;
}

std::string milliseconds_or(json const& value, char const* otherwise)
{
    return value.is_null() ? otherwise : value.dump() + " ms";
}

/// What an exclusion means for the request.
char const* meaning_of(std::string const& exclusion)
{
    static constexpr std::array<std::pair<char const*, char const*>, 15>
        meanings{{
            {"none", "can take it"},
            {"left", "has left"},
            {"paused", "asked for a pause"},
            {"attempt_failed", "failed it"},
            {"version", "version gets no traffic"},
            {"connections", "connection share in use"},
            {"suspended", "failed recently"},
            {"zone_suspect", "zone is failing"},
            {"leaving", "drains"},
            {"slots", "no free slot"},
            {"memory", "too little memory"},
            {"prefill", "processes a prompt"},
            {"waiting", "requests wait there"},
            {"full", "refused calls"},
            {"limit", "limit their requests, no permit"},
        }};
    auto const found = std::find_if(
        meanings.begin(), meanings.end(),
        [&exclusion](auto const& m) { return m.first == exclusion; });
    return found == meanings.end() ? nullptr : found->second;
}

std::string exclusion_text(std::string const& exclusion)
{
    auto const* const meaning = meaning_of(exclusion);
    return meaning == nullptr ? printable(exclusion) : meaning;
}

std::string exclusion_of(json const& candidate)
{
    auto const exclusion = candidate.at("excluded_by").get<std::string>();
    if (exclusion == "none")
        return "-";
    auto text = exclusion_text(exclusion);
    if (candidate.contains("excluded_for_ms"))
        text += ", " + text_of(candidate["excluded_for_ms"]) + " ms left";
    return text;
}

void print_wait_cause(std::ostream& out, std::string const& cause)
{
    if (cause == "others")
        out << "waits behind other requests\n";
    else if (cause == "endpoint")
        out << "waits for an endpoint, as all are excluded\n";
    else if (cause == "room")
        out << "waits for room: gateways ask for more than is left, and other "
               "requests were drawn\n";
    else if (cause == "permit")
        out << "waits for a permit, as the best endpoint limits its requests\n";
}

void print_outcome(std::ostream& out, json const& e)
{
    auto const outcome = e.at("outcome").get<std::string>();
    auto const& choices = e.at("choices");
    if (outcome == "placed")
    {
        out << "placed at " << text_of(choices.at(0))
            << "; further attempts: " << joined(choices, 1, "none") << "\n";
    }
    else if (outcome == "queued")
    {
        out << "queued; expected start: "
            << milliseconds_or(e.at("expected_start_ms"), "unknown")
            << ", refused if later than " << text_of(e.at("latest_start_ms"))
            << " ms\n";
        print_wait_cause(out, e.at("waits_for").get<std::string>());
    }
    else
    {
        auto const& r = e.at("refusal");
        out << "refused: " << text_of(r.at("status")) << " "
            << text_of(r.at("reason"));
        if (r.contains("detail"))
            out << " (" << text_of(r["detail"]) << ")";
        if (r.contains("retry_after_ms"))
        {
            out << ", retry after " << text_of(r["retry_after_ms"]);
            if (r.contains("max_retry_after_ms"))
                out << " to " << text_of(r["max_retry_after_ms"]);
            out << " ms";
        }
        out << "\n";
    }
}

void print_request(std::ostream& out, json const& e)
{
    auto const& c = e.at("configuration");
    out << "configuration " << text_of(c.at("version")) << ", proven "
        << milliseconds_or(c.at("age_ms"), "never")
        << (c.at("age_ms").is_null() ? "" : " ago") << "\n";
    auto const& r = e.at("request");
    if (r.at("kind").get<std::string>().empty())
        return;
    out << "route " << text_of(r.at("route")) << " (" << text_of(r.at("kind"))
        << "), service " << text_of(r.at("service")) << ", organisation "
        << text_of(r.at("organisation")) << ", rank " << text_of(r.at("rank"))
        << "\n";
    if (r.at("targets").size() > 1)
    {
        out << "targets by weight:";
        for (auto const& target : r["targets"])
            out << " " << text_of(target.at("service")) << " "
                << text_of(target.at("weight"));
        if (r.at("targets_left_out") != 0)
            out << ", " << text_of(r["targets_left_out"]) << " more";
        out << "; --service explains another one\n";
    }
    if (r.at("tie_by_request_id").get<bool>())
        out << "without --last-part, a request's id decides among equal "
               "endpoints\n";
}

void print_expectations(std::ostream& out, json const& e)
{
    if (!e.at("expected_first_event_ms").is_null())
        out << "expected first event: " << text_of(e["expected_first_event_ms"])
            << " ms after the start\n";
    auto const& cache = e.at("cache");
    if (cache.at("search") == "known")
        out << "the prompt is cached at " << text_of(cache.at("endpoint"))
            << "\n";
    else if (cache.at("search") == "would_ask")
        out << "the gateway would first ask endpoints which of them caches "
               "the prompt\n";
    if (e.at("outcome") == "queued" || e.at("outcome") == "refused")
    {
        auto const& q = e.at("queue");
        out << "queue: " << text_of(q.at("waiting")) << " waiting, "
            << text_of(q.at("ahead")) << " of the same or a more urgent rank, "
            << "expected wait "
            << milliseconds_or(q.at("expected_wait_ms"), "unknown") << "\n";
        if (!q.at("all_paused_for_ms").is_null())
            out << "all endpoints are paused for "
                << text_of(q["all_paused_for_ms"]) << " ms or longer\n";
    }
    out << "retry budget: "
        << (e.at("retry_available").get<bool>() ? "a repeat is possible"
                                                : "used up")
        << "\n";
}

using table_row = std::vector<std::string>;

void print_table(std::ostream& out, std::vector<table_row> const& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (auto const& row : rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (auto const& row : rows)
    {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            out << std::left << std::setw(int(widths[i]) + 2) << row[i];
        out << row.back() << "\n";
    }
}

void print_candidates(std::ostream& out, json const& e)
{
    auto const& candidates = e.at("candidates");
    if (e.at("request").at("kind").get<std::string>().empty())
        return;
    std::string summary;
    for (auto const& [exclusion, count] : e.at("counts").items())
        summary += "; " + text_of(count) + " " + exclusion_text(exclusion);
    out << "candidates: " << candidates.size() << " listed, "
        << text_of(e.at("candidates_left_out")) << " left out" << summary
        << "\n";
    if (candidates.empty())
        return;
    std::vector<table_row> rows{
        {"endpoint", "zone", "requests", "own", "memory", "prefill", "waiting",
         "report ms", "peers ms", "failures", "latency us", "pace us",
         "excluded by"}};
    for (auto const& c : candidates)
    {
        auto const& load = c.at("load");
        rows.push_back(
            {text_of(c.at("endpoint")), text_of(c.at("zone")),
             text_of(load.at("requests")),
             text_of(c.at("own_load").at("requests")),
             text_of(load.at("memory_tokens")),
             text_of(load.at("prefill_tokens")),
             text_of(c.at("reported_waiting")), text_of(c.at("report_age_ms")),
             text_of(c.at("peer_share_age_ms")), text_of(c.at("failure_rate")),
             c.contains("latency_us") ? text_of(c["latency_us"]) : "-",
             c.contains("event_pace_us") ? text_of(c["event_pace_us"]) : "-",
             exclusion_of(c)});
    }
    print_table(out, rows);
}

/// Throws json::exception for an answer that is no explanation.
std::string explanation_text(json const& e)
{
    std::ostringstream out;
    print_outcome(out, e);
    print_request(out, e);
    print_expectations(out, e);
    print_candidates(out, e);
    return out.str();
}

// The command ----------------------------------------------------------------

ctl_exit print_explanation(
    std::string const& body, bool as_json, std::ostream& out, std::ostream& err)
{
    try
    {
        auto const explanation = parse_json(body, "the gateway's answer");
        out
            << (as_json ? explanation.dump(2) + "\n"
                        : explanation_text(explanation));
        return ctl_exit::ok;
    }
    catch (error const& e)
    {
        err << e.detail();
    }
    catch (json::exception const&)
    {
        err << "the gateway's answer is no explanation";
    }
    err << "; the gateway may be of another version\n";
    return ctl_exit::unavailable;
}

ctl_exit print_fault(std::string const& body, std::ostream& err)
{
    try
    {
        auto const fault = parse_json(body, "the gateway's answer");
        err << text_of(fault.at("parameter")) << " "
            << text_of(fault.at("detail")) << "\n";
    }
    catch (std::exception const&)
    {
        err << "the gateway did not accept the question\n";
    }
    return ctl_exit::usage;
}

} // namespace

bool is_gateway_command(ctl_options const& options)
{
    return options.command == "where";
}

std::string placement_target(placement_options const& options)
{
    std::string target = "/where";
    char separator = '?';
    for (auto const& [name, value] : options.parameters)
    {
        target += separator + name + '=' + percent_encode(value);
        separator = '&';
    }
    return target;
}

ctl_exit run_gateway_command(
    ctl_options const& options, status_reader& gateway,
    std::function<void(std::function<bool()> done)> const& run_until,
    std::ostream& out, std::ostream& err)
{
    std::optional<status_answer> answer;
    gateway.read(
        placement_target(options.placement),
        [&answer](status_answer a) { answer = std::move(a); });
    run_until([&answer] { return answer.has_value(); });
    switch (answer->status)
    {
    case 200:
        return print_explanation(
            answer->body, options.placement.json, out, err);
    case 400:
        return print_fault(answer->body, err);
    case 429:
        err << "the gateway answers at most 5 questions a second; ask again\n";
        break;
    case 0:
        err << "no answer from the gateway: " << answer->detail << "\n";
        break;
    default:
        err << "the gateway answered " << answer->status << "\n";
    }
    return ctl_exit::unavailable;
}

} // namespace dotterellock
