// Settings of the router and agent programs, each read from one YAML file.
// Read once at start and immutable afterwards.
#ifndef DOTTERELLOCK_PROCESS_PROGRAM_SETTINGS_HPP
#define DOTTERELLOCK_PROCESS_PROGRAM_SETTINGS_HPP

#include <optional>
#include <string>
#include <vector>

#include <dotterellock/configuration.hpp>

#include "choice/rendezvous_journal_placement.hpp"
#include "pipeline/identify.hpp"
#include "pipeline/parse.hpp"
#include "process/logging.hpp"

namespace dotterellock
{

/// Budget of the answers that the HTTP client reads.
constexpr std::uint32_t default_answer_memory_mb = 256;

struct router_entry
{
    router_info info;
    std::string address; // "ip:port" for peers
};

struct router_settings
{
    router_id router;
    node_location location;
    std::string http_listen;
    std::string peer_listen;
    std::uint32_t shards = 1;
    std::uint32_t threads = 2;
    std::string table_service_url; // empty: no non-repeatable calls
    std::string fleet_view_url;
    std::string peer_address;             // advertised; empty: listen address
    std::vector<router_entry> routers;    // may include this router
    std::vector<endpoint_info> endpoints; // empty: from registrations
    identify_settings identify;
    parse_limits limits;
    std::uint32_t answer_memory_mb = default_answer_memory_mb;
    std::optional<policy_settings> policy; // empty: fleet document
    log_settings log;

    peer_id self() const { return peer_id("router/" + router.value()); }
};

struct agent_settings
{
    endpoint_id endpoint;
    node_location location;
    std::string peer_listen;
    std::string http_listen; // health and metrics; empty: not served
    std::uint32_t capacity = 1;
    std::string engine_url;  // exactly one of engine_url
    std::string service_url; // and service_url is set
    bool engine_checks_fencing_token = false;
    std::vector<model_ref> models;
    std::vector<service_name> services;
    std::uint32_t answer_memory_mb = default_answer_memory_mb;
    std::string table_service_url;         // empty: no registration
    std::string peer_address;              // advertised; empty: listen address
    std::vector<router_entry> routers;     // exchange configuration with these
    std::optional<policy_settings> policy; // overrides the fleet document
    log_settings log;

    peer_id self() const { return peer_id("agent/" + endpoint.value()); }

    /// False without routers: each agent would then read the configuration
    /// from the store twice a second, more than the store's budget for a fleet.
    bool follows_fleet_document() const
    {
        return !policy && !table_service_url.empty() && !routers.empty();
    }
};

/// Both throw error(invalid_argument); its detail names the file, line, key and
/// allowed values.
router_settings
read_router_settings(std::string const& text, std::string const& file);
agent_settings
read_agent_settings(std::string const& text, std::string const& file);

/// The effective settings as YAML, including defaults; API keys are masked.
std::string effective_text(router_settings const& settings);
std::string effective_text(agent_settings const& settings);

} // namespace dotterellock

#endif
