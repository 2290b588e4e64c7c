// Socket options that detect a lost peer.
#ifndef DOTTERELLOCK_RELAY_SOCKET_OPTIONS_HPP
#define DOTTERELLOCK_RELAY_SOCKET_OPTIONS_HPP

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>
#include <utility>

#include <asio/ip/tcp.hpp>

namespace dotterellock
{

struct keep_alive_settings
{
    std::chrono::seconds idle;     // until the first probe
    std::chrono::seconds interval; // between probes
    int probes; // unacknowledged, before the connection is closed
    std::chrono::milliseconds user_timeout; // for unacknowledged data
};

/// Disables Nagle's algorithm and enables keep-alive probes. Errors are
/// ignored: without an option a lost peer is only detected later.
inline void configure_socket(
    asio::ip::tcp::socket& socket, keep_alive_settings const& settings)
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    int const fd = socket.native_handle();
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    std::pair<int, int> const options[] = {
        {TCP_KEEPIDLE, int(settings.idle.count())},
        {TCP_KEEPINTVL, int(settings.interval.count())},
        {TCP_KEEPCNT, settings.probes},
        {TCP_USER_TIMEOUT, int(settings.user_timeout.count())}};
    for (auto const& [name, value] : options)
        ::setsockopt(fd, IPPROTO_TCP, name, &value, sizeof value);
}

/// Whether the peer has not acknowledged all that was written.
inline bool has_unacknowledged_output(asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace dotterellock

#endif
