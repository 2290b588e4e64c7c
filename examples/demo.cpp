// dotterellock-demo: runs a small fleet on loopback end to end. The engine of a
// long generation is killed midway and the caller still receives the complete
// answer; a non-repeatable call that is sent twice with the same key runs once;
// then all processes shut down gracefully. The last line of the output is a
// JSON object with "ok" and the measured values.
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
constexpr milliseconds step_timeout{30000};

void print_progress(std::string const& line)
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

bool run_generation(local_fleet& fleet, json& figures)
{
    auto const request = generation_request(fleet);
    load::streaming_caller caller(request);
    if (!caller.wait_for_tokens(tokens_before_kill, step_timeout))
    {
        print_progress("too few tokens arrived within the time limit");
        return false;
    }
    std::size_t const busy_engine = fleet.busy_engine(step_timeout);
    print_progress(
        "killing engine " + std::to_string(busy_engine + 1) + " after " +
        std::to_string(tokens_before_kill) + " tokens (SIGKILL)");
    fleet.engine(busy_engine).signal(SIGKILL);
    bool const ended = caller.wait(step_timeout);
    auto const result = caller.result();
    standins::expected_answer const expected(
        local_fleet::model_version, request.prompt);
    bool const complete = ended && result.text == expected.text(answer_tokens);
    print_progress(
        std::string("answer of ") + std::to_string(answer_tokens) +
        " tokens is " +
        (complete ? "complete and as expected" : "incomplete or wrong"));
    figures["first_token_ms"] = result.first_token.count();
    figures["longest_gap_ms"] = result.longest_gap.count();
    figures["answer_whole"] = complete;
    return complete;
}

bool run_calls(local_fleet& fleet, json& figures)
{
    std::string const root = fleet.router_url(0) + "/v1/services/orders/";
    std::string const authorization =
        std::string("Authorization: Bearer ") + local_fleet::api_key;
    auto const lookup =
        standins::http_post(root + "stock", "{}", {authorization});
    print_progress("idempotent call: status " + std::to_string(lookup.status));

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
    print_progress(
        "non-repeatable call sent twice: statuses " +
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
        print_progress(
            "starting 3 engines, 1 plain service, 4 agents, 2 routers");
        auto const begin = std::chrono::steady_clock::now();
        standins::fleet_options options;
        options.answer_tokens = answer_tokens;
        local_fleet fleet(binaries, options);
        figures["start_ms"] = std::chrono::duration_cast<milliseconds>(
                                  std::chrono::steady_clock::now() - begin)
                                  .count();
        ok = run_generation(fleet, figures);
        ok = run_calls(fleet, figures) && ok;
        bool const graceful = fleet.stop(step_timeout);
        print_progress(
            graceful ? "all processes stopped gracefully"
                     : "a process did not stop gracefully");
        figures["graceful_stop"] = graceful;
        ok = ok && graceful;
    }
    catch (std::exception const& e)
    {
        print_progress(e.what());
    }
    figures["ok"] = ok;
    std::cout << figures.dump() << std::endl;
    return ok ? 0 : 1;
}
