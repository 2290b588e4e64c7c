// Delivers messages between object graphs of one test with a delay, and
// injects network faults: silent connections, partitions, paused and dead
// peers, messages lost, repeated or held back.
#ifndef DOTTERELLOCK_TESTS_FAKE_NETWORK_HPP
#define DOTTERELLOCK_TESTS_FAKE_NETWORK_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <dotterellock/peer_transport.hpp>

#include "manual_scheduler.hpp"

namespace dotterellock::testing
{

class fake_network
{
public:
    /// What a fault rule does with one message.
    struct treatment
    {
        unsigned copies = 1; // 0: lost, 2: repeated
        duration extra_delay{};
        std::optional<message> instead{}; // what a faulty peer would send
    };
    using rule =
        std::function<treatment(peer_id from, peer_id to, message const& m)>;

    explicit fake_network(manual_scheduler& scheduler) : scheduler_(scheduler)
    {
    }

    /// The transport one peer sends through; lives as long as the network.
    peer_transport& transport_of(peer_id const& self)
    {
        auto& slot = transports_[self];
        if (!slot)
            slot = std::make_unique<endpoint_transport>(*this, self);
        return *slot;
    }

    void attach(peer_id const& self, message_handler& handler)
    {
        handlers_[self] = &handler;
        dead_.erase(self);
    }

    /// The process is gone: nothing is delivered, peers see a disconnect.
    void kill(peer_id const& self)
    {
        dead_.insert(self);
        handlers_.erase(self);
        held_.erase(self);
        for (auto const& [peer, handler] : handlers_)
            notify_disconnect(peer, self);
    }

    /// The host is gone and nothing tells its peers.
    void vanish(peer_id const& self)
    {
        handlers_.erase(self);
        held_.erase(self);
    }

    /// The process stands still; what arrives is delivered after resume().
    void pause(peer_id const& self) { paused_.insert(self); }

    void resume(peer_id const& self)
    {
        paused_.erase(self);
        auto waiting = std::move(held_[self]);
        held_.erase(self);
        for (auto& [from, m] : waiting)
            deliver(from, self, m);
    }

    /// Present connections between the two lose everything without notice;
    /// a reconnect from either side cures it.
    void silence(peer_id const& a, peer_id const& b)
    {
        silent_.insert({a, b});
        silent_.insert({b, a});
    }

    /// One direction only.
    void silence_towards(peer_id const& from, peer_id const& to)
    {
        silent_.insert({from, to});
    }

    /// Nothing passes between the two, over any connection.
    void partition(peer_id const& a, peer_id const& b)
    {
        cut_.insert({a, b});
        cut_.insert({b, a});
    }

    void heal() { cut_.clear(); }

    bool is_cut(peer_id const& a, peer_id const& b) const
    {
        return cut_.count({a, b}) != 0;
    }

    void set_rule(rule r) { rule_ = std::move(r); }
    void set_delay(duration delay) { delay_ = delay; }

    /// Sees every message at the time it is sent; for checks.
    void set_observer(
        std::function<void(peer_id const&, peer_id const&, message const&)> o)
    {
        observer_ = std::move(o);
    }

private:
    class endpoint_transport : public peer_transport
    {
    public:
        endpoint_transport(fake_network& network, peer_id self)
            : network_(network), self_(std::move(self))
        {
        }

        void send(peer_id const& to, message m) override
        {
            network_.send(self_, to, std::move(m));
        }

        void reconnect(peer_id const& to) override
        {
            network_.silent_.erase({self_, to});
            network_.silent_.erase({to, self_});
        }

    private:
        fake_network& network_;
        peer_id self_;
    };

    void send(peer_id const& from, peer_id const& to, message m)
    {
        if (dead_.count(from) != 0)
            return;
        if (observer_)
            observer_(from, to, m);
        if (silent_.count({from, to}) != 0 || cut_.count({from, to}) != 0)
            return;
        if (dead_.count(to) != 0)
        {
            notify_disconnect(from, to);
            return;
        }
        treatment const t = rule_ ? rule_(from, to, m) : treatment{};
        for (unsigned i = 0; i < t.copies; ++i)
        {
            scheduler_.schedule(
                delay_ + t.extra_delay,
                [this, from, to, sent = t.instead.value_or(m)]
                { deliver(from, to, sent); });
        }
    }

    void deliver(peer_id const& from, peer_id const& to, message const& m)
    {
        if (paused_.count(to) != 0)
        {
            held_[to].emplace_back(from, m);
            return;
        }
        auto const handler = handlers_.find(to);
        if (handler != handlers_.end())
            handler->second->on_message(from, m);
    }

    void notify_disconnect(peer_id const& at, peer_id const& lost)
    {
        scheduler_.schedule(
            delay_,
            [this, at, lost]
            {
                auto const handler = handlers_.find(at);
                if (handler != handlers_.end() && paused_.count(at) == 0)
                    handler->second->on_disconnected(lost);
            });
    }

    using link = std::pair<peer_id, peer_id>;

    manual_scheduler& scheduler_;
    duration delay_{std::chrono::milliseconds(1)};
    rule rule_;
    std::function<void(peer_id const&, peer_id const&, message const&)>
        observer_;
    std::map<peer_id, std::unique_ptr<endpoint_transport>> transports_;
    std::map<peer_id, message_handler*> handlers_;
    std::map<peer_id, std::vector<std::pair<peer_id, message>>> held_;
    std::set<peer_id> dead_;
    std::set<peer_id> paused_;
    std::set<link> silent_;
    std::set<link> cut_;
};

} // namespace dotterellock::testing

#endif
