// Measures the cost of claiming a call: store requests, added latency, CPU time
// and memory per call. Runs the coordinator, the gate and the store client
// against in-process fakes in virtual time and prints one JSON document. The
// baseline is the same measurement without group commit for store requests,
// and with idempotent calls, which need no claim, for latency and CPU time.
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include <dotterellock/admission.hpp>

#include "claims/call_coordinator.hpp"
#include "claims/call_runner.hpp"
#include "fake_external_services.hpp"
#include "records.hpp"
#include "store/store_client.hpp"

using namespace dotterellock;
using bench::record_list;
using namespace dotterellock::testing;
using namespace std::chrono_literals;

namespace
{

constexpr duration network_delay = 1ms;
constexpr duration service_delay = 5ms;
constexpr duration store_delay = 2ms;

struct in_memory_table : table_service
{
    explicit in_memory_table(manual_scheduler& t) : time(t) {}
    void commit(
        std::vector<row_write> writes, duration,
        std::function<void(commit_result)> done) override
    {
        ++commits;
        time.schedule(
            store_delay,
            [this, writes = std::move(writes), done] { done(apply(writes)); });
    }
    commit_result apply(std::vector<row_write> const& writes)
    {
        commit_result result{store_status::ok, {}, {}};
        for (auto const& w : writes)
        {
            auto const& present = rows[w.key];
            if (w.expected && *w.expected != present.version)
                result.conflicts.push_back(present);
        }
        if (!result.conflicts.empty())
        {
            result.status = store_status::conflict;
            return result;
        }
        for (auto const& w : writes)
        {
            rows[w.key] = {w.key, *w.value, ++last_version};
            result.versions.push_back(last_version);
        }
        return result;
    }
    void read(
        std::vector<std::string> keys, duration,
        std::function<void(read_result)> done) override
    {
        ++reads;
        read_result result{store_status::ok, {}};
        for (auto const& k : keys)
            result.rows.push_back(rows[k]);
        time.schedule(store_delay, [done, result] { done(result); });
    }
    void scan(std::string, duration, std::function<void(read_result)>) override
    {
    }
    manual_scheduler& time;
    std::uint64_t commits = 0;
    std::uint64_t reads = 0;
    row_version last_version = 0;
    std::unordered_map<std::string, row> rows;
};

/// Simulates one router, one agent and one store in virtual time.
class claims_simulation : dispatcher,
                          endpoint_lookup,
                          permit_issuer,
                          plain_service,
                          decision_log
{
    struct link : peer_transport
    {
        link(claims_simulation& simulation, bool agent_bound)
            : owner(simulation), to_agent(agent_bound)
        {
        }
        void send(peer_id const&, message m) override
        {
            owner.time.schedule(
                network_delay,
                [this, m = std::move(m)]
                {
                    if (to_agent)
                        owner.runner.on_message(peer_id("r"), m);
                    else
                        owner.coordinator.on_message(peer_id("a"), m);
                });
        }
        void reconnect(peer_id const&) override {}
        claims_simulation& owner;
        bool to_agent;
    };

public:
    explicit claims_simulation(store_settings settings)
        : table(time), client(table, time, time, random, settings, counters),
          runner(1, time, time, to_router, *this, *this, policy, counters),
          coordinator(
              peer_id("r"), time, time, random, to_agent, *this, *this, client,
              policy, *this, counters)
    {
    }

    void submit(bool repeatable)
    {
        call_request c;
        c.request = request_id("org/key-" + std::to_string(++submitted));
        c.organisation = organisation_id("org");
        c.service = service_name("bookings");
        c.operation = "book";
        c.body = "{\"seat\":17}";
        c.repeatable = repeatable;
        c.timeout = 5s;
        auto const begun = time.now();
        coordinator.call(
            c,
            [this, begun](call_reply const& reply)
            {
                if (reply.outcome == call_outcome::done)
                    latencies.push_back(
                        std::chrono::duration<double, std::milli>(
                            time.now() - begun)
                            .count());
            });
    }

    /// Submits calls with Poisson arrivals and waits 5 s for the last ones.
    void submit_poisson(double per_second, std::size_t calls, bool repeatable)
    {
        for (std::size_t i = 0; i < calls; ++i)
        {
            std::chrono::duration<double> const gap{
                -std::log(1 - random.uniform()) / per_second};
            time.advance(std::chrono::duration_cast<duration>(gap));
            submit(repeatable);
        }
        time.advance(5s);
    }

    manual_scheduler time;
    seeded_random random{1};
    counter_registry counters;
    fixed_policy policy;
    in_memory_table table;
    store_client client;
    link to_agent{*this, true};
    link to_router{*this, false};
    call_runner runner;
    call_coordinator coordinator;
    std::uint64_t submitted = 0;
    std::vector<double> latencies;

private:
    void place(
        place_request, std::function<void(placement)> placed,
        std::function<void(error)>) override
    {
        time.schedule(
            2 * network_delay,
            [this, placed] {
                placed({endpoint_id("e"), peer_id("a"), ++permit_, 1});
            });
    }
    void withdraw(request_id const&, attempt_number) override {}
    void finished(request_id const&, attempt_number, bool) override {}
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
    std::optional<error_code>
    redeem(permit_id, request_id const&, attempt_number, incarnation) override
    {
        return std::nullopt;
    }
    void release(permit_id, std::uint32_t) override {}
    void call(
        dispatch_call const&, std::function<void(service_answer)> done) override
    {
        time.schedule(
            service_delay,
            [done] {
                done({true, true, 200, "application/json", "{\"ok\":1}", ""});
            });
    }
    void record(decision const&) override {}

    permit_id permit_ = 0;
};

store_settings unlimited_store_settings(bool group_commit)
{
    store_settings s;
    s.writes_per_second = s.reads_per_second = 0;
    if (!group_commit)
        s.batch_delay = 0ms;
    return s;
}

double percentile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(quantile * last))];
}

void measure_store(record_list& out, unsigned per_second)
{
    std::size_t const calls = per_second * 10;
    double writes[2];
    double reads[2];
    double done[2];
    for (bool const grouped : {false, true})
    {
        claims_simulation simulation(unlimited_store_settings(grouped));
        simulation.submit_poisson(per_second, calls, false);
        writes[grouped] = double(simulation.table.commits) / double(calls);
        reads[grouped] = double(simulation.table.reads) / double(calls);
        store_settings budget;
        budget.batch_delay = unlimited_store_settings(grouped).batch_delay;
        claims_simulation budgeted(budget);
        budgeted.submit_poisson(per_second, calls, false);
        done[grouped] = double(budgeted.latencies.size()) / double(calls);
    }
    std::string const at = ".rate_" + std::to_string(per_second);
    out.add(
        "claims.store_writes_per_call" + at, "transactions", writes[1],
        writes[0]);
    out.add("claims.store_reads_per_call" + at, "requests", reads[1], reads[0]);
    out.add(
        "claims.done_share_at_200_writes_per_second" + at, "share", done[1],
        done[0]);
}

void measure_latency(record_list& out)
{
    claims_simulation claimed(unlimited_store_settings(true));
    claimed.submit_poisson(100, 10'000, false);
    claims_simulation plain(unlimited_store_settings(true));
    plain.submit_poisson(100, 10'000, true);
    for (auto const& [label, quantile] :
         {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}})
        out.add(
            std::string("claims.call_latency.") + label, "ms",
            percentile(claimed.latencies, quantile),
            percentile(plain.latencies, quantile));
}

/// CPU time per call, including the fakes, on an agent that already retains
/// the results of `retained_calls` earlier calls.
double cpu_us_per_call(std::size_t retained_calls, bool repeatable)
{
    constexpr std::size_t calls = 20'000;
    claims_simulation simulation(unlimited_store_settings(true));
    simulation.policy.settings.call.result_kept_for = 24h;
    simulation.submit_poisson(1000, retained_calls, false);
    std::clock_t const begun = std::clock();
    simulation.submit_poisson(1000, calls, repeatable);
    return double(std::clock() - begun) * 1e6 / CLOCKS_PER_SEC / double(calls);
}

void measure_cpu(record_list& out)
{
    for (std::size_t const retained_calls : {0, 1'000, 10'000, 100'000})
    {
        out.add(
            "claims.cpu_per_call.remembered_" + std::to_string(retained_calls),
            "us", cpu_us_per_call(retained_calls, false),
            cpu_us_per_call(retained_calls, true));
    }
}

/// Heap growth of an agent per finished call, while the result is retained and
/// after it was dropped. The baseline is the memory that the gate reports.
void measure_memory(record_list& out, std::size_t calls)
{
    claims_simulation simulation(unlimited_store_settings(true));
    auto const before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < calls; ++i)
    {
        dispatch_call d;
        d.request = request_id("org/key-" + std::to_string(i));
        d.incarnation = 1;
        simulation.runner.on_message(peer_id("r"), d);
        if (i % 100 == 99)
            simulation.time.advance(10ms);
    }
    simulation.time.advance(1s);
    auto const add = [&](char const* name)
    {
        out.add(
            std::string("claims.agent_memory_per_call.") + name +
                ".remembered_" + std::to_string(calls),
            "bytes", double(mallinfo2().uordblks - before) / double(calls),
            double(simulation.runner.memory_bytes()) / double(calls));
    };
    add("result_kept");
    simulation.time.advance(simulation.policy.settings.call.result_kept_for);
    add("result_dropped");
}

} // namespace

int main()
{
    record_list out;
    for (unsigned const rate : {10u, 100u, 1000u})
        measure_store(out, rate);
    measure_latency(out);
    measure_cpu(out);
    for (std::size_t const calls : {1'000, 10'000, 100'000})
        measure_memory(out, calls);
    out.print();
}
