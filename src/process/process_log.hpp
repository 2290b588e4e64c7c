// Log lines and transport settings that router and agent processes share.
#ifndef DOTTERELLOCK_PROCESS_PROCESS_LOG_HPP
#define DOTTERELLOCK_PROCESS_PROCESS_LOG_HPP

#include <exception>
#include <string>

#include "wire/tcp_peer_transport.hpp"

namespace dotterellock
{

/// An exception that ended a posted function.
void log_exception(std::exception const& e);

/// Settings that log why connections end.
tcp_transport_settings
transport_settings(peer_id const& self, std::string const& listen_address);

} // namespace dotterellock

#endif
