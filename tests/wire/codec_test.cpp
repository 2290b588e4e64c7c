#include <catch2/catch.hpp>

#include "random_value.hpp"
#include <manual_scheduler.hpp>
#include <wire/codec.hpp>

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::size_t kind_count = std::variant_size_v<message>;

// A frame body in the compact protocol: version (i16, field 1), kind (i16,
// field 2) and message (struct, field 3).
std::string envelope(int version, int kind, std::string const& body)
{
    auto const i16 = [](int v) { return std::string(1, char(v << 1)); };
    return "\x14" + i16(version) + "\x14" + i16(kind) + "\x1c" + body +
           std::string(1, '\0');
}

// Code of the error that `f` throws; internal_error when it throws none.
template<typename F>
error_code thrown_code(F f)
{
    try
    {
        f();
    }
    catch (error const& e)
    {
        return e.code();
    }
    return error_code::internal_error;
}

} // namespace

// Guards against fields lost, swapped or truncated by encoding or decoding.
TEST_CASE("every message kind round-trips through the codec")
{
    auto const kind = GENERATE(range(std::size_t{0}, kind_count));
    seeded_random random(kind + 1);
    for (int i = 0; i < 50; ++i)
    {
        message const m = random_message(kind, random);
        INFO(kind_of(m));
        REQUIRE(equal_messages(decode(encode(m)), m));
    }
}

// Guards against a crash, a hang or an unexpected exception type when a peer
// sends corrupted frames.
TEST_CASE("corrupted frames decode or are rejected")
{
    auto const kind = GENERATE(range(std::size_t{0}, kind_count));
    seeded_random random(kind + 100);
    for (int i = 0; i < 400; ++i)
    {
        std::string body = encode(random_message(kind, random));
        for (auto n = random.below(4) + 1; n > 0; --n)
        {
            auto const at = random.below(body.size());
            switch (random.below(3))
            {
            case 0:
                body[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                body.resize(at + 1);
                break;
            default:
                body.insert(at, random_text(random));
            }
        }
        auto const code = thrown_code([&] { decode(body); });
        REQUIRE(
            (code == error_code::internal_error ||
             code == error_code::protocol_error));
    }
}

// Guards against the same failures on input that is not a frame at all.
TEST_CASE("random bytes decode or are rejected")
{
    seeded_random random(7);
    for (int i = 0; i < 20000; ++i)
    {
        std::string const body = random_text(random);
        auto const code = thrown_code([&] { decode(body); });
        REQUIRE(
            (code == error_code::internal_error ||
             code == error_code::protocol_error));
        REQUIRE_NOTHROW(thrown_code([&] { decode_hello(body); }));
    }
}

// Guards against processing messages of another protocol version or of an
// unknown kind, and field values that are out of range.
TEST_CASE("unknown versions, kinds and values are rejected")
{
    std::string const stop(1, '\0');
    auto const [what, body] = GENERATE_COPY(table<std::string, std::string>({
        {"version 2", envelope(2, 16, stop)},
        {"kind 0 is reserved for hello", envelope(1, 0, stop)},
        {"kind 26", envelope(1, 26, stop)},
        {"no body", std::string("\x14\x02\x14\x20\x00", 5)},
        {"empty", ""},
        {"rank 9 of a reserve", envelope(1, 1, "\x55\x12" + stop)},
        {"negative duration", envelope(1, 3, "\x56\x01" + stop)},
        {"list longer than the frame",
         envelope(1, 10, "\x59\xf8\xff\xff\x0f" + stop)},
        {"string longer than the frame",
         envelope(1, 10, "\x18\xff\xff\xff\x03" + stop)},
    }));
    INFO(what);
    auto const& bytes = body;
    REQUIRE(thrown_code([&] { decode(bytes); }) == error_code::protocol_error);
    REQUIRE_NOTHROW(decode(envelope(1, 16, stop)));
}

// Guards against a field added in a later release breaking this one.
TEST_CASE("unknown fields are skipped")
{
    std::string const stop(1, '\0');
    // ping {1: 5, 9: "abc", 10: list<i32>[1, 2]}
    auto const m = decode(envelope(
        1, 16,
        std::string("\x16\x0a\x88\x03") + "abc" + "\x19\x25\x02\x04" + stop));
    REQUIRE(std::get<ping>(m).sequence == 5);
}

// Guards against buffering an unbounded announced length, and against sending
// frames that every receiver rejects.
TEST_CASE("oversized frames are rejected by sender and receiver")
{
    REQUIRE(body_length("\x00\x80\x00\x00") == max_frame_bytes);
    REQUIRE(
        thrown_code([] { body_length("\x00\x80\x00\x01"); }) ==
        error_code::protocol_error);
    dispatch_generation large;
    large.prompt.assign(max_frame_bytes, 'x');
    REQUIRE(
        thrown_code([&] { encode(large); }) == error_code::payload_too_large);
    REQUIRE_NOTHROW(decode(encode(ping{1})));
}
