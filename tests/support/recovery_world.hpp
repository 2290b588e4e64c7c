// Routers, agents, engines and callers of the recovery module in one process,
// with faults for each of them. Every router has relay and journal holder,
// every agent gate, permits and an engine with tokens of its own.
//
// Index: engine, permits, dispatcher, processes, caller, world
#ifndef DOTTERELLOCK_TESTS_RECOVERY_WORLD_HPP
#define DOTTERELLOCK_TESTS_RECOVERY_WORLD_HPP

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
#include "recovery/generation_gate.hpp"
#include "recovery/generation_relay.hpp"
#include "recovery/journal_holder.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;

/// Where a generation stands, as tests name it.
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

struct world_settings
{
    unsigned routers = 3;
    unsigned agents = 3;
    token_index answer_length = 60;
    token_index mid_stream = 45; // 1.35 s: copying to holders is under way
    milliseconds token_time{30};
    milliseconds prefill_time{50};
    milliseconds patience{4000}; // of callers without progress
    milliseconds front_delay{1}; // router to caller
    bool record_tokens = true;   // off: plain texts, for measurements
};

class recovery_world;

// ---- engine ---------------------------------------------------------------

/// Its events reach the agent through the agent's process, as over a socket.
class tagged_engine : public engine
{
public:
    tagged_engine(recovery_world& world, fake_process& agent)
        : world_(world), agent_(agent)
    {
    }

    engine_run_id
    start(dispatch_generation const& dispatch, engine_events events) override;
    void cancel(engine_run_id run) override { runs_.erase(run); }
    void order(
        engine_order const&, std::function<void(std::optional<error>)>) override
    {
    }

    void die()
    {
        alive = false;
        for (auto const& [id, r] : std::exchange(runs_, {}))
            fail(r.events);
    }

    std::size_t running() const { return runs_.size(); }

    bool alive = true;
    bool paused = false;
    std::size_t repeated_tokens = 0; // resumed prompts and outputs
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

    recovery_world& world_;
    fake_process& agent_;
    engine_run_id last_run_ = 0;
    std::map<engine_run_id, run> runs_;
};

// ---- permits --------------------------------------------------------------

class fake_permits : public permit_issuer
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

/// Finds a place at the first agent that is reachable and not excluded.
class fake_dispatcher : public dispatcher
{
public:
    fake_dispatcher(recovery_world& world, peer_id router, fake_process& p)
        : world_(world), router_(std::move(router)), process_(p)
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
    recovery_world& world_;
    peer_id router_;
    fake_process& process_;
    std::set<std::pair<request_id, attempt_number>> open_;
};

// ---- processes ------------------------------------------------------------

using relay_maker = std::function<std::unique_ptr<generation_relay>(
    peer_id, fake_process&, recovery_world&, dispatcher&)>;
using gate_maker = std::function<std::unique_ptr<generation_gate>(
    peer_id, fake_process&, recovery_world&, engine&, permit_issuer&)>;

struct router_process : message_handler
{
    router_process(
        recovery_world& world, peer_id self, relay_maker const& make);

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
    fake_dispatcher places;
    journal_holder holder;
    std::unique_ptr<generation_relay> relay;
};

struct agent_process
{
    agent_process(recovery_world& world, peer_id self, gate_maker const& make);

    peer_id id;
    endpoint_id endpoint;
    fake_process process;
    fake_permits permits;
    tagged_engine engine;
    std::unique_ptr<generation_gate> gate; // empty: the agent is dead
};

// ---- caller ---------------------------------------------------------------

/// Asks for one answer and comes back after lost connections and errors.
class caller
{
public:
    caller(recovery_world& world, std::string name, std::string router);
    ~caller();

    void connect(std::string router);
    void reconnect();
    void connection_broken(peer_id const& router);

    /// The router still owes this caller a part of the answer.
    bool response_under_way(std::string const& name) const;
    bool waits_at(std::string const& name) const;

    /// Closes the connection and does not come back.
    void leave();

    bool done = false;
    bool slow = false; // its connection takes nothing
    unsigned reconnects = 0;
    unsigned impatient = 0; // reconnects without a broken connection
    unsigned errors = 0;
    std::optional<error_code> last_error;
    duration longest_gap{};         // between tokens, after the first
    std::vector<duration> arrivals; // of tokens since the start
    std::string event_id;
    generation_request request;
    std::string router; // of the present connection

private:
    struct connection;
    friend struct connection;

    void progressed();
    void arm_patience();

    recovery_world& world_;
    std::shared_ptr<connection> connection_;
    steady_time started_;
    steady_time progressed_;
    timer_id patience_ = 0;
};

// ---- world ----------------------------------------------------------------

class recovery_world : public endpoint_lookup
{
public:
    explicit recovery_world(
        world_settings s = {}, relay_maker relay = {}, gate_maker gate = {});

    /// Tears down in an order in which nothing refers to what is gone.
    ~recovery_world() override;

    recovery_world(recovery_world const&) = delete;
    recovery_world& operator=(recovery_world const&) = delete;

    // Names are "r1".. for routers and "a1".. for agents.
    router_process& router(std::string const& name)
    {
        return *routers.at(name);
    }
    agent_process& agent(std::string const& name) { return *agents.at(name); }

    caller& call(std::string const& name, std::string const& router_name)
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
            c->connection_broken(peer_id(name));
    }

    void pause_router(std::string const& name)
    {
        network.pause(peer_id(name));
        router(name).process.pause();
    }

    /// @param timers_first  what wakes first in the process
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
        agent(name).gate.reset();
        agent(name).process.clear();
    }

    /// Nothing tells the routers: packets simply vanish.
    void lose_host(std::string const& name)
    {
        network.vanish(peer_id(name));
        agent(name).engine.alive = false;
        agent(name).gate.reset();
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

    /// The agent whose engine runs a request; empty when none does.
    std::string serving_agent() const
    {
        for (auto const& [name, a] : agents)
        {
            if (a->engine.running() > 0)
                return name;
        }
        return {};
    }

    /// Announces each step once, in a later event.
    void reached(recovery_step step)
    {
        if (!seen_.insert(step).second || !on_step)
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
    endpoint_info info(agent_process const& a) const
    {
        endpoint_info i;
        i.endpoint = a.endpoint;
        i.agent = a.id;
        i.models = {version};
        return i;
    }

    struct other_routers : journal_placement
    {
        std::vector<peer_id>
        holders(request_id const&, std::size_t count) const override
        {
            std::vector<peer_id> result;
            for (auto const& [name, r] : world->routers)
            {
                if (name != self && result.size() < count)
                    result.push_back(r->id);
            }
            return result;
        }
        recovery_world* world = nullptr;
        std::string self;
    };

    journal_placement const& holders_for(peer_id const& self)
    {
        other_routers& o = placements_[self];
        o.world = this;
        o.self = self.value();
        return o;
    }

    world_settings settings;
    manual_scheduler scheduler;
    fake_network network{scheduler};
    seeded_random random{1};
    fixed_policy policy;
    recording_decision_log log;
    counter_registry counters;
    invariant_checker checker;
    model_ref version{"m", "", "v1"};
    std::function<void(recovery_step)> on_step;
    std::ostream* trace = nullptr;          // for replays: every message sent
    std::set<std::string> stopping_routers; // take no new connections
    std::set<std::string> refusing_agents;  // drain, or no room
    std::map<std::string, std::unique_ptr<agent_process>> agents;
    std::map<std::string, std::unique_ptr<router_process>> routers;
    std::vector<std::unique_ptr<caller>> callers;

private:
    void print(peer_id const& from, peer_id const& to, message const& m);

    std::set<recovery_step> seen_;
    std::map<peer_id, other_routers> placements_;
};

// ---- implementation -------------------------------------------------------

inline engine_run_id
tagged_engine::start(dispatch_generation const& dispatch, engine_events events)
{
    engine_run_id const id = ++last_run_;
    if (!alive)
    {
        fail(events);
        return id;
    }
    repeated_tokens += dispatch.resume_tokens.size();
    run r{dispatch, std::move(events), dispatch.first_index(), 0};
    if (world_.settings.record_tokens)
        r.number = world_.checker.engine_started(
            dispatch.request, dispatch.model, dispatch.resume_tokens);
    runs_[id] = std::move(r);
    schedule_step(id, world_.settings.prefill_time);
    world_.scheduler.schedule(
        milliseconds(20), [this] { world_.reached(recovery_step::prefill); });
    return id;
}

inline void tagged_engine::schedule_step(engine_run_id id, duration delay)
{
    world_.scheduler.schedule(delay, [this, id] { step(id); });
}

inline void tagged_engine::step(engine_run_id id)
{
    auto const found = runs_.find(id);
    if (found == runs_.end())
        return;
    schedule_step(id, world_.settings.token_time);
    if (paused)
        return;
    run& r = found->second;
    if (r.next >= world_.settings.answer_length)
    {
        if (world_.settings.record_tokens)
            world_.checker.engine_finished(r.number);
        agent_.post([f = r.events.on_finished] { f(finish_reason::stop); });
        runs_.erase(found);
        return;
    }
    ++produced;
    std::string const text = world_.settings.record_tokens
                                 ? world_.checker.engine_produces(r.number)
                                 : std::string("word ");
    ++r.next;
    if (r.next == 1)
        world_.reached(recovery_step::first_token);
    if (r.next == world_.settings.answer_length)
        world_.reached(recovery_step::last_token);
    agent_.post([f = r.events.on_tokens, text] { f({text}); });
}

inline void fake_dispatcher::place(
    place_request request, std::function<void(placement)> placed,
    std::function<void(error)> refused)
{
    std::pair const key{request.request, request.attempt};
    open_.insert(key);
    world_.reached(recovery_step::place);
    process_.schedule(
        milliseconds(2),
        [this, key, request, placed, refused]
        {
            if (open_.erase(key) == 0)
                return;
            for (auto const& [name, a] : world_.agents)
            {
                bool const reachable = a->gate && !a->process.paused() &&
                                       !world_.network.is_cut(router_, a->id) &&
                                       world_.refusing_agents.count(name) == 0;
                if (!reachable || request.excluded.count(a->endpoint) != 0)
                    continue;
                placed(placement{a->endpoint, a->id, a->permits.issue(), 1});
                return;
            }
            refused(
                error(error_code::no_endpoint, "place", "", "no agent offers"));
        });
}

inline router_process::router_process(
    recovery_world& world, peer_id self, relay_maker const& make)
    : id(std::move(self)), process(world.scheduler), places(world, id, process),
      holder(
          world.scheduler, process, world.network.transport_of(id),
          world.policy, world.counters)
{
    if (make)
        relay = make(id, process, world, places);
    else
        relay = std::make_unique<generation_relay>(
            id, world.scheduler, process, world.random,
            world.network.transport_of(id), places, world,
            world.holders_for(id), world.policy, world.log, world.counters);
    world.network.attach(id, *this);
}

inline agent_process::agent_process(
    recovery_world& world, peer_id self, gate_maker const& make)
    : id(std::move(self)), endpoint("e-" + id.value()),
      process(world.scheduler), engine(world, process)
{
    if (make)
        gate = make(id, process, world, engine, permits);
    else
        gate = std::make_unique<generation_gate>(
            1, world.scheduler, process, world.network.transport_of(id), engine,
            permits, world.policy, world.counters);
    world.network.attach(id, *gate);
}

struct caller::connection : generation_listener,
                            std::enable_shared_from_this<caller::connection>
{
    connection(caller& c, std::string r) : owner(c), router(std::move(r)) {}

    /// What the router sends arrives later, unless the connection broke.
    void later(std::function<void()> action)
    {
        auto self = shared_from_this();
        owner.world_.scheduler.schedule(
            owner.world_.settings.front_delay,
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
        recovery_world& world = owner.world_;
        auto const found = world.routers.find(router);
        if (open && !owner.slow && found != world.routers.end())
            found->second->relay->caller_progress(
                owner.request.request,
                first + static_cast<token_index>(tokens.size()));
        later(
            [this, first, tokens, event_id]
            {
                recovery_world& w = owner.world_;
                if (w.settings.record_tokens)
                    w.checker.delivered(
                        owner.request.request, number, first, tokens);
                owner.event_id = event_id;
                token_index const next =
                    first + static_cast<token_index>(tokens.size());
                for (std::size_t i = 0; i < tokens.size(); ++i)
                    owner.progressed();
                if (next >= w.settings.mid_stream)
                    w.reached(recovery_step::mid_stream);
            });
    }

    void on_finished(finish_reason, token_index total) override
    {
        ended = true;
        later(
            [this, total]
            {
                if (owner.world_.settings.record_tokens)
                    owner.world_.checker.finished(
                        owner.request.request, number, total);
                owner.done = true;
                open = false;
            });
    }

    void on_error(error const& e) override
    {
        error_under_way = true;
        later(
            [this, code = e.code(), text = std::string(e.what())]
            {
                if (owner.world_.trace != nullptr)
                    *owner.world_.trace << "caller: " << text << "\n";
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
    bool error_under_way = false; // the response is not written yet
    invariant_checker::connection_number number = 0;
};

inline caller::caller(
    recovery_world& world, std::string name, std::string router_name)
    : world_(world), started_(world.scheduler.now()),
      progressed_(world.scheduler.now())
{
    request.request = request_id("o/" + name);
    request.organisation = organisation_id("o");
    request.model = world.version;
    request.prompt = "prompt of " + name;
    connect(std::move(router_name));
    arm_patience();
}

inline caller::~caller()
{
    world_.scheduler.cancel(patience_);
}

inline void caller::connect(std::string name)
{
    router = std::move(name);
    auto const found = world_.routers.find(router);
    if (found == world_.routers.end())
        return;
    connection_ = std::make_shared<connection>(*this, router);
    resume_point from;
    if (!event_id.empty())
        from = decode_event_id(event_id);
    if (world_.trace != nullptr)
        *world_.trace << request.request.value() << " to " << router << " from "
                      << from.next_index << " epoch " << from.epoch << " tail "
                      << from.tail.size() << "\n";
    connection_->number =
        world_.checker.connected(request.request, from.next_index);
    bool const first = reconnects == 0;
    router_process& target = *found->second;
    target.process.post(
        [&target, this, from, first, listener = connection_]
        {
            if (first)
                target.relay->start(request, listener);
            else
                target.relay->resume(request, from, listener);
            if (!first)
                world_.reached(recovery_step::caller_reconnect);
        });
}

inline bool caller::waits_at(std::string const& name) const
{
    return router == name && connection_->open && !connection_->ended;
}

inline bool caller::response_under_way(std::string const& name) const
{
    return router == name && connection_->open && connection_->error_under_way;
}

inline void caller::connection_broken(peer_id const& lost)
{
    if (done || router != lost.value() || !connection_->open)
        return;
    connection_->open = false;
    world_.scheduler.schedule(milliseconds(5), [this] { reconnect(); });
}

inline void caller::leave()
{
    connection_->open = false;
    auto const old = world_.routers.find(router);
    if (old != world_.routers.end())
    {
        router_process& r = *old->second;
        r.process.post([&r, this, listener = connection_]
                       { r.relay->detach(request.request, *listener); });
    }
}

/// Closes the present connection and asks the next router that is alive.
inline void caller::reconnect()
{
    constexpr unsigned max_reconnects = 60;
    if (done || ++reconnects > max_reconnects)
        return;
    leave();
    auto next = world_.routers.upper_bound(router);
    for (std::size_t i = 0; i < world_.routers.size(); ++i, ++next)
    {
        if (next == world_.routers.end())
            next = world_.routers.begin();
        if (next->second->process.paused() ||
            world_.stopping_routers.count(next->first) != 0)
            continue;
        progressed_ = world_.scheduler.now();
        connect(next->first);
        return;
    }
    // Nobody takes connections at present: tries again soon.
    progressed_ =
        world_.scheduler.now() - world_.settings.patience + milliseconds(500);
}

inline void caller::progressed()
{
    steady_time const now = world_.scheduler.now();
    if (!arrivals.empty())
        longest_gap = std::max(longest_gap, now - started_ - arrivals.back());
    arrivals.push_back(now - started_);
    progressed_ = now;
}

inline void caller::arm_patience()
{
    patience_ = world_.scheduler.schedule(
        milliseconds(250),
        [this]
        {
            duration const waited = world_.scheduler.now() - progressed_;
            if (!done && waited >= world_.settings.patience)
            {
                ++impatient;
                reconnect();
            }
            arm_patience();
        });
}

inline recovery_world::recovery_world(
    world_settings s, relay_maker relay, gate_maker gate)
    : settings(s)
{
    for (unsigned i = 1; i <= s.routers; ++i)
    {
        std::string const name = "r" + std::to_string(i);
        routers[name] =
            std::make_unique<router_process>(*this, peer_id(name), relay);
    }
    for (unsigned i = 1; i <= s.agents; ++i)
    {
        std::string const name = "a" + std::to_string(i);
        agents[name] =
            std::make_unique<agent_process>(*this, peer_id(name), gate);
    }
    network.set_observer(
        [this](peer_id const& from, peer_id const& to, message const& m)
        {
            if (trace != nullptr)
                print(from, to, m);
            if (std::holds_alternative<dispatch_generation>(m))
                reached(recovery_step::dispatch);
            if (std::holds_alternative<generation_finished>(m))
                reached(recovery_step::finished_unacknowledged);
        });
}

inline void
recovery_world::print(peer_id const& from, peer_id const& to, message const& m)
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

inline recovery_world::~recovery_world()
{
    callers.clear();
    routers.clear();
    for (auto const& [name, a] : agents)
        a->gate.reset();
}

} // namespace dotterellock::testing

#endif
