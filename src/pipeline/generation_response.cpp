#include "generation_response.hpp"

#include <utility>

#include "error_response.hpp"
#include "identify.hpp"

namespace dotterellock
{

namespace
{

char const* finish_reason_name(finish_reason reason)
{
    return reason == finish_reason::length ? "length" : "stop";
}

std::string concatenate(std::vector<std::string> const& tokens)
{
    std::string text;
    for (auto const& token : tokens)
        text += token;
    return text;
}

} // namespace

generation_response::generation_response(
    request_context const& context, std::shared_ptr<response_sink> sink,
    generation_service& service, timer_service& timers, wall_time created,
    shard_post_function post)
    : sink_(std::move(sink)), service_(service), timers_(timers),
      post_(std::move(post)), request_(context.generation.request),
      idempotency_key_(context.idempotency_key),
      model_(to_string(context.generation.model)),
      router_chosen_version_(
          context.router_chose_version ? context.generation.model.version : ""),
      is_chat_(context.chat), is_stream_(context.stream),
      created_(std::chrono::duration_cast<std::chrono::seconds>(
                   created.time_since_epoch())
                   .count())
{
}

void generation_response::start_keep_alive()
{
    if (is_stream_)
        schedule_keep_alive();
}

void generation_response::on_tokens(
    token_index first, std::vector<std::string> const& tokens,
    std::string const& event_id)
{
    if (closed_ || tokens.empty())
        return;
    auto const next = first + static_cast<token_index>(tokens.size());
    if (!is_stream_)
    {
        buffered_text_ += concatenate(tokens);
        on_written(next);
        return;
    }
    std::string const id =
        router_chosen_version_.empty()
            ? event_id
            : event_id_with_version(router_chosen_version_, event_id);
    write(
        "id: " + id + "\ndata: " + chunk_json(concatenate(tokens), nullptr) +
            "\n\n",
        next);
}

void generation_response::on_finished(finish_reason reason, token_index total)
{
    if (closed_)
        return;
    if (is_stream_)
    {
        write(
            "data: " + chunk_json("", finish_reason_name(reason)) +
                "\n\ndata: [DONE]\n\n",
            total);
        sink_->end();
    }
    else
    {
        sink_->respond(
            {200, "application/json", headers(),
             completion_json(finish_reason_name(reason), total)});
    }
    close();
}

void generation_response::on_error(error const& e)
{
    if (closed_)
        return;
    if (stream_started_)
    {
        write("event: error\ndata: " + error_json(e) + "\n\n", next_unwritten_);
        sink_->end();
    }
    else
    {
        server_response output = error_response(e);
        for (auto& header : headers())
            output.headers.push_back(std::move(header));
        sink_->respond(std::move(output));
    }
    close();
}

void generation_response::on_caller_disconnected()
{
    if (closed_)
        return;
    close();
    service_.detach(request_, *this);
}

std::string generation_response::json_prefix() const
{
    return R"({"id":)" + json_string(idempotency_key_) + R"(,"created":)" +
           std::to_string(created_) + R"(,"model":)" + json_string(model_);
}

std::string generation_response::chunk_json(
    std::string const& text, char const* reason) const
{
    std::string const object =
        is_chat_ ? "chat.completion.chunk" : "text_completion";
    std::string const content =
        is_chat_ ? R"("delta":{"content":)" + json_string(text) + "}"
                 : R"("text":)" + json_string(text);
    std::string const finish = reason == nullptr ? "null" : json_string(reason);
    return json_prefix() + R"(,"object":")" + object +
           R"(","choices":[{"index":0,)" + content + R"(,"finish_reason":)" +
           finish + "}]}";
}

std::string generation_response::completion_json(
    char const* reason, token_index total) const
{
    std::string const object = is_chat_ ? "chat.completion" : "text_completion";
    std::string const content =
        is_chat_ ? R"("message":{"role":"assistant","content":)" +
                       json_string(buffered_text_) + "}"
                 : R"("text":)" + json_string(buffered_text_);
    return json_prefix() + R"(,"object":")" + object +
           R"(","choices":[{"index":0,)" + content + R"(,"finish_reason":)" +
           json_string(reason) + R"(}],"usage":{"completion_tokens":)" +
           std::to_string(total) + "}}";
}

http_headers generation_response::headers() const
{
    return {{"X-Request-Id", idempotency_key_}};
}

/// Called only when there is something to write, so that an earlier error can
/// still be sent with its own HTTP status.
void generation_response::begin_stream()
{
    stream_started_ = true;
    auto all = headers();
    all.emplace_back("Content-Type", "text/event-stream");
    all.emplace_back("Cache-Control", "no-store");
    sink_->begin_stream(std::move(all));
}

void generation_response::write(std::string bytes, token_index next)
{
    if (!stream_started_)
        begin_stream();
    idle_ = false;
    // A weak pointer avoids a reference cycle: the connection may hold the
    // callback, and the sink holds the connection.
    sink_->write(
        std::move(bytes),
        [weak = weak_from_this(), next]
        {
            if (auto const self = weak.lock())
                self->on_written(next);
        });
}

/// At most one progress report is queued at a time; it includes everything
/// written until it runs.
void generation_response::on_written(token_index next)
{
    next_unwritten_ = next;
    if (progress_report_pending_.exchange(true))
        return;
    post_([self = shared_from_this()] { self->report_progress(); });
}

void generation_response::report_progress()
{
    progress_report_pending_ = false;
    if (!closed_)
        service_.caller_progress(request_, next_unwritten_);
}

void generation_response::schedule_keep_alive()
{
    keep_alive_ = timers_.schedule(
        keep_alive_interval,
        [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
                self->on_keep_alive();
        });
}

void generation_response::on_keep_alive()
{
    if (closed_)
        return;
    if (std::exchange(idle_, true))
    {
        if (!stream_started_)
            begin_stream();
        sink_->write(": keep-alive\n\n", {});
    }
    schedule_keep_alive();
}

void generation_response::close()
{
    closed_ = true;
    timers_.cancel(keep_alive_);
}

} // namespace dotterellock
