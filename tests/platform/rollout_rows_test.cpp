// Rows about rollouts and the calls that write them. Index: orders; status;
// versions; conditional writes; single rows.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <restinio/utils/base64.hpp>

#include <dotterellock/error.hpp>

#include "platform/row_store_client.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using nlohmann::json;

namespace
{

store_row order_row(std::string value, std::string key = "rollout/app")
{
    store_row r;
    r.key = std::move(key);
    r.value = std::move(value);
    r.revision = 17;
    return r;
}

std::string replaced(std::string text, std::string const& from, std::string to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string const order_text = R"({"service":"app","to":"v2","durationS":60})";
std::string const status_text =
    R"({"service":"app","to":"v2","state":"running","order":17})";

platform_row_codec const codec;

} // namespace

// Orders ---------------------------------------------------------------------

TEST_CASE("a rollout order is decoded", "[rollout][platform]")
{
    struct row
    {
        char const* seconds;
        std::int64_t ms;
    };
    auto const r = GENERATE(values<row>(
        {{"60", 60000},
         {"2.5", 2500},
         {"1e2", 100000},
         {"0.0001", 1}, // never 0
         {"2592000", 2592000000}}));
    CAPTURE(r.seconds);
    auto const order = codec.read_rollout_order(
        order_row(replaced(order_text, "60", r.seconds)));
    REQUIRE(order.service.value() == "app");
    REQUIRE(order.to == "v2");
    REQUIRE(order.length == milliseconds(r.ms));
    REQUIRE(order.revision == 17);
}

// Guards against traffic that moves by an order which says nothing clear.
TEST_CASE("malformed rollout orders are rejected", "[rollout][platform]")
{
    struct row
    {
        std::string from;
        std::string to;
        std::string key = "rollout/app";
    };
    auto const r = GENERATE(values<row>(
        {{"60", "0"},
         {"60", "-1"},
         {"60", "-1e300"},
         {"60", "1e300"},
         {"60", "1e400"},
         {"60", "2592001"},
         {"60", "null"},
         {"60", "true"},
         {"60", "\"60\""},
         {"60", "[60]"},
         {R"(,"durationS":60)", ""},
         {R"("v2")", R"("")"},
         {R"("v2")", "2"},
         {R"("v2")", "null"},
         {R"("v2")", R"(["v2"])"},
         {R"("v2")", '"' + std::string(201, 'v') + '"'},
         {R"("to":"v2",)", ""},
         {R"("app")", R"("")"},
         {R"("app")", "null"},
         {R"("app")", "{}"},
         {R"("app")", R"("other")"},
         {R"("service":"app",)", ""},
         {order_text, ""},
         {order_text, "null"},
         {order_text, "[]"},
         {order_text, order_text + order_text},
         {R"("to":"v2",)", R"("to":"v2","to":"v3",)"},
         {"}", ""},
         {"60", "60", "rollout/other"},
         {"60", "60", "app"},
         {R"("app")", R"("")", "rollout/"}}));
    CAPTURE(r.from, r.to, r.key);
    REQUIRE_THROWS_AS(
        codec.read_rollout_order(
            order_row(replaced(order_text, r.from, r.to), r.key)),
        error);
}

// Guards against other rows of the table that are taken for orders.
TEST_CASE("orders are known by their keys", "[rollout][platform]")
{
    REQUIRE_FALSE(codec.rollout_service(order_row("", "config")));
    REQUIRE_FALSE(codec.rollout_service(order_row("", "rollout")));
    REQUIRE_FALSE(codec.rollout_service(order_row("", "Rollout/app")));
    REQUIRE(codec.rollout_service(order_row(""))->value() == "app");
    REQUIRE(
        codec.rollout_service(order_row("", "rollout/a/b"))->value() == "a/b");
    REQUIRE_FALSE(codec.read_configuration(order_row(order_text)));
}

// Status ---------------------------------------------------------------------

// Guards against a state that another gateway reads as a different one.
TEST_CASE("a rollout status round trips through its row", "[rollout][platform]")
{
    auto const state = GENERATE(
        rollout_state::running, rollout_state::completed,
        rollout_state::rolled_back);
    rollout_status const sent{service_name("app"), "v2", state, 17};
    auto const text = codec.rollout_status_text(sent);
    auto const read = codec.read_rollout_status(order_row(text));
    REQUIRE(read.service == sent.service);
    REQUIRE(read.to == sent.to);
    REQUIRE(read.state == sent.state);
    REQUIRE(read.order_revision == sent.order_revision);
    auto const object = json::parse(text);
    REQUIRE(object.at("service") == "app");
    REQUIRE(object.at("to") == "v2");
    auto const name = object.at("state");
    REQUIRE(
        (name == "running" || name == "completed" || name == "rolled_back"));
    REQUIRE(codec.rollout_status_key(sent.service) == "rollout/app");
    REQUIRE(codec.status_table() == "status");
}

TEST_CASE("a status without its order is decoded", "[rollout][platform]")
{
    auto const read = codec.read_rollout_status(
        order_row(replaced(status_text, R"(,"order":17)", R"(,"more":[])")));
    REQUIRE(read.order_revision == 0);
}

TEST_CASE("malformed rollout status rows are rejected", "[rollout][platform]")
{
    struct row
    {
        std::string from;
        std::string to;
    };
    auto const r = GENERATE(values<row>(
        {{R"("running")", R"("Running")"},
         {R"("running")", R"("")"},
         {R"("running")", "1"},
         {R"("state":"running",)", ""},
         {R"("v2")", R"("")"},
         {R"("app")", R"("other")"},
         {"17", "-1"},
         {"17", "1.5"},
         {"17", "\"17\""},
         {status_text, "[]"},
         {status_text, ""}}));
    CAPTURE(r.from, r.to);
    REQUIRE_THROWS_AS(
        codec.read_rollout_status(
            order_row(replaced(status_text, r.from, r.to))),
        error);
}

TEST_CASE(
    "arbitrary rollout rows are decoded or rejected",
    "[rollout][platform][fuzz]")
{
    REQUIRE(rc::check(
        "corrupted input",
        [](std::string const& noise, std::size_t at, std::size_t cut)
        {
            for (auto text : {order_text, status_text})
            {
                at %= text.size();
                text.replace(at, std::min(cut % 30, text.size() - at), noise);
                try
                {
                    codec.read_rollout_order(order_row(text));
                }
                catch (error const&)
                {
                    // the documented exception for malformed input
                }
                try
                {
                    codec.read_rollout_status(order_row(text));
                }
                catch (error const&)
                {
                    // as above
                }
            }
        }));
}

// Versions -------------------------------------------------------------------

TEST_CASE("the version of an endpoint is read", "[rollout][platform]")
{
    std::string const entry =
        R"({"service":"app","address":"127.0.0.1:80","zone":"z",)"
        R"("version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seqNo":4,)"
        R"("born":1700000000000})";
    REQUIRE(codec.read_endpoint(order_row(entry, "e")).version == "v1");
    std::string const reduced =
        R"({"service":"app","address":"127.0.0.1:80","zone":"z",)"
        R"("slots":8,"state":"ready"})";
    REQUIRE(codec.read_endpoint(order_row(reduced, "e")).version.empty());
}

// Conditional writes ---------------------------------------------------------

namespace
{

struct store_fixture : relay_fixture
{
    row_store_client client{io, clock, memory, endpoints[0]->address()};

    /// The request that reached the store.
    std::string take_call()
    {
        std::string call;
        run_until(
            [&]
            {
                for (auto const& c : endpoints[0]->connections)
                {
                    if (c->has("\r\n\r\n"))
                    {
                        connection = c;
                        call = std::exchange(c->received, {});
                    }
                }
                return !call.empty();
            });
        return call;
    }

    void answer(std::string const& status, std::string const& body)
    {
        connection->send(
            "HTTP/1.1 " + status + "\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::shared_ptr<test_connection> connection;
};

} // namespace

// Guards against a write that ignores what another gateway wrote.
TEST_CASE("a write names the revision that it replaces", "[rollout][platform]")
{
    using condition = row_writer::condition;
    struct row
    {
        char const* name;
        std::string status;
        std::string body;
        condition outcome;
        std::uint64_t revision;
        bool found;
    };
    auto const r = GENERATE(values<row>(
        {{"written", "200 OK", R"({"ver":21})", condition::met, 21, false},
         {"written, no revision", "200 OK", "{}", condition::met, 0, false},
         {"other revision", "412 Precondition Failed",
          R"({"ver":20,"rows":[{"table":"status","key":"rollout/app",
              "value":"eA==","ver":19},{"key":"rollout/apps","ver":3}]})",
          condition::failed, 0, true},
         {"removed", "412 Precondition Failed",
          R"({"rows":[{"key":"rollout/app","isDeleted":true,"ver":19}]})",
          condition::failed, 0, false},
         {"no row", "412 Precondition Failed", R"({"rows":[]})",
          condition::failed, 0, false},
         {"412 without rows", "412 Precondition Failed", "{}",
          condition::unknown, 0, false},
         {"no JSON", "200 OK", "x", condition::unknown, 0, false},
         {"refused", "503 Service Unavailable", "{}", condition::unknown, 0,
          false}}));
    CAPTURE(r.name);
    store_fixture fixture;
    std::optional<row_writer::conditional_result> result;
    fixture.client.put_if(
        "status", "rollout/app", status_text, 18,
        [&](row_writer::conditional_result const& got) { result = got; });
    auto const call = fixture.take_call();
    REQUIRE(call.rfind("POST /rows-tx HTTP/1.1\r\n", 0) == 0);
    auto const body = json::parse(call.substr(call.find("\r\n\r\n") + 4));
    auto const& expected = body.at("expectedRev").at(0);
    REQUIRE(expected.at("table") == "status");
    REQUIRE(expected.at("key") == "rollout/app");
    REQUIRE(expected.at("ver") == 18);
    auto const& write = body.at("writes").at(0);
    REQUIRE(write.at("table") == "status");
    REQUIRE(write.at("key") == "rollout/app");
    REQUIRE(
        *restinio::utils::base64::try_decode(
            write.at("value").get<std::string>()) == status_text);
    fixture.answer(r.status, r.body);
    REQUIRE(fixture.run_until([&] { return result.has_value(); }));
    REQUIRE(result->outcome == r.outcome);
    REQUIRE(result->revision == r.revision);
    REQUIRE(result->row.has_value() == r.found);
    if (r.found)
    {
        REQUIRE(result->row->value == "x");
        REQUIRE(result->row->revision == 19);
    }
}

// Guards against two calls whose answers are mistaken for each other.
TEST_CASE("a second call at the same time fails", "[rollout][platform]")
{
    store_fixture fixture;
    bool first = false;
    fixture.client.put_if(
        "status", "a", "x", 0,
        [&](row_writer::conditional_result const&) { first = true; });
    std::optional<row_writer::conditional_result> written;
    std::optional<row_writer::found_row> found;
    fixture.client.put_if(
        "status", "b", "x", 0,
        [&](row_writer::conditional_result const& got) { written = got; });
    fixture.client.find(
        "status", "c", [&](row_writer::found_row const& got) { found = got; });
    REQUIRE(written.has_value());
    REQUIRE(written->outcome == row_writer::condition::unknown);
    REQUIRE(found.has_value());
    REQUIRE_FALSE(found->read);
    REQUIRE_FALSE(first);
}

// Guards against a write whose lost answer holds up all later calls.
TEST_CASE("a call without an answer ends", "[rollout][platform]")
{
    store_fixture fixture;
    std::optional<row_writer::conditional_result> result;
    fixture.client.put_if(
        "status", "rollout/app", "x", 0,
        [&](row_writer::conditional_result const& got) { result = got; });
    REQUIRE_FALSE(fixture.take_call().empty());
    REQUIRE(fixture.run_until([&] { return result.has_value(); }));
    REQUIRE(result->outcome == row_writer::condition::unknown);
}

// Single rows ----------------------------------------------------------------

TEST_CASE("one row of a table is read", "[rollout][platform]")
{
    struct row
    {
        char const* name;
        std::string status;
        std::string body;
        bool read;
        bool found;
    };
    auto const r = GENERATE(values<row>(
        {{"there", "200 OK",
          R"({"ver":9,"rows":[{"key":"rollout/app","value":"eA==","ver":4}]})",
          true, true},
         {"next key", "200 OK",
          R"({"ver":9,"rows":[{"key":"rollout/b","value":"eA==","ver":4}]})",
          true, false},
         {"none", "200 OK", R"({"ver":9,"rows":[]})", true, false},
         {"refused", "503 Service Unavailable", "{}", false, false},
         {"no JSON", "200 OK", "x", false, false}}));
    CAPTURE(r.name);
    store_fixture fixture;
    std::optional<row_writer::found_row> result;
    fixture.client.find(
        "status", "rollout/app",
        [&](row_writer::found_row const& got) { result = got; });
    auto const call = fixture.take_call();
    REQUIRE(
        call.rfind(
            "GET /rows-get?table=status&part=&limit=1&fromRev=rollout%2Fapp ",
            0) == 0);
    fixture.answer(r.status, r.body);
    REQUIRE(fixture.run_until([&] { return result.has_value(); }));
    REQUIRE(result->read == r.read);
    REQUIRE(result->row.has_value() == r.found);
    if (r.found)
        REQUIRE(result->row->revision == 4);
}
