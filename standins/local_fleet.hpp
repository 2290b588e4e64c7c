// A whole small fleet of real processes on loopback: stand-ins, agents and
// routers, with settings files in a directory of its own. For demo, process
// tests and bench.
#ifndef DOTTERELLOCK_STANDINS_LOCAL_FLEET_HPP
#define DOTTERELLOCK_STANDINS_LOCAL_FLEET_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "child_process.hpp"

namespace dotterellock::standins
{

struct fleet_options
{
    std::size_t engines = 3;
    std::size_t services = 1;
    std::size_t routers = 2;
    unsigned answer_tokens = 200;
    unsigned step_ms = 20;
    unsigned capacity = 32; // streams of one engine
    unsigned shards = 2;    // of one router
    unsigned routers_in_first_zone = 1;
    bool links = false; // a link stand-in before each agent
    std::string policy; // YAML block under `policy:`, indented
};

class local_fleet
{
public:
    static constexpr char const* model = "m";
    static constexpr char const* model_version = "1";
    static constexpr char const* api_key = "key-a";       // organisation a
    static constexpr char const* other_api_key = "key-b"; // organisation b

    /// Starts everything and waits until the routers are ready.
    local_fleet(std::string binary_directory, fleet_options options);
    ~local_fleet();
    local_fleet(local_fleet const&) = delete;
    local_fleet& operator=(local_fleet const&) = delete;

    std::string const& router_url(std::size_t i) const;
    std::string const& engine_url(std::size_t i) const;
    std::string const& service_url(std::size_t i) const;
    /// Of the link before agent i, for faults; needs options.links.
    std::string const& link_url(std::size_t i) const;
    std::string const& table_url() const { return table_url_; }
    std::string const& object_url() const { return object_url_; }

    child_process& router(std::size_t i) { return *routers_.at(i).process; }
    child_process& agent(std::size_t i) { return *agents_.at(i).process; }
    child_process& engine(std::size_t i) { return *engines_.at(i).process; }
    child_process& service(std::size_t i) { return *services_.at(i).process; }
    child_process& table() { return *table_; }
    std::size_t router_count() const { return routers_.size(); }
    std::size_t agent_count() const { return agents_.size(); }

    /// Index of the engine that runs at least one stream; throws when none
    /// does within the limit.
    std::size_t busy_engine(std::chrono::milliseconds limit) const;

    /// Starts a process that has ended again, at the address it had.
    void restart_engine(std::size_t i);
    void restart_agent(std::size_t i);
    void restart_router(std::size_t i);

    /// Starts dotterellock-ctl against the fleet's table service.
    std::unique_ptr<child_process>
    start_ctl(std::vector<std::string> arguments) const;

    /// SIGTERM to routers, then agents, then stand-ins; true when each ended
    /// with status 0 in time.
    bool stop(std::chrono::milliseconds limit);

    std::string const& directory() const { return directory_; }

private:
    struct member
    {
        std::unique_ptr<child_process> process;
        std::string url;          // HTTP
        std::string peer_address; // ip:port between our processes
    };

    member start_standin(
        std::string const& name, std::vector<std::string> const& arguments);
    std::vector<std::string> engine_arguments(std::string const& listen) const;
    void start_agent(std::size_t number);
    void start_link(std::size_t number);
    void start_router(std::size_t index);
    void wait_until_ready() const;
    std::string
    write_settings(std::string const& name, std::string const& text) const;
    std::string agent_settings(std::size_t number) const;
    std::string router_settings(std::size_t index) const;

    std::string binary_directory_;
    fleet_options options_;
    std::string directory_;
    std::unique_ptr<child_process> table_;
    std::unique_ptr<child_process> objects_;
    std::string table_url_;
    std::string object_url_;
    std::vector<member> engines_;
    std::vector<member> services_;
    std::vector<member> agents_; // engines first, then services
    std::vector<member> links_;  // one an agent, or none
    std::vector<member> routers_;
};

/// A blocking HTTP request, for tests and the demo.
struct simple_response
{
    int status = 0; // 0: no answer
    std::string body;
};

simple_response http_get(std::string const& url);
simple_response http_post(
    std::string const& url, std::string const& body,
    std::vector<std::string> const& headers = {});

} // namespace dotterellock::standins

#endif
