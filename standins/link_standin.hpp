// Simulates a network link as a TCP forwarder with a one-way delay, a byte rate
// per direction that all connections share, and faults. silence() makes the
// existing connections drop all bytes without an error while new connections
// work, as when a middlebox between the two ends has lost its connection state.
// set_blocked() holds the bytes of one direction until it is unblocked, since
// TCP would retransmit them after a partition.
//
// POST /admin/fault  {"silence":true}     existing connections drop all bytes
//                    {"reset":true}       existing connections are reset
//                    {"partition":bool}   blocks both directions
//                    {"delay_ms":n}
// GET  /admin/stats  {"connections":n,"forwarded_bytes":n,"lost_bytes":n,
//                     "held_bytes":n}
#ifndef DOTTERELLOCK_STANDINS_LINK_STANDIN_HPP
#define DOTTERELLOCK_STANDINS_LINK_STANDIN_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <asio/ip/tcp.hpp>

#include "standin.hpp"

namespace dotterellock::standins
{

struct link_settings
{
    asio::ip::tcp::endpoint target;
    milliseconds delay{0};              // one way
    std::uint64_t bytes_per_second = 0; // each direction; 0: unlimited
};

class link_standin : public standin
{
public:
    /// Forwards the connections accepted by `acceptor`.
    link_standin(
        asio::io_context& context, asio::ip::tcp::acceptor acceptor,
        link_settings settings);

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

    // Faults. Directions: 0 to the target, 1 from the target ---------------

    void silence();
    void reset();
    void set_blocked(std::size_t direction, bool blocked);
    void set_delay(milliseconds delay) { settings_.delay = delay; }

    std::string address() const; // callers connect here, IP:PORT

private:
    using clock = std::chrono::steady_clock;

    struct connection; // both directions of one forwarded connection

    void accept_next();
    void open(asio::ip::tcp::socket caller);
    void read(std::shared_ptr<connection> const& p, std::size_t direction);

    /// Empty `bytes` mark the end of the stream in this direction.
    void forward(
        std::shared_ptr<connection> const& p, std::size_t direction,
        std::string bytes);
    void
    write_next(std::shared_ptr<connection> const& p, std::size_t direction);
    void close(std::shared_ptr<connection> const& p, bool graceful);
    clock::time_point departure_time(std::size_t direction, std::size_t bytes);

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    link_settings settings_;
    std::set<std::shared_ptr<connection>> connections_;
    std::array<clock::time_point, 2> busy_until_{}; // by the byte rate
    std::array<bool, 2> blocked_{};
    std::uint64_t forwarded_bytes_ = 0;
    std::uint64_t lost_bytes_ = 0;
    std::uint64_t held_bytes_ = 0;
};

} // namespace dotterellock::standins

#endif
