#include "ctl/commands.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include <dotterellock/error.hpp>

#include "configuration/configuration_operator.hpp"
#include "configuration/line_diff.hpp"
#include "ctl/endpoint_operator.hpp"
#include "ctl/request_timeline.hpp"
#include "settings/fleet_document.hpp"

// Index
//   files         : validate, explain
//   configuration : diff, apply, status, history
//   endpoints     : drain, return, status
//   dispatch      : run_file_command, run_store_command

namespace dotterellock
{

namespace
{

constexpr std::size_t max_listed_processes = 20; // printed by name
constexpr std::string_view version_comment = "# version ";

std::string read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw usage_error("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Starts an asynchronous operation and runs the event loop until its callback
/// delivers the result.
template<typename Result, typename Start>
Result run_to_completion(ctl_environment& e, Start start)
{
    std::optional<Result> result;
    start([&result](Result r) { result = std::move(r); });
    e.run_until([&result] { return result.has_value(); });
    return std::move(*result);
}

// ---- files ----------------------------------------------------------------

ctl_exit validate(ctl_options const& o, std::ostream& out)
{
    std::string const& path = o.arguments[0];
    auto const exceptions =
        yaml_configuration_parser(path).exceptions(read_file(path));
    out << path << ": valid, " << exceptions.size() << " exception(s)\n";
    for (auto const& e : exceptions)
        out << "  " << e.name << " by " << e.owner << ": " << e.reason << "\n";
    return ctl_exit::ok;
}

bool is_id_character(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_' || c == '.';
}

/// True if the line contains the id as a whole word, not as part of another id.
bool contains_id(std::string const& line, std::string const& id)
{
    for (std::size_t at = line.find(id); at != std::string::npos;
         at = line.find(id, at + 1))
    {
        std::size_t const end = at + id.size();
        bool const begins = at == 0 || !is_id_character(line[at - 1]);
        bool const ends = end == line.size() || !is_id_character(line[end]);
        if (begins && ends)
            return true;
    }
    return false;
}

ctl_exit explain(ctl_options const& o, std::ostream& out, std::ostream& err)
{
    std::string const& id = o.arguments[0];
    request_timeline timeline(id);
    std::size_t found = 0;
    for (std::size_t i = 1; i < o.arguments.size(); ++i)
    {
        bool const standard_input = o.arguments[i] == "-";
        std::ostringstream text;
        if (standard_input)
            text << std::cin.rdbuf();
        std::istringstream lines(
            standard_input ? text.str() : read_file(o.arguments[i]));
        timeline.read(lines);
        lines.clear();
        lines.seekg(0);
        // Lines with time_ms belong to the timeline; any other line is printed
        // as it stands if it contains the id.
        for (std::string line; std::getline(lines, line);)
        {
            bool const has_time = !log_field(line, "time_ms").empty();
            if (has_time || !contains_id(line, id))
                continue;
            out << line << "\n";
            ++found;
        }
    }
    for (auto const& line : timeline.entries())
    {
        out << (line.names_request_id ? "* " : "  ") << line.offset.count()
            << " ms  " << line.text << "\n";
        ++found;
    }
    if (found != 0)
        return ctl_exit::ok;
    err << "no decision about " << id << " in the given files\n";
    return ctl_exit::not_found;
}

// ---- configuration --------------------------------------------------------

void print_fleet_progress(std::ostream& out, rollout_status const& fleet)
{
    out << "in force: " << fleet.in_force << " of " << fleet.live
        << " live processes\n";
    std::size_t const shown =
        std::min(fleet.missing.size(), max_listed_processes);
    for (std::size_t i = 0; i < shown; ++i)
    {
        auto const& m = fleet.missing[i];
        out << "missing: " << m.peer.value() << " (has " << m.in_force << ")\n";
    }
    if (shown < fleet.missing.size())
        out << "missing: " << fleet.missing.size() - shown << " more\n";
}

void print_record(std::ostream& out, version_record const& r)
{
    out << "version " << r.version << " of " << r.recorded_at << " by "
        << r.author << "\n";
}

configuration_status print_recorded_version(ctl_environment& e)
{
    yaml_configuration_parser const parser;
    configuration_operator op(
        e.clock, e.timers, e.random, e.store, e.objects, e.fleet, parser);
    auto status = run_to_completion<configuration_status>(
        e, [&op](auto done) { op.status(done); });
    if (!status.problem.empty())
        e.err << status.problem << "\n";
    else if (status.record)
        print_record(e.out, *status.record);
    else
        e.out << "no version is recorded\n";
    return status;
}

ctl_exit diff(ctl_options const& o, ctl_environment& e)
{
    std::string const document = read_file(o.arguments[0]);
    auto const status = print_recorded_version(e);
    if (!status.problem.empty())
        return ctl_exit::unavailable;
    e.out << line_diff(status.document, document);
    return ctl_exit::ok;
}

ctl_exit report(apply_result const& result, ctl_environment& e)
{
    switch (result.outcome)
    {
    case apply_outcome::accepted:
        e.out << "version " << result.version << " accepted: in force at all "
              << result.fleet.live << " live processes\n";
        return ctl_exit::ok;
    case apply_outcome::recorded:
        e.out << "version " << result.version << " recorded\n";
        return ctl_exit::ok;
    case apply_outcome::superseded:
        e.out << "version " << result.version
              << " recorded, then superseded: " << result.detail << "\n";
        return ctl_exit::ok;
    case apply_outcome::not_accepted:
        e.err << "version " << result.version
              << " is recorded but not accepted: " << result.detail << "\n";
        print_fleet_progress(e.err, result.fleet);
        return ctl_exit::not_in_force;
    case apply_outcome::conflict:
        e.err << "not recorded: " << result.detail
              << "; the difference from it to the document is\n"
              << result.diff << "review it and apply with --base "
              << result.version << "\n";
        return ctl_exit::conflict;
    case apply_outcome::unavailable:
        e.err << "not recorded: " << result.detail << "\n";
        return ctl_exit::unavailable;
    case apply_outcome::unknown:
        e.err << "outcome unknown: " << result.detail << "\n";
        return ctl_exit::unknown;
    }
    return ctl_exit::internal;
}

ctl_exit apply(ctl_options const& o, ctl_environment& e)
{
    apply_request request;
    request.document = read_file(o.arguments[0]);
    request.author = o.author;
    request.base = o.base ? o.base : document_base_version(request.document);
    request.wait = o.wait;
    request.time_limit = o.time_limit;
    if (request.author.empty())
        throw usage_error("--author is required");
    yaml_configuration_parser const parser(o.arguments[0]);
    configuration_operator op(
        e.clock, e.timers, e.random, e.store, e.objects, e.fleet, parser);
    std::size_t shown = 0;
    auto const progress = [&e, &shown](rollout_status const& fleet)
    {
        if (fleet.in_force == shown && shown != 0)
            return;
        shown = fleet.in_force;
        e.out << "in force: " << fleet.in_force << " of " << fleet.live << "\n";
    };
    return report(
        run_to_completion<apply_result>(
            e, [&](auto done) { op.apply(request, progress, done); }),
        e);
}

ctl_exit status(ctl_environment& e)
{
    auto const status = print_recorded_version(e);
    if (!status.problem.empty())
        return ctl_exit::unavailable;
    print_fleet_progress(e.out, status.fleet);
    e.out << (status.fleet.accepted() ? "accepted\n" : "not accepted\n");
    return status.fleet.accepted() ? ctl_exit::ok : ctl_exit::not_in_force;
}

ctl_exit history(ctl_options const& o, ctl_environment& e)
{
    bool const single_version = !o.arguments.empty();
    std::string const requested_version = single_version ? o.arguments[0] : "";
    yaml_configuration_parser const parser;
    configuration_operator op(
        e.clock, e.timers, e.random, e.store, e.objects, e.fleet, parser);
    // A single version can be at any position of the history.
    std::size_t const limit = single_version ? std::size_t{1000000} : o.limit;
    auto const result = run_to_completion<history_result>(
        e, [&](auto done) { op.history(limit, done); });
    for (auto const& entry : result.entries)
    {
        if (!single_version)
            print_record(e.out, entry.record);
        else if (std::to_string(entry.record.version) == requested_version)
        {
            e.out << version_comment << requested_version << "\n";
            bool const has_version_line =
                document_base_version(entry.document).has_value();
            std::size_t const from =
                has_version_line ? entry.document.find('\n') + 1 : 0;
            e.out << entry.document.substr(from);
            return ctl_exit::ok;
        }
    }
    if (!result.problem.empty())
    {
        e.err << result.problem << "\n";
        return ctl_exit::unavailable;
    }
    if (!single_version)
        return ctl_exit::ok;
    e.err << "no version " << requested_version << "\n";
    return ctl_exit::not_found;
}

// ---- endpoints ------------------------------------------------------------

/// Prints the state of the agent's last report, which can be older than the
/// desired state.
void print_registration_state(std::ostream& out, registration_record const& r)
{
    out << (r.left       ? "left"
            : r.draining ? "draining"
                         : "in service")
        << ", in flight: " << r.in_flight << "\n";
}

void print_endpoint(std::ostream& out, endpoint_status const& s)
{
    if (!s.registered)
    {
        out << "not registered\n";
        return;
    }
    auto const& r = *s.registered;
    out << r.info.endpoint.value() << " at " << r.info.host.value() << ", zone "
        << r.info.zone.value() << ", incarnation " << r.incarnation
        << ", refreshed " << r.refreshed_at << "\n";
    for (auto const& m : r.info.models)
        out << "model: " << to_string(m) << "\n";
    for (auto const& service : r.info.services)
        out << "service: " << service.value() << "\n";
    print_registration_state(out, r);
    if (s.desired.drain)
    {
        out << "drain wanted by " << s.desired.author << " since "
            << s.desired.requested_at << ": " << s.desired.reason << "\n";
    }
}

ctl_exit endpoint_status_command(ctl_options const& o, ctl_environment& e)
{
    endpoint_operator op(e.clock, e.timers, e.random, e.store);
    auto const status = run_to_completion<endpoint_status>(
        e, [&](auto done) { op.status(endpoint_id(o.arguments[1]), done); });
    if (!status.answered)
    {
        e.err << "no answer from the store\n";
        return ctl_exit::unavailable;
    }
    print_endpoint(e.out, status);
    return status.registered ? ctl_exit::ok : ctl_exit::not_found;
}

ctl_exit report(
    endpoint_change_outcome outcome, endpoint_status const& s,
    ctl_environment& e)
{
    switch (outcome)
    {
    case endpoint_change_outcome::done:
        e.out << "done\n";
        return ctl_exit::ok;
    case endpoint_change_outcome::recorded:
        e.out << "recorded\n";
        return ctl_exit::ok;
    case endpoint_change_outcome::timed_out:
        e.err << "recorded, but not done in time\n";
        print_endpoint(e.err, s);
        return ctl_exit::not_in_force;
    case endpoint_change_outcome::conflict:
        e.err << s.desired.author
              << " changed it first: " << (s.desired.drain ? "drain" : "return")
              << ", " << s.desired.reason << "\n";
        return ctl_exit::conflict;
    case endpoint_change_outcome::unavailable:
        e.err << "not recorded: no answer from the store\n";
        return ctl_exit::unavailable;
    case endpoint_change_outcome::unknown:
        e.err << "outcome unknown: no answer from the store\n";
        return ctl_exit::unknown;
    case endpoint_change_outcome::not_found:
        e.err << "no such endpoint is registered\n";
        return ctl_exit::not_found;
    }
    return ctl_exit::internal;
}

ctl_exit endpoint(ctl_options const& o, ctl_environment& e)
{
    if (o.arguments[0] == "status")
        return endpoint_status_command(o, e);
    endpoint_change_request request;
    request.endpoint = endpoint_id(o.arguments[1]);
    request.drain = o.arguments[0] == "drain";
    request.author = o.author;
    request.reason = o.reason;
    request.wait = o.wait;
    request.time_limit = o.time_limit;
    if (request.author.empty() || request.reason.empty())
        throw usage_error("--author and --reason are required");
    endpoint_operator op(e.clock, e.timers, e.random, e.store);
    auto const progress = [&e](endpoint_status const& s)
    {
        if (s.registered)
            print_registration_state(e.out, *s.registered);
    };
    using change_result = std::pair<endpoint_change_outcome, endpoint_status>;
    auto const result = run_to_completion<change_result>(
        e,
        [&](auto done)
        {
            op.change(
                request, progress,
                [done](endpoint_change_outcome outcome, endpoint_status s) {
                    done({outcome, std::move(s)});
                });
        });
    return report(result.first, result.second, e);
}

} // namespace

// ---- dispatch -------------------------------------------------------------

std::optional<configuration_version>
document_base_version(std::string const& document)
{
    if (document.compare(0, version_comment.size(), version_comment) != 0)
        return std::nullopt;
    char const* const begin = document.data() + version_comment.size();
    char const* const end = document.data() + document.size();
    configuration_version version = 0;
    auto const [last, problem] = std::from_chars(begin, end, version);
    bool const complete_line =
        problem == std::errc() && last != end && *last == '\n';
    return complete_line ? std::optional(version) : std::nullopt;
}

bool is_file_command(ctl_options const& options)
{
    return options.command == "validate" || options.command == "explain";
}

ctl_exit run_file_command(
    ctl_options const& options, std::ostream& out, std::ostream& err)
{
    try
    {
        return options.command == "validate" ? validate(options, out)
                                             : explain(options, out, err);
    }
    catch (usage_error const& e)
    {
        err << e.what() << "\n";
    }
    catch (error const& e)
    {
        err << e.detail() << "\n";
    }
    return ctl_exit::usage;
}

ctl_exit
run_store_command(ctl_options const& options, ctl_environment& environment)
{
    try
    {
        if (options.command == "diff")
            return diff(options, environment);
        if (options.command == "apply")
            return apply(options, environment);
        if (options.command == "status")
            return status(environment);
        if (options.command == "history")
            return history(options, environment);
        return endpoint(options, environment);
    }
    catch (usage_error const& e)
    {
        environment.err << e.what() << "\n";
    }
    catch (error const& e)
    {
        environment.err << e.detail() << "\n";
    }
    return ctl_exit::usage;
}

} // namespace dotterellock
