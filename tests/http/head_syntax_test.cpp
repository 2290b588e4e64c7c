#include <catch2/catch.hpp>

#include <cstdio>

#include "http/head_syntax.hpp"

using namespace dotterellock;

namespace
{

/// Whether the bytes are a valid head, or the beginning of one, however they
/// are split.
bool valid(message_kind kind, std::string const& text)
{
    head_syntax whole(kind);
    bool const result = whole.valid_bytes(text) == text.size();
    head_syntax split(kind);
    std::size_t at = 0;
    while (at < text.size() &&
           split.valid_bytes(std::string_view(text).substr(at, 1)) == 1)
        ++at;
    REQUIRE((at == text.size()) == result);
    REQUIRE((!result || whole.complete() == split.complete()));
    return result;
}

std::string with(std::string const& before, int byte, std::string const& after)
{
    return before + char(byte) + after;
}

} // namespace

// Guards against bytes that one reader takes for a part of a field, and another
// one for its end.
TEST_CASE("bytes of a head are checked by their place", "[http]")
{
    auto const kind = GENERATE(message_kind::request, message_kind::response);
    std::string const line = kind == message_kind::request
                                 ? "GET / HTTP/1.1\r\n"
                                 : "HTTP/1.1 200 OK\r\n";
    std::string const punctuation = "!#$%&'*+-.^_`|~";
    for (int byte = 0; byte < 256; ++byte)
    {
        CAPTURE(byte);
        bool const letter =
            (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
        bool const digit = byte >= '0' && byte <= '9';
        bool const token =
            letter || digit ||
            (byte != 0 && punctuation.find(char(byte)) != std::string::npos);
        bool const text = byte >= 0x20 && byte != 0x7f;
        // The first byte of a line, where a line feed ends the head; a later
        // one of a name; one of a value.
        CHECK(
            valid(kind, line + with("", byte, "A: b\r\n\r\n")) ==
            (token || byte == '\n'));
        CHECK(
            valid(kind, line + with("X", byte, "A: b\r\n\r\n")) ==
            (token || byte == ':'));
        CHECK(
            valid(kind, line + with("X: a", byte, "Y: b\r\n\r\n")) ==
            (text || byte == '\t' || byte == '\n'));
        // The byte behind a carriage return.
        CHECK(
            valid(kind, line + with("X: a\r", byte, "Y: b\r\n\r\n")) ==
            (byte == '\n'));
        CHECK(
            valid(kind, line + with("X: a\r\n\r", byte, "")) == (byte == '\n'));
        // The target or the reason phrase.
        auto const first_line = kind == message_kind::request
                                    ? with("GET /", byte, " HTTP/1.1\r\n\r\n")
                                    : with("HTTP/1.1 200 O", byte, "\r\n\r\n");
        bool const tab = byte == '\t' && kind == message_kind::response;
        if (byte != '\r' && byte != '\n')
            CHECK(valid(kind, first_line) == (text || tab));
    }
}

// Guards against an answer with a status that no answer may have, or that
// another reader takes for another one.
TEST_CASE("a status has three digits, from 100 to 599", "[http]")
{
    for (int status = 0; status <= 1100; ++status)
    {
        CAPTURE(status);
        char digits[8];
        std::snprintf(digits, sizeof digits, "%03d", status);
        for (std::string const reason : {"", " ", " OK"})
            CHECK(
                valid(
                    message_kind::response,
                    std::string("HTTP/1.1 ") + digits + reason + "\r\n\r\n") ==
                (status >= 100 && status <= 599));
    }
    auto const text = GENERATE(
        as<std::string>{}, "", " ", "2", "20", "20 OK", "0200 OK", "-20 OK",
        "+200 OK", " 200 OK", "2 00 OK", "200OK", "200\tOK", "2x0 OK");
    CAPTURE(text);
    CHECK_FALSE(valid(message_kind::response, "HTTP/1.1 " + text + "\r\n\r\n"));
}

TEST_CASE("what follows a head is not looked at", "[http]")
{
    auto const end = GENERATE(as<std::string>{}, "\r\n\r\n", "\n\n", "\r\n\n");
    auto const text = "\r\n\nHTTP/1.1 200 OK\r\nX: y" + end + "\x01 :";
    head_syntax syntax(message_kind::response);
    REQUIRE(syntax.valid_bytes(text) == text.size());
    REQUIRE(syntax.complete());
}
