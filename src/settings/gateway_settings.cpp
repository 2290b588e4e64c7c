#include "gateway_settings.hpp"

#include <yaml-cpp/yaml.h>

#include "yaml_reader.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

constexpr double max_duration_ms = 3600000;

/// Reads a duration given as a possibly fractional number of its unit.
/// @param unit_ms  unit of the value
void read_duration(
    yaml_reader& from, std::string const& key, milliseconds& target,
    double unit_ms, double min_ms)
{
    double value = double(target.count()) / unit_ms;
    from.optional(key, value, min_ms / unit_ms, max_duration_ms / unit_ms);
    target = milliseconds(std::int64_t(value * unit_ms));
}

} // namespace

gateway_settings
read_gateway_settings(std::string const& text, std::string const& file)
{
    gateway_settings s;
    auto root = yaml_reader::parse(text, file);
    root.required("host", s.host);
    root.required("availability_zone", s.zone);
    if (auto zones = root.child("regions"))
    {
        for (auto const& zone : zones->keys())
            zones->required(zone, s.regions[zone]);
        zones->finish();
    }
    root.required("listen", s.listen);
    root.required("status_listen", s.status_listen);
    root.optional("metrics_listen", s.metrics_listen);
    root.optional("peer_listen", s.peer_listen);
    root.required("store", s.store);
    read_duration(
        root, "key_withdrawal_bound_ms", s.key_withdrawal_bound, 1, 500);
    read_duration(root, "drain_bound_ms", s.drain_bound, 1, 600);
    read_duration(root, "shutdown_grace_s", s.shutdown_grace, 1000, 500);
    root.optional("first_start", s.first_start);
    if (auto retries = root.child("retries"))
    {
        retries->optional("ratio", s.retries.ratio, 0.0, 100.0);
        read_duration(*retries, "window_s", s.retries.window, 1000, 100);
        retries->optional("allowance", s.retries.allowance, 0.0, 1e9);
        retries->optional("fleet_size", s.retries.fleet_size, 1.0, 1e6);
        retries->finish();
    }
    if (auto rollouts = root.child("rollouts"))
    {
        s.rollouts.enabled = true;
        rollouts->optional(
            "exposure_share", s.rollouts.exposure_share, 0.0, 1.0);
        rollouts->optional(
            "exposure_slack", s.rollouts.exposure_slack, 0.0, 1e9);
        read_duration(
            *rollouts, "rollback_bound_ms", s.rollouts.rollback_bound, 1, 100);
        rollouts->finish();
    }
    root.optional(
        "memory_mb", s.memory_mb, std::size_t{16}, std::size_t{1048576});
    root.optional("link_mbps", s.link_mbps, 0.0, 1e6);
    root.optional(
        "max_descriptors", s.max_descriptors, std::size_t{64},
        std::size_t{1048576});
    root.optional(
        "log_lines_per_second", s.log_lines_per_second, std::size_t{1},
        std::size_t{1000000});
    root.finish();
    return s;
}

std::string effective_text(gateway_settings const& s)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    out << YAML::Key << "host" << YAML::Value << s.host;
    out << YAML::Key << "availability_zone" << YAML::Value << s.zone;
    out << YAML::Key << "regions" << YAML::Value << s.regions;
    out << YAML::Key << "listen" << YAML::Value << s.listen;
    out << YAML::Key << "status_listen" << YAML::Value << s.status_listen;
    if (!s.metrics_listen.empty())
        out << YAML::Key << "metrics_listen" << YAML::Value << s.metrics_listen;
    if (!s.peer_listen.empty())
        out << YAML::Key << "peer_listen" << YAML::Value << s.peer_listen;
    out << YAML::Key << "store" << YAML::Value << s.store;
    out << YAML::Key << "key_withdrawal_bound_ms" << YAML::Value
        << s.key_withdrawal_bound.count();
    out << YAML::Key << "drain_bound_ms" << YAML::Value
        << s.drain_bound.count();
    out << YAML::Key << "shutdown_grace_s" << YAML::Value
        << double(s.shutdown_grace.count()) / 1000;
    out << YAML::Key << "first_start" << YAML::Value << s.first_start;
    out << YAML::Key << "retries" << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "ratio" << YAML::Value << s.retries.ratio;
    out << YAML::Key << "window_s" << YAML::Value
        << double(s.retries.window.count()) / 1000;
    out << YAML::Key << "allowance" << YAML::Value << s.retries.allowance;
    out << YAML::Key << "fleet_size" << YAML::Value << s.retries.fleet_size;
    out << YAML::EndMap;
    if (s.rollouts.enabled)
    {
        out << YAML::Key << "rollouts" << YAML::Value << YAML::BeginMap;
        out << YAML::Key << "exposure_share" << YAML::Value
            << s.rollouts.exposure_share;
        out << YAML::Key << "exposure_slack" << YAML::Value
            << s.rollouts.exposure_slack;
        out << YAML::Key << "rollback_bound_ms" << YAML::Value
            << s.rollouts.rollback_bound.count();
        out << YAML::EndMap;
    }
    out << YAML::Key << "memory_mb" << YAML::Value << s.memory_mb;
    out << YAML::Key << "link_mbps" << YAML::Value << s.link_mbps;
    out << YAML::Key << "max_descriptors" << YAML::Value << s.max_descriptors;
    out << YAML::Key << "log_lines_per_second" << YAML::Value
        << s.log_lines_per_second;
    out << YAML::EndMap;
    return std::string(out.c_str()) + '\n';
}

} // namespace dotterellock
