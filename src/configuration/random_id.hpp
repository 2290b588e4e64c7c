// Random identifiers for process runs and write attempts.
#ifndef DOTTERELLOCK_CONFIGURATION_RANDOM_ID_HPP
#define DOTTERELLOCK_CONFIGURATION_RANDOM_ID_HPP

#include <cstdio>
#include <string>

#include <dotterellock/runtime.hpp>

namespace dotterellock
{

/// 64 random bits as 16 hexadecimal digits.
inline std::string random_id(random_source& random)
{
    char text[20];
    std::snprintf(
        text, sizeof(text), "%016llx",
        static_cast<unsigned long long>(random.next()));
    return text;
}

} // namespace dotterellock

#endif
