// Runs a small fleet of real processes on loopback: stand-ins, agents and
// routers, with their settings files in a temporary directory. For the demo,
// process tests and benchmarks.
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
    unsigned capacity = 32; // streams per engine
    unsigned shards = 2;    // per router
    unsigned routers_in_first_zone = 1;
    bool links = false; // put a link stand-in in front of each agent
    std::string policy; // indented YAML block, inserted under `policy:`
};

class local_fleet
{
public:
    static constexpr char const* model = "m";
    static constexpr char const* model_version = "1";
    static constexpr char const* api_key = "key-a";       // organisation a
    static constexpr char const* other_api_key = "key-b"; // organisation b

    /// Starts all processes and waits until the routers are ready.
    local_fleet(std::string binary_directory, fleet_options options);
    ~local_fleet();
    local_fleet(local_fleet const&) = delete;
    local_fleet& operator=(local_fleet const&) = delete;

    std::string const& router_url(std::size_t i) const;
    std::string const& engine_url(std::size_t i) const;
    std::string const& service_url(std::size_t i) const;
    /// The link in front of agent i, for fault injection; requires
    /// fleet_options::links.
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

    /// Index of the first engine that runs at least one stream. Throws
    /// std::runtime_error when there is none within `limit`.
    std::size_t busy_engine(std::chrono::milliseconds limit) const;

    /// Restarts a process that has exited, at its previous address.
    void restart_engine(std::size_t i);
    void restart_agent(std::size_t i);
    void restart_router(std::size_t i);

    /// Starts dotterellock-ctl against the fleet's table service.
    std::unique_ptr<child_process>
    start_ctl(std::vector<std::string> arguments) const;

    /// Sends SIGTERM to routers, then agents, then stand-ins, and waits up to
    /// `limit` for each. Returns true when each of them exited with status 0;
    /// processes that had already exited are skipped.
    bool stop(std::chrono::milliseconds limit);

    std::string const& directory() const { return directory_; }

private:
    struct fleet_process
    {
        std::unique_ptr<child_process> process;
        std::string url;          // HTTP
        std::string peer_address; // ip:port for peer connections
    };

    fleet_process start_standin(
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
    std::vector<fleet_process> engines_;
    std::vector<fleet_process> services_;
    std::vector<fleet_process> agents_; // engines first, then services
    std::vector<fleet_process> links_;  // one per agent, or empty
    std::vector<fleet_process> routers_;
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
