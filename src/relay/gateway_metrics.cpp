#include "gateway.hpp"

#include <algorithm>
#include <vector>

namespace dotterellock
{

using std::chrono::milliseconds;

void gateway::count_failed_attempt(char const* reason)
{
    env_.counters
        .counter(
            "attempts_failed_total", std::string("reason=\"") + reason + '"')
        .add();
}

void gateway::count_request(relay_exchange const& e, request_result const& r)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    auto const& route = *e.request().route;
    std::string const labels = std::string("kind=\"") + route.kind() +
                               "\",rank=\"" + std::to_string(e.request().rank) +
                               "\",outcome=\"" + r.outcome + '"';
    auto& counters = env_.counters;
    counters
        .counter(
            "requests_total", labels + ",status=\"" + std::to_string(r.status) +
                                  "\",reason=\"" + r.reason + '"')
        .add();
    if (r.first_byte)
        counters.histogram("first_byte_seconds", labels)
            .record(duration_cast<microseconds>(*r.first_byte));
    counters.histogram("request_seconds", labels)
        .record(duration_cast<microseconds>(r.took));
}

/// How even the load is, as far as this gateway knows: the most requests at an
/// endpoint and the median, and endpoints that are left out as full.
void gateway::publish_endpoint_loads()
{
    if (!table_)
        return;
    auto const now = env_.clock.now();
    for (auto const& service : table_->services())
    {
        std::vector<std::uint32_t> requests;
        std::size_t full = 0;
        for (auto const& endpoint : endpoints_.of_service(service.name))
        {
            requests.push_back(selection_.total_load(*endpoint, now).requests);
            full += endpoint->full(now) ? 1 : 0;
        }
        if (requests.empty())
            continue;
        std::sort(requests.begin(), requests.end());
        auto const label = "service=\"" + service.name.value() + '"';
        auto& c = env_.counters;
        c.counter("endpoint_requests_most", label).set(requests.back());
        c.counter("endpoint_requests_median", label)
            .set(requests[requests.size() / 2]);
        c.counter("endpoints_full", label).set(full);
        c.counter("unseen_choices", label)
            .set(std::uint64_t(unseen_choices(service.name, false)));
    }
}

std::string gateway::metrics()
{
    auto& c = env_.counters;
    std::size_t waiting = 0;
    for (auto const& [service, queue] : request_queues_)
        waiting += queue->size();
    auto const age = freshness_lease_.age(env_.clock.now());
    publish_endpoint_loads();
    c.counter("waiting_requests").set(waiting);
    c.counter("open_requests").set(exchanges_.size());
    c.counter("callers").set(sessions_.size());
    c.counter("endpoints").set(endpoints_.size());
    for (auto const use : memory_uses)
        c.counter("held_bytes", std::string("for=\"") + to_string(use) + '"')
            .set(env_.memory.held(use));
    c.counter("gateways")
        .set(peer_load_sync_ ? peer_load_sync_->fleet_size() : 1);
    c.counter("quarantined_prompt_parts")
        .set(prompt_crashes_.quarantined_parts(env_.clock.now()));
    if (peer_load_sync_)
    {
        auto const& evidence = peer_load_sync_->evidence_datagrams();
        c.counter("evidence_datagrams_sent_total").set(evidence.sent);
        c.counter("evidence_datagrams_received_total").set(evidence.received);
        c.counter("evidence_datagrams_unreadable_total")
            .set(evidence.unreadable);
    }
    if (rollouts_)
        rollouts_->publish(c);
    if (rollouts_ && peer_load_sync_)
    {
        auto const& evidence = peer_load_sync_->rollout_datagrams();
        c.counter("rollout_datagrams_sent_total").set(evidence.sent);
        c.counter("rollout_datagrams_received_total").set(evidence.received);
        c.counter("rollout_datagrams_unreadable_total")
            .set(evidence.unreadable);
    }
    c.counter("connections_opened").set(pool_.connections_created());
    c.counter("store_calls")
        .set(
            configuration_reader_.store_calls() +
            endpoint_reader_.store_calls() + peer_reader_.store_calls());
    c.counter("endpoint_limits").set(limits_.limited());
    auto const& permits = limits_.totals();
    c.counter("permit_questions_total").set(permits.questions);
    c.counter("permit_questions_unanswered_total").set(permits.unanswered);
    c.counter("permits_granted_total").set(permits.granted);
    c.counter("reads_store").set(table_sources_.reads_store() ? 1 : 0);
    if (auto const proven = endpoint_watch_.current_as_of())
        c.counter("endpoints_age_milliseconds")
            .set(std::uint64_t(std::chrono::duration_cast<milliseconds>(
                                   env_.clock.now() - *proven)
                                   .count()));
    if (age)
        c.counter("configuration_age_milliseconds")
            .set(std::uint64_t(
                std::chrono::duration_cast<milliseconds>(*age).count()));
    return c.prometheus_text();
}

} // namespace dotterellock
