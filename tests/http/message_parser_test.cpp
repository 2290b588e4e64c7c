// Index: requests; responses; arbitrary bytes.
#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "http/message_parser.hpp"

using namespace dotterellock;

namespace
{

struct recording_sink : message_sink
{
    std::vector<message_head> heads;
    std::vector<std::string> bodies;
    int completed = 0;

    void on_head(message_head head) override
    {
        heads.push_back(std::move(head));
        bodies.emplace_back();
    }
    void on_body(std::string_view bytes) override
    {
        bodies.back().append(bytes);
    }
    void on_complete() override { ++completed; }
};

/// Feeds text in pieces of `step` bytes, as a connection delivers it.
std::size_t
feed(message_parser& parser, std::string const& text, std::size_t step)
{
    std::size_t consumed = 0;
    while (consumed < text.size() && parser.error() == parse_error::none)
    {
        auto const piece = std::min(step, text.size() - consumed);
        auto const n =
            parser.feed(std::string_view(text).substr(consumed, piece));
        consumed += n;
        if (n == 0)
            break;
    }
    return consumed;
}

} // namespace

// Requests -------------------------------------------------------------------

TEST_CASE("a request is parsed independently of how it is split", "[http]")
{
    auto const step = GENERATE(std::size_t{1}, 2, 7, 1000);
    auto const body = GENERATE(
        as<std::string>{}, "Content-Length: 5\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    recording_sink sink;
    message_parser parser(message_parser::kind::request, sink);
    std::string const text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n" + body;
    feed(parser, text + text, step);
    REQUIRE(parser.error() == parse_error::none);
    REQUIRE(sink.completed == 2);
    for (int i = 0; i < 2; ++i)
    {
        REQUIRE(sink.heads[i].method == "POST");
        REQUIRE(sink.heads[i].target == "/a?b=c");
        REQUIRE(sink.bodies[i] == "hello");
    }
    REQUIRE(parser.keep_alive());
}

TEST_CASE("feed stops at the end of a request", "[http]")
{
    recording_sink sink;
    message_parser parser(message_parser::kind::request, sink);
    std::string const first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string const second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(parser.feed(first + second) == first.size());
    REQUIRE(sink.completed == 1);
}

// Guards against request smuggling: a request hidden in another one, which two
// parsers would frame differently.
TEST_CASE("ambiguous or malformed requests are rejected", "[http]")
{
    auto const text = GENERATE(
        as<std::string>{},
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        "Content-Length: 6\r\n\r\nhello!",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        "Content-Length: 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n"
        "\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5x\r\n\r\nhello",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: h\r\n\r\n", "GET /\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n", "NONSENSE\r\n\r\n");
    recording_sink sink;
    message_parser parser(message_parser::kind::request, sink);
    feed(parser, text, 1000);
    REQUIRE(parser.error() == parse_error::malformed);
    REQUIRE(sink.completed == 0);
}

TEST_CASE("a head over the size limit is rejected", "[http]")
{
    auto const step = GENERATE(std::size_t{1}, 100, 100000);
    recording_sink sink;
    message_parser parser(message_parser::kind::request, sink);
    parser.set_max_head_bytes(1000);
    feed(
        parser,
        "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') +
            "\r\n\r\n",
        step);
    REQUIRE(parser.error() == parse_error::head_too_large);
    REQUIRE(sink.completed == 0);
}

TEST_CASE("hop-by-hop headers are recognised", "[http]")
{
    header_list const headers{
        {"Connection", "keep-alive, X-Own"}, {"X-Own", "1"}, {"X-Other", "2"}};
    struct row
    {
        char const* name;
        bool hop_by_hop;
    };
    auto const r = GENERATE(
        row{"connection", true}, row{"x-own", true}, row{"X-Other", false},
        row{"Transfer-Encoding", true}, row{"content-length", true},
        row{"Keep-Alive", true}, row{"Content-Type", false});
    REQUIRE(is_hop_by_hop(headers, r.name) == r.hop_by_hop);
}

// Responses ------------------------------------------------------------------

TEST_CASE("a close-delimited response ends with its connection", "[http]")
{
    recording_sink sink;
    message_parser parser(message_parser::kind::response, sink);
    feed(parser, "HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome bytes", 4);
    REQUIRE(parser.close_delimited());
    REQUIRE(sink.completed == 0);
    REQUIRE(parser.finish());
    REQUIRE(sink.completed == 1);
    REQUIRE(sink.bodies[0] == "some bytes");
    REQUIRE_FALSE(parser.keep_alive());
}

TEST_CASE("a truncated response is not complete", "[http]")
{
    auto const text = GENERATE(
        as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 20");
    recording_sink sink;
    message_parser parser(message_parser::kind::response, sink);
    feed(parser, text, 3);
    REQUIRE_FALSE(parser.finish());
    REQUIRE(sink.completed == 0);
}

// Arbitrary bytes ------------------------------------------------------------

TEST_CASE("arbitrary bytes do not break the parser", "[http][fuzz]")
{
    auto const kind =
        GENERATE(message_parser::kind::request, message_parser::kind::response);
    REQUIRE(rc::check(
        "arbitrary bytes inserted into a message",
        [kind](std::string const& junk, std::size_t at, std::size_t step)
        {
            std::string text =
                kind == message_parser::kind::request
                    ? "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                      "\r\nabc"
                    : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3"
                      "\r\nabc\r\n0\r\n\r\n";
            text.insert(at % (text.size() + 1), junk);
            recording_sink sink;
            message_parser parser(kind, sink);
            feed(parser, text, 1 + step % 40);
            parser.finish();
            RC_ASSERT(std::size_t(sink.completed) <= sink.heads.size());
            for (auto const& body : sink.bodies)
                RC_ASSERT(body.size() <= text.size());
        }));
}
