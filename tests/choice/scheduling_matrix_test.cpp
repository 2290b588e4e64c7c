// Fault matrix of scheduling: injects every fault at every step of a request in
// the dispatcher and the reservation queue, once, twice and in pairs.
// docs/fault-matrix-scheduling.md lists the rows.
#include <catch2/catch.hpp>

#include <map>

#include "scheduling_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

namespace
{

enum class step
{
    reserve,
    wait,
    offer,
    redeem,
    run,
    release
};
enum class fault
{
    lost,
    late,
    repeated,
    crossed,
    router_dies,
    router_pauses,
    agent_drains,
    agent_dies,
    agent_restarts,
    clock_jump
};

constexpr std::array<char const*, 6> step_names = {
    "reserve", "wait", "offer", "redeem", "run", "release"};
constexpr std::array<char const*, 10> fault_names = {
    "lost",           "late",          "repeated",     "crossed",
    "router dies",    "router pauses", "agent drains", "agent dies",
    "agent restarts", "clock jump"};

struct injected
{
    step at;
    fault what;
};

std::string name_of(injected const& f)
{
    return std::string(step_names[std::size_t(f.at)]) + "/" +
           fault_names[std::size_t(f.what)];
}

/// No scheduling message is in flight while the work runs, so message faults
/// cannot occur in that step.
bool can_occur(injected const& f)
{
    return f.at != step::run || f.what > fault::crossed;
}

std::vector<injected> all_faults()
{
    std::vector<injected> all;
    for (int s = 0; s < 6; ++s)
    {
        for (int f = 0; f < 10; ++f)
        {
            if (can_occur({step(s), fault(f)}))
                all.push_back({step(s), fault(f)});
        }
    }
    return all;
}

duration const run_time = milliseconds(300);
request_id const observed_request("org/victim");

/// The step that a message belongs to, if it is about the observed request. The
/// step `run` has no message.
std::optional<step> step_of(message const& m)
{
    auto const* const id = request_of(m);
    if (id == nullptr || *id != observed_request)
        return std::nullopt;
    if (std::holds_alternative<reserve>(m))
        return step::reserve;
    if (std::holds_alternative<withdraw>(m))
        return step::wait; // of a reservation that is not needed
    if (std::holds_alternative<offer>(m))
        return step::offer;
    if (std::holds_alternative<dispatch_call>(m))
        return step::redeem;
    if (std::holds_alternative<call_result>(m))
        return step::release;
    return std::nullopt;
}

/// Two routers and three agents with one slot each; injects the given faults at
/// their steps. Router a places the observed request while work of router b
/// occupies every slot, so that the request has to wait.
class matrix_run : scheduling_fixture
{
public:
    explicit matrix_run(std::vector<injected> faults) : pending_faults_(faults)
    {
        for (unsigned i = 0; i < 3; ++i)
            add_agent(test_endpoint(i), 1);
        for (auto const* name : {"router/a", "router/b"})
            add_router(name);
        for (unsigned i = 0; i < 3; ++i)
            connect_agent(i);
        for (unsigned i = 0; i < 2; ++i)
            connect_router(i);
        network.set_delivery_rule(
            [this](auto const& from, auto const& to, auto const& m)
            { return delivery_plan_for(from, to, m); });
    }

    void run()
    {
        for (int i = 0; i < 3; ++i)
            place(1, request_id("org/blocker" + std::to_string(i)), 1);
        scheduler.advance(milliseconds(50));
        place(0, observed_request, 1);
        scheduler.schedule(
            milliseconds(100), [this] { on_step(step::wait, agent_peer(0)); });
        scheduler.advance(seconds(40));
    }

    void check_invariants()
    {
        for (auto const& [permit, times] : redeem_counts_)
            CHECK(times == 1);
        for (std::size_t i = 0; i < agents.size(); ++i)
        {
            INFO("agent " << i);
            CHECK(most_running_[i] <= 1);
            CHECK(agents[i]->slots_free() == 1);
            CHECK(agents[i]->idle());
            CHECK_FALSE(new_work_while_draining_);
        }
        CHECK(routers[1]->dispatcher.open_search_count() == 0);
        CHECK(routers[1]->dispatcher.placed_count() == 0);
        for (int i = 0; i < 3; ++i)
            CHECK(completed_.count(
                request_id("org/blocker" + std::to_string(i))));
        if (!router_dead_)
        {
            CHECK(routers[0]->dispatcher.open_search_count() == 0);
            CHECK(routers[0]->dispatcher.placed_count() == 0);
            CHECK(
                (completed_.count(observed_request) != 0 ||
                 observed_request_refused_));
        }
        check_serves_new_work();
    }

    /// False when a step did not occur, for example after an earlier fault.
    bool injected_all() const { return pending_faults_.empty(); }

private:
    /// Replaces the agent's runner: redeems permits, runs work, releases slots.
    struct runner_stub : message_handler
    {
        runner_stub(matrix_run& r, std::size_t index) : run(r), i(index) {}
        void on_message(peer_id const& from, message const& m) override
        {
            if (auto const* d = std::get_if<dispatch_call>(&m))
                run.on_dispatch(i, from, *d);
            else
                run.agents[i]->on_message(from, m);
        }
        void on_disconnected(peer_id const& peer) override
        {
            run.agents[i]->on_disconnected(peer);
        }
        matrix_run& run;
        std::size_t i;
    };

    /// Replaces the router's relay: dispatches work and retries what did not
    /// run.
    struct relay_stub : message_handler
    {
        relay_stub(matrix_run& r, std::size_t index) : run(r), i(index) {}
        void on_message(peer_id const& from, message const& m) override
        {
            if (auto const* r = std::get_if<call_result>(&m))
                run.on_result(i, *r);
            else
                run.routers[i]->dispatcher.on_message(from, m);
        }
        void on_disconnected(peer_id const& peer) override
        {
            run.routers[i]->dispatcher.on_disconnected(peer);
        }
        matrix_run& run;
        std::size_t i;
    };

    void connect_agent(std::size_t i)
    {
        handlers_.push_back(std::make_unique<runner_stub>(*this, i));
        network.attach(endpoint_infos[i].agent, *handlers_.back());
    }

    void connect_router(std::size_t i)
    {
        handlers_.push_back(std::make_unique<relay_stub>(*this, i));
        network.attach(routers[i]->self, *handlers_.back());
    }

    // ---- router side ------------------------------------------------------

    void place(std::size_t router, request_id const& id, attempt_number attempt)
    {
        auto work = test_place_request(id.value());
        work.attempt = attempt;
        work.kind = work_kind::generation;
        routers[router]->dispatcher.place(
            work,
            [this, router, id, attempt](placement const& p)
            { on_placed(router, id, attempt, p); },
            [this, router, id](error const&)
            {
                refused_.insert({router, id});
                observed_request_refused_ =
                    observed_request_refused_ || id == observed_request;
            });
    }

    void on_placed(
        std::size_t router, request_id const& id, attempt_number attempt,
        placement const& p)
    {
        dispatch_call d;
        d.request = id;
        d.attempt = attempt;
        d.permit = p.permit;
        d.incarnation = p.incarnation;
        network.transport_of(routers[router]->self).send(p.agent, d);
        scheduler.schedule(
            seconds(2), [this, router, id, attempt]
            { attempt_ended(router, id, attempt, false); });
    }

    void on_result(std::size_t router, call_result const& r)
    {
        attempt_ended(
            router, r.request, r.attempt, r.outcome == call_outcome::done);
    }

    void attempt_ended(
        std::size_t router, request_id const& id, attempt_number attempt,
        bool ok)
    {
        auto& last = last_ended_attempt_[{router, id}];
        if (attempt <= last)
            return;
        last = attempt;
        routers[router]->dispatcher.finished(id, attempt, ok);
        if (ok)
            completed_.insert(id);
        else if (completed_.count(id) == 0 && refused_.count({router, id}) == 0)
            place(router, id, attempt + 1);
    }

    // ---- agent side -------------------------------------------------------

    void on_dispatch(std::size_t i, peer_id const& from, dispatch_call const& d)
    {
        auto const refused =
            agents[i]->redeem(d.permit, d.request, d.attempt, d.incarnation);
        auto& out = network.transport_of(endpoint_infos[i].agent);
        call_result result;
        result.request = d.request;
        result.attempt = d.attempt;
        if (refused)
        {
            result.outcome = call_outcome::not_run;
            out.send(from, result);
            return;
        }
        ++redeem_counts_[{i, d.incarnation, d.permit}];
        if (draining_since_.count(i) != 0 &&
            scheduler.now() >=
                draining_since_[i] + policy.settings.queue.offer_validity)
            new_work_while_draining_ = true;
        most_running_[i] = std::max(most_running_[i], ++running_[i]);
        auto const run = d.incarnation;
        if (d.request == observed_request)
            scheduler.schedule(
                run_time / 2,
                [this, i] { on_step(step::run, endpoint_infos[i].agent); });
        scheduler.schedule(
            run_time,
            [this, i, run, d, from, result]
            {
                if (incarnation_[i] != run)
                    return; // lost when the agent died
                --running_[i];
                agents[i]->release(d.permit, 100);
                auto done = result;
                done.outcome = call_outcome::done;
                network.transport_of(endpoint_infos[i].agent).send(from, done);
            });
    }

    // ---- faults -----------------------------------------------------------

    std::optional<fault> next_fault(step at)
    {
        if (pending_faults_.empty() || pending_faults_.front().at != at)
            return std::nullopt;
        fault const f = pending_faults_.front().what;
        pending_faults_.erase(pending_faults_.begin());
        return f;
    }

    void on_step(step at, peer_id const& agent)
    {
        if (!pending_faults_.empty() &&
            pending_faults_.front().what <= fault::crossed)
            return; // a message fault
        if (auto const f = next_fault(at))
            scheduler.schedule(
                duration{}, [this, f, agent] { inject(*f, agent); });
    }

    fake_network::delivery_plan
    delivery_plan_for(peer_id const& from, peer_id const& to, message const& m)
    {
        auto const at = step_of(m);
        auto const f = at ? next_fault(*at) : std::nullopt;
        if (!f)
            return {};
        bool const from_router = from == routers[0]->self;
        switch (*f)
        {
        case fault::lost:
            return {0, duration{}};
        case fault::late: // longer than offers are valid
            return {1, milliseconds(700)};
        case fault::repeated:
            return {2, duration{}};
        case fault::crossed: // crosses a withdrawal; a new attempt starts
            scheduler.schedule(duration{}, [this] { abandon_attempt(); });
            return {1, milliseconds(5)};
        default:
            scheduler.schedule(
                duration{}, [this, f, agent = from_router ? to : from]
                { inject(*f, agent); });
            return {};
        }
    }

    void abandon_attempt()
    {
        auto const last = last_ended_attempt_[{0, observed_request}];
        routers[0]->dispatcher.withdraw(observed_request, last + 1);
        attempt_ended(0, observed_request, last + 1, false);
    }

    void inject(fault f, peer_id const& agent)
    {
        std::size_t i = 0;
        while (endpoint_infos[i].agent != agent)
            ++i;
        switch (f)
        {
        case fault::router_dies:
            router_dead_ = true;
            network.kill(routers[0]->self);
            break;
        case fault::router_pauses:
            network.pause(routers[0]->self);
            scheduler.schedule(
                milliseconds(1200),
                [this] { network.resume(routers[0]->self); });
            break;
        case fault::agent_drains:
            draining_since_[i] = scheduler.now();
            agents[i]->set_draining(true);
            break;
        case fault::agent_dies:
            network.kill(agent);
            scheduler.schedule(seconds(5), [this, i] { restart(i); });
            break;
        case fault::agent_restarts:
            network.kill(agent);
            restart(i);
            break;
        default:
            scheduler.jump(seconds(3));
        }
    }

    void restart(std::size_t i)
    {
        running_[i] = 0;
        draining_since_.erase(i);
        restart_agent(i, ++incarnation_[i], 1);
        connect_agent(i);
    }

    void check_serves_new_work()
    {
        pending_faults_.clear();
        for (auto& a : agents)
            a->set_draining(false);
        draining_since_.clear();
        scheduler.advance(seconds(3));
        for (auto& router : routers)
        {
            for (auto& a : agents)
                router->directory.on_load_report(a->report());
        }
        for (int i = 0; i < 3; ++i)
            place(1, request_id("org/after" + std::to_string(i)), 1);
        scheduler.advance(seconds(10));
        for (int i = 0; i < 3; ++i)
            CHECK(
                completed_.count(request_id("org/after" + std::to_string(i))));
    }

    std::vector<injected> pending_faults_; // in order of injection
    std::vector<std::unique_ptr<message_handler>> handlers_;
    std::map<std::tuple<std::size_t, incarnation, permit_id>, unsigned>
        redeem_counts_;
    std::map<std::pair<std::size_t, request_id>, attempt_number>
        last_ended_attempt_;
    std::set<std::pair<std::size_t, request_id>> refused_;
    std::set<request_id> completed_;
    std::array<unsigned, 3> running_{};
    std::array<unsigned, 3> most_running_{};
    std::array<incarnation, 3> incarnation_ = {1, 1, 1};
    std::map<std::size_t, steady_time> draining_since_;
    bool new_work_while_draining_ = false;
    bool router_dead_ = false;
    bool observed_request_refused_ = false;
};

} // namespace

// Guards against a slot that is lost or used twice, a permit redeemed twice,
// new work for a draining agent, and a search that never ends, after a single
// fault or the same fault twice.
TEST_CASE("scheduling survives each fault at each step")
{
    auto const f = GENERATE(from_range(all_faults()));
    auto const times = GENERATE(1u, 2u);
    INFO(name_of(f) << " x" << times);
    matrix_run run(std::vector<injected>(times, f));
    run.run();
    CHECK((run.injected_all() || times == 2));
    run.check_invariants();
}

// Guards against combinations of two faults that are each survived alone.
TEST_CASE("scheduling survives each pair of faults")
{
    auto const first = GENERATE(from_range(all_faults()));
    for (auto const& second : all_faults())
    {
        INFO(name_of(first) << " then " << name_of(second));
        matrix_run run({first, second});
        run.run();
        run.check_invariants();
    }
}
