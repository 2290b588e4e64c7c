// Sends this gateway's load share to the others and receives theirs. Gateways
// find each other through a table of the platform's store: each writes its
// address there when it starts and removes it when it stops. Datagrams may be
// lost; the next one replaces them.
#ifndef DOTTERELLOCK_RELAY_PEER_LOAD_SYNC_HPP
#define DOTTERELLOCK_RELAY_PEER_LOAD_SYNC_HPP

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "gateway/event_log.hpp"
#include "gateway/peer_loads.hpp"
#include "gateway/table_watch.hpp"

namespace dotterellock
{

/// Writing access to the platform's store.
class row_writer
{
public:
    using handler = std::function<void(bool done)>;

    virtual ~row_writer() = default;
    virtual void
    put(std::string const& table, std::string const& key,
        std::string const& value, handler done) = 0;
    virtual void
    remove(std::string const& table, std::string const& key, handler done) = 0;
};

class peer_load_sync : private table_sink
{
public:
    using share_source = std::function<load_share()>;
    using share_handler = std::function<void(load_share const&)>;

    /// @param address  own address, IP:PORT; the host's name is its key
    peer_load_sync(
        asio::io_context& io, std::string host, std::string address,
        row_reader& reader, row_writer& writer, clock_source const& clock,
        random_source& random, event_log& log, share_source own,
        share_handler received);

    peer_load_sync(peer_load_sync const&) = delete;
    peer_load_sync& operator=(peer_load_sync const&) = delete;

    /// Opens the socket and registers. Throws std::system_error.
    void start();

    /// Sends what is due; called many times a second.
    void poll();

    /// Something request_send that others should know soon.
    void request_send() { send_requested_ = true; }

    /// Removes the registration.
    void unregister();

    /// Gateways known, this one included; 0 while the table is unknown.
    std::size_t fleet_size() const;

private:
    struct peer
    {
        std::string address_text;
        asio::ip::udp::endpoint address;
        steady_time last_heard{};
        bool in_group = true; // shares are exchanged with it
    };

    void on_listing(std::vector<store_row> const& rows) override;
    void on_change(store_row const& row) override;
    void on_proof(steady_time) override {}

    void register_self();
    void apply_row(store_row const& row);
    void update_peer_group();
    void receive();
    void send();
    void remove_lost_peers(steady_time now);

    std::string const host_;
    std::string const address_;
    row_writer& writer_;
    clock_source const& clock_;
    event_log& log_;
    share_source const share_source_;
    share_handler const share_handler_;
    table_watch peer_watch_;
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
};

} // namespace dotterellock

#endif
