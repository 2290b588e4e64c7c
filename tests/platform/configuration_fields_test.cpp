// What absent, null, empty and wrong values of each field of the configuration
// mean, and how a gateway takes configurations with them. Index: fields;
// numbers; gateway.
#include <catch2/catch.hpp>

#include <functional>
#include <map>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

using nlohmann::json;

json const whole = json::parse(R"({"version":7,
 "routes":[{"name":"r","host":"h","prefix":"/p/","routeType":"streaming",
  "service":"app","trafficSplit":[{"service":"app","weight":2},
   {"service":"llm","weight":3}],"timeoutMs":25000,"targetLatencyMs":4000,
  "gapTargetMs":700,"priority":2,"maxAttempts":5,"anonymous":true,
  "sticky":true,"resumable":true}],
 "services":[{"name":"app","maxConns":300,"engine":{"slots":48,
  "kvCapacity":88000,"backups":true,"handleS":2.5}}],
 "limits":{"maxHeaderBytes":4000,"maxBodyBytes":10000,"headerTimeoutMs":2000,
  "idleTimeoutMs":9000},
 "tenants":[{"name":"acme","apiKeys":["k1","k2"],"priority":1}]})");

std::optional<gateway_configuration> read(json const& object)
{
    store_row row;
    row.key = "config";
    row.value = object.dump();
    return platform_row_codec().read_configuration(row);
}

/// What is asked of a configuration that is taken.
using check = std::function<bool(gateway_configuration const&)>;

check const refused;

bool taken(gateway_configuration const&)
{
    return true;
}

template<typename Value>
check route_has(Value gateway_route::*member, Value value)
{
    return [=](gateway_configuration const& c)
    { return c.routes.at(0).*member == value; };
}

template<typename Value>
check limits_have(Value caller_limits::*member, Value value)
{
    return [=](gateway_configuration const& c)
    { return c.limits.*member == value; };
}

template<typename Value>
check engine_has(Value engine_spec::*member, Value value)
{
    return [=](gateway_configuration const& c)
    { return c.services.at(0).engine.value().*member == value; };
}

bool asks_for_no_key(gateway_configuration const& c)
{
    return !routing_table(c).requires_api_key();
}

bool knows_no_key(gateway_configuration const& c)
{
    routing_table const table(c);
    return table.requires_api_key() && table.organisation("k1") == nullptr &&
           table.organisation("") == nullptr;
}

bool rank_of_route_holds(gateway_configuration const& c)
{
    return !routing_table(c).organisation("k1")->rank;
}

struct field_row
{
    char const* field; // JSON pointer
    check absent;
    check null;
    char const* empty; // an empty list, object or text
    check when_empty;
    std::vector<char const*> wrong; // of another type or not allowed
};

std::vector<field_row> field_rows()
{
    gateway_route const route;
    engine_spec const engine;
    caller_limits const limits;
    check const default_limits = [limits](gateway_configuration const& c)
    {
        return c.limits.max_body_bytes == limits.max_body_bytes &&
               c.limits.idle_timeout == limits.idle_timeout;
    };
    check const one_target = [](gateway_configuration const& c)
    { return c.routes.at(0).targets.size() == 1; };
    check const no_engine = [](gateway_configuration const& c)
    { return !c.services.at(0).engine; };
    check const default_connections = [](gateway_configuration const& c)
    { return c.services.at(0).max_connections == 100; };
    auto const attempts =
        route_has(&gateway_route::max_attempts, route.max_attempts);
    auto const timeout = route_has(&gateway_route::timeout, route.timeout);
    auto const first_byte =
        route_has(&gateway_route::first_byte_target, route.first_byte_target);
    auto const gap =
        route_has(&gateway_route::event_gap_target, route.event_gap_target);
    auto const rank = route_has(&gateway_route::rank, route.rank);
    auto const needs_key = route_has(&gateway_route::anonymous, false);
    auto const no_prompt = route_has(&gateway_route::engine_prompt, false);
    auto const not_resumable = route_has(&gateway_route::resumable, false);
    auto const slots = engine_has(&engine_spec::slots, engine.slots);
    auto const memory =
        engine_has(&engine_spec::memory_tokens, engine.memory_tokens);
    auto const no_copies = engine_has(&engine_spec::standby_copies, false);
    auto const lifetime =
        engine_has(&engine_spec::copy_lifetime, engine.copy_lifetime);
    auto const header_bytes =
        limits_have(&caller_limits::max_header_bytes, limits.max_header_bytes);
    auto const body_bytes =
        limits_have(&caller_limits::max_body_bytes, limits.max_body_bytes);
    auto const header_time =
        limits_have(&caller_limits::header_timeout, limits.header_timeout);
    auto const idle_time =
        limits_have(&caller_limits::idle_timeout, limits.idle_timeout);
    std::vector<char const*> const numbers = {"-1",    "\"5\"", "true",
                                              "1e300", "[]",    "{}"};
    std::vector<char const*> const counts = {
        "-1", "\"5\"", "4294967296", "9007199254740993", "1e300", "[5]"};
    std::vector<char const*> const texts = {"7", "true", "[]", "{}"};
    std::vector<char const*> const flags = {"0", "1", "\"true\"", "[]", "{}"};
    std::vector<char const*> const lists = {"{}",  "\"\"",   "0",    "false",
                                            "[1]", "[null]", "[[]]", "[{}]"};
    return {
        {"/version", refused, refused, "\"\"", refused, numbers},
        {"/routes", refused, refused, "[]", taken, lists},
        {"/routes/0/name", refused, refused, "\"\"", taken, texts},
        {"/routes/0/host", refused, refused, "\"\"", refused, texts},
        {"/routes/0/prefix", refused, refused, "\"\"", refused, texts},
        {"/routes/0/routeType",
         refused,
         refused,
         "\"\"",
         refused,
         {"\"odd\"", "7", "[]"}},
        {"/routes/0/trafficSplit", one_target, one_target, "[]", refused,
         lists},
        {"/routes/0/trafficSplit/0/service", refused, refused, "\"\"", refused,
         texts},
        {"/routes/0/trafficSplit/0/weight", refused, refused, "\"\"", refused,
         counts},
        {"/routes/0/timeoutMs", timeout, timeout, "\"\"", refused, numbers},
        {"/routes/0/targetLatencyMs", first_byte, first_byte, "\"\"", refused,
         numbers},
        {"/routes/0/gapTargetMs", gap, gap, "\"\"", refused, numbers},
        {"/routes/0/priority", rank, rank, "\"\"", refused, counts},
        {"/routes/0/maxAttempts", attempts, attempts, "\"\"", refused, counts},
        {"/routes/0/anonymous", needs_key, needs_key, "\"\"", refused, flags},
        {"/routes/0/sticky", no_prompt, no_prompt, "\"\"", refused, flags},
        {"/routes/0/resumable", not_resumable, not_resumable, "\"\"", refused,
         flags},
        {"/services", refused, refused, "[]", taken, lists},
        {"/services/0/name", refused, refused, "\"\"", refused, texts},
        {"/services/0/maxConns", default_connections, default_connections,
         "\"\"", refused, counts},
        {"/services/0/engine",
         no_engine,
         no_engine,
         "{}",
         slots,
         {"[]", "\"e\"", "1", "true", "false"}},
        {"/services/0/engine/slots", slots, slots, "\"\"", refused, counts},
        {"/services/0/engine/kvCapacity", memory, memory, "\"\"", refused,
         numbers},
        {"/services/0/engine/backups", no_copies, no_copies, "\"\"", refused,
         flags},
        {"/services/0/engine/handleS", lifetime, lifetime, "\"\"", refused,
         numbers},
        {"/limits",
         default_limits,
         default_limits,
         "{}",
         default_limits,
         {"[]", "\"\"", "0", "false", "true"}},
        {"/limits/maxHeaderBytes", header_bytes, header_bytes, "\"\"", refused,
         numbers},
        {"/limits/maxBodyBytes", body_bytes, body_bytes, "\"\"", refused,
         numbers},
        {"/limits/headerTimeoutMs", header_time, header_time, "\"\"", refused,
         numbers},
        {"/limits/idleTimeoutMs", idle_time, idle_time, "\"\"", refused,
         numbers},
        {"/tenants", asks_for_no_key, asks_for_no_key, "[]", knows_no_key,
         lists},
        {"/tenants/0/name",
         refused,
         refused,
         "\"\"",
         refused,
         {"7", "true", "[]", "{}", R"("a\r\nX-Injected: 1")"}},
        {"/tenants/0/apiKeys",
         refused,
         refused,
         "[]",
         knows_no_key,
         {"{}", "\"k1\"", "0", "false", "[1]", "[null]", "[\"k1\",7]",
          "[[\"k1\"]]", "[\"\"]", "[\"k1\",\"\"]"}},
        {"/tenants/0/priority", rank_of_route_holds, rank_of_route_holds,
         "\"\"", refused, counts}};
}

void expect(json const& object, check const& meaning)
{
    if (!meaning)
    {
        CHECK_THROWS_AS(read(object), error);
        return;
    }
    std::optional<gateway_configuration> c;
    CHECK_NOTHROW(c = read(object));
    CHECK((c && meaning(*c)));
}

void erase(json& object, json::json_pointer const& field)
{
    auto& parent = object[field.parent_pointer()];
    parent.erase(field.back());
}

} // namespace

// Fields ---------------------------------------------------------------------

// An empty list of organisations was taken for an absent one and opened every
// route; objects and lists of another type were taken for absent ones.
TEST_CASE("each kind of missing value has one meaning", "[configuration]")
{
    auto const rows = field_rows();
    auto const i = GENERATE(range(std::size_t(0), field_rows().size()));
    auto const& r = rows[i];
    json::json_pointer const field(r.field);
    CAPTURE(r.field);
    REQUIRE(read(whole));
    REQUIRE(whole.contains(field));
    auto changed = whole;
    erase(changed, field);
    SECTION("absent")
    {
        expect(changed, r.absent);
    }
    SECTION("null")
    {
        changed = whole;
        changed[field] = nullptr;
        expect(changed, r.null);
    }
    SECTION("empty")
    {
        changed = whole;
        changed[field] = json::parse(r.empty);
        expect(changed, r.when_empty);
    }
    SECTION("wrong")
    {
        for (auto const* value : r.wrong)
        {
            CAPTURE(value);
            changed = whole;
            changed[field] = json::parse(value);
            expect(changed, refused);
        }
    }
}

// A field given twice has no certain meaning.
TEST_CASE("a configuration with a field twice is refused", "[configuration]")
{
    auto const text = GENERATE(
        as<std::string>{}, R"({"tenants":[],)", R"({"version":9,)",
        R"({"extra":{"a":1,"a":2},)");
    store_row row;
    row.key = "config";
    row.value = text + whole.dump().substr(1);
    CAPTURE(text);
    REQUIRE_THROWS_AS(platform_row_codec().read_configuration(row), error);
}

// Numbers --------------------------------------------------------------------

// Milliseconds that overflow as nanoseconds became negative or arbitrary times.
TEST_CASE("large times of the configuration are bounded", "[configuration]")
{
    auto const* const field = GENERATE(
        as<char const*>{}, "/routes/0/timeoutMs", "/routes/0/targetLatencyMs",
        "/routes/0/gapTargetMs", "/limits/headerTimeoutMs",
        "/limits/idleTimeoutMs");
    auto const value = GENERATE(
        as<std::uint64_t>{}, 86400000, 86400001, 9223372036855, 1ull << 53);
    CAPTURE(field, value);
    auto changed = whole;
    changed[json::json_pointer(field)] = value;
    auto const c = read(changed);
    REQUIRE(c);
    auto const& route = c->routes[0];
    auto const time = std::max(
        {route.timeout, route.first_byte_target, route.event_gap_target,
         c->limits.header_timeout, c->limits.idle_timeout});
    REQUIRE(time == milliseconds(86400000));
}

// Gateway --------------------------------------------------------------------

namespace
{

struct tenants_fixture : relay_fixture
{
    void set_tenants(std::string const& text)
    {
        auto object = json::parse(configuration.rows[0].value);
        if (text == "absent")
            object.erase("tenants");
        else
            object["tenants"] = json::parse(text);
        object["version"] = ++version;
        next = row("config", object.dump());
    }

    /// The status of a request's answer, with a key or without one.
    std::string status(bool with_key)
    {
        auto const id = "r" + std::to_string(++requests);
        auto text = request("/safe/x", id);
        if (!with_key)
            text.erase(text.find("Authorization"), 27);
        auto const caller = connect_caller(text);
        run_until(
            [&]
            {
                for (auto const& e : endpoints)
                {
                    for (auto const& c : e->connections)
                    {
                        if (!c->has("Request-Id: " + id + "\r\n"))
                            continue;
                        c->received.clear();
                        c->send(response(id));
                    }
                }
                return caller->has("\r\n\r\n");
            });
        return caller->received.substr(9, 3);
    }

    store_row next;
    int version = 3;
    int requests = 0;
};

} // namespace

// Withdrawing the last organisation opened every route to everyone.
TEST_CASE("access with and without organisations", "[configuration][keys]")
{
    struct row
    {
        char const* tenants;
        char const* with_key;
        char const* without_key;
        bool refused; // the configuration; the last one stays in force
    };
    auto const r = GENERATE(
        row{"absent", "200", "200", false}, row{"null", "200", "200", false},
        row{"[]", "401", "401", false},
        row{R"([{"name":"acme","apiKeys":[]}])", "401", "401", false},
        row{R"([{"name":"acme","apiKeys":["KEY"]}])", "200", "401", false},
        row{R"([{"name":"acme","apiKeys":[""]}])", "200", "401", true},
        row{"{}", "200", "401", true}, row{"false", "200", "401", true},
        row{R"("")", "200", "401", true}, row{"[null]", "200", "401", true},
        row{R"([{"name":"acme","apiKeys":null}])", "200", "401", true},
        row{R"([{"name":"acme"}])", "200", "401", true});
    CAPTURE(r.tenants);
    tenants_fixture fixture;
    fixture.start();
    REQUIRE(fixture.run_until(
        [&]
        {
            return fixture.subject->ready() &&
                   fixture.configuration.pending_changes != nullptr;
        }));
    REQUIRE(fixture.status(true) == "200");
    REQUIRE(fixture.status(false) == "401");
    fixture.set_tenants(r.tenants);
    fixture.configuration.publish_change(fixture.next);
    REQUIRE(fixture.logged("configuration_unreadable key=config") == r.refused);
    REQUIRE(fixture.status(true) == r.with_key);
    REQUIRE(fixture.status(false) == r.without_key);
}
