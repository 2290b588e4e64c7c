// Keeps one process on the current fleet configuration: learns new versions
// from the table service or from peers, disseminates them, and reports which
// version is in force. One per process; called under the lock of the object
// graph that owns it.
//
// Dissemination. The processes of a zone are ranked by rendezvous hashing; the
// first four are candidates. The two highest-ranked live candidates are the
// pollers and collectors of the zone: they poll the store every 500 ms and
// collect the versions in force in the zone. A process with a new version sends
// its digest to six partners of its zone and to the candidates. A receiver that
// lacks the version requests the document from one sender, so each process
// receives a document about once (a direct push to a zone of 137 processes
// would cost its poller 2.7 MB for a document of 20 kB). Periodic digests
// (anti-entropy) repair lost messages; candidates also exchange digests across
// zones.
//
// In-force reports. One row per process would cost 960 processes 240 writes
// per second for 4 s, most of the store's budget of 300 writes per second.
// Instead each process sends its digest to the candidates, and the two
// collectors of a zone write one row each, at most two writes per second: 14
// rows in 7 zones.
//
// Messages
//   configuration_digest {v}            the sender has v in force and serves it
//   configuration_push {v, document}    the document
//   configuration_push {v, ""}          requests the document if newer than v
#ifndef DOTTERELLOCK_CONFIGURATION_CONFIGURATION_NODE_HPP
#define DOTTERELLOCK_CONFIGURATION_CONFIGURATION_NODE_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/configuration.hpp>
#include <dotterellock/external_services.hpp>
#include <dotterellock/observability.hpp>
#include <dotterellock/peer_transport.hpp>
#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

#include "store/callback_guard.hpp"

namespace dotterellock
{

/// Another router or agent process of the fleet.
struct configuration_peer
{
    peer_id peer;
    zone_id zone;
};

class configuration_node : public policy_source, public message_handler
{
public:
    /// Receives each new policy. Must call `in_force`, under this object's
    /// lock, once every component of the process uses the policy; the version
    /// is reported only then.
    using change_handler = std::function<void(
        configuration_version version,
        std::shared_ptr<policy_settings const> policy,
        std::function<void()> in_force)>;

    configuration_node(
        peer_id self, node_location location, clock_source& clock,
        timer_service& timers, random_source& random, peer_transport& transport,
        table_service& store, configuration_parser const& parser,
        std::vector<configuration_peer> peers, counter_registry& counters);
    ~configuration_node() override;
    configuration_node(configuration_node const&) = delete;
    configuration_node& operator=(configuration_node const&) = delete;

    void start();
    void set_peers(std::vector<configuration_peer> peers);

    /// Without a handler a policy is in force as soon as it is parsed.
    void set_on_change(change_handler handler);

    /// False before the first version is known and after a process pause,
    /// until the store or peers confirm the held version. While false, the
    /// process must not accept or schedule new work: its configuration may
    /// have been superseded.
    bool ready() const;

    policy_settings const& current() const override { return *policy_; }
    configuration_version version() const { return in_force_version_; }

    void on_message(peer_id const& from, message const& m) override;
    void on_disconnected(peer_id const& peer) override;

private:
    struct peer_version
    {
        configuration_version version = 0;
        steady_time heard_at;
    };

    struct remote_zone
    {
        std::vector<peer_id> candidates;
    };

    struct document_source
    {
        peer_id peer;
        configuration_version version = 0;
    };

    void tick();
    void detect_pause();
    void begin_refresh();
    void refresh_step();
    void refresh_from_store();
    void on_refresh_answer(configuration_version version);
    void end_refresh_if_confirmed();

    void poll();
    void read_current(std::function<void(bool answered)> done);
    void read_document(
        configuration_version version, std::function<void(bool)> const& done);

    void on_digest(peer_id const& from, configuration_version version);
    void on_request(peer_id const& from, configuration_version held);
    void on_document(peer_id const& from, configuration_push const& push);

    void adopt(configuration_version version, std::string const& document);
    void apply_document();
    void reapply_after_expiry();
    void announce_version();
    void fetch(peer_id const& from, configuration_version version);
    void fetch_next();
    void on_fetch_timeout();
    void end_fetch();

    void gossip();
    void send_digest(peer_id const& to);
    void request_document(peer_id const& to);
    bool is_poller() const;
    void
    record_peer_version(peer_id const& from, configuration_version version);
    void report_zone();
    void write_zone_report(std::string const& value);
    bool zone_up_to_date() const;
    std::string encode_zone_report() const;

    peer_id self_;
    node_location location_;
    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    peer_transport& transport_;
    table_service& store_;
    configuration_parser const& parser_;
    change_handler on_change_;

    std::vector<peer_id> zone_peers_; // without this process
    std::vector<peer_id> candidates_; // with this process, best first
    std::vector<peer_id> partners_;
    std::vector<remote_zone> remote_zones_;
    bool is_candidate_ = false;

    configuration_version held_version_ = 0;
    configuration_version in_force_version_ = 0;
    configuration_version rejected_version_ = 0; // latest that failed to parse
    std::string document_;
    std::shared_ptr<policy_settings const> policy_;
    std::optional<wall_time> next_expiry_;

    bool ready_ = false;
    unsigned refresh_number_ = 0; // identifies the current refresh
    steady_time refresh_started_at_;
    bool refresh_read_pending_ = false;
    bool peer_answered_ = false;
    configuration_version highest_peer_version_ = 0;

    timer_id tick_timer_ = 0;
    steady_time last_tick_;
    std::uint64_t round_ = 0;
    unsigned announcements_left_ = 0;
    bool poll_pending_ = false;

    std::deque<document_source> document_sources_; // peers with a newer version
    configuration_version fetching_ = 0;
    timer_id fetch_timer_ = 0;
    unsigned fetch_failures_ = 0;

    std::map<peer_id, peer_version> peer_versions_; // candidates only
    std::optional<row_version> report_row_version_; // of this process's row
    std::string reported_;
    steady_time reported_at_;
    bool report_pending_ = false;
    bool reported_up_to_date_ = false;

    counter& adopted_;
    counter& rejected_count_;
    counter& pauses_;
    counter& store_behind_;
    counter& store_failures_;
    counter& documents_sent_;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
