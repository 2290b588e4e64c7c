#include "shared_limit_codec.hpp"

#include <cmath>
#include <cstdint>
#include <limits>

#include <dotterellock/error.hpp>

namespace dotterellock
{

using json = nlohmann::json;

json encode_shared_limit(load_share::shared_limit const& limit)
{
    return json::array(
        {limit.endpoint.value(),
         limit.per_second ? json(*limit.per_second) : json(),
         std::uint64_t(limit.age.count())});
}

load_share::shared_limit decode_shared_limit(json const& item)
{
    auto const malformed = [](char const* detail)
    { return error(error_code::protocol_error, "decode", "", detail); };
    load_share::shared_limit limit;
    limit.endpoint = endpoint_id(item.at(0).get<std::string>());
    if (!item.at(1).is_null())
    {
        limit.per_second = item.at(1).get<double>();
        if (!std::isfinite(*limit.per_second) || *limit.per_second < 0)
            throw malformed("request limit is out of range");
    }
    // A 32-bit age is no overflow in any unit of time.
    auto const& age = item.at(2);
    if (!age.is_number_unsigned() ||
        age.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
        throw malformed("age of a request limit is out of range");
    limit.age = std::chrono::milliseconds(age.get<std::uint32_t>());
    return limit;
}

} // namespace dotterellock
