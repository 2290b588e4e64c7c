#include "request_path.hpp"

#include <mutex>
#include <utility>

#include <xxhash.h>

#include "error_response.hpp"

namespace dotterellock
{

std::size_t shard_of(request_id const& request, std::size_t shards)
{
    auto const& text = request.value();
    return XXH3_64bits(text.data(), text.size()) % shards;
}

/// Connects the caller's connection with the response that was made for it in
/// the shard. The caller may be gone before there is one.
class request_path::open_exchange
    : public exchange,
      public std::enable_shared_from_this<open_exchange>
{
public:
    explicit open_exchange(shard_poster post) : post_(std::move(post)) {}

    void caller_gone() override
    {
        post_(
            [self = shared_from_this()]
            {
                self->gone_ = true;
                if (auto const response = self->response_.lock())
                    response->caller_gone();
            });
    }

    // Under the shard's lock, as is the rest.
    bool gone() const { return gone_; }
    void set_response(std::weak_ptr<generation_response> response)
    {
        response_ = std::move(response);
    }

private:
    shard_poster const post_;
    bool gone_ = false;
    std::weak_ptr<generation_response> response_;
};

request_path::request_path(
    std::vector<filter*> edge, std::vector<request_shard> shards,
    counter_registry& counters)
    : edge_(std::move(edge)), shards_(std::move(shards)), counters_(counters),
      operators_(
          [this]() -> std::string
          {
              if (shutting_down_)
                  return "shutting down";
              return ready() ? "" : "not ready";
          },
          counters),
      requests_(counters.counter("http_requests_total")),
      refused_(counters.counter("http_requests_refused_total")),
      ready_until_(steady_time::min().time_since_epoch().count())
{
}

bool request_path::ready() const
{
    auto const now = shards_.front().clock.now().time_since_epoch().count();
    return !shutting_down_ && now <= ready_until_;
}

void request_path::check_accepting() const
{
    if (shutting_down_)
    {
        throw error(
            error_code::shutting_down, "accept", "",
            "this router is shutting down; use another one");
    }
    if (!ready())
    {
        throw error(
            error_code::store_unavailable, "accept", "",
            "the configuration in force is not confirmed", milliseconds(1000));
    }
}

std::shared_ptr<exchange> request_path::handle(
    http_input input, std::shared_ptr<response_sink> const& sink)
{
    if (operators_.answer(input, *sink))
        return nullptr;
    requests_.add();
    auto const context = std::make_shared<request_context>();
    context->input = std::move(input);
    try
    {
        check_accepting();
        for (filter* const f : edge_)
            f->apply(*context);
    }
    catch (error const& e)
    {
        fail(*sink, e);
        return nullptr;
    }
    catch (std::exception const& e)
    {
        fail(*sink, error(error_code::internal_error, "accept", "", e.what()));
        return nullptr;
    }
    request_shard& shard =
        shards_[shard_of(context->request(), shards_.size())];
    auto const opened = std::make_shared<open_exchange>(shard.post);
    shard.post([this, &shard, context, sink, opened]
               { hand_over(shard, context, sink, opened); });
    return opened;
}

void request_path::hand_over(
    request_shard& shard, std::shared_ptr<request_context> const& context,
    std::shared_ptr<response_sink> const& sink,
    std::shared_ptr<open_exchange> const& opened)
{
    if (opened->gone())
        return;
    std::shared_ptr<generation_response> response;
    auto const report = [&](error const& e)
    {
        if (response)
            response->on_error(e); // it may have responded already
        else
            fail(*sink, e);
    };
    try
    {
        for (filter* const f : shard.filters)
            f->apply(*context);
        context->input = {}; // the body may be large and is parsed
        if (context->kind == work_kind::call)
        {
            shard.calls.call(
                std::move(context->call), [sink](call_reply reply)
                { sink->respond(call_response(std::move(reply))); });
            return;
        }
        response = std::make_shared<generation_response>(
            *context, sink, shard.generations, shard.timers,
            shard.clock.wall_now(), shard.post);
        opened->set_response(response);
        response->start();
        if (context->resume)
        {
            shard.generations.resume(
                std::move(context->generation), *context->resume, response);
        }
        else
        {
            shard.generations.start(std::move(context->generation), response);
        }
    }
    catch (error const& e)
    {
        report(e);
    }
    catch (std::exception const& e)
    {
        report(error(error_code::internal_error, "accept", "", e.what()));
    }
}

void request_path::fail(response_sink& sink, error const& e)
{
    refused_.add();
    counters_
        .counter(
            "http_errors_total",
            std::string("code=\"") + to_string(e.code()) + "\"")
        .add();
    sink.respond(error_response(e));
}

} // namespace dotterellock
