// Simulated network for tests. Delivers messages between peers with a delay
// and injects faults: connections that drop messages silently, partitions,
// paused and killed peers, and lost, duplicated, altered or delayed messages.
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
    /// How a delivery rule delivers one message.
    struct delivery_plan
    {
        unsigned copies = 1; // 0: lost, 2: duplicated
        duration extra_delay{};
        std::optional<message> replacement{}; // sent by a faulty peer
    };
    using delivery_rule = std::function<delivery_plan(
        peer_id from, peer_id to, message const& m)>;

    explicit fake_network(manual_scheduler& scheduler) : scheduler_(scheduler)
    {
    }

    /// The transport that `self` sends through; owned by the network.
    peer_transport& transport_of(peer_id const& self)
    {
        auto& transport = transports_[self];
        if (!transport)
            transport = std::make_unique<fake_peer_transport>(*this, self);
        return *transport;
    }

    void attach(peer_id const& self, message_handler& handler)
    {
        handlers_[self] = &handler;
        dead_.erase(self);
    }

    /// Process crash: delivers nothing more to the peer and notifies all
    /// attached peers of the disconnect.
    void kill(peer_id const& self)
    {
        dead_.insert(self);
        handlers_.erase(self);
        deferred_messages_.erase(self);
        for (auto const& [peer, handler] : handlers_)
            notify_disconnect(peer, self);
    }

    /// Host crash: delivers nothing more to the peer, and its peers are not
    /// notified.
    void kill_silently(peer_id const& self)
    {
        handlers_.erase(self);
        deferred_messages_.erase(self);
    }

    /// Suspends the process; messages that arrive are delivered by resume().
    void pause(peer_id const& self) { paused_.insert(self); }

    void resume(peer_id const& self)
    {
        paused_.erase(self);
        auto deferred = std::move(deferred_messages_[self]);
        deferred_messages_.erase(self);
        for (auto& [from, m] : deferred)
            deliver(from, self, m);
    }

    /// Existing connections between the two peers drop all messages without
    /// an error until either side reconnects.
    void silence(peer_id const& a, peer_id const& b)
    {
        silent_links_.insert({a, b});
        silent_links_.insert({b, a});
    }

    /// Like silence(), but for messages in one direction only.
    void silence_towards(peer_id const& from, peer_id const& to)
    {
        silent_links_.insert({from, to});
    }

    /// Drops all messages between the two peers, also after a reconnect.
    void partition(peer_id const& a, peer_id const& b)
    {
        partitioned_.insert({a, b});
        partitioned_.insert({b, a});
    }

    void heal() { partitioned_.clear(); }

    bool is_partitioned(peer_id const& a, peer_id const& b) const
    {
        return partitioned_.count({a, b}) != 0;
    }

    void set_delivery_rule(delivery_rule r) { rule_ = std::move(r); }
    void set_delay(duration delay) { delay_ = delay; }

    /// Calls `o` for each message when it is sent.
    void set_observer(
        std::function<void(peer_id const&, peer_id const&, message const&)> o)
    {
        observer_ = std::move(o);
    }

private:
    class fake_peer_transport : public peer_transport
    {
    public:
        fake_peer_transport(fake_network& network, peer_id self)
            : network_(network), self_(std::move(self))
        {
        }

        void send(peer_id const& to, message m) override
        {
            network_.send(self_, to, std::move(m));
        }

        void reconnect(peer_id const& to) override
        {
            network_.silent_links_.erase({self_, to});
            network_.silent_links_.erase({to, self_});
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
        if (silent_links_.count({from, to}) != 0 ||
            partitioned_.count({from, to}) != 0)
            return;
        if (dead_.count(to) != 0)
        {
            notify_disconnect(from, to);
            return;
        }
        delivery_plan const plan = rule_ ? rule_(from, to, m) : delivery_plan{};
        for (unsigned i = 0; i < plan.copies; ++i)
        {
            scheduler_.schedule(
                delay_ + plan.extra_delay,
                [this, from, to, sent = plan.replacement.value_or(m)]
                { deliver(from, to, sent); });
        }
    }

    void deliver(peer_id const& from, peer_id const& to, message const& m)
    {
        if (paused_.count(to) != 0)
        {
            deferred_messages_[to].emplace_back(from, m);
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

    using peer_pair = std::pair<peer_id, peer_id>;

    manual_scheduler& scheduler_;
    duration delay_{std::chrono::milliseconds(1)};
    delivery_rule rule_;
    std::function<void(peer_id const&, peer_id const&, message const&)>
        observer_;
    std::map<peer_id, std::unique_ptr<fake_peer_transport>> transports_;
    std::map<peer_id, message_handler*> handlers_;
    std::map<peer_id, std::vector<std::pair<peer_id, message>>>
        deferred_messages_;
    std::set<peer_id> dead_;
    std::set<peer_id> paused_;
    std::set<peer_pair> silent_links_;
    std::set<peer_pair> partitioned_;
};

} // namespace dotterellock::testing

#endif
