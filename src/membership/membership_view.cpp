#include "membership/membership_view.hpp"

#include <utility>

#include "membership/registration_record.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds check_interval{5};
// Limits the scans while a whole zone restarts.
constexpr seconds min_scan_interval{20};
constexpr minutes max_scan_interval{10};
constexpr seconds request_timeout{4};
// Dozens of missed heartbeats, since a dead endpoint in the list costs little,
// while a missing live one costs capacity.
constexpr minutes row_expiry{9};
constexpr double jitter_fraction = 0.1;

} // namespace

membership_view::membership_view(
    clock_source& clock, timer_service& timers, random_source& random,
    table_service& store, dotterellock::fleet_view& fleet,
    counter_registry& counters)
    : clock_(clock), timers_(timers), random_(random), store_(store),
      fleet_(fleet), scans_(counters.counter("membership_scans_total")),
      store_failures_(counters.counter("membership_view_failures_total")),
      expired_rows_(counters.counter("membership_rows_expired_total"))
{
}

membership_view::~membership_view()
{
    timers_.cancel(timer_);
}

void membership_view::set_on_change(
    std::function<void(std::vector<endpoint_info>)> callback)
{
    on_change_ = std::move(callback);
}

void membership_view::set_on_leaving(
    std::function<void(std::set<host_id>)> callback)
{
    on_leaving_ = std::move(callback);
}

void membership_view::start()
{
    scanned_at_ = clock_.now() - max_scan_interval;
    on_timer();
}

void membership_view::on_timer()
{
    double const factor = 1 - jitter_fraction * random_.uniform();
    timer_ = timers_.schedule(
        std::chrono::duration_cast<duration>(check_interval * factor),
        [this] { on_timer(); });
    read_change_marker();
    check_hosts();
}

void membership_view::read_change_marker()
{
    if (read_pending_)
        return;
    read_pending_ = true;
    store_.read(
        {membership_changed_key}, request_timeout,
        guard_.wrap([this](read_result const& r) { on_change_marker(r); }));
}

void membership_view::on_change_marker(read_result const& result)
{
    read_pending_ = false;
    if (result.status != store_status::ok || result.rows.size() != 1)
    {
        on_failure();
        return;
    }
    marker_version_ = result.rows.front().version;
    duration const age = clock_.now() - scanned_at_;
    bool const changed = scanned_version_ != marker_version_;
    bool const first = !scanned_version_;
    if (first || (changed && age >= min_scan_interval) ||
        age >= max_scan_interval)
        scan();
}

void membership_view::scan()
{
    read_pending_ = true;
    scanned_at_ = clock_.now();
    scans_.add();
    store_.scan(
        endpoint_prefix, request_timeout,
        guard_.wrap([this](read_result const& r) { on_scan(r); }));
}

void membership_view::on_failure()
{
    store_failures_.add();
    // No row could be refreshed while the store was unavailable.
    ages_valid_ = false;
}

void membership_view::on_scan(read_result const& result)
{
    read_pending_ = false;
    if (result.status != store_status::ok)
    {
        on_failure();
        return;
    }
    // Changes after this scan raise the version above this one.
    scanned_version_ = marker_version_;
    steady_time const now = clock_.now();
    bool const ages_valid = std::exchange(ages_valid_, true);
    std::map<std::string, observed_row> rows;
    for (auto const& r : result.rows)
    {
        auto const record = decode_registration_record(r.value);
        if (!record || record->left)
            continue;
        observed_row entry{r.version, now, record->info};
        auto const known = rows_.find(r.key);
        bool const unchanged =
            known != rows_.end() && known->second.version == r.version;
        if (unchanged && ages_valid)
            entry.since = known->second.since;
        rows.emplace(r.key, std::move(entry));
    }
    rows_ = std::move(rows);
    publish();
}

void membership_view::publish()
{
    std::vector<endpoint_info> endpoints;
    std::string text;
    for (auto const& [key, entry] : rows_)
    {
        if (clock_.now() - entry.since >= row_expiry)
        {
            expired_rows_.add();
            continue;
        }
        registration_record shown;
        shown.info = entry.info;
        text += encode(shown);
        endpoints.push_back(entry.info);
    }
    if (text == published_text_)
        return;
    published_text_ = std::move(text);
    endpoints_ = std::move(endpoints);
    if (on_change_)
        on_change_(endpoints_);
}

void membership_view::check_hosts()
{
    if (hosts_pending_)
        return;
    hosts_pending_ = true;
    fleet_.hosts(
        request_timeout,
        guard_.wrap([this](fleet_result const& r) { on_hosts(r); }));
}

void membership_view::on_hosts(fleet_result const& result)
{
    hosts_pending_ = false;
    if (result.status != store_status::ok)
        return;
    std::set<host_id> leaving;
    for (auto const& entry : result.hosts)
    {
        if (entry.state == host_state::leaving)
            leaving.insert(entry.host);
    }
    if (leaving == leaving_)
        return;
    leaving_ = std::move(leaving);
    if (on_leaving_)
        on_leaving_(leaving_);
}

} // namespace dotterellock
