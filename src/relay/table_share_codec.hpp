// Encoding of the calls between gateways for changes of a table. A call is a
// GET whose target names the table; its answer is one MessagePack value.
#ifndef DOTTERELLOCK_RELAY_TABLE_SHARE_CODEC_HPP
#define DOTTERELLOCK_RELAY_TABLE_SHARE_CODEC_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/table_watcher.hpp"
#include "http/message_parser.hpp"

namespace dotterellock
{

struct table_share_call
{
    std::string table;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};
    large_row_form form = large_row_form::whole;
};

/// Request with head, for the host at `address`.
std::string
encode_table_call(table_share_call const& call, std::string const& address);

/// Decodes the target of a request; nothing if it is no such call.
std::optional<table_share_call> decode_table_call(std::string_view target);

/// How the sender of a request takes large rows.
large_row_form decode_large_row_form(message_head const& head);

/// Encodes an answer whose status is ok.
/// @param updates  whether the call takes them; gateways of earlier versions
///                 do not
std::string
encode_table_answer(row_read_result const& answer, bool updates = false);

/// Throws error(protocol_error) for anything else than an encoded answer.
row_read_result decode_table_answer(std::string_view bytes);

} // namespace dotterellock

#endif
