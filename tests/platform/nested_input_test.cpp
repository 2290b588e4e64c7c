// Deeply nested and oversized input of every decoder of messages and rows from
// outside. Index: MessagePack; JSON; damaged messages.
#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include <dotterellock/error.hpp>

#include "platform/platform_protocol.hpp"
#include "platform/platform_row_codec.hpp"
#include "platform/row_store_client.hpp"
#include "relay/crash_evidence_codec.hpp"
#include "relay/load_share_codec.hpp"
#include "relay/table_share_codec.hpp"

using namespace dotterellock;

namespace
{

std::string repeated(std::string const& text, std::size_t count)
{
    std::string all;
    while (count-- > 0)
        all += text;
    return all;
}

struct decoder
{
    char const* name;
    std::function<void(std::string const&)> decode;
    std::vector<std::string> fronts; // valid so far; any value may follow
};

// The front of each datagram of evidence.
std::string const evidence_prefix("\x99\x01\xa0\x00\x00\x90\x90\xa0\x90", 9);

std::vector<decoder> message_decoders()
{
    return {
        {"table answer",
         [](std::string const& b) { decode_table_answer(b); },
         {"", "\x94\x01\x07", "\x94\x01\x07\x05", "\x94\x01\x07\x05\x91"}},
        {"load share",
         [](std::string const& b) { decode_load_share(b); },
         {"", "\x98\x01\xa1g", std::string("\x98\x01\xa1g\x00\x00", 6),
          std::string("\x98\x01\xa1g\x00\x00\x90\x90\xa1z", 10)}},
        {"crash evidence",
         [](std::string const& b) { decode_crash_evidence(b); },
         {evidence_prefix, evidence_prefix + "\x93\x01\xa1g",
          evidence_prefix + "\x93\x01\xa1g\x91"}}};
}

store_row row(std::string key, std::string value)
{
    store_row r;
    r.key = std::move(key);
    r.value = std::move(value);
    return r;
}

std::vector<decoder> text_decoders()
{
    static platform_protocol const protocol;
    static platform_row_codec const codec;
    return {
        {"configuration",
         [](std::string const& t)
         { codec.read_configuration(row("config", t)); },
         {R"({"version":1,"routes":[],"services":[])"}},
        {"endpoint",
         [](std::string const& t) { codec.read_endpoint(row("e", t)); },
         {R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,)"
          R"("state":"ready")"}},
        {"store response",
         [](std::string const& t) { decode_row_response(t); },
         {R"({"ver":1,"rows":[])"}},
        {"report",
         [](std::string const& t) { protocol.read_report(t); },
         {R"({"kvUsed":1)"}},
        {"cache list",
         [](std::string const& t) { protocol.read_cache_list(t); },
         {R"({"held":[])"}},
        {"copy name",
         [](std::string const& t) { protocol.read_copy_name(t); },
         {R"({"handle":"h")"}}};
}

/// The detail of the error that decoding ends with; empty if there is none.
std::string error_of(decoder const& d, std::string const& input)
{
    try
    {
        d.decode(input);
        return {};
    }
    catch (error const& e)
    {
        return e.detail();
    }
}

} // namespace

// MessagePack ----------------------------------------------------------------

// One datagram or answer of 200,000 nested lists ended the process.
TEST_CASE("nested messages are rejected", "[relay][nested]")
{
    struct row
    {
        char const* name;
        std::string level;
    };
    auto const r = GENERATE(
        row{"lists", "\x91"}, row{"maps", "\x81\xa1k"},
        row{"lists of 16 bits", std::string("\xdc\x00\x01", 3)},
        row{"lists of 32 bits", std::string("\xdd\x00\x00\x00\x01", 5)},
        row{"maps of 32 bits", std::string("\xdf\x00\x00\x00\x01\xa1k", 7)},
        row{"both", "\x91\x81\xa1k"});
    auto const depth = GENERATE(40, 2000, 200000);
    auto const d = GENERATE(from_range(message_decoders()));
    CAPTURE(r.name, depth, d.name);
    for (auto const& front : d.fronts)
    {
        auto const cut = front + repeated(r.level, std::size_t(depth));
        CHECK(error_of(d, cut).find("nested") != std::string::npos);
        CHECK(error_of(d, cut + '\x01').find("nested") != std::string::npos);
    }
}

// Guards against lengths that promise more than the message holds, and against
// values of one byte each that need many times the memory of the message.
TEST_CASE("oversized messages are rejected", "[relay][nested]")
{
    struct row
    {
        char const* name;
        std::string value;
    };
    auto const r = GENERATE(
        row{"list", std::string("\xdd\xff\xff\xff\xff", 5)},
        row{"map", std::string("\xdf\xff\xff\xff\xff", 5)},
        row{"text", std::string("\xdb\xff\xff\xff\xff", 5)},
        row{"bytes", std::string("\xc6\xff\xff\xff\xff", 5)},
        row{"extension", std::string("\xc9\xff\xff\xff\xff\x01", 6)},
        row{"empty lists", std::string("\xdd\x00\x20\x00\x00", 5) +
                               std::string(0x200000, '\x90')});
    auto const d = GENERATE(from_range(message_decoders()));
    CAPTURE(r.name, d.name);
    for (auto const& front : d.fronts)
        CHECK_FALSE(error_of(d, front + r.value).empty());
}

// JSON -----------------------------------------------------------------------

// Copying or printing a deep value would end the process.
TEST_CASE("nested texts are rejected", "[platform][nested]")
{
    auto const open = GENERATE(as<std::string>{}, "[", R"({"k":)", R"([{"k":)");
    auto const depth = GENERATE(40, 65536, 1000000);
    auto const d = GENERATE(from_range(text_decoders()));
    CAPTURE(open, depth, d.name);
    auto const close = open == "[" ? "]" : open[0] == '{' ? "}" : "}]";
    auto const deep = repeated(open, std::size_t(depth)) + '1' +
                      repeated(close, std::size_t(depth));
    CHECK(error_of(d, d.fronts[0] + '}').empty());
    CHECK(error_of(d, deep).find("nested") != std::string::npos);
    CHECK(
        error_of(d, d.fronts[0] + R"(,"extra":)" + deep + '}').find("nested") !=
        std::string::npos);
}

// Damaged messages -----------------------------------------------------------

TEST_CASE("damaged messages end in an error", "[relay][nested][fuzz]")
{
    constexpr unsigned seed = 20261205;
    constexpr int rounds = 4000;
    std::mt19937 random(seed);
    auto const below = [&random](std::size_t limit)
    { return std::size_t(random() % limit); };
    auto const d = GENERATE(from_range(message_decoders()));
    CAPTURE(d.name);
    // Lists, maps and lengths are frequent.
    std::string const heads =
        "\x91\x9f\x81\x8f\xdc\xdd\xde\xdf\xa1\xc4\xd9\x01";
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = d.fronts[below(d.fronts.size())];
        for (auto n = below(400); n > 0; --n)
            bytes +=
                below(4) == 0 ? char(random()) : heads[below(heads.size())];
        try
        {
            d.decode(bytes);
        }
        catch (error const&)
        {
            // the only exception type allowed
        }
    }
}
