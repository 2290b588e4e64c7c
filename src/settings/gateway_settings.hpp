// Settings of a gateway process, read from YAML.
#ifndef DOTTERELLOCK_SETTINGS_GATEWAY_SETTINGS_HPP
#define DOTTERELLOCK_SETTINGS_GATEWAY_SETTINGS_HPP

#include <chrono>
#include <map>
#include <string>

#include "gateway/service_retry_budget.hpp"

namespace dotterellock
{

struct gateway_settings
{
    std::string host;
    std::string zone;                           // availability zone
    std::map<std::string, std::string> regions; // by zone
    std::string listen;                         // callers, IP:PORT
    std::string status_listen;  // readiness and metrics, IP:PORT
    std::string metrics_listen; // metrics alone, IP:PORT; empty: none
    std::string peer_listen;    // datagrams of other gateways; empty: none
    std::string store;          // platform's store, IP:PORT

    /// How long a withdrawn key may still be served.
    std::chrono::milliseconds key_withdrawal_bound{5000};

    /// How long a leaving endpoint may still receive work.
    std::chrono::milliseconds drain_bound{2500};

    /// Time between the signal to stop and the end of the process.
    std::chrono::milliseconds shutdown_grace{8000};

    /// The whole fleet starts for the first time: no endpoint caches a prompt
    /// of a caller that comes back.
    bool first_start = false;

    service_retry_budget_settings retries;
    std::size_t memory_mb = 256; // limit of the process
    std::size_t max_descriptors = 4096;
    std::size_t log_lines_per_second = 400;
};

/// Throws error(invalid_argument) naming file, line, key and what is allowed.
gateway_settings
read_gateway_settings(std::string const& text, std::string const& file);

/// The settings in force, as YAML.
std::string effective_text(gateway_settings const& settings);

} // namespace dotterellock

#endif
