// Test fixture with two routers, two agents, a store and a service around the
// real call_coordinator and call_runner. It has a hook at every step of a call
// and a way to inject each fault.
#ifndef DOTTERELLOCK_TESTS_CALL_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_CALL_FIXTURE_HPP

#include <array>
#include <list>
#include <memory>

#include <dotterellock/admission.hpp>

#include "claims/call_coordinator.hpp"
#include "claims/call_runner.hpp"
#include "fake_external_services.hpp"
#include "fake_network.hpp"
#include "store/store_client.hpp"

namespace dotterellock::testing
{

using namespace std::chrono_literals;

/// A simulated process. Its actions are deferred while it is paused and
/// dropped once it is dead.
class pausable_process : public timer_service
{
public:
    explicit pausable_process(manual_scheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    timer_id schedule(duration delay, std::function<void()> action) override
    {
        auto const id = std::make_shared<timer_id>();
        *id = scheduler_.schedule(
            delay, [this, id, action] { run(action, *id); });
        return *id;
    }

    void cancel(timer_id id) override
    {
        scheduler_.cancel(id);
        deferred_.remove_if([id](auto const& h) { return h.first == id; });
    }

    void run(std::function<void()> const& action, timer_id id = 0)
    {
        if (paused_ && !dead)
            deferred_.emplace_back(id, action);
        else if (!dead)
            action();
    }

    void pause() { paused_ = true; }
    void resume()
    {
        paused_ = false;
        while (!deferred_.empty() && !paused_)
        {
            auto const action = deferred_.front().second;
            deferred_.pop_front();
            if (!dead)
                action();
        }
    }
    bool responsive() const { return !dead && !paused_; }

    bool dead = false;

private:
    manual_scheduler& scheduler_;
    bool paused_ = false;
    std::list<std::pair<timer_id, std::function<void()>>> deferred_;
};

enum class call_step
{
    place,
    claim_write,
    claim_answer,
    dispatch,
    redeem,
    run,
    service_answer,
    result,
    row_completion,
    query
};
inline constexpr std::array step_names = {
    "place", "claim write",    "claim answer", "dispatch",       "redeem",
    "run",   "service answer", "result",       "row completion", "query"};

/// Deliberate defects that the checks must detect. From permits_unchecked to
/// dispatch_after_unknown, permits are not checked either, as a permit would
/// otherwise mask the defect; permits_unchecked alone is safe.
enum class mutant
{
    none,
    permits_unchecked,
    runner_ignores_close,        // closes a call, then runs it
    runner_runs_duplicates,      // loses its state before each dispatch
    runner_accepts_any_dispatch, // also for another incarnation
    dispatch_after_unknown,      // treats an unknown claim write as applied
    runner_keeps_incarnation,    // restarts with the same incarnation
    conflict_ignored,            // treats a conflicting claim as its own
    not_run_on_timeout,          // replies not_run instead of unknown
    answers_swapped,             // returns the result of another request
    replies_twice
};

class call_fixture
{
    struct fake_permit_issuer : permit_issuer
    {
        struct entry
        {
            request_id request;
            attempt_number attempt;
            steady_time expires;
        };
        explicit fake_permit_issuer(call_fixture& r) : fixture(r) {}
        std::optional<error_code> redeem(
            permit_id permit, request_id const& request, attempt_number attempt,
            incarnation) override
        {
            fixture.reach_step(call_step::redeem, request);
            auto const e = permits.find(permit);
            if (accept_all)
                return std::nullopt;
            if (e == permits.end() || e->second.request != request ||
                e->second.attempt != attempt ||
                e->second.expires < fixture.scheduler.now())
                return error_code::permit_expired;
            permits.erase(e);
            return std::nullopt;
        }
        void release(permit_id, std::uint32_t) override {}
        call_fixture& fixture;
        std::map<permit_id, entry> permits;
        bool accept_all = false;
    };

    /// Transport of one process. Calls the hook of the step before it sends.
    struct hooked_transport : peer_transport
    {
        hooked_transport(call_fixture& r, pausable_process& p, peer_id s)
            : fixture(r), owner(p), self(std::move(s))
        {
        }
        void send(peer_id const& to, message m) override
        {
            if (std::holds_alternative<dispatch_call>(m))
                fixture.reach_step(call_step::dispatch, *request_of(m));
            else if (std::holds_alternative<query_call>(m))
                fixture.reach_step(call_step::query, *request_of(m));
            else if (auto* const result = std::get_if<call_result>(&m))
            {
                fixture.reach_step(call_step::result, result->request);
                fixture.apply_defect(*result);
            }
            owner.run([this, to, m]
                      { fixture.network.transport_of(self).send(to, m); });
        }
        void reconnect(peer_id const& to) override
        {
            fixture.network.transport_of(self).reconnect(to);
        }
        call_fixture& fixture;
        pausable_process& owner;
        peer_id self;
    };

    /// Delivers messages to one process and applies the defects of its gate.
    struct hooked_handler : message_handler
    {
        hooked_handler(call_fixture& r, pausable_process& p)
            : fixture(r), owner(p)
        {
        }
        void on_message(peer_id const& from, message const& m) override
        {
            owner.run([this, from, m] { deliver(from, m); });
        }
        void on_disconnected(peer_id const& peer) override
        {
            owner.run([this, peer] { inner->on_disconnected(peer); });
        }
        void deliver(peer_id const& from, message m)
        {
            if (auto* const q = std::get_if<query_call>(&m))
                q->close_if_not_run =
                    q->close_if_not_run &&
                    fixture.defect != mutant::runner_ignores_close;
            auto* const d = std::get_if<dispatch_call>(&m);
            if (d && fixture.defect == mutant::runner_accepts_any_dispatch)
                d->incarnation = own_incarnation;
            if (d && fixture.defect == mutant::runner_runs_duplicates)
                create_runner();
            inner->on_message(from, m);
        }
        call_fixture& fixture;
        pausable_process& owner;
        incarnation own_incarnation = 0;
        std::function<void()> create_runner;
        message_handler* inner = nullptr;
    };

    struct hooked_service : plain_service
    {
        hooked_service(call_fixture& r, pausable_process& p)
            : fixture(r), owner(p)
        {
        }
        void call(
            dispatch_call const& call,
            std::function<void(service_answer)> done) override
        {
            fixture.reach_step(call_step::run, call.request);
            owner.run(
                [this, call, done]
                {
                    fixture.service.call(
                        call,
                        [this, call, done](service_answer const& a)
                        {
                            owner.run(
                                [this, call, done, a]
                                {
                                    fixture.reach_step(
                                        call_step::service_answer,
                                        call.request);
                                    owner.run([done, a] { done(a); });
                                });
                        });
                });
        }
        call_fixture& fixture;
        pausable_process& owner;
    };

    static request_id request_of_row(std::string const& key)
    {
        return request_id(key.substr(claim_key(request_id()).size()));
    }
    static bool has_state(row_write const& w, std::string const& name)
    {
        return w.value->find("\"state\":\"" + name) != std::string::npos;
    }

    /// One process's connection to the store.
    struct hooked_store : table_service
    {
        hooked_store(call_fixture& r, pausable_process& p)
            : fixture(r), owner(p)
        {
        }
        void commit(
            std::vector<row_write> writes, duration timeout,
            std::function<void(commit_result)> done) override
        {
            bool claims = false;
            auto const request = request_of_row(writes.at(0).key);
            for (auto const& w : writes)
            {
                if (has_state(w, "claimed"))
                {
                    claims = true;
                    fixture.reach_step(
                        call_step::claim_write, request_of_row(w.key));
                }
                if (has_state(w, "done"))
                    fixture.reach_step(
                        call_step::row_completion, request_of_row(w.key));
            }
            auto const answered =
                [this, claims, request, done](commit_result const& result)
            {
                owner.run(
                    [this, claims, request, done, result]
                    {
                        if (claims)
                            fixture.reach_step(
                                call_step::claim_answer, request);
                        if (request == request_id("org/k") &&
                            std::exchange(
                                fixture.lose_next_store_answer, false))
                            return;
                        owner.run([done, result] { done(result); });
                    });
            };
            owner.run([this, writes, timeout, answered]
                      { fixture.store.commit(writes, timeout, answered); });
        }
        void read(
            std::vector<std::string> keys, duration timeout,
            std::function<void(read_result)> done) override
        {
            fixture.store.read(
                keys, timeout,
                [this, done](read_result const& result)
                { owner.run([done, result] { done(result); }); });
        }
        void
        scan(std::string, duration, std::function<void(read_result)>) override
        {
        }
        call_fixture& fixture;
        pausable_process& owner;
    };

    /// Changes commit results as a defective coordinator would interpret them.
    struct mutating_store : table_service
    {
        mutating_store(call_fixture& r, table_service& i) : fixture(r), inner(i)
        {
        }
        void commit(
            std::vector<row_write> writes, duration timeout,
            std::function<void(commit_result)> done) override
        {
            inner.commit(
                writes, timeout,
                [this, done](commit_result result)
                {
                    bool const hide =
                        (result.status == store_status::unknown &&
                         fixture.defect == mutant::dispatch_after_unknown) ||
                        (result.status == store_status::conflict &&
                         fixture.defect == mutant::conflict_ignored);
                    if (hide)
                        result = {store_status::ok, {}, {1}};
                    done(result);
                });
        }
        void read(
            std::vector<std::string> keys, duration timeout,
            std::function<void(read_result)> done) override
        {
            inner.read(keys, timeout, done);
        }
        void
        scan(std::string, duration, std::function<void(read_result)>) override
        {
        }
        call_fixture& fixture;
        table_service& inner;
    };

    /// Places each call at the first responsive agent.
    struct fake_dispatcher : dispatcher
    {
        fake_dispatcher(call_fixture& r, pausable_process& p)
            : fixture(r), owner(p)
        {
        }
        void place(
            place_request place, std::function<void(placement)> placed,
            std::function<void(error)> refused) override
        {
            fixture.reach_step(call_step::place, place.request);
            owner.schedule(2ms, [=] { offer(place, placed, refused); });
        }
        void offer(
            place_request const& place,
            std::function<void(placement)> const& placed,
            std::function<void(error)> const& refused)
        {
            for (auto const& a : fixture.agents)
            {
                endpoint_id const endpoint(a->self.value());
                if (!a->process.responsive() || a->draining ||
                    place.excluded.count(endpoint) != 0)
                    continue;
                permit_id const id = ++fixture.last_permit;
                a->permits.permits[id] = {
                    place.request, place.attempt,
                    fixture.scheduler.now() + 500ms};
                placed({endpoint, a->self, id, a->handler.own_incarnation});
                return;
            }
            refused(error(
                error_code::no_endpoint, "place", "", "no agent responds"));
        }
        void withdraw(request_id const&, attempt_number) override {}
        void finished(request_id const&, attempt_number, bool) override {}
        call_fixture& fixture;
        pausable_process& owner;
    };

    struct empty_endpoint_lookup : endpoint_lookup
    {
        std::vector<endpoint_info> serving(model_ref const&) const override
        {
            return {};
        }
        std::vector<endpoint_info> offering(service_name const&) const override
        {
            return {};
        }
        std::optional<endpoint_info> find(endpoint_id const&) const override
        {
            return std::nullopt;
        }
    };

public:
    struct router
    {
        router(
            call_fixture& fixture, std::string const& name, std::uint64_t seed)
            : self(name), process(fixture.scheduler), random(seed),
              store_connection(fixture, process),
              client(
                  store_connection, fixture.scheduler, process, random,
                  store_settings{}, fixture.counters),
              store(fixture, client), dispatch(fixture, process),
              transport(fixture, process, self),
              coordinator(
                  self, fixture.scheduler, process, random, transport, dispatch,
                  fixture.lookup, store, fixture.policy, fixture.log,
                  fixture.counters),
              handler(fixture, process)
        {
            handler.inner = &coordinator;
            fixture.network.attach(self, handler);
        }
        peer_id self;
        pausable_process process;
        seeded_random random;
        hooked_store store_connection;
        store_client client;
        mutating_store store;
        fake_dispatcher dispatch;
        hooked_transport transport;
        call_coordinator coordinator;
        hooked_handler handler;
        bool stopping = false;
    };

    struct agent
    {
        agent(call_fixture& fixture, peer_id name, incarnation own_incarnation)
            : self(std::move(name)), process(fixture.scheduler),
              permits(fixture), service(fixture, process),
              transport(fixture, process, self), handler(fixture, process)
        {
            permits.accept_all =
                fixture.defect >= mutant::permits_unchecked &&
                fixture.defect <= mutant::dispatch_after_unknown;
            handler.own_incarnation = own_incarnation;
            handler.create_runner = [this, &fixture, own_incarnation]
            {
                runners.push_back(std::make_unique<call_runner>(
                    own_incarnation, fixture.scheduler, process, transport,
                    service, permits, fixture.policy, fixture.counters));
                handler.inner = runners.back().get();
            };
            handler.create_runner();
            fixture.network.attach(self, handler);
        }
        peer_id self;
        pausable_process process;
        fake_permit_issuer permits;
        hooked_service service;
        hooked_transport transport;
        hooked_handler handler;
        std::vector<std::unique_ptr<call_runner>> runners;
        bool draining = false;
    };

    /// A submission by one caller and the replies it received.
    struct submission
    {
        router* at;
        std::string key;
        std::vector<call_reply> replies;
    };

    explicit call_fixture(mutant d = mutant::none, std::uint64_t seed = 1)
        : defect(d)
    {
        for (auto const* name : {"r1", "r2"})
            routers.push_back(std::make_unique<router>(*this, name, seed++));
        for (auto const* name : {"a1", "a2"})
            agents.push_back(std::make_unique<agent>(
                *this, peer_id(name), next_incarnation++));
    }

    submission& submit(
        std::size_t router_index, std::string const& key,
        bool repeatable = false, std::string const& body = "body")
    {
        router& r = *routers[router_index];
        submissions.push_back({&r, key, {}});
        submission& s = submissions.back();
        call_request c;
        c.request = request_id(key);
        c.organisation = organisation_id("org");
        c.service = service_name("bookings");
        c.operation = "book";
        c.body = body;
        c.repeatable = repeatable;
        c.timeout = 4s;
        r.process.run(
            [this, &r, &s, c]
            {
                r.coordinator.call(
                    c, [this, &s](call_reply reply) { on_reply(s, reply); });
            });
        return s;
    }

    void on_reply(submission& s, call_reply reply)
    {
        if (s.at->process.dead)
            return;
        if (defect == mutant::not_run_on_timeout &&
            reply.outcome == call_outcome::unknown)
        {
            reply.outcome = call_outcome::not_run;
            reply.retry_after = {};
        }
        s.replies.push_back(reply);
        if (defect == mutant::replies_twice)
            s.replies.push_back(reply);
    }

    void apply_defect(call_result& result)
    {
        if (defect == mutant::runner_ignores_close &&
            result.detail == "not seen")
            result.outcome = call_outcome::not_run;
        if (defect == mutant::answers_swapped &&
            result.outcome == call_outcome::done)
            std::swap(result.body, last_body);
    }

    /// Called by every hook. Lets the test inject faults at this step.
    void reach_step(call_step at, request_id const& request)
    {
        if (on_step && request == request_id("org/k"))
            on_step(at);
    }

    void kill_agent(std::size_t i)
    {
        agents[i]->process.dead = true;
        network.kill(agents[i]->self);
    }

    void restart_agent(std::size_t i)
    {
        kill_agent(i);
        auto const restarted_incarnation =
            defect == mutant::runner_keeps_incarnation
                ? agents[i]->handler.own_incarnation
                : next_incarnation++;
        scheduler.schedule(
            100ms,
            [this, i, restarted_incarnation]
            {
                replaced_agents.push_back(std::move(agents[i]));
                agents[i] = std::make_unique<agent>(
                    *this, replaced_agents.back()->self, restarted_incarnation);
            });
    }

    void kill_router(std::size_t i)
    {
        routers[i]->process.dead = true;
        network.kill(routers[i]->self);
    }

    /// Checks the guarantees for calls against everything observed. Returns
    /// the first violation, or an empty string.
    std::string
    violated_invariant(std::string const& key, bool repeatable) const
    {
        auto const ran = service.runs.find(request_id(key));
        unsigned const runs = ran == service.runs.end() ? 0 : ran->second;
        bool done = false;
        bool closed = false;
        for (auto const& s : submissions)
        {
            if (s.key != key)
                continue;
            if (s.replies.size() > 1)
                return "more than one reply";
            if (s.replies.empty() && !s.at->process.dead)
                return "no reply";
            for (auto const& r : s.replies)
            {
                done = done || r.outcome == call_outcome::done;
                closed = closed || is_final(r);
                if (r.outcome == call_outcome::done &&
                    r.body != "result of " + key)
                    return "another request's result: " + r.body;
            }
        }
        if (repeatable)
            return "";
        if (runs > 1)
            return "ran " + std::to_string(runs) + " times";
        if (closed && runs != 0)
            return "not_run was reported for a call that ran";
        if (done && runs != 1)
            return "a result without a run";
        return "";
    }

    static bool is_final(call_reply const& r)
    {
        return r.outcome == call_outcome::not_run;
    }

    manual_scheduler scheduler;
    fake_network network{scheduler};
    fake_table_service store{scheduler};
    fake_plain_service service{scheduler};
    fixed_policy policy;
    counter_registry counters;
    recording_decision_log log;
    empty_endpoint_lookup lookup;
    mutant defect;
    std::function<void(call_step)> on_step;
    bool lose_next_store_answer = false; // concerning org/k
    permit_id last_permit = 0;
    incarnation next_incarnation = 1;
    std::string last_body;
    std::vector<std::unique_ptr<router>> routers;
    std::vector<std::unique_ptr<agent>> agents;
    std::vector<std::unique_ptr<agent>> replaced_agents;
    std::list<submission> submissions;
};

} // namespace dotterellock::testing

#endif
