#include "program.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include <dotterellock/error.hpp>

namespace dotterellock
{

namespace
{

cxxopts::Options make_options(program const& p)
{
    cxxopts::Options options(p.name, p.purpose);
    auto add = options.add_options();
    add("config", "settings file (YAML)", cxxopts::value<std::string>());
    add("check", "check the settings and exit");
    add("print-effective", "print the settings in force and exit");
    add("help", "show this text");
    add("version", "show the version");
    return options;
}

std::string read_file(std::string const& name)
{
    std::ifstream in(name);
    std::ostringstream text;
    if (in)
        text << in.rdbuf();
    if (!in)
    {
        throw error(
            error_code::invalid_argument, "read_settings", "",
            name + ": cannot be read");
    }
    return text.str();
}

int fail(program const& p, exit_code code, std::string const& what)
{
    std::cerr << p.name << ": " << what << '\n';
    return static_cast<int>(code);
}

/// Path of the settings file from the option or the environment; empty if
/// neither is set.
std::string settings_file(program const& p, cxxopts::ParseResult const& args)
{
    if (args.count("config") != 0)
        return args["config"].as<std::string>();
    char const* const named = p.settings_variable == nullptr
                                  ? nullptr
                                  : std::getenv(p.settings_variable);
    return named == nullptr ? "" : named;
}

int run_with_settings(program const& p, cxxopts::ParseResult const& args)
{
    auto const file = settings_file(p, args);
    std::string text;
    std::string effective;
    try
    {
        text = read_file(file);
        effective = p.effective(text, file);
    }
    catch (error const& e)
    {
        return fail(p, exit_code::settings, e.detail());
    }
    if (args.count("print-effective") != 0)
        std::cout << effective;
    else if (args.count("check") != 0)
        std::cout << file << ": ok\n";
    else
        p.run(text, file);
    return static_cast<int>(exit_code::ok);
}

} // namespace

int run_program(program const& p, int argc, char const* const* argv)
{
    auto options = make_options(p);
    try
    {
        auto const args = options.parse(argc, argv);
        if (args.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return static_cast<int>(exit_code::ok);
        }
        if (args.count("version") != 0)
        {
            std::cout << p.name << ' ' << DOTTERELLOCK_VERSION << '\n';
            return static_cast<int>(exit_code::ok);
        }
        if (!args.unmatched().empty() || settings_file(p, args).empty())
            return fail(p, exit_code::usage, "--config FILE is required");
        return run_with_settings(p, args);
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        return fail(p, exit_code::usage, e.what());
    }
    catch (std::exception const& e)
    {
        return fail(p, exit_code::runtime, e.what());
    }
}

} // namespace dotterellock
