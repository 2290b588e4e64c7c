// The request path over fakes: no sockets, a manual clock, one shard whose
// posted functions run when the scheduler advances.
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
#include <pipeline/request_path.hpp>

namespace dotterellock::testing
{

struct recording_sink : response_sink
{
    void respond(http_output o) override
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
            unwritten.push_back(std::move(written));
    }
    void end() override { ++ends; }

    /// The bytes so far have left towards the caller.
    void flush()
    {
        for (auto const& written : std::exchange(unwritten, {}))
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
    http_output output;
    http_headers stream_headers;
    std::string stream;
    std::vector<std::function<void()>> unwritten;
};

struct recording_generations : generation_service
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

struct recording_calls : call_service
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

struct switchable_admission : admission_control
{
    void admit(
        organisation_id const&, dotterellock::rank r, model_ref const&) override
    {
        ++asked;
        last = r;
        if (refuse)
        {
            throw error(
                error_code::rate_limited, "admit", "", "too many",
                milliseconds(1500));
        }
    }

    bool refuse = false;
    unsigned asked = 0;
    dotterellock::rank last = rank::standard;
};

struct one_model : model_catalogue
{
    std::string
    version_of(std::string const& name, std::string const&) const override
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
        path.set_ready_until(steady_time::max());
    }

    static identify_settings identities()
    {
        identify_settings s;
        s.organisations = {
            {organisation_id("a"), "key-a", rank::urgent},
            {organisation_id("b"), "key-b", {}}};
        s.organisation_header = "x-organisation";
        return s;
    }

    shard_poster poster()
    {
        return [this](std::function<void()> f)
        { scheduler.schedule(duration{}, std::move(f)); };
    }

    /// Sends one request and lets the shard handle it.
    std::shared_ptr<recording_sink> send(http_input input)
    {
        auto const sink = std::make_shared<recording_sink>();
        last_exchange = path.handle(std::move(input), sink);
        scheduler.advance(duration{});
        return sink;
    }

    static http_input completion(std::string const& extra = {})
    {
        http_input input;
        input.method = "POST";
        input.path = "/v1/completions";
        input.headers = {
            {"authorization", "Bearer key-a"}, {"idempotency-key", "k"}};
        input.body = R"({"model":"m","prompt":"p")" + extra + "}";
        return input;
    }

    static http_input call(std::string const& operation)
    {
        http_input input = completion();
        input.path = "/v1/services/svc/" + operation;
        input.body = "{}";
        return input;
    }

    manual_scheduler scheduler;
    seeded_random random{1};
    fixed_policy policy;
    counter_registry counters;
    recording_generations generations;
    recording_calls calls;
    switchable_admission admission;
    one_model models;
    parse_filter parse{parse_limits{4096, 16, 100, 1000}};
    identify_filter identify{identities(), random};
    classify_filter classify{policy, models};
    admit_filter admit{admission};
    request_path path{
        {&parse, &identify},
        {{poster(),
          scheduler,
          scheduler,
          {&classify, &admit},
          generations,
          calls}},
        counters};
    std::shared_ptr<exchange> last_exchange;
};

} // namespace dotterellock::testing

#endif
