// The schedule of injected faults, derived from the seed alone.
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
    operator_change, // new configuration version
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
    std::size_t target_index = 0; // index of the gateway or endpoint
};

std::vector<fault_kind> const& fault_kinds();

/// Selects some fault kinds and schedules each several times; faults may
/// overlap.
/// @param only  names of the kinds to select from; empty for all
std::vector<planned_fault> plan_faults(
    random_source& random, std::chrono::milliseconds total,
    std::size_t gateways, std::size_t endpoints,
    std::vector<std::string> const& only);

} // namespace dotterellock::soak

#endif
