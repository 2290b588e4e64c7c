// End-to-end benchmark with real processes on loopback. Latency is compared
// with a direct connection to the engine stand-in in the same run. Prints
// records as JSON.
//
// Index
//   process_usage    : CPU time and resident memory of a process
//   added latency    : through a router, compared with a direct connection
//   throughput       : tokens per CPU second of a router and an agent
//   memory           : idle, and per open generation
//   fault schedule   : several hundred generations while processes are killed
//                      and paused
//
// Usage: bench_whole_path [BUILD_DIR [latency|throughput|memory|idle|faults]]
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "../src/load/load_runner.hpp"
#include "../src/load/streaming_caller.hpp"
#include "../src/process/system_runtime.hpp"
#include "../standins/local_fleet.hpp"
#include "records.hpp"

namespace
{

using namespace dotterellock;
using bench::record_list;
using nlohmann::json;
using standins::child_process;
using standins::fleet_options;
using standins::local_fleet;
using std::chrono::milliseconds;

struct process_usage
{
    double cpu_seconds = 0;
    double resident_mib = 0;
};

process_usage usage_of(child_process const& p)
{
    std::string const root = "/proc/" + std::to_string(p.pid());
    std::ifstream stat(root + "/stat");
    std::string text;
    std::getline(stat, text);
    // Fields 14 and 15 are user and system time. The process name in field 2
    // may contain spaces, so parsing starts after its closing parenthesis.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 3; i < 14; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm(root + "/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    process_usage usage;
    usage.cpu_seconds =
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.resident_mib =
        resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
    return usage;
}

/// Disables the request rate limit, since all load comes from one
/// organisation.
constexpr char const* unlimited_organisations =
    "  organisation:\n    requests_per_second: 0\n";

load::experiment
steady_experiment(double rate, milliseconds duration, std::uint32_t tokens)
{
    load::experiment e;
    e.duration = duration;
    e.model = {local_fleet::model, "", local_fleet::model_version};
    load::arrival_class c;
    c.name = "steady";
    c.api_key = local_fleet::api_key;
    c.requests_per_second = rate;
    c.output_tokens = tokens;
    e.classes.push_back(c);
    return e;
}

load::load_result run_load(load::experiment const& e)
{
    counter_registry counters;
    monotonic_clock clock;
    auto executor = std::make_unique<curl_executor>(counters);
    load::load_runner runner(e, clock, *executor);
    auto result = runner.run();
    executor.reset(); // its handlers hold references to the runner
    return result;
}

// ---- added latency --------------------------------------------------------

void measure_added_latency(std::string const& binaries, record_list& records)
{
    fleet_options options;
    options.policy = unlimited_organisations;
    options.engines = 1;
    options.services = 0;
    options.step_ms = 10;
    auto const begin = std::chrono::steady_clock::now();
    local_fleet fleet(binaries, options);
    records.add(
        "start_time_1_engine_2_routers", "ms",
        std::chrono::duration<double, std::milli>(
            std::chrono::steady_clock::now() - begin)
            .count());
    auto e = steady_experiment(10, milliseconds(10000), 50);
    e.routers = {fleet.engine_url(0)};
    auto const direct = run_load(e);
    e.routers = {fleet.router_url(0)};
    auto const routed = run_load(e);
    struct quantile
    {
        char const* name;
        double share;
    };
    for (auto const& [name, share] :
         {quantile{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}})
    {
        auto const& r = routed.classes[0];
        auto const& d = direct.classes[0];
        records.add(
            std::string("first_token_") + name, "ms",
            r.first_token_ms.percentile(share),
            d.first_token_ms.percentile(share));
        records.add(
            std::string("token_gap_") + name, "ms",
            r.token_gap_ms.percentile(share), d.token_gap_ms.percentile(share));
    }
    records.add(
        "added_latency_answers_wrong_or_unfinished", "count",
        double(routed.classes[0].wrong + routed.classes[0].unfinished));
}

// ---- throughput and memory ------------------------------------------------

void measure_throughput(std::string const& binaries, record_list& records)
{
    fleet_options options;
    options.policy = unlimited_organisations;
    options.engines = 3;
    options.services = 0;
    // A single router has no peer to hold its journal, so every event id would
    // carry the longest tail. A production fleet has at least two routers.
    options.routers = 2;
    options.step_ms = 5;
    options.capacity = 64;
    options.answer_tokens = 400;
    local_fleet fleet(binaries, options);
    auto e = steady_experiment(100, milliseconds(10000), 400);
    e.routers = {fleet.router_url(0)};
    auto const before = usage_of(fleet.router(0));
    auto const agent_before = usage_of(fleet.agent(0));
    auto const result = run_load(e);
    auto const after = usage_of(fleet.router(0));
    auto const agent_after = usage_of(fleet.agent(0));
    double const tokens = double(result.classes[0].tokens);
    double const cpu = after.cpu_seconds - before.cpu_seconds;
    records.add("relayed_tokens", "count", tokens);
    records.add("relayed_tokens_per_second", "1/s", tokens / result.seconds);
    records.add("router_tokens_per_cpu_second", "1/s", tokens / cpu);
    records.add(
        "agent_tokens_per_cpu_second", "1/s",
        tokens / 3 / (agent_after.cpu_seconds - agent_before.cpu_seconds));
    records.add(
        "throughput_answers_wrong_or_unfinished", "count",
        double(result.classes[0].wrong + result.classes[0].unfinished));
}

void measure_memory(std::string const& binaries, record_list& records)
{
    constexpr unsigned open_generations = 300;
    fleet_options options;
    options.policy = unlimited_organisations;
    options.engines = 2;
    options.services = 0;
    options.routers = 1;
    options.capacity = open_generations;
    options.answer_tokens = 400;
    options.step_ms = 50;
    local_fleet fleet(binaries, options);
    auto const idle_router = usage_of(fleet.router(0));
    auto const idle_agent = usage_of(fleet.agent(0));
    std::vector<std::unique_ptr<load::streaming_caller>> callers;
    for (unsigned i = 0; i < open_generations; ++i)
    {
        load::caller_request r;
        r.routers = {fleet.router_url(0)};
        r.api_key = local_fleet::api_key;
        r.idempotency_key = "memory-" + std::to_string(i);
        r.model = "m@1";
        r.prompt = std::string(4000, 'p') + std::to_string(i);
        r.max_tokens = 400;
        callers.push_back(std::make_unique<load::streaming_caller>(r));
    }
    bool all_streaming = true;
    for (auto const& c : callers)
        all_streaming =
            c->wait_for_tokens(100, milliseconds(60000)) && all_streaming;
    auto const busy_router = usage_of(fleet.router(0));
    auto const busy_agent = usage_of(fleet.agent(0));
    records.add("router_idle_memory", "MiB", idle_router.resident_mib);
    records.add("agent_idle_memory", "MiB", idle_agent.resident_mib);
    if (!all_streaming)
        return; // the memory figures need all generations to be open
    records.add(
        "router_memory_per_open_generation_4000_byte_prompt", "KiB",
        1024 * (busy_router.resident_mib - idle_router.resident_mib) /
            open_generations);
    records.add(
        "agent_memory_per_open_generation_4000_byte_prompt", "KiB",
        1024 * (busy_agent.resident_mib - idle_agent.resident_mib) /
            (open_generations / 2.0));
}

void measure_idle_cpu(std::string const& binaries, record_list& records)
{
    fleet_options options;
    options.policy = unlimited_organisations;
    options.services = 0;
    local_fleet fleet(binaries, options);
    constexpr std::chrono::seconds window{5};
    auto const router_before = usage_of(fleet.router(0));
    auto const agent_before = usage_of(fleet.agent(0));
    std::this_thread::sleep_for(window);
    auto const router_after = usage_of(fleet.router(0));
    auto const agent_after = usage_of(fleet.agent(0));
    double const percent = 100.0 / double(window.count());
    records.add(
        "router_idle_cpu_3_endpoints", "% of a core",
        (router_after.cpu_seconds - router_before.cpu_seconds) * percent);
    records.add(
        "agent_idle_cpu_2_routers", "% of a core",
        (agent_after.cpu_seconds - agent_before.cpu_seconds) * percent);
}

// ---- fault schedule -------------------------------------------------------

/// Pauses or kills and restarts one process per round while generations run.
/// The third engine and the second router are never faulted.
class fault_injector
{
public:
    explicit fault_injector(local_fleet& fleet) : fleet_(fleet) {}

    void inject(unsigned round)
    {
        std::size_t const i = round % 2; // the third engine is never faulted
        switch (round % 5)
        {
        case 0:
            pause(fleet_.engine(i));
            break;
        case 1:
            pause(fleet_.agent(i));
            break;
        case 2:
            kill(fleet_.engine(i));
            fleet_.restart_engine(i);
            break;
        case 3:
            kill(fleet_.agent(i));
            fleet_.restart_agent(i);
            break;
        default:
            kill(fleet_.router(0));
            fleet_.restart_router(0);
            break;
        }
        ++faults_;
    }

    unsigned faults() const { return faults_; }

private:
    static constexpr milliseconds pause_length{2000};

    static void pause(child_process& p)
    {
        p.signal(SIGSTOP);
        std::this_thread::sleep_for(pause_length);
        p.signal(SIGCONT);
    }

    static void kill(child_process& p)
    {
        p.signal(SIGKILL);
        p.wait(pause_length);
    }

    local_fleet& fleet_;
    unsigned faults_ = 0;
};

void measure_fault_schedule(std::string const& binaries, record_list& records)
{
    constexpr unsigned rounds = 10;
    constexpr milliseconds between_faults{2500};
    fleet_options options;
    options.policy = unlimited_organisations;
    options.services = 0;
    options.answer_tokens = 150;
    local_fleet fleet(binaries, options);
    auto e = steady_experiment(10, milliseconds(40000), 150);
    e.routers = {fleet.router_url(0), fleet.router_url(1)};
    fault_injector injector(fleet);
    std::thread faults(
        [&]
        {
            for (unsigned round = 0; round < rounds; ++round)
            {
                std::this_thread::sleep_for(between_faults);
                injector.inject(round);
            }
        });
    auto const result = run_load(e);
    faults.join();
    auto const& c = result.classes[0];
    std::uint64_t refused = 0;
    for (auto const& entry : c.refused)
        refused += entry.second;
    records.add("faulted_generations_sent", "count", double(c.sent));
    records.add("faulted_faults_injected", "count", injector.faults());
    records.add("faulted_generations_complete", "count", double(c.complete));
    records.add("faulted_generations_wrong", "count", double(c.wrong));
    records.add(
        "faulted_generations_unfinished", "count", double(c.unfinished));
    records.add("faulted_generations_refused", "count", double(refused));
    records.add("faulted_caller_reconnects", "count", double(c.reconnects));
    records.add(
        "faulted_longest_gap_p95", "ms", c.longest_gap_ms.percentile(0.95));
    records.add(
        "faulted_longest_gap_p99", "ms", c.longest_gap_ms.percentile(0.99));
    records.add(
        "faulted_longest_gap_max", "ms", c.longest_gap_ms.percentile(1));
}

} // namespace

int main(int argc, char** argv)
{
    std::string const binaries = argc > 1 ? argv[1] : "build";
    std::string const selected_section = argc > 2 ? argv[2] : "";
    struct section
    {
        char const* name;
        void (*measure)(std::string const&, record_list&);
    };
    record_list records;
    try
    {
        for (auto const& [name, measure] :
             {section{"latency", measure_added_latency},
              {"throughput", measure_throughput},
              {"memory", measure_memory},
              {"idle", measure_idle_cpu},
              {"faults", measure_fault_schedule}})
        {
            if (selected_section.empty() || selected_section == name)
                measure(binaries, records);
        }
    }
    catch (std::exception const& e)
    {
        std::cerr << "bench_whole_path: " << e.what() << '\n';
        return 1;
    }
    records.print();
    return 0;
}
