// Answers that a slow link takes longer to carry than a call may wait for their
// beginning.
#include <catch2/catch.hpp>

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "gateway/silent_listeners.hpp"
#include "relay/http_caller.hpp"
#include "relay/peer_tables.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// Answers one request in parts, with pauses between them.
class paced_server
{
public:
    paced_server(asio::io_context& io, int parts, std::string part)
        : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), socket_(io),
          timer_(io), parts_(parts), part_(std::move(part))
    {
        acceptor_.async_accept(
            socket_,
            [this](asio::error_code const& e)
            {
                if (!e)
                    asio::async_read_until(
                        socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
                        [this](asio::error_code const&, std::size_t)
                        { begin(); });
            });
    }

    asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    void begin()
    {
        asio::write(
            socket_, asio::buffer(
                         "HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(part_.size() * std::size_t(parts_)) +
                         "\r\n\r\n"));
        send_next();
    }

    void send_next()
    {
        if (parts_-- == 0)
            return;
        asio::write(socket_, asio::buffer(part_));
        timer_.expires_after(milliseconds(50));
        timer_.async_wait(
            [this](asio::error_code const& e)
            {
                if (!e)
                    send_next();
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string request_;
    int parts_;
    std::string const part_;
};

} // namespace

// Guards against a large answer that is thrown away although it was coming.
TEST_CASE(
    "an answer that takes longer than its time limit arrives",
    "[tables][large]")
{
    relay_fixture f;
    paced_server server(f.io, 10, std::string(65536, 'x'));
    http_caller caller(f.io, f.clock, f.memory, memory_use::store, 8u << 20);
    std::optional<http_reply> got;
    caller.call(
        server.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        milliseconds(200), [&](http_reply reply) { got = std::move(reply); });
    REQUIRE(f.run_until([&] { return got.has_value(); }));
    CAPTURE(got->failure);
    REQUIRE(got->status == 200);
    REQUIRE(got->body.size() == 10 * 65536);
    REQUIRE(got->received == got->body.size());
}

// Guards against the handler of a call that was given up.
TEST_CASE(
    "a call that was given up ends without its handler", "[tables][large]")
{
    relay_fixture f;
    paced_server slow(f.io, 100, std::string(65536, 'x'));
    paced_server next(f.io, 1, "second");
    http_caller caller(f.io, f.clock, f.memory, memory_use::store, 8u << 20);
    bool first = false;
    std::optional<http_reply> second;
    caller.call(
        slow.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(2000),
        [&](http_reply const&) { first = true; });
    REQUIRE(f.run_until([&] { return caller.receiving() > 0; }));
    REQUIRE(caller.receiving() == 100 * 65536);
    if (GENERATE(true, false))
    {
        caller.cancel();
        REQUIRE_FALSE(caller.busy());
        REQUIRE(f.memory.held() == 0);
    }
    caller.call(
        next.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(2000),
        [&](http_reply reply) { second = std::move(reply); });
    REQUIRE(f.run_until([&] { return second.has_value(); }));
    REQUIRE(second->body == "second");
    REQUIRE_FALSE(first);
}

// Guards against a follower whose copy differs from that of its source.
TEST_CASE("a gateway builds large rows from differences", "[tables][large]")
{
    relay_fixture f;
    auto const value = [](int version)
    {
        std::string text;
        for (int i = 0; i < 9000; ++i)
            text += std::to_string(i == 4000 ? version : i * 7919) + ';';
        return text;
    };
    std::string const address = "127.0.0.1:" + std::to_string(f.free_port());
    silent_table_listener listener;
    shared_table source(listener, f.clock, milliseconds(2500));
    shared_table copy(listener, f.clock, milliseconds(2500));
    peer_table_service service(
        f.io, f.clock, f.memory, address,
        [](std::string const&) { return true; });
    service.offer("t", source);
    peer_table_client client(
        f.io, f.clock, f.memory, &copy, large_row_form::updates);
    std::uint64_t const base = GENERATE(11, 7); // of the copy's row
    CAPTURE(base);
    for (auto* const table : {&source, &copy})
    {
        table->on_listing({}, {});
        table->on_current({f.clock.now(), 5});
    }
    source.on_change({"k", value(1), 11, false}, {});
    source.on_current({f.clock.now(), 11});
    copy.on_change({"k", value(1), base, false}, {});
    copy.on_current({f.clock.now(), base});
    source.on_change({"k", value(2), 12, false}, {});
    source.on_current({f.clock.now(), 12});
    std::optional<row_read_result> got;
    auto const ask = [&]
    {
        got.reset();
        client.changes(
            address, "t", 11, milliseconds(0),
            [&](row_read_result answer) { got = std::move(answer); });
        REQUIRE(f.run_until([&] { return got.has_value(); }));
    };
    ask();
    if (base != 11)
    {
        REQUIRE(got->status == row_read_status::failed);
        ask(); // now whole
    }
    REQUIRE(got->status == row_read_status::ok);
    REQUIRE(got->rows.size() == 1);
    REQUIRE(got->rows[0].value == value(2));
    REQUIRE(got->rows[0].revision == 12);
    REQUIRE((got->received_bytes < 4096) == (base == 11));
}
