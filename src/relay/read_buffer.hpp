// Buffer that all connections of a thread read into, so that one without
// waiting bytes holds no memory. What is read is handled or copied before the
// next read.
#ifndef DOTTERELLOCK_RELAY_READ_BUFFER_HPP
#define DOTTERELLOCK_RELAY_READ_BUFFER_HPP

#include <algorithm>
#include <array>
#include <cstddef>

#include <asio/buffer.hpp>

#include "gateway/memory_budget.hpp"

namespace dotterellock
{

inline constexpr std::size_t min_read_bytes = 1024;
inline constexpr std::size_t max_read_bytes = 16384;

/// Room for one read. It shrinks with what is free, as each of many connections
/// may add one read to what it holds.
inline asio::mutable_buffer read_buffer(memory_budget const& memory)
{
    thread_local std::array<char, max_read_bytes> bytes;
    return asio::buffer(bytes, std::max(min_read_bytes, memory.allowance()));
}

} // namespace dotterellock

#endif
