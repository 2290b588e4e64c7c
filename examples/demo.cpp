// dotterellock-demo: a small fleet on loopback, shown end to end. One long
// generation loses its engine midway and still arrives whole; a non-repeatable
// call sent twice with one key runs once; everything then stops gracefully.
// The last line is one JSON object with "ok" and the figures.
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "../src/load/streaming_caller.hpp"
#include "../standins/expected_answer.hpp"
#include "../standins/local_fleet.hpp"

namespace
{

using namespace dotterellock;
using nlohmann::json;
using standins::local_fleet;
using std::chrono::milliseconds;

constexpr unsigned answer_tokens = 200;
constexpr std::size_t tokens_before_kill = 60;
constexpr milliseconds step_limit{30000};

void say(std::string const& line)
{
    std::cout << "demo: " << line << std::endl;
}

std::string model_name()
{
    return std::string(local_fleet::model) + "@" + local_fleet::model_version;
}

load::caller_request generation_request(local_fleet const& fleet)
{
    load::caller_request request;
    request.routers = {fleet.router_url(0), fleet.router_url(1)};
    request.api_key = local_fleet::api_key;
    request.idempotency_key = "demo-generation";
    request.model = model_name();
    request.prompt = "Explain why every token arrives exactly once.";
    request.max_tokens = answer_tokens;
    return request;
}

bool show_generation(local_fleet& fleet, json& figures)
{
    auto const request = generation_request(fleet);
    load::streaming_caller caller(request);
    if (!caller.wait_for_tokens(tokens_before_kill, step_limit))
    {
        say("no tokens arrived");
        return false;
    }
    std::size_t const victim = fleet.busy_engine(step_limit);
    say("killing engine " + std::to_string(victim + 1) + " after " +
        std::to_string(tokens_before_kill) + " tokens (SIGKILL)");
    fleet.engine(victim).signal(SIGKILL);
    bool const ended = caller.wait(step_limit);
    auto const result = caller.result();
    standins::expected_answer const expected(
        local_fleet::model_version, request.prompt);
    bool const whole = ended && result.text == expected.text(answer_tokens);
    say(std::string("answer of ") + std::to_string(answer_tokens) +
        " tokens is " + (whole ? "whole and as expected" : "WRONG"));
    figures["first_token_ms"] = result.first_token.count();
    figures["longest_gap_ms"] = result.longest_gap.count();
    figures["answer_whole"] = whole;
    return whole;
}

bool show_calls(local_fleet& fleet, json& figures)
{
    std::string const root = fleet.router_url(0) + "/v1/services/orders/";
    std::string const authorization =
        std::string("Authorization: Bearer ") + local_fleet::api_key;
    auto const lookup =
        standins::http_post(root + "stock", "{}", {authorization});
    say("idempotent call: status " + std::to_string(lookup.status));

    std::vector<std::string> const headers = {
        authorization, "Idempotency-Key: demo-booking"};
    auto const first = standins::http_post(root + "book", "{}", headers);
    auto const second = standins::http_post(root + "book", "{}", headers);
    bool const same = first.status == 200 && second.status == 200 &&
                      first.body == second.body;
    auto const stats = json::parse(
        standins::http_get(fleet.service_url(0) + "/admin/runs").body);
    unsigned booking_runs = 0;
    for (auto const& item : stats.at("runs").items())
    {
        if (item.key().find("demo-booking") != std::string::npos)
            booking_runs += item.value().get<unsigned>();
    }
    say("non-repeatable call sent twice: statuses " +
        std::to_string(first.status) + " and " + std::to_string(second.status) +
        ", ran " + std::to_string(booking_runs) + " time(s)");
    figures["lookup_status"] = lookup.status;
    figures["booking_runs"] = booking_runs;
    return lookup.status == 200 && same && booking_runs == 1;
}

} // namespace

int main(int argc, char** argv)
{
    json figures;
    bool ok = false;
    try
    {
        std::string const binaries = argc > 1 ? argv[1] : "build";
        say("starting 3 engines, 1 plain service, 4 agents, 2 routers");
        auto const begin = std::chrono::steady_clock::now();
        standins::fleet_options options;
        options.answer_tokens = answer_tokens;
        local_fleet fleet(binaries, options);
        figures["start_ms"] = std::chrono::duration_cast<milliseconds>(
                                  std::chrono::steady_clock::now() - begin)
                                  .count();
        ok = show_generation(fleet, figures);
        ok = show_calls(fleet, figures) && ok;
        bool const graceful = fleet.stop(step_limit);
        say(graceful ? "all processes stopped gracefully"
                     : "a process did not stop gracefully");
        figures["graceful_stop"] = graceful;
        ok = ok && graceful;
    }
    catch (std::exception const& e)
    {
        say(e.what());
    }
    figures["ok"] = ok;
    std::cout << figures.dump() << std::endl;
    return ok ? 0 : 1;
}
