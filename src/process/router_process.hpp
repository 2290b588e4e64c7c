// A router process: shards, transport and HTTP server on one io_context.
#ifndef DOTTERELLOCK_PROCESS_ROUTER_PROCESS_HPP
#define DOTTERELLOCK_PROCESS_ROUTER_PROCESS_HPP

#include "program_settings.hpp"

namespace dotterellock
{

/// Runs until a signal stops it. Throws if it cannot start.
void run_router(router_settings const& settings);

} // namespace dotterellock

#endif
