// The commands of dotterellock-ctl, behind the platform's interfaces. Single
// thread; no state beyond one command.
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

/// What a command acts through; the store is needed by all but `validate` and
/// `explain`.
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

/// True for commands that read files only; run_local carries them out.
bool is_local(ctl_options const& options);
ctl_exit
run_local(ctl_options const& options, std::ostream& out, std::ostream& err);

ctl_exit run_remote(ctl_options const& options, ctl_environment& environment);

/// "# version N" on the first line, as `history N` prints it.
std::optional<configuration_version> noted_base(std::string const& document);

} // namespace dotterellock

#endif
