#include "configuration/wall_time_text.hpp"

#include <cstdint>
#include <cstdio>

#include <dotterellock/error.hpp>

namespace dotterellock
{

namespace
{

constexpr std::int64_t seconds_per_day = 86400;

/// Days since 1970-01-01 in the Gregorian calendar (Howard Hinnant,
/// "chrono-compatible low-level date algorithms").
std::int64_t days_from_civil(std::int64_t y, unsigned m, unsigned d)
{
    y -= m <= 2 ? 1 : 0;
    std::int64_t const era = y / 400;
    auto const yoe = static_cast<unsigned>(y - era * 400);
    unsigned const doy = (153 * (m > 2 ? m - 3 : m + 9) + 2) / 5 + d - 1;
    unsigned const doe = yoe * 365 + yoe / 4 - yoe / 100 + doy;
    return era * 146097 + static_cast<std::int64_t>(doe) - 719468;
}

struct civil_date
{
    std::int64_t year;
    unsigned month;
    unsigned day;
};

civil_date civil_from_days(std::int64_t z)
{
    z += 719468;
    std::int64_t const era = z / 146097;
    auto const doe = static_cast<unsigned>(z - era * 146097);
    unsigned const yoe = (doe - doe / 1460 + doe / 36524 - doe / 146096) / 365;
    unsigned const doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    unsigned const mp = (5 * doy + 2) / 153;
    unsigned const month = mp < 10 ? mp + 3 : mp - 9;
    std::int64_t const year = yoe + era * 400 + (month <= 2 ? 1 : 0);
    return {year, month, doy - (153 * mp + 2) / 5 + 1};
}

bool is_utc_form(std::string const& text)
{
    std::string const form = "dddd-dd-ddTdd:dd:ddZ";
    if (text.size() != form.size())
        return false;
    for (std::size_t i = 0; i < form.size(); ++i)
    {
        bool const digit = text[i] >= '0' && text[i] <= '9';
        if (form[i] == 'd' ? !digit : text[i] != form[i])
            return false;
    }
    return true;
}

} // namespace

wall_time parse_wall_time(std::string const& text)
{
    auto const refuse = [&text]
    {
        throw error(
            error_code::invalid_argument, "parse_time", "",
            "'" + text +
                "' is not a time; allowed: UTC as YYYY-MM-DDThh:mm:ssZ");
    };
    if (!is_utc_form(text))
        refuse();
    auto const field = [&text](std::size_t at, std::size_t length)
    { return static_cast<unsigned>(std::stoul(text.substr(at, length))); };
    unsigned const year = field(0, 4);
    unsigned const month = field(5, 2);
    unsigned const day = field(8, 2);
    unsigned const hour = field(11, 2);
    unsigned const minute = field(14, 2);
    unsigned const second = field(17, 2);
    if (year < 1970 || month < 1 || month > 12 || day < 1 || hour > 23 ||
        minute > 59 || second > 59)
        refuse();
    std::int64_t const days = days_from_civil(year, month, day);
    civil_date const back = civil_from_days(days);
    if (back.month != month || back.day != day) // e.g. 30 February
        refuse();
    std::int64_t const in_day = hour * 3600 + minute * 60 + second;
    return wall_time{} + std::chrono::seconds(days * seconds_per_day + in_day);
}

std::string format_wall_time(wall_time time)
{
    std::int64_t const total = std::chrono::duration_cast<std::chrono::seconds>(
                                   time.time_since_epoch())
                                   .count();
    civil_date const date = civil_from_days(total / seconds_per_day);
    auto const in_day = static_cast<unsigned>(total % seconds_per_day);
    char text[64];
    std::snprintf(
        text, sizeof(text), "%04lld-%02u-%02uT%02u:%02u:%02uZ",
        static_cast<long long>(date.year), date.month, date.day, in_day / 3600,
        in_day / 60 % 60, in_day % 60);
    return text;
}

} // namespace dotterellock
