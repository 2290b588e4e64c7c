#include "late_binding_dispatcher.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

// A prefix hit saves seconds of prefill of a long prompt; an offer takes a
// round trip of a few milliseconds inside a region.
constexpr milliseconds prefix_head_start{30};
constexpr double prefix_share_for_head_start = 0.25;

// An unanswered reservation is sent again, because messages are lost without
// notice when a connection fails. Agents ignore repetitions.
constexpr milliseconds renew_after{1000};

// After an expired offer or a lost connection the same agent may be asked
// again, but not without end.
constexpr std::uint32_t max_losses_per_agent = 3;

// When fewer than a quarter of the candidates report a free slot, all
// reservations are placed at once: the wait for the first slot that becomes
// free falls with the number of agents that are asked, and two random ones
// would miss the few free ones.
constexpr std::size_t crowded_divisor = 4;

constexpr milliseconds no_endpoint_retry{1000};

// Token messages and their frames on the way back over the link.
constexpr byte_count link_bytes_per_token = 16;

char const* const step_reserve = "reserve";
char const* const step_place = "choose_endpoint";

byte_count link_bytes_of(place_request const& work)
{
    byte_count const answer =
        work.kind == work_kind::generation
            ? byte_count{work.estimated_tokens} * link_bytes_per_token
            : 0;
    return work.payload_bytes + answer;
}

} // namespace

late_binding_dispatcher::late_binding_dispatcher(
    peer_id self, node_location location, endpoint_directory& directory,
    clock_source& clock, timer_service& timers, random_source& random,
    peer_transport& transport, policy_source const& policy, link_budget& link,
    retry_budget& retries, decision_log& log, counter_registry& counters)
    : self_(std::move(self)), directory_(directory), clock_(clock),
      timers_(timers), random_(random), transport_(transport), policy_(policy),
      link_(link), retries_(retries), log_(log),
      placed_total_(counters.counter("dispatch_placed_total")),
      refused_total_(counters.counter("dispatch_refused_total")),
      extra_total_(counters.counter("dispatch_extra_reservations_total")),
      late_offers_(counters.counter("dispatch_late_offers_total")),
      cross_region_(counters.counter("dispatch_cross_region_total")),
      link_refused_(counters.counter("dispatch_link_budget_refused_total")),
      retries_refused_(counters.counter("dispatch_retries_refused_total"))
{
    directory_.set_viewpoint(self_, std::move(location));
}

late_binding_dispatcher::~late_binding_dispatcher()
{
    for (auto const& [which, s] : searches_)
        timers_.cancel(s.timer);
}

// ---- calls ----------------------------------------------------------------

void late_binding_dispatcher::place(
    place_request request, std::function<void(placement)> placed,
    std::function<void(error)> refused)
{
    key const which{request.request, request.attempt};
    withdraw(request.request, request.attempt);
    auto const& policy = policy_.current();
    search& s = searches_[which];
    s.placed = std::move(placed);
    s.refused = std::move(refused);
    steady_time const now = clock_.now();
    duration const limit =
        request.waiting_limit > duration{}
            ? request.waiting_limit
            : policy.ranks[index_of(request.rank)].waiting_limit;
    s.deadline = now + limit;
    s.extra_interval = policy.dispatch.extra_reservation_after;
    s.next_extra = now + s.extra_interval;
    s.request = std::move(request);
    if (s.request.is_retry && !retries_.try_retry(s.request.rank))
    {
        retries_refused_.add();
        s.timer = timers_.schedule(
            duration{},
            [this, which]
            {
                refuse(
                    which, error(
                               error_code::overloaded, "place", {},
                               "retry budget is used up", no_endpoint_retry));
            });
        return;
    }
    if (!s.request.is_retry)
        retries_.on_first_attempt(s.request.rank);
    start(which);
}

void late_binding_dispatcher::start(key const& which)
{
    search& s = searches_.at(which);
    auto const all = directory_.candidates(s.request);
    auto const open = open_candidates(s, all);
    bool const head_start =
        !open.empty() && open.front().has_room && !open.front().other_region &&
        open.front().prefix_share >= prefix_share_for_head_start;
    if (head_start)
    {
        s.next_extra = clock_.now() + prefix_head_start;
        reserve_more(s, 1, "prefix may be cached");
    }
    else if (crowded(open))
        reserve_more(
            s, policy_.current().dispatch.max_reservations,
            "first, few free slots are known");
    else
        reserve_more(s, policy_.current().dispatch.reservations, "first");
    if (!s.reservations.empty())
    {
        arm(which, s);
        return;
    }
    // The refusal must not run inside place().
    s.timer = timers_.schedule(
        duration{},
        [this, which] { give_up_unless_held(which, searches_.at(which)); });
}

void late_binding_dispatcher::withdraw(
    request_id const& request, attempt_number attempt)
{
    auto const found = searches_.find(key{request, attempt});
    if (found == searches_.end())
        return;
    timers_.cancel(found->second.timer);
    for (auto const& h : found->second.reservations)
        withdraw_at(found->second, h);
    searches_.erase(found);
}

void late_binding_dispatcher::finished(
    request_id const& request, attempt_number attempt, bool ok)
{
    auto const found = placed_.find(key{request, attempt});
    if (found == placed_.end())
        return;
    directory_.on_finished(found->second.endpoint, ok);
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
    key const which{o.request, o.attempt};
    auto const found = searches_.find(which);
    auto const at_agent = [&](held const& h) { return h.agent == from; };
    if (found == searches_.end() ||
        std::none_of(
            found->second.reservations.begin(),
            found->second.reservations.end(), at_agent))
    {
        auto const known = placed_.find(which);
        bool const repeated = known != placed_.end() &&
                              known->second.agent == from &&
                              known->second.permit == o.permit;
        if (repeated)
            return; // a withdrawal could take the permit from the dispatch
        late_offers_.add();
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
            withdraw_at(s, h);
    }
    directory_.on_sent(winner->endpoint, s.request);
    if (winner->probe)
        directory_.on_probe_sent(winner->endpoint);
    if (winner->link_bytes != 0)
        cross_region_.add();
    placed_total_.add();
    placed_[which] = placed_at{winner->endpoint, from, o.permit};
    candidates waited;
    for (auto const& c : directory_.candidates(s.request))
    {
        bool const reserved = std::any_of(
            s.reservations.begin(), s.reservations.end(),
            [&](held const& h) { return h.endpoint == c.info->endpoint; });
        if (reserved)
            waited.push_back(c);
    }
    record(
        step_place, s, waited, winner->endpoint.value(),
        winner->link_bytes != 0 ? "first offer, from another region"
                                : "first offer");
    s.placed(placement{winner->endpoint, from, o.permit, o.incarnation});
}

void late_binding_dispatcher::on_refused(
    peer_id const& from, reserve_refused const& r)
{
    key const which{r.request, r.attempt};
    auto const found = searches_.find(which);
    if (found == searches_.end())
        return;
    search& s = found->second;
    auto const at = std::find_if(
        s.reservations.begin(), s.reservations.end(),
        [&](held const& h) { return h.agent == from; });
    if (at == s.reservations.end())
        return;
    bool const may_ask_again = r.reason == error_code::permit_expired ||
                               r.reason == error_code::connection_lost;
    s.failures[at->endpoint] += may_ask_again ? 1 : max_losses_per_agent;
    link_.give_back(at->link_bytes);
    s.reservations.erase(at);
    s.reason = r.reason;
    if (r.retry_after.count() > 0)
    {
        s.retry_after = s.retry_after.count() == 0
                            ? r.retry_after
                            : std::min(s.retry_after, r.retry_after);
    }
    reserve_more(s, 1, std::string("refused: ") + to_string(r.reason));
    give_up_unless_held(which, s);
}

void late_binding_dispatcher::on_load_report(load_report const& report)
{
    if (directory_.on_load_report(report))
    {
        lose_reservations(
            [&](held const& h) { return h.endpoint == report.endpoint; },
            error_code::stale_incarnation);
    }
}

void late_binding_dispatcher::on_disconnected(peer_id const& peer)
{
    auto const endpoint = directory_.endpoint_of(peer);
    if (!endpoint)
        return;
    directory_.on_silent(*endpoint);
    lose_reservations(
        [&](held const& h) { return h.agent == peer; },
        error_code::connection_lost);
}

void late_binding_dispatcher::lose_reservations(
    std::function<bool(held const&)> const& lost, error_code reason)
{
    std::vector<key> empty;
    for (auto& [which, s] : searches_)
    {
        auto const at =
            std::find_if(s.reservations.begin(), s.reservations.end(), lost);
        if (at == s.reservations.end())
            continue;
        ++s.failures[at->endpoint];
        link_.give_back(at->link_bytes);
        s.reservations.erase(at);
        s.reason = reason;
        reserve_more(s, 1, std::string("lost: ") + to_string(reason));
        if (s.reservations.empty())
            empty.push_back(which);
    }
    for (auto const& which : empty)
    {
        auto const found = searches_.find(which);
        if (found != searches_.end())
            give_up_unless_held(which, found->second);
    }
}

// ---- time -----------------------------------------------------------------

void late_binding_dispatcher::arm(key const& which, search& s)
{
    timers_.cancel(s.timer);
    steady_time at = std::min(s.deadline, s.next_extra);
    for (auto const& h : s.reservations)
        at = std::min(at, h.sent + renew_after);
    duration const left = std::max(at - clock_.now(), duration{});
    s.timer = timers_.schedule(left, [this, which] { wake(which); });
}

void late_binding_dispatcher::wake(key const& which)
{
    search& s = searches_.at(which);
    steady_time const now = clock_.now();
    if (now >= s.deadline)
    {
        refuse(
            which, error(
                       error_code::overloaded, "place", {},
                       "no endpoint had room within the waiting limit",
                       std::max(s.retry_after, no_endpoint_retry)));
        return;
    }
    if (now >= s.next_extra)
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
        s.next_extra = now + s.extra_interval;
        s.extra_interval *= 2;
    }
    renew(s);
    arm(which, s);
}

void late_binding_dispatcher::renew(search& s)
{
    steady_time const now = clock_.now();
    for (auto& h : s.reservations)
    {
        if (now - h.sent >= renew_after)
            send_reserve(s, h);
    }
}

// ---- reservations ---------------------------------------------------------

bool late_binding_dispatcher::crowded(candidates const& open)
{
    std::size_t near = 0;
    std::size_t with_room = 0;
    for (auto const& c : open)
    {
        near += !c.other_region;
        with_room += !c.other_region && (c.has_room || !c.reported);
    }
    return near != 0 && with_room * crowded_divisor < near;
}

bool late_binding_dispatcher::reserve_more(
    search& s, std::size_t n, std::string const& reason)
{
    auto const all = directory_.candidates(s.request);
    auto open = open_candidates(s, all);
    std::string chosen;
    std::string why = reason;
    std::size_t made = 0;
    while (made < n && !open.empty())
    {
        std::size_t const i = choose(open);
        scored_endpoint const at = open[i];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
        // A second first reservation is not worth the link.
        if (at.other_region && made > 0)
            break;
        if (!reserve_at(s, at))
        {
            why = reason + "; link budget is used up";
            break;
        }
        if (at.other_region)
            why = reason + "; no endpoint of this region is left";
        chosen += (chosen.empty() ? "" : " ") + at.info->endpoint.value();
        ++made;
    }
    if (s.reservations.size() == made)
        reserve_probe(s, all);
    record(step_reserve, s, all, chosen, why);
    return made != 0;
}

bool late_binding_dispatcher::reserve_at(search& s, scored_endpoint const& at)
{
    held h{at.info->endpoint, at.info->agent, {}, 0, at.probe};
    if (at.other_region)
    {
        byte_count const bytes = link_bytes_of(s.request);
        if (!link_.try_take(bytes))
        {
            link_refused_.add();
            return false;
        }
        h.link_bytes = bytes;
    }
    s.reservations.push_back(h);
    send_reserve(s, s.reservations.back());
    return true;
}

void late_binding_dispatcher::reserve_probe(search& s, candidates const& all)
{
    for (auto const& c : all)
    {
        if (!c.probe || c.other_region)
            continue;
        reserve_at(s, c);
        return;
    }
}

late_binding_dispatcher::candidates late_binding_dispatcher::open_candidates(
    search const& s, candidates const& all) const
{
    candidates open;
    for (auto const& c : all)
    {
        auto const& endpoint = c.info->endpoint;
        bool const reserved = std::any_of(
            s.reservations.begin(), s.reservations.end(),
            [&](held const& h) { return h.endpoint == endpoint; });
        auto const failed = s.failures.find(endpoint);
        bool const given_up = failed != s.failures.end() &&
                              failed->second >= max_losses_per_agent;
        if (!reserved && !given_up && !c.probe)
            open.push_back(c);
    }
    return open;
}

std::size_t late_binding_dispatcher::choose(candidates const& open)
{
    if (open.front().prefix_share > 0)
        return 0;
    // The better of two random ones: routers that all took the best one of
    // the same lagging reports would crowd it.
    std::size_t const near = static_cast<std::size_t>(std::count_if(
        open.begin(), open.end(),
        [](scored_endpoint const& c) { return !c.other_region; }));
    std::size_t const n = near != 0 ? near : open.size();
    return std::min(random_.below(n), random_.below(n));
}

void late_binding_dispatcher::send_reserve(search& s, held& h)
{
    h.sent = clock_.now();
    directory_.on_reserved(h.endpoint);
    auto const& r = s.request;
    auto const budget =
        std::chrono::duration_cast<milliseconds>(s.deadline - h.sent);
    transport_.send(
        h.agent, reserve{
                     r.request, r.attempt, r.epoch, r.organisation, r.rank,
                     r.kind, r.model, r.service, r.estimated_tokens,
                     std::max(budget, milliseconds{1})});
}

void late_binding_dispatcher::withdraw_at(search const& s, held const& h)
{
    link_.give_back(h.link_bytes);
    transport_.send(
        h.agent, dotterellock::withdraw{s.request.request, s.request.attempt});
}

void late_binding_dispatcher::give_up_unless_held(key const& which, search& s)
{
    if (!s.reservations.empty())
    {
        arm(which, s);
        return;
    }
    bool const overloaded = s.reason == error_code::overloaded;
    refuse(
        which,
        error(
            overloaded ? error_code::overloaded : error_code::no_endpoint,
            "place", {},
            overloaded ? "all endpoints refused the reservation"
                       : "no endpoint can take the work",
            s.retry_after.count() > 0 ? s.retry_after : no_endpoint_retry));
}

void late_binding_dispatcher::refuse(key const& which, error const& e)
{
    auto const found = searches_.find(which);
    search const s = std::move(found->second);
    searches_.erase(found);
    timers_.cancel(s.timer);
    for (auto const& h : s.reservations)
        withdraw_at(s, h);
    refused_total_.add();
    record(step_place, s, {}, {}, e.detail());
    s.refused(e);
}

void late_binding_dispatcher::record(
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
