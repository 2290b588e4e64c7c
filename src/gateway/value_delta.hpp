// Difference between two versions of a large value, so that a change of a few
// bytes is passed on as such. Both values are cut into blocks where their
// content says so, and blocks that the old value has are copied from it.
//
// Source: content-defined chunking with a gear hash, as in FastCDC (Xia et al.,
// USENIX ATC 2016), without its normalisation of block sizes.
#ifndef DOTTERELLOCK_GATEWAY_VALUE_DELTA_HPP
#define DOTTERELLOCK_GATEWAY_VALUE_DELTA_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterellock
{

struct value_delta
{
    /// A copy of the old value's bytes, followed by new ones.
    struct part
    {
        std::uint64_t begin = 0; // in the old value
        std::uint64_t length = 0;
        std::string added;
    };

    std::vector<part> parts;
    std::uint64_t checksum = 0; // of the new value

    /// Bytes that it takes in a message, approximately.
    std::size_t size() const;
};

/// Returns no delta if it would exceed `max_bytes`.
std::optional<value_delta> make_value_delta(
    std::string_view from, std::string_view to, std::size_t max_bytes);

/// Returns the new value, or nothing if `delta` is not one of `from` or the
/// value would exceed `max_bytes`.
std::optional<std::string> apply_value_delta(
    std::string_view from, value_delta const& delta, std::size_t max_bytes);

} // namespace dotterellock

#endif
