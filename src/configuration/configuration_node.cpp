#include "configuration/configuration_node.hpp"

#include <algorithm>

#include <dotterellock/error.hpp>

#include "configuration/configuration_records.hpp"
#include "configuration/rendezvous_order.hpp"

// Index
//   life cycle    : constructor, start, set_peers, tick, pause detection
//   refresh       : confirmation by the store or by peers
//   store         : polling, current version, document
//   messages      : digest, request, document, fetch
//   activation    : adopt, apply_document, expiry, announce_version
//   gossip        : periodic digests, poller election
//   reports       : versions in force in the zone

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Poll and gossip period; pollers see a new version after half of it on
// average.
constexpr milliseconds tick_interval{500};
// Three missed ticks. Shorter than the time after which a silent registration
// counts as dead, so a process that was paused while a version was accepted
// always detects the pause.
constexpr milliseconds pause_threshold{1500};
// Tolerates a slow store; at most one read is outstanding.
constexpr milliseconds store_timeout{2000};
// A candidate that is silent for three ticks is replaced by the next one.
constexpr milliseconds candidate_timeout{1600};
// Time in which a process contacts each candidate of its zone three times.
constexpr seconds node_timeout{12};
constexpr seconds report_interval{10};
// Covers the slowest round trip between regions (40 ms) and a document of
// 20 kB.
constexpr milliseconds fetch_timeout{300};
constexpr unsigned fetch_failures_before_poll = 3;
// During a store outage a process takes the highest version that any peer
// reports within this time, which allows for two rounds of requests.
constexpr milliseconds peer_answer_window{1000};
// Messages that were queued during a pause arrive first; answers within this
// time may be stale and do not confirm the held version.
constexpr milliseconds settle_time{200};

constexpr std::size_t candidate_count = 4; // two pollers and two standbys
constexpr std::size_t poller_count = 2;
// With six partners each, on average 0.3 of 137 processes are no other
// process's partner; periodic digests reach those within a second.
constexpr std::size_t partner_count = 6;
constexpr std::size_t requests_per_remote_zone = 2; // per round
constexpr std::size_t max_document_sources = 8;
constexpr unsigned announcement_repeats = 3; // digests may be lost
constexpr std::uint64_t remote_gossip_ticks = 16;

} // namespace

// ---- life cycle -----------------------------------------------------------

configuration_node::configuration_node(
    peer_id self, node_location location, clock_source& clock,
    timer_service& timers, random_source& random, peer_transport& transport,
    table_service& store, configuration_parser const& parser,
    std::vector<configuration_peer> peers, counter_registry& counters)
    : self_(std::move(self)), location_(std::move(location)), clock_(clock),
      timers_(timers), random_(random), transport_(transport), store_(store),
      parser_(parser), policy_(std::make_shared<policy_settings>()),
      adopted_(counters.counter("configuration_versions_adopted_total")),
      rejected_count_(
          counters.counter("configuration_versions_rejected_total")),
      pauses_(counters.counter("configuration_pauses_total")),
      store_behind_(counters.counter("configuration_store_behind_total")),
      store_failures_(counters.counter("configuration_store_failures_total")),
      documents_sent_(counters.counter("configuration_documents_sent_total"))
{
    set_peers(std::move(peers));
}

configuration_node::~configuration_node()
{
    timers_.cancel(tick_timer_);
    timers_.cancel(fetch_timer_);
}

void configuration_node::set_on_change(change_handler handler)
{
    on_change_ = std::move(handler);
}

void configuration_node::set_peers(std::vector<configuration_peer> peers)
{
    std::map<zone_id, std::vector<peer_id>> zones;
    for (auto& p : peers)
    {
        if (p.peer != self_)
            zones[p.zone].push_back(std::move(p.peer));
    }
    zone_peers_ = zones[location_.zone];
    partners_ = rendezvous_order(self_.value(), zone_peers_, partner_count);
    auto members = zone_peers_;
    members.push_back(self_);
    candidates_ =
        rendezvous_order(location_.zone.value(), members, candidate_count);
    is_candidate_ = std::count(candidates_.begin(), candidates_.end(), self_);
    zones.erase(location_.zone);
    remote_zones_.clear();
    for (auto const& [zone, zone_members] : zones)
    {
        remote_zones_.push_back(
            {rendezvous_order(zone.value(), zone_members, candidate_count)});
    }
}

void configuration_node::start()
{
    last_tick_ = clock_.now();
    // Desynchronizes the ticks of processes that start at the same time.
    auto const offset = random_.below(tick_interval.count());
    tick_timer_ = timers_.schedule(milliseconds(offset), [this] { tick(); });
    begin_refresh();
}

bool configuration_node::ready() const
{
    return ready_ && clock_.now() - last_tick_ <= pause_threshold;
}

void configuration_node::tick()
{
    tick_timer_ = timers_.schedule(tick_interval, [this] { tick(); });
    detect_pause();
    ++round_;
    reapply_after_expiry();
    if (!ready_)
    {
        refresh_step();
        end_refresh_if_confirmed();
        return;
    }
    gossip();
    if (is_poller())
    {
        poll();
        report_zone();
    }
}

void configuration_node::detect_pause()
{
    bool const paused = clock_.now() - last_tick_ > pause_threshold;
    last_tick_ = clock_.now();
    if (!paused)
        return;
    pauses_.add();
    begin_refresh();
}

// ---- refresh --------------------------------------------------------------

void configuration_node::begin_refresh()
{
    ready_ = false;
    ++refresh_number_;
    refresh_started_at_ = clock_.now();
    refresh_read_pending_ = false;
    peer_answered_ = false;
    highest_peer_version_ = 0;
    refresh_step();
}

void configuration_node::refresh_step()
{
    refresh_from_store();
    for (auto const& candidate : candidates_)
        request_document(candidate);
    if (!partners_.empty())
        request_document(partners_[random_.below(partners_.size())]);
    // Other zones are queried only if the store has not answered promptly,
    // to limit traffic between regions when a whole zone starts.
    if (clock_.now() - refresh_started_at_ < settle_time)
        return;
    for (auto const& zone : remote_zones_)
    {
        std::size_t const first = random_.below(zone.candidates.size());
        std::size_t const n =
            std::min(requests_per_remote_zone, zone.candidates.size());
        for (std::size_t i = 0; i < n; ++i)
            request_document(
                zone.candidates[(first + i) % zone.candidates.size()]);
    }
}

void configuration_node::refresh_from_store()
{
    if (refresh_read_pending_)
        return;
    refresh_read_pending_ = true;
    // The answer to a read issued before the pause confirms nothing.
    read_current(
        [this, refresh = refresh_number_](bool answered)
        {
            if (refresh != refresh_number_ || ready_)
                return;
            refresh_read_pending_ = false;
            if (!answered)
                return;
            ready_ = true;
            announce_version();
        });
}

void configuration_node::on_refresh_answer(configuration_version version)
{
    highest_peer_version_ = std::max(highest_peer_version_, version);
    if (clock_.now() - refresh_started_at_ >= settle_time)
        peer_answered_ = true;
    end_refresh_if_confirmed();
}

void configuration_node::end_refresh_if_confirmed()
{
    bool const has_highest = held_version_ >= highest_peer_version_ ||
                             rejected_version_ == highest_peer_version_;
    bool const waited =
        clock_.now() - refresh_started_at_ >= peer_answer_window;
    if (ready_ || !peer_answered_ || !has_highest || !waited)
        return;
    ready_ = true;
    announce_version();
}

// ---- store ----------------------------------------------------------------

void configuration_node::poll()
{
    if (poll_pending_)
        return;
    poll_pending_ = true;
    read_current([this](bool) { poll_pending_ = false; });
}

void configuration_node::read_current(std::function<void(bool)> done)
{
    auto on_row = [this, done = std::move(done)](read_result const& result)
    {
        if (result.status != store_status::ok || result.rows.size() != 1)
        {
            store_failures_.add();
            done(false);
            return;
        }
        row const& current = result.rows.front();
        auto const record = decode_version_record(current.value);
        bool const absent = current.version == 0;
        if (!record && !absent)
        {
            store_failures_.add();
            done(false);
            return;
        }
        configuration_version const stored = absent ? 0 : record->version;
        if (stored < held_version_)
            store_behind_.add(); // e.g. the store was restored from a backup
        if (stored > held_version_ && stored != rejected_version_)
            read_document(stored, done);
        else
            done(true);
    };
    store_.read(
        {current_configuration_key}, store_timeout,
        guard_.wrap(std::move(on_row)));
}

void configuration_node::read_document(
    configuration_version version, std::function<void(bool)> const& done)
{
    auto on_row = [this, version, done](read_result const& result)
    {
        bool const found = result.status == store_status::ok &&
                           result.rows.size() == 1 &&
                           result.rows.front().version != 0;
        if (found)
            adopt(version, result.rows.front().value);
        else
            store_failures_.add();
        done(found);
    };
    store_.read(
        {document_key(version)}, store_timeout, guard_.wrap(std::move(on_row)));
}

// ---- messages -------------------------------------------------------------

void configuration_node::on_message(peer_id const& from, message const& m)
{
    auto const* const digest = std::get_if<configuration_digest>(&m);
    auto const* const push = std::get_if<configuration_push>(&m);
    if (digest == nullptr && push == nullptr)
        return;
    detect_pause();
    if (digest != nullptr)
        on_digest(from, digest->version);
    else if (push->document.empty())
        on_request(from, push->version);
    else
        on_document(from, *push);
}

void configuration_node::on_digest(
    peer_id const& from, configuration_version version)
{
    record_peer_version(from, version);
    if (version > held_version_ && version != rejected_version_)
        fetch(from, version);
    else if (version < in_force_version_ && ready())
        send_digest(from);
    if (!ready_)
        on_refresh_answer(version);
}

void configuration_node::on_request(
    peer_id const& from, configuration_version held)
{
    if (!ready())
        return;
    if (held_version_ <= held)
    {
        send_digest(from);
        return;
    }
    documents_sent_.add();
    transport_.send(from, configuration_push{held_version_, document_});
}

void configuration_node::on_document(
    peer_id const&, configuration_push const& push)
{
    adopt(push.version, push.document);
    if (!ready_)
        on_refresh_answer(push.version);
}

void configuration_node::on_disconnected(peer_id const& peer)
{
    // The peer may have restarted without the version it reported.
    peer_versions_.erase(peer);
}

void configuration_node::fetch(
    peer_id const& from, configuration_version version)
{
    if (document_sources_.size() < max_document_sources)
        document_sources_.push_back({from, version});
    if (fetching_ < version)
        fetch_next();
}

void configuration_node::fetch_next()
{
    end_fetch();
    while (!document_sources_.empty())
    {
        document_source const next = document_sources_.front();
        document_sources_.pop_front();
        if (next.version <= held_version_)
            continue;
        fetching_ = next.version;
        request_document(next.peer);
        fetch_timer_ =
            timers_.schedule(fetch_timeout, [this] { on_fetch_timeout(); });
        return;
    }
}

void configuration_node::on_fetch_timeout()
{
    // Peers report a newer version, but none has delivered it.
    if (++fetch_failures_ % fetch_failures_before_poll == 0)
        poll();
    fetch_next();
}

void configuration_node::end_fetch()
{
    timers_.cancel(fetch_timer_);
    fetching_ = 0;
}

// ---- activation -----------------------------------------------------------

void configuration_node::adopt(
    configuration_version version, std::string const& document)
{
    if (version <= held_version_ || version == rejected_version_)
        return;
    auto const previous = std::exchange(document_, document);
    auto const previous_version = std::exchange(held_version_, version);
    try
    {
        apply_document();
    }
    catch (error const&)
    {
        // The document may be written for another release of this program.
        // The process keeps its version and is listed as missing in the
        // rollout status of the new one.
        document_ = previous;
        held_version_ = previous_version;
        rejected_version_ = version;
        rejected_count_.add();
        return;
    }
    adopted_.add();
    fetch_failures_ = 0;
    if (fetching_ <= held_version_)
        fetch_next();
}

void configuration_node::apply_document()
{
    wall_time const now = clock_.wall_now();
    auto const policy = std::make_shared<policy_settings const>(
        parser_.effective(document_, location_, now));
    next_expiry_.reset();
    for (auto const& e : parser_.exceptions(document_))
    {
        bool const later = e.expires && *e.expires > now;
        if (later && (!next_expiry_ || *e.expires < *next_expiry_))
            next_expiry_ = e.expires;
    }
    policy_ = policy;
    auto const in_force = [this, version = held_version_]
    {
        if (version <= in_force_version_)
            return;
        in_force_version_ = version;
        announcements_left_ = announcement_repeats;
        announce_version();
    };
    if (on_change_)
        on_change_(held_version_, policy_, guard_.wrap(in_force));
    else
        in_force();
}

void configuration_node::reapply_after_expiry()
{
    if (next_expiry_ && *next_expiry_ <= clock_.wall_now())
        apply_document(); // cannot throw: the document has parsed before
}

void configuration_node::announce_version()
{
    if (!ready())
        return;
    reported_up_to_date_ = false;
    for (auto const& partner : partners_)
        send_digest(partner);
    for (auto const& candidate : candidates_)
        send_digest(candidate);
}

// ---- gossip ---------------------------------------------------------------

void configuration_node::gossip()
{
    bool const repeat = announcements_left_ > 0;
    if (repeat)
        --announcements_left_;
    if (repeat || is_candidate_)
    {
        for (auto const& candidate : candidates_)
            send_digest(candidate);
    }
    else if (round_ % 2 == 0 && !candidates_.empty())
        send_digest(candidates_[round_ / 2 % candidates_.size()]);
    else if (!partners_.empty())
        send_digest(partners_[random_.below(partners_.size())]);

    // Candidates contact another zone in every tick. Other processes do so
    // every `remote_gossip_ticks`, which keeps a zone connected when all its
    // candidates are down.
    if (remote_zones_.empty() ||
        (!is_candidate_ && round_ % remote_gossip_ticks != 0))
        return;
    auto const& far =
        remote_zones_[random_.below(remote_zones_.size())].candidates;
    send_digest(far[random_.below(far.size())]);
}

void configuration_node::send_digest(peer_id const& to)
{
    if (to != self_)
        transport_.send(to, configuration_digest{in_force_version_});
}

void configuration_node::request_document(peer_id const& to)
{
    if (to != self_)
        transport_.send(to, configuration_push{held_version_, ""});
}

bool configuration_node::is_poller() const
{
    if (!is_candidate_)
        return false;
    std::size_t better_candidates = 0;
    for (auto const& candidate : candidates_)
    {
        if (candidate == self_)
            break;
        auto const heard = peer_versions_.find(candidate);
        if (heard != peer_versions_.end() &&
            clock_.now() - heard->second.heard_at <= candidate_timeout)
            ++better_candidates;
    }
    return better_candidates < poller_count;
}

// ---- reports --------------------------------------------------------------

void configuration_node::record_peer_version(
    peer_id const& from, configuration_version version)
{
    if (!is_candidate_)
        return;
    peer_versions_[from] = {version, clock_.now()};
    // The whole zone has the version: report without waiting for the tick.
    if (ready() && !reported_up_to_date_ && zone_up_to_date() && is_poller())
        report_zone();
}

bool configuration_node::zone_up_to_date() const
{
    return std::all_of(
        zone_peers_.begin(), zone_peers_.end(),
        [this](peer_id const& peer)
        {
            auto const found = peer_versions_.find(peer);
            return found != peer_versions_.end() &&
                   found->second.version >= in_force_version_;
        });
}

std::string configuration_node::encode_zone_report() const
{
    in_force_report report;
    report.nodes[self_] = in_force_version_;
    for (auto const& peer : zone_peers_)
    {
        auto const found = peer_versions_.find(peer);
        bool const heard =
            found != peer_versions_.end() &&
            clock_.now() - found->second.heard_at <= node_timeout;
        // Never above the version held here: a process that restarts requests
        // the document from the collectors, so they must be able to serve any
        // version they report.
        if (heard)
            report.nodes[peer] = std::min(found->second.version, held_version_);
    }
    return encode(report);
}

void configuration_node::report_zone()
{
    if (report_pending_)
        return;
    std::string const value = encode_zone_report();
    bool const due = clock_.now() - reported_at_ >= report_interval;
    if (value == reported_ && !due)
        return;
    report_pending_ = true;
    reported_up_to_date_ = zone_up_to_date();
    if (report_row_version_)
    {
        write_zone_report(value);
        return;
    }
    auto on_row = [this](read_result const& result)
    {
        report_pending_ = false;
        if (result.status == store_status::ok && result.rows.size() == 1)
        {
            report_row_version_ = result.rows.front().version;
            report_zone();
        }
    };
    store_.read(
        {in_force_key(location_.zone, self_)}, store_timeout,
        guard_.wrap(on_row));
}

void configuration_node::write_zone_report(std::string const& value)
{
    auto on_commit = [this, value](commit_result const& result)
    {
        report_pending_ = false;
        if (result.status == store_status::ok && !result.versions.empty())
        {
            report_row_version_ = result.versions.front();
            reported_ = value;
            reported_at_ = clock_.now();
        }
        else if (result.status != store_status::unavailable)
            report_row_version_.reset(); // re-read before the next write
    };
    // The version condition prevents a delayed write from replacing a newer
    // report.
    store_.commit(
        {{in_force_key(location_.zone, self_), value, report_row_version_}},
        store_timeout, guard_.wrap(on_commit));
}

} // namespace dotterellock
