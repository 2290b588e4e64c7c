// A network link as a TCP forwarder: one-way delay, a byte rate shared by all
// connections of one direction, and faults. Connections of before a silence
// lose everything without notice while later ones work, as when something
// between two ends has lost track of them. A cut holds the bytes of one
// direction until it heals, as TCP sends them again.
//
// POST /admin/fault  {"silence":true}     present connections lose all bytes
//                    {"reset":true}       present connections are reset
//                    {"partition":bool}   cuts both directions
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
    /// Accepts connections to forward on `acceptor`.
    link_standin(
        asio::io_context& context, asio::ip::tcp::acceptor acceptor,
        link_settings settings);

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

    // Faults; directions: 0 towards the target, 1 back ---------------------

    void silence();
    void reset();
    void cut(std::size_t direction, bool on);
    void set_delay(milliseconds delay) { settings_.delay = delay; }

    std::string address() const; // callers connect here, IP:PORT

private:
    using clock = std::chrono::steady_clock;

    struct pipe; // both directions of one forwarded connection

    void accept_next();
    void open(asio::ip::tcp::socket caller);
    void read(std::shared_ptr<pipe> const& p, std::size_t direction);

    /// An empty text stands for the end of the direction.
    void forward(
        std::shared_ptr<pipe> const& p, std::size_t direction,
        std::string bytes);
    void write_next(std::shared_ptr<pipe> const& p, std::size_t direction);
    void close(std::shared_ptr<pipe> const& p, bool in_order);
    clock::time_point leave_time(std::size_t direction, std::size_t bytes);

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    link_settings settings_;
    std::set<std::shared_ptr<pipe>> pipes_;
    std::array<clock::time_point, 2> busy_until_{}; // of the byte rate
    std::array<bool, 2> cut_{};
    std::uint64_t forwarded_bytes_ = 0;
    std::uint64_t lost_bytes_ = 0;
    std::uint64_t held_bytes_ = 0;
};

} // namespace dotterellock::standins

#endif
