#include "claims/claim_row.hpp"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace dotterellock
{

namespace
{

using json = nlohmann::json;

char const* state_name(claim_state state)
{
    switch (state)
    {
    case claim_state::claimed:
        return "claimed";
    case claim_state::done:
        return "done";
    case claim_state::not_run:
        return "not_run";
    }
    return "invalid";
}

claim_state parse_state(std::string const& name)
{
    for (auto const state :
         {claim_state::claimed, claim_state::done, claim_state::not_run})
    {
        if (name == state_name(state))
            return state;
    }
    throw error(
        error_code::protocol_error, "decode_claim", "store",
        "unknown claim state '" + name + "'");
}

// A body may contain arbitrary bytes, but a JSON string must be UTF-8.
json to_json_bytes(std::string const& text)
{
    return json(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string from_json(json const& value)
{
    if (value.is_string())
        return value.get<std::string>();
    auto const raw = value.get<std::vector<std::uint8_t>>();
    return std::string(raw.begin(), raw.end());
}

json to_json_text(std::string const& text)
{
    bool const ascii = std::all_of(
        text.begin(), text.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x80; });
    return ascii ? json(text) : to_json_bytes(text);
}

} // namespace

std::string claim_key(request_id const& request)
{
    return "claim/" + request.value();
}

std::string encode_claim(claim_row const& claim)
{
    json row = {
        {"request", to_json_text(claim.request.value())},
        {"attempt", claim.attempt},
        {"router", claim.router.value()},
        {"endpoint", claim.endpoint.value()},
        {"agent", claim.agent.value()},
        {"incarnation", claim.incarnation},
        {"body_hash", claim.body_hash},
        {"state", state_name(claim.state)}};
    if (claim.state == claim_state::done)
    {
        row["result_kept"] = claim.result_kept;
        row["status"] = claim.status;
        row["content_type"] = to_json_text(claim.content_type);
        row["body"] = to_json_text(claim.body);
    }
    if (!claim.detail.empty())
        row["detail"] = to_json_text(claim.detail);
    return row.dump();
}

std::optional<claim_row> decode_claim(std::string const& text)
{
    try
    {
        json const row = json::parse(text);
        claim_row claim;
        claim.request = request_id(from_json(row.at("request")));
        claim.attempt = row.at("attempt").get<attempt_number>();
        claim.router = peer_id(row.at("router").get<std::string>());
        claim.endpoint = endpoint_id(row.at("endpoint").get<std::string>());
        claim.agent = peer_id(row.at("agent").get<std::string>());
        claim.incarnation = row.at("incarnation").get<incarnation>();
        claim.body_hash = row.at("body_hash").get<std::uint64_t>();
        claim.state = parse_state(row.at("state").get<std::string>());
        if (claim.state == claim_state::done)
        {
            claim.result_kept = row.at("result_kept").get<bool>();
            claim.status = row.at("status").get<int>();
            claim.content_type = from_json(row.at("content_type"));
            claim.body = from_json(row.at("body"));
        }
        if (row.contains("detail"))
            claim.detail = from_json(row.at("detail"));
        return claim;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
    catch (error const&)
    {
        return std::nullopt;
    }
}

std::uint64_t hash_call(call_request const& request)
{
    // Each part is prefixed with its length, so that moving a character from
    // one part to the next changes the hash.
    std::string text;
    for (auto const* part :
         {&request.service.value(), &request.operation, &request.method,
          &request.path, &request.content_type, &request.body})
        text += std::to_string(part->size()) + ":" + *part;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace dotterellock
