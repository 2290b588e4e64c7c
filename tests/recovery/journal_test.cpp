#include <catch2/catch.hpp>

#include "fake_network.hpp"
#include "recovery/journal_holder.hpp"
#include "recovery/prompt_blocks.hpp"

#include <dotterellock/generation.hpp>

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::milliseconds;

namespace
{

using tokens = std::vector<std::string>;

struct state_recorder : message_handler
{
    void on_message(peer_id const&, message const& m) override
    {
        if (auto const* state = std::get_if<journal_state>(&m))
            states.push_back(*state);
        if (auto const* appended = std::get_if<journal_appended>(&m))
            confirmed = appended->next_index;
    }
    void on_disconnected(peer_id const&) override {}
    std::vector<journal_state> states;
    token_index confirmed = 0;
};

struct append_row
{
    char const* name;
    std::vector<journal_append> appends; // all from r1
    token_index confirmed;
    std::vector<tokens> copies;
};

journal_append part(owner_epoch epoch, token_index first, tokens t)
{
    return journal_append{request_id("o/c"), epoch, {}, 1, first,
                          std::move(t),      false};
}

} // namespace

// Guards against copies with gaps, with repeated tokens, or with tokens of two
// answers.
TEST_CASE("Journal holder keeps contiguous copies", "[recovery][journal]")
{
    std::vector<append_row> const rows = {
        {"in order", {part(1, 0, {"a"}), part(1, 1, {"b"})}, 2, {{"a", "b"}}},
        {"repeated", {part(1, 0, {"a"}), part(1, 0, {"a"})}, 1, {{"a"}}},
        {"overlapping",
         {part(1, 0, {"a", "b"}), part(1, 1, {"b", "c"})},
         3,
         {{"a", "b", "c"}}},
        {"gap", {part(1, 0, {"a"}), part(1, 3, {"d"})}, 1, {{"a"}}},
        {"two epochs",
         {part(1, 0, {"a"}), part(9, 0, {"x", "y"})},
         2,
         {{"a"}, {"x", "y"}}}};
    for (auto const& row : rows)
    {
        DYNAMIC_SECTION(row.name)
        {
            manual_scheduler scheduler;
            fake_network network(scheduler);
            fixed_policy policy;
            counter_registry counters;
            journal_holder holder(
                scheduler, scheduler, network.transport_of(peer_id("h")),
                policy, counters);
            state_recorder r1;
            network.attach(peer_id("r1"), r1);
            for (auto const& a : row.appends)
                holder.on_message(peer_id("r1"), a);
            holder.on_message(peer_id("r2"), part(1, 0, {"z", "z", "z"}));
            holder.on_message(peer_id("r1"), journal_read{request_id("o/c")});
            scheduler.advance(milliseconds(10));
            CHECK(r1.confirmed == row.confirmed);
            REQUIRE(r1.states.size() == row.copies.size() + 1);
            CHECK(!r1.states.back().found);
            for (std::size_t i = 0; i < row.copies.size(); ++i)
                CHECK(r1.states[i].tokens == row.copies[i]);
            scheduler.advance(std::chrono::seconds(32));
            CHECK(holder.entries() == 0);
        }
    }
}

// Guards against event ids that lose data a takeover needs.
TEST_CASE(
    "Event ids decode to the encoded resume point", "[recovery][event_id]")
{
    resume_point const point = GENERATE(
        resume_point{0, {}, 0}, resume_point{3, {"a", "b", "c"}, 9},
        resume_point{7, {"\"q\\ ", "\xc3", "\xa9", "\xe2\x82\xac", ""}, 1},
        resume_point{4294967295u, {"\n"}, ~owner_epoch{0}});
    resume_point const read = decode_event_id(encode_event_id(point));
    CHECK(read.next_index == point.next_index);
    CHECK(read.tail == point.tail);
    CHECK(read.epoch == point.epoch);
}

// Guards against a router that crashes on an invalid event id of a caller.
TEST_CASE("Malformed event ids are rejected", "[recovery][event_id]")
{
    auto const id = GENERATE(
        as<std::string>{}, "", "1", "1.2", "x.1.W10", "1.-1.W10", "1.1.!!!!",
        "1.1.e30", "1.1.WzEuNV0", "1.0.WyJhIl0", "1.99999999999.W10",
        "1.1.W1swLDI1Nl1d");
    CAPTURE(id);
    CHECK_THROWS_AS(decode_event_id(id), error);
}

// Guards against hashes that match for different prefixes or depend on the text
// after the prefix.
TEST_CASE("Prefix block hashes are chained", "[recovery][prompt]")
{
    std::string const head(256, 'a');
    std::string const tail(256, 'b');
    auto const both = prefix_blocks(head + tail + "rest");
    REQUIRE(both.size() == 2);
    CHECK(prefix_blocks(head + "other") == std::vector{both[0]});
    CHECK(prefix_blocks(tail + tail)[1] != both[1]);
    CHECK(prefix_blocks("short").empty());
    CHECK(estimated_tokens(head, 10) == 74);
}
