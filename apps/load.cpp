// dotterellock-load: runs a load experiment against routers and writes a
// report.
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include <cxxopts.hpp>

#include <dotterellock/error.hpp>

#include "../src/load/load_runner.hpp"
#include "../src/process/system_runtime.hpp"

namespace
{

using namespace dotterellock;

constexpr int exit_ok = 0;
constexpr int exit_runtime = 1; // also for wrong or unfinished answers
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "dotterellock-load", "Open-loop load with a check of every answer.");
    auto add = options.add_options();
    add("experiment", "YAML file", cxxopts::value<std::string>());
    add("routers", "base URLs that replace the file's",
        cxxopts::value<std::vector<std::string>>());
    add("json", "write the results to this file",
        cxxopts::value<std::string>());
    add("html", "write a report with plots to this file",
        cxxopts::value<std::string>());
    add("check", "read the experiment, then end");
    add("help", "show this text");
    add("version", "show the version");
    return options;
}

std::string read_file(std::string const& path)
{
    std::ifstream in(path);
    if (!in)
        throw error(
            error_code::invalid_argument, "read_file", "",
            "cannot read '" + path + "'");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream out(path);
    out << text;
    out.close();
    if (!out)
        throw error(
            error_code::internal_error, "write_file", "",
            "cannot write '" + path + "'");
}

int run(cxxopts::ParseResult const& args)
{
    auto const file = args["experiment"].as<std::string>();
    auto experiment = load::parse_experiment(read_file(file), file);
    if (args.count("check") != 0)
        return exit_ok;
    if (args.count("routers") != 0)
        experiment.routers = args["routers"].as<std::vector<std::string>>();
    counter_registry counters;
    monotonic_clock clock;
    auto executor = std::make_unique<curl_executor>(counters);
    load::load_runner runner(experiment, clock, *executor);
    load::load_result const result = runner.run();
    executor.reset(); // before the runner, which its handlers refer to
    std::string const json = load::to_json(experiment, result);
    if (args.count("json") != 0)
        write_file(args["json"].as<std::string>(), json);
    else
        std::cout << json << '\n';
    if (args.count("html") != 0)
        write_file(
            args["html"].as<std::string>(), load::to_html(experiment, result));
    return result.all_answers_correct() ? exit_ok : exit_runtime;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        auto const args = options.parse(argc, argv);
        if (args.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return exit_ok;
        }
        if (args.count("version") != 0)
        {
            std::cout << "dotterellock-load " DOTTERELLOCK_VERSION "\n";
            return exit_ok;
        }
        if (args.count("experiment") == 0)
        {
            std::cerr << "dotterellock-load: --experiment is required\n";
            return exit_usage;
        }
        return run(args);
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        std::cerr << "dotterellock-load: " << e.what() << '\n';
        return exit_usage;
    }
    catch (error const& e)
    {
        std::cerr << "dotterellock-load: " << e.what() << '\n';
        return e.code() == error_code::invalid_argument ? exit_settings
                                                        : exit_runtime;
    }
    catch (std::exception const& e)
    {
        std::cerr << "dotterellock-load: " << e.what() << '\n';
        return exit_runtime;
    }
}
