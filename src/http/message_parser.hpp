// Incremental parser for relayed HTTP/1.x messages. http-parser does the
// framing; this class adds a limit on the head size and strict syntax, and
// rejects messages that two parsers could frame differently (request smuggling)
// and heads that hold the beginning of another one.
#ifndef DOTTERELLOCK_HTTP_MESSAGE_PARSER_HPP
#define DOTTERELLOCK_HTTP_MESSAGE_PARSER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <http_parser.h>

#include "chunk_framing.hpp"
#include "head_syntax.hpp"

namespace dotterellock
{

using header_list = std::vector<std::pair<std::string, std::string>>;

bool equal_ignoring_case(std::string_view a, std::string_view b);

/// The value of the first header with this name, or null.
std::string const*
find_header(header_list const& headers, std::string_view name);

/// Whether a header applies to one connection only: the standard hop-by-hop
/// headers and those listed in Connection.
bool is_hop_by_hop(header_list const& headers, std::string_view name);

struct message_head
{
    std::string method;  // request only
    std::string target;  // request only; includes the query
    unsigned status = 0; // response only
    std::string reason;  // response only
    bool http_1_0 = false;
    header_list headers;
};

/// Receives the parsed parts of consecutive messages.
class message_sink
{
public:
    virtual ~message_sink() = default;
    virtual void on_head(message_head head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_complete() = 0;
};

enum class parse_error
{
    none,
    malformed,
    head_too_large
};

class message_parser
{
public:
    using kind = message_kind;

    message_parser(kind k, message_sink& sink);

    message_parser(message_parser const&) = delete;
    message_parser& operator=(message_parser const&) = delete;

    void set_max_head_bytes(std::size_t bytes) { max_head_bytes_ = bytes; }

    /// The next response answers a HEAD request and has no body.
    void expect_no_body(bool value) { no_body_ = value; }

    /// Parses up to the end of one message, or all bytes.
    /// @return number of bytes consumed; fewer than given if a message ended or
    ///         an error occurred
    std::size_t feed(std::string_view bytes);

    /// Signals that the peer closed the connection, which completes a
    /// close-delimited response.
    /// @return false if a message was truncated
    bool finish();

    parse_error error() const { return error_; }
    bool in_message() const { return started_ && !complete_; }
    bool head_complete() const { return head_complete_; }

    /// Bytes that a head which is not complete holds.
    std::size_t held_bytes() const
    {
        return started_ && !head_complete_ ? head_bytes_ : 0;
    }

    /// Whether the connection may carry another message after this one.
    bool keep_alive() const { return keep_alive_; }

    /// Whether the body of the response ends when the connection closes.
    bool close_delimited() const { return close_delimited_; }

private:
    static int message_begin(http_parser* p);
    static int url(http_parser* p, char const* at, std::size_t length);
    static int status(http_parser* p, char const* at, std::size_t length);
    static int field(http_parser* p, char const* at, std::size_t length);
    static int value(http_parser* p, char const* at, std::size_t length);
    static int headers_complete(http_parser* p);
    static int body(http_parser* p, char const* at, std::size_t length);
    static int message_complete(http_parser* p);
    static http_parser_settings const& callbacks();

    int end_of_head();
    bool framing_is_unambiguous() const;
    bool holds_other_head() const;
    std::size_t execute(std::string_view bytes);
    std::size_t execute_body(std::string_view bytes);

    kind const kind_;
    message_sink& sink_;
    http_parser parser_;
    message_head head_;
    bool in_value_ = false;
    bool started_ = false;
    bool head_complete_ = false;
    bool head_ended_ = false; // in the current call
    head_syntax syntax_;
    bool chunked_ = false;
    chunk_framing chunks_;
    bool complete_ = false;
    bool keep_alive_ = false;
    bool close_delimited_ = false;
    bool no_body_ = false;
    std::size_t head_bytes_ = 0;
    std::size_t max_head_bytes_ = 16384;
    parse_error error_ = parse_error::none;
};

} // namespace dotterellock

#endif
