// The checker must detect each broken guarantee: every row runs the simulation
// with one deliberately broken part.
#include <catch2/catch.hpp>

#include "fake_external_services.hpp"
#include "recovery_faults.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using delivery_plan = fake_network::delivery_plan;

/// Rewrites messages of one type as a faulty sender would send them.
template<typename Message>
fake_network::delivery_rule rewrite(std::function<void(Message&)> change)
{
    return [change](peer_id const&, peer_id const&, message const& m)
    {
        delivery_plan t;
        if (auto const* original = std::get_if<Message>(&m))
        {
            Message changed = *original;
            change(changed);
            t.replacement = changed;
        }
        return t;
    };
}

struct broken_part
{
    char const* name;
    violation caught;
    std::function<void(recovery_simulation&)> install;
};

std::vector<broken_part> const broken_parts = {
    {"runner skips a token", violation::missing_token,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(rewrite<token_batch>(
             [](token_batch& b)
             {
                 if (b.first_index == 5)
                     b.tokens.clear();
                 if (b.first_index > 5)
                     --b.first_index;
             }));
     }},
    {"runner repeats a token under the next index", violation::repeated_token,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(rewrite<token_batch>(
             [](token_batch& b)
             {
                 if (b.first_index == 5)
                     b.tokens.push_back(b.tokens.front());
                 if (b.first_index > 5)
                     ++b.first_index;
             }));
     }},
    {"runner swaps the tokens of two requests", violation::wrong_request,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(rewrite<token_batch>(
             [](token_batch& b)
             {
                 bool const first = b.request.value() == "o/c1";
                 b.request = request_id(first ? "o/c2" : "o/c1");
             }));
     }},
    {"runner alters a token's text", violation::unknown_token,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(
             rewrite<token_batch>([](token_batch& b) { b.tokens[0] += "x"; }));
     }},
    {"relay resumes with another model version", violation::spliced_version,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(rewrite<dispatch_generation>(
             [](dispatch_generation& d)
             {
                 if (d.attempt > 1)
                     d.model.version = "v2";
             }));
         sim.on_step = [&sim](recovery_step s)
         {
             if (s == recovery_step::first_token)
                 sim.agent("a1").engine.crash();
         };
     }},
    {"relay resumes from other tokens", violation::spliced_generation,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(rewrite<dispatch_generation>(
             [](dispatch_generation& d)
             {
                 for (auto& token : d.resume_tokens)
                     token += "x";
             }));
         sim.on_step = [&sim](recovery_step s)
         {
             if (s == recovery_step::mid_stream)
                 sim.agent("a1").engine.crash();
         };
     }},
    {"runner ends the answer early", violation::missing_token,
     [](recovery_simulation& sim)
     {
         sim.network.set_delivery_rule(
             [](peer_id const&, peer_id const&, message const& m)
             {
                 delivery_plan t;
                 auto const* b = std::get_if<token_batch>(&m);
                 if (b != nullptr && b->first_index == 9)
                     t.replacement = generation_finished{
                         b->request, b->attempt, b->epoch, 9,
                         finish_reason::stop};
                 return t;
             });
     }},
    {"router exits with an open stream", violation::cut_by_planned_stop,
     [](recovery_simulation& sim)
     {
         sim.on_step = [&sim](recovery_step s)
         {
             if (s != recovery_step::mid_stream)
                 return;
             sim.checker.stopped_as_planned({request_id("o/c1")});
             sim.kill_router("r1");
         };
     }},
    {"call is repeated after its response was lost", violation::run_twice,
     [](recovery_simulation& sim)
     {
         for (int i = 0; i < 2; ++i)
             sim.checker.service_ran(request_id("o/booking"), false);
     }},
    {"call runs after it was reported as not run", violation::run_after_not_run,
     [](recovery_simulation& sim)
     {
         sim.checker.told_not_run(request_id("o/booking"));
         sim.checker.service_ran(request_id("o/booking"), false);
     }},
    {"call is reported as not run after it ran", violation::run_after_not_run,
     [](recovery_simulation& sim)
     {
         sim.checker.service_ran(request_id("o/booking"), false);
         sim.checker.told_not_run(request_id("o/booking"));
     }}};

} // namespace

// Guards against a checker that misses violations.
TEST_CASE("Invariant checker detects broken parts", "[recovery][checker]")
{
    for (auto const& part : broken_parts)
    {
        DYNAMIC_SECTION(part.name)
        {
            recovery_simulation simulation;
            part.install(simulation);
            simulation.add_caller("c1", "r1");
            simulation.add_caller("c2", "r1");
            simulation.run_until_done(std::chrono::seconds(10));
            INFO(simulation.checker.report_text());
            CHECK(simulation.checker.violations().count(part.caught) == 1);
        }
    }
}
