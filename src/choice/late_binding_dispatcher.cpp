#include "late_binding_dispatcher.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// Time for which only the endpoint with the cached prefix holds a reservation.
// A cache hit saves seconds of prefill for a long prompt, while an offer within
// a region takes a round trip of a few milliseconds.
constexpr milliseconds cached_endpoint_wait{30};
constexpr double min_cached_fraction_to_wait = 0.25;

// Unanswered reservations are resent, because messages are lost silently when
// a connection fails. Agents do not queue a duplicate again.
constexpr milliseconds resend_interval{1000};

// Limits repeated reservations at the same agent after expired offers and lost
// connections.
constexpr std::uint32_t max_failures_per_endpoint = 3;

// When fewer than a quarter of the candidates in this region report a free
// slot, all reservations are sent at once: two random agents would miss the
// few free slots, and the wait for the first slot to become free falls with
// the number of agents asked.
constexpr std::size_t few_free_slots_divisor = 4;

constexpr milliseconds default_retry_after{1000};

// Token messages of the answer, including their framing.
constexpr byte_count answer_bytes_per_token = 16;

char const* const step_reserve = "reserve";
char const* const step_choose_endpoint = "choose_endpoint";

byte_count cross_region_bytes_of(place_request const& work)
{
    byte_count const answer =
        work.kind == work_kind::generation
            ? byte_count{work.estimated_tokens} * answer_bytes_per_token
            : 0;
    return work.payload_bytes + answer;
}

} // namespace

late_binding_dispatcher::late_binding_dispatcher(
    peer_id self, node_location location, endpoint_directory& directory,
    clock_source& clock, timer_service& timers, random_source& random,
    peer_transport& transport, policy_source const& policy,
    cross_region_budget& budget, retry_budget& retries, decision_log& log,
    counter_registry& counters)
    : self_(std::move(self)), directory_(directory), clock_(clock),
      timers_(timers), random_(random), transport_(transport), policy_(policy),
      cross_region_budget_(budget), retries_(retries), log_(log),
      placed_total_(counters.counter("dispatch_placed_total")),
      refused_total_(counters.counter("dispatch_refused_total")),
      extra_total_(counters.counter("dispatch_extra_reservations_total")),
      late_offers_total_(counters.counter("dispatch_late_offers_total")),
      cross_region_total_(counters.counter("dispatch_cross_region_total")),
      cross_region_refused_total_(
          counters.counter("dispatch_link_budget_refused_total")),
      retries_refused_total_(counters.counter("dispatch_retries_refused_total"))
{
    directory_.set_local_router(self_, std::move(location));
}

late_binding_dispatcher::~late_binding_dispatcher()
{
    for (auto const& [key, s] : searches_)
        timers_.cancel(s.timer);
}

// ---- dispatcher interface -------------------------------------------------

void late_binding_dispatcher::place(
    place_request request, std::function<void(placement)> placed,
    std::function<void(error)> refused)
{
    attempt_key const key{request.request, request.attempt};
    withdraw(request.request, request.attempt);
    auto const& policy = policy_.current();
    search& s = searches_[key];
    s.placed = std::move(placed);
    s.refused = std::move(refused);
    steady_time const now = clock_.now();
    duration const limit =
        request.waiting_limit > duration{}
            ? request.waiting_limit
            : policy.ranks[index_of(request.rank)].waiting_limit;
    s.deadline = now + limit;
    s.extra_interval = policy.dispatch.extra_reservation_after;
    s.next_extra_at = now + s.extra_interval;
    s.request = std::move(request);
    if (s.request.is_retry && !retries_.try_retry(s.request.rank))
    {
        retries_refused_total_.add();
        s.timer = timers_.schedule(
            duration{},
            [this, key]
            {
                refuse(
                    key, error(
                             error_code::overloaded, "place", {},
                             "retry budget is used up", default_retry_after));
            });
        return;
    }
    if (!s.request.is_retry)
        retries_.on_first_attempt(s.request.rank);
    start_search(key);
}

void late_binding_dispatcher::start_search(attempt_key const& key)
{
    search& s = searches_.at(key);
    auto const all = directory_.candidates(s.request);
    auto const eligible = eligible_candidates(s, all);
    bool const wait_for_cached =
        !eligible.empty() && eligible.front().has_free_slot &&
        !eligible.front().other_region &&
        eligible.front().cached_prefix_fraction >= min_cached_fraction_to_wait;
    if (wait_for_cached)
    {
        s.next_extra_at = clock_.now() + cached_endpoint_wait;
        reserve_more(s, 1, "prefix may be cached");
    }
    else if (has_few_free_slots(eligible))
        reserve_more(
            s, policy_.current().dispatch.max_reservations,
            "first, few free slots are known");
    else
        reserve_more(s, policy_.current().dispatch.reservations, "first");
    if (!s.reservations.empty())
    {
        schedule_timer(key, s);
        return;
    }
    // Deferred, because callbacks must not run inside place().
    s.timer = timers_.schedule(
        duration{},
        [this, key] { refuse_if_unreserved(key, searches_.at(key)); });
}

void late_binding_dispatcher::withdraw(
    request_id const& request, attempt_number attempt)
{
    auto const found = searches_.find(attempt_key{request, attempt});
    if (found == searches_.end())
        return;
    timers_.cancel(found->second.timer);
    for (auto const& h : found->second.reservations)
        withdraw_reservation(found->second, h);
    searches_.erase(found);
}

void late_binding_dispatcher::finished(
    request_id const& request, attempt_number attempt, bool ok)
{
    auto const found = placed_.find(attempt_key{request, attempt});
    if (found == placed_.end())
        return;
    directory_.on_work_finished(found->second.endpoint, ok);
    placed_.erase(found);
}

// ---- messages -------------------------------------------------------------

void late_binding_dispatcher::on_message(peer_id const& from, message const& m)
{
    if (auto const* o = std::get_if<offer>(&m))
        on_offer(from, *o);
    else if (auto const* r = std::get_if<reserve_refused>(&m))
        on_refused(from, *r);
    else if (auto const* report = std::get_if<load_report>(&m))
        on_load_report(*report);
    else if (auto const* hint = std::get_if<prefix_hint>(&m))
        directory_.on_prefix_hint(*hint);
}

void late_binding_dispatcher::on_offer(peer_id const& from, offer const& o)
{
    attempt_key const key{o.request, o.attempt};
    auto const found = searches_.find(key);
    auto const at_agent = [&](reservation_entry const& h)
    { return h.agent == from; };
    if (found == searches_.end() ||
        std::none_of(
            found->second.reservations.begin(),
            found->second.reservations.end(), at_agent))
    {
        auto const known = placed_.find(key);
        bool const repeated = known != placed_.end() &&
                              known->second.agent == from &&
                              known->second.permit == o.permit;
        if (repeated)
            return; // withdrawing could revoke the permit that is in use
        late_offers_total_.add();
        transport_.send(from, dotterellock::withdraw{o.request, o.attempt});
        return;
    }
    search s = std::move(found->second);
    searches_.erase(found);
    timers_.cancel(s.timer);
    auto const winner =
        std::find_if(s.reservations.begin(), s.reservations.end(), at_agent);
    for (auto const& h : s.reservations)
    {
        if (!at_agent(h))
            withdraw_reservation(s, h);
    }
    directory_.on_work_placed(winner->endpoint, s.request);
    if (winner->is_probe)
        directory_.on_probe_placed(winner->endpoint);
    if (winner->cross_region_bytes != 0)
        cross_region_total_.add();
    placed_total_.add();
    placed_[key] = placed_attempt{winner->endpoint, from, o.permit};
    candidates reserved_candidates;
    for (auto const& c : directory_.candidates(s.request))
    {
        bool const reserved = std::any_of(
            s.reservations.begin(), s.reservations.end(),
            [&](reservation_entry const& h)
            { return h.endpoint == c.info->endpoint; });
        if (reserved)
            reserved_candidates.push_back(c);
    }
    record_decision(
        step_choose_endpoint, s, reserved_candidates, winner->endpoint.value(),
        winner->cross_region_bytes != 0 ? "first offer, from another region"
                                        : "first offer");
    s.placed(placement{winner->endpoint, from, o.permit, o.incarnation});
}

void late_binding_dispatcher::on_refused(
    peer_id const& from, reserve_refused const& r)
{
    attempt_key const key{r.request, r.attempt};
    auto const found = searches_.find(key);
    if (found == searches_.end())
        return;
    search& s = found->second;
    auto const at = std::find_if(
        s.reservations.begin(), s.reservations.end(),
        [&](reservation_entry const& h) { return h.agent == from; });
    if (at == s.reservations.end())
        return;
    bool const may_retry = r.reason == error_code::permit_expired ||
                           r.reason == error_code::connection_lost;
    s.failures[at->endpoint] += may_retry ? 1 : max_failures_per_endpoint;
    cross_region_budget_.refund(at->cross_region_bytes);
    s.reservations.erase(at);
    s.last_reason = r.reason;
    if (r.retry_after.count() > 0)
    {
        s.retry_after = s.retry_after.count() == 0
                            ? r.retry_after
                            : std::min(s.retry_after, r.retry_after);
    }
    reserve_more(s, 1, std::string("refused: ") + to_string(r.reason));
    refuse_if_unreserved(key, s);
}

void late_binding_dispatcher::on_load_report(load_report const& report)
{
    if (directory_.on_load_report(report))
    {
        drop_reservations(
            [&](reservation_entry const& h)
            { return h.endpoint == report.endpoint; },
            error_code::stale_incarnation);
    }
}

void late_binding_dispatcher::on_disconnected(peer_id const& peer)
{
    auto const endpoint = directory_.endpoint_of(peer);
    if (!endpoint)
        return;
    directory_.mark_unresponsive(*endpoint);
    drop_reservations(
        [&](reservation_entry const& h) { return h.agent == peer; },
        error_code::connection_lost);
}

void late_binding_dispatcher::drop_reservations(
    std::function<bool(reservation_entry const&)> const& lost,
    error_code reason)
{
    std::vector<attempt_key> empty;
    for (auto& [key, s] : searches_)
    {
        auto const at =
            std::find_if(s.reservations.begin(), s.reservations.end(), lost);
        if (at == s.reservations.end())
            continue;
        ++s.failures[at->endpoint];
        cross_region_budget_.refund(at->cross_region_bytes);
        s.reservations.erase(at);
        s.last_reason = reason;
        reserve_more(s, 1, std::string("lost: ") + to_string(reason));
        if (s.reservations.empty())
            empty.push_back(key);
    }
    for (auto const& key : empty)
    {
        auto const found = searches_.find(key);
        if (found != searches_.end())
            refuse_if_unreserved(key, found->second);
    }
}

// ---- timers ---------------------------------------------------------------

void late_binding_dispatcher::schedule_timer(attempt_key const& key, search& s)
{
    timers_.cancel(s.timer);
    steady_time at = std::min(s.deadline, s.next_extra_at);
    for (auto const& h : s.reservations)
        at = std::min(at, h.sent + resend_interval);
    duration const left = std::max(at - clock_.now(), duration{});
    s.timer = timers_.schedule(left, [this, key] { on_timer(key); });
}

void late_binding_dispatcher::on_timer(attempt_key const& key)
{
    search& s = searches_.at(key);
    steady_time const now = clock_.now();
    if (now >= s.deadline)
    {
        refuse(
            key, error(
                     error_code::overloaded, "place", {},
                     "no endpoint had room within the waiting limit",
                     std::max(s.retry_after, default_retry_after)));
        return;
    }
    if (now >= s.next_extra_at)
    {
        auto const& dispatch = policy_.current().dispatch;
        std::size_t const present = s.reservations.size();
        if (present < dispatch.reservations)
            reserve_more(s, dispatch.reservations - present, "no early offer");
        else if (present < dispatch.max_reservations)
        {
            extra_total_.add();
            reserve_more(s, 1, "no offer in time");
        }
        s.next_extra_at = now + s.extra_interval;
        s.extra_interval *= 2;
    }
    resend_reservations(s);
    schedule_timer(key, s);
}

void late_binding_dispatcher::resend_reservations(search& s)
{
    steady_time const now = clock_.now();
    for (auto& h : s.reservations)
    {
        if (now - h.sent >= resend_interval)
            send_reserve(s, h);
    }
}

// ---- reservations ---------------------------------------------------------

bool late_binding_dispatcher::has_few_free_slots(candidates const& eligible)
{
    std::size_t regional = 0;
    std::size_t with_free_slot = 0;
    for (auto const& c : eligible)
    {
        regional += !c.other_region;
        with_free_slot +=
            !c.other_region && (c.has_free_slot || !c.has_load_report);
    }
    return regional != 0 && with_free_slot * few_free_slots_divisor < regional;
}

bool late_binding_dispatcher::reserve_more(
    search& s, std::size_t n, std::string const& reason)
{
    auto const all = directory_.candidates(s.request);
    auto eligible = eligible_candidates(s, all);
    std::string chosen;
    std::string full_reason = reason;
    std::size_t made = 0;
    while (made < n && !eligible.empty())
    {
        std::size_t const i = choose_candidate(eligible);
        scored_endpoint const candidate = eligible[i];
        eligible.erase(eligible.begin() + static_cast<std::ptrdiff_t>(i));
        // Only the first reservation of a round may go to another region; a
        // second one is not worth the billed traffic.
        if (candidate.other_region && made > 0)
            break;
        if (!reserve_at(s, candidate))
        {
            full_reason = reason + "; link budget is used up";
            break;
        }
        if (candidate.other_region)
            full_reason = reason + "; no endpoint of this region is left";
        chosen +=
            (chosen.empty() ? "" : " ") + candidate.info->endpoint.value();
        ++made;
    }
    if (s.reservations.size() == made)
        reserve_probe(s, all);
    record_decision(step_reserve, s, all, chosen, full_reason);
    return made != 0;
}

bool late_binding_dispatcher::reserve_at(
    search& s, scored_endpoint const& candidate)
{
    reservation_entry h{
        candidate.info->endpoint,
        candidate.info->agent,
        {},
        0,
        candidate.is_probe};
    if (candidate.other_region)
    {
        byte_count const bytes = cross_region_bytes_of(s.request);
        if (!cross_region_budget_.try_consume(bytes))
        {
            cross_region_refused_total_.add();
            return false;
        }
        h.cross_region_bytes = bytes;
    }
    s.reservations.push_back(h);
    send_reserve(s, s.reservations.back());
    return true;
}

void late_binding_dispatcher::reserve_probe(search& s, candidates const& all)
{
    for (auto const& c : all)
    {
        if (!c.is_probe || c.other_region)
            continue;
        reserve_at(s, c);
        return;
    }
}

late_binding_dispatcher::candidates
late_binding_dispatcher::eligible_candidates(
    search const& s, candidates const& all) const
{
    candidates eligible;
    for (auto const& c : all)
    {
        auto const& endpoint = c.info->endpoint;
        bool const reserved = std::any_of(
            s.reservations.begin(), s.reservations.end(),
            [&](reservation_entry const& h) { return h.endpoint == endpoint; });
        auto const failed = s.failures.find(endpoint);
        bool const exhausted = failed != s.failures.end() &&
                               failed->second >= max_failures_per_endpoint;
        if (!reserved && !exhausted && !c.is_probe)
            eligible.push_back(c);
    }
    return eligible;
}

std::size_t
late_binding_dispatcher::choose_candidate(candidates const& eligible)
{
    if (eligible.front().cached_prefix_fraction > 0)
        return 0;
    // Power of two choices: if all routers took the best endpoint of the same
    // outdated reports, they would overload it.
    std::size_t const regional = static_cast<std::size_t>(std::count_if(
        eligible.begin(), eligible.end(),
        [](scored_endpoint const& c) { return !c.other_region; }));
    std::size_t const n = regional != 0 ? regional : eligible.size();
    return std::min(random_.below(n), random_.below(n));
}

void late_binding_dispatcher::send_reserve(search& s, reservation_entry& h)
{
    h.sent = clock_.now();
    directory_.on_reservation_sent(h.endpoint);
    auto const& r = s.request;
    auto const budget =
        std::chrono::duration_cast<milliseconds>(s.deadline - h.sent);
    transport_.send(
        h.agent, reserve{
                     r.request, r.attempt, r.epoch, r.organisation, r.rank,
                     r.kind, r.model, r.service, r.estimated_tokens,
                     std::max(budget, milliseconds{1})});
}

void late_binding_dispatcher::withdraw_reservation(
    search const& s, reservation_entry const& h)
{
    cross_region_budget_.refund(h.cross_region_bytes);
    transport_.send(
        h.agent, dotterellock::withdraw{s.request.request, s.request.attempt});
}

void late_binding_dispatcher::refuse_if_unreserved(
    attempt_key const& key, search& s)
{
    if (!s.reservations.empty())
    {
        schedule_timer(key, s);
        return;
    }
    bool const overloaded = s.last_reason == error_code::overloaded;
    refuse(
        key,
        error(
            overloaded ? error_code::overloaded : error_code::no_endpoint,
            "place", {},
            overloaded ? "all endpoints refused the reservation"
                       : "no endpoint can take the work",
            s.retry_after.count() > 0 ? s.retry_after : default_retry_after));
}

void late_binding_dispatcher::refuse(attempt_key const& key, error const& e)
{
    auto const found = searches_.find(key);
    search const s = std::move(found->second);
    searches_.erase(found);
    timers_.cancel(s.timer);
    for (auto const& h : s.reservations)
        withdraw_reservation(s, h);
    refused_total_.add();
    record_decision(step_choose_endpoint, s, {}, {}, e.detail());
    s.refused(e);
}

void late_binding_dispatcher::record_decision(
    char const* step, search const& s, candidates const& all,
    std::string choice, std::string reason)
{
    decision d;
    d.step = step;
    d.request = s.request.request;
    d.attempt = s.request.attempt;
    d.rank = s.request.rank;
    d.organisation = s.request.organisation;
    d.choice = std::move(choice);
    d.reason = std::move(reason);
    for (auto const& c : all)
    {
        d.candidates.push_back(
            c.info->endpoint.value() + ":" +
            std::to_string(static_cast<std::int64_t>(c.score)));
    }
    log_.record(d);
}

} // namespace dotterellock
