#include "peer_load_sync.hpp"

#include <algorithm>
#include <utility>

#include <dotterellock/error.hpp>

#include "choice/rendezvous.hpp"
#include "connection_pool.hpp"
#include "crash_evidence_codec.hpp"
#include "gateway/isolated_work.hpp"
#include "gateway/peer_group.hpp"
#include "limit_message_codec.hpp"
#include "load_share_codec.hpp"
#include "rollout_evidence_codec.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// A changed share or changed evidence is sent at once, but no sooner than the
// minimum interval. Unchanged ones are repeated, in case a datagram was lost.
constexpr milliseconds max_send_interval{250};
constexpr milliseconds min_send_interval{40};

// Twelve shares; so many are not lost in a row.
constexpr milliseconds long_silence{3000};

constexpr milliseconds registration_retry_interval{1000};

// Peers remove the row of a host that disappeared without unregistering.
constexpr std::chrono::minutes lost_peer_timeout{5};

// Long polls, as the table changes only when gateways start or stop.
constexpr table_watch_settings peer_watch_settings{
    milliseconds(20000), milliseconds(500), milliseconds(200),
    milliseconds(2000)};

// Other gateways may use this copy. It is at most as old as one call takes.
constexpr milliseconds max_shared_age{25000};

asio::ip::udp::endpoint udp_address(std::string const& text)
{
    auto const address = parse_address(text);
    if (!address)
        throw error(
            error_code::invalid_argument, "peer_address", text,
            "is not an IPv4 address with a port");
    return {address->address(), address->port()};
}

} // namespace

peer_load_sync::peer_load_sync(
    asio::io_context& io, std::string host, std::string address,
    row_reader& reader, row_writer& writer, clock_source const& clock,
    random_source& random, event_log& log, share_source source,
    share_handler handler, evidence_source evidence,
    evidence_handler on_evidence, limit_handler on_limit_message,
    rollout_exchange rollouts)
    : host_(std::move(host)), address_(std::move(address)), writer_(writer),
      clock_(clock), log_(log), share_source_(std::move(source)),
      share_handler_(std::move(handler)), evidence_source_(std::move(evidence)),
      evidence_handler_(std::move(on_evidence)),
      limit_handler_(std::move(on_limit_message)),
      rollouts_(std::move(rollouts)),
      gateway_table_(*this, clock, max_shared_age),
      peer_watch_(
          table_name, peer_watch_settings, reader, gateway_table_, clock,
          random, log),
      socket_(io), incarnation_(random.next())
{
}

void peer_load_sync::start()
{
    auto const own = udp_address(address_);
    socket_.open(asio::ip::udp::v4());
    socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind(own);
    socket_.non_blocking(true);
    receive();
    peer_watch_.poll();
}

void peer_load_sync::poll()
{
    auto const now = clock_.now();
    peer_watch_.poll();
    if (!registered_ && !registering_ && !unregistered_ && now >= next_write_)
        register_self();
    auto const passed = now - last_sent_;
    if ((send_requested_ && passed >= min_send_interval) ||
        passed >= max_send_interval)
    {
        send_requested_ = false;
        last_sent_ = now;
        send();
        remove_lost_peers(now);
    }
    auto const unsent = now - evidence_sent_;
    if ((evidence_requested_ && unsent >= min_send_interval) ||
        unsent >= max_send_interval)
    {
        evidence_sent_ = now;
        send_evidence(std::exchange(evidence_requested_, false));
    }
    if (rollouts_.source &&
        (rollout_requested_ || now - rollout_sent_ >= max_send_interval))
    {
        rollout_requested_ = false;
        rollout_sent_ = now;
        send_rollout_evidence();
    }
}

void peer_load_sync::register_self()
{
    registering_ = true;
    next_write_ = clock_.now() + registration_retry_interval;
    auto const on_done = [this](bool done)
    {
        registering_ = false;
        registered_ = done;
        log_.record(
            done ? event_level::info : event_level::warn,
            done ? "peer_registered" : "peer_registration_failed",
            {{"host", host_}, {"address", address_}});
    };
    run_isolated(
        [&] { writer_.put(table_name, host_, address_, on_done); },
        [&](std::string const&) { on_done(false); });
}

void peer_load_sync::unregister()
{
    unregistered_ = true;
    if (registered_)
        writer_.remove(table_name, host_, [](bool) {});
    registered_ = false;
}

std::size_t peer_load_sync::fleet_size() const
{
    return peer_watch_.listed() ? peers_.size() + 1 : 0;
}

std::size_t peer_load_sync::rank_for(std::string const& key) const
{
    auto const own = rendezvous_weight(key, host_);
    return std::size_t(std::count_if(
        peers_.begin(), peers_.end(),
        [&](auto const& known)
        { return rendezvous_weight(key, known.first) > own; }));
}

std::vector<limit_network::granter> peer_load_sync::first_alive_for(
    std::string const& key, std::size_t most, steady_time now) const
{
    if (!peer_watch_.listed())
        return {};
    using granter = limit_network::granter;
    std::vector<std::pair<std::uint64_t, granter>> alive;
    if (!unregistered_)
        alive.emplace_back(
            rendezvous_weight(key, host_), granter{host_id(host_), true});
    for (auto const& [host, peer] : peers_)
    {
        auto const silence = now - peer.last_heard;
        if (!peer.in_group || silence <= long_silence)
            alive.emplace_back(
                rendezvous_weight(key, host),
                granter{
                    host_id(host),
                    peer.in_group && silence <= peer_loads::validity});
    }
    auto const count = std::min(most, alive.size());
    std::partial_sort(
        alive.begin(), alive.begin() + std::ptrdiff_t(count), alive.end(),
        [](auto const& a, auto const& b) { return a.first > b.first; });
    std::vector<granter> first;
    for (std::size_t i = 0; i < count; ++i)
        first.push_back(alive[i].second);
    return first;
}

void peer_load_sync::send_limit_message(
    host_id const& to, limit_message const& message)
{
    auto const found = peers_.find(to.value());
    if (found != peers_.end())
        send_datagram(
            encode_limit_message(host_id(host_), message), found->second);
}

std::vector<peer_load_sync::table_holder>
peer_load_sync::table_holders(steady_time now) const
{
    std::vector<table_holder> holders;
    for (auto const& [host, peer] : peers_)
    {
        bool const alive = now - peer.last_heard <= peer_loads::validity;
        if (alive && !peer.zone.empty())
            holders.push_back(
                {host_id(host), peer.address_text, peer.zone, peer.link_mbps});
    }
    return holders;
}

bool peer_load_sync::is_peer(std::string const& ip) const
{
    return std::any_of(
        peers_.begin(), peers_.end(),
        [&ip](auto const& known)
        { return known.second.address.address().to_string() == ip; });
}

void peer_load_sync::on_listing(
    std::vector<store_row> const& rows, change_period const&)
{
    peers_.clear();
    registered_ = false;
    for (auto const& row : rows)
        apply_row(row);
    update_peer_group();
}

void peer_load_sync::on_change(store_row const& row, change_period const&)
{
    apply_row(row);
    update_peer_group();
}

void peer_load_sync::apply_row(store_row const& row)
{
    if (row.key == host_)
    {
        registered_ = !row.deleted && row.value == address_;
        return;
    }
    if (row.deleted)
    {
        peers_.erase(row.key);
        return;
    }
    run_isolated(
        [&]
        {
            peer p;
            p.address_text = row.value;
            p.address = udp_address(row.value);
            p.last_heard = clock_.now();
            peers_[row.key] = std::move(p);
        },
        [&](std::string const& detail)
        {
            log_.record(
                event_level::warn, "peer_unreadable",
                {{"host", row.key}, {"detail", detail}});
        });
}

void peer_load_sync::update_peer_group()
{
    std::set<std::string> hosts;
    for (auto const& known : peers_)
        hosts.insert(known.first);
    auto const group = select_peer_group(hosts, host_);
    for (auto& [host, peer] : peers_)
    {
        bool const in_group = group.count(host) != 0;
        if (in_group && !peer.in_group)
            peer.last_heard = clock_.now(); // it starts sending only now
        peer.in_group = in_group;
    }
}

void peer_load_sync::remove_lost_peers(steady_time now)
{
    for (auto& [host, peer] : peers_)
    {
        bool const silent =
            peer.in_group && now - peer.last_heard >= lost_peer_timeout;
        if (!silent || !peer_watch_.connected())
            continue;
        peer.last_heard = now; // retried after the same timeout
        log_.record(
            event_level::warn, "peer_lost",
            {{"host", host}, {"address", peer.address_text}});
        writer_.remove(table_name, host, [](bool) {});
        return; // one write at a time
    }
}

void peer_load_sync::send()
{
    if (peers_.empty())
        return;
    auto share = share_source_();
    share.gateway = host_id(host_);
    share.incarnation = incarnation_;
    share.sequence = ++sequence_;
    send_to_group(encode_load_share(std::move(share)));
}

/// Changed evidence goes to all peers. Otherwise it is repeated to one of them,
/// for peers that restarted or missed a datagram.
void peer_load_sync::send_evidence(bool changed)
{
    if (peers_.empty())
        return;
    auto const evidence = evidence_source_();
    if (evidence.parts.empty())
        return;
    auto const bytes = encode_crash_evidence(host_id(host_), evidence);
    evidence_counts_.sent +=
        changed ? send_to_group(bytes) : send_to_next(bytes);
}

/// Cumulative counts, so each datagram supersedes the one before.
void peer_load_sync::send_rollout_evidence()
{
    if (peers_.empty())
        return;
    auto const evidence = rollouts_.source();
    if (!evidence.empty())
        rollout_counts_.sent +=
            send_to_group(encode_rollout_evidence(host_id(host_), evidence));
}

/// Sends to the peers in turn.
/// @return number of peers
std::size_t peer_load_sync::send_to_next(std::string const& bytes)
{
    auto next = peers_.upper_bound(last_evidence_peer_);
    for (std::size_t left = peers_.size(); left > 0; --left, ++next)
    {
        if (next == peers_.end())
            next = peers_.begin();
        if (!next->second.in_group)
            continue;
        last_evidence_peer_ = next->first;
        send_datagram(bytes, next->second);
        return 1;
    }
    return 0;
}

/// @return number of peers
std::size_t peer_load_sync::send_to_group(std::string const& bytes)
{
    std::size_t sent = 0;
    for (auto const& [host, peer] : peers_)
    {
        if (!peer.in_group)
            continue;
        send_datagram(bytes, peer);
        ++sent;
    }
    return sent;
}

void peer_load_sync::send_datagram(std::string const& bytes, peer const& to)
{
    // A datagram that cannot be sent is superseded by the next one.
    asio::error_code ignored;
    socket_.send_to(asio::buffer(bytes), to.address, 0, ignored);
}

void peer_load_sync::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](asio::error_code const& e, std::size_t n)
        {
            if (e == asio::error::operation_aborted)
                return;
            std::string const bytes(buffer_.data(), e ? 0 : n);
            auto const sender = sender_;
            receive();
            if (!e)
                on_datagram(bytes, sender);
        });
}

void peer_load_sync::on_datagram(
    std::string const& bytes, asio::ip::udp::endpoint const& sender)
{
    if (is_crash_evidence(bytes))
    {
        on_evidence_datagram(bytes, sender);
        return;
    }
    if (is_rollout_evidence(bytes))
    {
        on_rollout_datagram(bytes, sender);
        return;
    }
    if (is_limit_message(bytes))
    {
        on_limit_datagram(bytes, sender);
        return;
    }
    try
    {
        auto const share = decode_load_share(bytes);
        auto const known = peers_.find(share.gateway.value());
        // Accepts shares only from a registered gateway's own address.
        if (known == peers_.end() || known->second.address != sender)
            return;
        known->second.last_heard = clock_.now();
        known->second.zone = share.zone;
        known->second.link_mbps = share.link_mbps;
        share_handler_(share);
    }
    catch (error const& problem)
    {
        log_.record(
            event_level::warn, "share_unreadable",
            {{"from", sender.address().to_string()},
             {"detail", problem.detail()}});
    }
}

void peer_load_sync::on_evidence_datagram(
    std::string const& bytes, asio::ip::udp::endpoint const& sender)
{
    try
    {
        auto const shared = decode_crash_evidence(bytes);
        if (!known_sender(shared.gateway, sender))
            return;
        ++evidence_counts_.received;
        evidence_handler_(shared.gateway, shared.evidence);
    }
    catch (error const& problem)
    {
        ++evidence_counts_.unreadable;
        log_.record(
            event_level::warn, "evidence_unreadable",
            {{"from", sender.address().to_string()},
             {"detail", problem.detail()}});
    }
}

void peer_load_sync::on_limit_datagram(
    std::string const& bytes, asio::ip::udp::endpoint const& sender)
{
    try
    {
        auto const shared = decode_limit_message(bytes);
        if (known_sender(shared.gateway, sender))
            limit_handler_(shared.gateway, shared.message);
    }
    catch (error const& problem)
    {
        log_.record(
            event_level::warn, "limit_message_unreadable",
            {{"from", sender.address().to_string()},
             {"detail", problem.detail()}});
    }
}

void peer_load_sync::on_rollout_datagram(
    std::string const& bytes, asio::ip::udp::endpoint const& sender)
{
    if (!rollouts_.handler)
        return;
    try
    {
        auto const shared = decode_rollout_evidence(bytes);
        if (!known_sender(shared.gateway, sender))
            return;
        ++rollout_counts_.received;
        for (auto const& evidence : shared.evidence)
            rollouts_.handler(shared.gateway, evidence);
    }
    catch (error const& problem)
    {
        ++rollout_counts_.unreadable;
        log_.record(
            event_level::warn, "rollout_evidence_unreadable",
            {{"from", sender.address().to_string()},
             {"detail", problem.detail()}});
    }
}

/// Evidence is accepted only from a registered gateway's own address.
bool peer_load_sync::known_sender(
    host_id const& gateway, asio::ip::udp::endpoint const& sender) const
{
    auto const known = peers_.find(gateway.value());
    return known != peers_.end() && known->second.address == sender;
}

} // namespace dotterellock
