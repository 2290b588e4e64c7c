// Tests with real processes on loopback: kills, pauses and graceful shutdown in
// the middle of streams. Each check waits for a state, up to a time limit.
#include <chrono>
#include <csignal>
#include <functional>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "../../src/load/streaming_caller.hpp"
#include "../../standins/expected_answer.hpp"
#include "../../standins/local_fleet.hpp"

using namespace dotterellock;
using namespace dotterellock::standins;
using load::caller_request;
using load::streaming_caller;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds wait_limit{40000};
constexpr unsigned answer_tokens = 150;
constexpr std::size_t mid_stream_tokens = 40;

fleet_options small_fleet()
{
    fleet_options options;
    options.answer_tokens = answer_tokens;
    options.step_ms = 15;
    return options;
}

caller_request request_to(local_fleet const& fleet, std::string const& key)
{
    caller_request r;
    r.routers = {fleet.router_url(0), fleet.router_url(1)};
    r.api_key = local_fleet::api_key;
    r.idempotency_key = key;
    r.model =
        std::string(local_fleet::model) + "@" + local_fleet::model_version;
    r.prompt = "prompt of " + key;
    r.max_tokens = answer_tokens;
    return r;
}

void require_complete_answer(streaming_caller& caller, std::string const& key)
{
    bool const ended = caller.wait(wait_limit);
    auto const result = caller.result();
    INFO("error code: " << result.error_code);
    REQUIRE(ended);
    expected_answer const expected(
        local_fleet::model_version, "prompt of " + key);
    REQUIRE(result.text == expected.text(answer_tokens));
}

unsigned run_count(local_fleet const& fleet, std::string const& key)
{
    unsigned runs = 0;
    json const stats =
        json::parse(http_get(fleet.service_url(0) + "/admin/runs").body);
    for (auto const& item : stats.at("runs").items())
    {
        if (item.key().find(key) != std::string::npos)
            runs += item.value().get<unsigned>();
    }
    return runs;
}

/// @param name  name of the counter
unsigned
link_counter(local_fleet const& fleet, std::size_t link, char const* name)
{
    json const stats =
        json::parse(http_get(fleet.link_url(link) + "/admin/stats").body);
    return stats.at(name).get<unsigned>();
}

struct stream_fault
{
    char const* name;
    std::function<void(local_fleet&, streaming_caller&)> inject;
    std::function<void(local_fleet&)> undo; // before waiting for the end
};

void no_undo(local_fleet&) {}

} // namespace

// Guards against lost, repeated or spliced tokens when a process is killed or
// paused in the middle of a stream.
TEST_CASE("a stream survives the loss or pause of a process")
{
    auto const fault = GENERATE(values<stream_fault>({
        {"engine killed",
         [](local_fleet& f, streaming_caller&)
         { f.engine(f.busy_engine(wait_limit)).signal(SIGKILL); },
         no_undo},
        {"engine paused permanently",
         [](local_fleet& f, streaming_caller&)
         { f.engine(f.busy_engine(wait_limit)).signal(SIGSTOP); },
         no_undo},
        {"agent killed",
         [](local_fleet& f, streaming_caller&)
         { f.agent(f.busy_engine(wait_limit)).signal(SIGKILL); },
         no_undo},
        {"agent paused permanently",
         [](local_fleet& f, streaming_caller&)
         { f.agent(f.busy_engine(wait_limit)).signal(SIGSTOP); },
         no_undo},
        {"agent and engine killed",
         [](local_fleet& f, streaming_caller&)
         {
             std::size_t const busy = f.busy_engine(wait_limit);
             f.agent(busy).signal(SIGKILL);
             f.engine(busy).signal(SIGKILL);
         },
         no_undo},
        {"router killed",
         [](local_fleet& f, streaming_caller&) { f.router(0).signal(SIGKILL); },
         no_undo},
        {"router paused, caller reconnects, router resumes",
         [](local_fleet& f, streaming_caller& c)
         {
             f.router(0).signal(SIGSTOP);
             c.cut_connection();
             REQUIRE(c.wait_for_tokens(mid_stream_tokens + 20, wait_limit));
             f.router(0).signal(SIGCONT);
         },
         no_undo},
        {"caller's connection cut",
         [](local_fleet&, streaming_caller& c) { c.cut_connection(); },
         no_undo},
        {"router, agent and engine killed together",
         [](local_fleet& f, streaming_caller&)
         {
             std::size_t const busy = f.busy_engine(wait_limit);
             f.router(0).signal(SIGKILL);
             f.agent(busy).signal(SIGKILL);
             f.engine(busy).signal(SIGKILL);
         },
         no_undo},
    }));
    INFO(fault.name);
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, small_fleet());
    streaming_caller caller(request_to(fleet, "stream"));
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens, wait_limit));
    fault.inject(fleet, caller);
    require_complete_answer(caller, "stream");
}

// Guards against a stalled answer or repeated work when the connection between
// router and agent goes silent while new connections work.
TEST_CASE("a silent connection is replaced without repeating work")
{
    auto options = small_fleet();
    options.links = true;
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, options);
    streaming_caller caller(request_to(fleet, "silent"));
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens, wait_limit));
    std::size_t const busy = fleet.busy_engine(wait_limit);
    REQUIRE(
        http_post(fleet.link_url(busy) + "/admin/fault", R"({"silence":true})")
            .status == 200);
    require_complete_answer(caller, "silent");
    auto const stats =
        json::parse(http_get(fleet.engine_url(busy) + "/admin/stats").body);
    REQUIRE(stats.at("tokens_produced") == answer_tokens);
    REQUIRE(caller.result().reconnects == 0);
    REQUIRE(link_counter(fleet, busy, "lost_bytes") > 0); // took effect
}

// Guards against a stalled answer when its endpoint is partitioned.
TEST_CASE("a partitioned endpoint is replaced by another")
{
    auto options = small_fleet();
    options.links = true;
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, options);
    streaming_caller caller(request_to(fleet, "cut"));
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens, wait_limit));
    std::size_t const busy = fleet.busy_engine(wait_limit);
    http_post(fleet.link_url(busy) + "/admin/fault", R"({"partition":true})");
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens + 30, wait_limit));
    http_post(fleet.link_url(busy) + "/admin/fault", R"({"partition":false})");
    require_complete_answer(caller, "cut");
    REQUIRE(link_counter(fleet, busy, "held_bytes") > 0); // took effect
}

// Guards against stale tokens from an agent that resumes after a pause.
TEST_CASE("an agent that resumes after a pause does not affect the stream")
{
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, small_fleet());
    streaming_caller caller(request_to(fleet, "returning"));
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens, wait_limit));
    std::size_t const busy = fleet.busy_engine(wait_limit);
    fleet.agent(busy).signal(SIGSTOP);
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens + 20, wait_limit));
    fleet.agent(busy).signal(SIGCONT);
    require_complete_answer(caller, "returning");
    REQUIRE(caller.result().reconnects == 0);
}

// Guards against a graceful shutdown that interrupts a stream or never ends.
TEST_CASE("a graceful shutdown finishes the streams in flight")
{
    auto const [name, stops_router] = GENERATE(table<std::string, bool>(
        {{"router stops", true}, {"agent stops", false}}));
    INFO(name);
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, small_fleet());
    streaming_caller caller(request_to(fleet, "graceful"));
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens, wait_limit));
    auto& stopping = stops_router ? fleet.router(0)
                                  : fleet.agent(fleet.busy_engine(wait_limit));
    stopping.signal(SIGTERM);
    require_complete_answer(caller, "graceful");
    REQUIRE(caller.result().reconnects == 0);
    REQUIRE(stopping.wait(wait_limit) == 0);
}

// Guards against new work for a draining endpoint, and against a drain that
// interrupts work in flight. With a single engine no other endpoint can take
// the later request, so an ineffective drain is detected.
TEST_CASE("a draining endpoint finishes its work and gets no new work")
{
    auto options = small_fleet();
    options.engines = 1;
    // Reports are rarer than a request may wait, so the router must learn of
    // drain and return from the change itself.
    options.policy = "  ranks:\n    standard:\n      waiting_limit_ms: 1000\n"
                     "  recovery:\n    report_interval_ms: 2000\n";
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, options);
    streaming_caller caller(request_to(fleet, "drained"));
    REQUIRE(caller.wait_for_tokens(mid_stream_tokens, wait_limit));
    auto const drain = fleet.start_ctl(
        {"endpoint", "drain", "e1", "--reason", "process test"});
    bool const seen = drain->wait_for_log("draining, in flight", wait_limit);
    INFO(drain->log());
    REQUIRE(seen);
    auto const runs = [&]
    {
        return json::parse(
                   http_get(fleet.engine_url(0) + "/admin/stats").body)["runs"]
            .get<unsigned>();
    };
    streaming_caller refused(request_to(fleet, "refused"));
    REQUIRE(refused.wait(wait_limit));
    REQUIRE(!refused.result().error_code.empty());
    REQUIRE(runs() == 1);
    require_complete_answer(caller, "drained");
    REQUIRE(caller.result().reconnects == 0);
    REQUIRE(drain->wait(wait_limit) == 0);

    auto const back = fleet.start_ctl(
        {"endpoint", "return", "e1", "--reason", "process test"});
    REQUIRE(back->wait(wait_limit) == 0);
    streaming_caller later(request_to(fleet, "later"));
    require_complete_answer(later, "later");
    REQUIRE(runs() == 2);
}

// Guards against a second run of a non-repeatable call, and against the outcome
// "not run" while the key's row cannot be read.
TEST_CASE("a non-repeatable call runs at most once")
{
    struct call_fault
    {
        char const* name;
        char const* service_fault; // body for /admin/fault
        char const* table_fault;
        char const* code; // of the first answer; empty: 200
        unsigned runs;    // after the first answer
    };
    auto const row = GENERATE(values<call_fault>({
        {"no fault", "{}", "{}", "", 1},
        {"answer lost after the run", R"({"lose_answers":true})", "{}",
         "outcome_unknown", 1},
        {"store down", "{}", R"({"down":true})", "store_unavailable", 0},
        {"store silent", "{}", R"({"silent":true})", "outcome_unknown", 0},
    }));
    INFO(row.name);
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, small_fleet());
    http_post(fleet.service_url(0) + "/admin/fault", row.service_fault);
    http_post(fleet.table_url() + "/admin/fault", row.table_fault);
    std::vector<std::string> const headers = {
        std::string("Authorization: Bearer ") + local_fleet::api_key,
        "Idempotency-Key: once"};
    std::string const path = "/v1/services/orders/book";
    auto const code_of = [](simple_response const& r)
    {
        return r.status == 200
                   ? std::string()
                   : json::parse(r.body)["error"]["code"].get<std::string>();
    };
    auto const first = http_post(fleet.router_url(0) + path, "{}", headers);
    INFO(first.body);
    REQUIRE(code_of(first) == row.code);
    REQUIRE(run_count(fleet, "once") == row.runs);

    // After the faults, the other router's answer must match the actual runs.
    http_post(
        fleet.table_url() + "/admin/fault", R"({"down":false,"silent":false})");
    auto const again = http_post(fleet.router_url(1) + path, "{}", headers);
    INFO(again.body);
    unsigned const runs = run_count(fleet, "once");
    REQUIRE(runs <= 1);
    REQUIRE((again.status != 200 || runs == 1));
    REQUIRE((code_of(again) != "not_run" || runs == 0));
}

// Guards against an answer returned to another organisation that uses the same
// idempotency key.
TEST_CASE("equal keys of two organisations are different requests")
{
    local_fleet fleet(DOTTERELLOCK_BINARY_DIR, small_fleet());
    auto request = request_to(fleet, "shared");
    streaming_caller first(request);
    request.api_key = local_fleet::other_api_key;
    request.prompt = "another prompt";
    streaming_caller second(request);
    require_complete_answer(first, "shared");
    REQUIRE(second.wait(wait_limit));
    expected_answer const expected(
        local_fleet::model_version, "another prompt");
    REQUIRE(second.result().text == expected.text(answer_tokens));
}

// Guards against invalid input that crashes a router or gets an unspecific
// error.
TEST_CASE("invalid input gets a stable error code and the router stays up")
{
    static local_fleet fleet(DOTTERELLOCK_BINARY_DIR, small_fleet());
    std::string const good_key =
        std::string("Authorization: Bearer ") + local_fleet::api_key;
    auto const [path, body, authorization, status, code] = GENERATE_REF(
        table<std::string, std::string, std::string, int, std::string>({
            {"/v1/completions", "{", good_key, 400, "invalid_argument"},
            {"/v1/completions", "[]", good_key, 400, "invalid_argument"},
            {"/v1/completions", R"({"model":"m@1","prompt":7})", good_key, 400,
             "invalid_argument"},
            {"/v1/completions", R"({"model":"x@1","prompt":"p"})", good_key,
             404, "unknown_model"},
            {"/v1/completions", R"({"model":"m@1","prompt":"p"})",
             "Authorization: Bearer nobody", 401, "unauthorised"},
            {"/v1/services/none/op", "{}", good_key, 404, "unknown_service"},
            {"/v1/services/orders/book", "{}", good_key, 400,
             "invalid_argument"}, // no idempotency key
        }));
    auto const answer =
        http_post(fleet.router_url(0) + path, body, {authorization});
    INFO(answer.body);
    REQUIRE(answer.status == status);
    REQUIRE(json::parse(answer.body)["error"]["code"] == code);
    REQUIRE(http_get(fleet.router_url(0) + "/healthz").status == 200);
}
