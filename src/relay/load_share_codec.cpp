#include "load_share_codec.hpp"

#include <cstdint>
#include <limits>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "bounded_json.hpp"
#include "shared_limit_codec.hpp"

namespace dotterellock
{

namespace
{

using json = nlohmann::json;

constexpr std::uint32_t format_version = 1;

template<typename Number>
Number number(json const& value)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw error(
            error_code::protocol_error, "decode", "",
            "number in the load share is out of range");
    return value.get<Number>();
}

load_share::shared_report decode_report(json const& item)
{
    load_share::shared_report shared;
    shared.endpoint = endpoint_id(item.at(0).get<std::string>());
    shared.report.running = number<std::uint32_t>(item.at(1));
    shared.report.waiting = number<std::uint32_t>(item.at(2));
    shared.report.used_tokens = number<std::uint64_t>(item.at(3));
    // A 32-bit age is no overflow in any unit of time.
    shared.age = std::chrono::milliseconds(number<std::uint32_t>(item.at(4)));
    return shared;
}

load_share::endpoint_load decode_load(json const& item)
{
    load_share::endpoint_load decoded;
    decoded.endpoint = endpoint_id(item.at(0).get<std::string>());
    decoded.load.requests = number<std::uint32_t>(item.at(1));
    decoded.load.memory_tokens = number<std::uint64_t>(item.at(2));
    decoded.load.prefill_tokens = number<std::uint64_t>(item.at(3));
    if (item.size() > 4) // not known, or absent in earlier versions
        decoded.pace =
            std::chrono::microseconds(number<std::uint32_t>(item.at(4)));
    return decoded;
}

std::string to_msgpack(load_share const& share)
{
    json loads = json::array();
    for (auto const& [endpoint, load, pace] : share.loads)
    {
        auto item = json::array(
            {endpoint.value(), load.requests, load.memory_tokens,
             load.prefill_tokens});
        if (pace.count() > 0)
            item.push_back(std::uint64_t(pace.count()));
        loads.push_back(std::move(item));
    }
    json failed = json::array();
    for (auto const& endpoint : share.failed)
        failed.push_back(endpoint.value());
    json reports = json::array();
    for (auto const& [endpoint, report, age] : share.reports)
        reports.push_back(json::array(
            {endpoint.value(), report.running, report.waiting,
             report.used_tokens, std::uint64_t(age.count())}));
    json limits = json::array();
    for (auto const& limit : share.limits)
        limits.push_back(encode_shared_limit(limit));
    json items = json::array(
        {format_version, share.gateway.value(), share.incarnation,
         share.sequence, loads, failed, share.zone.value(), reports});
    if (!share.limits.empty() || share.configuration_revision > 0)
        items.push_back(std::move(limits));
    if (share.configuration_revision > 0)
    {
        items.push_back(share.configuration_revision);
        items.push_back(share.link_mbps);
    }
    std::string bytes;
    json::to_msgpack(items, bytes);
    return bytes;
}

} // namespace

std::string encode_load_share(load_share share)
{
    auto bytes = to_msgpack(share);
    while (bytes.size() > max_load_share_bytes &&
           share.loads.size() + share.reports.size() + share.limits.size() > 0)
    {
        share.loads.resize(share.loads.size() * 3 / 4);
        share.reports.resize(share.reports.size() * 3 / 4);
        share.limits.resize(share.limits.size() * 3 / 4);
        bytes = to_msgpack(share);
    }
    return bytes;
}

load_share decode_load_share(std::string_view bytes)
{
    try
    {
        auto const a = parse_message_pack(bytes, "the load share");
        if (number<std::uint32_t>(a.at(0)) != format_version)
            throw error(
                error_code::protocol_error, "decode", "",
                "unsupported load share format version");
        load_share share;
        share.gateway = host_id(a.at(1).get<std::string>());
        share.incarnation = number<std::uint64_t>(a.at(2));
        share.sequence = number<std::uint64_t>(a.at(3));
        for (auto const& item : a.at(4))
            share.loads.push_back(decode_load(item));
        for (auto const& item : a.at(5))
            share.failed.emplace_back(item.get<std::string>());
        if (a.size() > 6) // absent in earlier versions
            share.zone = zone_id(a.at(6).get<std::string>());
        if (a.size() > 7)
        {
            for (auto const& item : a.at(7))
                share.reports.push_back(decode_report(item));
        }
        // Without a name, it is evidence in the form of a share.
        if (a.size() > 8 && !share.gateway.empty())
        {
            for (auto const& item : a.at(8))
                share.limits.push_back(decode_shared_limit(item));
        }
        if (a.size() > 10 && !share.gateway.empty())
        {
            share.configuration_revision = number<std::uint64_t>(a.at(9));
            share.link_mbps = number<std::uint32_t>(a.at(10));
        }
        return share;
    }
    catch (json::exception const& e)
    {
        throw error(error_code::protocol_error, "decode", "", e.what());
    }
}

} // namespace dotterellock
