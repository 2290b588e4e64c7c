#include "settings/fleet_document.hpp"

#include <algorithm>
#include <set>

#include <dotterellock/error.hpp>

#include "configuration/wall_time_text.hpp"
#include "settings/yaml_reader.hpp"

// Index
//   policy fields : one read_ function per group
//   exceptions    : header, scope, settings
//   parser        : effective, exceptions

namespace dotterellock
{

// ---- policy fields --------------------------------------------------------

namespace
{

using std::chrono::milliseconds;

// Bounds catch a wrong unit or digit; they are not recommended values.
constexpr milliseconds min_duration{1};
constexpr milliseconds max_duration{3600000};
constexpr milliseconds zero_duration{0};
constexpr double max_value = 1e12;
constexpr std::uint32_t max_count = 1000000;

std::vector<std::pair<std::string, rank>> const& rank_names()
{
    static std::vector<std::pair<std::string, rank>> const names = {
        {to_string(rank::urgent), rank::urgent},
        {to_string(rank::standard), rank::standard},
        {to_string(rank::background), rank::background}};
    return names;
}

void read_ranks(yaml_reader reader, policy_settings& policy)
{
    for (rank const r : all_ranks)
    {
        auto one = reader.child(to_string(r));
        if (!one)
            continue;
        rank_policy& p = policy.ranks[index_of(r)];
        one->optional(
            "first_token_target_ms", p.first_token_target, min_duration,
            max_duration);
        one->optional(
            "waiting_limit_ms", p.waiting_limit, min_duration, max_duration);
        one->optional("worth", p.worth, 1e-6, max_value);
        one->optional("floor_share", p.floor_share, 0, 1);
        one->finish();
    }
    reader.finish();
}

void read_organisation(yaml_reader& reader, organisation_policy& p)
{
    reader.optional("requests_per_second", p.requests_per_second, 0, max_value);
    reader.optional("burst_requests", p.burst_requests, 1, max_value);
    reader.optional("weight", p.weight, 1e-6, 1e6);
    reader.choice("default_rank", p.default_rank, rank_names());
    reader.choice("highest_rank", p.highest_rank, rank_names());
    // Both must be set together, so that no combination of defaults and
    // exceptions yields a default rank above the highest rank.
    bool const has_default = reader.contains("default_rank");
    if (has_default != reader.contains("highest_rank"))
    {
        reader.fail(
            has_default ? "default_rank" : "highest_rank",
            "is given without the other",
            "default_rank and highest_rank together");
    }
    if (p.default_rank < p.highest_rank)
    {
        reader.fail(
            "default_rank", "is more urgent than highest_rank",
            std::string(to_string(p.highest_rank)) + " or less urgent");
    }
    reader.finish();
}

void read_organisations(yaml_reader reader, policy_settings& policy)
{
    for (auto const& key : reader.keys())
    {
        auto one = reader.child(key);
        auto const entry = policy.organisations.emplace(
            organisation_id(key), policy.organisation);
        read_organisation(*one, entry.first->second);
    }
}

void read_queue(yaml_reader reader, queue_policy& p)
{
    reader.optional<std::size_t>(
        "max_reservations", p.max_reservations, 1, max_count);
    reader.optional("quantum_tokens", p.quantum_tokens, 1u, max_count);
    reader.optional(
        "offer_validity_ms", p.offer_validity, min_duration, max_duration);
    reader.finish();
}

void read_dispatch(yaml_reader reader, dispatch_policy& p)
{
    constexpr std::uint32_t max_reservations = 64;
    reader.optional("reservations", p.reservations, 1u, max_reservations);
    reader.optional(
        "extra_reservation_after_ms", p.extra_reservation_after, min_duration,
        max_duration);
    reader.optional(
        "max_reservations", p.max_reservations, 1u, max_reservations);
    reader.optional(
        "cross_region_bytes_per_second", p.cross_region_bytes_per_second, 0,
        max_value);
    reader.optional("straggler_pace", p.straggler_pace, 0, 1);
    reader.optional(
        "straggler_probe_after_ms", p.straggler_probe_after, min_duration,
        max_duration);
    reader.finish();
}

void read_retry(yaml_reader reader, retry_policy& p)
{
    reader.optional("budget_ratio", p.budget_ratio, 0, 1);
    reader.optional(
        "budget_minimum_per_second", p.budget_minimum_per_second, 0, 1e6);
    reader.optional("max_attempts", p.max_attempts, 1u, 100u);
    reader.finish();
}

void read_recovery(yaml_reader reader, recovery_policy& p)
{
    struct field
    {
        char const* key;
        milliseconds recovery_policy::*target;
        milliseconds low;
    };
    static field const fields[] = {
        {"report_interval_ms", &recovery_policy::report_interval, min_duration},
        {"heartbeat_interval_ms", &recovery_policy::heartbeat_interval,
         min_duration},
        {"silent_after_ms", &recovery_policy::silent_after, min_duration},
        {"stalled_after_ms", &recovery_policy::stalled_after, min_duration},
        {"prefill_stalled_after_ms", &recovery_policy::prefill_stalled_after,
         min_duration},
        {"check_timeout_ms", &recovery_policy::check_timeout, min_duration},
        {"grace_period_ms", &recovery_policy::grace_period, zero_duration},
        {"journal_after_ms", &recovery_policy::journal_after, zero_duration},
        {"journal_interval_ms", &recovery_policy::journal_interval,
         min_duration}};
    for (field const& f : fields)
        reader.optional(f.key, p.*f.target, f.low, max_duration);
    reader.optional("journal_holders", p.journal_holders, 0u, 8u);
    reader.optional("max_unsent_tokens", p.max_unsent_tokens, 1u, max_count);
    reader.finish();
}

void read_call(yaml_reader reader, call_policy& p)
{
    constexpr milliseconds one_day{86400000};
    reader.optional(
        "default_timeout_ms", p.default_timeout, min_duration, max_duration);
    reader.optional(
        "claim_batch_delay_ms", p.claim_batch_delay, zero_duration,
        milliseconds(1000));
    reader.optional(
        "store_timeout_ms", p.store_timeout, min_duration, max_duration);
    reader.optional(
        "result_kept_for_ms", p.result_kept_for, zero_duration, one_day);
    reader.finish();
}

void read_operations(yaml_reader reader, policy_settings& policy)
{
    for (auto const& key : reader.keys())
    {
        std::size_t const slash = key.find('/');
        if (slash == 0 || slash == std::string::npos || slash + 1 == key.size())
            reader.fail(key, "is not an operation", "'service/operation'");
        auto one = reader.child(key);
        // Whether a call may be repeated has no safe default.
        if (policy.operations.count(key) == 0)
            one->require("repeatable");
        operation_policy& p = policy.operations[key];
        one->optional("repeatable", p.repeatable);
        one->optional("timeout_ms", p.timeout, min_duration, max_duration);
        one->finish();
    }
}

void read_policy(yaml_reader reader, policy_settings& policy)
{
    if (auto ranks = reader.child("ranks"))
        read_ranks(*ranks, policy);
    if (auto organisation = reader.child("organisation"))
        read_organisation(*organisation, policy.organisation);
    if (auto organisations = reader.child("organisations"))
        read_organisations(*organisations, policy);
    if (auto queue = reader.child("queue"))
        read_queue(*queue, policy.queue);
    if (auto dispatch = reader.child("dispatch"))
        read_dispatch(*dispatch, policy.dispatch);
    if (auto retry = reader.child("retry"))
        read_retry(*retry, policy.retry);
    if (auto recovery = reader.child("recovery"))
        read_recovery(*recovery, policy.recovery);
    if (auto call = reader.child("call"))
        read_call(*call, policy.call);
    if (auto operations = reader.child("operations"))
        read_operations(*operations, policy);
    reader.finish();
}

// ---- exceptions -----------------------------------------------------------

configuration_exception read_exception_header(yaml_reader& reader)
{
    configuration_exception e;
    reader.required("name", e.name, 200u);
    reader.required("reason", e.reason, 1000u);
    reader.required("owner", e.owner, 200u);
    auto scope = reader.required_child("scope");
    std::string region;
    std::string zone;
    std::string host;
    scope.optional("region", region);
    scope.optional("zone", zone);
    scope.optional("host", host);
    scope.finish();
    e.scope = {region_id(region), zone_id(zone), host_id(host)};
    std::string expires;
    reader.optional("expires", expires);
    if (expires.empty())
        return e;
    try
    {
        e.expires = parse_wall_time(expires);
    }
    catch (error const&)
    {
        reader.fail(
            "expires", "'" + expires + "' is not a time",
            "UTC as YYYY-MM-DDThh:mm:ssZ");
    }
    return e;
}

template<typename Id>
bool matches(Id const& wanted, Id const& present)
{
    return wanted.empty() || wanted == present;
}

bool applies(
    configuration_exception const& e, node_location const& node, wall_time now)
{
    bool const expired = e.expires && *e.expires <= now;
    return !expired && matches(e.scope.region, node.region) &&
           matches(e.scope.zone, node.zone) && matches(e.scope.host, node.host);
}

struct document
{
    policy_settings policy;
    std::vector<configuration_exception> exceptions;
};

/// Sums the highest floor share of each rank over the defaults and all
/// exceptions. Several exceptions may apply to one node; a sum of at most 1
/// ensures that no combination reserves more than the whole.
class floor_share_check
{
public:
    void add(policy_settings const& policy)
    {
        for (std::size_t r = 0; r < rank_count; ++r)
            highest_[r] = std::max(highest_[r], policy.ranks[r].floor_share);
    }

    bool within_limit() const
    {
        double sum = 0;
        for (double const share : highest_)
            sum += share;
        return sum <= 1;
    }

private:
    std::array<double, rank_count> highest_{};
};

document read_document(
    std::string const& text, std::string const& file, node_location const& node,
    wall_time now)
{
    yaml_reader root = yaml_reader::parse(text, file);
    document result;
    read_policy(root.required_child("defaults"), result.policy);
    policy_settings const defaults = result.policy;
    floor_share_check floor_shares;
    floor_shares.add(defaults);
    std::set<std::string> names;
    for (auto& reader : root.children("exceptions"))
    {
        configuration_exception const e = read_exception_header(reader);
        if (!names.insert(e.name).second)
            reader.fail("name", "'" + e.name + "' is given twice", "new name");
        yaml_reader const settings = reader.required_child("settings");
        reader.finish();
        policy_settings policy_with_exception = defaults;
        read_policy(settings, policy_with_exception);
        floor_shares.add(policy_with_exception);
        if (!floor_shares.within_limit())
            reader.fail(
                "settings", "floor shares add up to more than 1",
                "a sum of 1 at most");
        if (applies(e, node, now))
            read_policy(settings, result.policy);
        result.exceptions.push_back(e);
    }
    if (!floor_shares.within_limit())
        root.fail(
            "defaults", "floor shares add up to more than 1",
            "a sum of 1 at most");
    root.finish();
    return result;
}

} // namespace

// ---- parser ---------------------------------------------------------------

yaml_configuration_parser::yaml_configuration_parser(std::string file)
    : file_(std::move(file))
{
}

policy_settings yaml_configuration_parser::effective(
    std::string const& document, node_location const& node, wall_time now) const
{
    return read_document(document, file_, node, now).policy;
}

std::vector<configuration_exception>
yaml_configuration_parser::exceptions(std::string const& document) const
{
    return read_document(document, file_, {}, {}).exceptions;
}

policy_settings read_inline_policy(yaml_reader const& mapping)
{
    policy_settings policy;
    read_policy(mapping, policy);
    floor_share_check floor_shares;
    floor_shares.add(policy);
    if (!floor_shares.within_limit())
        mapping.fail(
            "ranks", "floor shares add up to more than 1",
            "a sum of 1 at most");
    return policy;
}

} // namespace dotterellock
