#include "table_share_codec.hpp"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include <dotterellock/error.hpp>

#include "bounded_json.hpp"
#include "http/decimal.hpp"

namespace dotterellock
{

namespace
{

using json = nlohmann::json;

constexpr std::uint32_t format_without_updates = 1;
constexpr std::uint32_t format_with_updates = 2;

constexpr char updates_header[] = "Accept-Updates";
constexpr char updates_value[] = "yes";
constexpr char only_updates_value[] = "only";

constexpr std::string_view path_prefix = "/tables/v1/";

// Answers pass through two gateways at most where all is well.
constexpr std::size_t max_via = 16;

// Longer waits would outlast the time for which a copy may be used.
constexpr std::uint64_t max_wait_ms = 30000;

/// Removes and returns the text up to the next slash.
std::string_view take_segment(std::string_view& path)
{
    auto const slash = path.find('/');
    auto const segment = path.substr(0, slash);
    path.remove_prefix(
        slash == std::string_view::npos ? path.size() : slash + 1);
    return segment;
}

[[noreturn]] void throw_malformed(char const* what)
{
    throw error(error_code::protocol_error, "decode", "", what);
}

std::uint64_t uint64_of(json const& value)
{
    if (!value.is_number_unsigned())
        throw_malformed("table answer holds a number out of range");
    return value.get<std::uint64_t>();
}

json to_binary(std::string const& text)
{
    return json::binary({text.begin(), text.end()});
}

std::string from_binary(json const& value)
{
    auto const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Gateways of earlier versions ignore the header.
std::string updates_line(large_row_form form)
{
    switch (form)
    {
    case large_row_form::whole:
        break;
    case large_row_form::updates:
        return std::string("\r\n") + updates_header + ": " + updates_value;
    case large_row_form::only_updates:
        return std::string("\r\n") + updates_header + ": " + only_updates_value;
    }
    return {};
}

json to_json(row_update const& update)
{
    json steps = json::array();
    for (auto const& step : update.steps)
    {
        json parts = json::array();
        for (auto const& part : step.parts)
            parts.push_back(
                json::array({part.begin, part.length, to_binary(part.added)}));
        steps.push_back(json::array({step.checksum, parts}));
    }
    return json::array(
        {to_binary(update.key), update.base, update.revision, steps});
}

row_update update_of(json const& value)
{
    row_update update;
    update.key = from_binary(value.at(0));
    update.base = uint64_of(value.at(1));
    update.revision = uint64_of(value.at(2));
    for (auto const& item : value.at(3))
    {
        value_delta step;
        step.checksum = uint64_of(item.at(0));
        for (auto const& part : item.at(1))
            step.parts.push_back(
                {uint64_of(part.at(0)), uint64_of(part.at(1)),
                 from_binary(part.at(2))});
        update.steps.push_back(std::move(step));
    }
    return update;
}

} // namespace

std::string
encode_table_call(table_share_call const& call, std::string const& address)
{
    return "GET " + std::string(path_prefix) + call.table + '/' +
           std::to_string(call.after) + '/' +
           std::to_string(call.wait.count()) + " HTTP/1.1\r\nHost: " + address +
           updates_line(call.form) + "\r\n\r\n";
}

large_row_form decode_large_row_form(message_head const& head)
{
    auto const* const text = find_header(head.headers, updates_header);
    if (text == nullptr)
        return large_row_form::whole;
    return *text == only_updates_value ? large_row_form::only_updates
                                       : large_row_form::updates;
}

std::optional<table_share_call> decode_table_call(std::string_view target)
{
    if (target.substr(0, path_prefix.size()) != path_prefix)
        return std::nullopt;
    target.remove_prefix(path_prefix.size());
    table_share_call call;
    call.table = take_segment(target);
    auto const after = parse_decimal(take_segment(target));
    auto const wait = parse_decimal(target);
    if (call.table.empty() || !after || !wait || *wait > max_wait_ms)
        return std::nullopt;
    call.after = *after;
    call.wait = std::chrono::milliseconds(*wait);
    return call;
}

std::string encode_table_answer(row_read_result const& answer, bool updates)
{
    json rows = json::array();
    for (auto const& row : answer.rows)
        rows.push_back(json::array(
            {to_binary(row.key), to_binary(row.value), row.revision,
             row.deleted}));
    json via = json::array();
    for (auto const& host : answer.via)
        via.push_back(host.value());
    auto const proven =
        answer.proven_after_sending.value_or(std::chrono::milliseconds::min());
    auto message = json::array(
        {updates ? format_with_updates : format_without_updates,
         answer.revision, std::int64_t(proven.count()), rows, via});
    if (updates)
    {
        message.push_back(answer.changes_skipped);
        message.push_back(json::array());
        for (auto const& update : answer.updates)
            message.back().push_back(to_json(update));
    }
    std::string bytes;
    json::to_msgpack(message, bytes);
    return bytes;
}

row_read_result decode_table_answer(std::string_view bytes)
{
    try
    {
        auto const a = parse_message_pack(bytes, "the table answer");
        auto const format = uint64_of(a.at(0));
        if (format != format_without_updates && format != format_with_updates)
            throw_malformed("unsupported table answer format version");
        row_read_result answer;
        answer.status = row_read_status::ok;
        answer.revision = uint64_of(a.at(1));
        if (!a.at(2).is_number_integer())
            throw_malformed("table answer holds no time of proof");
        // Bounded, so that it can be added to a time.
        answer.proven_after_sending =
            std::chrono::milliseconds(std::clamp<std::int64_t>(
                a.at(2).get<std::int64_t>(), -std::int64_t(86400000),
                std::int64_t(max_wait_ms)));
        for (auto const& item : a.at(3))
        {
            store_row row;
            row.key = from_binary(item.at(0));
            row.value = from_binary(item.at(1));
            row.revision = uint64_of(item.at(2));
            row.deleted = item.at(3).get<bool>();
            answer.rows.push_back(std::move(row));
        }
        if (a.size() > 4) // absent in earlier versions
        {
            if (a.at(4).size() > max_via)
                throw_malformed("table answer came through too many gateways");
            for (auto const& host : a.at(4))
                answer.via.emplace_back(host.get<std::string>());
        }
        answer.changes_skipped = true;
        if (format == format_with_updates)
        {
            answer.changes_skipped = a.at(5).get<bool>();
            for (auto const& update : a.at(6))
                answer.updates.push_back(update_of(update));
        }
        return answer;
    }
    catch (json::exception const& e)
    {
        throw_malformed(e.what());
    }
}

} // namespace dotterellock
