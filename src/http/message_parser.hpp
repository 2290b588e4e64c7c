// Incremental parsing of HTTP/1.x messages that are relayed byte for byte. The
// framing is http-parser's; this adds the checks against messages that two
// parsers could cut differently, and limits on the head.
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

namespace dotterellock
{

using header_list = std::vector<std::pair<std::string, std::string>>;

bool equal_ignoring_case(std::string_view a, std::string_view b);

/// The first value of a header, or null.
std::string const*
find_header(header_list const& headers, std::string_view name);

/// Headers that concern one connection only: the standard ones and those that
/// Connection names.
bool is_hop_by_hop(header_list const& headers, std::string_view name);

struct message_head
{
    std::string method;  // of a request
    std::string target;  // of a request, with its query
    unsigned status = 0; // of a response
    std::string reason;  // of a response
    bool http_1_0 = false;
    header_list headers;
};

/// Told of the parts of one message after another.
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
    enum class kind
    {
        request,
        response
    };

    message_parser(kind k, message_sink& sink);

    message_parser(message_parser const&) = delete;
    message_parser& operator=(message_parser const&) = delete;

    void set_max_head_bytes(std::size_t bytes) { max_head_bytes_ = bytes; }

    /// The next response answers a HEAD request and has no body.
    void expect_no_body(bool value) { no_body_ = value; }

    /// Parses up to the end of one message, or all bytes.
    /// @return number of bytes consumed; less than given after a message's end
    ///         or a problem
    std::size_t feed(std::string_view bytes);

    /// The peer closed the connection. A response without a length ends here.
    /// @return false when a message was cut
    bool finish();

    parse_error error() const { return error_; }
    bool in_message() const { return started_ && !complete_; }
    bool head_complete() const { return head_complete_; }

    /// Whether the connection may carry another message after this one.
    bool keep_alive() const { return keep_alive_; }

    /// Whether the end of the connection ends the body.
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

    kind const kind_;
    message_sink& sink_;
    http_parser parser_;
    message_head head_;
    bool in_value_ = false;
    bool started_ = false;
    bool head_complete_ = false;
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
