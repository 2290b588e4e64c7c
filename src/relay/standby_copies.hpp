// Keeps a copy of one run's memory at an endpoint of another zone, so that the
// run can go on there. The endpoint that runs it sends the first copy as the
// run grows. One whose standby is lost is replaced by a copy made on demand,
// which in turn is replaced before it expires.
#ifndef DOTTERELLOCK_RELAY_STANDBY_COPIES_HPP
#define DOTTERELLOCK_RELAY_STANDBY_COPIES_HPP

#include <memory>
#include <optional>
#include <string>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "endpoint_call.hpp"
#include "gateway/endpoint_selection.hpp"
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

    /// An attempt begins at `source`: chooses its standby.
    /// @param engine  null if the run is not to be on_copy_made
    void begin(
        endpoint_ptr source, work_request work, engine_spec const* engine,
        steady_time now);

    /// The endpoint that holds the copy, or null.
    endpoint_ptr standby() const { return copy_ ? copy_->standby : nullptr; }

    /// Replaces a copy that is lost or expires. Called many times a second,
    /// once the run has made events.
    void renew_if_needed(steady_time now);

    struct resume_point
    {
        endpoint_ptr standby;
        memory_copy copy;
    };

    /// Where the run can go on; empty if there is no usable copy.
    std::optional<resume_point> find_resume_point(
        std::optional<steady_time> stream_began, steady_time now) const;

    /// The run has ended: its copy takes no more memory.
    void free_copy();

    /// Gives up what was reserved.
    void reset();

private:
    struct memory_replica
    {
        endpoint_ptr standby;
        endpoint_reservation reservation;
        std::optional<std::string> name; // of one made on demand
        steady_time began{};

        bool lost(steady_time now) const
        {
            return standby->leaving() || standby->suspended(now) ||
                   standby->failed_at() > began;
        }
    };

    std::optional<memory_replica> choose_standby(steady_time now) const;
    void
    on_copy_made(endpoint_state const& source, endpoint_reply const& reply);

    exchange_context& context_;
    request_id const run_;
    endpoint_ptr source_; // runs it
    work_request work_;
    std::optional<engine_spec> engine_; // empty: no copies
    std::optional<memory_replica> copy_;
    std::optional<memory_replica> pending_copy_; // is being made
    steady_time next_call_at_{};                 // not before
};

} // namespace dotterellock

#endif
