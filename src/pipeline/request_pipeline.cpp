#include "request_pipeline.hpp"

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

/// Links the connection of a caller to the response object that the shard
/// creates for it. The caller may disconnect before that object exists.
class request_pipeline::shard_exchange
    : public http_exchange,
      public std::enable_shared_from_this<shard_exchange>
{
public:
    explicit shard_exchange(shard_post_function post) : post_(std::move(post))
    {
    }

    void on_caller_disconnected() override
    {
        post_(
            [self = shared_from_this()]
            {
                self->disconnected_ = true;
                if (auto const response = self->response_.lock())
                    response->on_caller_disconnected();
            });
    }

    // Called under the lock of the shard, as are all members below.
    bool disconnected() const { return disconnected_; }
    void set_response(std::weak_ptr<generation_response> response)
    {
        response_ = std::move(response);
    }

private:
    shard_post_function const post_;
    bool disconnected_ = false;
    std::weak_ptr<generation_response> response_;
};

request_pipeline::request_pipeline(
    std::vector<filter*> io_filters, std::vector<request_shard> shards,
    counter_registry& counters)
    : io_filters_(std::move(io_filters)), shards_(std::move(shards)),
      counters_(counters), monitoring_(
                               [this]() -> std::string
                               {
                                   if (shutting_down_)
                                       return "shutting down";
                                   return ready() ? "" : "not ready";
                               },
                               counters),
      received_requests_(counters.counter("http_requests_total")),
      rejected_requests_(counters.counter("http_requests_refused_total")),
      ready_until_(steady_time::min().time_since_epoch().count())
{
}

bool request_pipeline::ready() const
{
    auto const now = shards_.front().clock.now().time_since_epoch().count();
    return !shutting_down_ && now <= ready_until_;
}

void request_pipeline::check_accepting() const
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

std::shared_ptr<http_exchange> request_pipeline::handle(
    server_request request, std::shared_ptr<response_sink> const& sink)
{
    if (monitoring_.try_handle(request, *sink))
        return nullptr;
    received_requests_.add();
    auto const context = std::make_shared<request_context>();
    context->http_request = std::move(request);
    try
    {
        check_accepting();
        for (filter* const f : io_filters_)
            f->apply(*context);
    }
    catch (error const& e)
    {
        respond_with_error(*sink, e);
        return nullptr;
    }
    catch (std::exception const& e)
    {
        respond_with_error(
            *sink, error(error_code::internal_error, "accept", "", e.what()));
        return nullptr;
    }
    request_shard& shard =
        shards_[shard_of(context->request(), shards_.size())];
    auto const exchange = std::make_shared<shard_exchange>(shard.post);
    shard.post([this, &shard, context, sink, exchange]
               { run_on_shard(shard, context, sink, exchange); });
    return exchange;
}

void request_pipeline::run_on_shard(
    request_shard& shard, std::shared_ptr<request_context> const& context,
    std::shared_ptr<response_sink> const& sink,
    std::shared_ptr<shard_exchange> const& exchange)
{
    if (exchange->disconnected())
        return;
    std::shared_ptr<generation_response> response;
    auto const report_error = [&](error const& e)
    {
        if (response)
            response->on_error(e); // ignored after a response
        else
            respond_with_error(*sink, e);
    };
    try
    {
        for (filter* const f : shard.filters)
            f->apply(*context);
        // Frees the body, which is parsed by now and may be large.
        context->http_request = {};
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
        exchange->set_response(response);
        response->start_keep_alive();
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
        report_error(e);
    }
    catch (std::exception const& e)
    {
        report_error(error(error_code::internal_error, "accept", "", e.what()));
    }
}

void request_pipeline::respond_with_error(response_sink& sink, error const& e)
{
    rejected_requests_.add();
    counters_
        .counter(
            "http_errors_total",
            std::string("code=\"") + to_string(e.code()) + "\"")
        .add();
    sink.respond(error_response(e));
}

} // namespace dotterellock
