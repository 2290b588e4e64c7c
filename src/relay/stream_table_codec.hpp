// Encoding of the rows that tell which version began a stream: the base version
// of a service, and the records of one gateway. Each value is MessagePack.
#ifndef DOTTERELLOCK_RELAY_STREAM_TABLE_CODEC_HPP
#define DOTTERELLOCK_RELAY_STREAM_TABLE_CODEC_HPP

#include <string>

#include "gateway/stream_versions.hpp"
#include "gateway/table_watcher.hpp"

namespace dotterellock
{

constexpr char stream_table_name[] = "stream_versions";

std::string base_version_key(service_name const& service);
std::string
stream_records_key(service_name const& service, host_id const& gateway);

std::string encode_base_version(base_version const& base);
std::string encode_stream_records(stream_records const& records);

/// Adds a row to the table. Throws error(protocol_error) if it is malformed.
void decode_stream_row(store_row const& row, stream_table& table);

} // namespace dotterellock

#endif
