#include <catch2/catch.hpp>

#include <memory>
#include <utility>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include "random_value.hpp"
#include <manual_scheduler.hpp>
#include <wire/codec.hpp>
#include <wire/tcp_peer_transport.hpp>

using namespace dotterellock;
using asio::ip::tcp;

namespace
{

peer_id const router("router/r1");
peer_id const agent("agent/e1");

/// One process: its transport and what was delivered to it.
struct node
{
    node(asio::io_context& io, peer_id const& self, std::size_t max_waiting)
        : transport(
              io, settings(self, max_waiting),
              [this](peer_id const& from, message m)
              { received.emplace_back(from, std::move(m)); },
              [this](peer_id const& peer) { lost.push_back(peer); }, counters)
    {
        transport.start();
    }

    static tcp_transport_settings
    settings(peer_id const& self, std::size_t max_waiting)
    {
        tcp_transport_settings s;
        s.self = self;
        s.listen_address = "127.0.0.1:0";
        s.max_waiting_bytes = max_waiting;
        return s;
    }

    std::uint64_t last_sequence() const
    {
        return received.empty()
                   ? 0
                   : std::get<ping>(received.back().second).sequence;
    }

    counter_registry counters;
    std::vector<std::pair<peer_id, message>> received;
    std::vector<peer_id> lost;
    tcp_peer_transport transport;
};

struct pair_of_nodes
{
    explicit pair_of_nodes(std::size_t max_waiting = 16u << 20)
        : r(std::make_unique<node>(io, router, max_waiting)),
          a(std::make_unique<node>(io, agent, max_waiting))
    {
        r->transport.set_address(agent, a->transport.listening_on());
    }

    /// Runs handlers until `done`; the bound only ends a failed test.
    template<typename Done>
    bool run_until(Done done)
    {
        auto const limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!done() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(std::chrono::seconds(1));
        return done();
    }

    asio::io_context io;
    std::unique_ptr<node> r;
    std::unique_ptr<node> a;
};

/// A raw client, for what no well-behaved peer sends.
std::shared_ptr<tcp::socket> raw_connection(pair_of_nodes& nodes)
{
    auto const text = nodes.a->transport.listening_on();
    auto const port = std::stoi(text.substr(text.rfind(':') + 1));
    auto socket = std::make_shared<tcp::socket>(nodes.io);
    socket->connect(
        {asio::ip::make_address("127.0.0.1"),
         static_cast<std::uint16_t>(port)});
    return socket;
}

/// Sends bytes and waits until the other side closes the connection.
bool closed_after(pair_of_nodes& nodes, std::string const& bytes)
{
    auto const socket = raw_connection(nodes);
    asio::write(*socket, asio::buffer(bytes));
    auto const reply = std::make_shared<std::string>();
    auto const closed = std::make_shared<bool>(false);
    asio::async_read(
        *socket, asio::dynamic_buffer(*reply),
        [closed, socket, reply](asio::error_code, std::size_t)
        { *closed = true; });
    return nodes.run_until([&] { return *closed; });
}

std::string frame_of(hello const& h)
{
    std::string frame;
    append_frame(frame, h);
    return frame;
}

} // namespace

// Guards against reordered, lost or damaged messages, also across frames that
// are larger than any buffer.
TEST_CASE("messages arrive in order and answers use the same connection")
{
    pair_of_nodes nodes;
    testing::seeded_random random(11);
    std::vector<message> expected;
    for (std::size_t i = 0; i < 500; ++i)
    {
        expected.push_back(
            testing::random_message(i % std::variant_size_v<message>, random));
        nodes.r->transport.send(agent, expected.back());
    }
    dispatch_generation large;
    large.prompt.assign(5u << 20, 'p');
    expected.emplace_back(large);
    nodes.r->transport.send(agent, large);
    REQUIRE(nodes.run_until(
        [&] { return nodes.a->received.size() == expected.size(); }));
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        REQUIRE(nodes.a->received[i].first == router);
        REQUIRE(
            testing::equal_messages(nodes.a->received[i].second, expected[i]));
    }
    // The agent was never told an address of the router.
    nodes.a->transport.send(router, ping{7});
    REQUIRE(nodes.run_until([&] { return !nodes.r->received.empty(); }));
    REQUIRE(nodes.r->last_sequence() == 7);
}

// Guards against answers that follow a connection the router gave up, and
// against a reconnect that is reported as a failure.
TEST_CASE("after a reconnect both directions use the new connection")
{
    pair_of_nodes nodes;
    for (std::uint64_t round = 1; round <= 3; ++round)
    {
        nodes.r->transport.send(agent, ping{round});
        REQUIRE(
            nodes.run_until([&] { return nodes.a->last_sequence() == round; }));
        nodes.a->transport.send(router, ping{round});
        REQUIRE(
            nodes.run_until([&] { return nodes.r->last_sequence() == round; }));
        nodes.r->transport.reconnect(agent);
    }
    REQUIRE(nodes.r->lost.empty());
    REQUIRE(nodes.a->lost.empty());
}

// Guards against answers that follow an older connection, which the peer may
// have opened another one for because it was silent.
TEST_CASE("answers follow the connection that the peer opened last")
{
    pair_of_nodes nodes;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        sockets.push_back(raw_connection(nodes));
        std::string bytes = frame_of(hello{router, "test"});
        append_frame(bytes, ping{i});
        asio::write(*sockets.back(), asio::buffer(bytes));
        REQUIRE(nodes.run_until([&] { return nodes.a->last_sequence() == i; }));
    }
    std::string expected = frame_of(hello{agent, DOTTERELLOCK_VERSION});
    append_frame(expected, pong{9});
    nodes.a->transport.send(router, pong{9});
    std::string got(expected.size(), '\0');
    bool complete = false;
    asio::async_read(
        *sockets.back(), asio::buffer(got),
        [&](asio::error_code failure, std::size_t) { complete = !failure; });
    REQUIRE(nodes.run_until([&] { return complete; }));
    REQUIRE(got == expected);
}

// Guards against a reconnect for one request that loses the tokens of all the
// others, when the connection was healthy.
TEST_CASE("what is under way when a peer reconnects still arrives")
{
    pair_of_nodes nodes;
    nodes.r->transport.send(agent, ping{1});
    REQUIRE(nodes.run_until([&] { return nodes.a->last_sequence() == 1; }));
    call_result large;
    large.body.assign(4u << 20, 'b');
    nodes.a->transport.send(router, large);
    nodes.a->transport.send(router, ping{9});
    nodes.r->transport.reconnect(agent);
    nodes.r->transport.send(agent, ping{2});
    REQUIRE(nodes.run_until(
        [&] {
            return nodes.r->received.size() == 2 &&
                   nodes.a->last_sequence() == 2;
        }));
    REQUIRE(nodes.r->last_sequence() == 9);
    REQUIRE(nodes.r->lost.empty());
}

// Guards against a peer's death that nobody is told of, and against a
// connection that is never opened again.
TEST_CASE("a lost peer is reported once and dialled again")
{
    pair_of_nodes nodes;
    nodes.r->transport.send(agent, ping{1});
    REQUIRE(nodes.run_until([&] { return nodes.a->last_sequence() == 1; }));
    nodes.a->transport.stop();
    REQUIRE(nodes.run_until([&] { return nodes.r->lost.size() == 1; }));
    nodes.a = std::make_unique<node>(nodes.io, agent, 16u << 20);
    nodes.r->transport.set_address(agent, nodes.a->transport.listening_on());
    nodes.r->transport.send(agent, ping{2});
    REQUIRE(nodes.run_until([&] { return nodes.a->last_sequence() == 2; }));
    REQUIRE(nodes.r->lost.size() == 1);
}

// Guards against silence when a peer cannot be reached at all.
TEST_CASE("a refused connection and an unknown address are reported")
{
    pair_of_nodes nodes;
    auto const address = nodes.a->transport.listening_on();
    nodes.a.reset();
    nodes.r->transport.send(agent, ping{1});
    REQUIRE(nodes.run_until([&] { return nodes.r->lost.size() == 1; }));
    nodes.r->transport.send(peer_id("agent/unknown"), ping{1});
    REQUIRE(nodes.run_until([&] { return nodes.r->lost.size() == 2; }));
}

// Guards against memory that grows without a bound for a peer that does not
// read: the connection is dropped and reported.
TEST_CASE("a send queue that overflows drops the connection")
{
    pair_of_nodes nodes(1000);
    withdraw m;
    m.request = request_id(std::string(300, 'r'));
    for (int i = 0; i < 4; ++i)
        nodes.r->transport.send(agent, m);
    REQUIRE(nodes.run_until([&] { return !nodes.r->lost.empty(); }));
    REQUIRE(nodes.a->received.empty());
    nodes.r->transport.send(agent, m);
    REQUIRE(nodes.run_until([&] { return nodes.a->received.size() == 1; }));
}

// Guards against requests handed to whichever process now has the address.
TEST_CASE("a process with another id at the address is refused")
{
    pair_of_nodes nodes;
    peer_id const other("agent/e2");
    nodes.r->transport.set_address(other, nodes.a->transport.listening_on());
    nodes.r->transport.send(other, ping{1});
    REQUIRE(nodes.run_until([&] { return nodes.r->lost.size() == 1; }));
    REQUIRE(nodes.r->lost[0] == other);
}

// Guards against a connection that stays open, or a process that ends, after
// bytes that are no frames.
TEST_CASE("connections that break the protocol are closed")
{
    std::string const good = frame_of(hello{router, "test"});
    auto const [what, bytes] = GENERATE_COPY(table<std::string, std::string>({
        {"no greeting", std::string("\0\0\0\1x", 5)},
        {"greeting without a name", frame_of(hello{})},
        {"frame too long", good + std::string("\xff\xff\xff\xff")},
        {"undecodable message", good + std::string("\0\0\0\2ab", 6)},
    }));
    INFO(what);
    pair_of_nodes nodes;
    REQUIRE(closed_after(nodes, bytes));
    REQUIRE(nodes.a->received.empty());
    nodes.r->transport.send(agent, ping{3});
    REQUIRE(nodes.run_until([&] { return nodes.a->last_sequence() == 3; }));
}

// Guards against connections that hold a descriptor and never say who they
// are.
TEST_CASE("a connection without a greeting ends")
{
    pair_of_nodes nodes;
    REQUIRE(closed_after(nodes, ""));
}

// Guards against an address that is silently misread.
TEST_CASE("bad addresses are refused")
{
    pair_of_nodes nodes;
    auto const address = GENERATE(
        as<std::string>{}, "", "127.0.0.1", "host:1", "127.0.0.1:70000",
        "127.0.0.1:x", "1.2.3:4");
    REQUIRE_THROWS_AS(nodes.r->transport.set_address(agent, address), error);
}

// Guards against losing what a shard sends to another shard of its process.
TEST_CASE("messages to oneself are delivered in order")
{
    pair_of_nodes nodes;
    for (std::uint64_t i = 1; i <= 5; ++i)
        nodes.r->transport.send(router, ping{i});
    REQUIRE(nodes.r->received.empty());
    REQUIRE(nodes.run_until([&] { return nodes.r->received.size() == 5; }));
    REQUIRE(nodes.r->last_sequence() == 5);
}
