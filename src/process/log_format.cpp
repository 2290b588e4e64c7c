#include "log_format.hpp"

#include <nlohmann/json.hpp>

namespace dotterellock
{

namespace
{

std::string json_string(std::string const& text)
{
    return nlohmann::json(text).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Quotes values that are empty or contain separators or quotes.
std::string plain_value(std::string const& text)
{
    bool const plain = !text.empty() &&
                       text.find_first_of(" =\"\\\t\r\n") == std::string::npos;
    return plain ? text : json_string(text);
}

} // namespace

std::string
format_event(bool json, char const* event, std::vector<log_field> const& fields)
{
    std::string line = json ? R"({"event":)" + json_string(event)
                            : std::string("event=") + event;
    for (auto const& [key, value] : fields)
    {
        if (json)
            line += ',' + json_string(key) + ':' + json_string(value);
        else
            line += std::string(" ") + key + '=' + plain_value(value);
    }
    return json ? line + '}' : line;
}

} // namespace dotterellock
