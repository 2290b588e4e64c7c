#include "start_prediction.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Longer than any request waits. Keeps times within their range.
constexpr std::chrono::hours longest_wait{1};

// Retry times are sent in tenths of a second, rounded up.
constexpr milliseconds retry_resolution{100};

// A caller honours a retry time up to this part of the time it has left.
constexpr int honoured_divisor = 3;

// Lower limit, unless the caller has too little time left: a gateway starts
// about one prompt meanwhile, so a returning caller finds a changed queue.
constexpr milliseconds min_retry_delay{300};

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

steady_time
target_start(answer_limits const& limits, answer_duration const& answer)
{
    return limits.received + limits.first_byte_target - answer.first_event;
}

steady_time
latest_start(answer_limits const& limits, answer_duration const& answer)
{
    auto const by_deadline = limits.deadline - answer.first_event - answer.rest;
    if (!limits.event_stream)
        return by_deadline;
    auto const patience = std::max(
        {min_first_event_patience,
         first_event_patience_targets * limits.first_byte_target,
         first_event_patience_gaps * limits.event_gap_target});
    return std::min(
        by_deadline, limits.received + patience - answer.first_event);
}

void start_pace::begin_waiting(steady_time now)
{
    waiting_since_ = now;
    starts_.clear();
    arrivals_.clear();
}

void start_pace::record_arrival(rank r, std::uint64_t tokens, steady_time now)
{
    arrivals_.push_back({now, tokens, r});
    prune(arrivals_, now);
}

void start_pace::record_start(std::uint64_t tokens, steady_time now)
{
    starts_.push_back({now, tokens, rank::standard});
    prune(starts_, now);
}

void start_pace::cancel_last_start()
{
    if (!starts_.empty())
        starts_.pop_back();
}

void start_pace::prune(std::deque<sample>& samples, steady_time now)
{
    while (!samples.empty() && samples.front().at + long_window < now)
        samples.pop_front();
}

std::optional<start_pace::measurement>
start_pace::measure(steady_time now) const
{
    if (starts_.size() < min_starts)
        return std::nullopt;
    auto const earliest = starts_[starts_.size() - min_starts].at;
    if (earliest + long_window < now)
        return std::nullopt;
    auto const begin =
        std::min(std::max(waiting_since_, now - window), earliest);
    // A start at its beginning is no part of the interval.
    auto const after = [begin](sample const& s) { return s.at > begin; };
    double const observed = seconds(now - begin);
    if (observed <= 0)
        return std::nullopt;
    double started = 0;
    double count = 0;
    for (auto const& s : starts_)
    {
        started += after(s) ? double(s.tokens) : 0;
        count += after(s) ? 1 : 0;
    }
    measurement m;
    m.tokens_per_second = started * (count + 1) / count / observed;
    std::array<double, rank_count> arrivals{};
    for (auto const& s : arrivals_)
    {
        if (!after(s))
            continue;
        m.arriving[index_of(s.rank)] += double(s.tokens);
        arrivals[index_of(s.rank)] += 1;
    }
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        if (arrivals[r] > 0)
            m.arriving[r] *= (arrivals[r] - 1) / arrivals[r] / observed;
    }
    return m;
}

duration predict_wait(
    work_ahead const& ahead, rank r, start_pace::measurement const& pace)
{
    double const total = pace.tokens_per_second;
    double overtaking = 0;
    for (auto const other : all_ranks)
        overtaking += other < r ? pace.arriving[index_of(other)] : 0;
    double const left = total * (1 - ahead.share_of_lower_ranks) - overtaking;
    double const longest = seconds(longest_wait);
    double wait = longest;
    if (left > 0)
        wait =
            std::min(wait, (ahead.of_urgent_ranks + ahead.of_own_rank) / left);
    double const own = total * ahead.share_of_own_rank;
    if (own > 0)
        wait = std::min(wait, ahead.of_own_rank / own);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait));
}

retry_range retry_delay_range(
    std::optional<duration> wait, duration max_wait, duration remaining)
{
    // What the caller honours, with the resolution in which it is sent.
    auto const honoured = std::max<duration>(
        remaining / honoured_divisor - retry_resolution, duration(0));
    duration const expected =
        std::max<duration>(wait.value_or(max_wait), min_retry_delay);
    duration const last = std::min(expected, honoured);
    // From then on the queue is expected to be short enough.
    duration const short_enough = expected - max_wait;
    duration first = std::max<duration>(short_enough, min_retry_delay);
    if (expected > honoured || short_enough < min_retry_delay)
        first = std::min(first, last / 2);
    // first is after last if max_wait is negative: even an immediate start was
    // too late.
    auto const [shortest, longest] = std::minmax(first, last);
    return {shortest, longest};
}

milliseconds draw_retry_delay(retry_range const& range, random_source& random)
{
    auto const drawn =
        range.first + std::chrono::duration_cast<duration>(
                          (range.last - range.first) * random.uniform());
    return std::chrono::duration_cast<milliseconds>(drawn);
}

milliseconds retry_delay(
    std::optional<duration> wait, duration max_wait, duration remaining,
    random_source& random)
{
    return draw_retry_delay(
        retry_delay_range(wait, max_wait, remaining), random);
}

} // namespace dotterellock
