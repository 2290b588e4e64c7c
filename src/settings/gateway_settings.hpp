// YAML settings of a gateway process.
#ifndef DOTTERELLOCK_SETTINGS_GATEWAY_SETTINGS_HPP
#define DOTTERELLOCK_SETTINGS_GATEWAY_SETTINGS_HPP

#include <chrono>
#include <map>
#include <string>

#include "gateway/rollout.hpp"
#include "gateway/service_retry_budget.hpp"

namespace dotterellock
{

struct gateway_settings
{
    std::string host;
    std::string zone;                           // availability zone
    std::map<std::string, std::string> regions; // by zone
    std::string listen;                         // for callers, IP:PORT
    std::string status_listen;  // for readiness and metrics, IP:PORT
    std::string metrics_listen; // for metrics only, IP:PORT; empty: none
    std::string peer_listen;    // for gateway datagrams; empty: none
    std::string store;          // the platform's store, IP:PORT

    /// Longest time for which a withdrawn key may still be served.
    std::chrono::milliseconds key_withdrawal_bound{5000};

    /// Longest time for which a draining endpoint may still receive work.
    std::chrono::milliseconds drain_bound{2500};

    /// Time from the stop signal to the exit of the process.
    std::chrono::milliseconds shutdown_grace{8000};

    /// The whole fleet starts for the first time, so no endpoint has a cached
    /// prompt of a returning caller.
    bool first_start = false;

    service_retry_budget_settings retries;
    rollout_settings rollouts;   // disabled unless the key is present
    std::size_t memory_mb = 256; // memory limit of the process
    double link_mbps = 0;        // of the host's network link; 0: not known

    /// Half of the limit, in bytes; the other half is for the program, its
    /// tables and the allocator.
    std::size_t memory_for_others() const { return memory_mb * (1u << 20) / 2; }

    std::size_t max_descriptors = 4096;
    std::size_t log_lines_per_second = 400;
};

/// Throws error(invalid_argument) with the file, line, key and allowed values.
gateway_settings
read_gateway_settings(std::string const& text, std::string const& file);

/// The effective settings as YAML.
std::string effective_text(gateway_settings const& settings);

} // namespace dotterellock

#endif
