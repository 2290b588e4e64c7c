// Implements the commands of dotterellock-ctl on top of the platform
// interfaces. Single-threaded; keeps no state between commands.
#ifndef DOTTERELLOCK_CTL_COMMANDS_HPP
#define DOTTERELLOCK_CTL_COMMANDS_HPP

#include <functional>
#include <ostream>
#include <string>

#include <dotterellock/external_services.hpp>
#include <dotterellock/runtime.hpp>

#include "ctl/options.hpp"

namespace dotterellock
{

/// Dependencies of the commands that access the store: all but `validate`,
/// `explain` and `where`.
struct ctl_environment
{
    clock_source& clock;
    timer_service& timers;
    random_source& random;
    table_service& store;
    object_store& objects;
    dotterellock::fleet_view& fleet;
    std::function<void(std::function<bool()> done)> run_until;
    std::ostream& out;
    std::ostream& err;
};

/// True for commands that only read files; run_file_command executes them.
bool is_file_command(ctl_options const& options);
ctl_exit run_file_command(
    ctl_options const& options, std::ostream& out, std::ostream& err);

ctl_exit
run_store_command(ctl_options const& options, ctl_environment& environment);

/// The base version that the document names on its first line as
/// "# version N", the form that `history N` prints.
std::optional<configuration_version>
document_base_version(std::string const& document);

} // namespace dotterellock

#endif
