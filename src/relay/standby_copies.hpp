// Maintains a copy of one run's memory at an endpoint in another zone, so that
// the run can resume there. The endpoint that runs it replicates continuously
// to the first standby. If that standby is lost, a copy is made on demand, and
// is replaced before it expires.
#ifndef DOTTERELLOCK_RELAY_STANDBY_COPIES_HPP
#define DOTTERELLOCK_RELAY_STANDBY_COPIES_HPP

#include <memory>
#include <optional>
#include <string>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "endpoint_call.hpp"
#include "gateway/endpoint_selector.hpp"
#include "protocol_codec.hpp"

namespace dotterellock
{

class exchange_context;

class standby_copies : public std::enable_shared_from_this<standby_copies>
{
public:
    standby_copies(exchange_context& context, request_id run)
        : context_(context), run_(std::move(run))
    {
    }

    standby_copies(standby_copies const&) = delete;
    standby_copies& operator=(standby_copies const&) = delete;

    /// Selects a standby for an attempt that starts at `source`.
    /// @param engine  null if the run is not to be copied
    void begin(
        endpoint_ptr source, endpoint_requirements work,
        engine_spec const* engine, steady_time now);

    /// Endpoint that holds the copy, or null.
    endpoint_ptr standby() const { return copy_ ? copy_->standby : nullptr; }

    /// Replaces a copy that is lost or about to expire. Called many times a
    /// second, once the run has produced events.
    void renew_if_needed(steady_time now);

    struct resume_point
    {
        endpoint_ptr standby;
        memory_copy copy;
    };

    /// Where the run can resume; empty if there is no usable copy.
    std::optional<resume_point> find_resume_point(
        std::optional<steady_time> stream_began, steady_time now) const;

    /// Frees the memory of a copy made on demand, after the run has ended.
    void free_copy();

    /// Releases the reservations.
    void reset();

private:
    struct memory_replica
    {
        endpoint_ptr standby;
        endpoint_reservation reservation;
        std::optional<std::string> name; // if made on demand
        steady_time began{};

        bool lost(steady_time now) const
        {
            return standby->leaving() || standby->suspended(now) ||
                   standby->paused(now) || standby->last_failure() > began;
        }
    };

    bool well_placed(memory_replica const& copy, steady_time now) const;
    std::optional<memory_replica> choose_standby(steady_time now) const;
    void
    on_copy_made(endpoint_state const& source, endpoint_reply const& reply);

    exchange_context& context_;
    request_id const run_;
    endpoint_ptr source_; // endpoint that runs the request
    endpoint_requirements work_;
    std::optional<engine_spec> engine_; // empty: no copies
    std::optional<memory_replica> copy_;
    std::optional<memory_replica> pending_copy_; // being made on demand
    steady_time next_call_at_{};                 // earliest time
};

} // namespace dotterellock

#endif
