// Index: questions; answers; transport.
#include <sstream>

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "ctl/placement_command.hpp"
#include "relay/placement_query_codec.hpp"

using namespace dotterellock;
using std::chrono::milliseconds;

namespace
{

struct scripted_gateway : status_reader
{
    void read(std::string t, std::function<void(status_answer)> done) override
    {
        target = std::move(t);
        done(answer);
    }

    std::string target;
    status_answer answer;
};

struct command_result
{
    ctl_exit code = ctl_exit::internal;
    std::string out;
    std::string err;
    std::string target;
};

command_result ask(status_answer answer, std::vector<std::string> words = {})
{
    words.insert(words.begin(), {"where", "--route", "llm"});
    scripted_gateway gateway;
    gateway.answer = std::move(answer);
    std::ostringstream out;
    std::ostringstream err;
    auto const options = parse_ctl_options(words);
    REQUIRE(is_gateway_command(options));
    command_result r;
    r.code = run_gateway_command(
        options, gateway, [](auto const& done) { REQUIRE(done()); }, out, err);
    r.out = out.str();
    r.err = err.str();
    r.target = gateway.target;
    return r;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

placement_explanation explanation()
{
    placement_explanation e;
    e.outcome = placement_outcome::placed;
    e.configuration_version = 7;
    e.configuration_age = milliseconds(120);
    e.route = "llm";
    e.kind = "resumable_stream";
    e.service = service_name("llm");
    e.targets = {{service_name("llm"), 9}, {service_name("new"), 1}};
    e.organisation = organisation_id("acme");
    e.choices = {endpoint_id("m1"), endpoint_id("m2")};
    e.expected_start = duration::zero();
    e.expected_first_event = milliseconds(1600);
    e.retry_available = true;
    e.tie_by_request_id = true;
    explained_candidate c;
    c.endpoint = endpoint_id("m1");
    c.zone = zone_id("near");
    c.load = {3, 30000, 0};
    c.report_age = milliseconds(300);
    explained_candidate paused = c;
    paused.endpoint = endpoint_id("m9");
    paused.excluded_by = endpoint_exclusion::paused;
    paused.excluded_for = milliseconds(700);
    e.candidates = {c, paused};
    e.candidates_left_out = 5;
    e.counts = {{endpoint_exclusion::none, 6}, {endpoint_exclusion::paused, 1}};
    return e;
}

} // namespace

// Questions -----------------------------------------------------------------

// Guards against options that do not reach the gateway, or change on the way.
TEST_CASE("where sends its options as parameters", "[ctl][placement]")
{
    auto const options = parse_ctl_options(
        {"where", "--host", "h", "--path", "/llm/x?a&b", "--organisation",
         "acme ltd", "--prompt-tokens", "8000", "--output-tokens", "650",
         "--last-part", "p,1", "--shared-parts", "a,b", "--deadline-ms", "9000",
         "--service", "s"});
    auto const parsed =
        parse_placement_query(placement_target(options.placement));
    REQUIRE(std::holds_alternative<placement_query>(parsed));
    auto const& q = std::get<placement_query>(parsed);
    REQUIRE(q.host == "h");
    REQUIRE(q.path == "/llm/x");
    REQUIRE(q.organisation.value() == "acme ltd");
    REQUIRE(q.prompt_tokens == 8000);
    REQUIRE(q.output_tokens == 650);
    REQUIRE(q.last_prompt_part == "p,1");
    REQUIRE(q.shared_parts == std::vector<std::string>{"a", "b"});
    REQUIRE(q.deadline == milliseconds(9000));
    REQUIRE(q.service == "s");
}

// Guards against a way to pass an API key on a command line, where other
// processes and the shell's history show it.
TEST_CASE("where takes no key", "[ctl][placement]")
{
    auto const option = GENERATE(
        as<std::string>{}, "--key", "--api-key", "--api_key", "--token");
    REQUIRE_THROWS_AS(
        parse_ctl_options({"where", "--route", "llm", option, "KEY"}),
        usage_error);
    REQUIRE_THROWS_AS(parse_ctl_options({"where", "KEY"}), usage_error);
}

// Answers -------------------------------------------------------------------

// Guards against a text that leaves out what the operator asked for.
TEST_CASE("where prints a placement", "[ctl][placement]")
{
    auto const r = ask({200, format_explanation(explanation()), {}});
    REQUIRE(r.code == ctl_exit::ok);
    REQUIRE(r.err.empty());
    REQUIRE(r.target == "/where?route=llm");
    for (auto const* part :
         {"placed at m1; further attempts: m2\n", "configuration 7, proven 120",
          "service llm, organisation acme, rank 0", "llm 9 new 1",
          "without --last-part", "first event: 1600 ms", "a repeat is possible",
          "2 listed, 5 left out", "6 can take it", "1 asked for a pause",
          "asked for a pause, 700 ms left"})
    {
        INFO(part << "\n" << r.out);
        REQUIRE(contains(r.out, part));
    }
}

// Guards against a text for the other outcomes that hides when the request
// starts or why it does not.
TEST_CASE("where prints a queue and a refusal", "[ctl][placement]")
{
    auto e = explanation();
    e.choices.clear();
    e.outcome = placement_outcome::queued;
    e.expected_start = milliseconds(800);
    e.latest_start = milliseconds(11000);
    e.queue = {5, 3, milliseconds(800), {}};
    auto const queued = ask({200, format_explanation(e), {}});
    REQUIRE(contains(
        queued.out, "queued; expected start: 800 ms, refused if later than "
                    "11000 ms"));
    REQUIRE(contains(queued.out, "queue: 5 waiting, 3 of the same"));
    REQUIRE(!contains(queued.out, "waits"));
    for (auto const& [cause, text] :
         {std::pair(wait_cause::others, "waits behind other requests\n"),
          std::pair(wait_cause::endpoint, "waits for an endpoint"),
          std::pair(wait_cause::room, "waits for room")})
    {
        e.waits_for = cause;
        REQUIRE(contains(ask({200, format_explanation(e), {}}).out, text));
    }
    e.waits_for = wait_cause::none;

    e.outcome = placement_outcome::refused;
    e.refusal = {503, "quarantined_prompt", "why", milliseconds(4000)};
    auto const refused = ask({200, format_explanation(e), {}});
    REQUIRE(refused.code == ctl_exit::ok);
    REQUIRE(contains(
        refused.out,
        "refused: 503 quarantined_prompt (why), retry after 4000 ms"));
    e.refusal->max_retry_after = milliseconds(9000);
    e.counts = {{endpoint_exclusion::full, 2}};
    auto const drawn = ask({200, format_explanation(e), {}});
    REQUIRE(contains(drawn.out, "retry after 4000 to 9000 ms"));
    REQUIRE(contains(drawn.out, "2 refused calls"));
    auto const unknown = ask({200, format_explanation({}), {}});
    REQUIRE(unknown.code == ctl_exit::unavailable); // a refusal without reason
}

// Guards against JSON that differs from the gateway's.
TEST_CASE("where --json prints the gateway's answer", "[ctl][placement]")
{
    auto const body = format_explanation(explanation());
    auto const r = ask({200, body, {}}, {"--json"});
    REQUIRE(r.code == ctl_exit::ok);
    REQUIRE(nlohmann::json::parse(r.out) == nlohmann::json::parse(body));
}

// Guards against an answer that moves the cursor of the operator's terminal.
TEST_CASE("where prints no control characters of names", "[ctl][placement]")
{
    auto e = explanation();
    e.choices = {endpoint_id("m\x1b[2J1")};
    e.candidates.front().endpoint = endpoint_id("m\x1b[2J1");
    auto const r = ask({200, format_explanation(e), {}});
    REQUIRE(contains(r.out, "placed at m?[2J1"));
    REQUIRE(!contains(r.out, "\x1b"));
}

// Guards against a failure that looks like an answer to scripts.
TEST_CASE("where fails with a code and a message", "[ctl][placement]")
{
    struct row
    {
        status_answer answer;
        ctl_exit code;
        char const* message;
    };
    auto const r = GENERATE(values<row>({
        {{400, format_query_fault({"route", "is empty"}), {}},
         ctl_exit::usage,
         "route is empty"},
        {{400, "x", {}}, ctl_exit::usage, "did not accept"},
        {{429, {}, {}}, ctl_exit::unavailable, "at most 5"},
        {{404, {}, {}}, ctl_exit::unavailable, "answered 404"},
        {{0, {}, "refused"},
         ctl_exit::unavailable,
         "no answer from the gateway: refused"},
        {{200, "ready\n", {}}, ctl_exit::unavailable, "another version"},
        {{200, "{}", {}}, ctl_exit::unavailable, "another version"},
        {{200, std::string(60000, '['), {}},
         ctl_exit::unavailable,
         "another version"},
    }));
    auto const result = ask(r.answer);
    REQUIRE(result.code == r.code);
    REQUIRE(result.out.empty());
    INFO(result.err);
    REQUIRE(contains(result.err, r.message));
}

// Transport -----------------------------------------------------------------

// Guards against a reader that never answers, and against a wrong target.
TEST_CASE("a status page is read over HTTP", "[ctl][placement]")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    auto const url =
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
        "/";
    counter_registry counters;
    curl_executor curl(counters);
    http_status_reader reader(
        url, curl,
        [&io](std::function<void()> f) { asio::post(io, std::move(f)); });
    std::optional<status_answer> answer;
    reader.read("/where?route=a%20b", [&](status_answer a) { answer = a; });
    asio::ip::tcp::socket server(io);
    acceptor.accept(server);
    std::string request;
    asio::read_until(server, asio::dynamic_buffer(request), "\r\n\r\n");
    REQUIRE(contains(request, "GET /where?route=a%20b HTTP/1.1\r\n"));
    SECTION("answered")
    {
        asio::write(
            server, asio::buffer(std::string(
                        "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n"
                        "\r\nno")));
    }
    SECTION("closed")
    {
        server.close();
    }
    auto const work = asio::make_work_guard(io);
    while (!answer)
        io.run_one();
    REQUIRE((answer->status == 400 || answer->status == 0));
    REQUIRE(answer->body == (answer->status == 400 ? "no" : ""));
    REQUIRE(answer->detail.empty() == (answer->status == 400));
}
