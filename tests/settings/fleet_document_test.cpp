#include <catch2/catch.hpp>

#include <dotterellock/error.hpp>

#include "configuration/wall_time_text.hpp"
#include "manual_scheduler.hpp"
#include "settings/fleet_document.hpp"

using namespace dotterellock;
using std::chrono::milliseconds;

namespace
{

node_location const here{
    region_id("main"), zone_id("main-1"), host_id("host-7")};

policy_settings read(std::string const& text, std::string const& now = "")
{
    wall_time const at = now.empty() ? wall_time{} : parse_wall_time(now);
    return yaml_configuration_parser("fleet.yaml").effective(text, here, at);
}

std::string error_detail(std::string const& text)
{
    try
    {
        read(text);
    }
    catch (error const& e)
    {
        REQUIRE(e.code() == error_code::invalid_argument);
        return e.detail();
    }
    return "accepted";
}

std::string exception(std::string const& scope, std::string const& rest)
{
    return "  - {name: n, reason: r, owner: o, scope: " + scope + ", " + rest +
           "}\n";
}

std::string const full_document = R"(defaults:
  ranks:
    urgent: {first_token_target_ms: 900, waiting_limit_ms: 3000, worth: 50,
             floor_share: 0.0}
    background: {floor_share: 0.02}
  organisation: {requests_per_second: 10, burst_requests: 20, weight: 2,
                 default_rank: background, highest_rank: standard}
  organisations:
    acme: {weight: 3}
  queue: {max_reservations: 10, quantum_tokens: 11, offer_validity_ms: 12}
  dispatch: {reservations: 3, extra_reservation_after_ms: 13,
             max_reservations: 7, cross_region_bytes_per_second: 14,
             straggler_pace: 0.25, straggler_probe_after_ms: 15}
  retry: {budget_ratio: 0.2, budget_minimum_per_second: 1, max_attempts: 4}
  recovery: {report_interval_ms: 16, heartbeat_interval_ms: 17,
             silent_after_ms: 18, stalled_after_ms: 19,
             prefill_stalled_after_ms: 20, check_timeout_ms: 21,
             grace_period_ms: 22, journal_after_ms: 23,
             journal_interval_ms: 24, journal_holders: 1,
             max_unsent_tokens: 25}
  call: {default_timeout_ms: 26, claim_batch_delay_ms: 27,
         store_timeout_ms: 28, result_kept_for_ms: 29}
  operations:
    bank/transfer: {repeatable: false, timeout_ms: 30}
)";

} // namespace

// Guards against a key that is accepted but sets the wrong field or none.
TEST_CASE("every key of the fleet document sets its field")
{
    policy_settings const p = read(full_document);
    rank_policy const& urgent = p.ranks[index_of(rank::urgent)];
    REQUIRE(urgent.first_token_target == milliseconds(900));
    REQUIRE(urgent.waiting_limit == milliseconds(3000));
    REQUIRE(urgent.worth == 50);
    REQUIRE(p.ranks[index_of(rank::background)].floor_share == 0.02);
    organisation_policy const& acme = p.of(organisation_id("acme"));
    REQUIRE(acme.requests_per_second == 10);
    REQUIRE(acme.burst_requests == 20);
    REQUIRE(acme.weight == 3);
    REQUIRE(acme.default_rank == rank::background);
    REQUIRE(acme.highest_rank == rank::standard);
    REQUIRE(p.queue.max_reservations == 10);
    REQUIRE(p.queue.quantum_tokens == 11);
    REQUIRE(p.queue.offer_validity == milliseconds(12));
    REQUIRE(p.dispatch.reservations == 3);
    REQUIRE(p.dispatch.extra_reservation_after == milliseconds(13));
    REQUIRE(p.dispatch.max_reservations == 7);
    REQUIRE(p.dispatch.cross_region_bytes_per_second == 14);
    REQUIRE(p.dispatch.straggler_pace == 0.25);
    REQUIRE(p.dispatch.straggler_probe_after == milliseconds(15));
    REQUIRE(p.retry.budget_ratio == 0.2);
    REQUIRE(p.retry.budget_minimum_per_second == 1);
    REQUIRE(p.retry.max_attempts == 4);
    recovery_policy const& r = p.recovery;
    REQUIRE(r.report_interval == milliseconds(16));
    REQUIRE(r.heartbeat_interval == milliseconds(17));
    REQUIRE(r.silent_after == milliseconds(18));
    REQUIRE(r.stalled_after == milliseconds(19));
    REQUIRE(r.prefill_stalled_after == milliseconds(20));
    REQUIRE(r.check_timeout == milliseconds(21));
    REQUIRE(r.grace_period == milliseconds(22));
    REQUIRE(r.journal_after == milliseconds(23));
    REQUIRE(r.journal_interval == milliseconds(24));
    REQUIRE(r.journal_holders == 1);
    REQUIRE(r.max_unsent_tokens == 25);
    REQUIRE(p.call.default_timeout == milliseconds(26));
    REQUIRE(p.call.claim_batch_delay == milliseconds(27));
    REQUIRE(p.call.store_timeout == milliseconds(28));
    REQUIRE(p.call.result_kept_for == milliseconds(29));
    REQUIRE(p.operations.at("bank/transfer").timeout == milliseconds(30));
    REQUIRE_FALSE(p.operations.at("bank/transfer").repeatable);
}

// Guards against an operator's mistake that is silently accepted, and against
// an error that lacks its position or the allowed values.
TEST_CASE(
    "an invalid fleet document is rejected with line, key and allowed values")
{
    std::string const ok = "defaults: {}\nexceptions:\n";
    auto const [text, line, key, allowed] =
        GENERATE_COPY(table<std::string, std::string, std::string, std::string>(
            {{"", ":1:", "", "a mapping"},
             {"exceptions: []\n", ":1:", "'defaults'", "required"},
             {"defaults: {}\nrank: 1\n", ":2:", "'rank'", "defaults, "},
             {"defaults:\n  queue: {size: 1}\n", ":2:", "'defaults.queue.size'",
              "max_reservations"},
             {"defaults:\n  queue:\n    quantum_tokens: many\n",
              ":3:", "quantum_tokens", "1 to 1000000"},
             {"defaults: {queue: {quantum_tokens: 0}}", ":1:", "quantum_tokens",
              "1 to"},
             {"defaults: {queue: {quantum_tokens: -1}}",
              ":1:", "quantum_tokens", "1 to"},
             {"defaults: {queue: {quantum_tokens: 1.5}}",
              ":1:", "quantum_tokens", "1 to"},
             {"defaults: {queue: {quantum_tokens: '7'}}",
              ":1:", "quantum_tokens", "a number"},
             {"defaults: {queue: {quantum_tokens: [7]}}",
              ":1:", "quantum_tokens", "1 to"},
             {"defaults: {queue: {quantum_tokens: 99999999999999999999}}",
              ":1:", "quantum_tokens", "1 to"},
             {"defaults: {retry: {budget_ratio: .nan}}", ":1:", "budget_ratio",
              "0 to 1"},
             {"defaults: {retry: {budget_ratio: nan}}", ":1:", "budget_ratio",
              "0 to 1"},
             {"defaults: {retry: {budget_ratio: 1.01}}", ":1:", "budget_ratio",
              "0 to 1"},
             {"defaults: {retry: 5}", ":1:", "'defaults.retry'", "a mapping"},
             {"defaults: {retry: {max_attempts: 3, max_attempts: 4}}",
              ":1:", "'max_attempts'", "once"},
             {"defaults: {organisation: {default_rank: high, highest_rank: "
              "urgent}}",
              ":1:", "default_rank", "urgent, standard, background"},
             {"defaults: {organisation: {default_rank: urgent}}",
              ":1:", "default_rank", "together"},
             {"defaults: {organisation: {default_rank: urgent, highest_rank: "
              "standard}}",
              ":1:", "default_rank", "standard or less"},
             {"defaults: {operations: {a/b: {timeout_ms: 5}}}",
              ":1:", "'defaults.operations.a/b.repeatable'", "required"},
             {"defaults: {operations: {a/b: {repeatable: yes}}}",
              ":1:", "repeatable", "true, false"},
             {"defaults: {operations: {ab: {repeatable: true}}}",
              ":1:", "operations.ab", "service/operation"},
             {"defaults:\n  ranks: {urgent: {floor_share: 0.9}}\n",
              ":1:", "'defaults'", "a sum of 1"},
             {"defaults: &a {}\n", ":1:", "", "in full"},
             {"defaults: {}\n---\ndefaults: {}\n", "", "", "one document"},
             {"a: [[[[[[[[[[[1]]]]]]]]]]]", ":1:", "", "at most 10 levels"},
             {std::string(200000, '['), ":1:", "", "at most 10 levels"},
             {std::string((1 << 20) + 1, 'a'), ":1:", "", "bytes"},
             {"defaults: {\n", "", "", ""},
             {ok + exception("{}", "settings: {}") +
                  exception("{}", "settings: {}"),
              ":4:", "'exceptions[1].name'", "new name"},
             {ok + "  - {name: n, owner: o, scope: {}, settings: {}}\n",
              ":3:", "'exceptions[0].reason'", "required"},
             {ok + "  - {name: n, owner: o, scope: {}, reason: ' ', settings: "
                   "{}}\n",
              ":3:", "reason", "1 to 1000 bytes"},
             {ok + "  - {name: n, reason: r, scope: {}, settings: {}}\n",
              ":3:", "'exceptions[0].owner'", "required"},
             {ok + "  - {name: n, reason: r, owner: o, scope: {}}\n",
              ":3:", "'exceptions[0].settings'", "required"},
             {ok + exception("{rack: 4}", "settings: {}"), ":3:", "scope.rack",
              "host, region, zone"},
             {ok + exception("{}", "settings: {queues: {}}"),
              ":3:", "settings.queues", "call, dispatch"},
             {ok + exception("{}", "expires: tomorrow, settings: {}"),
              ":3:", "expires", "YYYY-MM-DDThh:mm:ssZ"},
             {ok + exception(
                       "{}", "expires: 2027-02-30T00:00:00Z, settings: {}"),
              ":3:", "expires", "YYYY"},
             {ok + exception(
                       "{zone: elsewhere}",
                       "settings: {ranks: {urgent: {floor_share: 0.9}}}"),
              ":3:", "settings", "a sum of 1"}}));
    std::string const detail = error_detail(text);
    CAPTURE(text.substr(0, 200), detail);
    REQUIRE(detail.find("fleet.yaml" + line) != std::string::npos);
    REQUIRE(detail.find(key) != std::string::npos);
    REQUIRE(detail.find(allowed) != std::string::npos);
}

// Guards against an exception that applies to other nodes, applies after its
// expiry, or is overridden by an earlier one.
TEST_CASE("exceptions apply by scope and expiry; the last one wins")
{
    std::string const set = "settings: {queue: {quantum_tokens: 7}}";
    std::string const until = "expires: 2026-12-04T07:00:00Z, ";
    auto const [scope, rest, now, expected] =
        GENERATE_COPY(table<std::string, std::string, std::string, unsigned>({
            {"{}", set, "2026-12-04T06:00:00Z", 7},
            {"{region: main}", set, "2026-12-04T06:00:00Z", 7},
            {"{zone: main-1}", set, "2026-12-04T06:00:00Z", 7},
            {"{host: host-7}", set, "2026-12-04T06:00:00Z", 7},
            {"{region: main, zone: main-2}", set, "2026-12-04T06:00:00Z", 5},
            {"{region: other}", set, "2026-12-04T06:00:00Z", 5},
            {"{host: host-8}", set, "2026-12-04T06:00:00Z", 5},
            {"{}", until + set, "2026-12-04T06:59:59Z", 7},
            {"{}", until + set, "2026-12-04T07:00:00Z", 5},
        }));
    std::string const head =
        "defaults: {queue: {quantum_tokens: 5}}\nexceptions:\n";
    std::string const earlier = "  - {name: first, reason: r, owner: o, scope: "
                                "{zone: main-1}, settings: {}}\n";
    std::string const text = head + earlier + exception(scope, rest);
    REQUIRE(read(text, now).queue.quantum_tokens == expected);
    auto const listed = yaml_configuration_parser().exceptions(text);
    REQUIRE(listed.size() == 2);
    REQUIRE(listed[1].reason == "r");
}

// Guards against expiry times that are off by a day or an hour.
TEST_CASE("UTC times round-trip")
{
    auto const text = GENERATE(
        as<std::string>{}, "1970-01-01T00:00:00Z", "2000-02-29T23:59:59Z",
        "2026-12-04T06:55:00Z", "2100-03-01T00:00:00Z");
    REQUIRE(format_wall_time(parse_wall_time(text)) == text);
    REQUIRE(
        parse_wall_time("2026-12-04T06:55:00Z").time_since_epoch() ==
        std::chrono::seconds(1796367300));
}

// Guards against a damaged document that crashes the process or yields values
// out of bounds: any mutation of a valid document either parses or is rejected
// with invalid_argument, and parsed values are within their bounds.
TEST_CASE("a damaged fleet document is parsed or rejected, never fatal")
{
    std::string const fragments[] = {"{",  "}",    "[",  "]",  ":", "- ",
                                     "&",  "*a",   "!!", "\n", "?", "---",
                                     "\t", "\xff", "|",  "<<", "'", "1e999"};
    testing::seeded_random random(20261204);
    unsigned refused = 0;
    for (int round = 0; round < 3000; ++round)
    {
        std::string text = full_document;
        for (auto i = 1 + random.below(5); i > 0; --i)
        {
            std::string const& fragment =
                fragments[random.below(std::size(fragments))];
            text.replace(random.below(text.size()), random.below(12), fragment);
        }
        CAPTURE(round, text);
        try
        {
            policy_settings const p = read(text);
            REQUIRE(p.retry.budget_ratio <= 1);
            REQUIRE(p.queue.quantum_tokens >= 1u);
        }
        catch (error const& e)
        {
            ++refused;
            REQUIRE(e.code() == error_code::invalid_argument);
            REQUIRE(e.detail().rfind("fleet.yaml:", 0) == 0);
        }
    }
    REQUIRE(refused > 1000);
}
