#include "http_engine.hpp"

#include <atomic>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "sse_parser.hpp"

namespace dotterellock
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds order_timeout{30000};
constexpr std::size_t max_posted_stream_bytes = 1u << 20;
constexpr std::size_t max_order_answer_bytes = 64u << 10;
constexpr char const* stream_end_marker = "[DONE]";

char const* order_name(order_kind kind)
{
    switch (kind)
    {
    case order_kind::load:
        return "load";
    case order_kind::unload:
        return "unload";
    case order_kind::set_role:
        return "set_role";
    }
    return "invalid";
}

json to_json(model_ref const& model)
{
    return {
        {"name", model.name},
        {"adapter", model.adapter},
        {"version", model.version}};
}

std::string completion_body(dispatch_generation const& d)
{
    json const body = {
        {"model", d.model.name},
        {"adapter", d.model.adapter},
        {"version", d.model.version},
        {"prompt", d.prompt},
        {"continue_tokens", d.resume_tokens},
        {"max_tokens", d.sampling.max_tokens},
        {"temperature", d.sampling.temperature},
        {"seed", d.sampling.seed},
        {"priority", index_of(d.rank)},
        {"stream", true}};
    return body.dump();
}

error engine_error(std::string const& peer, std::string const& detail)
{
    return {error_code::engine_failed, "engine_stream", peer, detail};
}

/// Content of one or more chunks of the stream.
struct stream_update
{
    std::vector<std::string> tokens;
    std::optional<finish_reason> finished;

    std::size_t held_bytes() const
    {
        std::size_t bytes = sizeof *this;
        for (auto const& token : tokens)
            bytes += sizeof(std::string) + token.size();
        return bytes;
    }
};

stream_update parse_chunk(std::string const& data)
{
    stream_update update;
    json const chunk = json::parse(data);
    json const& choice = chunk.at("choices").at(0);
    std::string text = choice.at("text").get<std::string>();
    if (!text.empty())
        update.tokens.push_back(std::move(text));
    json const& reason = choice.at("finish_reason");
    if (!reason.is_null())
    {
        update.finished = reason.get<std::string>() == "length"
                              ? finish_reason::length
                              : finish_reason::stop;
    }
    return update;
}

} // namespace

struct http_engine::state
{
    struct run
    {
        engine_events events;
        curl_executor::transfer_id transfer = 0;
    };

    std::string peer;
    engine_run_id last_run = 0;
    std::map<engine_run_id, run> runs;

    void apply(engine_run_id id, stream_update const& update)
    {
        auto found = runs.find(id);
        if (found == runs.end())
            return;
        if (!update.tokens.empty())
        {
            // Copied, since the handler may cancel the run and so erase it.
            auto const on_tokens = found->second.events.on_tokens;
            on_tokens(update.tokens);
            found = runs.find(id);
        }
        if (!update.finished || found == runs.end())
            return;
        auto const on_finished = found->second.events.on_finished;
        runs.erase(found);
        on_finished(*update.finished);
    }

    void fail(engine_run_id id, std::string const& detail)
    {
        auto const found = runs.find(id);
        if (found == runs.end())
            return;
        auto const on_failed = found->second.events.on_failed;
        runs.erase(found);
        on_failed(engine_error(peer, detail));
    }
};

namespace
{

/// Merges all events that the bytes complete into one update, so that tokens
/// received together are posted to the owner in one batch.
stream_update parse_stream_bytes(sse_parser& parser, std::string_view bytes)
{
    stream_update all;
    for (auto const& event : parser.feed(bytes))
    {
        if (event.data == stream_end_marker)
            continue;
        stream_update one = parse_chunk(event.data);
        for (auto& token : one.tokens)
            all.tokens.push_back(std::move(token));
        if (one.finished)
            all.finished = one.finished;
    }
    return all;
}

/// Input of one run. The executor's thread reads it; the owner counts what it
/// has handled.
struct stream_input
{
    sse_parser parser;
    std::atomic<std::size_t> posted{0}; // bytes posted and not yet handled

    held_stream_bytes held() const
    {
        return {parser.incomplete_bytes(), posted};
    }

    /// Returns true if nothing is posted any more.
    bool handled(std::size_t bytes) { return posted.fetch_sub(bytes) == bytes; }
};

} // namespace

http_engine::http_engine(
    std::string base_url, curl_executor& executor, post_function post)
    : base_url_(std::move(base_url)), executor_(executor),
      post_(std::move(post)), state_(std::make_shared<state>())
{
    state_->peer = base_url_;
}

http_engine::~http_engine()
{
    for (auto const& entry : state_->runs)
        executor_.abort(entry.second.transfer);
}

engine_run_id
http_engine::start(dispatch_generation const& dispatch, engine_events events)
{
    engine_run_id const id = ++state_->last_run;
    std::weak_ptr<state> const weak = state_;
    auto const post_to_state = [post = post_, weak](auto action)
    {
        post(
            [weak, action]
            {
                if (auto const s = weak.lock())
                    action(*s);
            });
    };

    http_request request;
    request.method = "POST";
    request.url = base_url_ + "/v1/completions";
    request.content_type = "application/json";
    request.body = completion_body(dispatch);
    request.headers.push_back("X-Request-Id: " + dispatch.request.value());

    request.max_answer_bytes = max_posted_stream_bytes;

    auto const input = std::make_shared<stream_input>();
    http_handlers handlers;
    handlers.held = [input] { return input->held(); };
    handlers.on_data = [post_to_state, input, id,
                        executor = &executor_](std::string_view bytes)
    {
        try
        {
            auto update = parse_stream_bytes(input->parser, bytes);
            if (update.tokens.empty() && !update.finished)
                return;
            std::size_t const held = update.held_bytes();
            input->posted += held;
            post_to_state(
                [id, input, held, executor,
                 update = std::move(update)](state& s)
                {
                    if (input->handled(held))
                        executor->wake();
                    s.apply(id, update);
                });
        }
        catch (std::exception const& e)
        {
            std::string const detail = e.what();
            post_to_state([id, detail](state& s) { s.fail(id, detail); });
        }
    };
    handlers.on_done = [post_to_state, id](http_response const& response)
    {
        std::string const detail = response.answered
                                       ? "stream ended early, status " +
                                             std::to_string(response.status)
                                       : response.detail;
        post_to_state([id, detail](state& s) { s.fail(id, detail); });
    };
    auto const transfer =
        executor_.submit(std::move(request), std::move(handlers));
    state_->runs[id] = state::run{std::move(events), transfer};
    return id;
}

void http_engine::cancel(engine_run_id run)
{
    auto const found = state_->runs.find(run);
    if (found == state_->runs.end())
        return;
    executor_.abort(found->second.transfer);
    state_->runs.erase(found);
}

void http_engine::order(
    engine_order const& order, std::function<void(std::optional<error>)> done)
{
    json const body = {
        {"order", order_name(order.kind)},
        {"model", to_json(order.model)},
        {"role", order.role},
        {"fencing_token", order.token}};
    http_request request;
    request.method = "POST";
    request.url = base_url_ + "/v1/orders";
    request.content_type = "application/json";
    request.body = body.dump();
    request.timeout = order_timeout;
    request.max_answer_bytes = max_order_answer_bytes;

    http_handlers handlers;
    handlers.on_done =
        [post = post_, peer = base_url_, done](http_response const& response)
    {
        std::optional<error> result;
        if (!response.answered)
            result = error(
                error_code::connection_lost, "engine_order", peer,
                response.detail);
        else if (response.status == 409)
            result = error(
                error_code::stale_fencing_token, "engine_order", peer,
                response.body);
        else if (response.status != 200)
            result = error(
                error_code::engine_failed, "engine_order", peer,
                "status " + std::to_string(response.status));
        post([done, result] { done(result); });
    };
    executor_.submit(std::move(request), std::move(handlers));
}

} // namespace dotterellock
