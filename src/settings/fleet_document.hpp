// Parser of the fleet configuration document, a YAML text with `defaults` for
// every node and `exceptions`, each with scope, reason and owner. Stateless;
// thread-safe.
#ifndef DOTTERELLOCK_SETTINGS_FLEET_DOCUMENT_HPP
#define DOTTERELLOCK_SETTINGS_FLEET_DOCUMENT_HPP

#include <string>
#include <vector>

#include <dotterellock/configuration.hpp>

namespace dotterellock
{

/// Both functions validate the whole document, including exceptions that do not
/// apply to the node, so that all nodes agree on whether it is valid.
class yaml_configuration_parser : public configuration_parser
{
public:
    /// @param file  name of the document in error messages
    explicit yaml_configuration_parser(std::string file = "configuration");

    /// Exceptions apply in document order: the last one wins.
    policy_settings effective(
        std::string const& document, node_location const& node,
        wall_time now) const override;

    std::vector<configuration_exception>
    exceptions(std::string const& document) const override;

private:
    std::string file_;
};

class yaml_reader;

/// Reads a mapping with the format of `defaults`; absent keys keep the built-in
/// defaults. For programs that run without a fleet document.
policy_settings read_inline_policy(yaml_reader const& mapping);

} // namespace dotterellock

#endif
