// Answers that libcurl's users must not take for whole or valid. Index: heads;
// early answers.
#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <string>

#include <clients/curl_executor.hpp>
#include <scripted_server.hpp>

using namespace dotterellock;
using testing::scripted_connection;
using testing::scripted_server;

namespace
{

http_response post(std::string const& url, std::string body)
{
    counter_registry counters;
    curl_executor curl(counters);
    auto const done = std::make_shared<std::promise<http_response>>();
    http_request request;
    request.method = "POST";
    request.url = url;
    request.body = std::move(body);
    request.timeout = std::chrono::seconds(20); // ends a failing test
    http_handlers handlers;
    handlers.on_done = [done](http_response r)
    { done->set_value(std::move(r)); };
    curl.submit(std::move(request), std::move(handlers));
    return done->get_future().get();
}

} // namespace

// Heads ----------------------------------------------------------------------

// The request counted as not sent, so one that may not be repeated would have
// run again.
TEST_CASE("a request that is answered without a valid status was sent")
{
    auto const status = GENERATE(as<std::string>{}, "000", "099", "2000", "20");
    CAPTURE(status);
    scripted_server server(
        [&](scripted_connection& c)
        {
            c.read_request();
            c.write("HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n");
        });
    auto const r = post(server.url(), "request");
    CHECK(r.sent);
    CHECK_FALSE(r.answered);
}

TEST_CASE("a request to a URL that is not supported was not sent")
{
    auto const r = post("gopher://127.0.0.1:9", "request");
    CHECK_FALSE(r.sent);
    CHECK_FALSE(r.answered);
}

// libcurl ignores malformed fields and takes any status from 100 to 999.
TEST_CASE("an answer with a malformed head counts as not arrived")
{
    using namespace std::string_literals;
    auto const head = GENERATE(
        as<std::string>{}, "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n",
        "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 0200 OK\r\n",
        "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 200 O\x01K\r\n",
        "HTTP/1.1 200 OK\r\nX A: b\r\n", "HTTP/1.1 200 OK\r\nX-A : b\r\n",
        "HTTP/1.1 200 OK\r\n X-A: b\r\n",
        "HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 3\r\n",
        "HTTP/1.1 200 OK\r\nX\x01: b\r\n", "HTTP/1.1 200 OK\r\nX\0: b\r\n"s,
        "HTTP/1.1 200 OK\r\nX-A: b\x7f\r\n", "HTTP/1.1 200 OK\r\nX-A\r\n",
        "HTTP/1.1 100 Continue\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX A: b\r\n");
    auto const framing = GENERATE(
        as<std::string>{}, "Content-Length: 4\r\n\r\nbody",
        "Connection: close\r\n\r\nbody");
    CAPTURE(head, framing);
    scripted_server server(
        [&](scripted_connection& c)
        {
            c.read_request();
            c.write(head + framing);
        });
    auto const r = post(server.url(), "request");
    CHECK(r.sent);
    CHECK_FALSE(r.answered);
    CHECK(r.body.empty());
    CHECK_FALSE(r.detail.empty());
}

TEST_CASE("an answer with a valid head arrives")
{
    auto const head = GENERATE(
        as<std::string>{}, "HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n",
        "HTTP/1.1 200 OK\r\nX-A:\r\n", "HTTP/1.1 200 OK\r\nX-A: caf\xe9\tb\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n"
        "HTTP/1.1 200 OK\r\n");
    auto const framing = GENERATE(
        as<std::string>{}, "Content-Length: 4\r\n\r\nbody",
        "Connection: close\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: t\r\n\r\n");
    CAPTURE(head, framing);
    scripted_server server(
        [&](scripted_connection& c)
        {
            c.read_request();
            c.write(head + framing);
        });
    auto const r = post(server.url(), "request");
    CHECK(r.sent);
    CHECK(r.answered);
    CHECK(r.status == 200);
    CHECK(r.body == "body");
}

// Early answers --------------------------------------------------------------

// A part of an answer without a length would be taken for the whole one.
TEST_CASE("an early answer that libcurl sees reset has not arrived")
{
    constexpr std::size_t body_size = 24u << 20;     // more than sockets buffer
    auto const unread_input = GENERATE(false, true); // else no linger time
    auto const part = GENERATE(as<std::size_t>{}, 0, 3000);
    CAPTURE(unread_input, part);
    scripted_server server(
        [&](scripted_connection& c)
        {
            c.read_request();
            c.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(part, 'p'));
            c.reset(unread_input);
        });
    auto const r = post(server.url(), std::string(body_size, 'b'));
    CHECK(r.sent);
    CHECK_FALSE(r.answered);
}
