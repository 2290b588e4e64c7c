#include "reservation_queue.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

constexpr std::chrono::seconds router_forgotten_after{10};
constexpr milliseconds shortest_retry{100};
constexpr milliseconds longest_retry{10000};

// Part of the throughput sums that one completion leaves; about 50 count.
constexpr double completion_memory = 0.98;

// Weight of one observed stream in the mean pace; 10 replace 2/3 of it.
constexpr double pace_weight = 0.1;

// An offer is sent later by a little for each work that has started within the
// time of a usual prefill, so that of several agents with room the one that is
// least busy with prefill offers first. Reports lag too much to show that.
constexpr milliseconds usual_prefill{500};
constexpr milliseconds offer_delay_per_start{5};
constexpr std::size_t most_delaying_starts = 4;

// Suspension waits for this part of the first-token target, so that the other
// reservations of the same request, the extra one included, get a chance.
constexpr int preemption_wait_divisor = 4;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

reservation_queue::reservation_queue(
    endpoint_id self, dotterellock::incarnation run, std::uint32_t capacity,
    clock_source& clock, timer_service& timers, peer_transport& transport,
    policy_source const& policy, decision_log& log, counter_registry& counters)
    : self_(std::move(self)), incarnation_(run), capacity_(capacity),
      clock_(clock), timers_(timers), transport_(transport), policy_(policy),
      log_(log), offers_(counters.counter("queue_offers_total")),
      expired_(counters.counter("queue_offers_expired_total")),
      refused_(counters.counter("queue_refused_total")),
      rejected_permits_(counters.counter("queue_permits_rejected_total")),
      suspensions_(counters.counter("queue_suspensions_total")), queue_(policy)
{
    send_reports();
}

reservation_queue::~reservation_queue()
{
    timers_.cancel(deadline_timer_);
    timers_.cancel(report_timer_);
    timers_.cancel(preemption_timer_);
    for (auto const& [permit, r] : entries_)
        timers_.cancel(r.paced);
}

// ---- messages -------------------------------------------------------------

void reservation_queue::on_message(peer_id const& from, message const& m)
{
    routers_[from] = clock_.now();
    if (auto const* asked = std::get_if<reserve>(&m))
        on_reserve(from, *asked);
    else if (auto const* w = std::get_if<withdraw>(&m))
        on_withdraw(from, *w);
}

void reservation_queue::on_reserve(peer_id const& from, reserve const& asked)
{
    run_deadlines();
    auto const known = by_key_.find(key{from, asked.request, asked.attempt});
    if (known != by_key_.end())
    {
        // Repeated because an answer may have been lost.
        auto const& r = entries_.at(known->second);
        if (r.state == phase::offered && r.paced == 0)
            send_offer(known->second, r);
        return;
    }
    if (draining_)
    {
        refuse(
            from, asked.request, asked.attempt, error_code::endpoint_draining);
        return;
    }
    permit_id const permit = ++last_permit_;
    std::uint32_t const tokens =
        std::max<std::uint32_t>(asked.estimated_tokens, 1);
    auto const pushed = queue_.push(queue_entry{
        permit, asked.organisation, asked.rank, tokens, due(asked)});
    if (!pushed.accepted)
    {
        refuse(from, asked.request, asked.attempt, error_code::overloaded);
        return;
    }
    if (pushed.evicted)
        refuse_queued(*pushed.evicted, error_code::overloaded);
    steady_time const now = clock_.now();
    auto& r = entries_[permit];
    r.router = from;
    r.asked = asked;
    r.since = now;
    by_key_.emplace(key{from, asked.request, asked.attempt}, permit);
    if (asked.waiting_budget.count() > 0)
        set_deadline(permit, r, now + asked.waiting_budget);
    offer_slots();
    consider_preemption();
}

steady_time reservation_queue::due(reserve const& asked) const
{
    auto const& r = policy_.current().ranks[index_of(asked.rank)];
    // The router has waited for what is missing of the limit.
    bool const known = asked.waiting_budget.count() > 0;
    milliseconds const waited =
        known ? std::max(r.waiting_limit - asked.waiting_budget, milliseconds{})
              : milliseconds{};
    milliseconds const prefill =
        std::min(usual_prefill, r.first_token_target / 3);
    return clock_.now() + r.first_token_target - prefill - waited;
}

void reservation_queue::on_withdraw(peer_id const& from, withdraw const& w)
{
    auto const known = by_key_.find(key{from, w.request, w.attempt});
    if (known == by_key_.end())
        return;
    auto const which = entries_.find(known->second);
    if (which->second.state == phase::running)
        return; // the dispatch arrived first; the gates handle cancel
    drop(which);
    offer_slots();
}

void reservation_queue::on_disconnected(peer_id const& peer)
{
    // Reservations of a lost router would each hold a slot until an offer
    // expires. Offers stay: the dispatch may come over a new connection.
    std::vector<permit_id> lost;
    for (auto const& [permit, r] : entries_)
    {
        if (r.router == peer && r.state == phase::queued)
            lost.push_back(permit);
    }
    for (auto const permit : lost)
        refuse_queued(permit, error_code::connection_lost);
    routers_.erase(peer);
}

void reservation_queue::refuse(
    peer_id const& to, request_id const& request, attempt_number attempt,
    error_code reason)
{
    refused_.add();
    transport_.send(
        to, reserve_refused{request, attempt, reason, retry_after()});
}

void reservation_queue::refuse_queued(permit_id permit, error_code reason)
{
    auto const which = entries_.find(permit);
    auto const& r = which->second;
    refuse(r.router, r.asked.request, r.asked.attempt, reason);
    drop(which);
}

// ---- slots ----------------------------------------------------------------

void reservation_queue::offer_slots()
{
    while (slots_in_use() < capacity_)
    {
        auto const next = queue_.pop(clock_.now());
        if (!next)
            return;
        permit_id const permit = next->entry.id;
        auto& r = entries_.at(permit);
        clear_deadline(permit, r);
        r.state = phase::offered;
        r.served = *next;
        r.since = clock_.now();
        ++offered_;
        set_deadline(
            permit, r, r.since + policy_.current().queue.offer_validity);
        if (queue_.size() == 0)
            pace_offer(permit, r);
        else
            send_offer(permit, r);
    }
}

void reservation_queue::pace_offer(permit_id permit, reservation& r)
{
    steady_time const now = clock_.now();
    while (!recent_starts_.empty() &&
           now - recent_starts_.front() > usual_prefill)
        recent_starts_.pop_front();
    auto const n = std::min(recent_starts_.size(), most_delaying_starts);
    if (n == 0)
    {
        send_offer(permit, r);
        return;
    }
    r.paced = timers_.schedule(
        static_cast<int>(n) * offer_delay_per_start,
        [this, permit]
        {
            auto& waiting = entries_.at(permit);
            waiting.paced = 0;
            send_offer(permit, waiting);
        });
}

void reservation_queue::send_offer(permit_id permit, reservation const& r)
{
    offers_.add();
    transport_.send(
        r.router, offer{
                      r.asked.request, r.asked.attempt, permit, incarnation_,
                      std::chrono::duration_cast<milliseconds>(
                          r.deadline - clock_.now())});
}

std::optional<error_code> reservation_queue::redeem(
    permit_id permit, request_id const& request, attempt_number attempt,
    dotterellock::incarnation issued_by)
{
    if (issued_by != incarnation_)
    {
        rejected_permits_.add();
        return error_code::stale_incarnation;
    }
    run_deadlines(); // a paused agent's timers may be late
    auto const found = entries_.find(permit);
    bool const valid = found != entries_.end() &&
                       found->second.state == phase::offered &&
                       found->second.asked.request == request &&
                       found->second.asked.attempt == attempt;
    if (!valid)
    {
        rejected_permits_.add();
        return error_code::permit_expired;
    }
    auto& r = found->second;
    clear_deadline(permit, r);
    timers_.cancel(r.paced);
    r.state = phase::running;
    recent_starts_.push_back(clock_.now());
    r.since = clock_.now();
    --offered_;
    running_permits_.insert(permit);
    return std::nullopt;
}

void reservation_queue::release(permit_id permit, std::uint32_t tokens)
{
    auto const found = entries_.find(permit);
    if (found == entries_.end() || found->second.state != phase::running)
        return;
    auto const& r = found->second;
    double const ran = seconds(clock_.now() - r.since);
    if (r.asked.kind == work_kind::generation && ran > 0 && tokens > 0)
    {
        completed_tokens_ = completion_memory * completed_tokens_ + tokens;
        completed_seconds_ = completion_memory * completed_seconds_ + ran;
    }
    queue_.correct(r.served, tokens);
    if (r.suspending)
        --suspending_;
    running_permits_.erase(permit);
    by_key_.erase(key{r.router, r.asked.request, r.asked.attempt});
    entries_.erase(found);
    offer_slots();
}

void reservation_queue::drop(reservations::iterator which)
{
    auto const& [permit, r] = *which;
    clear_deadline(permit, r);
    timers_.cancel(r.paced);
    if (r.state == phase::offered)
    {
        --offered_;
        queue_.correct(r.served, 0);
    }
    else
        queue_.erase(permit);
    by_key_.erase(key{r.router, r.asked.request, r.asked.attempt});
    entries_.erase(which);
}

void reservation_queue::set_draining(bool draining)
{
    if (std::exchange(draining_, draining) != draining)
    {
        // Routers that learned it only with the next periodic report would
        // refuse requests meanwhile that this endpoint takes again.
        timers_.cancel(report_timer_);
        send_reports();
    }
    if (!draining)
    {
        offer_slots();
        return;
    }
    std::vector<permit_id> queued;
    for (auto const& [permit, r] : entries_)
    {
        if (r.state == phase::queued || r.paced != 0)
            queued.push_back(permit); // not offered yet
    }
    for (auto const permit : queued)
        refuse_queued(permit, error_code::endpoint_draining);
}

// ---- preemption -----------------------------------------------------------

void reservation_queue::set_preemption(suspend_function suspend)
{
    suspend_ = std::move(suspend);
}

void reservation_queue::consider_preemption()
{
    timers_.cancel(preemption_timer_);
    preemption_timer_ = 0;
    auto const waiting = queue_.most_urgent();
    if (!suspend_ || !waiting || waiting->rank == rank::background)
        return;
    duration const patience =
        policy_.current().ranks[index_of(waiting->rank)].first_token_target /
        preemption_wait_divisor;
    duration const waited = clock_.now() - entries_.at(waiting->id).since;
    if (waited >= patience && suspending_ < queue_.waiting(waiting->rank))
        suspend_for(*waiting);
    duration const next = waited < patience ? patience - waited : patience;
    preemption_timer_ =
        timers_.schedule(next, [this] { consider_preemption(); });
}

void reservation_queue::suspend_for(queue_entry const& waiting)
{
    auto const victim = preemption_victim(waiting);
    if (victim == entries_.end())
        return;
    victim->second.suspending = true;
    ++suspending_;
    suspensions_.add();
    auto const& asked = victim->second.asked;
    log_.record(decision{
        "suspend",
        asked.request,
        asked.attempt,
        asked.rank,
        asked.organisation,
        {},
        self_.value(),
        "more urgent work waits: " +
            entries_.at(waiting.id).asked.request.value()});
    suspend_(victim->first); // may call release()
}

reservation_queue::reservations::iterator
reservation_queue::preemption_victim(queue_entry const& waiting)
{
    auto const& ranks = policy_.current().ranks;
    auto best = entries_.end();
    double best_gain = 0;
    double running_tokens = 0;
    std::array<double, rank_count> rank_tokens{};
    for (auto const permit : running_permits_)
    {
        auto const& r = entries_.at(permit);
        if (r.suspending)
            continue;
        running_tokens += r.served.entry.tokens;
        rank_tokens[index_of(r.asked.rank)] += r.served.entry.tokens;
    }
    for (auto const permit : running_permits_)
    {
        auto const i = entries_.find(permit);
        auto const& r = i->second;
        std::size_t const level = index_of(r.asked.rank);
        if (r.suspending || r.asked.kind != work_kind::generation ||
            level <= index_of(waiting.rank))
            continue;
        double const tokens = r.served.entry.tokens;
        // What the floor guarantees to a rank is not taken away again.
        if (rank_tokens[level] - tokens <
            ranks[level].floor_share * running_tokens)
            continue;
        // Value of the waiting work, less the value that the victim's tokens
        // would have had in its place and that of its repeated prefill, for
        // which the estimated tokens are an upper bound.
        double const own_value_per_token = ranks[level].worth / tokens;
        double const gain = ranks[index_of(waiting.rank)].worth -
                            own_value_per_token * (waiting.tokens + tokens);
        if (gain > best_gain)
        {
            best_gain = gain;
            best = i;
        }
    }
    return best;
}

// ---- deadlines ------------------------------------------------------------

void reservation_queue::set_deadline(
    permit_id permit, reservation& r, steady_time at)
{
    r.deadline = at;
    deadlines_.insert({at, permit});
    if (deadlines_.begin()->second == permit)
        arm();
}

void reservation_queue::clear_deadline(permit_id permit, reservation const& r)
{
    deadlines_.erase({r.deadline, permit});
}

void reservation_queue::arm()
{
    timers_.cancel(deadline_timer_);
    deadline_timer_ = 0;
    if (deadlines_.empty())
        return;
    duration const left =
        std::max(deadlines_.begin()->first - clock_.now(), duration{});
    deadline_timer_ = timers_.schedule(left, [this] { run_deadlines(); });
}

void reservation_queue::run_deadlines()
{
    steady_time const now = clock_.now();
    bool any = false;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        any = true;
        auto const which = entries_.find(deadlines_.begin()->second);
        auto const& r = which->second;
        if (r.state == phase::offered)
        {
            expired_.add();
            transport_.send(
                r.router, reserve_refused{
                              r.asked.request, r.asked.attempt,
                              error_code::permit_expired, milliseconds{0}});
            drop(which);
        }
        else
            refuse_queued(which->first, error_code::overloaded);
    }
    if (any)
        offer_slots();
    arm();
}

// ---- reports --------------------------------------------------------------

load_report reservation_queue::report() const
{
    load_report report;
    report.endpoint = self_;
    report.incarnation = incarnation_;
    report.running = slots_in_use();
    report.capacity = capacity_;
    for (auto const r : all_ranks)
    {
        report.waiting[index_of(r)] =
            static_cast<std::uint32_t>(queue_.waiting(r));
    }
    report.waiting_tokens = queue_.waiting_tokens();
    report.tokens_per_second_per_stream = stream_pace_;
    report.tokens_per_second = tokens_per_second();
    report.draining = draining_;
    return report;
}

void reservation_queue::observe_token_rate(double tokens_per_second)
{
    if (tokens_per_second <= 0)
        return;
    double const weight = stream_pace_ > 0 ? pace_weight : 1;
    stream_pace_ += weight * (tokens_per_second - stream_pace_);
}

double reservation_queue::tokens_per_second() const
{
    return completed_seconds_ > 0
               ? running() * completed_tokens_ / completed_seconds_
               : 0;
}

milliseconds reservation_queue::retry_after() const
{
    double const rate = tokens_per_second();
    if (rate <= 0)
        return shortest_retry;
    double const wait_ms =
        1000.0 * static_cast<double>(queue_.waiting_tokens()) / rate;
    return milliseconds(static_cast<milliseconds::rep>(std::clamp(
        wait_ms, double(shortest_retry.count()),
        double(longest_retry.count()))));
}

void reservation_queue::send_reports()
{
    steady_time const now = clock_.now();
    load_report const current = report();
    for (auto i = routers_.begin(); i != routers_.end();)
    {
        if (now - i->second > router_forgotten_after)
        {
            i = routers_.erase(i);
            continue;
        }
        transport_.send(i->first, current);
        ++i;
    }
    report_timer_ = timers_.schedule(
        policy_.current().recovery.report_interval, [this] { send_reports(); });
}

} // namespace dotterellock
