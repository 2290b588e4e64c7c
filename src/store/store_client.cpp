// Index
//   budget    : queue, concurrency, token bucket, sending one request
//   breaker
//   commits   : group commit, results, conflicts
//   read-back : resolution of commits with an unknown result
//   reads
#include "store/store_client.hpp"

#include <algorithm>
#include <set>

namespace dotterellock
{

namespace
{

constexpr std::uint32_t max_backoff_doublings = 16;

row const* find_row(std::vector<row> const& rows, std::string const& key)
{
    auto const found = std::find_if(
        rows.begin(), rows.end(), [&](row const& r) { return r.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

bool row_matches(row const* present, row_write const& write)
{
    return present && present->version != 0 && write.value &&
           present->value == *write.value;
}

/// True when reading the rows back shows whether the commit was applied, and
/// sending it again cannot apply it twice.
bool is_resolvable(std::vector<row_write> const& writes)
{
    return std::all_of(
        writes.begin(), writes.end(),
        [](row_write const& w) { return w.value && w.expected; });
}

} // namespace

store_client::store_client(
    table_service& backend, clock_source& clock, timer_service& timers,
    random_source& random, store_settings settings, counter_registry& counters)
    : backend_(backend), clock_(clock), timers_(timers), random_(random),
      settings_(settings), retries_(counters.counter("store_retries_total")),
      refused_(counters.counter("store_refused_total")),
      read_backs_(counters.counter("store_read_backs_total")),
      breaker_opened_(counters.counter("store_breaker_opened_total"))
{
    writes_.rate = settings.writes_per_second;
    writes_.requests =
        &counters.counter("store_requests_total", "kind=\"write\"");
    reads_.rate = settings.reads_per_second;
    reads_.requests =
        &counters.counter("store_requests_total", "kind=\"read\"");
    for (request_limiter* const l : {&writes_, &reads_})
    {
        l->tokens = std::max(1.0, l->rate * settings.burst_seconds);
        l->last_refill = clock.now();
    }
}

store_client::~store_client() = default;

// ---- budget ---------------------------------------------------------------

void store_client::enqueue(request_limiter& limiter, queued_request request)
{
    if (limiter.queued.size() >= settings_.max_queued_requests)
    {
        refused_.add();
        schedule(duration{}, std::move(request.refuse));
        return;
    }
    limiter.queued.push_back(std::move(request));
    start_queued(limiter);
}

void store_client::start_queued(request_limiter& limiter)
{
    while (!limiter.queued.empty() &&
           limiter.active < settings_.max_concurrent_requests)
    {
        refill(limiter);
        if (limiter.rate > 0 && limiter.tokens < 1)
        {
            if (limiter.wake_timer != 0)
                return;
            std::chrono::duration<double> const wait{
                (1 - limiter.tokens) / limiter.rate};
            limiter.wake_timer = timers_.schedule(
                std::chrono::duration_cast<duration>(wait) + duration{1},
                guard_.wrap(
                    [this, &limiter]
                    {
                        limiter.wake_timer = 0;
                        start_queued(limiter);
                    }));
            return;
        }
        queued_request const request = std::move(limiter.queued.front());
        limiter.queued.pop_front();
        if (request.start())
            limiter.tokens -= 1;
    }
}

void store_client::refill(request_limiter& limiter)
{
    std::chrono::duration<double> const passed =
        clock_.now() - limiter.last_refill;
    limiter.last_refill = clock_.now();
    limiter.tokens = std::min(
        std::max(1.0, limiter.rate * settings_.burst_seconds),
        limiter.tokens + passed.count() * limiter.rate);
}

/// Sends one request. `on_result` runs once: with the first response of the
/// backend, or with unknown after a timeout. Later responses are ignored.
template<typename Result, typename Send, typename OnResult>
void store_client::send_request(
    request_limiter& limiter, duration timeout, Send send, OnResult on_result)
{
    struct state
    {
        bool completed = false;
        timer_id timer = 0;
    };
    auto const s = std::make_shared<state>();
    auto const on_response = guard_.wrap(
        [this, s, &limiter, epoch = breaker_epoch_,
         on_result = std::move(on_result)](Result const& result)
        {
            if (std::exchange(s->completed, true))
                return;
            timers_.cancel(s->timer);
            --limiter.active;
            breaker_record(epoch, result.status);
            on_result(result);
            start_queued(limiter);
        });
    ++limiter.active;
    limiter.requests->add();
    send(on_response);
    s->timer = timers_.schedule(
        timeout,
        [on_response]
        {
            Result lost;
            lost.status = store_status::unknown;
            on_response(lost);
        });
}

// ---- breaker --------------------------------------------------------------

bool store_client::breaker_permits()
{
    if (breaker_state_ == breaker_state::open &&
        clock_.now() >= breaker_open_until_)
    {
        breaker_state_ = breaker_state::probing;
        ++breaker_epoch_;
        return true;
    }
    return breaker_state_ == breaker_state::closed;
}

void store_client::breaker_record(std::uint64_t epoch, store_status status)
{
    if (epoch != breaker_epoch_)
        return;
    if (status == store_status::ok || status == store_status::conflict)
    {
        breaker_state_ = breaker_state::closed;
        consecutive_failures_ = 0;
        return;
    }
    ++consecutive_failures_;
    if (breaker_state_ == breaker_state::closed &&
        consecutive_failures_ < settings_.breaker_failure_threshold)
        return;
    breaker_state_ = breaker_state::open;
    breaker_opened_.add();
    ++breaker_epoch_;
    // Up to 25 % longer, so that the probes of several clients spread out.
    breaker_open_until_ = clock_.now() + std::chrono::duration_cast<duration>(
                                             settings_.breaker_open_duration *
                                             (1 + 0.25 * random_.uniform()));
}

// ---- commits --------------------------------------------------------------

void store_client::commit(
    std::vector<row_write> writes, duration timeout,
    std::function<void(commit_result)> done)
{
    auto op = std::make_shared<commit_op>();
    op->writes = std::move(writes);
    op->deadline = clock_.now() + timeout;
    op->done = std::move(done);
    op->timer = timers_.schedule(
        timeout, guard_.wrap([this, op] { fail_commit(*op); }));
    if (is_batchable(*op))
        add_to_batch(std::move(op));
    else
        enqueue_batch({std::move(op)});
}

bool store_client::is_batchable(commit_op const& op) const
{
    return settings_.batch_delay.count() > 0 && op.writes.size() == 1 &&
           is_resolvable(op.writes) &&
           op.writes[0].value->size() <= settings_.max_batch_value_bytes;
}

void store_client::add_to_batch(std::shared_ptr<commit_op> op)
{
    auto const& write = op->writes[0];
    // A transaction cannot contain two writes of one row.
    bool const same_key = std::any_of(
        pending_batch_.begin(), pending_batch_.end(),
        [&](auto const& other) { return other->writes[0].key == write.key; });
    if (same_key || pending_batch_bytes_ + write.value->size() >
                        settings_.max_batch_value_bytes)
        flush_batch();
    pending_batch_bytes_ += write.value->size();
    pending_batch_.push_back(std::move(op));
    if (pending_batch_.size() >= settings_.max_batch_writes)
        flush_batch();
    else if (flush_timer_ == 0)
    {
        flush_timer_ = timers_.schedule(
            settings_.batch_delay, guard_.wrap([this] { flush_batch(); }));
    }
}

void store_client::flush_batch()
{
    timers_.cancel(std::exchange(flush_timer_, timer_id{0}));
    pending_batch_bytes_ = 0;
    auto const ops = std::exchange(pending_batch_, {});
    if (!ops.empty())
        enqueue_batch(ops);
}

void store_client::enqueue_batch(batch const& ops)
{
    enqueue(
        writes_,
        queued_request{
            [this, ops] { return send_batch(ops); },
            [this, ops]
            {
                for (auto const& op : ops)
                    fail_commit(*op);
            }});
}

void store_client::enqueue_batch_after(duration delay, batch const& ops)
{
    schedule(delay, [this, ops] { enqueue_batch(ops); });
}

bool store_client::send_batch(batch const& ops)
{
    batch open;
    std::vector<row_write> writes;
    steady_time deadline = clock_.now();
    for (auto const& op : ops)
    {
        if (!op->done)
            continue;
        open.push_back(op);
        writes.insert(writes.end(), op->writes.begin(), op->writes.end());
        deadline = std::max(deadline, op->deadline);
    }
    if (open.empty())
        return false;
    if (!breaker_permits())
    {
        refused_.add();
        schedule(
            duration{},
            [this, open]
            {
                for (auto const& op : open)
                    fail_commit(*op);
            });
        return false;
    }
    for (auto const& op : open)
        op->in_flight = true;
    auto const timeout =
        std::min<duration>(deadline - clock_.now(), settings_.request_timeout);
    send_request<commit_result>(
        writes_, timeout,
        [&](auto const& on_response)
        { backend_.commit(std::move(writes), timeout, on_response); },
        [this, open](commit_result const& result)
        { on_commit_result(open, result); });
    return true;
}

void store_client::on_commit_result(
    batch const& ops, commit_result const& result)
{
    for (auto const& op : ops)
        op->in_flight = false;
    switch (result.status)
    {
    case store_status::ok:
        on_committed(ops, result);
        return;
    case store_status::conflict:
        on_conflict(ops, result);
        return;
    case store_status::unavailable:
        retries_.add();
        enqueue_batch_after(backoff(ops[0]->attempts++), ops);
        return;
    case store_status::unknown:
        on_unknown(ops);
        return;
    }
}

void store_client::on_committed(batch const& ops, commit_result const& result)
{
    std::size_t written = 0;
    for (auto const& op : ops)
        written += op->writes.size();
    if (result.versions.size() != written)
    {
        on_unknown(ops); // the response is malformed
        return;
    }
    std::size_t next = 0;
    for (auto const& op : ops)
    {
        auto const first =
            result.versions.begin() + static_cast<std::ptrdiff_t>(next);
        next += op->writes.size();
        auto const last =
            result.versions.begin() + static_cast<std::ptrdiff_t>(next);
        complete(*op, commit_result{store_status::ok, {}, {first, last}});
    }
}

/// Completes the commits whose own conditions failed with a conflict and sends
/// the others again.
void store_client::on_conflict(batch const& ops, commit_result const& result)
{
    batch others;
    for (auto const& op : ops)
    {
        commit_result own{store_status::conflict, {}, {}};
        bool applied = op->in_doubt;
        for (auto const& write : op->writes)
        {
            auto const* present = find_row(result.conflicts, write.key);
            applied = applied && row_matches(present, write);
            if (!present)
                continue;
            own.conflicts.push_back(*present);
            own.versions.push_back(present->version);
        }
        if (applied) // by the request whose response was lost
            complete(*op, commit_result{store_status::ok, {}, own.versions});
        else if (!own.conflicts.empty() || ops.size() == 1)
            complete(*op, commit_result{own.status, own.conflicts, {}});
        else
            others.push_back(op);
    }
    if (others.size() < ops.size())
    {
        if (!others.empty())
            enqueue_batch(others);
        return;
    }
    // The backend did not report which condition failed.
    for (auto const& op : others)
        enqueue_batch({op});
}

// ---- read-back ------------------------------------------------------------

void store_client::on_unknown(batch const& ops)
{
    batch resolvable;
    for (auto const& op : ops)
    {
        op->in_doubt = true;
        if (is_resolvable(op->writes))
            resolvable.push_back(op);
        else
            fail_commit(*op);
    }
    if (!resolvable.empty())
        read_back(resolvable);
}

void store_client::read_back(batch const& ops)
{
    auto op = std::make_shared<read_op>();
    std::vector<std::string> keys;
    op->deadline = clock_.now();
    for (auto const& o : ops)
    {
        if (!o->done)
            continue;
        op->deadline = std::max(op->deadline, o->deadline);
        for (auto const& write : o->writes)
            keys.push_back(write.key);
    }
    if (keys.empty())
        return;
    read_backs_.add();
    op->send = [this, keys](duration timeout, auto on_response)
    { backend_.read(keys, timeout, std::move(on_response)); };
    op->done = [this, ops](read_result const& result)
    {
        if (result.status == store_status::ok)
            resolve_commits(ops, result.rows);
        else
            schedule(
                backoff(ops[0]->attempts++), [this, ops] { read_back(ops); });
    };
    start_read(op, op->deadline - clock_.now());
}

void store_client::resolve_commits(
    batch const& ops, std::vector<row> const& rows)
{
    batch again;
    for (auto const& op : ops)
    {
        bool applied = false;
        commit_result failed{store_status::conflict, {}, {}};
        std::vector<row_version> versions;
        for (auto const& write : op->writes)
        {
            auto const* present = find_row(rows, write.key);
            row const seen = present ? *present : row{write.key, "", 0};
            bool const own = row_matches(present, write);
            applied = applied || own;
            // Version 0 for a row that was changed since, so that a later
            // write of this caller cannot overwrite that change.
            versions.push_back(own ? seen.version : 0);
            if (!own && seen.version != *write.expected)
                failed.conflicts.push_back(seen);
        }
        if (applied)
            complete(*op, commit_result{store_status::ok, {}, versions});
        else if (!failed.conflicts.empty())
            complete(*op, failed);
        else
            again.push_back(op);
    }
    // Not applied so far, but the first request may still be applied. When the
    // commit is sent again, the conditions allow only one of the two requests
    // to apply, and the other one finds its own value.
    if (again.empty())
        return;
    retries_.add();
    enqueue_batch_after(backoff(again[0]->attempts++), again);
}

void store_client::complete(commit_op& op, commit_result result)
{
    timers_.cancel(op.timer);
    if (auto const done = std::exchange(op.done, nullptr))
        done(std::move(result));
}

/// Completes a commit whose time or budget is exhausted.
void store_client::fail_commit(commit_op& op)
{
    bool const maybe = op.in_flight || op.in_doubt;
    complete(
        op,
        commit_result{
            maybe ? store_status::unknown : store_status::unavailable, {}, {}});
}

// ---- reads ----------------------------------------------------------------

void store_client::read(
    std::vector<std::string> keys, duration timeout,
    std::function<void(read_result)> done)
{
    auto op = std::make_shared<read_op>();
    op->send = [this, keys = std::move(keys)](duration limit, auto on_response)
    { backend_.read(keys, limit, std::move(on_response)); };
    op->done = std::move(done);
    start_read(op, timeout);
}

void store_client::scan(
    std::string prefix, duration timeout, std::function<void(read_result)> done)
{
    auto op = std::make_shared<read_op>();
    op->send =
        [this, prefix = std::move(prefix)](duration limit, auto on_response)
    { backend_.scan(prefix, limit, std::move(on_response)); };
    op->done = std::move(done);
    start_read(op, timeout);
}

void store_client::start_read(read_op_ptr const& op, duration timeout)
{
    op->deadline = clock_.now() + timeout;
    op->timer = timers_.schedule(
        timeout, guard_.wrap(
                     [this, op] {
                         complete(*op, {store_status::unavailable, {}});
                     }));
    enqueue_read(op);
}

void store_client::enqueue_read(read_op_ptr const& op)
{
    auto const refuse = [this, op] {
        complete(*op, {store_status::unavailable, {}});
    };
    auto const start = [this, op, refuse]
    {
        if (!op->done)
            return false;
        if (!breaker_permits())
        {
            refused_.add();
            schedule(duration{}, refuse);
            return false;
        }
        auto const timeout = request_timeout(op->deadline, op->attempts);
        send_request<read_result>(
            reads_, timeout,
            [&](auto const& on_response) { op->send(timeout, on_response); },
            [this, op](read_result const& result)
            {
                if (result.status == store_status::ok)
                {
                    complete(*op, result);
                    return;
                }
                retries_.add();
                schedule(
                    backoff(op->attempts++), [this, op] { enqueue_read(op); });
            });
        return true;
    };
    enqueue(reads_, queued_request{start, refuse});
}

void store_client::complete(read_op& op, read_result result)
{
    timers_.cancel(op.timer);
    if (auto const done = std::exchange(op.done, nullptr))
        done(std::move(result));
}

// ---- helpers --------------------------------------------------------------

duration store_client::request_timeout(
    steady_time deadline, std::uint32_t attempts) const
{
    return std::min<duration>(
        {deadline - clock_.now(), settings_.max_request_timeout,
         settings_.request_timeout *
             (1 << std::min(attempts, max_backoff_doublings))});
}

/// Exponential backoff; half of the delay is random.
duration store_client::backoff(std::uint32_t attempts)
{
    duration const full = std::min<duration>(
        settings_.retry_delay *
            (1 << std::min(attempts, max_backoff_doublings)),
        settings_.max_retry_delay);
    double const share = 0.5 + 0.5 * random_.uniform();
    return std::chrono::duration_cast<duration>(full * share);
}

void store_client::schedule(duration delay, std::function<void()> action)
{
    timers_.schedule(delay, guard_.wrap(std::move(action)));
}

} // namespace dotterellock
