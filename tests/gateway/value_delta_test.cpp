// Differences between versions of a large value.
#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <functional>

#include "gateway/value_delta.hpp"

using namespace dotterellock;

namespace
{

constexpr std::size_t any_size = 64u << 20;

/// A value of many similar entries, like a configuration.
std::string entries(int count, int changed = -1)
{
    std::string text = "{\"version\":" + std::to_string(changed) + ",[";
    for (int i = 0; i < count; ++i)
        text += "{\"name\":\"r" + std::to_string(i * 7919) +
                "\",\"timeout\":" + (i == changed ? "1" : "25000") + "},";
    return text + "]}";
}

} // namespace

// Guards against a small change that is passed on as large as the value.
TEST_CASE("the difference of a small change is small", "[tables]")
{
    auto const from = entries(6000);
    struct row
    {
        char const* name;
        std::string to;
    };
    auto const r = GENERATE_COPY(
        row{"one entry changed", entries(6000, 3000)},
        row{"the first entry changed", entries(6000, 0)},
        row{"an entry was added", entries(6001)},
        row{"the last entry was removed", entries(5999)},
        row{"an entry was inserted", "x" + from}, row{"nothing changed", from});
    CAPTURE(r.name);
    auto const delta = make_value_delta(from, r.to, any_size);
    REQUIRE(delta);
    REQUIRE(delta->size() < 8192);
    REQUIRE(apply_value_delta(from, *delta, any_size) == r.to);
}

// Guards against a copy that is built from another value than the difference.
TEST_CASE("a difference fits only the value that it was made of", "[tables]")
{
    auto const from = entries(400);
    auto const delta = make_value_delta(from, entries(400, 7), any_size);
    REQUIRE_FALSE(apply_value_delta(entries(400, 8), *delta, any_size));
    REQUIRE_FALSE(apply_value_delta("", *delta, any_size));
    REQUIRE_FALSE(apply_value_delta(from, *delta, 1000));
}

// Guards against reads outside the old value.
TEST_CASE("a malformed difference is refused", "[tables]")
{
    auto const max = std::numeric_limits<std::uint64_t>::max();
    struct row
    {
        std::uint64_t begin;
        std::uint64_t length;
    };
    auto const r = GENERATE_COPY(
        row{11, 0}, row{0, 11}, row{5, 6}, row{max, 1}, row{1, max},
        row{max, max});
    CAPTURE(r.begin, r.length);
    value_delta delta;
    delta.parts = {{r.begin, r.length, "x"}};
    REQUIRE_FALSE(apply_value_delta("0123456789", delta, any_size));
}

TEST_CASE("a difference that is too large is not made", "[tables]")
{
    REQUIRE_FALSE(make_value_delta(entries(100), std::string(9000, 'x'), 4000));
    REQUIRE(make_value_delta("", "", 0));
}

TEST_CASE("differences lead to the new value", "[tables]")
{
    REQUIRE(rc::check(
        "random values",
        [](std::string const& a, std::string const& b, std::string const& c)
        {
            auto const from = a + entries(20) + b;
            auto const to = b + entries(20, 3) + c + a;
            auto const delta = make_value_delta(from, to, any_size);
            RC_ASSERT(delta.has_value());
            RC_ASSERT(apply_value_delta(from, *delta, any_size) == to);
        }));
}
