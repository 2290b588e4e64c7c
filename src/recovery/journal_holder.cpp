#include "recovery/journal_holder.hpp"

#include <iterator>

namespace dotterellock
{

namespace
{

// Enough for concurrent takeovers; older epochs have no owner any more.
constexpr std::size_t max_epochs_per_request = 4;

// Coarse, because expiry need not be exact.
constexpr milliseconds expiry_interval{1000};

} // namespace

journal_holder::journal_holder(
    clock_source& clock, timer_service& timers, peer_transport& transport,
    policy_source const& policy, counter_registry& counters)
    : clock_(clock), timers_(timers), transport_(transport), policy_(policy),
      received_bytes_(counters.counter("journal_bytes_received_total")),
      expired_entries_(counters.counter("journal_entries_expired_total")),
      refused_writers_(counters.counter("journal_refused_writers_total"))
{
}

journal_holder::~journal_holder()
{
    timers_.cancel(expiry_timer_);
}

void journal_holder::on_message(peer_id const& from, message const& m)
{
    if (auto const* a = std::get_if<journal_append>(&m))
        on_append(from, *a);
    else if (auto const* r = std::get_if<journal_read>(&m))
        on_read(from, *r);
}

// Copies remain when their writer disconnects: that is when they are needed.
void journal_holder::on_disconnected(peer_id const&) {}

void journal_holder::on_append(peer_id const& from, journal_append const& a)
{
    journal& j = journals_[a.request];
    j.last_append = clock_.now();
    schedule_expiry();
    copy& c = j.copies[a.epoch];
    if (c.writer.empty())
        c.writer = from;
    // A second writer with the same epoch would mix two answers.
    if (c.writer != from)
    {
        refused_writers_.add();
        return;
    }
    c.endpoint = a.endpoint;
    c.attempt = a.attempt;
    if (a.first_index <= c.tokens.size())
    {
        for (std::size_t i = c.tokens.size() - a.first_index;
             i < a.tokens.size(); ++i)
        {
            received_bytes_.add(a.tokens[i].size());
            c.tokens.push_back(a.tokens[i]);
        }
    }
    transport_.send(
        from,
        journal_appended{
            a.request, a.epoch, static_cast<token_index>(c.tokens.size())});
    while (j.copies.size() > max_epochs_per_request)
        j.copies.erase(j.copies.begin());
}

void journal_holder::on_read(peer_id const& from, journal_read const& r)
{
    auto const found = journals_.find(r.request);
    if (found != journals_.end())
    {
        for (auto const& [epoch, c] : found->second.copies)
        {
            transport_.send(
                from,
                journal_state{
                    r.request, true, epoch, c.endpoint, c.attempt, c.tokens});
        }
    }
    // Marks the end of the list, so that the reader stops waiting.
    transport_.send(from, journal_state{r.request, false, 0, {}, 0, {}});
}

void journal_holder::schedule_expiry()
{
    if (expiry_timer_ == 0)
        expiry_timer_ = timers_.schedule(expiry_interval, [this] { expire(); });
}

// Copies in use do not expire: while its generation exists, the writer appends
// at least three times per grace period.
void journal_holder::expire()
{
    expiry_timer_ = 0;
    steady_time const oldest =
        clock_.now() - policy_.current().recovery.grace_period;
    for (auto i = journals_.begin(); i != journals_.end();)
    {
        bool const old = i->second.last_append <= oldest;
        expired_entries_.add(old ? 1 : 0);
        i = old ? journals_.erase(i) : std::next(i);
    }
    if (!journals_.empty())
        schedule_expiry();
}

} // namespace dotterellock
