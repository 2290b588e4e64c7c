// The request path from HTTP to the generation or call service: runs the
// filters in their order, hands over, and maps results to responses. Shared by
// all I/O threads; what belongs to a shard runs under that shard's lock.
#ifndef DOTTERELLOCK_PIPELINE_REQUEST_PATH_HPP
#define DOTTERELLOCK_PIPELINE_REQUEST_PATH_HPP

#include <atomic>
#include <memory>
#include <vector>

#include <dotterellock/observability.hpp>
#include <dotterellock/runtime.hpp>

#include "filter.hpp"
#include "generation_response.hpp"
#include "operator_pages.hpp"

namespace dotterellock
{

/// What the request path uses of one router shard.
struct request_shard
{
    shard_poster post;
    clock_source& clock;
    timer_service& timers;
    std::vector<filter*> filters; // classify, admit
    generation_service& generations;
    call_service& calls;
};

/// Shard of a request; the same in every part of the process.
std::size_t shard_of(request_id const& request, std::size_t shards);

class request_path : public http_request_handler
{
public:
    /// @param edge  filters for the I/O thread: parse, identify
    request_path(
        std::vector<filter*> edge, std::vector<request_shard> shards,
        counter_registry& counters);

    std::shared_ptr<exchange> handle(
        http_input input, std::shared_ptr<response_sink> const& sink) override;

    /// /readyz fails and new requests are refused from now on.
    void begin_shutdown() { shutting_down_ = true; }

    /// Before the first call and after `until` new requests are refused and
    /// /readyz fails. A bound in time, since a process that was paused would
    /// otherwise go on with what held before.
    void set_ready_until(steady_time until)
    {
        ready_until_ = until.time_since_epoch().count();
    }

private:
    class open_exchange;

    bool ready() const;
    void check_accepting() const;

    void hand_over(
        request_shard& shard, std::shared_ptr<request_context> const& context,
        std::shared_ptr<response_sink> const& sink,
        std::shared_ptr<open_exchange> const& opened);
    void fail(response_sink& sink, error const& e);

    std::vector<filter*> const edge_;
    std::vector<request_shard> shards_;
    counter_registry& counters_;
    operator_pages const operators_;
    counter& requests_;
    counter& refused_;
    std::atomic<bool> shutting_down_{false};
    std::atomic<duration::rep> ready_until_;
};

} // namespace dotterellock

#endif
