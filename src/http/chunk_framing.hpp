// Checks the line ends of a chunked body. http-parser, as Debian builds it,
// takes any two bytes for those behind a chunk, so that a chunk which stopped
// could be completed by the head of another message.
#ifndef DOTTERELLOCK_HTTP_CHUNK_FRAMING_HPP
#define DOTTERELLOCK_HTTP_CHUNK_FRAMING_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dotterellock
{

class chunk_framing
{
public:
    /// Number of the bytes before the first one that is at a wrong place. What
    /// follows the body is not looked at.
    std::size_t valid_bytes(std::string_view bytes);

private:
    enum class state
    {
        first_digit,
        size,
        extension,
        size_line_feed,
        data,
        data_carriage_return,
        data_line_feed,
        trailer_start,
        trailer,
        last_line_feed,
        done
    };

    bool accept(char c);
    bool accept_size(char c);

    state state_ = state::first_digit;
    std::uint64_t size_ = 0; // of the chunk, or what is left of it
};

} // namespace dotterellock

#endif
