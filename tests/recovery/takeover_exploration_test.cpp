// Explores takeover exhaustively within small bounds: two routers, one agent,
// and one caller that switches from the first router to the second while the
// first is still running. Runs every order of message deliveries, message
// losses, engine steps and time steps. A paused process is equivalent to late
// deliveries.
//
// A state is reached by replaying its choices. Two orders lead to the same
// state when every process has seen the same events in the same order and the
// same messages are queued; such orders are explored only once.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <deque>
#include <unordered_set>

#include "fake_process.hpp"
#include "invariant_checker.hpp"
#include "manual_scheduler.hpp"
#include "recovery/generation_relay.hpp"
#include "recovery/generation_runner.hpp"
#include "recovery/journal_holder.hpp"
#include "recovery_simulation.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

struct bounds
{
    token_index answer_length;
    unsigned losses;
    unsigned time_steps;      // each lets a check or silence timeout elapse
    unsigned router_switches; // of the caller, between r1 and r2
    std::size_t max_queued;   // messages queued during a time step, at most
};

using link_key = std::pair<std::string, std::string>;

struct choice
{
    enum kind_type
    {
        deliver,
        lose,
        engine_step,
        time_step,
        switch_router
    };

    kind_type kind;
    link_key link; // deliver, lose
};

class takeover_model : public dispatcher, public endpoint_lookup
{
public:
    explicit takeover_model(bounds const& b) : remaining_(b)
    {
        // Replication and both kinds of detection fit into the time steps.
        policy_.settings.recovery.journal_after = milliseconds(250);
        policy_.settings.recovery.silent_after = milliseconds(250);
        policy_.settings.recovery.stalled_after = milliseconds(500);
        for (char const* name : {"r1", "r2"})
            routers_[name] = std::make_unique<router>(*this, name);
        runner_ = std::make_unique<generation_runner>(
            1, scheduler_, scheduler_, transport_of("a1"), engine_, permits_,
            policy_, counters_);
        connect("r1");
        run_due_timers();
    }

    ~takeover_model() override
    {
        routers_.clear();
        runner_.reset();
    }

    std::vector<choice> choices() const
    {
        std::vector<choice> result;
        for (auto const& [link, queue] : queues_)
        {
            if (queue.empty())
                continue;
            result.push_back({choice::deliver, link});
            if (remaining_.losses > 0)
                result.push_back({choice::lose, link});
        }
        if (engine_.run != 0)
            result.push_back({choice::engine_step, {}});
        if (remaining_.time_steps > 0 &&
            queued_messages() <= remaining_.max_queued)
            result.push_back({choice::time_step, {}});
        if (remaining_.router_switches > 0)
            result.push_back({choice::switch_router, {}});
        return result;
    }

    void apply(choice const& c)
    {
        switch (c.kind)
        {
        case choice::deliver:
            record_event(
                c.link.second,
                c.link.first + std::to_string(taken_counts_[c.link]));
            deliver(c.link);
            break;
        case choice::lose:
            --remaining_.losses;
            take(c.link);
            break;
        case choice::engine_step:
            record_event("a1", "step");
            step_engine();
            break;
        case choice::time_step:
            --remaining_.time_steps;
            for (char const* name : {"r1", "r2", "a1"})
                record_event(name, "time");
            scheduler_.advance(milliseconds(260));
            break;
        case choice::switch_router:
            --remaining_.router_switches;
            switch_router();
            break;
        }
        run_due_timers();
    }

    std::size_t queued_messages() const
    {
        std::size_t sum = 0;
        for (auto const& [link, queue] : queues_)
            sum += queue.size();
        return sum;
    }

    /// Equal for states that behave identically.
    std::string state_key() const
    {
        std::string text;
        for (auto const& [name, hash] : event_hashes_)
            text += name + std::to_string(hash) + ' ';
        for (auto const& [link, count] : taken_counts_)
            text += link.first + link.second + std::to_string(count) + ' ';
        return text + std::to_string(remaining_.losses) + ' ' +
               std::to_string(remaining_.router_switches);
    }

    /// Runs without further faults until the caller has its complete answer;
    /// the caller reconnects after an error. False if it never completes.
    bool completes_without_faults()
    {
        for (unsigned i = 0; i < 400 && !checker.complete(id_); ++i)
        {
            for (auto& [link, queue] : queues_)
            {
                while (!queue.empty())
                {
                    deliver(link);
                    run_due_timers();
                }
            }
            if (engine_.run != 0)
                step_engine();
            if (failed_)
                switch_router();
            scheduler_.advance(milliseconds(25));
        }
        return checker.complete(id_);
    }

    invariant_checker checker;

    // ---- dispatcher: the agent always has room ----------------------------
    void place(
        place_request, std::function<void(placement)> placed,
        std::function<void(error)>) override
    {
        scheduler_.schedule(
            duration{},
            [this, placed] {
                placed(placement{
                    endpoint_id("e1"), peer_id("a1"), permits_.issue(), 1});
            });
    }
    void withdraw(request_id const&, attempt_number) override {}
    void finished(request_id const&, attempt_number, bool) override {}

    // ---- endpoint_lookup --------------------------------------------------
    std::vector<endpoint_info> serving(model_ref const&) const override
    {
        endpoint_info i;
        i.endpoint = endpoint_id("e1");
        i.agent = peer_id("a1");
        i.models = {version_};
        return {i};
    }
    std::vector<endpoint_info> offering(service_name const&) const override
    {
        return {};
    }
    std::optional<endpoint_info> find(endpoint_id const&) const override
    {
        return serving(version_).front();
    }

private:
    struct queue_transport : peer_transport
    {
        void send(peer_id const& to, message m) override
        {
            owner->send({self, to.value()}, std::move(m));
        }
        void reconnect(peer_id const&) override {}
        takeover_model* owner = nullptr;
        std::string self;
    };

    struct stepped_engine : engine
    {
        engine_run_id
        start(dispatch_generation const& d, engine_events e) override
        {
            dispatch = d;
            events = std::move(e);
            next = d.first_index();
            number = owner->checker.engine_started(
                d.request, d.model, d.resume_tokens);
            return run = ++last;
        }
        void cancel(engine_run_id id) override
        {
            if (id == run)
                run = 0;
        }
        void order(
            engine_order const&,
            std::function<void(std::optional<error>)>) override
        {
        }
        takeover_model* owner = nullptr;
        dispatch_generation dispatch;
        engine_events events;
        token_index next = 0;
        invariant_checker::run_number number = 0;
        engine_run_id run = 0;
        engine_run_id last = 0;
    };

    struct other_router : journal_placement
    {
        std::vector<peer_id>
        holders(request_id const&, std::size_t) const override
        {
            return {peer_id(self == "r1" ? "r2" : "r1")};
        }
        std::string self;
    };

    struct router
    {
        router(takeover_model& m, std::string const& name)
            : random(name == "r1" ? 1 : 2),
              holder(
                  m.scheduler_, m.scheduler_, m.transport_of(name), m.policy_,
                  m.counters_)
        {
            other.self = name;
            relay = std::make_unique<generation_relay>(
                peer_id(name), m.scheduler_, m.scheduler_, random,
                m.transport_of(name), m, m, other, m.policy_, m.log_,
                m.counters_);
        }
        seeded_random random;
        other_router other;
        journal_holder holder;
        std::unique_ptr<generation_relay> relay;
    };

    /// Checks each connection until it ends, even after the caller has left it.
    struct connection : generation_listener
    {
        void on_tokens(
            token_index first, std::vector<std::string> const& tokens,
            std::string const& event_id) override
        {
            owner->checker.delivered(owner->id_, number, first, tokens);
            auto const next = static_cast<token_index>(first + tokens.size());
            owner->routers_.at(at)->relay->caller_progress(owner->id_, next);
            if (owner->connection_.get() == this)
                owner->event_id_ = event_id;
        }
        void on_finished(finish_reason, token_index total) override
        {
            owner->checker.finished(owner->id_, number, total);
        }
        void on_error(error const&) override
        {
            if (owner->connection_.get() == this)
                owner->failed_ = true;
        }
        takeover_model* owner = nullptr;
        std::string at;
        invariant_checker::connection_number number = 0;
    };

    peer_transport& transport_of(std::string const& name)
    {
        queue_transport& t = transports_[name];
        t.owner = this;
        t.self = name;
        return t;
    }

    /// Queues only messages to and from the agent. Takeover does not depend on
    /// heartbeats, and copies are read before agents are queried, so exploring
    /// their orders as well would only multiply the states.
    void send(link_key const& link, message m)
    {
        bool const heartbeat =
            std::holds_alternative<ping>(m) || std::holds_alternative<pong>(m);
        if (heartbeat)
            return;
        if (link.first == "a1" || link.second == "a1")
        {
            queues_[link].push_back(std::move(m));
            return;
        }
        scheduler_.schedule(
            duration{}, [this, link, m] { deliver_message(link, m); });
    }

    void record_event(std::string const& process, std::string const& event)
    {
        std::size_t& hash = event_hashes_[process];
        hash = std::hash<std::string>{}(std::to_string(hash) + event);
    }

    message take(link_key const& link)
    {
        auto& queue = queues_[link];
        message m = std::move(queue.front());
        queue.pop_front();
        ++taken_counts_[link];
        return m;
    }

    void deliver(link_key const& link) { deliver_message(link, take(link)); }

    void deliver_message(link_key const& link, message const& m)
    {
        peer_id const from(link.first);
        if (link.second == "a1")
        {
            runner_->on_message(from, m);
            return;
        }
        router& r = *routers_.at(link.second);
        r.relay->on_message(from, m);
        r.holder.on_message(from, m);
    }

    void step_engine()
    {
        if (engine_.next >= length_)
        {
            checker.engine_finished(engine_.number);
            engine_.run = 0;
            auto const finished = engine_.events.on_finished;
            finished(finish_reason::stop);
            return;
        }
        ++engine_.next;
        engine_.events.on_tokens({checker.engine_produces(engine_.number)});
    }

    void switch_router()
    {
        std::string const old = connection_->at;
        std::string const target = old == "r1" ? "r2" : "r1";
        record_event(target, "resume " + std::to_string(event_hashes_[old]));
        connect(target);
    }

    void connect(std::string const& name)
    {
        failed_ = false;
        bool const first = connection_ == nullptr;
        resume_point from;
        if (!event_id_.empty())
            from = decode_event_id(event_id_);
        connection_ = std::make_shared<connection>();
        connection_->owner = this;
        connection_->at = name;
        connection_->number = checker.connected(id_, from.next_index);
        generation_request request;
        request.request = id_;
        request.model = version_;
        request.prompt = "prompt";
        generation_relay& relay = *routers_.at(name)->relay;
        if (first)
            relay.start(request, connection_);
        else
            relay.resume(request, from, connection_);
    }

    void run_due_timers() { scheduler_.advance(duration{}); }

    bounds remaining_;
    token_index length_ = remaining_.answer_length;
    request_id id_{"o/c"};
    model_ref version_{"m", "", "v1"};
    manual_scheduler scheduler_;
    fixed_policy policy_;
    recording_decision_log log_;
    counter_registry counters_;
    fake_permit_issuer permits_;
    stepped_engine engine_ = engine_of(*this);
    std::map<link_key, std::deque<message>> queues_;
    std::map<link_key, unsigned> taken_counts_;
    std::map<std::string, queue_transport> transports_;
    std::map<std::string, std::size_t> event_hashes_;
    std::map<std::string, std::unique_ptr<router>> routers_;
    std::unique_ptr<generation_runner> runner_;
    std::shared_ptr<connection> connection_;
    std::string event_id_;
    bool failed_ = false;

    static stepped_engine engine_of(takeover_model& m)
    {
        stepped_engine e;
        e.owner = &m;
        return e;
    }
};

std::string describe(std::vector<choice> const& path)
{
    static char const* const names[] = {
        "deliver", "lose", "engine step", "time step", "switch router"};
    std::string text;
    for (auto const& c : path)
        text += std::string(names[c.kind]) + ' ' + c.link.first + ' ' +
                c.link.second + "; ";
    return text;
}

struct result
{
    std::size_t states = 0;
    std::string counterexample;
};

result explore(bounds const& b)
{
    result r;
    std::unordered_set<std::string> seen;
    std::vector<std::vector<choice>> open = {{}};
    while (!open.empty() && r.counterexample.empty())
    {
        auto const path = std::move(open.back());
        open.pop_back();
        takeover_model m(b);
        for (auto const& c : path)
            m.apply(c);
        if (!seen.insert(m.state_key()).second)
            continue;
        ++r.states;
        auto const choices = m.choices();
        for (auto const& c : choices)
        {
            open.push_back(path);
            open.back().push_back(c);
        }
        // While messages are queued, the successor states are checked instead.
        bool const complete =
            m.queued_messages() > 0 || m.completes_without_faults();
        if (!complete || !m.checker.report_text().empty())
            r.counterexample = describe(path) + m.checker.report_text() +
                               (complete ? "" : " incomplete");
    }
    return r;
}

} // namespace

// Guards against two owners of one answer, gaps, and answers that never
// complete, in any order of events around a takeover. DOTTERELLOCK_EXPLORE=1
// widens the bounds; the run then takes minutes.
TEST_CASE("Takeover is correct in every order of events", "[recovery][explore]")
{
    std::vector<bounds> all = {
        {3, 0, 0, 1, 0},
        {2, 1, 0, 1, 0},
        {1, 0, 0, 2, 0},
        {1, 1, 1, 1, 0},
        {1, 0, 2, 1, 0}};
    if (std::getenv("DOTTERELLOCK_EXPLORE") != nullptr)
        all.insert(
            all.end(), {{1, 0, 1, 1, 9},
                        {2, 0, 1, 1, 1},
                        {2, 1, 1, 1, 0},
                        {1, 1, 0, 2, 0},
                        {1, 2, 1, 1, 0},
                        {1, 0, 3, 1, 0}});
    for (auto const& b : all)
    {
        result const r = explore(b);
        CAPTURE(
            b.answer_length, b.losses, b.time_steps, b.router_switches,
            b.max_queued, r.states);
        CHECK(r.counterexample == "");
    }
}
