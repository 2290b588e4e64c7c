#include <catch2/catch.hpp>

#include "pipeline_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using request_edit = std::function<void(server_request&)>;

request_edit with_header(std::string const& name, std::string const& value)
{
    return [=](server_request& request) { request.headers[name] = value; };
}

request_edit without_header(std::string const& name)
{
    return [=](server_request& request) { request.headers.erase(name); };
}

request_edit with_body(std::string const& text)
{
    return [=](server_request& request) { request.body = text; };
}

request_edit with_path(std::string const& text)
{
    return [=](server_request& request) { request.path = text; };
}

std::string nested_body(unsigned depth)
{
    return R"({"model":"m","prompt":"p","x":)" + std::string(depth, '[') +
           std::string(depth, ']') + "}";
}

struct rejection_case
{
    char const* what;
    bool is_call;
    request_edit apply;
    int status;
    char const* code;
};

} // namespace

// Guards against an invalid, unauthorised or oversized request that reaches a
// service, or that is rejected without a reason.
TEST_CASE("rejected requests get a status and a stable error code")
{
    auto const row = GENERATE(values<rejection_case>({
        {"no API key", false, without_header("authorization"), 401,
         "unauthorised"},
        {"wrong API key", false, with_header("authorization", "Bearer x"), 401,
         "unauthorised"},
        {"unknown path", false, with_path("/v1/other"), 400,
         "invalid_argument"},
        {"unsupported method", false,
         [](server_request& request) { request.method = "GET"; }, 400,
         "invalid_argument"},
        {"invalid JSON", false, with_body("{"), 400, "invalid_argument"},
        {"not a JSON object", false, with_body("[]"), 400, "invalid_argument"},
        {"nested too deeply", false, with_body(nested_body(17)), 400,
         "invalid_argument"},
        {"body too large", false, with_body(std::string(5000, ' ')), 413,
         "payload_too_large"},
        {"no prompt", false, with_body(R"({"model":"m"})"), 400,
         "invalid_argument"},
        {"no model", false, with_body(R"({"prompt":"p"})"), 400,
         "invalid_argument"},
        {"unknown model", false, with_body(R"({"model":"x","prompt":"p"})"),
         404, "unknown_model"},
        {"max_tokens 0", false,
         with_body(R"({"model":"m","prompt":"p","max_tokens":0})"), 400,
         "invalid_argument"},
        {"max_tokens -1", false,
         with_body(R"({"model":"m","prompt":"p","max_tokens":-1})"), 400,
         "invalid_argument"},
        {"max_tokens above the limit", false,
         with_body(R"({"model":"m","prompt":"p","max_tokens":1001})"), 400,
         "invalid_argument"},
        {"temperature above 2", false,
         with_body(R"({"model":"m","prompt":"p","temperature":3})"), 400,
         "invalid_argument"},
        {"n above 1", false, with_body(R"({"model":"m","prompt":"p","n":2})"),
         400, "invalid_argument"},
        {"unsupported field", false,
         with_body(R"({"model":"m","prompt":"p","stop":"x"})"), 400,
         "invalid_argument"},
        {"unknown rank", false, with_header("x-rank", "first"), 400,
         "invalid_argument"},
        {"key with a space", false, with_header("idempotency-key", "a b"), 400,
         "invalid_argument"},
        {"key too long", false,
         with_header("idempotency-key", std::string(201, 'k')), 400,
         "invalid_argument"},
        {"malformed event id", false, with_header("last-event-id", "x"), 400,
         "invalid_argument"},
        {"operation not configured", true, with_path("/v1/services/svc/other"),
         404, "unknown_service"},
        {"configured name is only a prefix of the segment", true,
         with_path("/v1/services/svc/lookup"), 404, "unknown_service"},
        {"empty operation", true, with_path("/v1/services/svc/"), 400,
         "invalid_argument"},
        {"path traversal", true, with_path("/v1/services/svc/look/../book"),
         400, "invalid_argument"},
        {"percent-encoded path traversal", true,
         with_path("/v1/services/svc/look/%2e%2E/book"), 400,
         "invalid_argument"},
        {"non-repeatable call without a key", true,
         without_header("idempotency-key"), 400, "invalid_argument"},
    }));
    INFO(row.what);
    pipeline_fixture f;
    server_request request = row.is_call ? f.call("book") : f.completion();
    row.apply(request);
    auto const sink = f.send(std::move(request));
    REQUIRE(sink->output.status == row.status);
    REQUIRE(sink->error_code() == row.code);
    REQUIRE(sink->responses == 1);
    REQUIRE(f.generations.started.empty());
    REQUIRE(f.calls.calls.empty());
}

// Guards against a retry delay that does not reach the caller.
TEST_CASE("rejection by admission control sets Retry-After")
{
    pipeline_fixture f;
    f.admission.refuse = true;
    auto const sink = f.send(f.completion());
    REQUIRE(sink->output.status == 429);
    REQUIRE(sink->error_code() == "rate_limited");
    REQUIRE(sink->header("Retry-After") == "2");
}

// Guards against fields that do not reach the engine, and against idempotency
// keys that collide between organisations.
TEST_CASE("a completion reaches the generation service with its fields")
{
    pipeline_fixture f;
    f.send(f.completion(
        R"(,"max_tokens":9,"temperature":0.5,"seed":3,"stream":true)"));
    f.send(f.completion());
    auto other = f.completion();
    other.headers["authorization"] = "Bearer key-b";
    f.send(other);
    REQUIRE(f.generations.started.size() == 3);
    auto const& g = f.generations.started[0];
    REQUIRE(g.request.value() == "a/k");
    REQUIRE(to_string(g.model) == "m@7");
    REQUIRE(g.prompt == "p");
    REQUIRE(g.sampling.max_tokens == 9);
    REQUIRE(g.sampling.temperature == 0.5);
    REQUIRE(g.sampling.seed == 3);
    // A repeated request must use the same seed on every router.
    auto const& repeated = f.generations.started[1];
    REQUIRE(repeated.sampling.max_tokens == 100);
    REQUIRE(repeated.sampling.seed != 0);
    REQUIRE(f.generations.started[2].request.value() == "b/k");
    REQUIRE(f.generations.started[2].sampling.seed != repeated.sampling.seed);
}

// Guards against a caller that exceeds the highest rank of its organisation,
// and against a requested rank that is ignored.
TEST_CASE("rank precedence is the caller, its settings, then the policy")
{
    auto const [key, wanted, expected] =
        GENERATE(table<std::string, std::string, rank>({
            {"key-a", "", rank::urgent},
            {"key-a", "background", rank::background},
            {"key-b", "", rank::background},
            {"key-b", "standard", rank::standard},
            {"key-b", "urgent", rank::standard},
        }));
    pipeline_fixture f;
    auto request = f.completion();
    request.headers["authorization"] = "Bearer " + key;
    if (!wanted.empty())
        request.headers["x-rank"] = wanted;
    f.send(request);
    REQUIRE(f.generations.started.at(0).rank == expected);
    REQUIRE(f.admission.last_rank == expected);
}

// Guards against a stream with malformed events, wrong ids or no end marker.
TEST_CASE("tokens are streamed as server-sent events with ids")
{
    pipeline_fixture f;
    auto request = f.completion(R"(,"stream":true,"version":"7")");
    bool const chat = GENERATE(false, true);
    if (chat)
    {
        request.path = "/v1/chat/completions";
        request.body =
            R"({"model":"m@7","stream":true,"messages":[{"role":"user","content":"p"}]})";
    }
    auto const sink = f.send(request);
    REQUIRE(sink->responses == 0);
    f.generations.listener->on_tokens(0, {"x", "\"\n"}, "1.2.tail");
    f.generations.listener->on_finished(finish_reason::stop, 2);
    REQUIRE(sink->responses == 1);
    REQUIRE(sink->ends == 1);
    REQUIRE(sink->stream.find("id: 1.2.tail\ndata: {") == 0);
    std::string const text =
        chat ? R"("delta":{"content":"x\"\n"})" : R"("text":"x\"\n")";
    REQUIRE(sink->stream.find(text) != std::string::npos);
    REQUIRE(
        sink->stream.find(R"("finish_reason":"stop")") != std::string::npos);
    std::string const end = "\n\ndata: [DONE]\n\n";
    REQUIRE(sink->stream.rfind(end) == sink->stream.size() - end.size());
    if (chat)
    {
        REQUIRE(f.generations.started.at(0).prompt == "user: p\nassistant:");
    }
}

// Guards against a response that is split, truncated or sent twice.
TEST_CASE("a non-streamed response is one JSON body")
{
    pipeline_fixture f;
    auto const sink = f.send(f.completion());
    f.generations.listener->on_tokens(0, {"a", "b"}, "id");
    f.generations.listener->on_tokens(2, {"c"}, "id");
    REQUIRE(sink->responses == 0);
    f.generations.listener->on_finished(finish_reason::length, 3);
    REQUIRE(sink->responses == 1);
    auto const answer = nlohmann::json::parse(sink->output.body);
    REQUIRE(answer["choices"][0]["text"] == "abc");
    REQUIRE(answer["choices"][0]["finish_reason"] == "length");
    REQUIRE(answer["usage"]["completion_tokens"] == 3);
}

// Guards against an error that callers cannot tell from a complete response.
TEST_CASE("errors are an HTTP status before the first token, then an event")
{
    pipeline_fixture f;
    error const failure(error_code::no_endpoint, "place", "agent/e", "none");
    bool const begun = GENERATE(false, true);
    auto const sink = f.send(f.completion(R"(,"stream":true)"));
    if (begun)
        f.generations.listener->on_tokens(0, {"x"}, "id");
    f.generations.listener->on_error(failure);
    REQUIRE(sink->responses == 1);
    if (!begun)
    {
        REQUIRE(sink->output.status == 503);
        REQUIRE(sink->error_code() == "no_endpoint");
        REQUIRE(sink->ends == 0);
        return;
    }
    REQUIRE(sink->ends == 1);
    REQUIRE(
        sink->stream.find("event: error\ndata: {\"error\":{\"code\":"
                          "\"no_endpoint\"") != std::string::npos);
    REQUIRE(sink->stream.find("[DONE]") == std::string::npos);
}

// Guards against a keep-alive timer that starts the stream of a request that
// was rejected.
TEST_CASE("a stream that cannot start gets one response")
{
    pipeline_fixture f;
    f.generations.refuse = true;
    auto const sink = f.send(f.completion(R"(,"stream":true)"));
    REQUIRE(sink->error_code() == "shutting_down");
    f.scheduler.advance(milliseconds(11000));
    REQUIRE(sink->responses == 1);
    REQUIRE(sink->stream.empty());
}

// Guards against proxies that close an idle stream, and against comments on a
// stream that is not idle.
TEST_CASE("an idle stream gets a comment every five seconds")
{
    pipeline_fixture f;
    auto const sink = f.send(f.completion(R"(,"stream":true)"));
    f.scheduler.advance(milliseconds(4999));
    REQUIRE(sink->stream.empty());
    f.scheduler.advance(milliseconds(1));
    REQUIRE(sink->stream == ": keep-alive\n\n");
    f.generations.listener->on_tokens(0, {"x"}, "id");
    auto const length = sink->stream.size();
    f.scheduler.advance(milliseconds(5000));
    REQUIRE(sink->stream.size() == length);
    f.scheduler.advance(milliseconds(5000));
    REQUIRE(sink->stream.size() > length);
    f.generations.listener->on_finished(finish_reason::stop, 1);
    auto const total = sink->stream.size();
    f.scheduler.advance(milliseconds(20000));
    REQUIRE(sink->stream.size() == total);
}

// Guards against buffers that grow for a caller that does not read: progress
// counts bytes that were sent, not bytes passed to the connection.
TEST_CASE("progress is reported once bytes are sent, not before")
{
    pipeline_fixture f;
    auto const sink = f.send(f.completion(R"(,"stream":true)"));
    f.generations.listener->on_tokens(0, {"x"}, "id");
    f.generations.listener->on_tokens(1, {"y", "z"}, "id");
    f.scheduler.advance(duration{});
    REQUIRE(f.generations.progress.empty());
    sink->flush();
    f.scheduler.advance(duration{});
    REQUIRE(f.generations.progress == std::vector<token_index>{3});
}

// Guards against an engine that keeps running for a disconnected caller, and
// against writes to the closed connection.
TEST_CASE("a disconnected caller is detached once")
{
    pipeline_fixture f;
    bool const early = GENERATE(false, true); // before the shard has run
    auto const sink = std::make_shared<recording_sink>();
    auto const e = f.pipeline.handle(f.completion(R"(,"stream":true)"), sink);
    if (early)
        e->on_caller_disconnected();
    f.scheduler.advance(duration{});
    e->on_caller_disconnected();
    e->on_caller_disconnected();
    f.scheduler.advance(duration{});
    if (!early)
        f.generations.listener->on_tokens(0, {"x"}, "id");
    REQUIRE(sink->stream.empty());
    REQUIRE(f.generations.started.size() == 1);
    REQUIRE(f.generations.detached.size() == 1);
}

// Guards against a generation that resumes with another model version, or at
// another token, than the caller received.
TEST_CASE("Last-Event-ID resumes the same version at the next token")
{
    pipeline_fixture f;
    auto const sink = f.send(f.completion(R"(,"stream":true)"));
    f.generations.listener->on_tokens(
        0, {"x", "y"}, encode_event_id({2, {"y"}, 5}));
    std::string const stream = sink->stream;
    std::string const id = stream.substr(4, stream.find('\n') - 4);

    auto again = f.completion(R"(,"stream":true)");
    again.headers["last-event-id"] = id;
    f.models.version = "8";    // a rollout in between
    f.admission.refuse = true; // must not apply to a resumed request
    f.send(again);
    REQUIRE(f.generations.resumed_from.size() == 1);
    auto const& from = f.generations.resumed_from[0];
    REQUIRE(from.next_index == 2);
    REQUIRE(from.tail == std::vector<std::string>{"y"});
    REQUIRE(from.epoch == 5);
    REQUIRE(f.generations.started[1].model.version == "7");

    again.body = R"({"model":"m@8","prompt":"p","stream":true})";
    REQUIRE(f.send(again)->error_code() == "invalid_argument");
    again.body = f.completion().body;
    again.headers.erase("idempotency-key");
    REQUIRE(f.send(again)->error_code() == "invalid_argument");
}

// Guards against call outcomes that callers cannot tell apart.
TEST_CASE("call outcomes map to HTTP statuses")
{
    auto const [outcome, reason, inner, retry, status, advice] =
        GENERATE(table<call_outcome, error_code, int, int, int, std::string>({
            {call_outcome::done, error_code::internal_error, 201, 0, 201, ""},
            {call_outcome::done, error_code::internal_error, 500, 0, 500, ""},
            {call_outcome::not_run, error_code::not_run, 0, 0, 503, ""},
            {call_outcome::refused, error_code::store_unavailable, 0, 100, 503,
             "1"},
            {call_outcome::refused, error_code::overloaded, 0, 2000, 429, "2"},
            {call_outcome::refused, error_code::key_reused, 0, 0, 422, ""},
            {call_outcome::unknown, error_code::outcome_unknown, 0, 0, 504,
             "1"},
            {call_outcome::unknown, error_code::outcome_unknown, 0, 3000, 504,
             "3"},
        }));
    bool const done = outcome == call_outcome::done;
    std::string const code = done ? "" : to_string(reason);
    pipeline_fixture f;
    auto const sink = f.send(f.call("book"));
    call_reply reply;
    reply.outcome = outcome;
    reply.code = reason;
    reply.status = inner;
    reply.retry_after = milliseconds(retry);
    reply.body = "answer";
    f.calls.done(reply);
    REQUIRE(sink->output.status == status);
    REQUIRE(sink->error_code() == code);
    REQUIRE(sink->header("Retry-After") == advice);
    REQUIRE((!done || sink->output.body == "answer"));
}

// Guards against a non-repeatable call that is retried as a repeatable one.
TEST_CASE("calls carry the configured policy of their operation")
{
    auto const [operation, name, repeatable, timeout] =
        GENERATE(table<std::string, std::string, bool, int>({
            {"book", "book", false, 700},
            {"book/5", "book", false, 700},
            {"look", "look", true, 300},
            {"look/5/6", "look", true, 300},
        }));
    pipeline_fixture f;
    auto request = f.call(operation);
    request.query = "q=1";
    request.method = "PUT";
    f.send(request);
    auto const& c = f.calls.calls.at(0);
    REQUIRE(c.request.value() == "a/k");
    REQUIRE(c.operation == name);
    REQUIRE(c.path == "/" + operation + "?q=1");
    REQUIRE(c.method == "PUT");
    REQUIRE(c.repeatable == repeatable);
    REQUIRE(c.timeout == milliseconds(timeout));
}

// Guards against new requests on a router that is shutting down or is not
// ready.
TEST_CASE("readiness ends on expiry and when a shutdown begins")
{
    pipeline_fixture f;
    server_request probe;
    probe.method = "GET";
    probe.path = "/readyz";
    f.pipeline.set_ready_until(f.scheduler.now() + milliseconds(100));
    REQUIRE(f.send(probe)->output.status == 200);
    f.scheduler.jump(milliseconds(101)); // a paused process
    REQUIRE(f.send(probe)->output.status == 503);
    REQUIRE(f.send(f.completion())->error_code() == "store_unavailable");
    f.pipeline.set_ready_until(steady_time::max());
    REQUIRE(f.send(probe)->output.status == 200);
    f.pipeline.begin_shutdown();
    REQUIRE(f.send(probe)->output.status == 503);
    REQUIRE(f.send(f.completion())->error_code() == "shutting_down");
    probe.path = "/healthz";
    REQUIRE(f.send(probe)->output.status == 200);
    probe.path = "/metrics";
    REQUIRE(
        f.send(probe)->output.body.find("http_requests_total 2") !=
        std::string::npos);
}

// Guards against a crash, a hang or a missing response on malicious input.
TEST_CASE("random and corrupted requests get exactly one response")
{
    pipeline_fixture f;
    seeded_random random(42);
    std::vector<std::string> const valid_bodies = {
        f.completion(R"(,"stream":true,"max_tokens":5,"temperature":0.1)").body,
        R"({"model":"m","messages":[{"role":"u","content":"c"}],"seed":-1})",
        nested_body(3)};
    std::vector<std::string> const valid_paths = {
        "/v1/completions",
        "/v1/chat/completions",
        "/v1/services/svc/look",
        "/v1/services/",
        "/",
        ""};
    auto const mutate = [&](std::string text)
    {
        for (auto n = random.below(4); n > 0 && !text.empty(); --n)
        {
            auto const at = random.below(text.size());
            if (random.below(2) == 0)
                text[at] = static_cast<char>(random.below(256));
            else
                text.insert(at, text.substr(random.below(text.size())));
        }
        return text;
    };
    for (int i = 0; i < 5000; ++i)
    {
        auto request = f.completion();
        request.body = mutate(valid_bodies[random.below(valid_bodies.size())]);
        request.path = mutate(valid_paths[random.below(valid_paths.size())]);
        for (char const* name :
             {"idempotency-key", "last-event-id", "x-rank", "authorization"})
        {
            if (random.below(4) == 0)
                request.headers[name] = mutate("31~1.2.WyJ4Il0");
        }
        auto const before = f.generations.started.size() + f.calls.calls.size();
        auto const sink = f.send(request);
        bool const accepted =
            f.generations.started.size() + f.calls.calls.size() > before;
        REQUIRE(sink->responses + (accepted ? 1 : 0) == 1);
    }
}
