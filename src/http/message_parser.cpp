#include "message_parser.hpp"

#include <algorithm>
#include <cctype>

#include "status_line.hpp"

namespace dotterellock
{

namespace
{

// Does not count the trailer fields of a chunked body, which are dropped.
constexpr std::size_t max_header_fields = 200;

// ": " and CRLF
constexpr std::size_t header_overhead = 4;

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
}

bool contains_token(std::string_view list, std::string_view token)
{
    while (!list.empty())
    {
        auto const comma = list.find(',');
        auto item = list.substr(0, comma);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (equal_ignoring_case(item, token))
            return true;
        if (comma == std::string_view::npos)
            break;
        list.remove_prefix(comma + 1);
    }
    return false;
}

message_parser& parser_of(http_parser* p)
{
    return *static_cast<message_parser*>(p->data);
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(
               a.begin(), a.end(), b.begin(),
               [](char x, char y) { return lower(x) == lower(y); });
}

std::string const*
find_header(header_list const& headers, std::string_view name)
{
    for (auto const& [field, value] : headers)
    {
        if (equal_ignoring_case(field, name))
            return &value;
    }
    return nullptr;
}

bool is_hop_by_hop(header_list const& headers, std::string_view name)
{
    static constexpr std::string_view standard[] = {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "transfer-encoding",
        "content-length",
        "proxy-authenticate",
        "proxy-authorization",
        "expect"};
    for (auto const& s : standard)
    {
        if (equal_ignoring_case(name, s))
            return true;
    }
    for (auto const& [field, value] : headers)
    {
        if (equal_ignoring_case(field, "connection") &&
            contains_token(value, name))
            return true;
    }
    return false;
}

message_parser::message_parser(kind k, message_sink& sink)
    : kind_(k), sink_(sink), syntax_(k)
{
    http_parser_init(
        &parser_, k == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

std::size_t message_parser::feed(std::string_view bytes)
{
    if (error_ != parse_error::none)
        return 0;
    if (head_complete_ && !complete_)
        return execute_body(bytes);
    head_ended_ = false;
    auto const valid = syntax_.valid_bytes(bytes);
    std::size_t consumed = execute(bytes.substr(0, valid));
    if (started_ && !head_complete_)
    {
        head_bytes_ += consumed;
        if (head_bytes_ > max_head_bytes_ && error_ == parse_error::none)
            error_ = parse_error::head_too_large;
    }
    if (valid < bytes.size() && error_ == parse_error::none)
        error_ = parse_error::malformed;
    if (!head_ended_ || error_ != parse_error::none)
        return consumed;
    // The parser stopped before the last line feed of the head.
    bytes.remove_prefix(consumed);
    consumed += execute(bytes.substr(0, 1));
    if (complete_ || error_ != parse_error::none)
        return consumed;
    return consumed + execute_body(bytes.substr(1));
}

std::size_t message_parser::execute_body(std::string_view bytes)
{
    auto const valid = chunked_ ? chunks_.valid_bytes(bytes) : bytes.size();
    auto const consumed = execute(bytes.substr(0, valid));
    if (valid < bytes.size() && !complete_ && error_ == parse_error::none)
        error_ = parse_error::malformed;
    return consumed;
}

std::size_t message_parser::execute(std::string_view bytes)
{
    if (bytes.empty())
        return 0; // would signal the end of the connection
    http_parser_pause(&parser_, 0);
    std::size_t const consumed =
        http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    auto const code = HTTP_PARSER_ERRNO(&parser_);
    if (code == HPE_PAUSED)
    {
        // A paused parser counts the last byte of the message as consumed only
        // once it is resumed.
        http_parser_pause(&parser_, 0);
    }
    else if (code != HPE_OK && error_ == parse_error::none)
    {
        error_ = code == HPE_HEADER_OVERFLOW ? parse_error::head_too_large
                                             : parse_error::malformed;
    }
    if (parser_.upgrade != 0)
        error_ = parse_error::malformed;
    return consumed;
}

bool message_parser::finish()
{
    if (!in_message())
        return true;
    if (error_ != parse_error::none)
        return false;
    http_parser_pause(&parser_, 0);
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    return complete_ && error_ == parse_error::none;
}

http_parser_settings const& message_parser::callbacks()
{
    static http_parser_settings const settings = []
    {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = &message_parser::message_begin;
        s.on_url = &message_parser::url;
        s.on_status = &message_parser::status;
        s.on_header_field = &message_parser::field;
        s.on_header_value = &message_parser::value;
        s.on_headers_complete = &message_parser::headers_complete;
        s.on_body = &message_parser::body;
        s.on_message_complete = &message_parser::message_complete;
        return s;
    }();
    return settings;
}

int message_parser::message_begin(http_parser* p)
{
    auto& m = parser_of(p);
    m.head_ = {};
    m.in_value_ = false;
    m.started_ = true;
    m.head_complete_ = false;
    m.complete_ = false;
    m.close_delimited_ = false;
    m.head_bytes_ = 0;
    return 0;
}

int message_parser::url(http_parser* p, char const* at, std::size_t length)
{
    parser_of(p).head_.target.append(at, length);
    return 0;
}

int message_parser::status(http_parser* p, char const* at, std::size_t length)
{
    parser_of(p).head_.reason.append(at, length);
    return 0;
}

int message_parser::field(http_parser* p, char const* at, std::size_t length)
{
    auto& m = parser_of(p);
    if (m.head_complete_)
        return 0; // trailer field
    auto& headers = m.head_.headers;
    if (headers.empty() || m.in_value_)
    {
        if (headers.size() >= max_header_fields)
        {
            m.error_ = parse_error::head_too_large;
            return 1;
        }
        headers.emplace_back();
        m.in_value_ = false;
    }
    headers.back().first.append(at, length);
    return 0;
}

int message_parser::value(http_parser* p, char const* at, std::size_t length)
{
    auto& m = parser_of(p);
    if (m.head_complete_)
        return 0;
    m.in_value_ = true;
    m.head_.headers.back().second.append(at, length);
    return 0;
}

int message_parser::headers_complete(http_parser* p)
{
    auto& m = parser_of(p);
    auto const result = m.end_of_head();
    m.head_ended_ = true;
    m.chunked_ = (p->flags & F_CHUNKED) != 0;
    m.chunks_ = {};
    if (result >= 0)
        http_parser_pause(p, 1);
    return result;
}

int message_parser::body(http_parser* p, char const* at, std::size_t length)
{
    parser_of(p).sink_.on_body(std::string_view(at, length));
    return 0;
}

int message_parser::message_complete(http_parser* p)
{
    auto& m = parser_of(p);
    m.keep_alive_ = http_should_keep_alive(p) != 0 && !m.close_delimited_;
    m.complete_ = true;
    m.syntax_ = head_syntax(m.kind_);
    http_parser_pause(p, 1);
    m.sink_.on_complete();
    return 0;
}

int message_parser::end_of_head()
{
    head_.http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
    head_complete_ = true;
    if (parser_.http_major != 1 || !framing_is_unambiguous() ||
        (kind_ == kind::response && holds_other_head()))
    {
        error_ = parse_error::malformed;
        return -1;
    }
    std::size_t size = head_.target.size();
    for (auto const& [name, value] : head_.headers)
        size += name.size() + value.size() + header_overhead;
    if (size > max_head_bytes_)
    {
        error_ = parse_error::head_too_large;
        return -1;
    }
    if (kind_ == kind::request)
        head_.method =
            http_method_str(static_cast<http_method>(parser_.method));
    else
        head_.status = parser_.status_code;
    bool const bodiless = no_body_ || head_.status < 200 ||
                          head_.status == 204 || head_.status == 304;
    close_delimited_ =
        kind_ == kind::response && !bodiless &&
        find_header(head_.headers, "content-length") == nullptr &&
        find_header(head_.headers, "transfer-encoding") == nullptr;
    sink_.on_head(std::move(head_));
    return kind_ == kind::response && bodiless ? 1 : 0;
}

/// Whether a value was cut and continued by the head of another response.
bool message_parser::holds_other_head() const
{
    return contains_status_line(head_.reason) ||
           std::any_of(
               head_.headers.begin(), head_.headers.end(),
               [](auto const& h) { return contains_status_line(h.second); });
}

bool message_parser::framing_is_unambiguous() const
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    std::size_t hosts = 0;
    for (auto const& [name, value] : head_.headers)
    {
        if (equal_ignoring_case(name, "content-length"))
            ++lengths;
        if (equal_ignoring_case(name, "host"))
            ++hosts;
        if (!equal_ignoring_case(name, "transfer-encoding"))
            continue;
        ++encodings;
        if (!equal_ignoring_case(value, "chunked"))
            return false;
    }
    if (lengths + encodings > 1)
        return false;
    return kind_ == kind::response || hosts == 1 ||
           (hosts == 0 && head_.http_1_0);
}

} // namespace dotterellock
