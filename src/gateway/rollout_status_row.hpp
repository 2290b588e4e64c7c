// What this gateway knows of an order's status row in the store, and when it
// is due to write it.
//
// Designed for a store that is down, slow or loses responses: a write is
// repeated until the row shows the state.
#ifndef DOTTERELLOCK_GATEWAY_ROLLOUT_STATUS_ROW_HPP
#define DOTTERELLOCK_GATEWAY_ROLLOUT_STATUS_ROW_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "rollout.hpp"

namespace dotterellock
{

class rollout_status_row
{
public:
    // Several times a usual write. Each further gateway waits this long for
    // those before it.
    static constexpr std::chrono::milliseconds rank_delay{300};

    // Later ranks write at the same time, as a verdict is urgent when the first
    // gateways are cut off from the store.
    static constexpr std::size_t max_rank = 4;

    // A completion is written shortly before the deadline, which leaves no time
    // for longer delays.
    static constexpr std::chrono::milliseconds completion_rank_delay{80};
    static constexpr std::size_t max_completion_rank = 2;

    // Most responses take less; a repeated write changes nothing.
    static constexpr std::chrono::milliseconds retry_interval{250};

    void on_read(
        std::optional<rollout_status> const& status, std::uint64_t revision,
        steady_time now)
    {
        status_ = status;
        revision_ = revision;
        read_at_ = now;
    }

    /// The store was restored, so the row is to be read again.
    void forget() { *this = {}; }

    void on_state_change(steady_time now)
    {
        changed_at_ = now;
        tried_at_.reset();
    }

    bool read() const { return read_at_.has_value(); }

    bool read_since(steady_time t) const { return read_at_ && *read_at_ >= t; }

    std::uint64_t revision() const { return revision_; }

    bool shows(rollout_status const& s) const
    {
        return status_ && status_->order_revision == s.order_revision &&
               status_->to == s.to && status_->state == s.state;
    }

    /// Whether to write `s` now. Notes the attempt.
    bool take_due(rollout_status const& s, std::size_t rank, steady_time now)
    {
        if (!read() || shows(s) || shows_completed(s))
            return false;
        auto const delay =
            s.state == rollout_state::completed
                ? completion_rank_delay * std::min(rank, max_completion_rank)
                : rank_delay * std::min(rank, max_rank);
        if (now < changed_at_ + delay ||
            (tried_at_ && now < *tried_at_ + retry_interval))
            return false;
        tried_at_ = now;
        return true;
    }

private:
    // The old endpoints have stopped. If the new ones were told to drain, none
    // would be left.
    bool shows_completed(rollout_status const& s) const
    {
        return status_ && status_->order_revision == s.order_revision &&
               status_->state == rollout_state::completed;
    }

    std::optional<rollout_status> status_;
    std::uint64_t revision_ = 0; // 0: there is no row
    std::optional<steady_time> read_at_;
    steady_time changed_at_{};
    std::optional<steady_time> tried_at_;
};

} // namespace dotterellock

#endif
