// Detects that most of an availability zone failed at once. If several
// endpoints of one service and zone fail within a short time, the zone becomes
// suspect. Its endpoints without activity since then are avoided and checked,
// before each of them costs a request.
//
// Designed for a zone that loses nine tenths of its endpoints without a
// connection reset while a third of all streams run there.
#ifndef DOTTERELLOCK_GATEWAY_ZONE_FAILURE_DETECTOR_HPP
#define DOTTERELLOCK_GATEWAY_ZONE_FAILURE_DETECTOR_HPP

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "endpoint_state.hpp"

namespace dotterellock
{

class zone_failure_detector
{
public:
    // Two endpoints may fail together by chance; three rarely do.
    static constexpr std::size_t min_failed_endpoints = 3;
    static constexpr std::chrono::milliseconds failure_window{1000};

    // Longer than a usual restart. An answer ends the suspicion for its
    // endpoint.
    static constexpr std::chrono::milliseconds suspicion_duration{1300};

    /// @return true if this failure made the zone suspect
    bool record_failure(endpoint_record const& endpoint, steady_time now)
    {
        auto& zone = zones_[{endpoint.service.value(), endpoint.zone.value()}];
        while (!zone.failures.empty() &&
               zone.failures.front().first + failure_window < now)
            zone.failures.pop_front();
        zone.failures.emplace_back(now, endpoint.id.value());
        std::set<std::string> distinct;
        for (auto const& [at, id] : zone.failures)
            distinct.insert(id);
        if (distinct.size() < min_failed_endpoints)
            return false;
        bool const newly_suspect = now >= zone.suspect_until;
        if (newly_suspect)
            zone.suspected_at = zone.failures.front().first;
        zone.suspect_until = now + suspicion_duration;
        return newly_suspect;
    }

    /// Whether the endpoint's zone is suspect and the endpoint has shown no
    /// activity since.
    bool is_suspect(endpoint_state const& endpoint, steady_time now) const
    {
        auto const& r = endpoint.record();
        auto const found = zones_.find({r.service.value(), r.zone.value()});
        return found != zones_.end() && now < found->second.suspect_until &&
               endpoint.last_activity() <= found->second.suspected_at;
    }

private:
    struct zone_state
    {
        std::deque<std::pair<steady_time, std::string>> failures;
        steady_time suspected_at{};
        steady_time suspect_until{};
    };

    std::map<std::pair<std::string, std::string>, zone_state> zones_;
};

} // namespace dotterellock

#endif
