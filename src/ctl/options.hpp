// Parses the command line of dotterellock-ctl. Keeps no state.
#ifndef DOTTERELLOCK_CTL_OPTIONS_HPP
#define DOTTERELLOCK_CTL_OPTIONS_HPP

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <dotterellock/configuration.hpp>

namespace dotterellock
{

/// Exit codes of the process, one for each kind of failure.
enum class ctl_exit
{
    ok = 0,
    internal = 1,
    usage = 2,        // invalid command line or document
    conflict = 3,     // another operator's change came first
    unavailable = 4,  // the store or gateway did not answer; nothing changed
    not_in_force = 5, // recorded, but not in force everywhere in time
    unknown = 6,      // may or may not have been recorded
    not_found = 7
};

/// The question of `where`.
struct placement_options
{
    std::string gateway_url;
    std::vector<std::pair<std::string, std::string>> parameters; // as given
    bool json = false;
};

struct ctl_options
{
    bool help = false;
    bool version = false;
    std::string table_url;
    std::string objects_url;
    std::string fleet_url;
    std::string author;
    std::string reason;
    std::optional<configuration_version> base;
    bool wait = true;
    std::chrono::seconds time_limit{90};
    std::size_t limit = 20;
    placement_options placement;
    std::string command;
    std::vector<std::string> arguments;
};

class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::string ctl_help();

/// @param arguments  the command line without the program's name
/// Throws usage_error.
ctl_options parse_ctl_options(std::vector<std::string> const& arguments);

} // namespace dotterellock

#endif
