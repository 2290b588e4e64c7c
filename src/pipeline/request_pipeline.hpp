// Connects HTTP requests to the generation and call services: runs the filters
// in order, passes the request to the service, and maps results to responses.
// Shared by all I/O threads; work of a shard runs under the lock of that shard.
#ifndef DOTTERELLOCK_PIPELINE_REQUEST_PIPELINE_HPP
#define DOTTERELLOCK_PIPELINE_REQUEST_PIPELINE_HPP

#include <atomic>
#include <memory>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "filter.hpp"
#include "generation_response.hpp"
#include "monitoring_handler.hpp"

namespace dotterellock
{

/// The parts of one router shard that the request pipeline uses.
struct request_shard
{
    shard_post_function post;
    clock_source& clock;
    timer_service& timers;
    std::vector<filter*> filters; // classify, admit
    generation_service& generations;
    call_service& calls;
};

/// Index of the shard that owns a request. All parts of the process use this
/// function, so that they agree.
std::size_t shard_of(request_id const& request, std::size_t shards);

class request_pipeline : public http_request_handler
{
public:
    /// @param io_filters  run on the I/O thread: parse, identify
    request_pipeline(
        std::vector<filter*> io_filters, std::vector<request_shard> shards,
        counter_registry& counters);

    std::shared_ptr<http_exchange> handle(
        server_request request,
        std::shared_ptr<response_sink> const& sink) override;

    /// From now on /readyz fails and new requests are rejected.
    void begin_shutdown() { shutting_down_ = true; }

    /// Before the first call and after `until`, new requests are rejected and
    /// /readyz fails. Readiness expires, because a process that was paused
    /// would otherwise continue with an outdated state.
    void set_ready_until(steady_time until)
    {
        ready_until_ = until.time_since_epoch().count();
    }

private:
    class shard_exchange;

    bool ready() const;
    void check_accepting() const;

    void run_on_shard(
        request_shard& shard, std::shared_ptr<request_context> const& context,
        std::shared_ptr<response_sink> const& sink,
        std::shared_ptr<shard_exchange> const& exchange);
    void respond_with_error(response_sink& sink, error const& e);

    std::vector<filter*> const io_filters_;
    std::vector<request_shard> shards_;
    counter_registry& counters_;
    monitoring_handler const monitoring_;
    counter& received_requests_;
    counter& rejected_requests_;
    std::atomic<bool> shutting_down_{false};
    std::atomic<duration::rep> ready_until_;
};

} // namespace dotterellock

#endif
