// An agent process: one object graph beside one endpoint.
#ifndef DOTTERELLOCK_PROCESS_AGENT_PROCESS_HPP
#define DOTTERELLOCK_PROCESS_AGENT_PROCESS_HPP

#include "program_settings.hpp"

namespace dotterellock
{

/// Runs until a signal ends it. Throws when it cannot start.
void run_agent(agent_settings const& settings);

} // namespace dotterellock

#endif
