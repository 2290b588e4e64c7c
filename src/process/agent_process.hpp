// An agent process, which serves one endpoint.
#ifndef DOTTERELLOCK_PROCESS_AGENT_PROCESS_HPP
#define DOTTERELLOCK_PROCESS_AGENT_PROCESS_HPP

#include "program_settings.hpp"

namespace dotterellock
{

/// Runs until a signal stops it. Throws if it cannot start.
void run_agent(agent_settings const& settings);

} // namespace dotterellock

#endif
