// Starts, signals and monitors the gateway processes of a soak.
#ifndef DOTTERELLOCK_TESTS_SOAK_GATEWAY_FLEET_HPP
#define DOTTERELLOCK_TESTS_SOAK_GATEWAY_FLEET_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "history.hpp"
#include "relay/http_connection.hpp"
#include "standins/child_process.hpp"
#include "standins/link_standin.hpp"

namespace dotterellock::soak
{

struct gateway_program
{
    std::string path;
    std::vector<std::string> arguments; // before the settings file
    std::string directory;              // for settings and logs
};

class gateway_fleet
{
public:
    /// @param stores  address of the store for each gateway
    gateway_fleet(
        asio::io_context& io, clock_source const& clock, history& h,
        gateway_program program, std::vector<std::string> const& stores);
    ~gateway_fleet();

    std::size_t size() const { return members_.size(); }

    /// Address for callers; traffic passes through the caller link.
    std::string address(std::size_t i) const;
    standins::link_standin& caller_link(std::size_t i);
    standins::link_standin& store_link(std::size_t i);
    unsigned process(std::size_t i) const { return members_[i]->process; }
    bool ready(std::size_t i) const { return members_[i]->ready; }
    bool running(std::size_t i) const { return bool(members_[i]->child); }

    void start(std::size_t i);
    void signal(std::size_t i, int number);

    /// Replaces the settings file. Gateways must ignore a broken file.
    void write_settings(std::size_t i, bool broken);

    /// Reaps exited processes and queries the readiness of running ones.
    void poll();

private:
    struct member
    {
        std::unique_ptr<standins::child_process> child;
        std::unique_ptr<standins::link_standin> caller_link;
        std::unique_ptr<standins::link_standin> store_link;
        std::string listen;
        std::string status_listen;
        std::string peer_listen;
        std::size_t record = 0; // in the history
        unsigned process = 0;
        unsigned settings = 0; // number of versions written
        bool ready = false;
        bool readiness_pending = false;
    };

    std::unique_ptr<standins::link_standin>
    make_link(std::string const& target);
    void query_readiness(std::size_t i);
    std::string settings_text(std::size_t i, bool broken);

    asio::io_context& io_;
    clock_source const& clock_;
    history& history_;
    gateway_program const program_;
    std::vector<std::unique_ptr<member>> members_;
};

} // namespace dotterellock::soak

#endif
