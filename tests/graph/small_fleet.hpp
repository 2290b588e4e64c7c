// A simulated fleet in one process, on a fake network and a manual clock: one
// router with two shards and three agents, for two engines and a plain service.
#ifndef DOTTERELLOCK_TESTS_SMALL_FLEET_HPP
#define DOTTERELLOCK_TESTS_SMALL_FLEET_HPP

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <fake_external_services.hpp>
#include <fake_network.hpp>
#include <manual_scheduler.hpp>
#include <membership/registration_record.hpp>
#include <pipeline/request_pipeline.hpp>
#include <process/agent_controller.hpp>
#include <process/message_dispatcher.hpp>
#include <process/router_shard.hpp>

namespace dotterellock::testing
{

/// Collects an answer and records whether all tokens arrived in order.
struct answer : generation_listener
{
    void on_tokens(
        token_index first, std::vector<std::string> const& batch,
        std::string const&) override
    {
        in_order = in_order && first == tokens.size();
        tokens.insert(tokens.end(), batch.begin(), batch.end());
        progress(static_cast<token_index>(tokens.size()));
    }
    void on_finished(finish_reason, token_index total) override
    {
        ++ends;
        in_order = in_order && total == tokens.size();
    }
    void on_error(error const& e) override
    {
        ++ends;
        failure = e.what();
    }

    std::function<void(token_index)> progress; // acknowledges tokens at once
    std::vector<std::string> tokens;
    std::string failure;
    bool in_order = true;
    unsigned ends = 0;
};

class small_fleet
{
public:
    static constexpr unsigned answer_length = 40;
    static constexpr std::uint32_t shard_count = 2;

    small_fleet()
    {
        policy_.settings.operations["svc/book"] = {false, milliseconds(2000)};
        for (std::uint32_t i = 0; i < shard_count; ++i)
        {
            shards_.push_back(std::make_unique<router_shard>(
                router, node_location{}, shard_position{i, shard_count},
                std::vector<router_info>{}, runtime(router), table, policy_));
        }
        for (std::size_t i = 0; i < engines.size(); ++i)
            add_agent("e" + std::to_string(i + 1), {&engines[i], nullptr});
        add_agent("s1", {nullptr, &service});
        for (auto& s : shards_)
            s->set_endpoints(infos_);
        dispatcher_ = std::make_unique<message_dispatcher>(
            targets(), message_dispatcher::target{poster(), ignoring_handler_},
            scheduler);
        router_inbox_.distribution = dispatcher_.get();
        network.attach(router, router_inbox_);
        scheduler.advance(milliseconds(100)); // lets the agents register
        shards_.front()->start_subscriptions(
            [this](peer_id const& agent) { dispatcher_->disconnected(agent); });
    }

    router_shard& shard_for(request_id const& request)
    {
        return *shards_[shard_of(request, shard_count)];
    }

    /// Starts generation number n, whose prompt and answer depend on n.
    std::shared_ptr<answer> generate(unsigned n)
    {
        generation_request g;
        g.request = request_id("a/g" + std::to_string(n));
        g.organisation = organisation_id("a");
        g.model = model;
        g.prompt = "prompt" + std::to_string(n);
        g.sampling.max_tokens = answer_length;
        auto const result = std::make_shared<answer>();
        auto& service = shard_for(g.request).generations();
        result->progress = [this, &service, id = g.request](token_index next) {
            poster()([&service, id, next]
                     { service.caller_progress(id, next); });
        };
        service.start(g, result);
        return result;
    }

    std::vector<std::string> expected(unsigned n) const
    {
        std::vector<std::string> tokens;
        for (unsigned i = 0; i < answer_length; ++i)
            tokens.push_back(
                expected_token(model, "prompt" + std::to_string(n), i));
        return tokens;
    }

    void book(unsigned n, std::function<void(call_reply)> done)
    {
        call_request c;
        c.request = request_id("a/c" + std::to_string(n));
        c.organisation = organisation_id("a");
        c.service = service_name("svc");
        c.operation = "book";
        c.method = "POST";
        c.path = "/book";
        c.timeout = milliseconds(2000);
        shard_for(c.request).calls().call(std::move(c), std::move(done));
    }

    /// Index of a busy engine; engines.size() if all are idle.
    std::size_t busy_engine() const
    {
        std::size_t i = 0;
        while (i < engines.size() && engines[i].running() == 0)
            ++i;
        return i;
    }

    void kill_agent(std::size_t i)
    {
        network.kill(agent_id(i));
        usable_[i] = false;
    }

    void pause_engine(std::size_t i)
    {
        engines[i].set_paused(true);
        usable_[i] = false;
    }

    /// False once the agent was killed or the engine paused.
    bool engine_usable(std::size_t i) const { return usable_[i]; }

    agent_controller& agent(std::size_t i) { return *agents_[i]; }
    peer_id const& agent_id(std::size_t i) const { return infos_[i].agent; }

    peer_id const router{"router/r1"};
    model_ref const model{"m", "", "1"};
    manual_scheduler scheduler;
    seeded_random random{5};
    fake_network network{scheduler};
    fake_table_service table{scheduler};
    std::deque<fake_engine> engines = make_engines();
    fake_plain_service service{scheduler};
    recording_decision_log log;

private:
    struct router_inbox : message_handler
    {
        void on_message(peer_id const& from, message const& m) override
        {
            distribution->deliver(from, m);
        }
        void on_disconnected(peer_id const& peer) override
        {
            distribution->disconnected(peer);
        }

        message_dispatcher* distribution = nullptr;
    };

    struct ignoring_handler : message_handler
    {
        void on_message(peer_id const&, message const&) override {}
        void on_disconnected(peer_id const&) override {}
    };

    std::deque<fake_engine> make_engines()
    {
        std::deque<fake_engine> made;
        made.emplace_back(scheduler, answer_length);
        made.emplace_back(scheduler, answer_length);
        return made;
    }

    runtime_services runtime(peer_id const& self)
    {
        return {scheduler, scheduler, random, network.transport_of(self),
                log,       counters_};
    }

    std::function<void(std::function<void()>)> poster()
    {
        return [this](std::function<void()> f)
        { scheduler.schedule(duration{}, std::move(f)); };
    }

    void add_agent(std::string const& name, agent_backend backend)
    {
        agent_settings s;
        s.endpoint = endpoint_id(name);
        s.capacity = 4;
        s.table_service_url = "http://fake";
        if (backend.engine != nullptr)
            s.models = {model};
        else
            s.services = {service_name("svc")};
        endpoint_info info;
        info.endpoint = s.endpoint;
        info.agent = s.self();
        info.models = s.models;
        info.services = s.services;
        infos_.push_back(info);
        agents_.push_back(std::make_unique<agent_controller>(
            s, "127.0.0.1:1", runtime(s.self()), table, backend, [] {}));
        network.attach(s.self(), *agents_.back());
        agents_.back()->start();
    }

    std::vector<message_dispatcher::target> targets()
    {
        std::vector<message_dispatcher::target> all;
        for (auto& s : shards_)
            all.push_back({poster(), *s});
        return all;
    }

    std::array<bool, 2> usable_{true, true};
    counter_registry counters_;
    fixed_policy policy_;
    std::vector<std::unique_ptr<router_shard>> shards_;
    std::vector<endpoint_info> infos_;
    std::vector<std::unique_ptr<agent_controller>> agents_;
    std::unique_ptr<message_dispatcher> dispatcher_;
    router_inbox router_inbox_;
    ignoring_handler ignoring_handler_;
};

} // namespace dotterellock::testing

#endif
