#include "rollout_order_progress.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Rest of the canary phase at a gateway that does not know how far the order
// is. Short, so that an order that all gateways forgot in its middle still ends
// before its deadline; long enough for a bad version to show under load.
constexpr int unknown_rest_divisor = 8;

// Windows that begin during the order. Answers before a version turned bad
// would hide its failures for long.
constexpr int windows = 5;

// Connections of one crash end within it.
constexpr milliseconds loss_interval{1000};

// Endpoints that crashed are back within this time. Before it, the candidate
// does not replace a current version without endpoints.
constexpr milliseconds absence_grace{5000};

// A read of the status row that is older may have missed a verdict.
constexpr milliseconds row_validity{2500};

// Of a gateway that is cut off from its peers, in the shift.
constexpr milliseconds row_poll_interval{1000};

// Nothing in flight on old endpoints for this long: no request is on its way.
constexpr milliseconds idle_time{200};

// A candidate whose endpoints are listed but not ready at the deadline.
constexpr milliseconds late_candidate_time{2000};

std::size_t
ready_of(endpoints_by_version const& endpoints, std::string const& version)
{
    auto const found = endpoints.find(version);
    return found == endpoints.end() ? 0 : found->second.ready;
}

version_choice choice_of(version_choice::rule kind, std::string const& version)
{
    version_choice c;
    c.kind = kind;
    c.version = version;
    return c;
}

version_choice
candidate_choice(version_choice::rule kind, std::string const& version)
{
    auto c = choice_of(kind, version);
    c.candidate = true;
    return c;
}

} // namespace

void rollout_coordinator::order_progress::begin(
    rollout_order const& given, steady_time now)
{
    order = given;
    withdrawn = false;
    phases = rollout_phases(given.length);
    beginning_known = now < given.not_before + given.length;
    began = beginning_known
                ? given.not_before
                : now + given.length / unknown_rest_divisor - phases.shift;
    confirmed = beginning_known;
    current_seen = false;
    current_absent_since.reset();
    own_counts = {};
    last_loss.clear();
    peers = {};
    old_idle_since.reset();
    earlier_counts.clear();
    next_window = 0;
    completing = false;
    was_completed =
        status_is_of_order() && status.state == rollout_state::completed;
    poll_row = false;
    announce_until.reset();
    warned_of_absence = false;
}

void rollout_coordinator::order_progress::restore(std::uint64_t revision)
{
    if (status.order_revision == order->revision)
        status.order_revision = revision;
    order->revision = revision;
    withdrawn = false;
    row.forget();
}

void rollout_coordinator::order_progress::learn_elapsed(
    milliseconds elapsed, steady_time now)
{
    if (beginning_known)
        return;
    began = now - elapsed;
    beginning_known = true;
}

bool rollout_coordinator::order_progress::status_is_of_order() const
{
    return order && !withdrawn && status.order_revision == order->revision;
}

bool rollout_coordinator::order_progress::active() const
{
    return status_is_of_order() && status.state == rollout_state::running;
}

std::string rollout_coordinator::order_progress::current_version(
    endpoints_by_version const& endpoints) const
{
    if (current && endpoints.count(*current) > 0)
        return *current;
    bool const running = active();
    // After a completion the old endpoints stop, and the others must serve even
    // if a verdict came too late.
    bool const rolled_back = status.order_revision > 0 && !was_completed &&
                             status.state == rollout_state::rolled_back;
    if (running && current)
        return *current; // the candidate replaces it by its rules only
    auto best = endpoints.end();
    for (auto i = endpoints.begin(); i != endpoints.end(); ++i)
    {
        bool const excluded = (running || rolled_back) && i->first == status.to;
        if (!excluded &&
            (best == endpoints.end() || i->second.ready > best->second.ready))
            best = i;
    }
    if (best != endpoints.end())
        return best->first;
    return running && endpoints.count(status.to) > 0 ? status.to
                                                     : current.value_or("");
}

bool rollout_coordinator::order_progress::current_listed(
    endpoints_by_version const& endpoints) const
{
    if (endpoints.count("") > 0)
        return true;
    if (current)
        return endpoints.count(*current) > 0;
    // A gateway that just started chooses endpoints before the first update.
    auto const found = current_version(endpoints);
    return found != status.to && endpoints.count(found) > 0;
}

void rollout_coordinator::order_progress::watch_endpoints(
    endpoints_by_version const& endpoints, steady_time now)
{
    if (!current)
    {
        auto const found = current_version(endpoints);
        if (found != status.to && endpoints.count(found) > 0)
            current = found;
    }
    if (current_listed(endpoints))
    {
        current_seen = true;
        current_absent_since.reset();
    }
    else if (!current_absent_since)
        current_absent_since = now;
    own_requests_at_old = 0;
    for (auto const& [version, e] : endpoints)
        if (version != status.to)
            own_requests_at_old += e.requests;
}

bool rollout_coordinator::order_progress::current_gone(steady_time now) const
{
    // Old endpoints stop when another gateway has completed the order.
    return !current_seen || elapsed(now) >= phases.shift ||
           (current_absent_since &&
            now - *current_absent_since >= absence_grace);
}

version_counts rollout_coordinator::order_progress::all_counts() const
{
    auto sum = own_counts;
    peers.add_counts(sum);
    return sum;
}

version_verdict
rollout_coordinator::order_progress::judge(std::string* reason, steady_time now)
{
    auto const counts = all_counts();
    auto const interval = order->length / (windows + 1);
    auto const begun = int(earlier_counts.size());
    if (begun < windows && elapsed(now) >= (begun + 1) * interval)
        earlier_counts.push_back(counts);
    if (compare_versions(counts, reason) == version_verdict::bad)
        return version_verdict::bad;
    if (earlier_counts.empty())
        return version_verdict::undecided;
    // One window per call, as each costs as much as the whole order.
    next_window = (next_window + 1) % earlier_counts.size();
    auto const recent = counts.since(earlier_counts[next_window]);
    return compare_versions(recent, reason, 1.0 / windows);
}

bool rollout_coordinator::order_progress::connected(
    std::size_t fleet_size, steady_time now) const
{
    return 2 * (peers.heard(now) + 1) > fleet_size;
}

bool rollout_coordinator::order_progress::may_shift(
    std::size_t fleet_size, steady_time now) const
{
    return confirmed &&
           (connected(fleet_size, now) || row.read_since(now - row_validity));
}

version_choice rollout_coordinator::order_progress::choose(
    endpoints_by_version const& endpoints, std::size_t fleet_size,
    steady_time now) const
{
    using rule = version_choice::rule;
    auto const from = current_version(endpoints);
    auto const& to = status.to;
    if (!active())
    {
        // An unlisted version must stay unused, also the only one listed.
        bool const single = endpoints.size() == 1 && endpoints.count(from) > 0;
        return single ? version_choice{} : choice_of(rule::only, from);
    }
    if (from == to)
        return candidate_choice(rule::only, to);
    auto const ready = ready_of(endpoints, to);
    if (ready == 0)
        return choice_of(rule::only, from);
    if (!current_listed(endpoints) && current_gone(now))
        return candidate_choice(rule::only, to);
    auto const passed = elapsed(now);
    if (passed >= phases.shift)
        return may_shift(fleet_size, now) ? candidate_choice(rule::prefer, to)
                                          : choice_of(rule::only, from);
    auto const current_ready = ready_of(endpoints, from);
    if (!confirmed || !connected(fleet_size, now) ||
        !canary.due(current_ready, passed))
        return choice_of(rule::only, from);
    auto c = candidate_choice(rule::prefer, to);
    c.max_endpoints = canary.endpoints(current_ready);
    return c;
}

rollout_coordinator::order_progress::step
rollout_coordinator::order_progress::next_step(
    endpoints_by_version const& endpoints, std::size_t fleet_size,
    steady_time now)
{
    auto const passed = elapsed(now);
    // The store's row tells a gateway that is cut off from its peers whether
    // it may shift.
    poll_row = !connected(fleet_size, now) &&
               passed >= phases.shift - row_poll_interval &&
               !row.read_since(now - row_poll_interval);
    if (passed < phases.shift || !may_shift(fleet_size, now))
        return step::stay;

    bool const all_left = own_requests_at_old == 0 &&
                          peers.all_left_old(fleet_size - 1, phases.shift, now);
    if (!all_left)
        old_idle_since.reset();
    else if (!old_idle_since)
        old_idle_since = now;

    bool const idle = passed >= phases.early_completion && old_idle_since &&
                      now - *old_idle_since >= idle_time;
    if (passed < phases.completion && !idle)
        return step::stay;
    if (ready_of(endpoints, status.to) > 0)
        return step::complete;
    // The old endpoints stop on completion, so it needs others that serve.
    bool const none_listed =
        !endpoints.empty() && endpoints.count(status.to) == 0;
    bool const give_up =
        passed >= phases.completion &&
        (none_listed || passed >= order->length + late_candidate_time);
    return give_up ? step::roll_back : step::stay;
}

void rollout_coordinator::order_progress::record_answer(
    version_answer const& answer, steady_time now)
{
    bool const candidate = answer.version == status.to;
    if (!candidate && !answer.version.empty() && answer.version != current)
        return;
    auto& of_version = candidate ? own_counts.candidate : own_counts.current;
    auto& counts = of_version[answer.route];
    if (answer.connection_lost)
    {
        auto const [last, first] = last_loss.emplace(answer.version, now);
        if (!first && now < last->second + loss_interval)
            return;
        last->second = now;
        ++counts.lost;
        return;
    }
    ++counts.answers;
    if (answer.failed)
        ++counts.failed;
    else
        counts.add_latency(answer.latency);
}

} // namespace dotterellock
