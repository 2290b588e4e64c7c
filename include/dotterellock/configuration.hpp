// Fleet configuration: one YAML document of defaults plus exceptions with
// reasons. This header has the document model; parsing lives in src/settings
// and the versions in src/configuration.
#ifndef DOTTERELLOCK_CONFIGURATION_HPP
#define DOTTERELLOCK_CONFIGURATION_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/policy.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

using configuration_version = std::uint64_t; // 0: none yet

/// Whom an exception applies to; empty fields match everything.
struct exception_scope
{
    region_id region;
    zone_id zone;
    host_id host;
};

/// Text of one exception's settings stays in the document; here is what
/// operators are shown and what decides whether it applies.
struct configuration_exception
{
    std::string name;
    exception_scope scope;
    std::string reason; // required
    std::string owner;  // required
    std::optional<wall_time> expires;
};

/// Where a node stands; decides which exceptions apply to it.
struct node_location
{
    region_id region;
    zone_id zone;
    host_id host;
};

/// Turns document text into a policy. Throws error(invalid_argument) whose
/// detail names line, key and what is allowed.
class configuration_parser
{
public:
    virtual ~configuration_parser() = default;
    virtual policy_settings effective(
        std::string const& document, node_location const& node,
        wall_time now) const = 0;
    virtual std::vector<configuration_exception>
    exceptions(std::string const& document) const = 0;
};

} // namespace dotterellock

#endif
