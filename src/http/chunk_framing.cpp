#include "chunk_framing.hpp"

#include <algorithm>
#include <limits>
#include <optional>

namespace dotterellock
{

namespace
{

std::optional<unsigned> hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return unsigned(c - '0');
    if (c >= 'a' && c <= 'f')
        return unsigned(c - 'a' + 10);
    if (c >= 'A' && c <= 'F')
        return unsigned(c - 'A' + 10);
    return std::nullopt;
}

} // namespace

std::size_t chunk_framing::valid_bytes(std::string_view bytes)
{
    std::size_t at = 0;
    while (at < bytes.size() && state_ != state::done)
    {
        if (state_ == state::data)
        {
            auto const n = std::min<std::uint64_t>(size_, bytes.size() - at);
            at += std::size_t(n);
            size_ -= n;
            if (size_ == 0)
                state_ = state::data_carriage_return;
            continue;
        }
        if (!accept(bytes[at]))
            return at;
        ++at;
    }
    return bytes.size();
}

bool chunk_framing::accept_size(char c)
{
    auto const digit = hex_digit(c);
    if (!digit)
    {
        state_ = c == '\r' ? state::size_line_feed : state::extension;
        return c == '\r' || c == ';' || c == ' ' || c == '\t';
    }
    if (size_ > std::numeric_limits<std::uint64_t>::max() / 16)
        return false;
    size_ = size_ * 16 + *digit;
    return true;
}

/// False for a byte that must not be here.
bool chunk_framing::accept(char c)
{
    switch (state_)
    {
    case state::first_digit:
        size_ = 0;
        state_ = state::size;
        return hex_digit(c) && accept_size(c);
    case state::size:
        return accept_size(c);
    case state::extension:
        if (c == '\r')
            state_ = state::size_line_feed;
        return c != '\n';
    case state::size_line_feed:
        state_ = size_ == 0 ? state::trailer_start : state::data;
        return c == '\n';
    case state::data_carriage_return:
        state_ = state::data_line_feed;
        return c == '\r';
    case state::data_line_feed:
        state_ = state::first_digit;
        return c == '\n';
    case state::trailer_start:
        state_ = c == '\r' ? state::last_line_feed : state::trailer;
        return c != '\n';
    case state::trailer:
        if (c == '\n')
            state_ = state::trailer_start;
        return true;
    case state::last_line_feed:
        state_ = state::done;
        return c == '\n';
    case state::data:
    case state::done:
        break;
    }
    return true;
}

} // namespace dotterellock
