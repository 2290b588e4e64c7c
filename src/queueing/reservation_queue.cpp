#include "reservation_queue.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

// Load reports to a router stop when it has sent no message for this long.
constexpr std::chrono::seconds router_expiry{10};
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{10000};

// Decay factor of the throughput sums per completion; the sums cover about the
// last 50 completions.
constexpr double completion_decay = 0.98;

// Weight of one observation in the moving average of the stream rate; after 10
// observations 2/3 of the average has been replaced.
constexpr double stream_rate_weight = 0.1;

// An offer is delayed for each run that has started within the typical duration
// of a prefill. Of several agents with free slots, the one least busy with
// prefill then offers first. Load reports lag too much to show this.
constexpr milliseconds typical_prefill{500};
constexpr milliseconds offer_delay_per_start{5};
constexpr std::size_t max_delaying_starts = 4;

// Running work is suspended only after a reservation has waited for this
// fraction (1/4) of the first-token target, so that the other reservations of
// the same request, including the extra one, can be offered a slot first.
constexpr int preemption_wait_divisor = 4;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

reservation_queue::reservation_queue(
    endpoint_id self, dotterellock::incarnation own_incarnation,
    std::uint32_t capacity, clock_source& clock, timer_service& timers,
    peer_transport& transport, policy_source const& policy, decision_log& log,
    counter_registry& counters)
    : self_(std::move(self)), incarnation_(own_incarnation),
      capacity_(capacity), clock_(clock), timers_(timers),
      transport_(transport), policy_(policy), log_(log),
      offers_total_(counters.counter("queue_offers_total")),
      offers_expired_total_(counters.counter("queue_offers_expired_total")),
      refused_total_(counters.counter("queue_refused_total")),
      permits_rejected_total_(counters.counter("queue_permits_rejected_total")),
      suspensions_total_(counters.counter("queue_suspensions_total")),
      queue_(policy)
{
    send_reports();
}

reservation_queue::~reservation_queue()
{
    timers_.cancel(deadline_timer_);
    timers_.cancel(report_timer_);
    timers_.cancel(preemption_timer_);
    for (auto const& [permit, r] : reservations_)
        timers_.cancel(r.offer_timer);
}

// ---- messages -------------------------------------------------------------

void reservation_queue::on_message(peer_id const& from, message const& m)
{
    routers_[from] = clock_.now();
    if (auto const* reserve_message = std::get_if<reserve>(&m))
        on_reserve(from, *reserve_message);
    else if (auto const* w = std::get_if<withdraw>(&m))
        on_withdraw(from, *w);
}

void reservation_queue::on_reserve(
    peer_id const& from, reserve const& reserve_message)
{
    process_deadlines();
    auto const known = permits_by_key_.find(reservation_key{
        from, reserve_message.request, reserve_message.attempt});
    if (known != permits_by_key_.end())
    {
        // The router repeats a reserve when the reply may have been lost.
        auto const& r = reservations_.at(known->second);
        if (r.state == phase::offered && r.offer_timer == 0)
            send_offer(known->second, r);
        return;
    }
    if (draining_)
    {
        refuse(
            from, reserve_message.request, reserve_message.attempt,
            error_code::endpoint_draining);
        return;
    }
    permit_id const permit = ++last_permit_;
    std::uint32_t const tokens =
        std::max<std::uint32_t>(reserve_message.estimated_tokens, 1);
    auto const pushed = queue_.push(queue_entry{
        permit, reserve_message.organisation, reserve_message.rank, tokens,
        latest_start(reserve_message)});
    if (!pushed.accepted)
    {
        refuse(
            from, reserve_message.request, reserve_message.attempt,
            error_code::overloaded);
        return;
    }
    if (pushed.evicted)
        refuse_and_remove(*pushed.evicted, error_code::overloaded);
    steady_time const now = clock_.now();
    auto& r = reservations_[permit];
    r.router = from;
    r.reserve_message = reserve_message;
    r.phase_start = now;
    permits_by_key_.emplace(
        reservation_key{from, reserve_message.request, reserve_message.attempt},
        permit);
    if (reserve_message.waiting_budget.count() > 0)
        set_deadline(permit, r, now + reserve_message.waiting_budget);
    offer_slots();
    consider_preemption();
}

steady_time
reservation_queue::latest_start(reserve const& reserve_message) const
{
    auto const& r = policy_.current().ranks[index_of(reserve_message.rank)];
    // The request has already waited at the router for the part of the limit
    // that is not in the remaining budget.
    bool const known = reserve_message.waiting_budget.count() > 0;
    milliseconds const waited =
        known ? std::max(
                    r.waiting_limit - reserve_message.waiting_budget,
                    milliseconds{})
              : milliseconds{};
    milliseconds const prefill =
        std::min(typical_prefill, r.first_token_target / 3);
    return clock_.now() + r.first_token_target - prefill - waited;
}

void reservation_queue::on_withdraw(peer_id const& from, withdraw const& w)
{
    auto const known =
        permits_by_key_.find(reservation_key{from, w.request, w.attempt});
    if (known == permits_by_key_.end())
        return;
    auto const it = reservations_.find(known->second);
    if (it->second.state == phase::running)
        return; // the dispatch arrived first; the runners handle cancellation
    remove_reservation(it);
    offer_slots();
}

void reservation_queue::on_disconnected(peer_id const& peer)
{
    // A queued reservation of a lost router would later hold a slot until its
    // offer expires. Existing offers stay valid: the dispatch may arrive over a
    // new connection.
    std::vector<permit_id> lost;
    for (auto const& [permit, r] : reservations_)
    {
        if (r.router == peer && r.state == phase::queued)
            lost.push_back(permit);
    }
    for (auto const permit : lost)
        refuse_and_remove(permit, error_code::connection_lost);
    routers_.erase(peer);
}

void reservation_queue::refuse(
    peer_id const& to, request_id const& request, attempt_number attempt,
    error_code reason)
{
    refused_total_.add();
    transport_.send(
        to, reserve_refused{request, attempt, reason, retry_after()});
}

void reservation_queue::refuse_and_remove(permit_id permit, error_code reason)
{
    auto const it = reservations_.find(permit);
    auto const& r = it->second;
    refuse(
        r.router, r.reserve_message.request, r.reserve_message.attempt, reason);
    remove_reservation(it);
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
        auto& r = reservations_.at(permit);
        clear_deadline(permit, r);
        r.state = phase::offered;
        r.served = *next;
        r.phase_start = clock_.now();
        ++offered_count_;
        set_deadline(
            permit, r, r.phase_start + policy_.current().queue.offer_validity);
        if (queue_.size() == 0)
            delay_offer(permit, r);
        else
            send_offer(permit, r);
    }
}

void reservation_queue::delay_offer(permit_id permit, reservation& r)
{
    steady_time const now = clock_.now();
    while (!recent_starts_.empty() &&
           now - recent_starts_.front() > typical_prefill)
        recent_starts_.pop_front();
    auto const n = std::min(recent_starts_.size(), max_delaying_starts);
    if (n == 0)
    {
        send_offer(permit, r);
        return;
    }
    r.offer_timer = timers_.schedule(
        static_cast<int>(n) * offer_delay_per_start,
        [this, permit]
        {
            auto& waiting = reservations_.at(permit);
            waiting.offer_timer = 0;
            send_offer(permit, waiting);
        });
}

void reservation_queue::send_offer(permit_id permit, reservation const& r)
{
    offers_total_.add();
    transport_.send(
        r.router, offer{
                      r.reserve_message.request, r.reserve_message.attempt,
                      permit, incarnation_,
                      std::chrono::duration_cast<milliseconds>(
                          r.deadline - clock_.now())});
}

std::optional<error_code> reservation_queue::redeem(
    permit_id permit, request_id const& request, attempt_number attempt,
    dotterellock::incarnation issued_by)
{
    if (issued_by != incarnation_)
    {
        permits_rejected_total_.add();
        return error_code::stale_incarnation;
    }
    process_deadlines(); // timers may be late after the process was paused
    auto const found = reservations_.find(permit);
    bool const valid = found != reservations_.end() &&
                       found->second.state == phase::offered &&
                       found->second.reserve_message.request == request &&
                       found->second.reserve_message.attempt == attempt;
    if (!valid)
    {
        permits_rejected_total_.add();
        return error_code::permit_expired;
    }
    auto& r = found->second;
    clear_deadline(permit, r);
    timers_.cancel(r.offer_timer);
    r.state = phase::running;
    recent_starts_.push_back(clock_.now());
    r.phase_start = clock_.now();
    --offered_count_;
    running_permits_.insert(permit);
    return std::nullopt;
}

void reservation_queue::release(permit_id permit, std::uint32_t tokens)
{
    auto const found = reservations_.find(permit);
    if (found == reservations_.end() || found->second.state != phase::running)
        return;
    auto const& r = found->second;
    double const ran = to_seconds(clock_.now() - r.phase_start);
    if (r.reserve_message.kind == work_kind::generation && ran > 0 &&
        tokens > 0)
    {
        completed_tokens_ = completion_decay * completed_tokens_ + tokens;
        completed_seconds_ = completion_decay * completed_seconds_ + ran;
    }
    queue_.correct_cost(r.served, tokens);
    if (r.suspending)
        --suspending_count_;
    running_permits_.erase(permit);
    permits_by_key_.erase(reservation_key{
        r.router, r.reserve_message.request, r.reserve_message.attempt});
    reservations_.erase(found);
    offer_slots();
}

void reservation_queue::remove_reservation(reservation_map::iterator it)
{
    auto const& [permit, r] = *it;
    clear_deadline(permit, r);
    timers_.cancel(r.offer_timer);
    if (r.state == phase::offered)
    {
        --offered_count_;
        queue_.correct_cost(r.served, 0);
    }
    else
        queue_.erase(permit);
    permits_by_key_.erase(reservation_key{
        r.router, r.reserve_message.request, r.reserve_message.attempt});
    reservations_.erase(it);
}

void reservation_queue::set_draining(bool draining)
{
    if (std::exchange(draining_, draining) != draining)
    {
        // Report the change at once. Until the next periodic report, routers
        // would refuse requests that this endpoint accepts again.
        timers_.cancel(report_timer_);
        send_reports();
    }
    if (!draining)
    {
        offer_slots();
        return;
    }
    std::vector<permit_id> queued;
    for (auto const& [permit, r] : reservations_)
    {
        if (r.state == phase::queued || r.offer_timer != 0)
            queued.push_back(permit); // not offered yet
    }
    for (auto const permit : queued)
        refuse_and_remove(permit, error_code::endpoint_draining);
}

// ---- preemption -----------------------------------------------------------

void reservation_queue::set_suspend_callback(suspend_callback suspend)
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
    duration const min_wait =
        policy_.current().ranks[index_of(waiting->rank)].first_token_target /
        preemption_wait_divisor;
    duration const waited =
        clock_.now() - reservations_.at(waiting->id).phase_start;
    if (waited >= min_wait && suspending_count_ < queue_.waiting(waiting->rank))
        suspend_victim_for(*waiting);
    duration const next = waited < min_wait ? min_wait - waited : min_wait;
    preemption_timer_ =
        timers_.schedule(next, [this] { consider_preemption(); });
}

void reservation_queue::suspend_victim_for(queue_entry const& waiting)
{
    auto const victim = preemption_victim(waiting);
    if (victim == reservations_.end())
        return;
    victim->second.suspending = true;
    ++suspending_count_;
    suspensions_total_.add();
    auto const& reserve_message = victim->second.reserve_message;
    log_.record(decision{
        "suspend",
        reserve_message.request,
        reserve_message.attempt,
        reserve_message.rank,
        reserve_message.organisation,
        {},
        self_.value(),
        "more urgent work waits: " +
            reservations_.at(waiting.id).reserve_message.request.value()});
    suspend_(victim->first); // may call release()
}

reservation_queue::reservation_map::iterator
reservation_queue::preemption_victim(queue_entry const& waiting)
{
    auto const& ranks = policy_.current().ranks;
    auto best = reservations_.end();
    double best_gain = 0;
    double running_tokens = 0;
    std::array<double, rank_count> rank_tokens{};
    for (auto const permit : running_permits_)
    {
        auto const& r = reservations_.at(permit);
        if (r.suspending)
            continue;
        running_tokens += r.served.entry.tokens;
        rank_tokens[index_of(r.reserve_message.rank)] += r.served.entry.tokens;
    }
    for (auto const permit : running_permits_)
    {
        auto const i = reservations_.find(permit);
        auto const& r = i->second;
        std::size_t const rank_index = index_of(r.reserve_message.rank);
        if (r.suspending || r.reserve_message.kind != work_kind::generation ||
            rank_index <= index_of(waiting.rank))
            continue;
        double const tokens = r.served.entry.tokens;
        // Work that runs within the floor of its rank is not suspended.
        if (rank_tokens[rank_index] - tokens <
            ranks[rank_index].floor_share * running_tokens)
            continue;
        // Gain: the value of the waiting work, minus the value that the
        // victim would produce with the tokens spent on it, minus the value of
        // the tokens of the victim's repeated prefill. The victim's estimated
        // tokens are an upper bound for that prefill.
        double const own_value_per_token = ranks[rank_index].worth / tokens;
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
        arm_deadline_timer();
}

void reservation_queue::clear_deadline(permit_id permit, reservation const& r)
{
    deadlines_.erase({r.deadline, permit});
}

void reservation_queue::arm_deadline_timer()
{
    timers_.cancel(deadline_timer_);
    deadline_timer_ = 0;
    if (deadlines_.empty())
        return;
    duration const left =
        std::max(deadlines_.begin()->first - clock_.now(), duration{});
    deadline_timer_ = timers_.schedule(left, [this] { process_deadlines(); });
}

void reservation_queue::process_deadlines()
{
    steady_time const now = clock_.now();
    bool any = false;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        any = true;
        auto const it = reservations_.find(deadlines_.begin()->second);
        auto const& r = it->second;
        if (r.state == phase::offered)
        {
            offers_expired_total_.add();
            transport_.send(
                r.router,
                reserve_refused{
                    r.reserve_message.request, r.reserve_message.attempt,
                    error_code::permit_expired, milliseconds{0}});
            remove_reservation(it);
        }
        else
            refuse_and_remove(it->first, error_code::overloaded);
    }
    if (any)
        offer_slots();
    arm_deadline_timer();
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
    report.tokens_per_second_per_stream = stream_tokens_per_second_;
    report.tokens_per_second = tokens_per_second();
    report.draining = draining_;
    return report;
}

void reservation_queue::observe_token_rate(double tokens_per_second)
{
    if (tokens_per_second <= 0)
        return;
    double const weight =
        stream_tokens_per_second_ > 0 ? stream_rate_weight : 1;
    stream_tokens_per_second_ +=
        weight * (tokens_per_second - stream_tokens_per_second_);
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
        return min_retry_after;
    double const wait_ms =
        1000.0 * static_cast<double>(queue_.waiting_tokens()) / rate;
    return milliseconds(static_cast<milliseconds::rep>(std::clamp(
        wait_ms, double(min_retry_after.count()),
        double(max_retry_after.count()))));
}

void reservation_queue::send_reports()
{
    steady_time const now = clock_.now();
    load_report const current = report();
    for (auto i = routers_.begin(); i != routers_.end();)
    {
        if (now - i->second > router_expiry)
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
