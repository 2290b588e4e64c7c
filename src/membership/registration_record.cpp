#include "membership/registration_record.hpp"

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

using nlohmann::json;

std::string to_text(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_json(endpoint_info const& info)
{
    json models = json::array();
    for (auto const& m : info.models)
        models.push_back({m.name, m.adapter, m.version});
    json services = json::array();
    for (auto const& s : info.services)
        services.push_back(s.value());
    return {
        {"endpoint", info.endpoint.value()},
        {"agent", info.agent.value()},
        {"host", info.host.value()},
        {"zone", info.zone.value()},
        {"region", info.region.value()},
        {"address", info.address},
        {"models", models},
        {"services", services}};
}

std::string string_member(json const& value, char const* key)
{
    return value.at(key).get<std::string>();
}

endpoint_info info_from_json(json const& value)
{
    endpoint_info info;
    info.endpoint = endpoint_id(string_member(value, "endpoint"));
    info.agent = peer_id(string_member(value, "agent"));
    info.host = host_id(string_member(value, "host"));
    info.zone = zone_id(string_member(value, "zone"));
    info.region = region_id(string_member(value, "region"));
    info.address = string_member(value, "address");
    for (auto const& m : value.at("models"))
    {
        info.models.push_back(
            {m.at(0).get<std::string>(), m.at(1).get<std::string>(),
             m.at(2).get<std::string>()});
    }
    for (auto const& s : value.at("services"))
        info.services.emplace_back(s.get<std::string>());
    return info;
}

} // namespace

std::string registration_key(endpoint_info const& info)
{
    return info.endpoint.empty() ? node_prefix + info.agent.value()
                                 : endpoint_prefix + info.endpoint.value();
}

std::string desired_key(endpoint_info const& info)
{
    return info.endpoint.empty() ? desired_key(endpoint_id(info.agent.value()))
                                 : desired_key(info.endpoint);
}

std::string encode(registration_record const& record)
{
    return to_text(
        {{"incarnation", record.incarnation},
         {"run", record.run_id},
         {"info", to_json(record.info)},
         {"beat", record.heartbeat_count},
         {"refreshed_at", record.refreshed_at},
         {"left", record.left},
         {"draining", record.draining},
         {"in_flight", record.in_flight}});
}

std::optional<registration_record>
decode_registration_record(std::string const& text)
{
    try
    {
        json const value = json::parse(text);
        registration_record r;
        value.at("incarnation").get_to(r.incarnation);
        value.at("run").get_to(r.run_id);
        r.info = info_from_json(value.at("info"));
        value.at("beat").get_to(r.heartbeat_count);
        value.at("refreshed_at").get_to(r.refreshed_at);
        value.at("left").get_to(r.left);
        value.at("draining").get_to(r.draining);
        value.at("in_flight").get_to(r.in_flight);
        return r;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

std::string desired_key(endpoint_id const& endpoint)
{
    return "desired/" + endpoint.value();
}

std::string encode(desired_drain const& desired)
{
    return to_text(
        {{"drain", desired.drain},
         {"attempt", desired.attempt},
         {"author", desired.author},
         {"reason", desired.reason},
         {"requested_at", desired.requested_at}});
}

std::optional<desired_drain> decode_desired_drain(std::string const& text)
{
    try
    {
        json const value = json::parse(text);
        desired_drain d;
        value.at("drain").get_to(d.drain);
        value.at("attempt").get_to(d.attempt);
        value.at("author").get_to(d.author);
        value.at("reason").get_to(d.reason);
        value.at("requested_at").get_to(d.requested_at);
        return d;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace dotterellock
