// dotterellock-soak: injects the faults of each seed into real gateway
// processes and reports broken promises. Exit status: 0 success, 1 at least one
// seed failed, 2 usage error or exception.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>

#include <unistd.h>

#include <cxxopts.hpp>

#include "promise_checker.hpp"
#include "soak_environment.hpp"
#include "support/manual_scheduler.hpp"

namespace
{

using namespace dotterellock;
using namespace dotterellock::soak;

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

void print_plan(std::vector<planned_fault> const& plan)
{
    for (auto const& f : plan)
        std::cout << "  at_ms=" << f.at.count() << " fault=" << f.kind->name
                  << " subject=" << f.target_index
                  << " length_ms=" << f.length.count() << '\n';
}

std::int64_t time_in_run(history const& h, steady_time t)
{
    auto const begin = h.processes.front().started;
    return std::chrono::duration_cast<milliseconds>(t - begin).count();
}

/// Prints the attempt and endpoint runs of a request.
void print_request(history const& h, std::string const& id)
{
    auto const ms = [&h](steady_time t) { return time_in_run(h, t); };
    for (auto const& a : h.attempts)
    {
        if (a.id == id)
            std::cout << "  " << id << " path=" << a.path << " key=" << a.key
                      << " gateway=" << a.gateway << '.' << a.process
                      << " sent=" << ms(a.sent)
                      << " whole=" << (a.whole ? ms(*a.whole) : -1)
                      << " behind=" << a.behind << " slow=" << a.slow
                      << " ended=" << (a.ended ? ms(*a.ended) : -1)
                      << " status=" << a.status << " complete=" << a.complete
                      << " left=" << a.left << " events=" << a.events.size()
                      << " after=" << a.last_event.value_or(0) << '\n';
    }
    for (auto const& r : h.runs)
    {
        if (r.id == id)
            std::cout << "    at " << r.endpoint << " arrived=" << ms(r.arrived)
                      << " ended=" << (r.ended ? ms(*r.ended) : -1)
                      << " ran=" << r.ran << " status=" << r.status
                      << " answered=" << r.answered << " version=" << r.version
                      << " after=" << r.last_event.value_or(0) << '\n';
    }
}

/// Prints a request, and all faults and stops.
void print_trace(history const& h, std::string const& id)
{
    auto const ms = [&h](steady_time t) { return time_in_run(h, t); };
    print_request(h, id);
    for (auto const& d : h.fault_intervals)
        std::cout << "    " << ms(d.from) << " to " << ms(d.to) << ' '
                  << d.scope << ' ' << d.kind << '\n';
    for (auto const& p : h.processes)
    {
        if (p.stop_requested && p.ended)
            std::cout << "    " << ms(*p.stop_requested) << " to "
                      << ms(*p.ended) << " gateway:" << p.gateway << " stop\n";
    }
}

/// The end of each order, with "!" if its version was bad.
std::string rollouts_text(history const& h)
{
    std::string text;
    for (auto const& r : h.rollouts)
        text += (text.empty() ? "" : ",") + r.service + ':' +
                (r.bad ? "!" : "") + (r.state.empty() ? "-" : r.state);
    return text.empty() ? "-" : text;
}

void print_outcome(
    std::uint64_t seed, soak_environment const& environment,
    std::vector<planned_fault> const& plan,
    std::vector<violation> const& violations)
{
    auto const& h = environment.recorded_history();
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t left = 0;
    for (auto const& a : h.attempts)
    {
        served += a.status == 200 && a.complete ? 1 : 0;
        refused += a.status == 503 || a.status == 429 ? 1 : 0;
        left += a.left ? 1 : 0;
    }
    std::cout << "seed=" << seed << " faults=" << plan.size()
              << " processes=" << h.processes.size()
              << " requests=" << h.attempts.size() << " served=" << served
              << " refused=" << refused << " left=" << left
              << " stalls=" << environment.stalls()
              << " rollouts=" << rollouts_text(h)
              << " broken_promises=" << violations.size() << '\n';
    constexpr std::size_t max_shown = 5; // of one promise
    std::map<std::string, std::size_t> shown;
    for (auto const& v : violations)
    {
        if (++shown[v.promise] > max_shown)
            continue;
        std::cout << "  broken: " << v.promise << ": " << v.detail << '\n';
        print_request(h, v.detail.substr(0, v.detail.find_first_of(": ")));
    }
}

int run(int argc, char** argv)
{
    cxxopts::Options options(
        "dotterellock-soak", "Injects faults into real gateway processes and "
                             "checks their promises.");
    // clang-format off
    options.add_options()
        ("s,seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))
        ("n,seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))
        ("t,seconds", "duration of fault injection", cxxopts::value<unsigned>()->default_value("20"))
        ("g,gateways", "number of gateways", cxxopts::value<unsigned>()->default_value("3"))
        ("r,rate", "requests per second", cxxopts::value<double>()->default_value("60"))
        ("f,faults", "comma-separated fault kinds to select from; empty for all", cxxopts::value<std::string>()->default_value(""))
        ("p,program", "path of the gateway binary", cxxopts::value<std::string>())
        ("b,break", "promise to break; the program must be dotterellock-broken-gateway", cxxopts::value<std::string>()->default_value(""))
        ("e,expect", "succeed only if this promise is broken", cxxopts::value<std::string>()->default_value(""))
        ("d,directory", "directory for settings and logs", cxxopts::value<std::string>())
        ("trace", "comma-separated ids of requests to print, with all faults", cxxopts::value<std::string>()->default_value(""))
        ("v,verbose", "print each fault plan")
        ("h,help", "print this help");
    // clang-format on
    auto const given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    for (char const* required : {"program", "directory"})
    {
        if (given.count(required) == 0)
        {
            std::cerr << "dotterellock-soak: --" << required
                      << " is required\n";
            return 2;
        }
    }
    soak_settings settings;
    settings.gateways = given["gateways"].as<unsigned>();
    settings.requests_per_second = given["rate"].as<double>();
    settings.faults_for = std::chrono::seconds(given["seconds"].as<unsigned>());
    auto const only = split(given["faults"].as<std::string>());
    for (auto const& name : only)
    {
        auto const known = [&name](fault_kind const& k)
        { return name == k.name; };
        if (std::none_of(fault_kinds().begin(), fault_kinds().end(), known))
        {
            std::cerr << "dotterellock-soak: unknown fault kind: " << name
                      << '\n';
            return 2;
        }
    }
    std::size_t failed = 0;
    auto const first = given["seed"].as<std::uint64_t>();
    auto const seeds = given["seeds"].as<std::uint64_t>();
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        testing::seeded_random random(seed);
        auto const plan = plan_faults(
            random, settings.faults_for, settings.gateways,
            settings.engines + settings.plain_endpoints, only);
        gateway_program program;
        program.path = given["program"].as<std::string>();
        program.directory = given["directory"].as<std::string>() + "/seed-" +
                            std::to_string(seed) + '-' +
                            std::to_string(::getpid());
        std::filesystem::create_directories(program.directory);
        auto const broken = given["break"].as<std::string>();
        program.arguments = {broken.empty() ? "--config" : broken};
        if (given.count("verbose") != 0)
            print_plan(plan);
        soak_environment environment(settings, program, random);
        environment.run(plan);
        auto const violations = check_promises(environment.recorded_history());
        print_outcome(seed, environment, plan, violations);
        auto const traced = given["trace"].as<std::string>();
        for (auto const& id : split(traced))
            print_trace(environment.recorded_history(), id);
        auto const expected = given["expect"].as<std::string>();
        bool const found = std::any_of(
            violations.begin(), violations.end(),
            [&expected](violation const& v) { return v.promise == expected; });
        if (expected.empty() ? violations.empty() : found)
        {
            std::filesystem::remove_all(program.directory);
        }
        else
        {
            ++failed;
            std::cout << "  logs: " << program.directory << '\n';
        }
        std::cout << std::flush;
    }
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN); // writes to closed sockets return an error
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& e)
    {
        std::cerr << "dotterellock-soak: " << e.what() << '\n';
        return 2;
    }
}
