// The request pipeline with fake services: no sockets, a manual clock, and one
// shard whose posted functions run when the scheduler advances.
#ifndef DOTTERELLOCK_TESTS_PIPELINE_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_PIPELINE_FIXTURE_HPP

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <manual_scheduler.hpp>
#include <pipeline/admit.hpp>
#include <pipeline/classify.hpp>
#include <pipeline/identify.hpp>
#include <pipeline/parse.hpp>
#include <pipeline/request_pipeline.hpp>

namespace dotterellock::testing
{

struct recording_sink : response_sink
{
    void respond(server_response o) override
    {
        ++responses;
        output = std::move(o);
    }
    void begin_stream(http_headers h) override
    {
        ++responses;
        stream_headers = std::move(h);
    }
    void write(std::string bytes, std::function<void()> written) override
    {
        stream += bytes;
        if (written)
            pending_write_callbacks.push_back(std::move(written));
    }
    void end() override { ++ends; }

    /// Reports all bytes written so far as sent to the caller.
    void flush()
    {
        for (auto const& written : std::exchange(pending_write_callbacks, {}))
            written();
    }

    std::string error_code() const
    {
        auto const body = nlohmann::json::parse(output.body, nullptr, false);
        return body.is_object() && body.contains("error")
                   ? body["error"]["code"].get<std::string>()
                   : std::string{};
    }

    std::string header(std::string const& name) const
    {
        for (auto const& [n, value] : output.headers)
        {
            if (n == name)
                return value;
        }
        return {};
    }

    unsigned responses = 0;
    unsigned ends = 0;
    server_response output;
    http_headers stream_headers;
    std::string stream;
    std::vector<std::function<void()>> pending_write_callbacks;
};

struct recording_generation_service : generation_service
{
    void
    start(generation_request r, std::shared_ptr<generation_listener> l) override
    {
        listener = std::move(l);
        if (refuse)
            throw error(error_code::shutting_down, "start", "", "refused");
        started.push_back(std::move(r));
    }
    void resume(
        generation_request r, resume_point const& from,
        std::shared_ptr<generation_listener> l) override
    {
        resumed_from.push_back(from);
        start(std::move(r), std::move(l));
    }
    void detach(request_id const& r, generation_listener const& l) override
    {
        if (&l == listener.get())
            detached.push_back(r);
    }
    void caller_progress(request_id const&, token_index next) override
    {
        progress.push_back(next);
    }
    std::size_t open_generations() const override { return started.size(); }

    bool refuse = false;
    std::vector<generation_request> started;
    std::vector<resume_point> resumed_from;
    std::vector<request_id> detached;
    std::vector<token_index> progress;
    std::shared_ptr<generation_listener> listener;
};

struct recording_call_service : call_service
{
    void call(call_request r, std::function<void(call_reply)> d) override
    {
        calls.push_back(std::move(r));
        done = std::move(d);
    }
    std::size_t open_calls() const override { return calls.size(); }

    std::vector<call_request> calls;
    std::function<void(call_reply)> done;
};

struct fake_admission_control : admission_control
{
    void admit(
        organisation_id const&, dotterellock::rank r, model_ref const&) override
    {
        ++requests;
        last_rank = r;
        if (refuse)
        {
            throw error(
                error_code::rate_limited, "admit", "", "too many",
                milliseconds(1500));
        }
    }

    bool refuse = false;
    unsigned requests = 0;
    dotterellock::rank last_rank = rank::standard;
};

struct single_model_catalogue : model_catalogue
{
    std::string
    default_version(std::string const& name, std::string const&) const override
    {
        return name == "m" ? version : "";
    }

    std::string version = "7";
};

struct pipeline_fixture
{
    pipeline_fixture()
    {
        policy.settings.operations["svc/book"] = {false, milliseconds(700)};
        policy.settings.operations["svc/look"] = {true, milliseconds(300)};
        auto& other = policy.settings.organisations[organisation_id("b")];
        other.highest_rank = rank::standard;
        other.default_rank = rank::background;
        pipeline.set_ready_until(steady_time::max());
    }

    static identify_settings identify_test_settings()
    {
        identify_settings s;
        s.organisations = {
            {organisation_id("a"), "key-a", rank::urgent},
            {organisation_id("b"), "key-b", {}}};
        s.organisation_header = "x-organisation";
        return s;
    }

    shard_post_function post_function()
    {
        return [this](std::function<void()> f)
        { scheduler.schedule(duration{}, std::move(f)); };
    }

    /// Sends one request and lets the shard handle it.
    std::shared_ptr<recording_sink> send(server_request request)
    {
        auto const sink = std::make_shared<recording_sink>();
        last_exchange = pipeline.handle(std::move(request), sink);
        scheduler.advance(duration{});
        return sink;
    }

    static server_request completion(std::string const& extra = {})
    {
        server_request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.headers = {
            {"authorization", "Bearer key-a"}, {"idempotency-key", "k"}};
        request.body = R"({"model":"m","prompt":"p")" + extra + "}";
        return request;
    }

    static server_request call(std::string const& operation)
    {
        server_request request = completion();
        request.path = "/v1/services/svc/" + operation;
        request.body = "{}";
        return request;
    }

    manual_scheduler scheduler;
    seeded_random random{1};
    fixed_policy policy;
    counter_registry counters;
    recording_generation_service generations;
    recording_call_service calls;
    fake_admission_control admission;
    single_model_catalogue models;
    parse_filter parse{parse_limits{4096, 16, 100, 1000}};
    identify_filter identify{identify_test_settings(), random};
    classify_filter classify{policy, models};
    admit_filter admit{admission};
    request_pipeline pipeline{
        {&parse, &identify},
        {{post_function(),
          scheduler,
          scheduler,
          {&classify, &admit},
          generations,
          calls}},
        counters};
    std::shared_ptr<http_exchange> last_exchange;
};

} // namespace dotterellock::testing

#endif
