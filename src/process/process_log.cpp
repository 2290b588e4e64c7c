#include "process_log.hpp"

#include "logging.hpp"

namespace dotterellock
{

namespace
{

void log_connection(
    std::string const& step, peer_id const& peer, std::string const& detail)
{
    log_event(
        log_level::info, "connection_ended",
        {{"step", step}, {"peer", peer.value()}, {"detail", detail}});
}

} // namespace

void log_exception(std::exception const& e)
{
    if (auto const* const known = dynamic_cast<error const*>(&e))
        log_event(log_level::error, "fault", fields_of(*known));
    else
        log_event(log_level::error, "fault", {{"detail", e.what()}});
}

tcp_transport_settings
transport_settings(peer_id const& self, std::string const& listen_address)
{
    tcp_transport_settings s;
    s.self = self;
    s.listen_address = listen_address;
    s.log = &log_connection;
    return s;
}

} // namespace dotterellock
