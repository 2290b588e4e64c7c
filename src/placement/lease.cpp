#include "placement/lease.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "configuration/random_id.hpp"

namespace dotterellock
{

namespace
{

using nlohmann::json;

// Parts of the term.
constexpr int renewals_per_term = 3;
// A tick that is half a period late means that the process stood still.
constexpr int pauses_per_term = 2;
constexpr int timeouts_per_term = 5;
constexpr int retries_per_term = 6;
// Covers clocks whose speed differs by up to a tenth.
constexpr int margins_per_term = 10;

} // namespace

std::string lease_key(std::string const& name)
{
    return "lease/" + name;
}

std::string encode(lease_record const& record)
{
    json const value = {
        {"holder", record.holder.value()},
        {"run", record.run},
        {"token", record.token},
        {"term_ms", record.term.count()},
        {"renewal", record.renewal}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<lease_record> decode_lease_record(std::string const& text)
{
    try
    {
        json const value = json::parse(text);
        lease_record r;
        r.holder = peer_id(value.at("holder").get<std::string>());
        value.at("run").get_to(r.run);
        value.at("token").get_to(r.token);
        r.term =
            std::chrono::milliseconds(value.at("term_ms").get<std::int64_t>());
        value.at("renewal").get_to(r.renewal);
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
    : self_(std::move(self)), key_(lease_key(name)), run_(random_id(random)),
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
    last_seen_ = clock_.now();
    schedule_tick(duration{});
}

void lease::stop()
{
    stopping_ = true;
    timers_.cancel(timer_);
    bool const release = owner_ && own_row_ && !pending_;
    held_until_ = clock_.now();
    note_change();
    if (!release)
        return;
    record_.holder = peer_id();
    write(*own_row_);
}

bool lease::paused() const
{
    return clock_.now() - last_seen_ > term_ / pauses_per_term;
}

bool lease::held() const
{
    return owner_ && !stopping_ && clock_.now() < held_until_ && !paused();
}

duration lease::remaining() const
{
    return held() ? held_until_ - clock_.now() : duration{};
}

void lease::saw_time()
{
    if (!paused())
        last_seen_ = clock_.now();
}

void lease::schedule_tick(duration delay)
{
    timers_.cancel(timer_);
    if (!stopping_)
        timer_ = timers_.schedule(delay, [this] { tick(); });
}

void lease::tick()
{
    if (owner_ && paused())
    {
        // Whatever was proved before the pause no longer counts.
        pauses_.add();
        held_until_ = clock_.now();
        own_row_.reset();
    }
    last_seen_ = clock_.now();
    note_change();
    // Replaced by the answer; stands when the answer never comes.
    schedule_tick(term_ / renewals_per_term);
    if (pending_)
        return;
    if (owner_ && own_row_)
        write(*own_row_);
    else
        look();
}

void lease::look()
{
    pending_ = true;
    steady_time const asked_at = clock_.now();
    auto on_answer = [this, asked_at](read_result const& result)
    {
        pending_ = false;
        saw_time();
        on_row(result, asked_at);
        note_change();
    };
    store_.read({key_}, term_ / timeouts_per_term, guard_.wrap(on_answer));
}

void lease::on_row(read_result const& result, steady_time asked_at)
{
    if (stopping_)
        return;
    if (result.status != store_status::ok || result.rows.size() != 1)
    {
        store_failures_.add();
        schedule_tick(term_ / retries_per_term);
        return;
    }
    row const& present = result.rows.front();
    auto const found = decode_lease_record(present.value);
    bool const absent = present.version == 0;
    if (!found && !absent)
    {
        // Without the token in it a higher one cannot be chosen.
        store_failures_.add();
        schedule_tick(term_);
        return;
    }
    if (found && found->run == run_)
        on_own_row(present, *found);
    else
        on_other_row(present, found.value_or(lease_record()), asked_at);
}

void lease::on_own_row(row const& present, lease_record const& found)
{
    owner_ = true;
    own_row_ = present.version;
    record_.token = found.token;
    bool const resolved = doubt_ && found.renewal >= doubt_->renewal;
    if (resolved)
        proved(present.version, doubt_->sent_at);
    if (!resolved || !held())
        write(present.version);
}

void lease::on_other_row(
    row const& present, lease_record const& found, steady_time asked_at)
{
    if (owner_)
        lose();
    if (present.version != seen_ || !seen_since_)
    {
        seen_ = present.version;
        seen_since_ = clock_.now();
        doubt_.reset(); // its condition can no longer hold
    }
    bool const free = present.version == 0 || found.holder.empty();
    duration const term = std::max<duration>(found.term, term_);
    if (free || asked_at - *seen_since_ >= term)
    {
        record_.holder = self_;
        record_.run = run_;
        record_.token = found.token + 1;
        record_.term =
            std::chrono::duration_cast<std::chrono::milliseconds>(term_);
        write(present.version);
        return;
    }
    auto const spread = static_cast<std::uint64_t>(term_.count()) / 3 + 1;
    schedule_tick(term + duration(random_.below(spread)));
}

void lease::write(row_version expected)
{
    pending_ = true;
    ++record_.renewal;
    doubt const written{record_.renewal, clock_.now()};
    auto on_answer = [this, written](commit_result const& result)
    {
        pending_ = false;
        saw_time();
        on_written(result, written);
        note_change();
    };
    store_.commit(
        {{key_, encode(record_), expected}}, term_ / timeouts_per_term,
        guard_.wrap(on_answer));
}

void lease::on_written(commit_result const& result, doubt const& written)
{
    if (stopping_)
        return;
    switch (result.status)
    {
    case store_status::ok:
        proved(result.versions.front(), written.sent_at);
        break;
    case store_status::unavailable:
        store_failures_.add();
        schedule_tick(term_ / retries_per_term);
        break;
    case store_status::unknown:
        store_failures_.add();
        // The earliest counts: any of the writes in doubt may be the one that
        // a later look finds.
        if (!doubt_)
            doubt_ = written;
        own_row_.reset();
        look();
        break;
    case store_status::conflict:
        own_row_.reset();
        look();
        break;
    }
}

void lease::proved(row_version version, steady_time sent_at)
{
    if (!reported_held_)
        acquired_.add();
    owner_ = true;
    own_row_ = version;
    doubt_.reset();
    held_until_ = sent_at + term_ - term_ / margins_per_term;
    schedule_tick(term_ / renewals_per_term);
}

void lease::lose()
{
    owner_ = false;
    own_row_.reset();
    doubt_.reset();
    held_until_ = clock_.now();
    lost_.add();
}

void lease::note_change()
{
    bool const now_held = held();
    if (now_held == reported_held_)
        return;
    reported_held_ = now_held;
    if (on_change_)
        on_change_(now_held);
}

} // namespace dotterellock
