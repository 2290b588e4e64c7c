#include "placement/lease.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "configuration/random_id.hpp"

namespace dotterellock
{

namespace
{

using nlohmann::json;

// Intervals and timeouts are the term divided by these.
constexpr int renewal_interval_divisor = 3;
// A timer that fires more than half a renewal interval late means that the
// process was paused.
constexpr int pause_limit_divisor = 2;
constexpr int request_timeout_divisor = 5;
constexpr int retry_delay_divisor = 6;
// Covers clock rates that differ by up to 10 %.
constexpr int expiry_margin_divisor = 10;

} // namespace

std::string lease_key(std::string const& name)
{
    return "lease/" + name;
}

std::string encode(lease_record const& record)
{
    json const value = {
        {"holder", record.holder.value()},
        {"run", record.run_id},
        {"token", record.token},
        {"term_ms", record.term.count()},
        {"renewal", record.renewal_count}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<lease_record> decode_lease_record(std::string const& text)
{
    try
    {
        json const value = json::parse(text);
        lease_record r;
        r.holder = peer_id(value.at("holder").get<std::string>());
        value.at("run").get_to(r.run_id);
        value.at("token").get_to(r.token);
        r.term =
            std::chrono::milliseconds(value.at("term_ms").get<std::int64_t>());
        value.at("renewal").get_to(r.renewal_count);
        return r;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

lease::lease(
    peer_id self, std::string const& name, clock_source& clock,
    timer_service& timers, random_source& random, table_service& store,
    duration term, counter_registry& counters)
    : self_(std::move(self)), key_(lease_key(name)), run_id_(random_id(random)),
      clock_(clock), timers_(timers), random_(random), store_(store),
      term_(term), acquired_(counters.counter("lease_acquired_total")),
      lost_(counters.counter("lease_lost_total")),
      pauses_(counters.counter("lease_pauses_total")),
      store_failures_(counters.counter("lease_store_failures_total"))
{
}

lease::~lease()
{
    timers_.cancel(timer_);
}

void lease::set_on_change(std::function<void(bool)> callback)
{
    on_change_ = std::move(callback);
}

void lease::start()
{
    last_active_at_ = clock_.now();
    schedule_timer(duration{});
}

void lease::stop()
{
    stopping_ = true;
    timers_.cancel(timer_);
    bool const release = owns_row_ && own_row_version_ && !request_pending_;
    held_until_ = clock_.now();
    report_change();
    if (!release)
        return;
    record_.holder = peer_id();
    write(*own_row_version_);
}

bool lease::paused() const
{
    return clock_.now() - last_active_at_ > term_ / pause_limit_divisor;
}

bool lease::held() const
{
    return owns_row_ && !stopping_ && clock_.now() < held_until_ && !paused();
}

duration lease::remaining() const
{
    return held() ? held_until_ - clock_.now() : duration{};
}

void lease::record_activity()
{
    if (!paused())
        last_active_at_ = clock_.now();
}

void lease::schedule_timer(duration delay)
{
    timers_.cancel(timer_);
    if (!stopping_)
        timer_ = timers_.schedule(delay, [this] { on_timer(); });
}

void lease::on_timer()
{
    if (owns_row_ && paused())
    {
        // A renewal from before the pause is no longer valid.
        pauses_.add();
        held_until_ = clock_.now();
        own_row_version_.reset();
    }
    last_active_at_ = clock_.now();
    report_change();
    // The response reschedules the timer; this is the fallback if none comes.
    schedule_timer(term_ / renewal_interval_divisor);
    if (request_pending_)
        return;
    if (owns_row_ && own_row_version_)
        write(*own_row_version_);
    else
        read_row();
}

void lease::read_row()
{
    request_pending_ = true;
    steady_time const read_started_at = clock_.now();
    auto on_answer = [this, read_started_at](read_result const& result)
    {
        request_pending_ = false;
        record_activity();
        on_row(result, read_started_at);
        report_change();
    };
    store_.read(
        {key_}, term_ / request_timeout_divisor, guard_.wrap(on_answer));
}

void lease::on_row(read_result const& result, steady_time read_started_at)
{
    if (stopping_)
        return;
    if (result.status != store_status::ok || result.rows.size() != 1)
    {
        store_failures_.add();
        schedule_timer(term_ / retry_delay_divisor);
        return;
    }
    row const& present = result.rows.front();
    auto const found = decode_lease_record(present.value);
    bool const absent = present.version == 0;
    if (!found && !absent)
    {
        // A higher token cannot be chosen without the stored one.
        store_failures_.add();
        schedule_timer(term_);
        return;
    }
    if (found && found->run_id == run_id_)
        on_own_row(present, *found);
    else
        on_other_row(present, found.value_or(lease_record()), read_started_at);
}

void lease::on_own_row(row const& present, lease_record const& found)
{
    owns_row_ = true;
    own_row_version_ = present.version;
    record_.token = found.token;
    bool const resolved =
        unconfirmed_write_ &&
        found.renewal_count >= unconfirmed_write_->renewal_count;
    if (resolved)
        extend(present.version, unconfirmed_write_->sent_at);
    if (!resolved || !held())
        write(present.version);
}

void lease::on_other_row(
    row const& present, lease_record const& found, steady_time read_started_at)
{
    if (owns_row_)
        mark_lost();
    if (present.version != other_row_version_ || !other_row_since_)
    {
        other_row_version_ = present.version;
        other_row_since_ = clock_.now();
        unconfirmed_write_.reset(); // its expected version is gone
    }
    bool const free = present.version == 0 || found.holder.empty();
    duration const term = std::max<duration>(found.term, term_);
    if (free || read_started_at - *other_row_since_ >= term)
    {
        record_.holder = self_;
        record_.run_id = run_id_;
        record_.token = found.token + 1;
        record_.term =
            std::chrono::duration_cast<std::chrono::milliseconds>(term_);
        write(present.version);
        return;
    }
    auto const spread = static_cast<std::uint64_t>(term_.count()) / 3 + 1;
    schedule_timer(term + duration(random_.below(spread)));
}

void lease::write(row_version expected)
{
    request_pending_ = true;
    ++record_.renewal_count;
    lease_write const written{record_.renewal_count, clock_.now()};
    auto on_answer = [this, written](commit_result const& result)
    {
        request_pending_ = false;
        record_activity();
        on_written(result, written);
        report_change();
    };
    store_.commit(
        {{key_, encode(record_), expected}}, term_ / request_timeout_divisor,
        guard_.wrap(on_answer));
}

void lease::on_written(commit_result const& result, lease_write const& written)
{
    if (stopping_)
        return;
    switch (result.status)
    {
    case store_status::ok:
        extend(result.versions.front(), written.sent_at);
        break;
    case store_status::unavailable:
        store_failures_.add();
        schedule_timer(term_ / retry_delay_divisor);
        break;
    case store_status::unknown:
        store_failures_.add();
        // Keep the earliest: a later read may find any of the unconfirmed
        // writes, so the term can only be counted from the first.
        if (!unconfirmed_write_)
            unconfirmed_write_ = written;
        own_row_version_.reset();
        read_row();
        break;
    case store_status::conflict:
        own_row_version_.reset();
        read_row();
        break;
    }
}

void lease::extend(row_version version, steady_time sent_at)
{
    if (!reported_held_)
        acquired_.add();
    owns_row_ = true;
    own_row_version_ = version;
    unconfirmed_write_.reset();
    held_until_ = sent_at + term_ - term_ / expiry_margin_divisor;
    schedule_timer(term_ / renewal_interval_divisor);
}

void lease::mark_lost()
{
    owns_row_ = false;
    own_row_version_.reset();
    unconfirmed_write_.reset();
    held_until_ = clock_.now();
    lost_.add();
}

void lease::report_change()
{
    bool const now_held = held();
    if (now_held == reported_held_)
        return;
    reported_held_ = now_held;
    if (on_change_)
        on_change_(now_held);
}

} // namespace dotterellock
