#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <dotterellock/error.hpp>

#include "relay/load_share_codec.hpp"

using namespace dotterellock;

namespace
{

load_share share_of(std::size_t endpoints)
{
    load_share share;
    share.gateway = host_id("front-1");
    share.incarnation = 7;
    share.sequence = 9;
    for (std::size_t i = 0; i < endpoints; ++i)
        share.loads.push_back(
            {endpoint_id("i-" + std::to_string(i)), {1, 8650, 8000}});
    share.failed = {endpoint_id("i-1")};
    return share;
}

} // namespace

TEST_CASE("a load share survives its datagram", "[share]")
{
    auto const share = decode_load_share(encode_load_share(share_of(3)));
    REQUIRE(share.gateway.value() == "front-1");
    REQUIRE(share.incarnation == 7);
    REQUIRE(share.sequence == 9);
    REQUIRE(share.loads.size() == 3);
    REQUIRE(share.loads[2].load.memory_tokens == 8650);
    REQUIRE(share.failed.at(0).value() == "i-1");
}

TEST_CASE("a share that is too long is cut to one datagram", "[share]")
{
    auto const bytes = encode_load_share(share_of(1000));
    REQUIRE(bytes.size() <= max_load_share_bytes);
    REQUIRE(decode_load_share(bytes).loads.size() > 20);
}

TEST_CASE("arbitrary datagrams are errors or shares", "[share][fuzz]")
{
    REQUIRE(rc::check(
        "damaged datagrams",
        [](std::string const& junk, std::size_t at)
        {
            auto bytes = encode_load_share(share_of(2));
            at %= bytes.size();
            bytes.replace(at, std::min(junk.size(), bytes.size() - at), junk);
            for (auto const& text : {bytes, junk})
            {
                try
                {
                    decode_load_share(text);
                }
                catch (error const&)
                {
                    // what a decoder is allowed to throw
                }
            }
        }));
}
