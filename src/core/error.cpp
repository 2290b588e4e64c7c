#include <dotterellock/error.hpp>

#include <array>

namespace dotterellock
{

namespace
{

struct code_entry
{
    error_code code;
    char const* name;
    int status;
};

constexpr std::array<code_entry, 25> code_table = {{
    {error_code::invalid_argument, "invalid_argument", 400},
    {error_code::unauthorised, "unauthorised", 401},
    {error_code::unknown_model, "unknown_model", 404},
    {error_code::unknown_service, "unknown_service", 404},
    {error_code::conflict, "conflict", 409},
    {error_code::payload_too_large, "payload_too_large", 413},
    {error_code::key_reused, "key_reused", 422},
    {error_code::rate_limited, "rate_limited", 429},
    {error_code::overloaded, "overloaded", 429},
    {error_code::model_version_gone, "model_version_gone", 503},
    {error_code::no_endpoint, "no_endpoint", 503},
    {error_code::store_unavailable, "store_unavailable", 503},
    {error_code::endpoint_draining, "endpoint_draining", 503},
    {error_code::stale_epoch, "stale_epoch", 409},
    {error_code::stale_incarnation, "stale_incarnation", 409},
    {error_code::stale_fencing_token, "stale_fencing_token", 409},
    {error_code::permit_expired, "permit_expired", 409},
    {error_code::not_run, "not_run", 503},
    {error_code::outcome_unknown, "outcome_unknown", 504},
    {error_code::deadline_exceeded, "deadline_exceeded", 504},
    {error_code::connection_lost, "connection_lost", 502},
    {error_code::engine_failed, "engine_failed", 502},
    {error_code::cancelled, "cancelled", 499},
    {error_code::shutting_down, "shutting_down", 503},
    {error_code::protocol_error, "protocol_error", 502},
}};

std::string error_text(
    error_code code, std::string const& step, std::string const& peer,
    std::string const& detail)
{
    std::string text = std::string(to_string(code)) + " at step " + step;
    if (!peer.empty())
        text += " with " + peer;
    if (!detail.empty())
        text += ": " + detail;
    return text;
}

} // namespace

char const* to_string(error_code code)
{
    for (auto const& entry : code_table)
    {
        if (entry.code == code)
            return entry.name;
    }
    return "internal_error";
}

int http_status(error_code code)
{
    for (auto const& entry : code_table)
    {
        if (entry.code == code)
            return entry.status;
    }
    return 500;
}

error::error(
    error_code code, std::string step, std::string peer,
    std::string const& detail, std::chrono::milliseconds retry_after)
    : std::runtime_error(error_text(code, step, peer, detail)), code_(code),
      step_(std::move(step)), peer_(std::move(peer)), detail_(detail),
      retry_after_(retry_after)
{
}

} // namespace dotterellock
