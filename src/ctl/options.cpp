#include "ctl/options.hpp"

#include <array>
#include <map>

#include <cxxopts.hpp>

namespace dotterellock
{

namespace
{

/// The number of arguments that a command accepts.
struct argument_count_range
{
    std::size_t min;
    std::size_t max;
};

constexpr std::size_t max_arguments = 1000;

/// An option of `where` and the parameter that it becomes. The gateway checks
/// the values, which depend on its configuration.
struct placement_parameter
{
    char const* option;
    char const* name;
    char const* description;
};

constexpr std::array<placement_parameter, 10> placement_parameters{{
    {"route", "route", "name of the request's route, or host and path"},
    {"host", "host", "host of the request"},
    {"path", "path", "path of the request"},
    {"service", "service", "target of the route; default: the heaviest"},
    {"organisation", "organisation", "name of the caller's organisation"},
    {"prompt-tokens", "prompt_tokens", "tokens of the prompt"},
    {"output-tokens", "output_tokens", "upper limit of the answer's tokens"},
    {"last-part", "last_part", "id of the prompt's last part"},
    {"shared-parts", "shared_parts", "ids of the parts before it, A,B,..."},
    {"deadline-ms", "deadline_ms", "how long the caller waits"},
}};

std::map<std::string, argument_count_range> const& commands()
{
    static std::map<std::string, argument_count_range> const known = {
        {"validate", {1, 1}}, {"diff", {1, 1}},
        {"apply", {1, 1}},    {"status", {0, 0}},
        {"history", {0, 1}},  {"explain", {2, max_arguments}},
        {"endpoint", {2, 2}}, {"where", {0, 0}}};
    return known;
}

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "dotterellock-ctl", "Operates a dotterellock fleet.");
    options.custom_help("[OPTIONS]");
    options.positional_help(
        "COMMAND\n\n"
        "Commands:\n"
        "  validate FILE            check a configuration document\n"
        "  diff FILE                compare it with the current version\n"
        "  apply FILE               record it and wait until it is in force\n"
        "  status                   current version and who lacks it\n"
        "  history [VERSION]        list versions, or print one\n"
        "  explain REQUEST_ID FILE...  what was decided about a request, from\n"
        "                           logs; - reads standard input\n"
        "  endpoint drain|return|status ID\n"
        "  where                    where a gateway would place a request now\n"
        "                           and why; needs --gateway and --route, or\n"
        "                           --host and --path\n\n"
        "Exit codes: 0 ok, 1 internal error, 2 usage or invalid document,\n"
        "  3 conflict, 4 store or gateway unavailable, 5 not in force "
        "everywhere,\n"
        "  6 outcome unknown, 7 not found");
    options.add_options()("h,help", "show this text")(
        "version", "show the version of the program")(
        "table", "URL of the table service; also DOTTERELLOCK_TABLE",
        cxxopts::value<std::string>())(
        "objects", "URL of the object store; also DOTTERELLOCK_OBJECTS",
        cxxopts::value<std::string>())(
        "fleet", "URL of the fleet view; also DOTTERELLOCK_FLEET",
        cxxopts::value<std::string>())(
        "author", "who changes something; also USER",
        cxxopts::value<std::string>())(
        "reason", "why an endpoint is drained or returned",
        cxxopts::value<std::string>())(
        "base",
        "version that the document was made from; also its first line, "
        "'# version N', as history prints it",
        cxxopts::value<configuration_version>())(
        "no-wait", "do not wait until the change is in force")(
        "time-limit", "seconds to wait",
        cxxopts::value<unsigned>()->default_value("90"))(
        "limit", "number of versions that history lists",
        cxxopts::value<std::size_t>()->default_value("20"))(
        "gateway",
        "URL of a gateway's status address; also DOTTERELLOCK_GATEWAY",
        cxxopts::value<std::string>())(
        "json", "print the answer of `where` as JSON")(
        "words", "", cxxopts::value<std::vector<std::string>>());
    for (auto const& p : placement_parameters)
        options.add_options()(
            p.option, std::string("of `where`: ") + p.description,
            cxxopts::value<std::string>());
    options.parse_positional({"words"});
    return options;
}

void check_argument_count(ctl_options const& o)
{
    auto const found = commands().find(o.command);
    if (found == commands().end())
    {
        throw usage_error(
            o.command.empty() ? "no command is given"
                              : "unknown command '" + o.command + "'");
    }
    std::size_t const n = o.arguments.size();
    if (n < found->second.min || n > found->second.max)
        throw usage_error("wrong number of arguments for " + o.command);
    bool const known_action =
        o.command != "endpoint" || o.arguments[0] == "drain" ||
        o.arguments[0] == "return" || o.arguments[0] == "status";
    if (!known_action)
        throw usage_error("endpoint takes drain, return or status");
}

std::string option_or_environment(
    cxxopts::ParseResult const& parsed, char const* name, char const* variable)
{
    if (parsed.count(name) != 0)
        return parsed[name].as<std::string>();
    // std::getenv is safe here: no other thread has started yet.
    char const* const value = std::getenv(variable);
    return value == nullptr ? "" : value;
}

ctl_options to_ctl_options(cxxopts::ParseResult const& parsed)
{
    ctl_options o;
    o.help = parsed.count("help") != 0;
    o.version = parsed.count("version") != 0;
    o.table_url = option_or_environment(parsed, "table", "DOTTERELLOCK_TABLE");
    o.objects_url =
        option_or_environment(parsed, "objects", "DOTTERELLOCK_OBJECTS");
    o.fleet_url = option_or_environment(parsed, "fleet", "DOTTERELLOCK_FLEET");
    o.author = option_or_environment(parsed, "author", "USER");
    o.reason = option_or_environment(parsed, "reason", "DOTTERELLOCK_REASON");
    if (parsed.count("base") != 0)
        o.base = parsed["base"].as<configuration_version>();
    o.wait = parsed.count("no-wait") == 0;
    o.time_limit = std::chrono::seconds(parsed["time-limit"].as<unsigned>());
    o.limit = parsed["limit"].as<std::size_t>();
    o.placement.gateway_url =
        option_or_environment(parsed, "gateway", "DOTTERELLOCK_GATEWAY");
    o.placement.json = parsed.count("json") != 0;
    for (auto const& p : placement_parameters)
    {
        if (parsed.count(p.option) != 0)
            o.placement.parameters.emplace_back(
                p.name, parsed[p.option].as<std::string>());
    }
    if (parsed.count("words") != 0)
        o.arguments = parsed["words"].as<std::vector<std::string>>();
    if (!o.arguments.empty())
    {
        o.command = o.arguments.front();
        o.arguments.erase(o.arguments.begin());
    }
    return o;
}

} // namespace

std::string ctl_help()
{
    return make_options().help();
}

ctl_options parse_ctl_options(std::vector<std::string> const& arguments)
{
    std::vector<char const*> argv{"dotterellock-ctl"};
    for (auto const& argument : arguments)
        argv.push_back(argument.c_str());
    try
    {
        auto options = make_options();
        ctl_options const o = to_ctl_options(
            options.parse(static_cast<int>(argv.size()), argv.data()));
        if (!o.help && !o.version)
            check_argument_count(o);
        return o;
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        throw usage_error(e.what());
    }
}

} // namespace dotterellock
