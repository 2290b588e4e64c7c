// Tells whether the body of a response ends where its framing says. A peer that
// stops within a response and then sends it, or another one, again on the same
// connection lets the second head and its body pass for the rest of the first.
#ifndef DOTTERELLOCK_HTTP_ANSWER_BOUNDARY_HPP
#define DOTTERELLOCK_HTTP_ANSWER_BOUNDARY_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "message_parser.hpp"

namespace dotterellock
{

class answer_boundary
{
public:
    // A longer head inside a body is not found.
    static constexpr std::size_t max_head_bytes = 65536;

    /// Adds bytes of the body.
    void append(std::string_view bytes) { text_.append(bytes); }

    /// The fields of the next complete response head inside the body, or
    /// nothing; it may be malformed. Called until it returns nothing after each
    /// append().
    std::optional<message_head> next_head();

    /// Whether the body, which ended by its length, is whole although
    /// `following` arrived behind it at once: those bytes begin a response, and
    /// none begins inside the body.
    bool whole_before(std::string_view following) const;

    /// Whether the body ends within a response head whose status line is
    /// complete.
    bool ends_in_head() const;

    std::size_t held_bytes() const { return text_.capacity(); }

private:
    bool find_status_line();
    std::size_t end_of_head();
    void drop(std::size_t bytes);

    std::string text_;        // from a status line on, or the last bytes
    std::size_t scanned_ = 0; // without the end of a head
    bool at_status_line_ = false;
    bool head_began_ = false; // also if it is not complete
};

} // namespace dotterellock

#endif
