// Which faults a soak injects and when, all drawn from its seed.
#ifndef DOTTERELLOCK_TESTS_SOAK_FAULT_PLAN_HPP
#define DOTTERELLOCK_TESTS_SOAK_FAULT_PLAN_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <dotterellock/runtime.hpp>

namespace dotterellock::soak
{

enum class fault_target
{
    gateway,
    caller_link, // between callers and a gateway
    store_link,  // between a gateway and the store
    endpoint,
    endpoint_link,
    store,
    operator_change, // of the configuration
    caller_load
};

struct fault_kind
{
    char const* name;
    fault_target target;
    std::chrono::milliseconds min_length;
    std::chrono::milliseconds max_length;
};

struct planned_fault
{
    fault_kind const* kind = nullptr;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    std::size_t target_index = 0; // which gateway or endpoint
};

std::vector<fault_kind> const& fault_kinds();

/// Some kinds, each several times, also at the same moment.
/// @param only  names of kinds to draw from; empty: all
std::vector<planned_fault> plan_faults(
    random_source& random, std::chrono::milliseconds total,
    std::size_t gateways, std::size_t endpoints,
    std::vector<std::string> const& only);

} // namespace dotterellock::soak

#endif
