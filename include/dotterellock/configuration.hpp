// Fleet configuration: one YAML document of defaults and of exceptions, each
// with a reason. This header has the document model; src/settings parses the
// document and src/configuration manages its versions.
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

/// Nodes that an exception applies to; an empty field matches every node.
struct exception_scope
{
    region_id region;
    zone_id zone;
    host_id host;
};

/// One exception without its settings, which stay in the document text: what
/// operators are shown and what decides whether the exception applies.
struct configuration_exception
{
    std::string name;
    exception_scope scope;
    std::string reason; // required
    std::string owner;  // required
    std::optional<wall_time> expires;
};

/// Location of a node; decides which exceptions apply to it.
struct node_location
{
    region_id region;
    zone_id zone;
    host_id host;
};

/// Derives a node's policy from the document text. Throws
/// error(invalid_argument) whose detail names line, key and allowed values.
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
