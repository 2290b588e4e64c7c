#include "service_retry_budget.hpp"

#include <algorithm>

namespace dotterellock
{

void service_retry_budget::request_started(steady_time now)
{
    remove_expired(now);
    auto const length = step_length();
    if (requests_.empty() || now >= requests_.back().step + length)
        requests_.push_back(
            {now,
             requests_.empty() ? expired_requests_ : requests_.back().total});
    ++requests_.back().total;
}

/// A window that begins before now may yet get no further request, so the
/// retries since its beginning must be covered by the requests known so far.
bool service_retry_budget::available(steady_time now, std::size_t retries)
{
    remove_expired(now);
    double const allowance =
        now < allowance_start_ ? 0 : settings_.allowance / fleet_size();
    auto const length = step_length();
    auto oldest = retries_.end(); // first retry within the window
    for (int step = 1; step <= steps_per_window; ++step)
    {
        auto const begin = now - step * length;
        while (oldest != retries_.begin() && *std::prev(oldest) >= begin)
            --oldest;
        auto const spent = std::size_t(retries_.end() - oldest);
        double const allowed = local_ratio_fraction * settings_.ratio *
                                   weighted_requests(begin, now) +
                               allowance;
        if (double(spent + reserved_ + retries) > allowed)
            return false;
    }
    return true;
}

bool service_retry_budget::try_spend(steady_time now)
{
    if (!available(now))
        return false;
    retries_.push_back(now);
    return true;
}

void service_retry_budget::remove_expired(steady_time now)
{
    while (!retries_.empty() && retries_.front() + settings_.window < now)
        retries_.pop_front();
    while (!requests_.empty() &&
           requests_.front().step + 2 * settings_.window < now)
    {
        expired_requests_ = requests_.front().total;
        requests_.pop_front();
    }
}

/// Requests of the steps that ended by then.
std::uint64_t service_retry_budget::requests_until(steady_time end) const
{
    auto const next = std::upper_bound(
        requests_.begin(), requests_.end(), end - step_length(),
        [](steady_time last_step, request_count const& c)
        { return last_step < c.step; });
    return next == requests_.begin() ? expired_requests_
                                     : std::prev(next)->total;
}

/// Counts whole steps only. Windows that begin up to a step later than `begin`
/// have no fewer requests.
std::uint64_t
service_retry_budget::requests_between(steady_time begin, steady_time end) const
{
    auto const first = std::lower_bound(
        requests_.begin(), requests_.end(), begin + step_length(),
        [](request_count const& c, steady_time at) { return c.step < at; });
    auto const before = first == requests_.begin() ? expired_requests_
                                                   : std::prev(first)->total;
    auto const until = requests_until(end);
    return until > before ? until - before : 0;
}

/// Lower bound for all windows that begin within one step from `window_begin`.
double service_retry_budget::weighted_requests(
    steady_time window_begin, steady_time now) const
{
    auto const window = duration(settings_.window);
    auto const latest = now + step_length(); // includes the current step
    auto const half_end = window_begin + window / 2;
    auto const own = requests_between(window_begin, latest);
    auto const half_before = requests_between(
        window_begin - window / 2, half_end >= now ? latest : half_end);
    auto const before = requests_between(window_begin - window, window_begin);
    return own_weight * double(own) + half_before_weight * double(half_before) +
           before_weight * double(before);
}

} // namespace dotterellock
