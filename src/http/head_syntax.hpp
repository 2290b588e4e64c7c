// Checks the bytes of a message head (RFC 9112, 2 to 5; RFC 9110, 5.5 and 15).
// http-parser, as Debian builds it, takes a line that begins with a blank for a
// part of the field above, and accepts blanks in names, control bytes in
// targets and reason phrases, and statuses of any value and number of digits.
#ifndef DOTTERELLOCK_HTTP_HEAD_SYNTAX_HPP
#define DOTTERELLOCK_HTTP_HEAD_SYNTAX_HPP

#include <cstddef>
#include <string_view>

namespace dotterellock
{

enum class message_kind
{
    request,
    response
};

class head_syntax
{
public:
    explicit head_syntax(message_kind kind) : kind_(kind) {}

    /// Number of the bytes before the first one that is at a wrong place. What
    /// follows the head is not looked at.
    std::size_t valid_bytes(std::string_view bytes);

    bool complete() const { return state_ == state::done; }

private:
    enum class state
    {
        blank_lines, // before the head
        version,     // of a response
        status,
        status_end,
        first_line, // of a request; of a response, its reason phrase
        line_feed,
        name_start,
        name,
        value,
        last_line_feed,
        done
    };

    bool accept(unsigned char c);
    bool accept_line_end(unsigned char c);

    message_kind kind_;
    state state_ = state::blank_lines;
    int status_digits_ = 0;
};

} // namespace dotterellock

#endif
