// Log lines and transport settings shared by router and agent processes.
#ifndef DOTTERELLOCK_PROCESS_PROCESS_LOG_HPP
#define DOTTERELLOCK_PROCESS_PROCESS_LOG_HPP

#include <exception>
#include <string>

#include "wire/tcp_peer_transport.hpp"

namespace dotterellock
{

/// Logs an exception thrown by a posted function.
void log_exception(std::exception const& e);

/// Transport settings with a callback that logs why connections end.
tcp_transport_settings
transport_settings(peer_id const& self, std::string const& listen_address);

} // namespace dotterellock

#endif
