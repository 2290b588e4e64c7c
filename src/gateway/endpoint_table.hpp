// Endpoints of all services, kept in step with the platform's list. When a row
// disappears or is marked as draining, its endpoint gets no new work while
// others can serve, and none at all before the platform's drain bound.
#ifndef DOTTERELLOCK_GATEWAY_ENDPOINT_TABLE_HPP
#define DOTTERELLOCK_GATEWAY_ENDPOINT_TABLE_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "endpoint_state.hpp"

namespace dotterellock
{

using endpoint_ptr = std::shared_ptr<endpoint_state>;

class endpoint_table
{
public:
    /// @param last_resort_period  how long a leaving endpoint may still be
    ///                            chosen if no other endpoint of its service is
    ///                            available
    explicit endpoint_table(std::chrono::milliseconds last_resort_period)
        : last_resort_period_(last_resort_period)
    {
    }

    // An endpoint that announced its departure is remembered for this long
    // after it left, as its row may expire and return.
    static constexpr std::chrono::minutes announcement_retention{5};

    std::chrono::milliseconds last_resort_period() const
    {
        return last_resort_period_;
    }

    void set_last_resort_period(std::chrono::milliseconds last_resort_period)
    {
        last_resort_period_ = last_resort_period;
    }

    // The platform counts its drain bound from the change of a row, which is
    // read later. `changed_at` is the earliest time at which the row may have
    // changed.

    // Rows that expired while the store was unavailable return within this time
    // after it is back, if their endpoints are alive.
    static constexpr std::chrono::milliseconds row_return_window{2000};

    /// The earliest time to assume for the loss of a row that is learned now.
    /// After an interruption the endpoint stays usable for row_return_window,
    /// or longer if the row may have been lost late enough.
    /// @param last_proof   when the row was last known to exist
    /// @param interrupted  calls to the store failed since then
    steady_time
    removed_at(steady_time last_proof, bool interrupted, steady_time now) const
    {
        if (!interrupted)
            return last_proof;
        return std::min(
            now,
            std::max(
                last_proof, now + row_return_window - last_resort_period_));
    }

    /// Adds or updates a row. A new incarnation replaces the endpoint and
    /// starts without history.
    /// @return whether the row newly says that the endpoint is leaving
    bool put(endpoint_record const& record, steady_time changed_at);

    /// @return whether the endpoint was not leaving by its row before
    bool remove(endpoint_id const& id, steady_time changed_at);

    /// Removes all endpoints that are missing from a complete listing.
    /// @return those that were not leaving by their rows before
    std::vector<endpoint_id>
    keep_only(std::set<std::string> const& ids, steady_time changed_at);

    /// Removes endpoints that have left and have no requests in progress.
    void remove_unused(steady_time now);

    std::vector<endpoint_ptr> const&
    of_service(service_name const& service) const;
    endpoint_ptr find(endpoint_id const& id) const;
    std::size_t size() const { return by_id_.size(); }

private:
    void detach(endpoint_ptr const& endpoint);

    std::chrono::milliseconds last_resort_period_;
    std::map<std::string, endpoint_ptr> by_id_;
    std::map<std::string, std::vector<endpoint_ptr>> by_service_;
};

} // namespace dotterellock

#endif
