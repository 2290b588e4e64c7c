// Encodes text for the path or the query of a URL.
#ifndef DOTTERELLOCK_CLIENTS_PERCENT_ENCODING_HPP
#define DOTTERELLOCK_CLIENTS_PERCENT_ENCODING_HPP

#include <cctype>
#include <string>

namespace dotterellock
{

inline std::string percent_encode(std::string const& text)
{
    constexpr char const* digits = "0123456789ABCDEF";
    std::string encoded;
    for (char const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.')
        {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace dotterellock

#endif
