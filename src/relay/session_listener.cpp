#include "session_listener.hpp"

#include <sys/socket.h>

#include <linux/filter.h>

#include <utility>

#include <dotterellock/error.hpp>

#include "connection_pool.hpp"

namespace dotterellock
{

namespace
{

// Holds connections that arrive while the process does not accept yet.
constexpr int backlog = 1024;

} // namespace

void open_listener(
    asio::ip::tcp::acceptor& acceptor, std::string const& address)
{
    auto const endpoint = parse_address(address);
    if (!endpoint)
        throw error(
            error_code::invalid_argument, "listen", address,
            "is not an IPv4 address with a port");
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(*endpoint);
    acceptor.listen(backlog);
}

void stop_new_connections(asio::ip::tcp::acceptor& acceptor)
{
    constexpr std::uint32_t flags_offset = 13; // in the TCP header
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t whole_packet = 0xffffffff;
    sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0), // drops the packet
        BPF_STMT(BPF_RET | BPF_K, whole_packet)};
    sock_fprog const program{sizeof code / sizeof *code, code};
    // Without the filter a few more callers are reset, as before.
    ::setsockopt(
        acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
        sizeof program);
}

session_listener::session_listener(
    asio::io_context& io, clock_source const& clock, std::string const& address)
    : clock_(clock), acceptor_(io)
{
    open_listener(acceptor_, address);
    accept();
}

void session_listener::check_timeouts(steady_time now)
{
    auto const sessions = sessions_;
    for (auto const& [raw, session] : sessions)
        session->check_timeouts(now);
}

void session_listener::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code const& e, asio::ip::tcp::socket socket)
        {
            if (e == asio::error::operation_aborted)
                return;
            accept();
            if (e)
                return;
            auto session = std::make_shared<client_session>(
                std::move(socket), clock_, *this);
            sessions_.emplace(session.get(), session);
            session->start();
        });
}

} // namespace dotterellock
