#include "rollout_evidence_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "bounded_json.hpp"

namespace dotterellock
{

namespace
{

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t format_version = 1;

// An empty load share of a gateway without a name, [1, "", 0, 0, [], [], ""],
// followed by an empty list of reports, null in the place of evidence about
// crashes, and the evidence about rollouts. Gateways of an earlier build decode
// it as a share and drop it without a log line, as no gateway of that name is
// registered.
constexpr std::string_view prefix{
    "\x9a\x01\xa0\x00\x00\x90\x90\xa0\x90\xc0", 10};

// Headers of lists that grow beyond 15 items take this many bytes more.
constexpr std::size_t list_header_growth = 2;

[[noreturn]] void throw_malformed(char const* detail)
{
    throw error(error_code::protocol_error, "decode", "", detail);
}

/// Counts have 32 bits, so that sums over the fleet do not overflow.
std::uint32_t to_number(std::uint64_t count)
{
    constexpr std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
    return std::uint32_t(std::min(count, max));
}

/// The counts, then the latencies from the first to the last that is not 0,
/// after the number of those before.
json to_json(answer_counts const& c)
{
    auto const is_set = [](std::uint32_t n) { return n > 0; };
    auto const first =
        std::find_if(c.latencies.begin(), c.latencies.end(), is_set);
    auto const last =
        std::find_if(c.latencies.rbegin(), c.latencies.rend(), is_set).base();
    json item = json::array(
        {to_number(c.answers), to_number(c.failed), to_number(c.lost),
         std::uint32_t(first - c.latencies.begin())});
    for (auto at = first; at < last; ++at)
        item.push_back(*at);
    return item;
}

json to_json(
    std::string const& route, answer_counts const& current,
    answer_counts const& candidate)
{
    return json::array({route, to_json(current), to_json(candidate)});
}

answer_counts
find(std::map<std::string, answer_counts> const& from, std::string const& route)
{
    auto const found = from.find(route);
    return found == from.end() ? answer_counts{} : found->second;
}

answer_counts sum_of(std::map<std::string, answer_counts> const& counts)
{
    answer_counts sum;
    for (auto const& [route, c] : counts)
        sum.add(c);
    return sum;
}

json elapsed_to_json(std::optional<milliseconds> const& elapsed)
{
    if (!elapsed)
        return {};
    return to_number(std::uint64_t(
        std::max<std::int64_t>(std::int64_t(elapsed->count()), 0)));
}

std::size_t encoded_size(json const& value)
{
    return json::to_msgpack(value).size();
}

/// The evidence about one order in at most so many bytes; null if it has no
/// room.
json to_json(rollout_evidence const& evidence, std::size_t max_bytes)
{
    auto const& status = evidence.status;
    json item = json::array(
        {status.service.value(), status.to, std::uint32_t(status.state),
         status.order_revision, evidence.requests_in_progress_at_old,
         elapsed_to_json(evidence.elapsed), json::array()});
    auto const& counts = evidence.counts;
    std::set<std::string> routes;
    for (auto const& [route, c] : counts.current)
        routes.insert(route);
    for (auto const& [route, c] : counts.candidate)
        routes.insert(route);
    // Room for those that do not fit is kept free.
    auto const all =
        to_json({}, sum_of(counts.current), sum_of(counts.candidate));
    auto size = encoded_size(item) + list_header_growth + encoded_size(all);
    if (size > max_bytes)
        return {};
    answer_counts other_current;
    answer_counts other_candidate;
    bool others = false;
    for (auto const& route : routes)
    {
        auto const current = find(counts.current, route);
        auto const candidate = find(counts.candidate, route);
        auto entry = to_json(route, current, candidate);
        auto const entry_size = encoded_size(entry);
        if (route.empty() || size + entry_size > max_bytes)
        {
            other_current.add(current);
            other_candidate.add(candidate);
            others = true;
            continue;
        }
        size += entry_size;
        item.back().push_back(std::move(entry));
    }
    if (others)
        item.back().push_back(to_json({}, other_current, other_candidate));
    return item;
}

std::string envelope(host_id const& gateway, json list)
{
    std::string bytes(prefix);
    json::to_msgpack(
        json::array({format_version, gateway.value(), std::move(list)}), bytes);
    return bytes;
}

template<typename Number>
Number number(json const& value)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw_malformed("number in the rollout evidence is out of range");
    return value.get<Number>();
}

json const& list(json const& value)
{
    if (!value.is_array())
        throw_malformed("list in the rollout evidence is missing");
    return value;
}

answer_counts decode_counts(json const& item)
{
    auto const& a = list(item);
    answer_counts counts;
    counts.answers = number<std::uint32_t>(a.at(0));
    counts.failed = number<std::uint32_t>(a.at(1));
    counts.lost = number<std::uint32_t>(a.at(2));
    auto const first = number<std::uint32_t>(a.at(3));
    constexpr std::size_t values_at = 4;
    auto const count = a.size() - values_at;
    if (count > answer_counts::latency_steps ||
        first > answer_counts::latency_steps - count)
        throw_malformed("rollout evidence has too many latencies");
    for (std::size_t i = 0; i < count; ++i)
        counts.latencies[first + i] = number<std::uint32_t>(a[values_at + i]);
    return counts;
}

/// Elements beyond the known ones are those of later builds.
rollout_evidence decode_item(json const& item)
{
    auto const& a = list(item);
    rollout_evidence evidence;
    auto& status = evidence.status;
    status.service = service_name(a.at(0).get<std::string>());
    status.to = a.at(1).get<std::string>();
    if (status.service.empty() || status.to.empty())
        throw_malformed("rollout evidence names no service or version");
    auto const state = number<std::uint32_t>(a.at(2));
    if (state > std::uint32_t(rollout_state::rolled_back))
        throw_malformed("state in the rollout evidence is unknown");
    status.state = rollout_state(state);
    status.order_revision = number<std::uint64_t>(a.at(3));
    evidence.requests_in_progress_at_old = number<std::uint32_t>(a.at(4));
    if (!a.at(5).is_null())
        evidence.elapsed = milliseconds(number<std::uint32_t>(a.at(5)));
    for (auto const& entry : list(a.at(6)))
    {
        auto const route = list(entry).at(0).get<std::string>();
        evidence.counts.current[route] = decode_counts(entry.at(1));
        evidence.counts.candidate[route] = decode_counts(entry.at(2));
    }
    return evidence;
}

} // namespace

std::string encode_rollout_evidence(
    host_id const& gateway, std::vector<rollout_evidence> const& evidence)
{
    json items = json::array();
    std::size_t size =
        envelope(gateway, json::array()).size() + list_header_growth;
    for (std::size_t i = 0; i < evidence.size(); ++i)
    {
        if (size >= max_rollout_evidence_bytes)
            break;
        auto const share =
            (max_rollout_evidence_bytes - size) / (evidence.size() - i);
        auto item = to_json(evidence[i], share);
        if (item.is_null())
            continue;
        size += encoded_size(item);
        items.push_back(std::move(item));
    }
    return envelope(gateway, std::move(items));
}

bool is_rollout_evidence(std::string_view bytes)
{
    return bytes.substr(0, prefix.size()) == prefix;
}

shared_rollout_evidence decode_rollout_evidence(std::string_view bytes)
{
    if (!is_rollout_evidence(bytes))
        throw_malformed("datagram carries no rollout evidence");
    bytes.remove_prefix(prefix.size());
    try
    {
        auto const a = parse_message_pack(bytes, "the rollout evidence");
        if (number<std::uint32_t>(a.at(0)) != format_version)
            throw_malformed("unsupported rollout evidence format version");
        shared_rollout_evidence shared;
        shared.gateway = host_id(a.at(1).get<std::string>());
        for (auto const& item : list(a.at(2)))
            shared.evidence.push_back(decode_item(item));
        return shared;
    }
    catch (json::exception const& e)
    {
        throw error(error_code::protocol_error, "decode", "", e.what());
    }
}

} // namespace dotterellock
