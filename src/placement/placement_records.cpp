#include "placement/placement_records.hpp"

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

using nlohmann::json;

constexpr char const* suffix = "/placement";

} // namespace

std::string placement_key(endpoint_id const& endpoint)
{
    return desired_prefix + endpoint.value() + suffix;
}

std::optional<endpoint_id> endpoint_of_placement_key(std::string const& key)
{
    std::string const prefix = desired_prefix;
    std::string const tail = suffix;
    if (key.size() <= prefix.size() + tail.size() ||
        key.compare(0, prefix.size(), prefix) != 0 ||
        key.compare(key.size() - tail.size(), tail.size(), tail) != 0)
        return std::nullopt;
    return endpoint_id(
        key.substr(prefix.size(), key.size() - prefix.size() - tail.size()));
}

std::string encode(placement_order const& order)
{
    json models = json::array();
    for (auto const& m : order.models)
        models.push_back({m.name, m.adapter, m.version});
    json const value = {
        {"token", order.token}, {"models", models}, {"role", order.role}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<placement_order> decode_placement_order(std::string const& text)
{
    try
    {
        json const value = json::parse(text);
        placement_order order;
        value.at("token").get_to(order.token);
        value.at("role").get_to(order.role);
        for (auto const& m : value.at("models"))
        {
            order.models.push_back(
                {m.at(0).get<std::string>(), m.at(1).get<std::string>(),
                 m.at(2).get<std::string>()});
        }
        return order;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace dotterellock
