// Reads HTTP/1.1 messages, independently of the parser under test.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_HTTP_TEXT_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_HTTP_TEXT_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace dotterellock::testing::explorer
{

struct received_message
{
    std::string start_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool has_head = false;
    bool complete = false;
    bool until_close = false; // its end is that of the connection
    bool malformed = false;

    unsigned status() const;
    std::string header(std::string const& lower_case_name) const;
};

/// Reads one message from the front of `text`, complete or not.
/// @param response  without a length, a response lasts until the connection
///                  ends, and a request has no body
/// @param ended     the connection has ended in order
/// @return  bytes of `text` that belong to it
std::size_t read_message(
    std::string_view text, bool response, bool ended, received_message& out);

} // namespace dotterellock::testing::explorer

#endif
