// Sends this gateway's load share to its peers over UDP and receives theirs; so
// too its evidence about crashes and about rollouts, in datagrams of their own.
// Gateways discover each other through a table of the platform's store, where
// each writes its address at startup and removes it at shutdown. Each datagram
// supersedes the previous one, so a lost one is not sent again.
#ifndef DOTTERELLOCK_RELAY_PEER_LOAD_SYNC_HPP
#define DOTTERELLOCK_RELAY_PEER_LOAD_SYNC_HPP

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "gateway/event_log.hpp"
#include "gateway/peer_loads.hpp"
#include "gateway/prompt_quarantine.hpp"
#include "gateway/request_limits.hpp"
#include "gateway/rollout_coordinator.hpp"
#include "gateway/shared_table.hpp"
#include "gateway/table_watcher.hpp"

namespace dotterellock
{

/// Write access to the platform's store.
class row_writer
{
public:
    using handler = std::function<void(bool done)>;

    enum class condition
    {
        met,    // the row was written
        failed, // it has another revision
        unknown // no answer; the row may have been written
    };

    struct conditional_result
    {
        condition outcome = condition::unknown;
        std::optional<store_row> row; // that failed the condition
        std::uint64_t revision = 0;   // of the row as written; 0: not known
        std::string detail;           // reason of an unknown outcome
    };

    struct found_row
    {
        bool read = false;            // the call succeeded
        std::optional<store_row> row; // empty: there is none
        std::string detail;           // reason of a failure
    };

    using conditional_handler = std::function<void(conditional_result)>;
    using find_handler = std::function<void(found_row)>;

    virtual ~row_writer() = default;
    virtual void
    put(std::string const& table, std::string const& key,
        std::string const& value, handler done) = 0;
    virtual void
    remove(std::string const& table, std::string const& key, handler done) = 0;

    /// Writes a row if its revision is the expected one.
    /// @param expected_revision  0: the row must not exist
    virtual void put_if(
        std::string const& table, std::string const& key,
        std::string const& value, std::uint64_t expected_revision,
        conditional_handler done) = 0;

    /// Reads one row.
    virtual void find(
        std::string const& table, std::string const& key,
        find_handler done) = 0;
};

class peer_load_sync : private table_listener
{
public:
    static constexpr char table_name[] = "gateways";

    using share_source = std::function<load_share()>;
    using share_handler = std::function<void(load_share const&)>;
    using evidence_source = std::function<crash_evidence()>;
    using evidence_handler = std::function<void(
        host_id const& gateway, crash_evidence const& evidence)>;

    using limit_handler =
        std::function<void(host_id const& gateway, limit_message const&)>;

    /// Null without rollouts.
    struct rollout_exchange
    {
        std::function<std::vector<rollout_evidence>()> source;
        std::function<void(
            host_id const& gateway, rollout_evidence const& evidence)>
            handler;
    };

    /// Datagrams with evidence.
    struct evidence_counts
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t unreadable = 0;
    };

    /// @param host     name of this gateway's host; the key of its row
    /// @param address  this gateway's address, IP:PORT
    peer_load_sync(
        asio::io_context& io, std::string host, std::string address,
        row_reader& reader, row_writer& writer, clock_source const& clock,
        random_source& random, event_log& log, share_source source,
        share_handler handler, evidence_source evidence,
        evidence_handler on_evidence, limit_handler on_limit_message,
        rollout_exchange rollouts);

    peer_load_sync(peer_load_sync const&) = delete;
    peer_load_sync& operator=(peer_load_sync const&) = delete;

    /// Opens the socket and starts to follow the table of gateways. Throws
    /// std::system_error.
    void start();

    /// Registers and sends as needed; called many times a second.
    void poll();

    /// Sends the load share as soon as the minimum interval allows.
    void request_send() { send_requested_ = true; }

    /// Sends the evidence as soon as the minimum interval allows.
    void request_evidence_send() { evidence_requested_ = true; }

    /// Sends the evidence about rollouts at once.
    void request_rollout_send() { rollout_requested_ = true; }

    evidence_counts const& evidence_datagrams() const
    {
        return evidence_counts_;
    }

    evidence_counts const& rollout_datagrams() const { return rollout_counts_; }

    /// Removes this gateway's row from the table.
    void unregister();

    /// Number of gateways including this one; 0 until the table was listed.
    std::size_t fleet_size() const;

    /// Position of this gateway among the known ones, in rendezvous order for a
    /// key; 0 is first.
    std::size_t rank_for(std::string const& key) const;

    /// The first gateways in rendezvous order for a key, with this one, but
    /// without those that have been silent for long or stop. Empty until the
    /// table was listed.
    std::vector<limit_network::granter> first_alive_for(
        std::string const& key, std::size_t most, steady_time now) const;

    void send_limit_message(host_id const& to, limit_message const& message);

    /// Another gateway that offers current copies of the tables.
    struct table_holder
    {
        host_id host;
        std::string address;
        zone_id zone;
        std::uint32_t link_mbps = 0; // 0: not known
    };

    /// Those heard from recently.
    std::vector<table_holder> table_holders(steady_time now) const;

    /// This gateway's copy of the table of gateways.
    shared_table& gateway_table() { return gateway_table_; }

    /// Whether a gateway of this name is registered, or the table of gateways
    /// is not known yet.
    bool is_known(host_id const& host) const
    {
        return !peer_watch_.listed() || peers_.count(host.value()) != 0;
    }

    /// Whether a registered gateway has this IP address.
    bool is_peer(std::string const& ip) const;

private:
    struct peer
    {
        std::string address_text;
        asio::ip::udp::endpoint address;
        steady_time last_heard{};
        zone_id zone; // empty: offers no tables
        std::uint32_t link_mbps = 0;
        bool in_group = true; // shares are sent to it and expected from it
    };

    void on_listing(
        std::vector<store_row> const& rows,
        change_period const& period) override;
    void on_change(store_row const& row, change_period const& period) override;
    void on_current(copy_state const&) override {}

    void register_self();
    void apply_row(store_row const& row);
    void update_peer_group();
    void receive();
    void on_datagram(
        std::string const& bytes, asio::ip::udp::endpoint const& sender);
    void on_evidence_datagram(
        std::string const& bytes, asio::ip::udp::endpoint const& sender);
    void on_limit_datagram(
        std::string const& bytes, asio::ip::udp::endpoint const& sender);
    void on_rollout_datagram(
        std::string const& bytes, asio::ip::udp::endpoint const& sender);
    bool known_sender(
        host_id const& gateway, asio::ip::udp::endpoint const& sender) const;
    void send();
    void send_evidence(bool changed);
    void send_rollout_evidence();
    std::size_t send_to_group(std::string const& bytes);
    std::size_t send_to_next(std::string const& bytes);
    void send_datagram(std::string const& bytes, peer const& to);
    void remove_lost_peers(steady_time now);

    std::string const host_;
    std::string const address_;
    row_writer& writer_;
    clock_source const& clock_;
    event_log& log_;
    share_source const share_source_;
    share_handler const share_handler_;
    evidence_source const evidence_source_;
    evidence_handler const evidence_handler_;
    limit_handler const limit_handler_;
    rollout_exchange const rollouts_;
    shared_table gateway_table_;
    table_watcher peer_watch_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 2048> buffer_;
    std::map<std::string, peer> peers_; // by host
    std::uint64_t const incarnation_;
    std::uint64_t sequence_ = 0;
    bool registered_ = false;
    bool registering_ = false;
    bool unregistered_ = false;
    bool send_requested_ = false;
    steady_time next_write_{};
    steady_time last_sent_{};
    bool evidence_requested_ = false;
    steady_time evidence_sent_{}; // or was found to be empty
    std::string last_evidence_peer_;
    evidence_counts evidence_counts_;
    bool rollout_requested_ = false;
    steady_time rollout_sent_{}; // or there was nothing to send
    evidence_counts rollout_counts_;
};

} // namespace dotterellock

#endif
