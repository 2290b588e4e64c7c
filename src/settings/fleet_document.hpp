// The fleet configuration document as YAML: `defaults`, which apply to every
// node, and `exceptions`, each with scope, reason and owner. Stateless; may be
// called from any thread.
#ifndef DOTTERELLOCK_SETTINGS_FLEET_DOCUMENT_HPP
#define DOTTERELLOCK_SETTINGS_FLEET_DOCUMENT_HPP

#include <string>
#include <vector>

#include <dotterellock/configuration.hpp>

namespace dotterellock
{

/// Both functions check the whole document, also the exceptions that do not
/// apply to the node, so that every node agrees whether it is valid.
class yaml_configuration_parser : public configuration_parser
{
public:
    /// @param file  name that errors give the document
    explicit yaml_configuration_parser(std::string file = "configuration");

    /// Exceptions apply in document order, so the later one wins.
    policy_settings effective(
        std::string const& document, node_location const& node,
        wall_time now) const override;

    std::vector<configuration_exception>
    exceptions(std::string const& document) const override;

private:
    std::string file_;
};

class yaml_reader;

/// Reads a mapping as under `defaults` over the built-in defaults; for the
/// settings of programs that run without a fleet document.
policy_settings read_inline_policy(yaml_reader const& mapping);

} // namespace dotterellock

#endif
