#include "http_text.hpp"

#include <algorithm>
#include <cstdlib>

namespace dotterellock::testing::explorer
{

namespace
{

constexpr std::string_view line_end = "\r\n";

std::string lower_case(std::string_view text)
{
    std::string out(text);
    std::transform(
        out.begin(), out.end(), out.begin(),
        [](unsigned char c) { return char(std::tolower(c)); });
    return out;
}

void read_head(std::string_view head, received_message& out)
{
    auto end = head.find(line_end);
    out.start_line = std::string(head.substr(0, end));
    while (end != std::string_view::npos)
    {
        head.remove_prefix(end + line_end.size());
        end = head.find(line_end);
        auto const line = head.substr(0, end);
        auto const colon = line.find(": ");
        if (colon == std::string_view::npos)
        {
            out.malformed = out.malformed || !line.empty();
            continue;
        }
        out.headers[lower_case(line.substr(0, colon))] =
            std::string(line.substr(colon + 2));
    }
}

std::size_t read_chunks(std::string_view text, received_message& out)
{
    std::size_t at = 0;
    for (;;)
    {
        auto const line = text.find(line_end, at);
        if (line == std::string_view::npos)
            return text.size();
        auto const digits = std::string(text.substr(at, line - at));
        char* end = nullptr;
        std::size_t const size = std::strtoul(digits.c_str(), &end, 16);
        if (digits.empty() || *end != 0)
        {
            out.malformed = true;
            return text.size();
        }
        auto const begin = line + line_end.size();
        auto const available = std::min(size, text.size() - begin);
        out.body.append(text.substr(begin, available));
        at = begin + size + line_end.size();
        if (at > text.size())
            return text.size();
        if (text.substr(at - line_end.size(), line_end.size()) != line_end)
            out.malformed = true;
        if (size == 0)
        {
            out.complete = true;
            return at;
        }
    }
}

} // namespace

unsigned received_message::status() const
{
    constexpr std::size_t offset = 9; // of "HTTP/1.1 "
    return start_line.size() < offset
               ? 0
               : unsigned(
                     std::strtoul(start_line.c_str() + offset, nullptr, 10));
}

std::string received_message::header(std::string const& lower_case_name) const
{
    auto const found = headers.find(lower_case_name);
    return found == headers.end() ? std::string() : found->second;
}

std::size_t read_message(
    std::string_view text, bool response, bool ended, received_message& out)
{
    out = {};
    auto const end = text.find("\r\n\r\n");
    if (end == std::string_view::npos)
        return text.size();
    out.has_head = true;
    read_head(text.substr(0, end), out);
    auto const begin = end + 4;
    auto const rest = text.substr(begin);
    if (out.header("transfer-encoding") == "chunked")
        return begin + read_chunks(rest, out);
    auto const length = out.headers.find("content-length");
    if (length != out.headers.end())
    {
        std::size_t const bytes =
            std::strtoul(length->second.c_str(), nullptr, 10);
        out.body = std::string(rest.substr(0, bytes));
        out.complete = rest.size() >= bytes;
        return begin + out.body.size();
    }
    auto const status = out.status();
    if (!response || status == 204 || status == 304)
    {
        out.complete = true;
        return begin;
    }
    out.until_close = true;
    out.body = std::string(rest);
    out.complete = ended;
    return text.size();
}

} // namespace dotterellock::testing::explorer
