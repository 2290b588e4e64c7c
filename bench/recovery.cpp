// Measures recovery with the fakes of the tests: how long a caller waits after
// a fault (virtual time), how many tokens resuming repeats and how many bytes
// it keeps for that, and the CPU time per relayed token. Prints one JSON
// document.
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "records.hpp"
#include "recovery_faults.hpp"

using namespace dotterellock;
using bench::record_list;
using namespace dotterellock::testing;

namespace
{

/// Makes attempts after the first start from the beginning. The relay drops the
/// tokens that the caller already has.
void restart_from_beginning(recovery_simulation& world)
{
    // Tokens that the caller already has do not count as progress, so the stall
    // limit is raised for as long as they are repeated.
    world.policy.settings.recovery.prefill_stalled_after =
        std::chrono::hours(1);
    world.network.set_delivery_rule(
        [](peer_id const&, peer_id const&, message const& m)
        {
            fake_network::delivery_plan t;
            auto const* d = std::get_if<dispatch_generation>(&m);
            if (d == nullptr || d->resume_tokens.empty())
                return t;
            dispatch_generation restarted = *d;
            restarted.resume_tokens.clear();
            t.replacement = restarted;
            return t;
        });
}

// ---- latency --------------------------------------------------------------

double to_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// The longest gap between two tokens of an answer, sorted, for 100 answers
/// with a fault at a random time in each.
std::vector<double> sorted_longest_gaps_ms(char const* fault, bool restart)
{
    constexpr std::uint64_t answers = 100;
    std::vector<double> result;
    for (std::uint64_t seed = 1; seed <= answers; ++seed)
    {
        seeded_random random(seed);
        simulation_settings settings;
        settings.record_tokens = false;
        settings.answer_length = 400;
        settings.progress_timeout = std::chrono::hours(1);
        recovery_simulation world(settings);
        if (restart)
            restart_from_beginning(world);
        caller& c = world.add_caller("c1", "r1");
        world.scheduler.schedule(
            milliseconds(1000 + random.below(10000)),
            [&] { fault_named(fault).inject(world, c); });
        world.run_until_done(std::chrono::seconds(120));
        result.push_back(to_milliseconds(c.longest_gap));
    }
    std::sort(result.begin(), result.end());
    return result;
}

double percentile(std::vector<double> const& sorted, double p)
{
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(p * last)];
}

void measure_latency(record_list& out)
{
    struct fault_case
    {
        char const* fault;
        char const* name;
    };
    for (auto const& row :
         {fault_case{"engine dies", "engine_death"},
          fault_case{"connection silent both ways", "silent_connection"},
          fault_case{"engine pauses and returns", "paused_engine"},
          fault_case{"host dies", "dead_host"}})
    {
        auto const resumed = sorted_longest_gaps_ms(row.fault, false);
        auto const restarted = sorted_longest_gaps_ms(row.fault, true);
        for (auto const& [label, p] :
             {std::pair{"p50", 0.50}, {"p95", 0.95}, {"p99", 0.99}})
            out.add(
                std::string("resume_") + row.name + '_' + label, "ms",
                percentile(resumed, p), percentile(restarted, p));
    }
}

// ---- repeated tokens and buffered bytes ------------------------------------

struct resource_usage
{
    double prompt_tokens = 0; // processed again by an engine
    double output_tokens = 0; // produced beyond the length of the answer
    double journal_bytes = 0; // sent to both journal holders
    double buffer_bytes = 0;  // peak at the agent
};

resource_usage measure_resource_usage(token_index length, bool restart)
{
    constexpr double bytes_per_token = 5; // "word "
    simulation_settings settings;
    settings.record_tokens = false;
    settings.answer_length = length;
    settings.mid_stream = length / 2;
    settings.progress_timeout = std::chrono::hours(1);
    recovery_simulation world(settings);
    if (restart)
        restart_from_beginning(world);
    std::size_t peak_buffered_tokens = 0;
    world.on_step = [&](recovery_step s)
    {
        if (s == recovery_step::mid_stream)
            world.agent("a1").engine.crash();
    };
    caller& c = world.add_caller("c1", "r1");
    // Allows three times the duration of the answer, in steps of 100 ms.
    std::size_t const limit = 3 * (length * 30 / 100) + 100;
    for (std::size_t i = 0; i < limit && !c.done; ++i)
    {
        world.scheduler.advance(milliseconds(100));
        for (auto const& [name, a] : world.agents)
            peak_buffered_tokens =
                std::max(peak_buffered_tokens, a->runner->buffered_tokens());
    }
    resource_usage u;
    double produced = 0;
    for (auto const& [name, a] : world.agents)
    {
        u.prompt_tokens += static_cast<double>(a->engine.resumed_tokens);
        produced += static_cast<double>(a->engine.produced);
    }
    u.prompt_tokens += static_cast<double>(c.request.prompt.size()) / 4;
    u.output_tokens = produced - length;
    u.journal_bytes = static_cast<double>(
        world.counters.counter("relay_journal_bytes_total").value());
    u.buffer_bytes =
        bytes_per_token * static_cast<double>(peak_buffered_tokens);
    return u;
}

/// Compares resuming with restarting and with permanent duplication, which
/// runs every request twice, with or without a fault, and also sends the second
/// output to the router.
void measure_resource_usages(record_list& out)
{
    for (token_index const length : {100u, 1000u, 5000u, 20000u})
    {
        resource_usage const resumed = measure_resource_usage(length, false);
        resource_usage const restarted = measure_resource_usage(length, true);
        std::string const n = '_' + std::to_string(length);
        double const duplicate_tokens = length;
        out.add(
            "repeated_prompt_tokens" + n + "_vs_restart", "tokens",
            resumed.prompt_tokens, restarted.prompt_tokens);
        out.add(
            "repeated_output_tokens" + n + "_vs_restart", "tokens",
            resumed.output_tokens, restarted.output_tokens);
        out.add(
            "repeated_output_tokens" + n + "_vs_duplication", "tokens",
            resumed.output_tokens, duplicate_tokens);
        out.add(
            "journal_bytes" + n + "_vs_duplication", "bytes",
            resumed.journal_bytes, 5 * duplicate_tokens);
        out.add(
            "buffer_bytes" + n + "_vs_whole_answer", "bytes",
            resumed.buffer_bytes, 5 * duplicate_tokens);
    }
}

// ---- CPU time -------------------------------------------------------------

double cpu_nanoseconds()
{
    return 1e9 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct counting_listener : generation_listener
{
    void on_tokens(
        token_index, std::vector<std::string> const& tokens,
        std::string const&) override
    {
        received += tokens.size();
        if (relay != nullptr)
            relay->caller_progress(request, static_cast<token_index>(received));
    }
    void on_finished(finish_reason, token_index) override {}
    void on_error(error const&) override {}
    std::size_t received = 0;
    generation_relay* relay = nullptr;
    request_id request;
};

/// Passes tokens from engine events to a listener through the generation
/// runner and the relay, with message queues in place of a network.
class token_path : dispatcher, journal_placement
{
public:
    explicit token_path(std::size_t streams)
    {
        for (std::size_t i = 0; i < streams; ++i)
        {
            auto const listener = std::make_shared<counting_listener>();
            listener->relay = &relay_;
            listener->request = request_id("o/" + std::to_string(i));
            generation_request request;
            request.request = listener->request;
            request.prompt = "prompt";
            relay_.start(request, listener);
            listeners_.push_back(listener);
        }
        deliver_queued();
    }

    /// Produces one token per stream, then advances virtual time by 30 ms.
    void step()
    {
        for (auto const& events : engine_.runs)
            events.on_tokens({"word "});
        scheduler_.advance(milliseconds(30));
        deliver_queued();
    }

    std::size_t received() const
    {
        std::size_t sum = 0;
        for (auto const& l : listeners_)
            sum += l->received;
        return sum;
    }

private:
    struct queue : peer_transport
    {
        void send(peer_id const&, message m) override
        {
            messages.push_back(std::move(m));
        }
        void reconnect(peer_id const&) override {}
        std::deque<message> messages;
    };

    struct collecting_engine : engine
    {
        engine_run_id
        start(dispatch_generation const&, engine_events e) override
        {
            runs.push_back(std::move(e));
            return runs.size();
        }
        void cancel(engine_run_id) override {}
        void order(
            engine_order const&,
            std::function<void(std::optional<error>)>) override
        {
        }
        std::vector<engine_events> runs;
    };

    struct no_endpoints : endpoint_lookup
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

    void place(
        place_request, std::function<void(placement)> placed,
        std::function<void(error)>) override
    {
        scheduler_.schedule(
            duration{},
            [this, placed] {
                placed(placement{
                    endpoint_id("e"), peer_id("a"), permits_.issue(), 1});
            });
    }
    void withdraw(request_id const&, attempt_number) override {}
    void finished(request_id const&, attempt_number, bool) override {}
    std::vector<peer_id> holders(request_id const&, std::size_t) const override
    {
        return {peer_id("h1"), peer_id("h2")};
    }

    /// Acknowledges journal copies immediately, as their holders would, and
    /// delivers other messages to the generation runner.
    void deliver_from_relay(message const& m)
    {
        if (auto const* a = std::get_if<journal_append>(&m))
        {
            auto const next =
                static_cast<token_index>(a->first_index + a->tokens.size());
            for (char const* holder : {"h1", "h2"})
                relay_.on_message(
                    peer_id(holder),
                    journal_appended{a->request, a->epoch, next});
            return;
        }
        runner_.on_message(peer_id("r"), m);
    }

    void deliver_queued()
    {
        scheduler_.advance(duration{});
        while (!from_relay_.messages.empty() || !from_runner_.messages.empty())
        {
            while (!from_relay_.messages.empty())
            {
                message const m = std::move(from_relay_.messages.front());
                from_relay_.messages.pop_front();
                deliver_from_relay(m);
            }
            while (!from_runner_.messages.empty())
            {
                message const m = std::move(from_runner_.messages.front());
                from_runner_.messages.pop_front();
                relay_.on_message(peer_id("a"), m);
            }
            scheduler_.advance(duration{});
        }
    }

    manual_scheduler scheduler_;
    seeded_random random_{1};
    fixed_policy policy_;
    recording_decision_log log_;
    counter_registry counters_;
    fake_permit_issuer permits_;
    collecting_engine engine_;
    no_endpoints endpoints_;
    queue from_relay_;
    queue from_runner_;
    generation_relay relay_{peer_id("r"), scheduler_, scheduler_, random_,
                            from_relay_,  *this,      endpoints_, *this,
                            policy_,      log_,       counters_};
    generation_runner runner_{1,       scheduler_, scheduler_, from_runner_,
                              engine_, permits_,   policy_,    counters_};
    std::vector<std::shared_ptr<counting_listener>> listeners_;
};

void measure_cpu(record_list& out)
{
    constexpr std::size_t streams = 100;
    constexpr std::size_t tokens = 2000; // per stream
    token_path path(streams);
    double const start = cpu_nanoseconds();
    for (std::size_t i = 0; i < tokens; ++i)
        path.step();
    double const spent = cpu_nanoseconds() - start;

    counting_listener direct;
    generation_listener& listener = direct;
    std::vector<std::string> const one = {"word "};
    std::string const id = "1.1.W10";
    double const direct_start = cpu_nanoseconds();
    for (std::size_t i = 0; i < streams * tokens; ++i)
        listener.on_tokens(static_cast<token_index>(i), one, id);
    double const direct_spent = cpu_nanoseconds() - direct_start;
    out.add(
        "cpu_per_relayed_token", "ns",
        spent / static_cast<double>(path.received()),
        direct_spent / static_cast<double>(direct.received));
}

} // namespace

int main()
{
    record_list out;
    measure_latency(out);
    measure_resource_usages(out);
    measure_cpu(out);
    out.print();
}
