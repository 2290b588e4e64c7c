// Simulates routers, agents, engines and callers of the recovery module in one
// process, with faults for each of them. Every router has a relay and a journal
// holder; every agent has a runner, permits and an engine that produces unique
// tokens.
//
// Index: engine, permits, dispatcher, processes, caller, simulation
#ifndef DOTTERELLOCK_TESTS_RECOVERY_SIMULATION_HPP
#define DOTTERELLOCK_TESTS_RECOVERY_SIMULATION_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "fake_network.hpp"
#include "fake_process.hpp"
#include "invariant_checker.hpp"
#include "manual_scheduler.hpp"
#include "recovery/generation_relay.hpp"
#include "recovery/generation_runner.hpp"
#include "recovery/journal_holder.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;

/// Stages of a generation at which tests inject faults.
enum class recovery_step
{
    place,
    dispatch,
    prefill,
    first_token,
    mid_stream,
    last_token,
    finished_unacknowledged,
    caller_reconnect
};

struct simulation_settings
{
    unsigned routers = 3;
    unsigned agents = 3;
    token_index answer_length = 60;
    token_index mid_stream = 45; // after 1.35 s, during replication
    milliseconds token_time{30};
    milliseconds prefill_time{50};
    milliseconds progress_timeout{4000}; // then a caller reconnects
    milliseconds delivery_delay{1};      // from router to caller
    bool record_tokens = true; // false: same text for all, for measurements
};

class recovery_simulation;

// ---- engine ---------------------------------------------------------------

/// Posts its events to the agent's process, like a socket would.
class unique_token_engine : public engine
{
public:
    unique_token_engine(recovery_simulation& simulation, fake_process& agent)
        : simulation_(simulation), agent_(agent)
    {
    }

    engine_run_id
    start(dispatch_generation const& dispatch, engine_events events) override;
    void cancel(engine_run_id run) override { runs_.erase(run); }
    void order(
        engine_order const&, std::function<void(std::optional<error>)>) override
    {
    }

    void crash()
    {
        alive = false;
        for (auto const& [id, r] : std::exchange(runs_, {}))
            fail(r.events);
    }

    std::size_t running() const { return runs_.size(); }

    bool alive = true;
    bool paused = false;
    std::size_t resumed_tokens = 0; // of earlier attempts, read again
    std::size_t produced = 0;

private:
    struct run
    {
        dispatch_generation dispatch;
        engine_events events;
        token_index next = 0;
        invariant_checker::run_number number = 0;
    };

    void fail(engine_events const& events)
    {
        agent_.post(
            [f = events.on_failed]
            {
                f(error(
                    error_code::engine_failed, "engine_stream", "engine",
                    "connection reset"));
            });
    }

    void schedule_step(engine_run_id id, duration delay);
    void step(engine_run_id id);

    recovery_simulation& simulation_;
    fake_process& agent_;
    engine_run_id last_run_ = 0;
    std::map<engine_run_id, run> runs_;
};

// ---- permits --------------------------------------------------------------

class fake_permit_issuer : public permit_issuer
{
public:
    permit_id issue()
    {
        issued_.insert(++last_);
        return last_;
    }

    std::optional<error_code> redeem(
        permit_id permit, request_id const&, attempt_number,
        incarnation) override
    {
        if (issued_.erase(permit) == 0)
            return error_code::permit_expired;
        held.insert(permit);
        return std::nullopt;
    }

    void release(permit_id permit, std::uint32_t) override
    {
        held.erase(permit);
    }

    void observe_token_rate(double tokens_per_second) override
    {
        paces.push_back(tokens_per_second);
    }

    std::set<permit_id> held;
    std::vector<double> paces;

private:
    permit_id last_ = 0;
    std::set<permit_id> issued_;
};

// ---- dispatcher -----------------------------------------------------------

/// Places work on the first agent that is reachable and not excluded.
class fake_dispatcher : public dispatcher
{
public:
    fake_dispatcher(
        recovery_simulation& simulation, peer_id router, fake_process& p)
        : simulation_(simulation), router_(std::move(router)), process_(p)
    {
    }

    void place(
        place_request request, std::function<void(placement)> placed,
        std::function<void(error)> refused) override;
    void withdraw(request_id const& request, attempt_number attempt) override
    {
        open_.erase({request, attempt});
    }
    void finished(request_id const&, attempt_number, bool) override {}

private:
    recovery_simulation& simulation_;
    peer_id router_;
    fake_process& process_;
    std::set<std::pair<request_id, attempt_number>> open_;
};

// ---- processes ------------------------------------------------------------

using relay_factory = std::function<std::unique_ptr<generation_relay>(
    peer_id, fake_process&, recovery_simulation&, dispatcher&)>;
using runner_factory = std::function<std::unique_ptr<generation_runner>(
    peer_id, fake_process&, recovery_simulation&, engine&, permit_issuer&)>;

struct simulated_router : message_handler
{
    simulated_router(
        recovery_simulation& simulation, peer_id self,
        relay_factory const& make);

    void on_message(peer_id const& from, message const& m) override
    {
        relay->on_message(from, m);
        holder.on_message(from, m);
    }
    void on_disconnected(peer_id const& peer) override
    {
        relay->on_disconnected(peer);
        holder.on_disconnected(peer);
    }

    peer_id id;
    fake_process process;
    fake_dispatcher generation_dispatcher;
    journal_holder holder;
    std::unique_ptr<generation_relay> relay;
};

struct simulated_agent
{
    simulated_agent(
        recovery_simulation& simulation, peer_id self,
        runner_factory const& make);

    peer_id id;
    endpoint_id endpoint;
    fake_process process;
    fake_permit_issuer permits;
    unique_token_engine engine;
    std::unique_ptr<generation_runner> runner; // null: the agent has failed
};

// ---- caller ---------------------------------------------------------------

/// Requests one answer and reconnects after lost connections and errors.
class caller
{
public:
    caller(
        recovery_simulation& simulation, std::string name, std::string router);
    ~caller();

    void connect(std::string router);
    void reconnect();
    void on_connection_broken(peer_id const& router);

    /// The router has an error response for this caller that is not yet
    /// written.
    bool error_response_pending(std::string const& name) const;
    bool waits_for_answer_from(std::string const& name) const;

    /// Closes the connection without reconnecting.
    void disconnect();

    bool done = false;
    bool slow = false; // does not read from its connection
    unsigned reconnects = 0;
    unsigned progress_timeouts = 0; // reconnects on an open connection
    unsigned errors = 0;
    std::optional<error_code> last_error;
    duration longest_gap{};         // between tokens, after the first
    std::vector<duration> arrivals; // of tokens since the start
    std::string event_id;
    generation_request request;
    std::string router; // of the current connection

private:
    struct connection;
    friend struct connection;

    void on_token();
    void schedule_timeout_check();

    recovery_simulation& simulation_;
    std::shared_ptr<connection> connection_;
    steady_time started_;
    steady_time last_progress_;
    timer_id timeout_timer_ = 0;
};

// ---- simulation -----------------------------------------------------------

class recovery_simulation : public endpoint_lookup
{
public:
    explicit recovery_simulation(
        simulation_settings s = {}, relay_factory relay = {},
        runner_factory runner = {});

    /// Destroys callers, routers and runners before what they refer to.
    ~recovery_simulation() override;

    recovery_simulation(recovery_simulation const&) = delete;
    recovery_simulation& operator=(recovery_simulation const&) = delete;

    // Routers are named "r1", "r2" and so on, agents "a1", "a2" and so on.
    simulated_router& router(std::string const& name)
    {
        return *routers.at(name);
    }
    simulated_agent& agent(std::string const& name) { return *agents.at(name); }

    caller& add_caller(std::string const& name, std::string const& router_name)
    {
        callers.push_back(std::make_unique<caller>(*this, name, router_name));
        return *callers.back();
    }

    bool run_until_done(duration limit)
    {
        return scheduler.run_until(
            [this]
            {
                return std::all_of(
                    callers.begin(), callers.end(),
                    [](auto const& c) { return c->done; });
            },
            limit);
    }

    // ---- faults -----------------------------------------------------------
    void kill_router(std::string const& name)
    {
        network.kill(peer_id(name));
        routers.erase(name);
        for (auto const& c : callers)
            c->on_connection_broken(peer_id(name));
    }

    void pause_router(std::string const& name)
    {
        network.pause(peer_id(name));
        router(name).process.pause();
    }

    /// @param timers_first  due timers run before the queued messages
    void resume_router(std::string const& name, bool timers_first)
    {
        if (timers_first)
            router(name).process.resume();
        network.resume(peer_id(name));
        if (!timers_first)
            router(name).process.resume();
    }

    void kill_agent(std::string const& name)
    {
        network.kill(peer_id(name));
        agent(name).runner.reset();
        agent(name).process.clear();
    }

    /// The agent's host fails without notice: packets to it are lost.
    void lose_host(std::string const& name)
    {
        network.kill_silently(peer_id(name));
        agent(name).engine.alive = false;
        agent(name).runner.reset();
        agent(name).process.clear();
    }

    void pause_agent(std::string const& name)
    {
        network.pause(peer_id(name));
        agent(name).process.pause();
    }

    void resume_agent(std::string const& name)
    {
        network.resume(peer_id(name));
        agent(name).process.resume();
    }

    /// The first agent with a request in progress; empty when there is none.
    std::string serving_agent() const
    {
        for (auto const& [name, a] : agents)
        {
            if (a->engine.running() > 0)
                return name;
        }
        return {};
    }

    /// Calls on_step from a timer, once for each step.
    void notify_step(recovery_step step)
    {
        if (!notified_steps_.insert(step).second || !on_step)
            return;
        scheduler.schedule(duration{}, [this, step] { on_step(step); });
    }

    // ---- endpoint_lookup --------------------------------------------------
    std::vector<endpoint_info> serving(model_ref const& m) const override
    {
        std::vector<endpoint_info> result;
        for (auto const& [name, a] : agents)
        {
            if (m.version.empty() || m == version)
                result.push_back(info(*a));
        }
        return result;
    }
    std::vector<endpoint_info> offering(service_name const&) const override
    {
        return {};
    }
    std::optional<endpoint_info> find(endpoint_id const& e) const override
    {
        for (auto const& [name, a] : agents)
        {
            if (a->endpoint == e)
                return info(*a);
        }
        return std::nullopt;
    }
    endpoint_info info(simulated_agent const& a) const
    {
        endpoint_info i;
        i.endpoint = a.endpoint;
        i.agent = a.id;
        i.models = {version};
        return i;
    }

    struct other_router_holders : journal_placement
    {
        std::vector<peer_id>
        holders(request_id const&, std::size_t count) const override
        {
            std::vector<peer_id> result;
            for (auto const& [name, r] : simulation->routers)
            {
                if (name != self && result.size() < count)
                    result.push_back(r->id);
            }
            return result;
        }
        recovery_simulation* simulation = nullptr;
        std::string self;
    };

    journal_placement const& holders_for(peer_id const& self)
    {
        other_router_holders& o = placements_[self];
        o.simulation = this;
        o.self = self.value();
        return o;
    }

    simulation_settings settings;
    manual_scheduler scheduler;
    fake_network network{scheduler};
    seeded_random random{1};
    fixed_policy policy;
    recording_decision_log log;
    counter_registry counters;
    invariant_checker checker;
    model_ref version{"m", "", "v1"};
    std::function<void(recovery_step)> on_step;
    std::ostream* trace = nullptr;          // output for all messages sent
    std::set<std::string> stopping_routers; // refuse new connections
    std::set<std::string> refusing_agents;  // draining or without room
    std::map<std::string, std::unique_ptr<simulated_agent>> agents;
    std::map<std::string, std::unique_ptr<simulated_router>> routers;
    std::vector<std::unique_ptr<caller>> callers;

private:
    void
    print_message(peer_id const& from, peer_id const& to, message const& m);

    std::set<recovery_step> notified_steps_;
    std::map<peer_id, other_router_holders> placements_;
};

// ---- implementation -------------------------------------------------------

inline engine_run_id unique_token_engine::start(
    dispatch_generation const& dispatch, engine_events events)
{
    engine_run_id const id = ++last_run_;
    if (!alive)
    {
        fail(events);
        return id;
    }
    resumed_tokens += dispatch.resume_tokens.size();
    run r{dispatch, std::move(events), dispatch.first_index(), 0};
    if (simulation_.settings.record_tokens)
        r.number = simulation_.checker.engine_started(
            dispatch.request, dispatch.model, dispatch.resume_tokens);
    runs_[id] = std::move(r);
    schedule_step(id, simulation_.settings.prefill_time);
    simulation_.scheduler.schedule(
        milliseconds(20),
        [this] { simulation_.notify_step(recovery_step::prefill); });
    return id;
}

inline void unique_token_engine::schedule_step(engine_run_id id, duration delay)
{
    simulation_.scheduler.schedule(delay, [this, id] { step(id); });
}

inline void unique_token_engine::step(engine_run_id id)
{
    auto const found = runs_.find(id);
    if (found == runs_.end())
        return;
    schedule_step(id, simulation_.settings.token_time);
    if (paused)
        return;
    run& r = found->second;
    if (r.next >= simulation_.settings.answer_length)
    {
        if (simulation_.settings.record_tokens)
            simulation_.checker.engine_finished(r.number);
        agent_.post([f = r.events.on_finished] { f(finish_reason::stop); });
        runs_.erase(found);
        return;
    }
    ++produced;
    std::string const text = simulation_.settings.record_tokens
                                 ? simulation_.checker.engine_produces(r.number)
                                 : std::string("word ");
    ++r.next;
    if (r.next == 1)
        simulation_.notify_step(recovery_step::first_token);
    if (r.next == simulation_.settings.answer_length)
        simulation_.notify_step(recovery_step::last_token);
    agent_.post([f = r.events.on_tokens, text] { f({text}); });
}

inline void fake_dispatcher::place(
    place_request request, std::function<void(placement)> placed,
    std::function<void(error)> refused)
{
    std::pair const key{request.request, request.attempt};
    open_.insert(key);
    simulation_.notify_step(recovery_step::place);
    process_.schedule(
        milliseconds(2),
        [this, key, request, placed, refused]
        {
            if (open_.erase(key) == 0)
                return;
            for (auto const& [name, a] : simulation_.agents)
            {
                bool const reachable =
                    a->runner && !a->process.paused() &&
                    !simulation_.network.is_partitioned(router_, a->id) &&
                    simulation_.refusing_agents.count(name) == 0;
                if (!reachable || request.excluded.count(a->endpoint) != 0)
                    continue;
                placed(placement{a->endpoint, a->id, a->permits.issue(), 1});
                return;
            }
            refused(
                error(error_code::no_endpoint, "place", "", "no agent offers"));
        });
}

inline simulated_router::simulated_router(
    recovery_simulation& simulation, peer_id self, relay_factory const& make)
    : id(std::move(self)), process(simulation.scheduler),
      generation_dispatcher(simulation, id, process),
      holder(
          simulation.scheduler, process, simulation.network.transport_of(id),
          simulation.policy, simulation.counters)
{
    if (make)
        relay = make(id, process, simulation, generation_dispatcher);
    else
        relay = std::make_unique<generation_relay>(
            id, simulation.scheduler, process, simulation.random,
            simulation.network.transport_of(id), generation_dispatcher,
            simulation, simulation.holders_for(id), simulation.policy,
            simulation.log, simulation.counters);
    simulation.network.attach(id, *this);
}

inline simulated_agent::simulated_agent(
    recovery_simulation& simulation, peer_id self, runner_factory const& make)
    : id(std::move(self)), endpoint("e-" + id.value()),
      process(simulation.scheduler), engine(simulation, process)
{
    if (make)
        runner = make(id, process, simulation, engine, permits);
    else
        runner = std::make_unique<generation_runner>(
            1, simulation.scheduler, process,
            simulation.network.transport_of(id), engine, permits,
            simulation.policy, simulation.counters);
    simulation.network.attach(id, *runner);
}

struct caller::connection : generation_listener,
                            std::enable_shared_from_this<caller::connection>
{
    connection(caller& c, std::string r) : owner(c), router(std::move(r)) {}

    /// Runs the action after the delivery delay if the connection is open then.
    void deliver_later(std::function<void()> action)
    {
        auto self = shared_from_this();
        owner.simulation_.scheduler.schedule(
            owner.simulation_.settings.delivery_delay,
            [self, action]
            {
                if (self->open)
                    action();
            });
    }

    void on_tokens(
        token_index first, std::vector<std::string> const& tokens,
        std::string const& event_id) override
    {
        recovery_simulation& simulation = owner.simulation_;
        auto const found = simulation.routers.find(router);
        if (open && !owner.slow && found != simulation.routers.end())
            found->second->relay->caller_progress(
                owner.request.request,
                first + static_cast<token_index>(tokens.size()));
        deliver_later(
            [this, first, tokens, event_id]
            {
                recovery_simulation& sim = owner.simulation_;
                if (sim.settings.record_tokens)
                    sim.checker.delivered(
                        owner.request.request, number, first, tokens);
                owner.event_id = event_id;
                token_index const next =
                    first + static_cast<token_index>(tokens.size());
                for (std::size_t i = 0; i < tokens.size(); ++i)
                    owner.on_token();
                if (next >= sim.settings.mid_stream)
                    sim.notify_step(recovery_step::mid_stream);
            });
    }

    void on_finished(finish_reason, token_index total) override
    {
        ended = true;
        deliver_later(
            [this, total]
            {
                if (owner.simulation_.settings.record_tokens)
                    owner.simulation_.checker.finished(
                        owner.request.request, number, total);
                owner.done = true;
                open = false;
            });
    }

    void on_error(error const& e) override
    {
        error_pending = true;
        deliver_later(
            [this, code = e.code(), text = std::string(e.what())]
            {
                if (owner.simulation_.trace != nullptr)
                    *owner.simulation_.trace << "caller: " << text << "\n";
                ++owner.errors;
                owner.last_error = code;
                open = false;
                owner.reconnect();
            });
    }

    caller& owner;
    std::string router;
    bool open = true;
    bool ended = false;
    bool error_pending = false; // not yet written to the caller
    invariant_checker::connection_number number = 0;
};

inline caller::caller(
    recovery_simulation& simulation, std::string name, std::string router_name)
    : simulation_(simulation), started_(simulation.scheduler.now()),
      last_progress_(simulation.scheduler.now())
{
    request.request = request_id("o/" + name);
    request.organisation = organisation_id("o");
    request.model = simulation.version;
    request.prompt = "prompt of " + name;
    connect(std::move(router_name));
    schedule_timeout_check();
}

inline caller::~caller()
{
    simulation_.scheduler.cancel(timeout_timer_);
}

inline void caller::connect(std::string name)
{
    router = std::move(name);
    auto const found = simulation_.routers.find(router);
    if (found == simulation_.routers.end())
        return;
    connection_ = std::make_shared<connection>(*this, router);
    resume_point from;
    if (!event_id.empty())
        from = decode_event_id(event_id);
    if (simulation_.trace != nullptr)
        *simulation_.trace << request.request.value() << " to " << router
                           << " from " << from.next_index << " epoch "
                           << from.epoch << " tail " << from.tail.size()
                           << "\n";
    connection_->number =
        simulation_.checker.connected(request.request, from.next_index);
    bool const first = reconnects == 0;
    simulated_router& target = *found->second;
    target.process.post(
        [&target, this, from, first, listener = connection_]
        {
            if (first)
                target.relay->start(request, listener);
            else
                target.relay->resume(request, from, listener);
            if (!first)
                simulation_.notify_step(recovery_step::caller_reconnect);
        });
}

inline bool caller::waits_for_answer_from(std::string const& name) const
{
    return router == name && connection_->open && !connection_->ended;
}

inline bool caller::error_response_pending(std::string const& name) const
{
    return router == name && connection_->open && connection_->error_pending;
}

inline void caller::on_connection_broken(peer_id const& lost)
{
    if (done || router != lost.value() || !connection_->open)
        return;
    connection_->open = false;
    simulation_.scheduler.schedule(milliseconds(5), [this] { reconnect(); });
}

inline void caller::disconnect()
{
    connection_->open = false;
    auto const old = simulation_.routers.find(router);
    if (old != simulation_.routers.end())
    {
        simulated_router& r = *old->second;
        r.process.post([&r, this, listener = connection_]
                       { r.relay->detach(request.request, *listener); });
    }
}

/// Closes the current connection and connects to the next available router.
inline void caller::reconnect()
{
    constexpr unsigned max_reconnects = 60;
    if (done || ++reconnects > max_reconnects)
        return;
    disconnect();
    auto next = simulation_.routers.upper_bound(router);
    for (std::size_t i = 0; i < simulation_.routers.size(); ++i, ++next)
    {
        if (next == simulation_.routers.end())
            next = simulation_.routers.begin();
        if (next->second->process.paused() ||
            simulation_.stopping_routers.count(next->first) != 0)
            continue;
        last_progress_ = simulation_.scheduler.now();
        connect(next->first);
        return;
    }
    // No router accepts connections: tries again after 500 ms.
    last_progress_ = simulation_.scheduler.now() -
                     simulation_.settings.progress_timeout + milliseconds(500);
}

inline void caller::on_token()
{
    steady_time const now = simulation_.scheduler.now();
    if (!arrivals.empty())
        longest_gap = std::max(longest_gap, now - started_ - arrivals.back());
    arrivals.push_back(now - started_);
    last_progress_ = now;
}

inline void caller::schedule_timeout_check()
{
    timeout_timer_ = simulation_.scheduler.schedule(
        milliseconds(250),
        [this]
        {
            duration const waited =
                simulation_.scheduler.now() - last_progress_;
            if (!done && waited >= simulation_.settings.progress_timeout)
            {
                ++progress_timeouts;
                reconnect();
            }
            schedule_timeout_check();
        });
}

inline recovery_simulation::recovery_simulation(
    simulation_settings s, relay_factory relay, runner_factory runner)
    : settings(s)
{
    for (unsigned i = 1; i <= s.routers; ++i)
    {
        std::string const name = "r" + std::to_string(i);
        routers[name] =
            std::make_unique<simulated_router>(*this, peer_id(name), relay);
    }
    for (unsigned i = 1; i <= s.agents; ++i)
    {
        std::string const name = "a" + std::to_string(i);
        agents[name] =
            std::make_unique<simulated_agent>(*this, peer_id(name), runner);
    }
    network.set_observer(
        [this](peer_id const& from, peer_id const& to, message const& m)
        {
            if (trace != nullptr)
                print_message(from, to, m);
            if (std::holds_alternative<dispatch_generation>(m))
                notify_step(recovery_step::dispatch);
            if (std::holds_alternative<generation_finished>(m))
                notify_step(recovery_step::finished_unacknowledged);
        });
}

inline void recovery_simulation::print_message(
    peer_id const& from, peer_id const& to, message const& m)
{
    auto const ms = std::chrono::duration_cast<milliseconds>(
        scheduler.now().time_since_epoch() - std::chrono::hours(1));
    *trace << ms.count() << ' ' << from.value() << "->" << to.value() << ' '
           << kind_of(m);
    if (request_of(m) != nullptr)
        *trace << ' ' << request_of(m)->value();
    std::visit(
        [this](auto const& v)
        {
            using Kind = std::decay_t<decltype(v)>;
            if constexpr (
                std::is_same_v<Kind, token_batch> ||
                std::is_same_v<Kind, attach_result> ||
                std::is_same_v<Kind, journal_append>)
                *trace << " attempt " << v.attempt << " epoch " << v.epoch
                       << " from " << v.first_index;
            else if constexpr (
                std::is_same_v<Kind, dispatch_generation> ||
                std::is_same_v<Kind, cancel> ||
                std::is_same_v<Kind, generation_failed> ||
                std::is_same_v<Kind, journal_state>)
                *trace << " attempt " << v.attempt << " epoch " << v.epoch;
            else if constexpr (
                std::is_same_v<Kind, acknowledge> ||
                std::is_same_v<Kind, attach> ||
                std::is_same_v<Kind, journal_appended> ||
                std::is_same_v<Kind, generation_finished>)
                *trace << " epoch " << v.epoch << " next " << v.next_index;
        },
        m);
    *trace << '\n';
}

inline recovery_simulation::~recovery_simulation()
{
    callers.clear();
    routers.clear();
    for (auto const& [name, a] : agents)
        a->runner.reset();
}

} // namespace dotterellock::testing

#endif
