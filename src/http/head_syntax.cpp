#include "head_syntax.hpp"

namespace dotterellock
{

namespace
{

constexpr int status_length = 3; // digits

constexpr std::string_view name_punctuation = "!#$%&'*+-.^_`|~";

bool is_digit(unsigned char c)
{
    return c >= '0' && c <= '9';
}

bool is_name_character(unsigned char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || is_digit(c) ||
           name_punctuation.find(char(c)) != std::string_view::npos;
}

bool is_control(unsigned char c)
{
    return c < 0x20 || c == 0x7f;
}

} // namespace

std::size_t head_syntax::valid_bytes(std::string_view bytes)
{
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        if (complete())
            break;
        if (!accept(static_cast<unsigned char>(bytes[at])))
            return at;
    }
    return bytes.size();
}

/// Whether the byte ends a line, which it does to the state as well.
bool head_syntax::accept_line_end(unsigned char c)
{
    if (c != '\r' && c != '\n')
        return false;
    state_ = c == '\r' ? state::line_feed : state::name_start;
    return true;
}

/// False for a byte that must not be here.
bool head_syntax::accept(unsigned char c)
{
    switch (state_)
    {
    case state::blank_lines:
        if (c == '\r' || c == '\n')
            return true;
        state_ = kind_ == message_kind::response ? state::version
                                                 : state::first_line;
        return !is_control(c);
    case state::version:
        if (c == ' ')
            state_ = state::status;
        return !is_control(c);
    case state::status:
        if (++status_digits_ == status_length)
            state_ = state::status_end;
        return status_digits_ == 1 ? c >= '1' && c <= '5' : is_digit(c);
    case state::status_end:
        if (accept_line_end(c))
            return true;
        state_ = state::first_line;
        return c == ' ';
    case state::first_line:
        return accept_line_end(c) || !is_control(c) ||
               (c == '\t' && kind_ == message_kind::response);
    case state::line_feed:
        state_ = state::name_start;
        return c == '\n';
    case state::name_start:
        if (c == '\r' || c == '\n')
        {
            state_ = c == '\r' ? state::last_line_feed : state::done;
            return true;
        }
        state_ = state::name;
        return is_name_character(c);
    case state::name:
        if (c == ':')
            state_ = state::value;
        return c == ':' || is_name_character(c);
    case state::value:
        return accept_line_end(c) || !is_control(c) || c == '\t';
    case state::last_line_feed:
        state_ = state::done;
        return c == '\n';
    case state::done:
        break;
    }
    return true;
}

} // namespace dotterellock
