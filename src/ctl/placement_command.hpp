// The command `where`: asks a gateway where it would place a request, and
// prints the answer.
#ifndef DOTTERELLOCK_CTL_PLACEMENT_COMMAND_HPP
#define DOTTERELLOCK_CTL_PLACEMENT_COMMAND_HPP

#include <functional>
#include <ostream>
#include <string>

#include "ctl/options.hpp"
#include "ctl/status_reader.hpp"

namespace dotterellock
{

/// True for the command that needs a gateway instead of the store.
bool is_gateway_command(ctl_options const& options);

/// Path and query of the question that the options describe.
std::string placement_target(placement_options const& options);

/// @param run_until  runs the event loop
ctl_exit run_gateway_command(
    ctl_options const& options, status_reader& gateway,
    std::function<void(std::function<bool()> done)> const& run_until,
    std::ostream& out, std::ostream& err);

} // namespace dotterellock

#endif
