#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <dotterellock/error.hpp>

#include "relay/table_share_codec.hpp"

using namespace dotterellock;
using std::chrono::milliseconds;

namespace
{

row_read_result make_answer()
{
    row_read_result answer;
    answer.status = row_read_status::ok;
    answer.revision = 1ull << 60;
    answer.proven_after_sending = milliseconds(-1250);
    answer.rows = {
        {"op", std::string("\x00\xff{", 3), 7, false}, {"k\xff", "", 8, true}};
    answer.via = {host_id("b"), host_id("a")};
    return answer;
}

} // namespace

TEST_CASE("table answer round trip through its encoding", "[tables]")
{
    auto const answer = decode_table_answer(encode_table_answer(make_answer()));
    REQUIRE(answer.status == row_read_status::ok);
    REQUIRE(answer.revision == 1ull << 60);
    REQUIRE(answer.proven_after_sending == milliseconds(-1250));
    REQUIRE(answer.rows.size() == 2);
    REQUIRE(answer.rows[0].value == std::string("\x00\xff{", 3));
    REQUIRE(answer.rows[1].key == "k\xff");
    REQUIRE(answer.rows[1].deleted);
    REQUIRE(answer.via == std::vector{host_id("b"), host_id("a")});
}

// Guards against a difference that another gateway reads otherwise.
TEST_CASE("differences round trip through a table answer", "[tables][large]")
{
    auto sent = make_answer();
    value_delta const step{{{7, 9, "x\xff"}, {0, 0, ""}}, 1ull << 63};
    sent.updates = {{"k", 11, 12, {step, step}}};
    sent.changes_skipped = GENERATE(true, false);
    auto const got = decode_table_answer(encode_table_answer(sent, true));
    REQUIRE(got.rows.size() == 2);
    REQUIRE(got.changes_skipped == sent.changes_skipped);
    REQUIRE(got.updates.size() == 1);
    REQUIRE(got.updates[0].key == "k");
    REQUIRE(got.updates[0].base == 11);
    REQUIRE(got.updates[0].revision == 12);
    REQUIRE(got.updates[0].steps.size() == 2);
    REQUIRE(got.updates[0].steps[1].checksum == 1ull << 63);
    REQUIRE(got.updates[0].steps[1].parts.size() == 2);
    REQUIRE(got.updates[0].steps[1].parts[0].begin == 7);
    REQUIRE(got.updates[0].steps[1].parts[0].length == 9);
    REQUIRE(got.updates[0].steps[1].parts[0].added == "x\xff");
    // Gateways of earlier versions may skip changes without a word.
    REQUIRE(decode_table_answer(encode_table_answer(sent)).changes_skipped);
}

// A proof without a time must count as very old, not as recent.
TEST_CASE("an answer without proof is very old", "[tables]")
{
    auto answer = make_answer();
    answer.proven_after_sending.reset();
    auto const decoded = decode_table_answer(encode_table_answer(answer));
    REQUIRE(decoded.proven_after_sending <= milliseconds(-86400000));
}

TEST_CASE("targets of table calls are decoded or rejected", "[tables]")
{
    auto const text = encode_table_call({"op", 42, milliseconds(700)}, "h:1");
    REQUIRE(text.rfind("GET /tables/v1/op/42/700 HTTP/1.1\r\n", 0) == 0);
    auto const call = decode_table_call("/tables/v1/op/42/700");
    REQUIRE(call->table == "op");
    REQUIRE(call->after == 42);
    REQUIRE(call->wait == milliseconds(700));
    auto const bad = GENERATE(
        as<std::string>{}, "", "/", "/tables/v2/op/1/1", "/tables/v1/op",
        "/tables/v1/op/1", "/tables/v1//1/1", "/tables/v1/op/-1/1",
        "/tables/v1/op/1/-1", "/tables/v1/op/1/30001", "/tables/v1/op/1/1/",
        "/tables/v1/op/99999999999999999999/1");
    CAPTURE(bad);
    REQUIRE_FALSE(decode_table_call(bad));
}

TEST_CASE(
    "decoding malformed table answers throws only dotterellock::error",
    "[tables][fuzz]")
{
    REQUIRE(rc::check(
        "damaged table answers",
        [](std::string const& junk, std::size_t at)
        {
            auto bytes = encode_table_answer(make_answer());
            at %= bytes.size();
            bytes.replace(at, std::min(junk.size(), bytes.size() - at), junk);
            for (auto const& text : {bytes, junk})
            {
                try
                {
                    decode_table_answer(text);
                }
                catch (error const&)
                {
                    // the only exception type allowed
                }
                decode_table_call(text);
            }
        }));
}
