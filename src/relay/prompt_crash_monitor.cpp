#include "prompt_crash_monitor.hpp"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <string>
#include <utility>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

std::string key_text(std::uint64_t key)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016" PRIx64, key);
    return text;
}

} // namespace

prompt_crash_monitor::prompt_crash_monitor(
    event_log& log, counter_registry& counters, std::function<void()> changed)
    : log_(log), incidents_(counters.counter("prompt_incidents_total")),
      refusals_(counters.counter("prompt_refusals_total")),
      changed_(std::move(changed))
{
}

void prompt_crash_monitor::record_crash(
    request_id const& request, endpoint_id const& endpoint,
    prompt_part_keys const& parts, steady_time at, steady_time now)
{
    if (parts.empty())
        return;
    incidents_.add();
    std::string keys;
    for (auto const key : parts)
        keys += (keys.empty() ? "" : ",") + key_text(key);
    log_.record(
        event_level::warn, "prompt_crash",
        {{"request", request.value()},
         {"endpoint", endpoint.value()},
         {"parts", keys}});
    quarantine_.record_crash(endpoint, parts, at, now);
    suspects_.insert(parts.begin(), parts.end());
    // The loss of a zone ends many attempts at once.
    if (quarantine_.quarantined_parts(now) != quarantined_.size())
        update(now, "here");
    changed_();
}

void prompt_crash_monitor::suspect_crash(suspected_crash suspicion)
{
    // An endpoint that leaves closes its connections and then stops.
    if (!suspicion.parts.empty() && !suspicion.endpoint->leaving())
        suspicions_.add(std::move(suspicion));
}

void prompt_crash_monitor::record_dead(
    endpoint_state const& endpoint, steady_time now)
{
    record_crashes(suspicions_.confirm(endpoint), now);
}

void prompt_crash_monitor::record_alive(
    endpoint_state const& endpoint, steady_time began)
{
    suspicions_.record_alive(endpoint, began);
}

void prompt_crash_monitor::record_replaced(
    std::function<bool(endpoint_state const& endpoint)> const& replaced,
    steady_time now)
{
    record_crashes(suspicions_.confirm_replaced(replaced), now);
}

void prompt_crash_monitor::record_crashes(
    suspected_crashes::crash_list const& crashes, steady_time now)
{
    for (auto const& c : crashes)
        record_crash(c.request, c.endpoint->record().id, c.parts, c.at, now);
}

void prompt_crash_monitor::record_proof(
    prompt_part_keys const& parts, steady_time first_event, steady_time now)
{
    if (parts.empty())
        return;
    quarantine_.record_proof(parts, first_event, now);
    bool const relevant = std::any_of(
        parts.begin(), parts.end(),
        [this](auto key) { return suspects_.count(key) != 0; });
    if (!relevant)
        return;
    update(now, "here");
    changed_();
}

void prompt_crash_monitor::merge(
    host_id const& gateway, crash_evidence const& evidence, steady_time now)
{
    if (!quarantine_.merge(evidence, now))
        return;
    update(now, gateway.value());
    changed_();
}

std::optional<milliseconds> prompt_crash_monitor::quarantined_for(
    prompt_part_keys const& parts, steady_time now) const
{
    if (parts.empty())
        return std::nullopt;
    auto const rest = quarantine_.quarantined_for(parts, now);
    if (!rest)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(*rest);
}

void prompt_crash_monitor::remove_expired(steady_time now)
{
    suspicions_.remove_expired(now);
    quarantine_.remove_expired(now);
    if (!suspects_.empty())
        update(now, "here");
}

/// Logs quarantines that began or ended.
/// @param source  host name of the gateway that sent the evidence, or "here"
void prompt_crash_monitor::update(steady_time now, std::string const& source)
{
    suspects_.clear();
    std::set<std::uint64_t> quarantined;
    for (auto const& part : quarantine_.evidence(now).parts)
    {
        if (!part.incidents.empty() || part.quarantined_for)
            suspects_.insert(part.key);
        if (!part.quarantined_for)
            continue;
        quarantined.insert(part.key);
        if (quarantined_.count(part.key) == 0)
            log_.record(
                event_level::warn, "prompt_quarantined",
                {{"part", key_text(part.key)},
                 {"source", source},
                 {"incidents", std::to_string(part.incidents.size())},
                 {"quarantines", std::to_string(part.quarantines)},
                 {"left_ms", std::to_string(part.quarantined_for->count())}});
    }
    for (auto const key : quarantined_)
    {
        if (quarantined.count(key) == 0)
            log_.record(
                event_level::info, "prompt_quarantine_ended",
                {{"part", key_text(key)}, {"source", source}});
    }
    quarantined_ = std::move(quarantined);
}

} // namespace dotterellock
