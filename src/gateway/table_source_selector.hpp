// Decides from where a gateway reads the tables of the platform's store: from
// the store itself, or from the copy of another gateway. In each availability
// zone a few gateways read the store; they are the first in the rendezvous
// order of the gateways that are alive there, so nothing has to be agreed.
// Gateways that see different members may both read, which only costs calls.
//
// Every gateway has further sources: a reader that the store turns away uses
// the copies of others, and a gateway whose readers fail uses the store.
//
// Designed for hundreds of gateways, the loss of single readers, and hosts that
// alone cannot reach the store. With up to two gateways a zone all read the
// store as before.
#ifndef DOTTERELLOCK_GATEWAY_TABLE_SOURCE_SELECTOR_HPP
#define DOTTERELLOCK_GATEWAY_TABLE_SOURCE_SELECTOR_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "choice/rendezvous.hpp"

namespace dotterellock
{

/// Another gateway whose copies are current.
struct table_peer
{
    host_id host;
    std::string address;
    bool same_zone = false;
    bool same_region = false;
    std::uint32_t link_mbps = 0; // 0: not known
};

/// The store, or the gateway at `address`.
struct table_source
{
    host_id host; // empty: the store
    std::string address;

    bool is_store() const { return host.empty(); }
};

class table_source_selector
{
public:
    // The second one takes over without a pause when the first is lost.
    static constexpr std::size_t readers_per_zone = 2;

    // Gateways that load large rows over their region's link.
    static constexpr std::size_t readers_per_region = 2;

    // A source that failed is tried again after this; doubles per failure.
    static constexpr std::chrono::milliseconds min_avoidance{1000};
    static constexpr std::chrono::milliseconds max_avoidance{8000};

    // A reader avoids the store for less: when its path is back, it must not
    // rely on the copies of others for longer.
    static constexpr std::chrono::milliseconds max_reader_avoidance{2000};

    // Each further source takes time, while the copy grows old.
    static constexpr std::size_t max_sources = 3;

    /// @param link_mbps  of this host; 0: not known
    explicit table_source_selector(host_id self, std::uint32_t link_mbps = 0)
        : self_(std::move(self)), link_mbps_(link_mbps)
    {
    }

    host_id const& self() const { return self_; }

    /// @param peers  live gateways that offer current copies
    void set_peers(std::vector<table_peer> peers)
    {
        peers_ = std::move(peers);
        std::sort(
            peers_.begin(), peers_.end(),
            [](table_peer const& a, table_peer const& b)
            { return order_of(a) < order_of(b); });
    }

    /// The nearest first.
    std::vector<table_peer> const& peers() const { return peers_; }

    /// Whether this gateway is one of those that read the store.
    bool reads_store() const
    {
        auto const own = weight(self_);
        auto const ahead = std::count_if(
            peers_.begin(), peers_.end(),
            [own](table_peer const& p)
            { return p.same_zone && weight(p.host) > own; });
        return std::size_t(ahead) < readers_per_zone;
    }

    /// Whether this gateway is one of those that load large rows for their
    /// region, whose link would be full if the readers of all zones did.
    bool reads_for_region() const
    {
        auto const own = strength(link_mbps_, self_);
        auto const ahead = std::count_if(
            peers_.begin(), peers_.end(),
            [own](table_peer const& p)
            { return in_region(p) && strength(p.link_mbps, p.host) > own; });
        return std::size_t(ahead) < readers_per_region;
    }

    /// Whether other gateways of the zone rely on this one.
    bool serves_followers() const
    {
        auto const in_zone = std::count_if(
            peers_.begin(), peers_.end(),
            [](table_peer const& p) { return p.same_zone; });
        return reads_store() && std::size_t(in_zone) >= readers_per_zone;
    }

    /// Whether this gateway is the one of its zone's readers that does a task
    /// once for the zone. Gateways that see different members may both do it.
    bool represents_zone(std::string const& task) const
    {
        if (!reads_store())
            return false;
        auto const own = rendezvous_weight(task, self_.value());
        std::size_t readers = 1; // this gateway
        for (auto const& p : peers_)
        {
            if (!p.same_zone || readers == readers_per_zone)
                break;
            ++readers;
            if (rendezvous_weight(task, p.host.value()) > own)
                return false;
        }
        return true;
    }

    /// Sources in the order in which they are tried.
    /// @param large_rows  whether the table holds large rows
    std::vector<table_source>
    sources(steady_time now, bool large_rows = false) const
    {
        if (large_rows)
            return sources_of_large_rows(now);
        std::vector<table_source> readers;
        std::vector<table_source> others;
        for (auto const& p : peers_)
        {
            bool const reader =
                p.same_zone && readers.size() < readers_per_zone;
            (reader ? readers : others).push_back({p.host, p.address});
        }
        // Followers spread over the readers of their zone.
        if (readers.size() > 1 && weight(self_) % 2 == 1)
            std::swap(readers[0], readers[1]);
        std::vector<table_source> ordered = readers;
        auto const store = reads_store() ? ordered.begin() : ordered.end();
        ordered.insert(store, table_source{});
        ordered.insert(ordered.end(), others.begin(), others.end());
        std::stable_partition(
            ordered.begin(), ordered.end(),
            [this, now](table_source const& s) { return !avoided(s, now); });
        if (ordered.size() > max_sources)
            keep_store_within_limit(ordered);
        // While the store is down, its readers ask for its return; more calls
        // would only add to its load.
        if (!reads_store() && ordered.size() > 1 && avoided({}, now))
            ordered.erase(std::find_if(
                ordered.begin(), ordered.end(),
                [](table_source const& s) { return s.is_store(); }));
        return ordered;
    }

    void record_success(table_source const& source)
    {
        failures_.erase(source.host);
    }

    void record_failure(table_source const& source, steady_time now)
    {
        auto& f = failures_[source.host];
        f.avoidance = std::clamp<std::chrono::milliseconds>(
            f.avoidance * 2, min_avoidance, max_avoidance);
        f.at = now;
    }

    /// Whether its last call failed.
    bool failed_last(table_source const& source) const
    {
        return failures_.count(source.host) != 0;
    }

private:
    struct failure
    {
        std::chrono::milliseconds avoidance{0};
        steady_time at{};
    };

    static bool in_region(table_peer const& p)
    {
        return p.same_zone || p.same_region;
    }

    /// Order of the gateways that may load large rows: the fastest links first.
    static std::pair<std::uint32_t, std::uint64_t>
    strength(std::uint32_t link_mbps, host_id const& host)
    {
        return {link_mbps, weight(host)};
    }

    std::vector<table_source> sources_of_large_rows(steady_time now) const
    {
        std::vector<table_peer const*> readers;
        for (auto const& p : peers_)
        {
            if (in_region(p))
                readers.push_back(&p);
        }
        auto const count = std::min(readers.size(), readers_per_region);
        std::partial_sort(
            readers.begin(), readers.begin() + std::ptrdiff_t(count),
            readers.end(),
            [](table_peer const* a, table_peer const* b) {
                return strength(a->link_mbps, a->host) >
                       strength(b->link_mbps, b->host);
            });
        readers.resize(count);
        if (count > 1 && weight(self_) % 2 == 1)
            std::swap(readers[0], readers[1]);
        std::vector<table_source> ordered;
        ordered.reserve(readers.size() + 1);
        for (auto const* const p : readers)
            ordered.push_back({p->host, p->address});
        ordered.insert(
            reads_for_region() ? ordered.begin() : ordered.end(),
            table_source{});
        std::stable_partition(
            ordered.begin(), ordered.end(),
            [this, now](table_source const& s) { return !avoided(s, now); });
        return ordered;
    }

    static std::uint64_t weight(host_id const& host)
    {
        return rendezvous_weight("tables", host.value());
    }

    /// Nearest first, then by rendezvous order.
    static std::tuple<int, std::uint64_t> order_of(table_peer const& p)
    {
        int const distance = p.same_zone ? 0 : p.same_region ? 1 : 2;
        return {distance, ~weight(p.host)};
    }

    bool avoided(table_source const& source, steady_time now) const
    {
        auto const found = failures_.find(source.host);
        if (found == failures_.end())
            return false;
        auto avoidance = found->second.avoidance;
        if (source.is_store() && reads_store())
            avoidance = std::min(avoidance, max_reader_avoidance);
        return now < found->second.at + avoidance;
    }

    /// The store is always among the sources, as only it is never behind.
    static void keep_store_within_limit(std::vector<table_source>& ordered)
    {
        auto const store = std::find_if(
            ordered.begin(), ordered.end(),
            [](table_source const& s) { return s.is_store(); });
        auto const last = ordered.begin() + max_sources - 1;
        if (store > last)
            std::iter_swap(store, last);
        ordered.resize(max_sources);
    }

    host_id const self_;
    std::uint32_t const link_mbps_;
    std::vector<table_peer> peers_;
    std::map<host_id, failure> failures_;
};

} // namespace dotterellock

#endif
